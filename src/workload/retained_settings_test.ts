import { Buffer } from "node:buffer";
import t from "tap";
import {
  createJob,
  createModelConfiguration,
  createWorkModel,
  type WorkModel,
} from "../model/mod.ts";
import {
  createJobAddress,
  getJobState,
  listRuns,
  runCall,
} from "../../test/work_model_calls.ts";
import { createRetainedSettings } from "./retained_settings.ts";
import type { Configuration, QueueSettings } from "./types.ts";
import { createWorkState } from "./work_state.ts";

const ELIGIBILITY = { baseMs: 20, perRunnerMs: 0.2, validMs: 1_500 };
const OLD = { name: "old", pathPrefix: "/jobs/", eligibility: ELIGIBILITY };
const CHAIN = createJob([{ estimatedMs: 1_000 }, {
  estimatedMs: 200,
  after: [0],
}]);

function createConfiguration(
  version: number,
  queue: Partial<QueueSettings>,
): Configuration {
  return createModelConfiguration({ version, queues: [queue] });
}

/** Starts a cell with queue "old", whose runners require tickets. */
async function startModel(): Promise<WorkModel> {
  const model = createWorkModel({ configuration: createConfiguration(1, OLD) });
  await model.addRunner("r1");
  await model.addRunner("r2");
  return model;
}

function changeConfiguration(
  model: WorkModel,
  next: Configuration,
): Promise<void> {
  return runCall(model, model.getController().changeConfiguration(next));
}

// Guards against accepted jobs of a removed queue whose starts carry no ticket and are
// rejected for ever.
t.test("a job of a replaced queue goes on with tickets", async (t) => {
  const model = await startModel();
  await runCall(model, model.submit("job", CHAIN));
  await model.run(300);
  await changeConfiguration(
    model,
    createConfiguration(2, { ...OLD, name: "new" }),
  );
  await model.run(2_000);
  t.equal(getJobState(model, "job"), "completed");
  t.equal(model.runners.countStarts(), 2);
  t.strictSame(model.runners.violations, []);
});

// Guards against settings that only the leader at the time of the removal knows.
t.test("the next leader knows the settings of a removed queue", async (t) => {
  const model = await startModel();
  await runCall(model, model.submit("job", CHAIN));
  await model.run(300);
  await changeConfiguration(model, createConfiguration(2, { name: "other" }));
  model.state.restoreSnapshot(model.state.takeSnapshot());
  model.changeLeader();
  await model.run(2_500);
  t.equal(model.state.getJob("job")?.state, "completed");
  t.strictSame(model.runners.violations, []);
});

// Guards against a submission that was decided before the removal, but is recorded after it.
t.test("a job that is recorded after the removal goes on", async (t) => {
  const model = await startModel();
  const changed = model.getController().changeConfiguration(
    createConfiguration(2, { name: "other" }),
  );
  const submitted = model.submit("job", CHAIN);
  await runCall(model, Promise.all([changed, submitted]));
  await model.run(3_000);
  t.equal(model.state.getJob("job")?.state, "completed");
});

// Guards against starts that are repeated without a ticket if the settings are unknown, as
// in the snapshot of an older version.
t.test("a rejected start without a ticket is asked about", async (t) => {
  const model = await startModel();
  await runCall(model, model.submit("job", CHAIN));
  await model.run(300);
  await changeConfiguration(model, createConfiguration(2, { name: "other" }));
  const { removedQueues: _, ...older } = JSON.parse(
    Buffer.from(model.state.takeSnapshot()).toString(),
  );
  model.state.restoreSnapshot(Buffer.from(JSON.stringify(older)));
  model.changeLeader();
  await model.run(6_000);
  t.equal(model.state.getJob("job")?.state, "completed");
  t.ok((model.state.getJob("job")?.endedMs ?? 0) > 0);
});

// Guards against accepted jobs that their callers no longer find among the pending ones.
t.test("pending jobs of a replaced queue are counted", async (t) => {
  const model = createWorkModel({ configuration: createConfiguration(1, OLD) });
  await runCall(model, model.submit("job", CHAIN));
  await changeConfiguration(
    model,
    createConfiguration(2, { ...OLD, name: "new" }),
  );
  t.equal(model.getController().countPending(createJobAddress(model, "")), 1);
});

// Guards against jobs that move to defaults when the queue is removed and returns.
t.test("a queue that returns under its name applies again", async (t) => {
  const model = await startModel();
  await runCall(model, model.submit("job", CHAIN));
  await changeConfiguration(model, createConfiguration(2, { name: "other" }));
  t.strictSame(model.state.findQueue("old")?.eligibility, ELIGIBILITY);
  await changeConfiguration(
    model,
    createConfiguration(3, { ...OLD, priority: 0 }),
  );
  t.equal(model.state.findQueue("old")?.priority, 0);
  await model.run(3_000);
  t.equal(getJobState(model, "job"), "completed");
});

// Guards against a removed workspace whose jobs may use the whole cell.
t.test("the jobs of a removed workspace keep its cap", async (t) => {
  const cap = { processors: 2_000, memoryMb: 0, accelerators: 0 };
  const model = createWorkModel({
    configuration: createModelConfiguration({ workspaces: [{ cap }] }),
  });
  await model.addRunner("r1");
  const body = createJob([{ tasks: 4, estimatedMs: 1_000 }]);
  await runCall(model, model.submit("job", body));
  await changeConfiguration(
    model,
    createModelConfiguration({ version: 2, workspaces: [{ name: "other" }] }),
  );
  await model.run(100);
  t.equal(listRuns(model).length, 2);
  await model.run(1_100);
  t.equal(listRuns(model).length, 2);
  t.strictSame(model.runners.violations, []);
});

// Guards against jobs that stop if the pool of their queue is removed with it.
t.test("a job of a removed pool goes on", async (t) => {
  const model = await startModel();
  await runCall(model, model.submit("job", CHAIN));
  await changeConfiguration(model, {
    ...createConfiguration(2, { name: "other", pool: "pool-2" }),
    pools: [{ name: "pool-2", checksAdmission: false }],
  });
  await model.run(3_000);
  t.equal(model.state.getJob("job")?.state, "completed");
});

// Guards against a state that grows with each configuration.
t.test("unused settings are dropped", (t) => {
  const settings = createRetainedSettings<{ name: string }>();
  settings.set([{ name: "used" }, { name: "unused" }], () => false);
  for (let change = 0; change < 8; change += 1) {
    settings.set([{ name: `n${change}` }], (name) => name === "used");
    t.ok(settings.find("unused"), `after ${change + 1} changes`);
  }
  for (let change = 0; change < 100; change += 1) {
    settings.set([{ name: "last" }], (name) => name === "used");
  }
  t.equal(settings.find("unused"), undefined);
  t.strictSame(settings.list(), [{ name: "last" }, { name: "used" }]);
  t.equal(settings.findConfigured("used"), undefined);
  t.end();
});

t.test("a snapshot of an older version has no removed settings", (t) => {
  const state = createWorkState();
  state.restoreSnapshot(Buffer.from('{"jobs":[],"runners":[]}'));
  t.equal(state.findQueue("old"), undefined);
  t.strictSame(state.listWorkspaces(), []);
  t.end();
});
