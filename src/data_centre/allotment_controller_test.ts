import t from "tap";
import { createFakeLog, waitForTurn } from "../../test/controller_fakes.ts";
import {
  type AllotmentAsk,
  type AllotmentCommand,
  createAllotments,
  createRebalancer,
} from "../allotments/mod.ts";
import {
  createManualClock,
  createSeededRandom,
  createSilentLogger,
} from "../common/mod.ts";
import {
  createFleetState,
  encodeCommand,
  type FleetOperation,
  type FleetView,
  type Limits,
  NO_LIMITS,
} from "../fleet/mod.ts";
import {
  createAllotmentController,
  type MeasuredLoad,
} from "./allotment_controller.ts";

const slots = (count: number): Limits => ({ ...NO_LIMITS, slots: count });

/** Creates a controller of "a", which holds the whole limit of 10 of both workspaces, "t" and "u". */
async function createFixture() {
  const clock = createManualClock(1_000_000);
  const machine = createFleetState();
  let changes = 0;
  const change = (...operations: FleetOperation[]) => {
    const changeId = `c${changes++}`;
    const command = { at: 0, change: { changeId, operations } };
    machine.apply(encodeCommand(command), changes);
  };
  change({ type: "setDataCentres", names: ["a"] });
  for (const name of ["t", "u"]) {
    change({ type: "createWorkspace", name, share: 1, limits: slots(10) });
  }
  const allotments = createAllotments("a");
  const log = createFakeLog((command: AllotmentCommand) =>
    allotments.apply(command)
  );
  const running = new Map<string, number>();
  const controller = createAllotmentController({
    dataCentre: "a",
    allotments,
    rebalancer: createRebalancer({
      dataCentre: "a",
      clock,
      random: createSeededRandom(20_261_204),
    }),
    view: { getState: () => machine.getState() } as unknown as FleetView,
    clock,
    logger: createSilentLogger(),
    propose: log.propose,
    holdsLease: () => true,
    measureLoads: () => {
      const loads = new Map<string, MeasuredLoad>();
      for (const [workspace, count] of running) {
        loads.set(workspace, { running: slots(count), waiting: NO_LIMITS });
      }
      return loads;
    },
    sendAsk: () => Promise.resolve(NO_LIMITS),
    sendTransfer: () => new Promise(() => {}),
    handleChange: () => {},
    handleFailure: (error) => {
      throw error;
    },
  });
  const startWork = (workspace: string, count: number) => {
    const load = { running: slots(count), waiting: NO_LIMITS };
    if (controller.computeUsable(workspace, load).slots < count) return;
    running.set(workspace, count);
  };
  const countAboveHeld = () =>
    [...running].filter(([workspace, count]) =>
      count > allotments.getHeld(workspace).slots
    ).length;
  clock.advance(200);
  await waitForTurn();
  await log.commitAll();
  change({ type: "setDataCentres", names: ["a", "b", "c"] });
  return {
    clock,
    log,
    allotments,
    controller,
    change,
    running,
    startWork,
    countAboveHeld,
  };
}

const buildAsk = (from: string): AllotmentAsk => ({
  from,
  to: "a",
  workspace: "t",
  wanted: slots(4),
  entitled: NO_LIMITS,
  levelling: false,
});

// Guards against transferring the same idle allotment twice. More would run than
// is held, and the workspace would exceed its limit across the fleet.
t.test("concurrent asks share the idle allotment", async (t) => {
  const { controller, log, allotments, running, countAboveHeld } =
    await createFixture();
  running.set("t", 6);
  const offers = [
    controller.receiveAsk(buildAsk("b")),
    controller.receiveAsk(buildAsk("c")),
  ];
  await waitForTurn();
  await log.commitAll();
  const given = (await Promise.all(offers)).map((offer) => offer.slots);
  t.equal(given[0]! + given[1]!, 4);
  t.equal(allotments.getHeld("t").slots, 6);
  t.equal(countAboveHeld(), 0);
});

// Guards against starting work on allotment while its transfer is being recorded.
t.test("work does not start on allotment being transferred", async (t) => {
  const { controller, log, running, startWork, countAboveHeld } =
    await createFixture();
  running.set("t", 6);
  void controller.receiveAsk(buildAsk("b"));
  await waitForTurn();
  startWork("t", 10);
  await log.commitAll();
  t.equal(countAboveHeld(), 0);
});

// Guards against offering allotment that a lowered limit cuts: the transfer is
// applied after the cut, and more would run than is held.
t.test("an ask gets nothing of a cut being recorded", async (t) => {
  const { clock, change, controller, log, running, countAboveHeld } =
    await createFixture();
  running.set("t", 6);
  change({ type: "updateWorkspace", name: "t", limits: slots(7) });
  clock.advance(200);
  await waitForTurn();
  t.equal(log.pending[0]?.type, "applyConfiguration");
  const offer = controller.receiveAsk(buildAsk("b"));
  await waitForTurn();
  await log.commitAll();
  t.equal((await offer).slots, 1);
  t.equal(countAboveHeld(), 0);
});

// Guards against starting work on allotment after its return was planned.
t.test("work does not start on allotment returned by a leaving data centre", async (t) => {
  const { clock, change, log, running, startWork, countAboveHeld, allotments } =
    await createFixture();
  running.set("t", 1).set("u", 1);
  change({ type: "setDataCentres", names: ["b", "c"] });
  for (let step = 0; step < 40; step++) {
    clock.advance(50);
    await waitForTurn();
    startWork("t", 2 + step);
    startWork("u", 2 + step);
    if (log.pending.length > 0) await log.commitNext();
    t.equal(countAboveHeld(), 0, `step ${step}`);
  }
  t.ok(allotments.getTransfersInProgress().length > 0);
});

// Guards against two active controllers in one epoch: the successor does not
// know the proposals of a stopped controller and would start work on the same
// allotment.
t.test("a stopped controller makes no more proposals", async (t) => {
  const { clock, change, controller, log, running } = await createFixture();
  running.set("t", 1);
  change({ type: "setDataCentres", names: ["b", "c"] });
  clock.advance(200);
  await waitForTurn();
  t.equal(log.pending[0]?.type, "applyConfiguration");
  controller.stop();
  await log.commitNext();
  t.same(log.pending, []);
});

// Guards against limits that stay with an evacuated data centre while requests
// wait in the only other one, and against ending what runs there.
t.test("an evacuated data centre offers all but what runs", async (t) => {
  const { change, controller, log, running } = await createFixture();
  change({ type: "evacuateDataCentre", name: "a" });
  running.set("t", 8);
  const offer = controller.receiveAsk(buildAsk("b"));
  await waitForTurn();
  await log.commitAll();
  t.equal((await offer).slots, 2);
  const load = { running: slots(8), waiting: slots(5) };
  t.equal(controller.computeUsable("t", load).slots, 8);
});
