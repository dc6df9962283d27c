import t from "tap";
import { advanceBy } from "../../test/controller_fakes.ts";
import {
  createFault,
  createManualClock,
  createSilentLogger,
} from "../common/mod.ts";
import { createRunnerEntry } from "../model/mod.ts";
import type { HoldReply, OrderReply, RunnerCalls } from "./runner_calls.ts";
import { startRunnerDriver } from "./runner_driver.ts";
import { addOccupant, createRunner } from "./runner_table.ts";

const RUNS = 12;

/** Step in which the clock advances, in milliseconds. */
const STEP_MS = 5;

/** Longest time in which a cancelled run may go on, in milliseconds; from the platform's rules. */
const CANCEL_LIMIT_MS = 3_000;

/** A driver whose runner refuses all calls until `isUp` is set. */
function createDriverFixture() {
  const clock = createManualClock(0);
  const runner = createRunner(createRunnerEntry("r"), 0);
  const state = { isUp: true, polls: 0, stops: 0 };

  function checkConnection(): void {
    if (!state.isUp) throw createFault("unavailable", "Cannot connect");
  }

  const calls: RunnerCalls = {
    start: (): Promise<OrderReply> =>
      Promise.reject(createFault("unavailable", "Cannot connect")),
    async stop(): Promise<OrderReply> {
      state.stops += 1;
      checkConnection();
      return await Promise.resolve({ outcome: "accepted", clockMs: 1 });
    },
    hold(_, { waitMs }): Promise<HoldReply> {
      state.polls += 1;
      return new Promise((resolve, reject) => {
        clock.setTimer(state.isUp ? waitMs + 2 : 2, () => {
          if (!state.isUp) {
            return reject(createFault("unavailable", "Cannot connect"));
          }
          resolve({
            outcome: "accepted",
            clockMs: clock.now(),
            startedMs: 1,
            running: [],
            ended: [],
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
    maxLeaseMs: 10_000,
    isLeading: () => true,
    handlePollReply: () => Promise.resolve(),
    handleOtherIncarnation: () => {},
    handleStaleFence: () => {},
  });

  return { clock, runner, state, driver };
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
