import t from "tap";
import fc from "fast-check";
import { Buffer } from "node:buffer";
import { createManualClock } from "../common/mod.ts";
import { createUpdateHistory } from "./distribution.ts";
import { createFleetState } from "./fleet_state.ts";
import { createFleetView } from "./fleet_view.ts";
import { encodeCommand } from "./schema.ts";
import { encodeState } from "./state_codec.ts";
import type {
  ChangeAnswer,
  ConfigUpdate,
  FleetChange,
  FleetOperation,
} from "./types.ts";

const SEED = 20_261_204;
const HASH = "ab".repeat(32);
const name = fc.constantFrom("a", "b", "c");
const keyId = fc.constantFrom("k1", "k2", "k3", "k4");
const amount = fc.nat(9);
const limits = fc.record({
  slots: amount,
  processors: amount,
  memoryMb: amount,
  accelerators: amount,
});

const operation: fc.Arbitrary<FleetOperation> = fc.oneof(
  fc.record({
    type: fc.constant("createWorkspace" as const),
    name,
    share: fc.integer({ min: 1, max: 9 }),
    limits,
  }),
  fc.record({
    type: fc.constant("updateWorkspace" as const),
    name,
    share: fc.integer({ min: 1, max: 9 }),
  }),
  fc.record({ type: fc.constant("updateWorkspace" as const), name, limits }),
  fc.record({ type: fc.constant("removeWorkspace" as const), name }),
  fc.record({
    type: fc.constant("grantKey" as const),
    id: keyId,
    workspace: name,
    hash: fc.constant(HASH),
  }),
  fc.record({ type: fc.constant("withdrawKey" as const), id: keyId }),
  fc.record({
    type: fc.constant("createQueue" as const),
    name,
    open: fc.boolean(),
    policy: fc.constant("batch" as const),
  }),
  fc.record({ type: fc.constant("removeQueue" as const), name }),
  fc.record({
    type: fc.constant("setDataCentres" as const),
    names: fc.subarray(["x", "y", "z"], { minLength: 1 }),
  }),
  fc.record({
    type: fc.constantFrom(
      "evacuateDataCentre" as const,
      "readmitDataCentre" as const,
    ),
    name: fc.constantFrom("x", "y"),
  }),
);

type Step =
  | { type: "submit"; lag: number; operations: FleetOperation[] }
  | { type: "submitUnconditional"; operations: FleetOperation[] }
  | { type: "retry"; pick: number }
  | { type: "restart" }
  | { type: "deliver"; pick: number }
  | { type: "reconnect" };

const operations = fc.array(operation, { minLength: 1, maxLength: 3 });
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant("submit" as const),
      lag: fc.nat(2),
      operations,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant("submitUnconditional" as const),
      operations,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constant("retry" as const),
      pick: fc.nat(1_000),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant("restart" as const) }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant("deliver" as const),
      pick: fc.nat(1_000),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ type: fc.constant("reconnect" as const) }),
  },
);

function createModel() {
  const create = () =>
    createFleetState({
      handleDelta: (delta) => history.addDelta(delta),
      handleRestore: () => history.removeAll(),
    });
  let machine = create();
  const history = createUpdateHistory(() => machine.getState(), {
    maxCount: 3,
  });
  // Applies the same commands and never restarts.
  const replica = createFleetState();
  const view = createFleetView({ clock: createManualClock() });
  const sent: { change: FleetChange; answer: ChangeAnswer }[] = [];
  // Accepted changes by expected version.
  const acceptedIds = new Map<number, string>();
  const statesByVersion = new Map<number, string>([
    [0, encodeText(machine.getState())],
  ]);
  const withdrawn = new Set<string>();
  const inFlight: ConfigUpdate[] = [];

  function encodeText(state: Parameters<typeof encodeState>[0]): string {
    return Buffer.from(encodeState(state)).toString();
  }

  function applyChange(change: FleetChange): ChangeAnswer {
    const data = encodeCommand({ at: sent.length, change });
    const answer = machine.apply(data, 0);
    replica.apply(data, 0);
    return answer;
  }

  function submit(change: FleetChange): void {
    const before = machine.getState().version;
    const answer = applyChange(change);
    const { expectedVersion } = change;
    if (answer.accepted) {
      if (answer.version !== before + 1) throw new Error("Version skipped");
      if (expectedVersion !== undefined) {
        if (acceptedIds.has(expectedVersion)) throw new Error("Two accepted");
        acceptedIds.set(expectedVersion, change.changeId);
      }
      for (const { id } of machine.getWithdrawnKeys()) withdrawn.add(id);
    } else if (machine.getState().version !== before) {
      throw new Error("A rejected change increased the version");
    }
    sent.push({ change, answer });
    const state = machine.getState();
    statesByVersion.set(state.version, encodeText(state));
    inFlight.push(...history.buildUpdates(state.version - 1, 0));
  }

  function submitAgain(pick: number): void {
    const first = sent[pick % sent.length];
    if (first === undefined) return;
    const before = encodeText(machine.getState());
    const answer = applyChange(first.change);
    if (JSON.stringify(answer) !== JSON.stringify(first.answer)) {
      throw new Error("A retry got another answer");
    }
    if (encodeText(machine.getState()) !== before) {
      throw new Error("A retry was applied");
    }
  }

  function check(): void {
    const state = machine.getState();
    for (const id of withdrawn) {
      if (state.keys.has(id)) throw new Error("A withdrawn key returned");
    }
    const copies = [machine, replica].map((copy) =>
      Buffer.from(copy.takeSnapshot()).toString()
    );
    if (copies[0] !== copies[1]) throw new Error("Replicas differ");
    const seen = encodeText(view.getState());
    if (seen !== statesByVersion.get(view.getVersion())) {
      throw new Error("The view differs from the state of its version");
    }
  }

  function run(step: Step): void {
    const { version } = machine.getState();
    const changeId = `c${sent.length}`;
    switch (step.type) {
      case "submit": {
        const expectedVersion = Math.max(0, version - step.lag);
        submit({ changeId, expectedVersion, operations: step.operations });
        break;
      }
      case "submitUnconditional":
        submit({ changeId, operations: step.operations });
        break;
      case "retry":
        submitAgain(step.pick);
        break;
      case "restart": {
        const snapshot = machine.takeSnapshot();
        machine = create();
        machine.restoreSnapshot(snapshot);
        history.removeAll();
        break;
      }
      case "deliver": {
        // Any update, in any order, any number of times.
        const update = inFlight[step.pick % Math.max(1, inFlight.length)];
        const before = view.getVersion();
        if (update !== undefined) view.applyUpdate(update);
        if (view.getVersion() < before) throw new Error("The view went back");
        break;
      }
      case "reconnect":
        for (const update of history.buildUpdates(view.getVersion(), 0)) {
          if (view.applyUpdate(update) !== "applied") {
            throw new Error("A watcher could not catch up");
          }
        }
        if (view.getVersion() !== version) throw new Error("Not caught up");
    }
    check();
  }

  return { run };
}

// Guards against two accepted changes for one expected version, retries that
// are applied or answered differently, replicas that differ after a restart,
// withdrawn keys that become valid again, and views that differ from the state
// or return to an older version.
t.test("concurrent changes, retries, restarts and late updates", (t) => {
  t.comment(`seed ${SEED}`);
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const model = createModel();
      for (const step of steps) model.run(step);
    }),
    { seed: SEED, numRuns: 300 },
  );
  t.end();
});
