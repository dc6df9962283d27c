import t from "tap";
import { advanceBy } from "../../test/controller_fakes.ts";
import {
  createFault,
  createManualClock,
  createSilentLogger,
} from "../common/mod.ts";
import { createRunnerEntry } from "../model/mod.ts";
import type {
  HoldReply,
  ListedEnd,
  ListedRun,
  OrderReply,
  RunnerCalls,
} from "./runner_calls.ts";
import { startRunnerDriver } from "./runner_driver.ts";
import { addOccupant, createRunner, type Occupant } from "./runner_table.ts";

const RUNS = 12;

/** Step in which the clock advances, in milliseconds. */
const STEP_MS = 5;

/** Longest time in which a cancelled run may go on, in milliseconds; from the platform's rules. */
const CANCEL_LIMIT_MS = 3_000;

/** A driver whose runner refuses all calls unless `isUp` is set. */
function createDriverFixture() {
  const clock = createManualClock(0);
  const runner = createRunner(createRunnerEntry("r"), 0);
  const state = {
    isUp: true,
    isLeading: true,
    /** Whether starts and polls get no reply until they time out. */
    losesStarts: false,
    losesPolls: false,
    /** What polls list. */
    running: [] as ListedRun[],
    ended: [] as ListedEnd[],
    /** Start of the incarnation that answers, as wall time in milliseconds. */
    startedMs: 1,
    polls: 0,
    stops: 0,
    /** Times at which starts were sent, in milliseconds. */
    startsMs: [] as number[],
    otherIncarnations: 0,
  };

  function checkConnection(): void {
    if (!state.isUp) throw createFault("unavailable", "Cannot connect");
  }

  /** Rejects a call once it has timed out. */
  function rejectLater(timeoutMs: number): Promise<never> {
    return new Promise((_, reject) =>
      void clock.setTimer(
        timeoutMs,
        () => reject(createFault("outcomeUnknown", "Cannot get an answer")),
      )
    );
  }

  const calls: RunnerCalls = {
    async start(_, __, timeoutMs): Promise<OrderReply> {
      state.startsMs.push(clock.now());
      checkConnection();
      if (state.losesStarts) return await rejectLater(timeoutMs);
      return { outcome: "accepted", clockMs: clock.now() };
    },
    async stop(): Promise<OrderReply> {
      state.stops += 1;
      checkConnection();
      return await Promise.resolve({ outcome: "accepted", clockMs: 1 });
    },
    hold(_, { waitMs }, timeoutMs): Promise<HoldReply> {
      state.polls += 1;
      if (state.losesPolls) return rejectLater(timeoutMs);
      return new Promise((resolve, reject) => {
        clock.setTimer(state.isUp ? waitMs + 2 : 2, () => {
          if (!state.isUp) {
            return reject(createFault("unavailable", "Cannot connect"));
          }
          resolve({
            outcome: "accepted",
            clockMs: clock.now(),
            startedMs: state.startedMs,
            running: state.running,
            ended: state.ended,
          });
        });
      });
    },
    release() {},
    releaseOwn() {},
  };
  const driver = startRunnerDriver({
    runner,
    calls,
    clock,
    logger: createSilentLogger(),
    fence: 1,
    updateFence: () => 2,
    maxLeaseMs: 10_000,
    isLeading: () => state.isLeading,
    handlePollReply: () => Promise.resolve(),
    handleOtherIncarnation() {
      state.otherIncarnations += 1;
      runner.isClosed = true;
      driver.stop();
    },
    handleStaleFence: () => {},
  });

  /** Adds a run with this index and sends its start. */
  function startRun(index = 0, isWanted = () => true) {
    const task = { job: "j", occurrence: 0, step: 0, index };
    const occupant = addOccupant(
      runner,
      {
        task,
        run: 1,
        resources: { processors: 1, memoryMb: 1, accelerators: 0 },
      },
      "starting",
      clock.now(),
    );
    const sent = { occupant, result: "none", endedMs: 0 };
    void driver.runStart(
      occupant,
      { task, run: 1, payload: "", checkpoint: "", ticket: "" },
      { isWanted },
    ).then((result) => {
      sent.result = result;
      sent.endedMs = clock.now();
    });
    return sent;
  }

  return { clock, runner, state, driver, startRun };
}

function listRun({ task, run }: Occupant): ListedRun {
  return { task, run, checkpoint: "", percent: 1 };
}

// Guards against a leader that spends its processor time on orders to crashed
// runners: one retry loop for each run, as fast as the runner refuses.
t.test("orders to an unresponsive runner wait for its polls", async (t) => {
  const { clock, runner, state, driver } = createDriverFixture();
  await advanceBy(clock, 50, STEP_MS);
  state.isUp = false;
  await advanceBy(clock, 1_500, STEP_MS);
  state.polls = 0;
  let stopped = 0;
  for (let index = 0; index < RUNS; index += 1) {
    const occupant = addOccupant(
      runner,
      {
        task: { job: "j", occurrence: 0, step: 0, index },
        run: 1,
        resources: { processors: 1, memoryMb: 1, accelerators: 0 },
      },
      "running",
      clock.now(),
    );
    void driver.runStop(occupant).then((isDone) => stopped += Number(isDone));
  }
  await advanceBy(clock, CANCEL_LIMIT_MS, STEP_MS);
  t.ok(state.polls >= 4, `${state.polls} polls`);
  t.ok(state.polls <= 10, `${state.polls} polls`);
  // Each run is tried again now and then, in case only polls fail.
  t.ok(state.stops <= RUNS * 4, `${state.stops} stops`);
  state.isUp = true;
  await advanceBy(clock, 1_000, STEP_MS);
  t.equal(stopped, RUNS);
  driver.stop();
});

// Guards against copies of a start that reach the next incarnation of a crashed runner,
// or are executed late.
t.test("a start is not resent to a runner that answers no probe", async (t) => {
  const { clock, state, driver, startRun } = createDriverFixture();
  await advanceBy(clock, 50, STEP_MS);
  Object.assign(state, { losesStarts: true, losesPolls: true });
  const sent = startRun();
  await advanceBy(clock, 3_000, STEP_MS);
  t.equal(state.startsMs.length, 1);
  t.equal(sent.result, "unanswered");
  // The other members of a gang wait for it meanwhile.
  t.ok(sent.endedMs <= 1_600, `${sent.endedMs} ms`);
  t.ok(sent.occupant.openStartMs !== undefined);
  driver.stop();
});

// The same; the probe is answered by another incarnation.
t.test("a start is not resent to the next incarnation", async (t) => {
  const { clock, state, driver, startRun } = createDriverFixture();
  await advanceBy(clock, 50, STEP_MS);
  Object.assign(state, { losesStarts: true, losesPolls: true });
  const sent = startRun();
  await advanceBy(clock, 300, STEP_MS);
  Object.assign(state, { losesPolls: false, startedMs: 2 });
  await advanceBy(clock, 2_000, STEP_MS);
  t.equal(state.otherIncarnations, 1);
  t.equal(state.startsMs.length, 1);
  t.equal(sent.result, "unanswered");
  t.ok(sent.occupant.openStartMs !== undefined);
  driver.stop();
});

// The same; nothing was sent yet, so the run can start elsewhere at once.
t.test("no start is sent to a runner that has left a poll unanswered", async (t) => {
  const { clock, state, driver, startRun } = createDriverFixture();
  await advanceBy(clock, 50, STEP_MS);
  state.isUp = false;
  await advanceBy(clock, 1_500, STEP_MS);
  const fromMs = clock.now();
  const sent = startRun();
  await advanceBy(clock, 1_000, STEP_MS);
  t.equal(state.startsMs.length, 0);
  t.equal(sent.result, "undelivered");
  t.ok(sent.endedMs - fromMs <= 600, `${sent.endedMs - fromMs} ms`);
  driver.stop();
});

// Guards against a lost reply that delays a start by the period of the probes.
t.test("a start is sent to a runner as soon as it answers again", async (t) => {
  const { clock, state, driver, startRun } = createDriverFixture();
  await advanceBy(clock, 50, STEP_MS);
  state.losesPolls = true;
  // The long poll has failed, and a probe is on its way.
  await advanceBy(clock, 2_000, STEP_MS);
  state.losesPolls = false;
  await advanceBy(clock, 550, STEP_MS);
  const sent = startRun();
  await advanceBy(clock, 500, STEP_MS);
  t.equal(sent.result, "accepted");
  t.equal(state.startsMs.length, 1);
  driver.stop();
});

// The same, for several starts that time out one after the other: the probe of the first
// is on its way when the others time out.
t.test("starts without a reply are resent right after a probe is answered", async (t) => {
  const { clock, state, driver, startRun } = createDriverFixture();
  await advanceBy(clock, 50, STEP_MS);
  state.losesStarts = true;
  const sent = [];
  for (let index = 0; index < 3; index += 1) {
    sent.push(startRun(index));
    await advanceBy(clock, 1, 1);
  }
  await advanceBy(clock, 100, 1);
  state.losesStarts = false;
  await advanceBy(clock, 500, 1);
  t.strictSame(sent.map(({ result }) => result), Array(3).fill("accepted"));
  t.equal(state.startsMs.length, 6);
  sent.forEach(({ endedMs }, index) => {
    const tookMs = endedMs - (state.startsMs[index] ?? 0);
    t.ok(tookMs < 510, `${tookMs} ms`);
  });
  driver.stop();
});

// Guards against a wait for copies of a start that was executed, and against a stop of
// its run.
for (const isEnded of [false, true]) {
  t.test(`a start that a poll lists is not resent, ended ${isEnded}`, async (t) => {
    const { clock, state, driver, startRun } = createDriverFixture();
    await advanceBy(clock, 50, STEP_MS);
    state.losesStarts = true;
    const sent = startRun();
    const listed = listRun(sent.occupant);
    if (isEnded) state.ended = [{ ...listed, number: 1, outcome: "done" }];
    else state.running = [listed];
    await advanceBy(clock, 2_000, STEP_MS);
    t.equal(sent.result, "accepted");
    t.equal(state.startsMs.length, 1);
    t.equal(sent.occupant.openStartMs, undefined);
    driver.stop();
  });
}

// Guards against a copy that counts as executed although another one was.
t.test("a start that was sent twice stays open when a poll lists it", async (t) => {
  const { clock, state, driver, startRun } = createDriverFixture();
  await advanceBy(clock, 50, STEP_MS);
  state.losesStarts = true;
  const sent = startRun();
  await advanceBy(clock, 700, STEP_MS);
  t.equal(state.startsMs.length, 2);
  state.running = [listRun(sent.occupant)];
  await advanceBy(clock, 2_000, STEP_MS);
  t.equal(sent.result, "accepted");
  t.ok(sent.occupant.openStartMs !== undefined);
  driver.stop();
});

// A runner may list the end of a run that it was told to stop before it arrived.
t.test("a start stays open when a poll lists its run as stopped", async (t) => {
  const { clock, state, driver, startRun } = createDriverFixture();
  await advanceBy(clock, 50, STEP_MS);
  state.losesStarts = true;
  const sent = startRun();
  state.ended = [{ ...listRun(sent.occupant), number: 1, outcome: "stopped" }];
  await advanceBy(clock, 2_000, STEP_MS);
  t.equal(state.startsMs.length, 1);
  t.ok(sent.occupant.openStartMs !== undefined);
  driver.stop();
});

// Guards against a resend that relies on an answer from before the leadership was lost:
// the runner may have been replaced since.
t.test("a start is not resent on a probe from before a gap in the leadership", async (t) => {
  const { clock, state, driver, startRun } = createDriverFixture();
  await advanceBy(clock, 50, STEP_MS);
  state.losesStarts = true;
  startRun();
  await advanceBy(clock, 490, STEP_MS);
  state.isLeading = false;
  await advanceBy(clock, 300, STEP_MS);
  state.startedMs = 2;
  state.isLeading = true;
  await advanceBy(clock, 1_500, STEP_MS);
  t.equal(state.startsMs.length, 1);
  t.equal(state.otherIncarnations, 1);
  driver.stop();
});

// The same, for a start that was not sent before.
for (const startedMs of [1, 2]) {
  t.test(`the first start after a gap in the leadership waits for a poll, startedMs ${startedMs}`, async (t) => {
    const { clock, state, driver, startRun } = createDriverFixture();
    await advanceBy(clock, 1_300, STEP_MS);
    state.isLeading = false;
    const sent = startRun();
    await advanceBy(clock, 2_000, STEP_MS);
    Object.assign(state, { startedMs, isLeading: true });
    await advanceBy(clock, 300, STEP_MS);
    const isSame = startedMs === 1;
    t.equal(state.startsMs.length, isSame ? 1 : 0);
    t.equal(sent.result, isSame ? "accepted" : "abandoned");
    t.equal(state.otherIncarnations, isSame ? 0 : 1);
    driver.stop();
  });
}

// Guards against a copy that starts a run which was listed and is gone since.
t.test("a start is not resent once its run is released", async (t) => {
  const { clock, runner, state, driver, startRun } = createDriverFixture();
  await advanceBy(clock, 50, STEP_MS);
  state.losesStarts = true;
  const sent = startRun();
  await advanceBy(clock, 300, STEP_MS);
  runner.occupants.delete(sent.occupant.key);
  await advanceBy(clock, 1_500, STEP_MS);
  t.equal(state.startsMs.length, 1);
  driver.stop();
});

// Guards against a copy that starts a run after it was told to stop.
t.test("a start is not resent once its run is being stopped", async (t) => {
  const { clock, state, driver, startRun } = createDriverFixture();
  await advanceBy(clock, 50, STEP_MS);
  state.losesStarts = true;
  const sent = startRun();
  await advanceBy(clock, 300, STEP_MS);
  sent.occupant.state = "stopping";
  await advanceBy(clock, 1_500, STEP_MS);
  t.equal(state.startsMs.length, 1);
  t.equal(sent.result, "unanswered");
  driver.stop();
});
