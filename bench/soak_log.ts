/**
 * Soak test: random schedules against the consensus core.
 * Usage: node dist/bench/soak_log.js [seed] [seconds]
 */

import process from "node:process";
import fc from "fast-check";
import {
  createScheduleArbitrary,
  runSchedule,
  type ScheduleReport,
} from "../test/log_schedule.ts";

const DEFAULT_SECONDS = 60;
const RUNS_PER_ROUND = 100;
const ACTIONS = 80;

const seed = Number(process.argv[2] ?? Date.now() % 2 ** 31);
const seconds = Number(process.argv[3] ?? DEFAULT_SECONDS);
if (!Number.isInteger(seed) || !(seconds > 0)) {
  throw new Error(
    `Cannot run: seed "${seed}" is not an integer or seconds "${seconds}" is not positive`,
  );
}

const deadlineMs = performance.now() + seconds * 1_000;
const totals: Record<keyof ScheduleReport, number> = {
  committed: 0,
  elections: 0,
  promotions: 0,
  snapshots: 0,
  messages: 0,
};
let schedules = 0;

process.stdout.write(`soak_log: seed ${seed}, ${seconds} s\n`);
for (let round = 0; performance.now() < deadlineMs; round++) {
  fc.assert(
    fc.property(createScheduleArbitrary(ACTIONS), (schedule) => {
      if (performance.now() >= deadlineMs) return;
      const report = runSchedule(schedule);
      schedules++;
      for (const name of Object.keys(totals) as (keyof ScheduleReport)[]) {
        totals[name] += report[name];
      }
    }),
    { seed: seed + round, numRuns: RUNS_PER_ROUND },
  );
}
process.stdout.write(
  `soak_log: ${schedules} schedules passed ${JSON.stringify(totals)}\n`,
);
