import t from "tap";
import {
  createManualClock,
  createSeededRandom,
  createSilentLogger,
} from "../common/mod.ts";
import {
  createJob,
  createModelConfiguration,
  createRunnerEntry,
  type LoadKind,
  type LoadOptions,
  type LoadResult,
  runLoad,
  SHEET_KINDS,
  type WorkModel,
} from "../model/mod.ts";
import { createProbation, type Probation } from "./probation.ts";
import { createRunner, type Runner } from "./runner_table.ts";
import type { WorkRecord } from "./types.ts";
import {
  createWorkState,
  encodeRecords,
  isOpenJob,
  TASK_STATUS,
} from "./work_state.ts";
import {
  checkJobs,
  startDeadlyCell,
  submitJobs,
} from "../../test/deadly_cell.ts";

t.setTimeout(240_000);

/** Runners of the pool in which healthy jobs are confined, and processors of each. */
const CONFINED_RUNNERS = 6;
const RUNNER_PROCESSORS = 4_000;

/** Time for which a runner is away after a crash, with its registration, in milliseconds. */
const AWAY_MS = 3_200;

/** Time for which a job may wait beside idle runners, in milliseconds; from the platform's rules. */
const MAX_WAIT_MS = 3_000;

const TICK_MS = 20;
const SETTLE_MS = 80_000;

const MIXED_JOBS = 160;
const MIXED_PERIOD_MS = 75;

/** One of this many mixed jobs is deadly. */
const DEADLY_EACH = 25;

/** Submits more jobs than the runners can execute. */
async function submitMixedJobs(model: WorkModel, seed: number) {
  const random = createSeededRandom(seed);
  const healthy: string[] = [];
  const deadly: string[] = [];
  for (let at = 0; at < MIXED_JOBS; at += 1) {
    const steps = Array.from({ length: 1 + random.nextInt(2) }, (_, step) => ({
      tasks: 1 + random.nextInt(4),
      estimatedMs: 100 + random.nextInt(1_400),
      after: step > 0 ? [step - 1] : [],
    }));
    if (at % DEADLY_EACH === 0) {
      deadly.push(...submitJobs(model, `deadly${at}`, 1, steps));
    } else healthy.push(...submitJobs(model, `healthy${at}`, 1, steps));
    await model.run(MIXED_PERIOD_MS);
  }
  return { deadly, healthy };
}

/** Tells whether a run of the job is recorded that has not ended. */
function hasRun(model: WorkModel, id: string): boolean {
  const job = model.state.getJob(id);
  if (job === undefined) return false;
  const { steps } = model.state.getOccurrence(job, 0);
  return steps.some(({ tasks }) =>
    tasks.some(({ status }) => status === TASK_STATUS.active)
  );
}

/** Creates a probation on a state with two jobs, and a function that records a crash with suspects. */
function createCrashes() {
  const clock = createManualClock(1_000);
  const state = createWorkState();
  const probation = createProbation({
    state,
    clock,
    logger: createSilentLogger(),
  });
  const configuration = createModelConfiguration();
  const jobs = ["a", "b"].map((id): WorkRecord => ({
    kind: "job",
    job: {
      ...createJob([{ tasks: 1 }]),
      id,
      queue: "queue-0",
      pool: "pool",
      maxAttempts: 3,
      submittedMs: 0,
    },
  }));
  state.apply(
    encodeRecords([{ kind: "configuration", configuration }, ...jobs]),
    0,
  );
  const runners = Array.from({ length: 8 }, (_, at): Runner => {
    const runner = createRunner(createRunnerEntry(`r${at}`), 0);
    runner.contactMs = clock.now();
    return runner;
  });
  const record = (...suspects: string[]) => {
    const crash: WorkRecord & { kind: "crash" } = {
      kind: "crash",
      suspects: suspects.map((job) => ({
        job,
        occurrence: 0,
        step: 0,
        index: 0,
      })),
      cleared: [],
      isSingleJob: suspects.length === 1,
      atMs: 0,
    };
    state.apply(encodeRecords([crash]), 0);
    probation.recordCrash(crash);
  };
  const countRunners = () =>
    probation.pickRunners(new Map([["pool", runners]])).size;
  return { clock, record, countRunners };
}

// Guards against confined jobs after independent crashes.
t.test("first crashes confine nothing, nor does one repeated suspect", (t) => {
  const { record, countRunners } = createCrashes();
  record("a", "b");
  t.equal(countRunners(), 0);
  record("a");
  t.equal(countRunners(), 0);
  record("b");
  t.equal(countRunners(), 2, "a quarter of the pool");
  t.end();
});

// Guards against a queue that stays confined for good.
t.test("a confinement ends after the last crash", (t) => {
  const { clock, record, countRunners } = createCrashes();
  for (const job of ["a", "b", "a", "b"]) record(job);
  t.equal(countRunners(), 2);
  clock.advance(9_000);
  record("a");
  clock.advance(9_000);
  t.equal(countRunners(), 2);
  clock.advance(2_000);
  t.equal(countRunners(), 0);
  t.end();
});

/** Runs a load whose short jobs are deadly for 12 s with a probability. */
function runDeadlyLoad(
  kinds: readonly LoadKind[],
  deadlyShare: number,
  options: { seed: number; cell?: LoadOptions["cell"] },
): Promise<LoadResult> {
  return runLoad({
    kinds,
    pattern: {
      name: "deadly short jobs",
      getRateFactor: () => 1,
      getDeadlyShare: (kind, atMs) =>
        kind === "short" && atMs >= 4_000 && atMs < 16_000 ? deadlyShare : 0,
    },
    seed: options.seed,
    runners: 32,
    processors: 16_000,
    runMs: 20_000,
    cell: {
      ...options.cell,
      returnAs: "sameId",
      callers: Array.from({ length: 13 }, (_, at) => `caller-${at}`),
    },
  });
}

/** Short jobs as of the sheets, and jobs that run for long on few processors. */
const SHORT_AND_LONG: readonly LoadKind[] = SHEET_KINDS.flatMap((kind) =>
  kind.name !== "short" ? [] : [kind, {
    ...kind,
    name: "long",
    priority: 2,
    jobsPerSecond: 0.6,
    slowdownFactor: 2.2,
    targetMs: 1_000,
    tasks: { mean: 2, sigma: 0, max: 2 },
    durationMs: { mean: 8_000, sigma: 0.3, max: 16_000 },
    gangShare: 0,
  }]
);

/** Creates a probation that confines nothing. */
function createNoProbation(): Probation {
  return {
    recordCrash() {},
    assignSteps: (steps) => steps,
    pickRunners: () => new Set(),
  };
}

// Guards against a confinement that costs healthy jobs more than it saves: with it at
// least as many have to be on time and completed as without it in the same cell.
for (const seed of [1, 2]) {
  t.test(`a confinement costs no healthy job, seed ${seed}`, async (t) => {
    const confined = await runDeadlyLoad(SHORT_AND_LONG, 0.1, { seed });
    const free = await runDeadlyLoad(SHORT_AND_LONG, 0.1, {
      seed,
      cell: { createProbation: createNoProbation },
    });
    for (const [at, { kind, onTime, waitsMs }] of free.kinds.entries()) {
      const own = confined.kinds[at];
      const onTimeText = `${kind} on time: ${own?.onTime}, free ${onTime}`;
      t.ok((own?.onTime ?? 0) >= onTime, onTimeText);
      t.ok((own?.waitsMs.length ?? 0) >= waitsMs.length, `${kind} completed`);
    }
    t.strictSame(confined.kinds.map(({ failed }) => failed), [0, 0]);
    t.strictSame(confined.violations, []);
  });
}

// Guards against a service that is down while three of ten short jobs crash each
// runner that starts them.
t.test("other queues go on while many short jobs are deadly", async (t) => {
  const result = await runDeadlyLoad(SHEET_KINDS, 0.3, { seed: 1 });
  const wide = result.kinds.find(({ kind }) => kind === "wide");
  t.ok((wide?.onTime ?? 0) >= 0.8 * (wide?.jobs ?? 0), "wide jobs on time");
  t.ok(result.lostRuns < 0.35 * result.starts, "few runs lost");
  t.strictSame(result.kinds.map(({ failed }) => failed), [0, 0, 0]);
  t.strictSame(result.violations, []);
});

// Guards against a queue whose healthy jobs wait for the few runners of a confinement
// while the others are idle: no job may wait for 3 s without a run, while less than
// half of the runners that are up is in use. A run on a crashed runner counts until its
// end is known, as its task can start no sooner.
for (const seed of [1, 2, 3]) {
  t.test(`confined jobs use idle runners, seed ${seed}`, async (t) => {
    const crashedMs = new Map<string, number>();
    const model = await startDeadlyCell(CONFINED_RUNNERS, {
      handleCrash: ({ id }) => void crashedMs.set(id, model.clock.now()),
    });
    const { deadly, healthy } = await submitMixedJobs(model, seed);
    const isOpen = (id: string) => {
      const job = model.state.getJob(id);
      return job === undefined || isOpenJob(job);
    };
    const waitedMs = new Map<string, number>();
    let longestMs = 0;
    const startMs = model.clock.now();
    const all = [...healthy, ...deadly];
    while (all.some(isOpen) && model.clock.now() < startMs + SETTLE_MS) {
      await model.run(TICK_MS);
      const nowMs = model.clock.now();
      const away = [...crashedMs.values()].filter((ms) => nowMs - ms < AWAY_MS);
      const processors = (CONFINED_RUNNERS - away.length) * RUNNER_PROCESSORS;
      const isHalfIdle = model.runners.getProcessorsUsed() < processors / 2;
      for (const id of healthy) {
        const isWaiting = isHalfIdle && isOpen(id) && !hasRun(model, id);
        const ms = isWaiting ? (waitedMs.get(id) ?? 0) + TICK_MS : 0;
        waitedMs.set(id, ms);
        longestMs = Math.max(longestMs, ms);
      }
    }
    t.ok(longestMs < MAX_WAIT_MS, `a job waited for ${longestMs} ms`);
    checkJobs(t, model, { deadly, healthy });
  });
}
