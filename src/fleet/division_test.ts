import t from "tap";
import fc from "fast-check";
import { computeGranted, computeGrantedSum } from "./division.ts";
import { createFleetState } from "./fleet_state.ts";
import { isSameLimits, NO_LIMITS } from "./limits.ts";
import { encodeCommand } from "./schema.ts";
import { decodeState, encodeState } from "./state_codec.ts";
import type { FleetOperation, FleetState } from "./types.ts";

const SEED = 20_261_204;
const DATA_CENTRES = ["a", "b", "c", "d"];

type Step =
  | { type: "limit"; slots: number }
  | { type: "remove" }
  | { type: "set"; mask: number }
  | { type: "close"; index: number };

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant("limit" as const),
      slots: fc.integer({ min: 0, max: 40 }),
    }),
  },
  { weight: 1, arbitrary: fc.record({ type: fc.constant("remove" as const) }) },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant("set" as const),
      mask: fc.integer({ min: 1, max: 15 }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant("close" as const),
      index: fc.nat(3),
    }),
  },
);

function toOperation(step: Step, state: FleetState): FleetOperation {
  switch (step.type) {
    case "limit": {
      const limits = { ...NO_LIMITS, slots: step.slots };
      const type = state.workspaces.has("t")
        ? "updateWorkspace"
        : "createWorkspace";
      return { type, name: "t", share: 1, limits };
    }
    case "remove":
      return { type: "removeWorkspace", name: "t" };
    case "set":
      return {
        type: "setDataCentres",
        names: DATA_CENTRES.filter((_, i) => step.mask & (1 << i)),
      };
    case "close":
      return {
        type: "closeDataCentre",
        name: DATA_CENTRES[step.index]!,
        appliedVersion: state.version,
      };
  }
}

// Applies the steps and returns the state after each accepted one.
function runSteps(steps: readonly Step[]): FleetState[] {
  const machine = createFleetState();
  const states: FleetState[] = [];
  const first: Step = { type: "set", mask: 7 };
  for (const [i, step] of [first, ...steps].entries()) {
    const operations = [toOperation(step, machine.getState())];
    const change = { changeId: `c${i}`, operations };
    const answer = machine.apply(encodeCommand({ at: 0, change }), i);
    if (answer.accepted) {
      states.push(decodeState(encodeState(machine.getState())));
    }
  }
  return states;
}

const getLimit = (state: FleetState) =>
  state.workspaces.get("t")?.limits.slots ?? 0;
const getUnits = (state: FleetState, name: string) =>
  computeGranted(state, "t", name).slots;

// Guards against units that are lost or duplicated by rounding, by a change of
// the set of data centres or by the closing of one.
t.test("the grants of all data centres add up to the limit", (t) => {
  t.comment(`seed ${SEED}`);
  fc.assert(
    fc.property(fc.array(step, { maxLength: 12 }), (steps) => {
      for (const state of runSteps(steps)) {
        const limits = { ...NO_LIMITS, slots: getLimit(state) };
        if (!isSameLimits(computeGrantedSum(state, "t"), limits)) return false;
      }
      return true;
    }),
    { seed: SEED, numRuns: 500 },
  );
  t.end();
});

// Guards against a division that grants units to one data centre before their
// previous holder has applied the cut. For every mixture of applied versions,
// the sum must stay within the highest limit among them.
t.test("no mixture of versions exceeds the highest limit", (t) => {
  t.comment(`seed ${SEED}`);
  fc.assert(
    fc.property(
      fc.array(step, { minLength: 2, maxLength: 12 }),
      fc.array(fc.nat(1_000), { minLength: 4, maxLength: 4 }),
      (steps, picks) => {
        const states = runSteps(steps);
        const newest = states.length - 1;
        const applied = DATA_CENTRES.map((name, i) => {
          // A closed data centre has applied all versions up to its closing.
          const closedAt = states.findIndex((state) =>
            state.closedDataCentres.includes(name)
          );
          const floor = Math.max(0, closedAt);
          return floor + (picks[i]! % (newest - floor + 1));
        });
        const oldest = Math.min(...applied);
        const highest = Math.max(...states.slice(oldest).map(getLimit));
        const sum = DATA_CENTRES.reduce(
          (total, name, i) => total + getUnits(states[applied[i]!]!, name),
          0,
        );
        return sum <= highest;
      },
    ),
    { seed: SEED, numRuns: 2_000 },
  );
  t.end();
});

// Guards against granting all small limits to the first data centre.
t.test("remainders are spread over the data centres", (t) => {
  const machine = createFleetState();
  const operations: FleetOperation[] = [
    { type: "setDataCentres", names: DATA_CENTRES },
  ];
  for (let i = 0; i < 200; i++) {
    const limits = { ...NO_LIMITS, accelerators: 1 };
    operations.push({
      type: "createWorkspace",
      name: `t${i}`,
      share: 1,
      limits,
    });
  }
  const change = { changeId: "c", operations };
  machine.apply(encodeCommand({ at: 0, change }), 0);
  for (const name of DATA_CENTRES) {
    let count = 0;
    for (let i = 0; i < 200; i++) {
      count += computeGranted(machine.getState(), `t${i}`, name).accelerators;
    }
    // About a quarter each; less than half of that means a skewed hash.
    t.ok(count > 25 && count < 100, `${name} has ${count} of 200`);
  }
  t.end();
});
