import t from "tap";
import { createRunnerEntry, createStep } from "../model/mod.ts";
import type { StepEligibility } from "./eligibility.ts";
import type { OpenStep } from "./plan_types.ts";
import { planStarts } from "./planning.ts";
import { addOccupant, createRunner, type Runner } from "./runner_table.ts";

const NOW_MS = 1_000;
const TASK = { processors: 1_000, memoryMb: 1_000, accelerators: 0 };

function createIdleRunner(id: string): Runner {
  const runner = createRunner(createRunnerEntry(id), 0);
  runner.contactMs = NOW_MS;
  return runner;
}

function addRun(runner: Runner, index = 0): void {
  const task = { job: "other", occurrence: 0, step: 0, index };
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
    isRestart: false,
    isSuspect: false,
    queue: "queue",
    isConfined: false,
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
    probation: new Set(),
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

// Guards against idle runners that stay empty because another runner shrank below
// what it executes.
t.test("a runner above its capacity leaves the others usable", (t) => {
  const [shrunk, idle] = ["a", "b"].map(createIdleRunner);
  for (let index = 0; index < 4; index += 1) addRun(shrunk!, index);
  const capacity = { processors: 0, memoryMb: 0, accelerators: 0 };
  shrunk!.entry = { ...shrunk!.entry, capacity };
  const eligibility = createEligibility(["a", "b"], ["a", "b"]);
  const plan = planGang([shrunk!, idle!], eligibility, 3);
  t.strictSame(
    plan.starts[0]?.placements.map(({ runner }) => runner.entry.id),
    ["b", "b", "b"],
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

function createStepOf(job: string, isSuspect: boolean): OpenStep {
  return {
    ...createGang(1),
    key: `${job}/0/0`,
    job,
    spec: createStep({ resources: TASK }),
    eligibility: undefined,
    isSuspect,
  };
}

function planSteps(runners: readonly Runner[], ...steps: OpenStep[]) {
  const { starts } = planStarts({
    nowMs: NOW_MS,
    wallMs: NOW_MS,
    steps,
    runnersByPool: new Map([["pool", runners]]),
    getEligibility: () => undefined,
    workspaces: new Map(),
    reservations: new Map(),
    gangHolds: new Map(),
    probation: new Set(),
  });
  return starts.flatMap(({ step, placements }) =>
    placements.map(({ runner }) => `${step.job}@${runner.entry.id}`)
  );
}

// Guards against neighbours that lose their runs in the crash of a suspect.
t.test("a suspect starts on the runner with the fewest runs", (t) => {
  const runners = ["a", "b"].map(createIdleRunner);
  addRun(runners[0]!);
  t.strictSame(planSteps(runners, createStepOf("usual", false)), ["usual@a"]);
  t.strictSame(planSteps(runners, createStepOf("suspect", true)), [
    "suspect@b",
  ]);
  t.end();
});

// Guards against a crash with two explanations, in one round and in the next.
t.test("no other job starts beside a suspect", (t) => {
  const [runner] = ["a"].map(createIdleRunner);
  const suspect = createStepOf("suspect", true);
  const others = [createStepOf("usual", false), createStepOf("second", true)];
  t.strictSame(planSteps([runner!], suspect, ...others), ["suspect@a"]);
  const task = { job: "suspect", occurrence: 0, step: 0, index: 0 };
  const occupant = addOccupant(
    runner!,
    { task, run: 1, resources: TASK, isSuspect: true },
    "starting",
    NOW_MS,
  );
  t.strictSame(planSteps([runner!], ...others), []);
  occupant.orderSentMs = NOW_MS;
  occupant.isExecuted = true;
  runner!.lastReplyMs = NOW_MS + 600;
  t.strictSame(planSteps([runner!], ...others), ["usual@a", "second@a"]);
  t.end();
});
