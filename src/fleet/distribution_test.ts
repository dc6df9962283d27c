import t from "tap";
import { computeRolloutStatus, createUpdateHistory } from "./distribution.ts";
import { createFleetState } from "./fleet_state.ts";
import { encodeCommand } from "./schema.ts";
import type { FleetDelta, FleetOperation } from "./types.ts";

function createFleet() {
  const deltas: FleetDelta[] = [];
  const machine = createFleetState({
    handleDelta: (delta) => deltas.push(delta),
  });
  const change = (...operations: FleetOperation[]) => {
    const changeId = `c${machine.getState().version}`;
    const command = { at: 0, change: { changeId, operations } };
    machine.apply(encodeCommand(command), 0);
  };
  // A state that is much larger than a few deltas.
  const names = Array.from({ length: 100 }, (_, i) => `q${i}`);
  change(...names.map((name): FleetOperation => (
    { type: "createQueue", name, open: false, policy: "batch" }
  )));
  for (const name of names.slice(0, 6)) change({ type: "removeQueue", name });
  return { deltas, machine };
}

// Guards against a watcher that is sent deltas that do not follow its version,
// and against a full state where a few deltas are enough.
t.test("deltas as far back as they are kept, else the full state", (t) => {
  const { deltas, machine } = createFleet();
  const getState = () => machine.getState();
  const byCount = createUpdateHistory(getState, { maxCount: 3 });
  const maxBytes = 2 + 3 * JSON.stringify(deltas[6]).length;
  const byBytes = createUpdateHistory(getState, { maxBytes });
  const withGap = createUpdateHistory(getState);
  deltas.forEach((delta) => {
    byCount.addDelta(delta);
    byBytes.addDelta(delta);
    if (delta.version !== 4) withGap.addDelta(delta);
  });
  for (const history of [byCount, byBytes, withGap]) {
    const list = (version: number) =>
      history.buildUpdates(version, 0).map((update) =>
        `${update.snapshot ? "full" : "delta"} ${update.version}`
      );
    t.strictSame(list(7), []);
    t.strictSame(list(8), []);
    t.strictSame(list(6), ["delta 7"]);
    t.strictSame(list(4), ["delta 5", "delta 6", "delta 7"]);
    for (const version of [0, 1, 2, 3]) {
      t.strictSame(list(version), ["full 7"], `from ${version}`);
    }
  }
  // A history that is behind its state must not pretend to be current.
  const behind = createUpdateHistory(getState);
  deltas.slice(0, 6).forEach((delta) => behind.addDelta(delta));
  t.ok(behind.buildUpdates(5, 0)[0]?.snapshot);
  t.end();
});

// Guards against an answer that counts a data centre as reached before it is.
t.test("the reach of a version", (t) => {
  const applied = new Map([["a", 5], ["b", 4], ["x", 9]]);
  t.strictSame(computeRolloutStatus(["a", "b", "c"], applied, 5), {
    inEffect: ["a"],
    pending: ["b", "c"],
  });
  t.end();
});
