import t from "tap";
import { createJob, type WorkModel } from "../model/mod.ts";
import {
  createJobAddress,
  createModel,
  getJobState,
  listRuns,
  runCall,
  submitJob,
} from "../../test/work_model_calls.ts";

function countPending(model: WorkModel): number {
  return model.getController().countPending(createJobAddress(model, ""));
}

// Guards against jobs that are taken for begun as soon as a start is decided, although
// their runner is cut off.
t.test("jobs that no runner has started are pending", async (t) => {
  const model = createModel();
  const faults = await model.addRunner("r1");
  await model.run(500);
  faults.isPartitioned = true;
  for (let number = 0; number < 4; number += 1) {
    await submitJob(model, `job-${number}`, { estimatedMs: 800 });
  }
  await model.run(5_000);
  t.equal(model.runners.countStarts(), 0);
  t.equal(countPending(model), 4);
  t.equal(getJobState(model, "job-0"), "queued");
  // The orders have failed meanwhile, and are sent again once the runner is back.
  faults.isPartitioned = false;
  await model.run(12_000);
  t.equal(countPending(model), 0);
  t.equal(getJobState(model, "job-0"), "completed");
  t.strictSame(model.runners.violations, []);
});

// Guards against a count that is behind the replies of the runners.
t.test("a job counts as begun once its start is accepted", async (t) => {
  const model = createModel();
  await submitJob(model, "job", { tasks: 2, estimatedMs: 60_000 });
  t.equal(countPending(model), 1);
  await model.addRunner("r1");
  await model.run(50);
  t.equal(listRuns(model).length, 2);
  t.equal(countPending(model), 0);
  t.equal(getJobState(model, "job"), "running");
});

// Guards against a new leader that counts jobs as pending whose runners it cannot reach, or
// as begun whose start was only decided.
t.test("the next leader knows which jobs have begun", async (t) => {
  const model = createModel();
  const first = await model.addRunner("r1");
  await submitJob(model, "begun", { estimatedMs: 60_000 });
  await model.run(700);
  first.isPartitioned = true;
  await submitJob(model, "decided", { estimatedMs: 800 });
  await model.run(100);
  model.state.restoreSnapshot(model.state.takeSnapshot());
  model.changeLeader();
  await model.run(500);
  t.equal(getJobState(model, "begun"), "running");
  t.equal(getJobState(model, "decided"), "queued");
  t.equal(countPending(model), 1);
});

// Guards against a job that seems not to have begun when the leader changes before that is
// recorded: the runs that runners list show it.
t.test("a new leader learns of a start that was not recorded", async (t) => {
  const model = createModel();
  await model.addRunner("r1");
  await submitJob(model, "job", { estimatedMs: 60_000 });
  await model.run(50);
  t.equal(listRuns(model).length, 1);
  t.equal(model.state.getJob("job")?.state, "queued");
  model.changeLeader();
  await model.run(300);
  t.equal(countPending(model), 0);
  await model.run(600);
  t.equal(model.state.getJob("job")?.state, "running");
});

t.test("a job that waits again after a run stays begun", async (t) => {
  const model = createModel();
  await model.addRunner("r1");
  await submitJob(model, "job", { estimatedMs: 60_000 });
  await model.run(700);
  model.runners.crash("r1");
  await model.run(12_000);
  t.strictSame(listRuns(model), []);
  t.equal(countPending(model), 0);
  t.equal(getJobState(model, "job"), "running");
});

// Guards against a job that begins after its end, or that ends as begun.
t.test("a cancelled job is not begun, nor pending", async (t) => {
  const model = createModel();
  await model.addRunner("r1");
  await runCall(model, model.submit("job", createJob([{ tasks: 1 }])));
  const cancelled = model.getController().cancel(
    createJobAddress(model, "job"),
  );
  await runCall(model, cancelled);
  await model.run(1_000);
  t.equal(countPending(model), 0);
  t.equal(getJobState(model, "job"), "cancelled");
});
