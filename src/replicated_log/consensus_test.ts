import fc from "fast-check";
import t from "tap";
import {
  createScheduleArbitrary,
  runSchedule,
} from "../../test/log_schedule.ts";

/** Fixed so that a failure in CI can be repeated; the soak run uses other seeds. */
const SEED = 20_261_204;
const RUNS = 40;

// Guards against two leaders in a term or with leases at once, logs that diverge, committed
// entries that are lost or replaced, states that differ, and groups that do not recover.
t.test("invariants hold under random faults", (t) => {
  fc.assert(
    fc.property(createScheduleArbitrary(40), (schedule) => {
      runSchedule(schedule);
    }),
    { seed: SEED, numRuns: RUNS },
  );
  t.pass(`${RUNS} schedules from seed ${SEED}`);
  t.end();
});
