import t from "tap";
import { createSilentLogger, createSystemClock } from "../common/mod.ts";
import { createRunnerEntry } from "../model/mod.ts";
import { waitForImmediate } from "../report/event_loop.ts";
import { startWorkController } from "./work_controller.ts";
import { createWorkState, encodeRecords } from "./work_state.ts";

const RUNNERS = 100;

/** Processor time of a poll in a process that has just started, in milliseconds. */
const POLL_MS = 2;

/** Longest time in which a leader may read no messages, in milliseconds; several fit into an election timeout of 550 ms. */
const MAX_TURN_MS = 100;

// Scenario: all machines restart, and the first leader polls its runners. Guards
// against one turn of the event loop with all polls, in which no heartbeat is
// answered: the members elected another leader 630 ms after the first one.
t.test("the first polls of a new leader leave turns for messages", async (t) => {
  const state = createWorkState();
  for (let at = 0; at < RUNNERS; at += 1) {
    const runner = createRunnerEntry(`r${at}`);
    state.apply(encodeRecords([{ kind: "runner", runner }]), at + 1);
  }
  let polls = 0;
  const controller = startWorkController({
    clock: createSystemClock(),
    logger: createSilentLogger(),
    state,
    fence: 1,
    isLeading: () => true,
    propose: () => Promise.resolve(),
    calls: {
      start: () => new Promise(() => {}),
      stop: () => new Promise(() => {}),
      hold() {
        polls += 1;
        const endMs = performance.now() + POLL_MS;
        while (performance.now() < endMs);
        return new Promise(() => {});
      },
      release() {},
      releaseOwn() {},
    },
    ask: () => new Promise(() => {}),
    maxLeaseMs: 10_000,
    keepMs: 60_000,
    handleStaleFence() {},
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
