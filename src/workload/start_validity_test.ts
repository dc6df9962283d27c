import t from "tap";
import { createModel, runCall } from "../../test/work_model_calls.ts";
import {
  createJob,
  createModelConfiguration,
  createRunnerEntry,
  createWorkModel,
} from "../model/mod.ts";
import {
  createRunner,
  estimateRunnerClock,
  recordClock,
} from "./runner_table.ts";
import { computeStartValidity } from "./start_validity.ts";

// Guards against a start that is valid for longer than a draining runner may be started on.
t.test("a start is valid for less than the notice of a draining runner", (t) => {
  for (const noticeMs of [400, 1_000, 2_000, 2_500, 10_000]) {
    const validMs = computeStartValidity(noticeMs);
    t.ok(validMs < noticeMs, `${validMs} ms of ${noticeMs} ms`);
  }
  t.ok(computeStartValidity(0) > 0, "without a notice");
  t.end();
});

// Guards against starts that runners refuse as late because a reply was read late.
t.test("a delayed reading does not set a runner's clock back", (t) => {
  const runner = createRunner(createRunnerEntry("r"), 0);
  recordClock(runner, 5_000, 100);
  recordClock(runner, 5_100, 2_100);
  t.equal(estimateRunnerClock(runner, 2_100), 6_960, "at least at 0.98");
  recordClock(runner, 7_000, 2_200);
  t.equal(estimateRunnerClock(runner, 2_200), 7_100 - 42);
  recordClock(runner, undefined, 2_300);
  t.equal(runner.clockSample?.atMs, 2_200, "no reading");
  t.end();
});

// Guards against an estimate that the next incarnation, whose clock starts anew, never meets.
t.test("a reading far behind is of the next incarnation", (t) => {
  const runner = createRunner(createRunnerEntry("r"), 0);
  recordClock(runner, 50_000, 100);
  recordClock(runner, 20, 200);
  t.equal(estimateRunnerClock(runner, 300), 120);
  t.end();
});

// Guards against a lease that counts as shorter than the next incarnation has granted it.
t.test("a reading behind counts if the start of the runner is unknown", (t) => {
  const runner = createRunner(createRunnerEntry("r", { startedMs: 0 }), 0);
  recordClock(runner, 2_000, 100);
  recordClock(runner, 20, 200);
  t.equal(estimateRunnerClock(runner, 300), 120);
  t.end();
});

// Guards against a task that waits for a new decision because the first reading of its
// runner's clock was delayed.
t.test("a start that is refused as late is sent again", async (t) => {
  const model = createModel();
  const { calls } = model.runners;
  const { hold, start } = calls;
  let delayedMs = 2_000;
  let starts = 0;
  calls.hold = async (...order) => {
    const reply = await hold(...order);
    return reply.outcome === "accepted"
      ? { ...reply, clockMs: reply.clockMs - delayedMs }
      : reply;
  };
  calls.start = (...order) => {
    starts += 1;
    delayedMs = 0;
    return start(...order);
  };
  await model.addRunner("r");
  await runCall(
    model,
    model.submit("job", createJob([{ estimatedMs: 5_000 }])),
  );
  await model.run(100);
  t.equal(starts, 2);
  t.strictSame(
    model.runners.listRunning().map(({ run }) => run),
    [1],
    "the same run",
  );
});

// Guards against a run that lapses because only its start has granted a lease.
t.test("polls extend the lease of a started run", async (t) => {
  const model = createWorkModel({
    configuration: createModelConfiguration(),
    getClockRate: () => 0.98,
  });
  await model.addRunner("r");
  await runCall(
    model,
    model.submit("job", createJob([{ estimatedMs: 8_000 }])),
  );
  await model.run(9_000);
  t.equal(model.runners.countStarts(), 1);
  t.equal(model.runners.listRunning().length, 0);
});
