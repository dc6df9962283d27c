import t from "tap";
import { createManualClock, createSilentLogger } from "../common/mod.ts";
import {
  createJob,
  createModelConfiguration,
  createRunnerEntry,
} from "../model/mod.ts";
import { createRunnerHealth } from "./runner_health.ts";
import { addOccupant, createRunner } from "./runner_table.ts";
import { createWorkState, encodeRecords } from "./work_state.ts";

const TASKS = 4;
const RESOURCES = { processors: 100, memoryMb: 10, accelerators: 0 };

/** Creates the health of a new leader, and runners whose runs have some progress after 500 ms. */
function createFixture() {
  const clock = createManualClock(0);
  const state = createWorkState();
  const job = {
    ...createJob([{
      tasks: TASKS,
      resources: RESOURCES,
      estimatedMs: 5_000,
    }]),
    queue: "queue-0",
    pool: "pool",
    maxAttempts: 3,
    submittedMs: 0,
  };
  state.apply(
    encodeRecords([
      { kind: "configuration", configuration: createModelConfiguration() },
      ...["old", "new"].map((id) => ({
        kind: "job" as const,
        job: { ...job, id },
      })),
    ]),
    0,
  );
  for (const id of ["old", "new"]) {
    const found = state.getJob(id);
    if (found !== undefined) state.getOccurrence(found, 0);
  }
  const health = createRunnerHealth({
    clock,
    logger: createSilentLogger(),
    state,
    runTimes: { recordRun: () => {} },
    listPool: () => [],
  });

  /** Adds a runner with runs of a job that were confirmed at the takeover. */
  function addRunner(
    name: string,
    { percent, isRestored }: { percent: number; isRestored: boolean },
  ) {
    const runner = createRunner(createRunnerEntry(name), 0);
    for (let index = 0; index < TASKS; index += 1) {
      const task = { job: name, occurrence: 0, step: 0, index };
      const run = { task, run: 1, resources: RESOURCES };
      const occupant = addOccupant(runner, run, "running", 0);
      Object.assign(occupant, {
        isListed: true,
        isRestored,
        progress: percent,
        progressMs: 500,
      });
    }
    return runner;
  }

  clock.advance(500);
  return { health, addRunner };
}

// Guards against runners that count as slow after a takeover: beside restored runs, whose
// time before it is not known, runs of the usual speed seem to take several times as long.
t.test("restored runs say nothing about speed", (t) => {
  const { health, addRunner } = createFixture();
  const restored = addRunner("old", { percent: 99, isRestored: true });
  const usual = addRunner("new", { percent: 10, isRestored: false });
  health.checkSpeed(restored);
  health.checkSpeed(usual);
  t.equal(usual.suspendedUntilMs, 0);
  t.end();
});
