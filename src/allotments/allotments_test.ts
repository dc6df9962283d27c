import t from "tap";
import {
  createFleetState,
  encodeCommand,
  type FleetOperation,
  NO_LIMITS,
} from "../fleet/mod.ts";
import { createAllotments } from "./allotments.ts";
import { isLimitInForce, planClose } from "./limit_status.ts";
import type { AllotmentCommand, AllotmentTransfer } from "./types.ts";

const slots = (count: number) => ({ ...NO_LIMITS, slots: count });
const configure = (
  fromVersion: number,
  version: number,
  change: number,
): AllotmentCommand => ({
  type: "applyConfiguration",
  fromVersion,
  version,
  changes: [{
    workspace: "t",
    grant: slots(Math.max(0, change)),
    cut: slots(Math.max(0, -change)),
  }],
});
const transfer = (number: number, count = 1): AllotmentTransfer => ({
  id: `b/a/${number}`,
  from: "b",
  to: "a",
  workspace: "t",
  amount: slots(count),
});

// Guards against applying a configuration twice, or to a version on which its
// grants and cuts are not based.
t.test("each configuration version is applied once", (t) => {
  const a = createAllotments("a");
  t.match(a.apply(configure(0, 3, 5)), { applied: true });
  t.match(a.apply(configure(0, 3, 5)), { reason: "duplicate" });
  t.match(a.apply(configure(0, 4, 5)), { reason: "refused" });
  t.match(a.apply(configure(3, 4, -7)), { applied: true });
  t.equal(a.getHeld("t").slots, -2);
  t.equal(a.getAppliedVersion(), 4);
  t.end();
});

// Guards against a transfer that adds units twice or units never held, and
// against memory use that grows with the number of transfers.
t.test("each transfer is applied once on both sides", (t) => {
  const a = createAllotments("a");
  a.apply(configure(0, 1, 5));
  const out = { type: "transferOut", to: "b", workspace: "t" } as const;
  t.match(a.apply({ ...out, amount: slots(6) }), { reason: "refused" });
  t.match(a.apply({ ...out, amount: slots(0) }), { reason: "refused" });
  t.match(a.apply({ ...out, amount: slots(-1) }), { reason: "refused" });
  t.match(a.apply({ ...out, amount: slots(0.5) }), { reason: "refused" });
  t.match(a.apply({ ...out, to: "a", amount: slots(1) }), {
    reason: "refused",
  });
  t.match(a.apply({ ...out, amount: slots(5) }), {
    transfer: { id: "a/b/1" },
  });
  t.equal(a.getHeld("t").slots, 0);
  const acknowledged = { type: "transferAcknowledged", transferId: "a/b/1" };
  t.match(a.apply(acknowledged as AllotmentCommand), { applied: true });
  t.match(a.apply(acknowledged as AllotmentCommand), { reason: "duplicate" });

  const receive = (received: AllotmentTransfer) =>
    a.apply({ type: "transferIn", transfer: received });
  for (const number of [2, 3, 1]) {
    t.match(receive(transfer(number)), { applied: true });
    t.match(receive(transfer(number)), { reason: "duplicate" });
  }
  t.match(receive({ ...transfer(4), to: "c" }), { reason: "refused" });
  t.match(receive({ ...transfer(4), id: "c/a/4" }), { reason: "refused" });
  t.match(receive({ ...transfer(4), id: "b/a/04" }), { reason: "refused" });
  t.match(receive(transfer(4, -1)), { reason: "refused" });
  t.equal(a.getHeld("t").slots, 3);
  const size = a.takeSnapshot().length;
  for (let number = 5; number < 1_000; number++) receive(transfer(number));
  receive(transfer(4));
  t.equal(a.getHeld("t").slots, 999);
  t.ok(a.takeSnapshot().length < size + 20, "received numbers are merged");
  t.end();
});

// Guards against a restart during a transfer that loses open transfers, the last
// assigned number or the numbers received out of order.
t.test("a restart keeps open transfers", (t) => {
  const a = createAllotments("a");
  a.apply(configure(0, 1, 5));
  a.apply({ type: "transferIn", transfer: transfer(3) });
  const out = { type: "transferOut", to: "b", workspace: "t" } as const;
  a.apply({ ...out, amount: slots(2) });
  const restarted = createAllotments("a");
  restarted.restoreSnapshot(a.takeSnapshot());
  const receive = (number: number) =>
    restarted.apply({ type: "transferIn", transfer: transfer(number) });
  t.match(receive(3), { reason: "duplicate" });
  t.match(receive(1), { applied: true });
  t.equal(restarted.getHeld("t").slots, 5);
  t.strictSame(restarted.getTransfersInProgress(), a.getTransfersInProgress());
  t.match(restarted.apply({ ...out, amount: slots(1) }), {
    transfer: { id: "a/b/2" },
  });
  t.throws(() => createAllotments("b").restoreSnapshot(a.takeSnapshot()));
  t.end();
});

// Guards against closing a data centre, which may then be switched off, while it
// has running work, a held allotment or a transfer in progress.
t.test("a data centre is closed only when it is empty", (t) => {
  const machine = createFleetState();
  const change = (...operations: FleetOperation[]) => {
    const changeId = `c${machine.getState().version}`;
    const command = { at: 0, change: { changeId, operations } };
    machine.apply(encodeCommand(command), 0);
  };
  change(
    { type: "setDataCentres", names: ["a", "b"] },
    { type: "createWorkspace", name: "t", share: 1, limits: slots(4) },
  );
  const a = createAllotments("a");
  const plan = (hasRunningWork = false) =>
    planClose(a, machine.getState(), hasRunningWork);
  const apply = () => a.apply(a.planConfiguration(machine.getState())!);
  apply();
  t.equal(plan(), undefined, "configured");
  change({ type: "setDataCentres", names: ["b"] });
  t.equal(plan(), undefined, "has not applied its removal");
  apply();
  t.equal(plan(), undefined, "holds two slots");
  const amount = slots(2);
  a.apply({ type: "transferOut", to: "b", workspace: "t", amount });
  t.equal(plan(), undefined, "the transfer is not acknowledged");
  a.apply({ type: "transferAcknowledged", transferId: "a/b/1" });
  t.equal(plan(true), undefined, "runs work above the held amount");
  const close = { type: "closeDataCentre", name: "a", appliedVersion: 2 };
  t.strictSame(plan(), close);
  change({ type: "updateWorkspace", name: "t", limits: { slots: 2 } });
  t.equal(plan(), undefined, "has not applied the cut");
  apply();
  t.equal(a.getHeld("t").slots, -1);
  t.equal(plan(), undefined, "holds a negative amount");
  t.end();
});

// Guards against reporting a limit as in force while a data centre has not
// applied it, has not reported, or runs more than it holds.
t.test("a limit is in force only if it is in force in all data centres", (t) => {
  const report = (appliedVersion: number, held: number, running: number) => ({
    appliedVersion,
    workspaces: new Map([["t", {
      held: slots(held),
      running: slots(running),
    }]]),
  });
  const reports = new Map([
    ["a", report(5, 2, 2)],
    ["b", report(4, 9, 0)],
    ["c", report(5, 2, 3)],
    ["e", report(5, -1, 0)],
    ["f", { appliedVersion: 7, workspaces: new Map() }],
  ]);
  const query = { workspace: "t", version: 5 };
  const names = ["a", "b", "c", "d", "e", "f"];
  const status = isLimitInForce(names, reports, query);
  t.notOk(status.inForce);
  t.strictSame(status.pending, ["b", "c", "d", "e"]);
  t.match(Object.fromEntries(status.byDataCentre), {
    b: { reason: "notApplied" },
    c: { reason: "runningAboveHeld" },
    d: { reason: "notReported" },
    e: { reason: "runningAboveHeld" },
  });
  t.ok(isLimitInForce(["a", "f"], reports, query).inForce);
  t.end();
});
