import t from "tap";
import { Buffer } from "node:buffer";
import { createManualClock, isFault } from "../common/mod.ts";
import { createUpdateHistory, UNCONFIRMED_AGE_MS } from "./distribution.ts";
import { createFleetState } from "./fleet_state.ts";
import { createFleetView, KEY_CONFIRMATION_GRACE_MS } from "./fleet_view.ts";
import { createKeySecret } from "./key_secret.ts";
import { encodeCommand } from "./schema.ts";
import type {
  ConfigUpdate,
  FleetOperation,
  FleetView,
  FleetViewOptions,
} from "./types.ts";

const limits = { slots: 8, processors: 4000, memoryMb: 100, accelerators: 1 };
const key1 = createKeySecret({ id: "k1" });
const key2 = createKeySecret({ id: "k2" });

function createFleet(options: Partial<FleetViewOptions> = {}) {
  const machine = createFleetState({
    handleDelta: (delta) => history.addDelta(delta),
  });
  const history = createUpdateHistory(() => machine.getState());
  const clock = createManualClock(1_000_000);
  const view = createFleetView({ clock, ...options });
  let changes = 0;

  function change(...operations: FleetOperation[]): void {
    const command = {
      at: 0,
      change: { changeId: `c${changes++}`, operations },
    };
    const answer = machine.apply(encodeCommand(command), changes);
    if (!answer.accepted) throw new Error(answer.fault.message);
  }

  const send = (version: number) => history.buildUpdates(version, 0);

  change(
    { type: "createWorkspace", name: "a", share: 1, limits },
    { type: "grantKey", id: "k1", workspace: "a", hash: key1.hash },
    { type: "grantKey", id: "k2", workspace: "a", hash: key2.hash },
  );
  for (const update of send(0)) view.applyUpdate(update);
  return { machine, history, clock, view, change, send };
}

const withdrawKey = (id: string): FleetOperation => ({
  type: "withdrawKey",
  id,
});

function checkKey(view: FleetView, secret: string | undefined): string {
  try {
    return view.checkKey(secret).name;
  } catch (error) {
    return isFault(error) ? error.kind : String(error);
  }
}

// Guards against a wrong, missing or forged key that is accepted, and against
// a fault message that contains the secret.
t.test("only valid keys are accepted", (t) => {
  const { view } = createFleet();
  const forged = `gcl_k1_${key2.secret.slice("gcl_k2_".length)}`;
  t.equal(checkKey(view, key1.secret), "a");
  const others = [
    undefined,
    "",
    "gcl_k1_",
    "gcl___proto___x",
    forged,
    key1.secret + "x",
    createKeySecret({ id: "k3" }).secret,
  ];
  for (const secret of others) {
    t.equal(checkKey(view, secret), "unauthenticated", secret ?? "none");
  }
  try {
    view.checkKey(forged);
  } catch (error) {
    t.notMatch((error as Error).message, forged);
  }
  t.end();
});

// Guards against a view that returns to an older version, skips a change or
// fails on invalid data.
t.test("the version of a view only increases, without gaps", (t) => {
  const { view, change, send } = createFleet();
  change(withdrawKey("k1"));
  const [second] = send(1);
  change(withdrawKey("k2"));
  const [third] = send(2);
  const full: ConfigUpdate = send(-5)[0]!;
  t.equal(view.applyUpdate(third!), "needsFullState");
  const broken = { ...second!, data: Buffer.from("{") };
  t.equal(view.applyUpdate(broken), "needsFullState");
  const misnumbered = { ...third!, version: 2 };
  t.equal(view.applyUpdate(misnumbered), "needsFullState");
  t.equal(checkKey(view, key1.secret), "a");
  t.equal(view.applyUpdate(second!), "applied");
  t.equal(view.applyUpdate(second!), "ignored");
  t.equal(checkKey(view, key1.secret), "unauthenticated");
  t.equal(checkKey(view, key2.secret), "a");
  t.ok(full.snapshot);
  t.equal(view.applyUpdate(full), "applied");
  t.equal(view.applyUpdate(second!), "ignored");
  t.equal(checkKey(view, key2.secret), "unauthenticated");
  t.equal(view.getVersion(), 3);
  t.end();
});

// Guards against keys that are accepted longer than the limit after the last
// confirmation, and against a confirmation of a version that the view does not
// have.
t.test("keys are rejected when the configuration is stale", (t) => {
  for (const keyStalenessLimitMs of [0, 60_000]) {
    const { view, clock } = createFleet({ keyStalenessLimitMs });
    const allowedMs = keyStalenessLimitMs + KEY_CONFIRMATION_GRACE_MS;
    clock.advance(allowedMs);
    t.equal(checkKey(view, key1.secret), "a");
    clock.advance(1);
    t.equal(checkKey(view, key1.secret), "unavailable");
    t.equal(checkKey(view, "gcl_x_y"), "unauthenticated");
    view.confirmVersion(2, 0);
    t.equal(checkKey(view, key1.secret), "unavailable");
    view.confirmVersion(1, allowedMs + 1);
    t.equal(checkKey(view, key1.secret), "unavailable");
    view.confirmVersion(1, allowedMs);
    t.equal(checkKey(view, key1.secret), "a");
  }
  t.end();
});

// Guards against a batch of deltas that is interrupted and leaves the view
// confirmed at a version that is not the newest.
t.test("only the last delta of a batch confirms the configuration", (t) => {
  const { view, clock, change, send } = createFleet({ keyStalenessLimitMs: 0 });
  change({ type: "updateWorkspace", name: "a", share: 2 });
  change(withdrawKey("k1"));
  clock.advance(KEY_CONFIRMATION_GRACE_MS + 1);
  const updates = send(1);
  t.strictSame(updates.map(({ ageMs }) => ageMs), [UNCONFIRMED_AGE_MS, 0]);
  view.applyUpdate(updates[0]!);
  t.equal(checkKey(view, key2.secret), "unavailable");
  view.applyUpdate(updates[1]!);
  t.equal(checkKey(view, key2.secret), "a");
  t.end();
});

// Guards against a local withdrawal that takes effect late, that is lost by a
// restart or an older full state, or that is kept after it was merged.
t.test("a local withdrawal is in effect until it is merged", (t) => {
  const { view, clock, change, send } = createFleet();
  view.addLocalWithdrawals([{ keyId: "k1", at: 5 }]);
  view.addLocalWithdrawals([{ keyId: "k1", at: 9 }]);
  t.equal(checkKey(view, key1.secret), "unauthenticated");
  change({ type: "updateWorkspace", name: "a", share: 2 });
  for (const update of send(0)) view.applyUpdate(update);
  const restarted = createFleetView({ clock, saved: view.saveState() });
  for (const copy of [view, restarted]) {
    t.equal(checkKey(copy, key1.secret), "unauthenticated");
    t.equal(checkKey(copy, key2.secret), "a");
    t.strictSame(copy.getLocalWithdrawals(), [{ keyId: "k1", at: 5 }]);
  }
  change(withdrawKey("k1"));
  restarted.recordMergedWithdrawal("k1", 3);
  t.equal(restarted.getLocalWithdrawals().length, 1);
  for (const copy of [view, restarted]) {
    for (const update of send(copy.getVersion())) copy.applyUpdate(update);
    t.strictSame(copy.getLocalWithdrawals(), []);
    t.equal(checkKey(copy, key1.secret), "unauthenticated");
  }
  t.end();
});

// Guards against an instance that treats old saved data as fresh after a
// restart.
t.test("the age of the configuration survives a restart", (t) => {
  const { view, clock } = createFleet({ keyStalenessLimitMs: 60_000 });
  const saved = view.saveState();
  clock.advance(30_000);
  const restart = (startMs: number) =>
    createFleetView({
      clock: createManualClock(startMs),
      saved,
      keyStalenessLimitMs: 60_000,
    });
  t.equal(restart(clock.now()).getAgeMs(), 30_000);
  t.equal(checkKey(restart(clock.now() + 40_000), key1.secret), "unavailable");
  // The age is unknown when the wall clock was set back.
  t.equal(checkKey(restart(1_000), key1.secret), "unavailable");
  t.end();
});

// Guards against watchers that miss a version or are called after removal.
t.test("watchers are called for each version", (t) => {
  const { view, change, send } = createFleet();
  const seen: number[] = [];
  const stop = view.watchVersion((state) => seen.push(state.version));
  change(withdrawKey("k1"));
  change(withdrawKey("k2"));
  for (const update of send(1)) view.applyUpdate(update);
  stop();
  change({ type: "removeWorkspace", name: "a" });
  for (const update of send(3)) view.applyUpdate(update);
  t.strictSame(seen, [2, 3]);
  t.end();
});
