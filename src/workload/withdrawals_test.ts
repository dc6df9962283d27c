import t from "tap";
import { advanceBy, waitForTurn } from "../../test/controller_fakes.ts";
import {
  createFault,
  createManualClock,
  createSilentLogger,
} from "../common/mod.ts";
import type { HoldReply } from "./runner_calls.ts";
import { createWithdrawals } from "./withdrawals.ts";

/** Step in which the clock advances, in milliseconds. */
const STEP_MS = 10;

/** Time for which orders may arrive late, in milliseconds. */
const LATE_MS = 13_000;

/** The reply of an unhealthy runner, which has done nothing. */
const UNHEALTHY: HoldReply = { outcome: "unhealthy" };

const ACCEPTED: HoldReply & { outcome: "accepted" } = {
  outcome: "accepted",
  clockMs: 0,
  startedMs: 2,
  running: [],
  ended: [],
};

function createSetup() {
  const clock = createManualClock(0);
  const state = {
    /** The reply to each poll; undefined loses the poll. */
    reply: undefined as HoldReply | undefined,
    isLeading: true,
    runner: undefined as { contactMs: number | undefined } | undefined,
    polls: [] as { atMs: number; address: string; fence: number }[],
  };
  let newestFence = 0;
  const withdrawals = createWithdrawals({
    clock,
    logger: createSilentLogger(),
    calls: {
      hold({ address }, { fence }) {
        state.polls.push({ atMs: clock.now(), address, fence });
        return state.reply === undefined
          ? Promise.reject(createFault("outcomeUnknown", "Lost"))
          : Promise.resolve(state.reply);
      },
    },
    createFencingToken: () => newestFence += 1,
    isLeading: () => state.isLeading,
    findRunner: () => state.runner,
  });
  return {
    state,
    withdrawals,
    run: (ms: number) => advanceBy(clock, ms, STEP_MS),
  };
}

const TARGET = { id: "r1", address: "r1:1" };

// Guards against a late order that the next incarnation executes, and against polls
// without pause or end.
for (
  const [kind, reply] of [["lost", undefined], [
    "unhealthy",
    UNHEALTHY,
  ]] as const
) {
  t.test(`a withdrawal that is ${kind} is repeated with growing pauses`, async (t) => {
    const { state, withdrawals, run } = createSetup();
    state.reply = reply;
    withdrawals.start(TARGET);
    await waitForTurn();
    await run(1_500);
    t.strictSame(state.polls.map(({ atMs }) => atMs), [0, 150, 450, 1_050]);
    await run(LATE_MS);
    const { length } = state.polls;
    t.ok(length >= 20 && length <= 25, `${length} polls`);
    await run(LATE_MS);
    t.equal(state.polls.length, length);
    // A higher token than that of the next session would close it out.
    t.ok(state.polls.every(({ fence }) => fence === 1));
  });
}

// Guards against polls of a runner that has answered.
for (
  const reply of [ACCEPTED, { outcome: "staleFence" }, {
    outcome: "otherLife",
  }] as const
) {
  t.test(`a withdrawal ends with the reply ${reply.outcome}`, async (t) => {
    const { state, withdrawals, run } = createSetup();
    state.reply = reply;
    withdrawals.start(TARGET);
    await run(LATE_MS);
    t.equal(state.polls.length, 1);
  });
}

// Guards against a registered runner that is polled twice, and against one that counts
// as reached before it is.
t.test("the driver of the next incarnation takes over", async (t) => {
  const { state, withdrawals, run } = createSetup();
  // The former incarnation, which is still registered.
  state.runner = { contactMs: 0 };
  withdrawals.start(TARGET);
  await run(200);
  t.equal(state.polls.length, 2);
  state.runner = { contactMs: undefined };
  await run(1_000);
  t.equal(state.polls.length, 2);
  state.runner = undefined;
  await run(1_000);
  const { length } = state.polls;
  t.ok(length > 2);
  state.runner = { contactMs: 1 };
  await run(1_000);
  state.runner = undefined;
  await run(LATE_MS);
  t.equal(state.polls.length, length);
});

// Guards against two series of polls to one runner id.
t.test("a newer withdrawal of the same runner id replaces the former", async (t) => {
  const { state, withdrawals, run } = createSetup();
  withdrawals.start(TARGET);
  await run(200);
  const { length } = state.polls;
  withdrawals.start({ ...TARGET, address: "r1:2" });
  await run(2_000);
  const later = state.polls.slice(length);
  t.ok(later.length > 3);
  t.ok(later.every(({ address, fence }) => address === "r1:2" && fence === 2));
});

// Guards against orders without the leadership.
t.test("a withdrawal waits for the leadership and ends with it", async (t) => {
  const { state, withdrawals, run } = createSetup();
  state.isLeading = false;
  withdrawals.start(TARGET);
  await run(1_000);
  t.equal(state.polls.length, 0);
  state.isLeading = true;
  await run(200);
  t.ok(state.polls.length > 0);
  withdrawals.stop();
  const { length } = state.polls;
  await run(LATE_MS);
  t.equal(state.polls.length, length);
});
