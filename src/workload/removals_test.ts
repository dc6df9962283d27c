/**
 * Runners that announce that they drain, and leave. A runner that leaves sends its
 * removal, answers until that is acknowledged, and ends with everything that runs on it.
 */

import t, { type Test } from "tap";
import { createFault } from "../common/mod.ts";
import {
  createJob,
  createModelConfiguration,
  createRunnerEntry,
  createWorkModel,
  type RunnerFaults,
  type WorkModel,
} from "../model/mod.ts";
import {
  announceRunner,
  listRuns,
  runCall,
} from "../../test/work_model_calls.ts";
import type { HoldReply } from "./runner_calls.ts";

/** Creates a model with a long task on a runner that drains, and another runner. */
async function createDrainingModel(
  handleFaults: (faults: RunnerFaults) => void = () => {},
): Promise<WorkModel> {
  const model = createWorkModel({ configuration: createModelConfiguration() });
  handleFaults(await model.addRunner("r1"));
  const job = createJob([{ estimatedMs: 60_000 }]);
  await runCall(model, model.submit("job", job));
  await model.run(1_000);
  await model.addRunner("r2");
  announceRunner(model, createRunnerEntry("r1", { isDraining: true }), 2);
  await model.run(500);
  return model;
}

/** Counts the polls of runner `r1` from now on. */
function countPolls(model: WorkModel): () => number {
  const { calls } = model.runners;
  const { hold } = calls;
  let polls = 0;
  calls.hold = (target, order, timeoutMs) => {
    if (target.id === "r1") polls += 1;
    return hold(target, order, timeoutMs);
  };
  return () => polls;
}

/** Checks that runner `r1` gets no poll for some time. */
async function checkUnpolled(t: Test, model: WorkModel): Promise<void> {
  const getPolls = countPolls(model);
  await model.run(10_000);
  t.equal(getPolls(), 0);
}

// The acknowledgement is delayed on its way. Guards against a task that runs twice, on
// the runner that has not ended yet and on another one.
t.test("a leaving runner keeps its runs until it has ended", async (t) => {
  const model = await createDrainingModel();
  await runCall(model, model.getController().removeRunner("r1"));
  await model.run(400);
  t.strictSame(listRuns(model), ["job#1@r1"]);
  model.runners.leave("r1");
  await model.run(1_000);
  t.strictSame(listRuns(model), ["job#2@r2"]);
  t.equal(model.state.getRunner("r1"), undefined);
  t.strictSame(model.runners.violations, []);
});

// The acknowledgement got lost, and the runner is slow meanwhile. Guards against a task
// that runs twice.
t.test("a leaving runner keeps its runs while it answers late", async (t) => {
  let faults: RunnerFaults | undefined;
  const model = await createDrainingModel((r1) => faults = r1);
  const { removeRunner } = model.getController();
  await runCall(model, removeRunner("r1"));
  await model.run(400);
  if (faults !== undefined) faults.callDelayMs = 1_000;
  await runCall(model, removeRunner("r1"));
  await model.run(1_000);
  t.strictSame(listRuns(model), ["job#1@r1"]);
  if (faults !== undefined) faults.callDelayMs = 0;
  await model.run(10_000);
  t.strictSame(listRuns(model), ["job#1@r1"]);
  t.strictSame(model.runners.violations, []);
});

// Guards against a runner that waits for its acknowledgement, and against runs that
// wait for the end of its lease.
t.test("a leaving runner is acknowledged while it answers", async (t) => {
  const model = await createDrainingModel();
  const fromMs = model.clock.now();
  await runCall(model, model.getController().removeRunner("r1"));
  t.ok(model.clock.now() - fromMs < 50);
  // Its process ends.
  model.runners.crash("r1");
  await model.run(1_000);
  t.strictSame(listRuns(model), ["job#2@r2"]);
  t.strictSame(model.runners.violations, []);
});

// Guards against polls without end, and runs that wait for the end of a lease.
t.test("a removed runner that has ended is closed at once", async (t) => {
  const model = await createDrainingModel();
  model.runners.leave("r1");
  const fromMs = model.clock.now();
  await runCall(model, model.getController().removeRunner("r1"));
  t.ok(model.clock.now() - fromMs < 800);
  t.equal(model.state.getRunner("r1"), undefined);
  await model.run(100);
  t.strictSame(listRuns(model), ["job#2@r2"]);
  t.strictSame(model.runners.violations, []);
  await checkUnpolled(t, model);
});

// Whether it has ended or is slow is not known. Guards against polls without end, and
// against an acknowledgement that comes after the runner has given up the call.
t.test("a removed runner without an answer is closed at the end of its lease", async (t) => {
  const model = await createDrainingModel();
  model.runners.crash("r1");
  const fromMs = model.clock.now();
  await runCall(model, model.getController().removeRunner("r1"));
  t.ok(model.clock.now() - fromMs < 800);
  await model.run(7_000);
  t.equal(model.state.getRunner("r1"), undefined);
  t.strictSame(listRuns(model), ["job#2@r2"]);
  t.strictSame(model.runners.violations, []);
  await checkUnpolled(t, model);
});

// The removal may be that of a former incarnation, and the acknowledgement may be as slow
// as the call. Guards against a task that runs twice.
t.test("a slow runner keeps its runs when its removal arrives", async (t) => {
  let faults: RunnerFaults | undefined;
  const model = await createDrainingModel((r1) => faults = r1);
  if (faults !== undefined) faults.callDelayMs = 1_000;
  await runCall(model, model.getController().removeRunner("r1"));
  await model.run(3_000);
  t.strictSame(listRuns(model), ["job#1@r1"]);
  if (faults !== undefined) faults.callDelayMs = 0;
  await model.run(10_000);
  t.strictSame(listRuns(model), ["job#1@r1"]);
  t.strictSame(model.runners.violations, []);
});

// Guards against a task that runs twice, on a runner that goes on and on another one.
t.test("a connection that breaks does not end the runs of a removed runner", async (t) => {
  const model = await createDrainingModel();
  const { calls } = model.runners;
  const { hold } = calls;
  calls.hold = () => {
    calls.hold = hold;
    return Promise.reject(
      createFault("outcomeUnknown", "Connection reset by peer"),
    );
  };
  await runCall(model, model.getController().removeRunner("r1"));
  await model.run(3_000);
  t.strictSame(listRuns(model), ["job#1@r1"]);
  t.strictSame(model.runners.violations, []);
});

// Guards against polls without end.
t.test("a removed runner that ends late is closed at the end of its lease", async (t) => {
  const model = await createDrainingModel();
  await runCall(model, model.getController().removeRunner("r1"));
  await model.run(9_000);
  t.strictSame(listRuns(model), ["job#1@r1"]);
  model.runners.crash("r1");
  await model.run(8_000);
  t.strictSame(listRuns(model), ["job#2@r2"]);
  t.equal(model.state.getRunner("r1"), undefined);
  await checkUnpolled(t, model);
  t.strictSame(model.runners.violations, []);
});

// The former leader has acknowledged the removal, and the new one gets none. Guards
// against polls without end.
t.test("a runner that left under a former leader is closed at the end of its lease", async (t) => {
  const model = await createDrainingModel();
  await runCall(model, model.getController().removeRunner("r1"));
  model.changeLeader();
  model.runners.crash("r1");
  await model.run(7_500);
  t.strictSame(listRuns(model), ["job#2@r2"]);
  t.equal(model.state.getRunner("r1"), undefined);
  await checkUnpolled(t, model);
  t.strictSame(model.runners.violations, []);
});

// The same for one without runs, which the new leader never reaches. Guards against polls
// without end.
t.test("an idle runner that left under a former leader is closed", async (t) => {
  const model = createWorkModel({ configuration: createModelConfiguration() });
  await model.addRunner("r1", { isDraining: true });
  model.runners.crash("r1");
  model.changeLeader();
  await model.run(5_000);
  t.equal(model.state.countRunners(), 1);
  await model.run(3_000);
  t.equal(model.state.countRunners(), 0);
  await checkUnpolled(t, model);
});

// Its runs have ended with its lease. Guards against a runner that is not known again.
t.test("a draining runner that was cut off registers again", async (t) => {
  const model = await createDrainingModel();
  model.changeLeader();
  await model.run(100);
  const { calls } = model.runners;
  const { hold } = calls;
  calls.hold = () => Promise.reject(new Error("cut off"));
  await model.run(8_000);
  calls.hold = hold;
  t.equal(model.state.getRunner("r1"), undefined);
  announceRunner(model, createRunnerEntry("r1", { isDraining: true }), 3);
  await model.run(500);
  t.equal(model.state.getRunner("r1")?.isDraining, true);
  t.strictSame(listRuns(model), ["job#2@r2"]);
  t.strictSame(model.runners.violations, []);
});

// The session of a draining runner is closed while it is cut off. Guards against a start
// on it once a late announcement arrives, from before it drained.
for (const leader of ["that has closed it", "after that"]) {
  t.test(`a late announcement does not undo a drain, leader ${leader}`, async (t) => {
    const model = await createDrainingModel();
    const { calls } = model.runners;
    const { hold } = calls;
    calls.hold = (target, order, timeoutMs) =>
      target.id === "r1"
        ? Promise.reject(new Error("cut off"))
        : hold(target, order, timeoutMs);
    await model.run(8_000);
    calls.hold = hold;
    t.equal(model.state.getRunner("r1"), undefined);
    if (leader === "after that") model.changeLeader();
    announceRunner(model, createRunnerEntry("r1"), 1);
    await model.run(500);
    const job = createJob([{ tasks: 6, estimatedMs: 60_000 }]);
    await runCall(model, model.submit("next", job));
    await model.run(1_000);
    const runs = ["job#2@r2", "next#1@r2", "next#1@r2"];
    t.strictSame(listRuns(model), runs);
    announceRunner(model, createRunnerEntry("r1", { isDraining: true }), 3);
    await model.run(500);
    t.equal(model.state.getRunner("r1")?.isDraining, true);
    t.strictSame(listRuns(model), runs);
    t.strictSame(model.runners.violations, []);
  });
}

// The removal is resent. Guards against several series of polls.
t.test("a runner is looked at once for several removals", async (t) => {
  const model = await createDrainingModel();
  const { removeRunner } = model.getController();
  const getPolls = countPolls(model);
  for (let at = 0; at < 5; at += 1) await runCall(model, removeRunner("r1"));
  await model.run(10_000);
  // The long polls, one for each removal, and one series.
  t.ok(getPolls() < 9 + 5 + 13, `${getPolls()} polls`);
  t.strictSame(listRuns(model), ["job#1@r1"]);
  t.strictSame(model.runners.violations, []);
});

// Guards against late orders to an incarnation that has replaced the leaving one and is
// not registered yet.
t.test("a removal that the next incarnation answers withdraws late orders", async (t) => {
  const model = await createDrainingModel();
  const { calls } = model.runners;
  const { hold } = calls;
  let late: (() => Promise<HoldReply>) | undefined;
  calls.hold = (target, order, timeoutMs) => {
    if (target.id === "r1") late ??= () => hold(target, order, timeoutMs);
    return hold(target, order, timeoutMs);
  };
  await model.run(1_500);
  model.runners.add(createRunnerEntry("r1", { startedMs: 2 }));
  await runCall(model, model.getController().removeRunner("r1"));
  t.equal(model.state.getRunner("r1"), undefined);
  if (late === undefined) throw new Error("No poll was sent");
  t.strictSame(await runCall(model, late()), { outcome: "staleFence" });
});
