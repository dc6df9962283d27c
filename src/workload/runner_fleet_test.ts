import t from "tap";
import { advanceBy } from "../../test/controller_fakes.ts";
import {
  type Clock,
  createManualClock,
  createSilentLogger,
  createSystemClock,
  wait,
} from "../common/mod.ts";
import { createRunnerEntry } from "../model/mod.ts";
import { waitForImmediate } from "../report/event_loop.ts";
import { startWorkController, type WorkController } from "./work_controller.ts";
import { createWorkState, encodeRecords } from "./work_state.ts";

const RUNNERS = 100;

/** Processor time of a poll in a process that has just started, in milliseconds. */
const POLL_MS = 2;

/** Longest time in which a leader may read no messages, in milliseconds; several fit into an election timeout of 550 ms. */
const MAX_TURN_MS = 100;

/** Starts a controller with many recorded runners; `poll` is called at each poll. */
function startBusyController(
  runners: number,
  options: {
    clock: Clock;
    poll: () => void;
    waitForTurn: () => Promise<void>;
  },
): WorkController {
  const state = createWorkState();
  for (let at = 0; at < runners; at += 1) {
    const runner = createRunnerEntry(`r${at}`);
    state.apply(encodeRecords([{ kind: "runner", runner }]), at + 1);
  }
  return startWorkController({
    clock: options.clock,
    logger: createSilentLogger(),
    state,
    createFencingToken: () => 1,
    isLeading: () => true,
    propose: () => Promise.resolve(),
    calls: {
      start: () => new Promise(() => {}),
      stop: () => new Promise(() => {}),
      hold() {
        options.poll();
        return new Promise(() => {});
      },
      release() {},
      releaseOwn() {},
    },
    ask: () => new Promise(() => {}),
    maxLeaseMs: 10_000,
    keepMs: 60_000,
    handleStaleFence() {},
    waitForTurn: options.waitForTurn,
  });
}

// Scenario: all machines restart, and the first leader polls its runners. Guards
// against one turn of the event loop with all polls, in which no heartbeat is
// answered: the members elected another leader 630 ms after the first one.
t.test("the first polls of a new leader leave turns for messages", async (t) => {
  let polls = 0;
  const controller = startBusyController(RUNNERS, {
    clock: createSystemClock(),
    poll() {
      polls += 1;
      const endMs = performance.now() + POLL_MS;
      while (performance.now() < endMs);
    },
    waitForTurn: waitForImmediate,
  });
  let most = 0;
  while (polls < RUNNERS) {
    const before = polls;
    await waitForImmediate();
    most = Math.max(most, polls - before);
  }
  controller.stop();
  t.ok(most * POLL_MS <= MAX_TURN_MS, `${most} polls in one turn`);
});

// Scenario: a cell with 217 runners gets a new leader, whose turns take long while
// callers return. Guards against runners that get no task until they are polled: the
// last one was polled after 3.2 s.
t.test("a busy new leader polls all its runners within a second", async (t) => {
  const clock = createManualClock();
  let polls = 0;
  const controller = startBusyController(217, {
    clock,
    poll: () => polls += 1,
    waitForTurn: () => wait(clock, 15),
  });
  await advanceBy(clock, 1_000, 1);
  controller.stop();
  t.equal(polls, 217);
});
