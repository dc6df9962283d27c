import { Buffer } from "node:buffer";
import t from "tap";
import { isFault } from "../common/mod.ts";
import {
  createJob,
  createModelConfiguration,
  createWorkModel,
  type WorkModel,
} from "../model/mod.ts";
import {
  createJobAddress,
  createModel,
  getJobState,
  runCall,
  submitJob,
} from "../../test/work_model_calls.ts";
import { createEarlyCancels } from "./early_cancels.ts";
import { createWorkState, encodeRecords } from "./work_state.ts";

const BODY = createJob([{ estimatedMs: 1_000 }]);

async function startModel(): Promise<WorkModel> {
  const model = createModel();
  await model.addRunner("r1");
  return model;
}

function cancelJob(model: WorkModel, id: string): Promise<void> {
  return model.getController().cancel(createJobAddress(model, id));
}

function submitLate(model: WorkModel): Promise<unknown> {
  return runCall(model, model.submit("job", BODY)).catch((error) => error);
}

function isUnknownJob(error: unknown): boolean {
  return isFault(error, "notFound") && error.details["subject"] === "job";
}

// Guards against a job that runs although its cancelling was acknowledged: its submission
// was held up on the way.
t.test("a job that was cancelled before it arrived does not run", async (t) => {
  const model = await startModel();
  const cancelled = await runCall(model, cancelJob(model, "job"))
    .catch((error) => error);
  t.ok(isUnknownJob(cancelled));
  const refused = await submitLate(model);
  t.ok(isFault(refused, "unavailable"));
  t.equal(isFault(refused) && refused.ran, "no");
  await model.run(3_000);
  t.equal(model.runners.countStarts(), 0);
  t.equal(model.state.getJob("job"), undefined);
  await submitJob(model, "other", { estimatedMs: 100 });
  await model.run(500);
  t.equal(getJobState(model, "other"), "completed");
});

// Guards against a cancellation that only the leader that acknowledged it knows.
t.test("a cancellation outlives its leader and a loss of power", async (t) => {
  const model = await startModel();
  await t.rejects(runCall(model, cancelJob(model, "job")));
  model.state.restoreSnapshot(model.state.takeSnapshot());
  model.changeLeader();
  t.ok(isFault(await submitLate(model), "unavailable"));
  await model.run(1_000);
  t.equal(model.runners.countStarts(), 0);
});

// Guards against a submission that arrives while its cancellation is being recorded.
t.test("of a cancellation and a submission the first record counts", async (t) => {
  const model = await startModel();
  const cancelledFirst = Promise.allSettled([
    cancelJob(model, "job"),
    model.submit("job", BODY),
    model.submit("job", BODY),
  ]);
  const [, ...submitted] = await runCall(model, cancelledFirst);
  for (const { status } of submitted) t.equal(status, "rejected");
  const submittedFirst = Promise.allSettled([
    model.submit("second", BODY),
    cancelJob(model, "second"),
  ]);
  const results = await runCall(model, submittedFirst);
  for (const { status } of results) t.equal(status, "fulfilled");
  t.equal(getJobState(model, "second"), "cancelled");
  await model.run(1_000);
  t.equal(model.runners.countStarts(), 0);
  t.equal(model.state.getJob("job"), undefined);
});

// Guards against a workspace that cancels the jobs of another one.
t.test("a workspace cancels only its own jobs early", async (t) => {
  const model = createWorkModel({
    configuration: createModelConfiguration({ workspaces: [{}, {}] }),
  });
  await model.addRunner("r1");
  const address = { ...createJobAddress(model, "job"), key: "key-1" };
  await t.rejects(runCall(model, model.getController().cancel(address)));
  // The submission of the other workspace is recorded after the next cancellation, too.
  const both = Promise.allSettled([
    model.getController().cancel({
      ...createJobAddress(model, "next"),
      key: "key-1",
    }),
    model.submit("next", BODY),
  ]);
  await runCall(model, model.submit("job", BODY));
  await runCall(model, both);
  await model.run(2_500);
  t.equal(getJobState(model, "job"), "completed");
  t.equal(getJobState(model, "next"), "completed");
});

// Guards against a state that grows by calls for jobs that never arrive.
t.test("cancelled identifiers are limited and dropped after a time", async (t) => {
  const model = await startModel();
  const calls = Array.from(
    { length: 1_005 },
    (_, at) => cancelJob(model, `job-${at}`).catch((error) => error),
  );
  const faults = await runCall(model, Promise.all(calls));
  t.equal(faults.filter(isUnknownJob).length, 1_000);
  t.equal(faults.filter((fault) => isFault(fault, "limitReached")).length, 5);
  t.ok(isUnknownJob(
    await runCall(model, cancelJob(model, "job-7")).catch((error) => error),
  ));
  t.ok(isUnknownJob(
    await runCall(model, cancelJob(model, "x".repeat(300)))
      .catch((error) => error),
  ));
  t.equal(model.state.listEarlyCancels().length, 1_000);
  await model.run(100_000);
  t.equal(model.state.listEarlyCancels().length, 1_000);
  await model.run(90_000);
  t.equal(model.state.listEarlyCancels().length, 0);
});

t.test("the limit of all workspaces holds, also after a removal", (t) => {
  const cancels = createEarlyCancels();
  for (let at = 0; at < 12_000; at += 1) {
    cancels.add({ job: `${at}`, workspace: `w${at % 20}`, atMs: at });
  }
  t.equal(cancels.list().length, 10_000);
  cancels.remove(cancels.list().slice(0, 10));
  cancels.add({ job: "next", atMs: 1 });
  t.ok(cancels.has("next", "w1"));
  t.equal(cancels.list().length, 9_991);
  t.end();
});

t.test("a snapshot of an older version has no cancelled identifiers", (t) => {
  const state = createWorkState();
  const cancel = { kind: "cancel", job: "job", atMs: 1 } as const;
  state.apply(encodeRecords([cancel]), 0);
  t.ok(state.hasEarlyCancel("job", "any"));
  state.restoreSnapshot(Buffer.from('{"jobs":[],"runners":[]}'));
  t.notOk(state.hasEarlyCancel("job", "any"));
  t.end();
});
