import t from "tap";
import {
  createFault,
  createManualClock,
  createSilentLogger,
} from "../common/mod.ts";
import type { HoldReply, OrderReply, RunnerCalls } from "./runner_calls.ts";
import { startRunnerDriver } from "./runner_driver.ts";
import { addOccupant, createRunner } from "./runner_table.ts";

const RUNS = 12;

/** Longest time in which a cancelled run may go on, in milliseconds; from the platform's rules. */
const CANCEL_LIMIT_MS = 3_000;

/** A driver whose runner refuses all calls until `isUp` is set. */
function createDriverFixture() {
  const clock = createManualClock(0);
  const runner = createRunner({
    id: "r",
    startedMs: 1,
    address: "r:1",
    pool: "pool",
    dataCentre: "one",
    capacity: { processors: 4_000, memoryMb: 4_000, accelerators: 0 },
    labels: [],
    isDraining: false,
  }, 0);
  const fixture = { isUp: true, polls: 0, stops: 0, clock, runner };

  function checkConnection(): void {
    if (!fixture.isUp) throw createFault("unavailable", "Cannot connect");
  }

  const calls: RunnerCalls = {
    start: (): Promise<OrderReply> =>
      Promise.reject(createFault("unavailable", "Cannot connect")),
    async stop(): Promise<OrderReply> {
      fixture.stops += 1;
      checkConnection();
      return await Promise.resolve({ outcome: "accepted", clockMs: 1 });
    },
    hold(_, { waitMs }): Promise<HoldReply> {
      fixture.polls += 1;
      return new Promise((resolve, reject) => {
        clock.setTimer(fixture.isUp ? waitMs + 2 : 2, () => {
          if (!fixture.isUp) {
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

  async function run(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += 5) {
      clock.advance(5);
      await new Promise<void>((resolve) => setImmediate(resolve));
    }
  }

  return { ...fixture, fixture, driver, run };
}

// Guards against a leader that spends its processor time on orders to crashed
// runners: one retry loop for each run, as fast as the runner refuses.
t.test("orders to an unresponsive runner wait for its polls", async (t) => {
  const { fixture, driver, runner, clock, run } = createDriverFixture();
  await run(50);
  fixture.isUp = false;
  await run(1_500);
  fixture.polls = 0;
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
  await run(CANCEL_LIMIT_MS);
  t.ok(fixture.polls >= 4, `${fixture.polls} polls`);
  t.ok(fixture.polls <= 10, `${fixture.polls} polls`);
  // Each run is tried again now and then, in case only polls fail.
  t.ok(fixture.stops <= RUNS * 4, `${fixture.stops} stops`);
  fixture.isUp = true;
  await run(1_000);
  t.equal(stopped, RUNS);
  driver.stop();
});
