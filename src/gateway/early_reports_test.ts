import t from "tap";
import { createManualClock } from "../common/mod.ts";
import { createEarlyReports } from "./early_reports.ts";

// Guards against a second request to an instance that is about to reply, a report that is
// dated later than its request, and one that was lost while a leadership was confirmed.
t.test("an early report is taken once, while it is recent", async (t) => {
  const clock = createManualClock(100);
  const asked: string[] = [];
  const reports = createEarlyReports({
    clock,
    listKeptAnswers: (instance) =>
      asked.push(instance) === 1 ? Promise.resolve([]) : Promise.reject("lost"),
  });
  reports.start(["a", "b"]);
  clock.advance(50);
  t.strictSame(await reports.take("a", 2_000), { sentMs: 100, answers: [] });
  await t.rejects(reports.take("a", 2_000));
  clock.advance(2_000);
  await t.rejects(reports.take("b", 2_000));
  t.strictSame(asked, ["a", "b", "a", "b"]);
});
