import process from "node:process";
import t, { type Test } from "tap";
import { runRestartSchedule } from "./restart_schedule.ts";

t.setTimeout(240_000);

/** Seeds that CI runs; a seed that ever failed stays here with a line on its cause. */
const SEEDS = [
  // A removal ended runs that went on, and their tasks ran twice.
  1_006,
  1_020,
  1_034,
  // The same after an unanswered call to a slow runner.
  2_041,
];

/** The same for schedules in which the leader also loses its lease while runners leave. */
const PAUSE_SEEDS = [
  // Starts that had waited for the lease began on runners that were leaving.
  4_004,
  4_025,
];

/** Number of further seeds, run by hand: `RESTART_SEEDS=100 node dist/test/leaving_schedule_test.js`. */
const extra = Number(process.env["RESTART_SEEDS"] ?? 0);

/** Adds the seeds that are run by hand. */
function addExtraSeeds(seeds: readonly number[], from: number): number[] {
  return [...seeds, ...Array.from({ length: extra }, (_, at) => from + at)];
}

async function checkSchedule(
  t: Test,
  options: { seed: number; hasPauses: boolean },
): Promise<void> {
  const outcome = await runRestartSchedule({
    ...options,
    activeMs: 20_000,
    hasLeaves: true,
  });
  t.ok(outcome.jobs > 10);
  t.ok(outcome.leaves > 0);
  t.strictSame(outcome.violations, []);
  t.strictSame(outcome.wrongJobs, []);
}

for (const seed of addExtraSeeds(SEEDS, 3_000)) {
  t.test(
    `random restarts and leaves ${seed}`,
    (t) => checkSchedule(t, { seed, hasPauses: false }),
  );
}

for (const seed of addExtraSeeds(PAUSE_SEEDS, 4_000)) {
  t.test(
    `random leaves beside pauses ${seed}`,
    (t) => checkSchedule(t, { seed, hasPauses: true }),
  );
}
