import process from "node:process";
import t from "tap";
import { runWorkSchedule } from "./work_schedule.ts";

t.setTimeout(240_000);

/** Number of further seeds, run by hand: `WORK_SEEDS=100 node dist/test/evacuation_schedule_test.js`. */
const extra = Number(process.env["WORK_SEEDS"] ?? 0);

// Guards against starts in evacuated data centres, and jobs that are lost by evacuations,
// beside cut and crashed runners, late orders and changes of the leader.
for (
  const seed of [
    ...[1, 2, 3],
    ...Array.from({ length: extra }, (_, at) => 1_000 + at),
  ]
) {
  t.test(`random evacuations ${seed}`, async (t) => {
    const outcome = await runWorkSchedule({
      seed,
      activeMs: 20_000,
      evacuations: true,
    });
    t.ok(outcome.jobs > 10);
    t.strictSame(outcome.lateStarts, []);
    t.strictSame(outcome.violations, []);
    t.strictSame(outcome.wrongJobs, []);
  });
}
