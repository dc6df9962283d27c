import t from "tap";
import { createManualClock, createSilentLogger } from "../common/mod.ts";
import { createTimeUse } from "./time_use.ts";

// Guards against a late job whose leader's log does not tell what kept it busy.
t.test("a busy second is reported by subject, each time once", (t) => {
  const clock = createManualClock(0);
  const lines: Record<string, unknown>[] = [];
  let busyMs = 5_000;
  const logger = {
    ...createSilentLogger(),
    info: (_: string, fields?: Record<string, unknown>) =>
      void lines.push(fields ?? {}),
  };
  const use = createTimeUse({ clock, logger, readBusyMs: () => busyMs });
  const work = (ms: number) => {
    clock.advance(ms);
    busyMs += ms;
  };
  use.measure("frames", () => {
    work(100);
    use.measure("records", () => work(50));
    work(10);
  });
  t.throws(() =>
    use.measure("planning", () => {
      work(200);
      throw new Error("Failed round");
    }), "Failed round");
  work(300);
  use.report(true);
  t.equal(lines.length, 0, "not before a second has passed");
  clock.advance(340);
  use.report(true);
  t.strictSame(lines, [{
    periodMs: 1_000,
    busyMs: 660,
    frames: 1,
    framesMs: 110,
    records: 1,
    recordsMs: 50,
    planning: 1,
    planningMs: 200,
    restMs: 300,
  }]);
  clock.advance(1_000);
  use.report(false);
  t.equal(lines.length, 1, "no line of a process with time to spare");
  t.end();
});
