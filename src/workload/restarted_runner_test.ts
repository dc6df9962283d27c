/**
 * Runners that crash and start again under the same id while starts without a reply
 * may still arrive. The tests guard against a task that runs twice, unless stated.
 */

import t from "tap";
import { createJob, createRunnerEntry } from "../model/mod.ts";
import {
  announceRunner,
  createJobAddress,
  createModel,
  getJobState,
  recordPolls,
  runCall,
  runUntil,
} from "../../test/work_model_calls.ts";

/**
 * Age of an incarnation on whose clock a start remains valid for long on the clock of the
 * next one, in milliseconds.
 */
const OLD_MS = 10_000;

/** Submits a job while orders to its only runner are executed late and get no reply. */
async function startLateJob(
  { delayMs, estimatedMs }: { delayMs: number; estimatedMs: number },
) {
  const model = createModel();
  const first = await model.addRunner("r1");
  await model.run(100);
  first.orderDelayMs = delayMs;
  await runCall(model, model.submit("job", createJob([{ estimatedMs }])));
  return { model, first };
}

// The former incarnation has confirmed a stop, of which the next one knows nothing.
t.test("a start stopped on the former incarnation does not run on the next", async (t) => {
  const { model } = await startLateJob({
    delayMs: 4_000,
    estimatedMs: 20_000,
  });
  await model.run(60);
  await model.addRunner("r2");
  await model.run(800);
  // Sends run 2 elsewhere.
  announceRunner(model, createRunnerEntry("r1", { isDraining: true }), 2);
  await model.run(1_400);
  t.strictSame(
    model.runners.listRunning().map(({ runner, run }) => `${runner}#${run}`),
    ["r2#2"],
  );
  await model.addRunner("r1", { startedMs: 2 });
  await model.run(25_000);
  t.equal(getJobState(model, "job"), "completed");
  t.strictSame(model.runners.violations, []);
});

// The same, while the next run is at work on the runner that crashes.
t.test("an earlier start does not run on the next incarnation beside a later one", async (t) => {
  const { model, first } = await startLateJob({
    delayMs: 4_000,
    estimatedMs: 20_000,
  });
  await model.run(1_200);
  first.orderDelayMs = 0;
  await model.addRunner("r2");
  await model.run(600);
  t.strictSame(
    model.runners.listRunning().map(({ runner, run }) => `${runner}#${run}`),
    ["r1#2"],
  );
  await model.addRunner("r1", { startedMs: 2 });
  await model.run(25_000);
  t.equal(getJobState(model, "job"), "completed");
  t.strictSame(model.runners.violations, []);
});

// The stop on the first successor says nothing to the second one.
t.test("a runner that crashes twice in a row runs no former start", async (t) => {
  const { model } = await startLateJob({
    delayMs: 2_000,
    estimatedMs: 5_000,
  });
  await model.run(60);
  await model.addRunner("r1", { startedMs: 2 });
  await model.addRunner("r1", { startedMs: 3 });
  await model.addRunner("r2");
  await model.run(20_000);
  t.equal(getJobState(model, "job"), "completed");
  t.strictSame(model.runners.violations, []);
});

// The copy is of the former leader and arrives before the new fencing token does.
t.test("an earlier copy of the former leader does not run beside the next run", async (t) => {
  const { model, first } = await startLateJob({
    delayMs: 4_000,
    estimatedMs: 20_000,
  });
  await model.run(60);
  first.orderDelayMs = 0;
  await model.run(1_000);
  model.changeLeader();
  await model.run(1_000);
  await model.addRunner("r2");
  const next = createRunnerEntry("r1", { startedMs: 2 });
  await runUntil(model, 4_900);
  model.runners.add(next);
  await runUntil(model, 5_300);
  announceRunner(model, next);
  await model.run(12_000);
  t.strictSame(model.runners.violations, []);
});

// A copy may arrive after the run has ended and the next incarnation is at work.
t.test("an earlier copy of a done run does not run on the next incarnation", async (t) => {
  const { model, first } = await startLateJob({
    delayMs: 3_000,
    estimatedMs: 300,
  });
  await model.run(60);
  first.orderDelayMs = 0;
  await model.run(1_500);
  t.equal(getJobState(model, "job"), "completed");
  await model.addRunner("r1", { startedMs: 2 });
  await model.run(5_000);
  t.strictSame(model.runners.violations, []);
});

// Guards against a task of a cancelled job that runs until the next long poll.
t.test("a start of a cancelled job is stopped on the next incarnation at once", async (t) => {
  const { model } = await startLateJob({
    delayMs: 4_000,
    estimatedMs: 20_000,
  });
  await model.run(1_200);
  await runCall(
    model,
    model.getController().cancel(createJobAddress(model, "job")),
  );
  await model.run(300);
  await model.addRunner("r1", { startedMs: 2 });
  let runningMs = 0;
  for (let ms = 0; ms < 9_000; ms += 1) {
    await model.run(1);
    runningMs += model.runners.listRunning().length;
  }
  t.ok(runningMs < 300, `${runningMs} ms`);
});

// A late start that is refused still renews the lease of the next incarnation, which may
// then run on after the leader takes its lease for ended.
t.test("the lease in a late start is known when the next incarnation is cut off", async (t) => {
  const model = createModel();
  const first = await model.addRunner("r1");
  await model.run(20_000);
  first.orderDelayMs = 9_000;
  await runCall(model, model.submit("job", createJob([{ estimatedMs: 500 }])));
  await model.run(100);
  const fromMs = model.clock.now();
  const next = await model.addRunner("r1", { startedMs: 2 });
  await model.run(300);
  await runCall(
    model,
    model.submit("long", createJob([{ estimatedMs: 60_000 }])),
  );
  await model.run(500);
  await model.addRunner("r2");
  await runUntil(model, fromMs + 9_600);
  next.isPartitioned = true;
  await model.run(12_000);
  t.strictSame(model.runners.violations, []);
});

// Polls name no incarnation, so a late one acknowledges ends that it was not meant for.
t.test("a late poll of the former incarnation does not drop an end", async (t) => {
  const model = createModel();
  const takeLatePoll = recordPolls(model);
  await model.addRunner("r1");
  await model.run(3_000);
  const sendLatePoll = takeLatePoll({
    recordedEnds: 57,
    untilMs: undefined,
  });
  await model.addRunner("r1", { startedMs: 2 });
  await model.run(200);
  await runCall(
    model,
    model.submit(
      "job",
      createJob([{ estimatedMs: 400 }, { estimatedMs: 408 }]),
    ),
  );
  while (model.runners.listRunning().length < 2) await model.run(1);
  while (model.runners.listRunning().length > 0) await model.run(1);
  sendLatePoll();
  await model.run(6_000);
  t.strictSame(model.runners.violations, []);
});

// A late poll that arrives before the first one of the next incarnation grants it the
// longest lease, which is longer than the one that the leader grants.
t.test("the lease in an early late poll is known when the next incarnation is cut off", async (t) => {
  const model = createModel();
  const takeLatePoll = recordPolls(model);
  await model.addRunner("r1");
  await model.run(30_000);
  const sendLatePoll = takeLatePoll({});
  const next = createRunnerEntry("r1", { startedMs: 2 });
  const faults = model.runners.add(next);
  sendLatePoll();
  announceRunner(model, next);
  await model.run(30);
  await runCall(
    model,
    model.submit("job", createJob([{ estimatedMs: 60_000 }])),
  );
  await runUntil(model, 31_200);
  await model.addRunner("r2");
  t.strictSame(
    model.runners.listRunning().map(({ runner }) => runner),
    ["r1"],
  );
  faults.isPartitioned = true;
  await model.run(12_000);
  t.strictSame(model.runners.violations, []);
});

// Found by random restarts, seed 28. A probe acknowledged the first ends of the next
// incarnation, which the leader had not seen, and the task started again.
t.test("a probe of a crashed runner does not drop an end of the next incarnation", async (t) => {
  const model = createModel();
  const first = await model.addRunner("r1");
  await model.run(100);
  await runCall(
    model,
    model.submit("before", createJob([{ tasks: 3, estimatedMs: 200 }])),
  );
  await model.run(1_000);
  first.orderDelayMs = 600;
  await runCall(model, model.submit("job", createJob([{ estimatedMs: 50 }])));
  await model.run(30);
  model.runners.crash("r1");
  await model.run(300);
  const next = createRunnerEntry("r1", { startedMs: 2 });
  const faults = model.runners.add(next);
  // It carries out the probes, but its replies are lost.
  faults.callDelayMs = 20;
  await model.run(1_500);
  faults.callDelayMs = 0;
  await model.run(5_000);
  announceRunner(model, next);
  await model.run(5_000);
  t.equal(getJobState(model, "job"), "completed");
  t.strictSame(model.runners.violations, []);
});

// Found by random restarts, seeds 2 and 9. The copy arrives before the leader has reached
// the next incarnation.
t.test("an earlier copy of a done run does not run before the first poll", async (t) => {
  const model = createModel();
  const first = await model.addRunner("r1");
  await model.run(100);
  first.orderDelayMs = 3_000;
  await runCall(model, model.submit("job", createJob([{ estimatedMs: 300 }])));
  await model.run(60);
  first.orderDelayMs = 0;
  await model.run(1_500);
  t.equal(getJobState(model, "job"), "completed");
  model.runners.crash("r1");
  model.runners.add(createRunnerEntry("r1", { startedMs: 2 })).isPartitioned =
    true;
  await model.run(5_000);
  t.strictSame(model.runners.violations, []);
});

// Found by random restarts, seeds 7, 24 and 33. The former incarnation has confirmed the
// stop of the run, so that its task was started elsewhere.
t.test("a stopped start does not run before the first poll of the next incarnation", async (t) => {
  const model = createModel();
  const first = await model.addRunner("r1");
  await model.run(OLD_MS);
  first.orderDelayMs = 6_000;
  await runCall(model, model.submit("job", createJob([{ estimatedMs: 300 }])));
  await model.run(60);
  await model.addRunner("r2");
  await model.run(800);
  // Sends run 2 elsewhere.
  announceRunner(model, createRunnerEntry("r1", { isDraining: true }), 2);
  await model.run(2_200);
  t.equal(getJobState(model, "job"), "completed");
  model.runners.crash("r1");
  model.runners.add(createRunnerEntry("r1", { startedMs: 2 })).isPartitioned =
    true;
  await model.run(5_000);
  t.strictSame(model.runners.violations, []);
});

// Found by random restarts, seeds 1266 and 1180. The leader acknowledges the end of a run
// that it took for lost, and starts the task again.
t.test("an end of a run that counted as lost is not dropped", async (t) => {
  const model = createModel();
  const first = await model.addRunner("r1");
  await model.run(OLD_MS);
  first.orderDelayMs = 4_000;
  await runCall(model, model.submit("job", createJob([{ estimatedMs: 300 }])));
  await model.run(60);
  await model.addRunner("r1", { startedMs: 2, isDraining: true });
  await model.run(1_500);
  const next = createRunnerEntry("r1", { startedMs: 3 });
  const faults = model.runners.add(next);
  faults.isPartitioned = true;
  await model.run(4_000);
  t.equal(model.runners.countStarts(), 1);
  faults.isPartitioned = false;
  announceRunner(model, next);
  await model.run(10_000);
  t.strictSame(model.runners.violations, []);
});

// Scenario: the incident TWICE. The first poll of the next incarnation lists a run whose
// end is still being recorded.
t.test("a run whose end is being recorded is not taken over", async (t) => {
  const { model } = await startLateJob({
    delayMs: 600,
    estimatedMs: 547,
  });
  await model.run(50);
  const next = createRunnerEntry("r1", { startedMs: 2 });
  model.runners.add(next);
  // Just before the probe that follows the first attempt is answered.
  await runUntil(model, 1_665);
  announceRunner(model, next);
  await model.run(1_500);
  t.equal(getJobState(model, "job"), "completed");
  t.strictSame(model.runners.violations, []);
});

// Guards against a wait for starts that a former leader may have sent: a lasting task
// may be away for 9 s at most.
for (const longRunning of [false, true]) {
  t.test(`a leader change beside a lost runner delays a restart little, longRunning ${longRunning}`, async (t) => {
    const model = createModel();
    await model.addRunner("r1");
    await model.run(100);
    await runCall(
      model,
      model.submit("job", createJob([{ estimatedMs: 60_000, longRunning }])),
    );
    await model.run(5_000);
    await model.addRunner("r2");
    model.runners.crash("r1");
    const fromMs = model.clock.now();
    await model.run(1_500);
    model.changeLeader();
    while (model.runners.listRunning().length === 0) await model.run(1);
    const tookMs = model.clock.now() - fromMs;
    t.ok(tookMs < 9_000, `${tookMs} ms`);
  });
}

// Guards against a wait for copies of a start: a lasting task may be away for 9 s at most.
t.test("a start whose reply was lost restarts within 9 s of a crash", async (t) => {
  const model = createModel();
  const first = await model.addRunner("r1");
  await model.run(5_000);
  first.orderDelayMs = 20;
  await runCall(model, model.submit("job", createJob([{ longRunning: true }])));
  await model.run(60);
  await model.addRunner("r2");
  model.runners.crash("r1");
  const fromMs = model.clock.now();
  while (model.runners.listRunning().length === 0) await model.run(1);
  const tookMs = model.clock.now() - fromMs;
  t.ok(tookMs < 9_000, `${tookMs} ms`);
});

// The same: a poll has listed the run, of which only one start was sent.
t.test("a listed start whose reply was lost restarts within 9 s of a crash", async (t) => {
  const model = createModel();
  const first = await model.addRunner("r1");
  await model.run(5_000);
  first.orderDelayMs = 20;
  await runCall(
    model,
    model.submit("job", createJob([{ estimatedMs: 60_000 }])),
  );
  await model.run(1_000);
  await model.addRunner("r2");
  t.equal(model.runners.countStarts(), 1);
  model.runners.crash("r1");
  const fromMs = model.clock.now();
  while (model.runners.listRunning().length === 0) await model.run(1);
  const tookMs = model.clock.now() - fromMs;
  t.ok(tookMs < 9_000, `${tookMs} ms`);
});

// Guards against a ghost: both announcements are being recorded, the late one last.
// Closing the ghost cuts the connections of the runner at the address.
t.test("a late announcement beside that of the next incarnation is ignored", async (t) => {
  const model = createModel();
  const next = createRunnerEntry("r1", { startedMs: 2 });
  model.runners.add(next);
  let releases = 0;
  model.runners.calls.release = () => releases += 1;
  announceRunner(model, next);
  announceRunner(model, createRunnerEntry("r1"), 9);
  await model.run(3_000);
  t.equal(releases, 0);
});

// Guards against copies of a start that a restarted runner executes before the leader
// has reached it: it has seen neither a fencing token nor a stop then.
t.test("a restarted runner gets no start before its first poll is answered", async (t) => {
  for (const returnMs of [100, 400, 700, 1_000, 1_300]) {
    const model = createModel();
    const first = await model.addRunner("r1");
    await model.run(100);
    const { calls } = model.runners;
    const { start, hold } = calls;
    let isBack = false;
    let isReached = false;
    let starts = 0;
    calls.start = (target, order, timeoutMs) => {
      if (isBack && !isReached) starts += 1;
      return start(target, order, timeoutMs);
    };
    calls.hold = async (target, order, timeoutMs) => {
      const isForNext = isBack;
      const reply = await hold(target, order, timeoutMs);
      if (isForNext) isReached = true;
      return reply;
    };
    first.callDelayMs = 20_000;
    await runCall(
      model,
      model.submit("job", createJob([{ tasks: 3, estimatedMs: 20_000 }])),
    );
    await model.run(60);
    model.runners.crash("r1");
    await model.run(returnMs);
    const next = model.runners.add(createRunnerEntry("r1", { startedMs: 2 }));
    isBack = true;
    next.callDelayMs = 20_000;
    await model.run(200);
    next.callDelayMs = 0;
    await model.run(3_000);
    t.ok(isReached);
    t.equal(starts, 0, `back after ${returnMs} ms`);
  }
});
