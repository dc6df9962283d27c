import t from "tap";
import { runCellSchedule } from "../../test/cell_schedule.ts";

const SEED = 20_261_204;
const RUNS = 4;
const FAULT_MS = 20_000;

// Guards against amounts of a limit that appear twice or get lost, more running
// than is held, a task on two workers, a start without its record, and jobs that
// are lost or never end, through lost, late, doubled and reordered messages,
// partitions, restarts and changes of limits.
for (let run = 0; run < RUNS; run++) {
  t.test(`the invariants of three data centres hold under faults, run ${run}`, async (t) => {
    const seed = SEED + run * 7_919;
    t.comment(`seed ${seed}`);
    const report = await runCellSchedule(seed, FAULT_MS);
    t.comment(JSON.stringify(report));
    t.ok(report.jobs > 20 && report.starts > 20 && report.transfers > 5);
  });
}
