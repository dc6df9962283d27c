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
  // Makes the state much larger than a few deltas.
  const names = Array.from({ length: 100 }, (_, i) => `q${i}`);
  change(...names.map((name): FleetOperation => (
    { type: "createQueue", name, open: false, policy: "batch" }
  )));
  for (const name of names.slice(0, 6)) change({ type: "removeQueue", name });
  return { deltas, machine };
}

// Guards against deltas that do not follow the version of the watcher, and
// against a full state where a few deltas are enough.
t.test("a watcher gets deltas while they are kept, then the full state", (t) => {
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
  // A history that lacks the newest delta must fall back to the full state.
  const behind = createUpdateHistory(getState);
  deltas.slice(0, 6).forEach((delta) => behind.addDelta(delta));
  t.ok(behind.buildUpdates(5, 0)[0]?.snapshot);
  t.end();
});

// Guards against reporting a version as in effect in a data centre that has
// not applied it.
t.test("the rollout status of a version", (t) => {
  const applied = new Map([["a", 5], ["b", 4], ["x", 9]]);
  t.strictSame(computeRolloutStatus(["a", "b", "c"], applied, 5), {
    inEffect: ["a"],
    pending: ["b", "c"],
  });
  t.end();
});
