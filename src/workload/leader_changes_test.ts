/**
 * What a new leader knows of runs that go on although their job has ended: their runners
 * may not have stopped them yet.
 */

import t from "tap";
import {
  createModelConfiguration,
  createWorkModel,
  type WorkModel,
} from "../model/mod.ts";
import {
  createJobAddress,
  createModel,
  listRuns,
  runCall,
  submitJob,
} from "../../test/work_model_calls.ts";

/** Fills runner `r1` with a job and cancels the job while `r1` is cut off; returns a function that ends the cut. */
async function cancelDuringCut(model: WorkModel): Promise<() => void> {
  const faults = await model.addRunner("r1");
  await model.run(100);
  await submitJob(model, "former", { tasks: 4, estimatedMs: 60_000 });
  await model.run(100);
  faults.isPartitioned = true;
  const address = createJobAddress(model, "former");
  await runCall(model, model.getController().cancel(address));
  return () => faults.isPartitioned = false;
}

// Guards against a workspace beyond its cap: the new leader does not reach the runner, and
// the record of the cancelled job had no runs.
t.test("runs of a cancelled job count for their workspace after a leader change", async (t) => {
  const model = createWorkModel({
    configuration: createModelConfiguration({
      workspaces: [{
        cap: { processors: 4_000, memoryMb: 0, accelerators: 0 },
      }],
    }),
  });
  await cancelDuringCut(model);
  await model.addRunner("r2");
  model.changeLeader();
  await submitJob(model, "next", { tasks: 3, estimatedMs: 60_000 });
  await model.run(3_000);
  t.equal(listRuns(model).length, 4);
  // The lease of the first runner has ended.
  await model.run(6_000);
  t.strictSame(listRuns(model), Array(3).fill("next#1@r2"));
  t.strictSame(model.runners.violations, []);
});

// Guards against a start beyond the capacity: the first list of the runner arrives while
// the leadership is not confirmed, and is not evaluated.
t.test("runs of a cancelled job count for their runner before its list is evaluated", async (t) => {
  let hasLease = true;
  const model = createWorkModel({
    configuration: createModelConfiguration(),
    hasLease: () => hasLease,
  });
  const endCut = await cancelDuringCut(model);
  endCut();
  model.changeLeader();
  await model.run(1);
  hasLease = false;
  await model.run(10);
  hasLease = true;
  await submitJob(model, "next", { tasks: 4, estimatedMs: 500 });
  await model.run(3_000);
  t.strictSame(listRuns(model), []);
  t.strictSame(model.runners.violations, []);
});

// Guards against a workspace that seems to use more than it does.
t.test("runs of a cancelled job that have ended do not count after a leader change", async (t) => {
  const model = createModel();
  const endCut = await cancelDuringCut(model);
  endCut();
  await model.run(3_000);
  t.strictSame(listRuns(model), []);
  model.changeLeader();
  await model.run(100);
  await submitJob(model, "next", { tasks: 3, estimatedMs: 60_000 });
  await model.run(100);
  t.strictSame(listRuns(model), Array(3).fill("next#1@r1"));
  t.strictSame(model.runners.violations, []);
});
