import t from "tap";
import { createRunnerEntry, createStep } from "../model/mod.ts";
import type { StepEligibility } from "./eligibility.ts";
import { type OpenStep, planStarts } from "./planning.ts";
import { addOccupant, createRunner, type Runner } from "./runner_table.ts";

const NOW_MS = 1_000;
const TASK = { processors: 1_000, memoryMb: 1_000, accelerators: 0 };

function createIdleRunner(id: string): Runner {
  const runner = createRunner(createRunnerEntry(id), 0);
  runner.contactMs = NOW_MS;
  return runner;
}

function addRun(runner: Runner): void {
  const task = { job: "other", occurrence: 0, step: 0, index: 0 };
  addOccupant(runner, { task, run: 1, resources: TASK }, "running", 0);
}

function createGang(tasks: number): OpenStep {
  return {
    key: "gang/0/0",
    job: "gang",
    occurrence: 0,
    step: 0,
    spec: createStep({ tasks, gang: true, resources: TASK }),
    pool: "pool",
    workspace: undefined,
    priority: 1,
    isTight: false,
    dueMs: 10_000,
    zeroValueMs: 30_000,
    remainingMs: 1_000,
    work: 1_000_000,
    remainingWork: 1_000_000,
    isExcess: false,
    eligibility: { baseMs: 430, perRunnerMs: 6, validMs: 1_500 },
    waiting: Array.from({ length: tasks }, (_, at) => at),
  };
}

function planGang(
  runners: readonly Runner[],
  eligibility: StepEligibility,
  tasks: number,
) {
  return planStarts({
    nowMs: NOW_MS,
    wallMs: NOW_MS,
    steps: [createGang(tasks)],
    runnersByPool: new Map([["pool", runners]]),
    getEligibility: () => eligibility,
    workspaces: new Map(),
    reservations: new Map(),
    gangHolds: new Map(),
  });
}

function createEligibility(
  eligible: readonly string[],
  tickets: readonly string[],
): StepEligibility {
  return {
    isEligible: new Map(eligible.map((id) => [id, true])),
    tickets: new Map(
      tickets.map((id) => [id, { value: "ticket", expiresMs: NOW_MS + 1_000 }]),
    ),
    openQueries: 0,
    hasOverdueQuery: false,
    notBeforeMs: 0,
  };
}

// Scenario: wide gangs in a busy pool after a power loss on all machines. Guards
// against a gang that keeps sending queries, because a runner without a ticket
// became fuller than those with one and is preferred to them.
t.test("a gang starts on the runners that it has tickets for", (t) => {
  const runners = ["a", "b", "c"].map(createIdleRunner);
  addRun(runners[2]!);
  const eligibility = createEligibility(["a", "b", "c"], ["a", "b"]);
  const plan = planGang(runners, eligibility, 8);
  t.equal(plan.queries.length, 0);
  t.strictSame(
    plan.starts[0]?.placements.map(({ runner }) => runner.entry.id).sort(),
    ["a", "a", "a", "a", "b", "b", "b", "b"],
  );
  t.end();
});

// Guards against a gang that needs another query when one of its runners becomes
// unavailable.
t.test("a query for a gang's tickets names spare runners", (t) => {
  const runners = ["a", "b", "c", "d", "e"].map(createIdleRunner);
  const eligibility = createEligibility(["a", "b", "c", "d", "e"], []);
  const [question] = planGang(runners, eligibility, 8).queries;
  t.equal(question?.runners.length, 3);
  t.equal(
    question?.reserve.length,
    8,
    "capacity is reserved for its tasks only",
  );
  t.end();
});

// Guards against runners held for a gang that could not use them.
t.test("no runner is held for a gang that cannot fit", (t) => {
  const runners = ["a", "b"].map(createIdleRunner);
  addRun(runners[0]!);
  t.equal(
    planGang(runners, createEligibility(["a", "b"], []), 8).gangHolds.size,
    1,
  );
  t.equal(planGang(runners, createEligibility(["a"], []), 8).gangHolds.size, 0);
  t.end();
});
