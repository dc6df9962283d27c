import t from "tap";
import { createRunnerEntry, createStep } from "../model/mod.ts";
import type { StepEligibility } from "./eligibility.ts";
import type { OpenStep, PlanInput } from "./plan_types.ts";
import { planStarts } from "./planning.ts";
import { addOccupant, createRunner, type Runner } from "./runner_table.ts";

// Pattern: many steps wait for answers, as after a takeover, when the tickets are
// lost with the former leader. Rounds that search runners for each of them took
// half of a new leader's processor time.

const NOW_MS = 1_000;
const TASK = { processors: 1_000, memoryMb: 1_000, accelerators: 0 };
const RUNNERS = 245;
const STEPS = 150;

/** A map that counts how often it is asked for a key. */
class CountingMap<Value> extends Map<string, Value> {
  reads = 0;
  override get(key: string): Value | undefined {
    this.reads += 1;
    return super.get(key);
  }
}

function createRunners(): Runner[] {
  return Array.from({ length: RUNNERS }, (_, at) => {
    const runner = createRunner(createRunnerEntry(`r${at}`), 0);
    runner.contactMs = NOW_MS;
    return runner;
  });
}

function createWaitingStep(number: number, gang = false): OpenStep {
  const tasks = gang ? 8 : 3;
  return {
    key: `j${number}/0/0`,
    job: `j${number}`,
    occurrence: 0,
    step: 0,
    spec: createStep({ tasks, gang, resources: TASK }),
    pool: "pool",
    workspace: undefined,
    priority: 1,
    isTight: number % 2 === 0,
    dueMs: 10_000,
    zeroValueMs: 30_000,
    remainingMs: 1_000,
    work: 1,
    remainingWork: 1,
    isExcess: false,
    eligibility: { baseMs: 20, perRunnerMs: 0.2, validMs: 1_500 },
    isRestart: false,
    isSuspect: false,
    queue: "queue",
    isConfined: false,
    waiting: Array.from({ length: tasks }, (_, at) => at),
  };
}

function createAnswers(
  openQueries: number,
  tickets: Readonly<Record<string, number>> = {},
): StepEligibility & { isEligible: CountingMap<boolean> } {
  const isEligible = new CountingMap<boolean>();
  for (const id of Object.keys(tickets)) isEligible.set(id, true);
  return {
    isEligible,
    tickets: new Map(
      Object.entries(tickets).map(([id, expiresMs]) => [
        id,
        { value: "ticket", expiresMs },
      ]),
    ),
    openQueries,
    hasOverdueQuery: false,
    notBeforeMs: 0,
  };
}

function planRound(
  steps: readonly OpenStep[],
  answers: StepEligibility | undefined,
  input: Partial<PlanInput> = {},
) {
  return planStarts({
    nowMs: NOW_MS,
    wallMs: NOW_MS,
    steps,
    runnersByPool: new Map([["pool", createRunners()]]),
    getEligibility: () => answers,
    workspaces: new Map(),
    reservations: new Map(),
    gangHolds: new Map(),
    probation: new Set(),
    ...input,
  });
}

const WAITING = Array.from(
  { length: STEPS },
  (_, at) => createWaitingStep(at, at % 10 === 9),
);

t.test("no runner is searched for steps that wait for an answer", (t) => {
  const answers = createAnswers(1);
  const pools = new CountingMap([["pool", createRunners()]]);
  const plan = planRound(WAITING, answers, { runnersByPool: pools });
  t.equal(pools.reads, 0, "nor is its free capacity computed");
  t.equal(answers.isEligible.reads, 0);
  t.equal(plan.starts.length + plan.queries.length, 0);
  t.ok(plan.waits.every(({ reason }) => reason === "noTicket"));
  t.equal(plan.waits.length, STEPS);
  t.end();
});

t.test("without a free caller no step is searched or asked about", (t) => {
  const plan = planRound(WAITING, undefined, { mayQuery: () => false });
  t.equal(plan.queries.length, 0);
  t.equal(plan.waits.length, STEPS);
  t.equal(planRound(WAITING, undefined).queries.length, STEPS);
  t.end();
});

t.test("a valid ticket is used beside an open query", (t) => {
  const [step] = WAITING;
  const valid = createAnswers(1, { r7: NOW_MS + 1_000 });
  const plan = planRound([step!], valid, { mayQuery: () => false });
  t.strictSame(
    plan.starts[0]?.placements.map(({ runner }) => runner.entry.id),
    ["r7", "r7", "r7"],
  );
  const expired = createAnswers(1, { r7: NOW_MS });
  t.equal(planRound([step!], expired).starts.length, 0);
  t.end();
});

t.test("a gang holds the runners that it knows beside an open query", (t) => {
  const runners = createRunners().slice(0, 3);
  for (const [at, runner] of runners.entries()) {
    const task = { job: "other", occurrence: 0, step: 0, index: at };
    addOccupant(runner, { task, run: 1, resources: TASK }, "running", 0);
  }
  // Room for a task on each once it is idle, and for none now.
  const gang = createWaitingStep(1, true);
  const wide = { ...TASK, processors: 3_500 };
  const step = {
    ...gang,
    spec: createStep({ tasks: 3, gang: true, resources: wide }),
    waiting: [0, 1, 2],
  };
  const plan = planRound([step], createAnswers(1, { r0: 0, r1: 0, r2: 0 }), {
    runnersByPool: new Map([["pool", runners]]),
  });
  t.equal(plan.gangHolds.size, 1, "three tenths of them at most");
  t.end();
});

// Guards against an order of runners that is kept over a placement.
t.test("each placement fills the fullest runner", (t) => {
  const tickets = { r1: 5_000, r2: 5_000, r3: 5_000 };
  const steps = [0, 2, 4].map((number) => {
    const step = createWaitingStep(number);
    return { ...step, waiting: step.waiting.slice(0, 2) };
  });
  const plan = planRound(steps, createAnswers(0, tickets));
  t.strictSame(
    plan.starts.map(({ placements }) =>
      placements.map(({ runner }) => runner.entry.id).join(" ")
    ),
    ["r1 r1", "r1 r1", "r2 r2"],
  );
  t.end();
});
