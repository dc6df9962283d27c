/**
 * Soak test: random fault schedules against the logs, leases, allotments and
 * workers of three data centres.
 * Usage: node dist/bench/soak_cell.js [seed] [seconds]
 */

import process from "node:process";
import { type CellReport, runCellSchedule } from "../test/cell_schedule.ts";

const DEFAULT_SECONDS = 60;
/** Simulated duration of the faults in one schedule, in milliseconds. */
const FAULT_MS = 30_000;

const seed = Number(process.argv[2] ?? Date.now() % 2 ** 31);
const seconds = Number(process.argv[3] ?? DEFAULT_SECONDS);
if (!Number.isInteger(seed) || !(seconds > 0)) {
  throw new Error(
    `Cannot run: seed "${seed}" is not an integer or seconds "${seconds}" is not positive`,
  );
}

const deadlineMs = performance.now() + seconds * 1_000;
const totals = new Map<keyof CellReport, number>();
let schedules = 0;

process.stdout.write(`soak_cell: seed ${seed}, ${seconds} s\n`);
while (performance.now() < deadlineMs) {
  // The error message of a failed schedule contains its seed.
  const report = await runCellSchedule(seed + schedules, FAULT_MS);
  schedules++;
  for (const [name, count] of Object.entries(report)) {
    const key = name as keyof CellReport;
    totals.set(key, (totals.get(key) ?? 0) + count);
  }
}
process.stdout.write(
  `soak_cell: ${schedules} schedules passed ${
    JSON.stringify(Object.fromEntries(totals))
  }\n`,
);
