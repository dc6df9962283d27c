import t from "tap";
import { createManualClock } from "../common/mod.ts";
import * as limits from "./kept_answers.ts";

// Guards against tickets that outlive their validity, an older answer that hides a newer
// one, memory that grows with the load, and a reply that blocks a slow link.
t.test("the newest answers are reported with their age, within limits", (t) => {
  const clock = createManualClock(0);
  const kept = limits.createKeptAnswers({ clock });
  function record(job: string, runners: string[], ticket: string) {
    const [r1 = ""] = runners;
    const question = { job, occurrence: 0, step: 1, runners };
    kept.record(question, { tickets: { [r1]: ticket }, validMs: 50 });
  }
  record("j", ["r1", "no"], "old");
  record("k", ["r2"], "old");
  clock.advance(100);
  record("j", ["r1"], "new");
  clock.advance(10);
  t.match(kept.list(), [
    { runners: ["r1"], tickets: { r1: "new" }, ageMs: 10, validMs: 40 },
    { runners: ["r2"], tickets: { r2: "" }, ageMs: 110, validMs: 0 },
    { runners: ["no"], tickets: {}, ageMs: 110, validMs: 0 },
  ]);
  for (let at = 1; at < limits.MAX_KEPT_STEPS; at += 1) {
    record(`step${at}`, ["r1"], "x");
  }
  t.equal(kept.list().length, limits.MAX_KEPT_STEPS + 1);
  t.notOk(kept.list().some(({ job }) => job === "k"), "the oldest made room");
  clock.advance(1);
  const long = "é".repeat(limits.MAX_REPORT_BYTES / 20);
  for (let at = 0; at < 20; at += 1) record(`long${at}`, ["r1"], long);
  t.match(kept.list()[0]?.job, /^long/);
  const bytes = new TextEncoder().encode(JSON.stringify(kept.list())).length;
  t.ok(bytes < limits.MAX_REPORT_BYTES, `${bytes} bytes`);
  clock.advance(limits.KEEP_ANSWER_MS);
  t.strictSame(kept.list(), []);
  t.end();
});
