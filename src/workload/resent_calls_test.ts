import t from "tap";
import { isFault } from "../common/mod.ts";
import { createJob, createModelConfiguration } from "../model/mod.ts";
import {
  createJobAddress,
  createModel,
  getJobState,
  runCall,
} from "../../test/work_model_calls.ts";
import { createCallOrigins } from "./call_origins.ts";
import { RECORD_BATCH_MS } from "./constants.ts";

// Scenario: a leader records a call and is lost before it answers. The gateway sends
// the call again, and the next leader checks it against a newer configuration.

const BODY = createJob([{ estimatedMs: 300 }]);

/** A configuration without the key of `createJobAddress`. */
const WITHOUT_KEY = createModelConfiguration({
  version: 2,
  workspaces: [{ keys: ["other"] }],
});

async function startModel() {
  const model = createModel();
  await model.addRunner("r1");
  const address = createJobAddress(model, "job");
  const settle = (call: Promise<unknown>) =>
    runCall(model, call.catch((error: unknown) => error));
  return {
    model,
    submit: (origin?: string) =>
      settle(model.getController().submit(address, BODY, { origin })),
    cancel: (origin?: string) =>
      settle(model.getController().cancel(address, { origin })),
    configure: (configuration: typeof WITHOUT_KEY) =>
      runCall(model, model.getController().changeConfiguration(configuration)),
  };
}

// Guards against a job that runs although the only submission of it was refused.
t.test("a resent submission is accepted after its key was withdrawn", async (t) => {
  const { model, submit, configure } = await startModel();
  t.equal(await submit("a.1"), undefined);
  await configure(WITHOUT_KEY);
  model.changeLeader();
  t.equal(await submit("a.1"), undefined);
  t.ok(isFault(await submit("a.2"), "unauthenticated"), "another call");
  t.ok(isFault(await submit(), "unauthenticated"), "a call that is sent once");
  await model.run(1_000);
  t.equal(model.state.getJob("job")?.state, "completed");
});

t.test("a resent submission is accepted after its queue was removed", async (t) => {
  const { model, submit, configure } = await startModel();
  t.equal(await submit("a.1"), undefined);
  await configure(
    createModelConfiguration({ version: 2, queues: [{ name: "other" }] }),
  );
  model.changeLeader();
  t.equal(await submit("a.1"), undefined);
  t.ok(isFault(await submit("a.2"), "notFound"));
});

// Guards against the opposite: a submission that no leader has recorded must not pass.
t.test("a resent submission that is not recorded is refused and does not run", async (t) => {
  const { model, submit, configure } = await startModel();
  await configure(WITHOUT_KEY);
  model.changeLeader();
  t.ok(isFault(await submit("a.1"), "unauthenticated"));
  await model.run(1_000);
  t.equal(model.state.getJob("job"), undefined);
  t.equal(model.runners.countStarts(), 0);
});

// Guards against a refusal while the first send of the same call is still being recorded.
t.test("two sends of one call to the same leader have one outcome", async (t) => {
  const { model } = await startModel();
  const controller = model.getController();
  const address = createJobAddress(model, "job");
  const send = () => controller.submit(address, BODY, { origin: "a.1" });
  const configured = controller.changeConfiguration(WITHOUT_KEY);
  // The submission is recorded after the configuration, as that is on its way already.
  await model.run(RECORD_BATCH_MS + 1);
  const first = send();
  while (model.state.getConfiguration()?.version !== 2) await model.run(1);
  t.equal(model.state.getJob("job"), undefined);
  const second = send();
  await runCall(model, Promise.all([configured, first, second]));
  await model.run(1_000);
  t.equal(model.runners.countStarts(), 1);
});

// Guards against a caller who is told that a cancelled job goes on.
t.test("a resent cancellation is acknowledged after its key was withdrawn", async (t) => {
  const { model, submit, cancel, configure } = await startModel();
  t.equal(await submit("a.1"), undefined);
  t.equal(await cancel("a.2"), undefined);
  await configure(WITHOUT_KEY);
  model.changeLeader();
  t.equal(await cancel("a.2"), undefined);
  t.ok(isFault(await cancel("a.3"), "unauthenticated"));
});

t.test("a resent cancellation of a job that has not arrived is repeated", async (t) => {
  const { model, cancel, configure } = await startModel();
  t.ok(isFault(await cancel("a.1"), "notFound"));
  await configure(WITHOUT_KEY);
  model.changeLeader();
  const repeated = await cancel("a.1");
  t.match(repeated, { kind: "notFound", details: { subject: "job" } });
});

t.test("recorded calls are restored from a snapshot and dropped with their job", async (t) => {
  const { model, submit } = await startModel();
  t.equal(await submit("a.1"), undefined);
  model.state.restoreSnapshot(model.state.takeSnapshot());
  t.equal(model.state.findRecordedCall("a.1"), "job");
  await model.run(1_000);
  t.equal(getJobState(model, "job"), "completed");
  await model.run(200_000);
  t.equal(model.state.getJob("job"), undefined);
  t.equal(model.state.findRecordedCall("a.1"), undefined);
});

t.test("several calls about one job are kept and removed together", (t) => {
  const origins = createCallOrigins();
  origins.add("a.1", "job");
  origins.add("b.1", "job");
  origins.add(undefined, "job");
  origins.restore(origins.list());
  t.equal(origins.find("a.1"), "job");
  t.equal(origins.find("b.1"), "job");
  t.equal(origins.find(undefined), undefined);
  origins.remove("job");
  t.strictSame(origins.list(), []);
  t.end();
});
