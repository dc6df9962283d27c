/**
 * Tasks that crash the runners that start them, on the model of a cell: each kind of
 * job, return and moment. Guards against such tasks that are started for ever, and
 * against the blame for them on healthy jobs, unless stated.
 */

import t from "tap";
import { createFault } from "../common/mod.ts";
import { createModelConfiguration, type WorkModel } from "../model/mod.ts";
import { createJobAddress, runCall } from "../../test/work_model_calls.ts";
import {
  checkJobs,
  listStates,
  runUntilEnded,
  startDeadlyCell,
  submitJobs,
} from "../../test/deadly_cell.ts";
import { isOpenJob } from "./work_state.ts";

t.setTimeout(240_000);

const SETTLE_MS = 60_000;

/** Runs deadly jobs beside healthy ones until they have ended. */
async function runBoth(
  model: WorkModel,
  steps?: Parameters<typeof submitJobs>[3],
) {
  const healthy = submitJobs(model, "before", 2);
  await model.run(1_000);
  const deadly = submitJobs(model, "deadly", 1, steps);
  await model.run(20);
  healthy.push(...submitJobs(model, "after", 2));
  await runUntilEnded(model, [...deadly, ...healthy], SETTLE_MS);
  return { deadly, healthy };
}

for (const tasks of [2, 6]) {
  t.test(`a deadly gang of ${tasks} is given up`, async (t) => {
    const model = await startDeadlyCell(4);
    const jobs = await runBoth(model, [
      { tasks, gang: true, estimatedMs: 3_000 },
    ]);
    checkJobs(t, model, jobs);
  });
}

t.test("a gang with one deadly member is given up", async (t) => {
  const model = await startDeadlyCell(4, {
    isDeadly: ({ index }) => index === 5,
  });
  const jobs = await runBoth(model, [
    { tasks: 6, gang: true, maxPerRunner: 2, estimatedMs: 6_000 },
  ]);
  checkJobs(t, model, jobs);
});

// Guards against a long-running job that is given up without a failed run, and against
// crashes that follow each other so closely that healthy jobs do not get through.
t.test("a deadly long-running task is restarted after pauses", async (t) => {
  const model = await startDeadlyCell(4, { returnMs: 200 });
  const healthy = submitJobs(model, "before", 2);
  await model.run(1_000);
  const [deadly = ""] = submitJobs(model, "deadly", 1, [{ longRunning: true }]);
  await model.run(20);
  healthy.push(...submitJobs(model, "after", 2));
  await runUntilEnded(model, healthy, SETTLE_MS);
  t.strictSame(listStates(model, healthy), ["completed"]);
  await model.run(10_000);
  const before = model.runners.countCrashes();
  await model.run(60_000);
  const crashes = model.runners.countCrashes() - before;
  t.ok(crashes >= 60 / 9, `${crashes} crashes, one in 9 s at least`);
  t.ok(crashes <= 60 / 5, `${crashes} crashes, one in 5 s at most`);
  t.ok(isOpenJob(model.state.getJob(deadly)!));
  await runCall(
    model,
    model.getController().cancel(createJobAddress(model, deadly)),
  );
  await model.run(10_000);
  const ended = model.runners.countCrashes();
  await model.run(10_000);
  t.equal(model.runners.countCrashes(), ended);
  t.strictSame(model.runners.violations, []);
});

for (const step of [0, 1, 2]) {
  t.test(`a job whose step ${step} is deadly is given up`, async (t) => {
    const model = await startDeadlyCell(4, {
      isDeadly: (task) => task.step === step,
    });
    const jobs = await runBoth(model, [
      { tasks: 3 },
      { tasks: 2, after: [0] },
      { tasks: 2, after: [1] },
    ]);
    checkJobs(t, model, jobs);
  });
}

t.test("a deadly task is given up, back at another address", async (t) => {
  const model = await startDeadlyCell(6, { returnAs: "newAddress" });
  checkJobs(t, model, await runBoth(model));
});

// Guards against a crash of which no announcement tells, as nothing links the next
// incarnation to the former one.
t.test("a deadly task is given up, back under another id and address", async (t) => {
  const model = await startDeadlyCell(6, { returnAs: "newIdAndAddress" });
  checkJobs(t, model, await runBoth(model));
});

// Guards against a task that has outlived the time in which it is suspected.
t.test("a task that crashes 0.6 to 2 s after its start is given up", async (t) => {
  for (const crashDelayMs of [600, 1_000, 2_000]) {
    const model = await startDeadlyCell(6, { crashDelayMs });
    checkJobs(t, model, await runBoth(model), `${crashDelayMs} ms`);
  }
});

t.test("a task that crashes within 0.3 s of its start is given up", async (t) => {
  const model = await startDeadlyCell(6, { crashDelayMs: 300 });
  checkJobs(t, model, await runBoth(model));
});

for (const returnAs of ["sameId", "newId"] as const) {
  t.test(`a deadly task whose start reply is lost is given up, ${returnAs}`, async (t) => {
    const model = await startDeadlyCell(6, { returnAs });
    const { calls } = model.runners;
    const { start } = calls;
    calls.start = async (target, order, timeoutMs) => {
      const reply = await start(target, order, timeoutMs);
      if (!order.task.job.startsWith("deadly")) return reply;
      await new Promise<void>((resolve) =>
        void model.clock.setTimer(timeoutMs, resolve)
      );
      throw createFault("outcomeUnknown", "Cannot get an answer");
    };
    checkJobs(t, model, await runBoth(model));
  });
}

t.test("many deadly jobs on few runners are given up", async (t) => {
  const model = await startDeadlyCell(3);
  const healthy: string[] = [];
  const deadly = submitJobs(model, "deadly", 8);
  for (let round = 0; round < 20; round += 1) {
    healthy.push(...submitJobs(model, `more-${round}`, 1));
    await model.run(1_000);
  }
  await runUntilEnded(model, [...deadly, ...healthy], 200_000);
  checkJobs(t, model, { deadly, healthy });
});

t.test("a deadly task of a queue with eligibility is given up", async (t) => {
  const model = await startDeadlyCell(6, {
    configuration: createModelConfiguration({
      queues: [{
        eligibility: { baseMs: 17, perRunnerMs: 0.2, validMs: 1_500 },
      }],
    }),
    isEligible: (runner, step) =>
      !step.startsWith("deadly") || ["r0", "r1"].includes(runner),
  });
  checkJobs(t, model, await runBoth(model));
});
