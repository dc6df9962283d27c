/** Checks that the model follows the rules of the platform for runners and their calls. */

import t from "tap";
import { runCall } from "../../test/work_model_calls.ts";
import type { StartOrder } from "../workload/mod.ts";
import {
  createJob,
  createModelConfiguration,
  createRunnerEntry,
  createWorkModel,
  type WorkModel,
} from "./work_model.ts";

const TASK = { job: "job", occurrence: 0, step: 0, index: 0 };

function createModel(): WorkModel {
  return createWorkModel({ configuration: createModelConfiguration() });
}

/** Creates an order above all fencing tokens of the model's leader. */
function createOrder(order: Partial<StartOrder> = {}): StartOrder {
  return {
    task: TASK,
    run: 1,
    payload: "",
    untilMs: 9_000,
    fence: Number.MAX_SAFE_INTEGER,
    checkpoint: "",
    ticket: "",
    ...order,
  };
}

// Guards against a model in which an order finds its runner wherever that is.
t.test("an order reaches only the address that it was sent to", async (t) => {
  const model = createModel();
  const { calls } = model.runners;
  model.runners.add(createRunnerEntry("r1", { address: "x:2" }));
  const call = calls.start({ id: "r1", address: "x:1" }, createOrder(), 500);
  await t.rejects(runCall(model, call));
  t.equal(model.runners.countStarts(), 0);
});

// Guards against orders that a runner with another id at the address leaves unanswered.
t.test("another runner at the address refuses the call", async (t) => {
  const model = createModel();
  const { calls } = model.runners;
  const first = { id: "r1", address: "x:1" };
  model.runners.add(createRunnerEntry("r1", { address: "x:1" }));
  model.runners.add(createRunnerEntry("r2", { address: "x:1" }));
  const reply = await runCall(model, calls.start(first, createOrder(), 500));
  t.equal(reply.outcome, "otherLife");
  const poll = { fence: 9, recordedEnds: 0, untilMs: undefined, waitMs: 0 };
  const polled = await runCall(model, calls.hold(first, poll, 500));
  t.equal(polled.outcome, "otherLife");
  t.equal(model.runners.countStarts(), 0);
});

// Guards against a model in which only starts are late.
t.test("a late poll and a late stop reach the next incarnation", async (t) => {
  const model = createModel();
  const { calls } = model.runners;
  const target = { id: "r1", address: "x:1" };
  const entry = createRunnerEntry("r1", { address: "x:1" });
  model.runners.add(entry).callDelayMs = 800;
  const poll = { fence: 7, recordedEnds: 0, untilMs: 5_000, waitMs: 0 };
  calls.hold(target, poll, 100).catch(() => {});
  calls.stop(target, { task: TASK, run: 3, fence: 7 }, 100).catch(() => {});
  await model.run(400);
  model.runners.add({ ...entry, startedMs: 2 });
  await model.run(600);
  const stale = await runCall(
    model,
    calls.start(target, createOrder({ fence: 6 }), 500),
  );
  t.equal(stale.outcome, "staleFence");
  const stopped = await runCall(
    model,
    calls.start(target, createOrder({ run: 3 }), 500),
  );
  t.equal(stopped.outcome, "staleRun");
});

// Guards against a model that has no rule for the number of attempts.
t.test("a start after all attempts have failed is a violation", async (t) => {
  const model = createWorkModel({
    configuration: createModelConfiguration({ queues: [{ maxAttempts: 1 }] }),
    getTaskFacts: (_, step) => ({
      durationMs: step.estimatedMs,
      processors: 1,
      memoryMb: 1,
      alwaysFails: true,
      crashesRunner: false,
      gangSize: 0,
    }),
  });
  await model.addRunner("r1");
  await model.run(100);
  await runCall(model, model.submit("job", createJob([{ estimatedMs: 100 }])));
  await model.run(1_000);
  t.strictSame(model.runners.violations, []);
  const target = { id: "r1", address: "r1:1" };
  const order = createOrder({ run: 2 });
  await runCall(model, model.runners.calls.start(target, order, 500));
  t.strictSame(model.runners.violations.map(({ rule }) => rule), ["attempts"]);
});

// Guards against leases that end by the leader's clock.
t.test("a slow clock lets a lease end later", async (t) => {
  const model = createWorkModel({
    configuration: createModelConfiguration(),
    getClockRate: () => 0.98,
  });
  model.runners.add(createRunnerEntry("r1"));
  await model.run(1_000);
  t.equal(model.runners.readClock("r1"), 980);
});

// Guards against a model in which a leader notices a crash later than in production.
t.test("a poll of a runner that crashes fails within its timeout", async (t) => {
  const model = createModel();
  model.runners.add(createRunnerEntry("r1"));
  const fromMs = model.clock.now();
  const poll = { fence: 7, recordedEnds: 0, untilMs: 5_000, waitMs: 1_200 };
  const call = model.runners.calls
    .hold({ id: "r1", address: "r1:1" }, poll, 1_900)
    .then(() => -1, () => model.clock.now() - fromMs);
  await model.run(600);
  model.runners.crash("r1");
  const tookMs = await runCall(model, call);
  t.ok(tookMs > 0 && tookMs <= 1_910, `${tookMs} ms`);
});

// Guards against a model that lists more ends than a runner does.
t.test("a list contains 500 ends at most", async (t) => {
  const model = createModel();
  const { calls } = model.runners;
  const target = { id: "r1", address: "r1:1" };
  const capacity = { processors: 1e9, memoryMb: 1e9, accelerators: 0 };
  model.runners.add(createRunnerEntry("r1", { capacity }));
  for (let index = 0; index < 600; index += 1) {
    void calls.start(target, createOrder({ task: { ...TASK, index } }), 500);
  }
  await model.run(1_000);
  const poll = { recordedEnds: 0, untilMs: undefined, waitMs: 0 };
  const order = { ...poll, fence: Number.MAX_SAFE_INTEGER };
  const reply = await runCall(model, calls.hold(target, order, 500));
  t.equal(reply.outcome === "accepted" ? reply.ended.length : 0, 500);
});

// Guards against a model that forgets a stop when a lower run of the task ends.
t.test("a stopped run is refused after a lower one has ended", async (t) => {
  const model = createModel();
  const { calls } = model.runners;
  const target = { id: "r1", address: "r1:1" };
  model.runners.add(createRunnerEntry("r1"));
  await runCall(model, calls.start(target, createOrder(), 500));
  const { fence } = createOrder();
  await runCall(model, calls.stop(target, { task: TASK, run: 3, fence }, 500));
  await model.run(1_000);
  t.strictSame(model.runners.listRunning(), []);
  const order = createOrder({ run: 2 });
  const reply = await runCall(model, calls.start(target, order, 500));
  t.equal(reply.outcome, "staleRun");
});

// Guards against a model that lets a workspace run more than its cap, the overage and one
// task.
t.test("a start beyond the quota of its workspace is a violation", async (t) => {
  const cap = { processors: 2_000, memoryMb: 0, accelerators: 0 };
  const model = createWorkModel({
    configuration: createModelConfiguration({ workspaces: [{ cap }] }),
  });
  const { calls } = model.runners;
  const target = { id: "r1", address: "r1:1" };
  await runCall(model, model.submit("job", createJob([{ tasks: 4 }])));
  model.runners.add(createRunnerEntry("r1"));
  for (let index = 0; index < 4; index += 1) {
    t.strictSame(model.runners.violations, []);
    const task = { job: "job", occurrence: 0, step: 0, index };
    await runCall(model, calls.start(target, createOrder({ task }), 500));
  }
  t.strictSame(model.runners.violations.map(({ rule }) => rule), ["quota"]);
});
