/**
 * Generates load for a simulated cell: kinds of jobs like those of the users'
 * sheets, named patterns of peak load and faults, and the value that the jobs
 * earn. A job earns its full value when it ends within its objective, a part of
 * it up to three times the objective, and nothing after that.
 */

import { createSeededRandom, type Random } from "../common/mod.ts";
import type { JobBody, StepSpec, TaskRef } from "../workload/mod.ts";
import type { RunnerFaults, TaskFacts, Violation } from "./runner_model.ts";
import {
  createJob,
  createModelConfiguration,
  createStep,
  createTaskFacts,
  createWorkModel,
  type WorkModel,
  type WorkModelOptions,
} from "./work_model.ts";

/** A log-normal distribution; samples above `max` become `max`. */
export interface Distribution {
  /** Mean before the limit applies. */
  readonly mean: number;
  /** Standard deviation of the natural logarithm. */
  readonly sigma: number;
  readonly max: number;
}

/** A kind of job. */
export interface LoadKind {
  /** Name of the kind and of its queue. */
  readonly name: string;
  readonly priority: number;
  /** Arrival rate without peaks. */
  readonly jobsPerSecond: number;
  /** Value earned by a job of average work that ends on time. */
  readonly value: number;
  /** A job's objective is this factor times its critical path, plus `targetMs`. */
  readonly slowdownFactor: number;
  readonly targetMs: number;
  /** Time that the eligibility service takes for a query, and validity of its answer. */
  readonly eligibility: {
    readonly baseMs: number;
    readonly perRunnerMs: number;
    readonly validMs: number;
  };
  /** Probability with which a runner may run the steps of a job. */
  readonly eligibleShare: number;
  /** Number of steps of a job, run in sequence. */
  readonly steps: Distribution;
  /** Number of tasks of a step. */
  readonly tasks: Distribution;
  readonly durationMs: Distribution;
  /** Standard deviation of the logarithm of estimated to true run time. */
  readonly estimateSigma: number;
  /** Processors of a task, in thousandths. */
  readonly processors: Distribution;
  readonly memoryMb: Distribution;
  /** Share of the jobs whose steps are gangs. */
  readonly gangShare: number;
}

/** A named pattern of load and faults. */
export interface LoadPattern {
  readonly name: string;
  /** Returns the factor on the arrival rate of a kind; `atMs` counts from the start of the load. */
  readonly getRateFactor: (kind: string, atMs: number) => number;
  /** Returns the share of the submitted jobs of a kind whose tasks crash their runners. Default: none. */
  readonly getDeadlyShare?: (kind: string, atMs: number) => number;
  /** Sets the faults; called every tick. */
  readonly applyFaults?: (
    atMs: number,
    model: WorkModel,
    runners: readonly RunnerFaults[],
  ) => void;
  /** Returns the processor time that the leader needs for a reply of a runner, in milliseconds. Default: none. */
  readonly getReplyCostMs?: (atMs: number) => number;
  /** Returns whether the cell has no leader; submissions are then retried until it has one. */
  readonly isLeaderless?: (atMs: number) => boolean;
}

/** Results of the jobs of one kind, those that crash their runners left out. */
export interface LoadOutcome {
  readonly kind: string;
  readonly jobs: number;
  /** Jobs that ended as failed. */
  readonly failed: number;
  /** Jobs that ended within their objective. */
  readonly onTime: number;
  /** Jobs that missed their objective but earned a part of their value. */
  readonly late: number;
  /** Value of all jobs if each had ended on time. */
  readonly totalValue: number;
  readonly earnedValue: number;
  /** Time from submission to the end minus the job's critical path, for each completed job, in milliseconds. */
  readonly waitsMs: readonly number[];
}

/** Results of a run. */
export interface LoadResult {
  readonly kinds: readonly LoadOutcome[];
  readonly tasks: number;
  /** Runs started; exceeds the number of tasks when some had to run again. */
  readonly starts: number;
  /** Eligibility queries, by kind. */
  readonly queries: Readonly<Record<string, number>>;
  /** Runners that were crashed by tasks, and runs lost in all crashes. */
  readonly crashes: number;
  readonly lostRuns: number;
  /** Jobs whose tasks crash their runners, and those of them that were given up. */
  readonly deadlyJobs: number;
  readonly deadlyGivenUp: number;
  readonly violations: readonly Violation[];
}

/** Options of a run. */
export interface LoadOptions {
  readonly kinds: readonly LoadKind[];
  readonly pattern: LoadPattern;
  readonly seed: number;
  /** Number of runners. */
  readonly runners: number;
  /** Processors of a runner, in thousandths. */
  readonly processors: number;
  /** Duration of the load, in milliseconds. */
  readonly runMs: number;
  /** Further options of the simulated cell. */
  readonly cell?: Pick<
    WorkModelOptions,
    | "admission"
    | "commitMs"
    | "callers"
    | "readsCommits"
    | "relays"
    | "createProbation"
    | "sortSteps"
    | "returnAs"
  >;
}

/** Kinds of jobs like those of the users' larger sheets. */
export const SHEET_KINDS: readonly LoadKind[] = Object.freeze([
  {
    name: "short",
    priority: 0,
    jobsPerSecond: 27,
    value: 0.425,
    slowdownFactor: 1.5,
    targetMs: 250,
    eligibility: { baseMs: 17, perRunnerMs: 0.17, validMs: 1_500 },
    eligibleShare: 0.7,
    steps: { mean: 1, sigma: 0, max: 1 },
    tasks: { mean: 2.2, sigma: 0.8, max: 13 },
    durationMs: { mean: 800, sigma: 0.5, max: 2_000 },
    estimateSigma: 0.9,
    processors: { mean: 1_400, sigma: 0.45, max: 4_100 },
    memoryMb: { mean: 4_000, sigma: 0.6, max: 12_000 },
    gangShare: 0.3,
  },
  {
    name: "gang",
    priority: 1,
    jobsPerSecond: 1.03,
    value: 12.7,
    slowdownFactor: 2.2,
    targetMs: 1_000,
    eligibility: { baseMs: 740, perRunnerMs: 7.4, validMs: 1_500 },
    eligibleShare: 0.3,
    steps: { mean: 1.2, sigma: 0.4, max: 3 },
    tasks: { mean: 6, sigma: 0.8, max: 36 },
    durationMs: { mean: 6_200, sigma: 0.5, max: 16_000 },
    estimateSigma: 0.9,
    processors: { mean: 4_500, sigma: 0.4, max: 7_600 },
    memoryMb: { mean: 13_000, sigma: 0.5, max: 25_000 },
    gangShare: 1,
  },
  {
    name: "wide",
    priority: 2,
    jobsPerSecond: 3.8,
    value: 2.15,
    slowdownFactor: 4,
    targetMs: 3_000,
    eligibility: { baseMs: 94, perRunnerMs: 0.94, validMs: 1_500 },
    eligibleShare: 0.45,
    steps: { mean: 1.5, sigma: 0.4, max: 3.8 },
    tasks: { mean: 10, sigma: 0.8, max: 60 },
    durationMs: { mean: 2_700, sigma: 0.5, max: 6_800 },
    estimateSigma: 0.5,
    processors: { mean: 980, sigma: 0.45, max: 3_000 },
    memoryMb: { mean: 3_000, sigma: 0.6, max: 9_000 },
    gangShare: 0,
  },
]);

function isWithin(atMs: number, fromMs: number, forMs: number): boolean {
  return atMs >= fromMs && atMs < fromMs + forMs;
}

/** Patterns of peak load and faults that the users' days consist of. */
export const LOAD_PATTERNS = Object.freeze({
  calm: { name: "calm", getRateFactor: () => 1 },
  shortBurst: {
    name: "burst of short jobs",
    getRateFactor: (kind, atMs) =>
      kind === "short" && isWithin(atMs, 5_000, 4_000) ? 2.2 : 1,
  },
  gangBurst: {
    name: "many gangs at once",
    getRateFactor: (kind, atMs) =>
      kind === "gang" && isWithin(atMs, 5_000, 4_000) ? 1.8 : 1,
  },
  stuckRunners: {
    name: "runners that hang",
    getRateFactor: () => 1,
    applyFaults(atMs, _, runners) {
      const isOn = isWithin(atMs, 5_000, 6_000);
      for (const runner of runners.slice(0, 2)) runner.hangs = isOn;
    },
  },
  leaderChanges: {
    name: "a leader change every 5 s",
    getRateFactor: () => 1,
    applyFaults(atMs, model) {
      if (atMs > 0 && atMs % 5_000 === 0) model.changeLeader();
    },
  },
  noLeader: {
    name: "no leader for 3 s",
    getRateFactor: () => 1,
    isLeaderless: (atMs) => isWithin(atMs, 5_000, 3_000),
    applyFaults(atMs, model) {
      if (atMs === 8_000) model.changeLeader();
    },
  },
  coldLeader: {
    name: "a new leader whose code is slow for 6 s",
    getRateFactor: () => 1,
    // Warm, the load of the sheets takes it about half of its time.
    getReplyCostMs: (atMs) => isWithin(atMs, 5_000, 6_000) ? 6 : 1.3,
    applyFaults(atMs, model) {
      if (atMs === 5_000) model.changeLeader();
    },
  },
  coldLeaderOfMany: {
    name: "a new leader of many runners whose code is slow for 6 s",
    getRateFactor: () => 4,
    getReplyCostMs: (atMs) => isWithin(atMs, 4_000, 6_000) ? 1.35 : 0.45,
    applyFaults(atMs, model) {
      if (atMs === 4_000) model.changeLeader();
    },
  },
  frozenRelay: {
    name:
      "a relay that stands still for 5 s, then carries out what it was sent",
    getRateFactor: () => 4,
    getReplyCostMs: () => 0.45,
    applyFaults(atMs, model) {
      if (atMs === 4_000) model.freezeRelay("relay-0", 5_000);
    },
  },
  lostDataCentre: {
    name: "a quarter of the runners unreachable for 6 s",
    getRateFactor: () => 1,
    applyFaults(atMs, _, runners) {
      const isOn = isWithin(atMs, 5_000, 6_000);
      for (const [at, runner] of runners.entries()) {
        if (at % 4 === 0) runner.isPartitioned = isOn;
      }
    },
  },
}) satisfies Readonly<Record<string, LoadPattern>>;

/** Multiple of the objective up to which a late job earns a part of its value; from the platform's rules. */
const LATE_FACTOR = 3;

/** Share of its value that a late job earns; from the users' sheets. */
const LATE_VALUE_SHARE = 0.2;

/** Share of a job's value that does not depend on its work; the rest grows with the work. From the platform's rules. */
const FIXED_VALUE_SHARE = 0.3;

/** Upper limit of a job's value as a multiple of the value of an average job; from the platform's rules. */
const MAX_VALUE_FACTOR = 4;

/** Standard deviation of the logarithm of the run times within a step; from the users' sheets. */
const RUN_TIME_SIGMA = 0.3;

/** Largest share of the capacity of its eligible runners that a gang may need; beyond it the gang could hardly ever start. */
const MAX_GANG_SHARE = 0.6;

const TICK_MS = 20;
const MS_PER_SECOND = 1_000;

/** Time for open jobs to end after the load, in milliseconds. */
const DRAIN_MS = 40_000;

/** Delay before a failed submission is retried, in milliseconds. */
const RETRY_DELAY_MS = 100;

/** Samples the standard normal distribution by the Box-Muller transform. */
function pickNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.nextFloat()));
  return radius * Math.cos(2 * Math.PI * random.nextFloat());
}

/** Samples a log-normal factor with mean 1. */
function pickFactor(random: Random, sigma: number): number {
  return Math.exp(pickNormal(random) * sigma - sigma * sigma / 2);
}

function pickSample(
  random: Random,
  { mean, sigma, max }: Distribution,
): number {
  return Math.min(max, mean * pickFactor(random, sigma));
}

interface GeneratedJob {
  readonly kind: LoadKind;
  readonly body: JobBody;
  /** True run time of each task in milliseconds, by step. */
  readonly durationsMs: readonly (readonly number[])[];
  /** Run time of the critical path, in milliseconds. */
  readonly criticalPathMs: number;
  /** Processors times run time, summed over the tasks. */
  readonly work: number;
  /** Runners that may run the job's steps. */
  readonly eligible: ReadonlySet<string>;
  /** True if its tasks crash their runners. */
  readonly isDeadly: boolean;
  readonly sentAtMs: number;
}

function pickEligible(
  random: Random,
  runners: number,
  share: number,
): Set<string> {
  // Every job gets at least one runner.
  const eligible = new Set([`r${random.nextInt(runners)}`]);
  for (let number = 0; number < runners; number += 1) {
    if (random.nextFloat() < share) eligible.add(`r${number}`);
  }
  return eligible;
}

function pickJob(
  random: Random,
  kind: LoadKind,
  cell: Pick<LoadOptions, "runners" | "processors">,
  { sentAtMs, isDeadly }: Pick<GeneratedJob, "sentAtMs" | "isDeadly">,
): GeneratedJob {
  const eligible = pickEligible(random, cell.runners, kind.eligibleShare);
  const steps: Partial<StepSpec>[] = [];
  const durationsMs: number[][] = [];
  let criticalPathMs = 0;
  let work = 0;
  const count = Math.max(1, Math.round(pickSample(random, kind.steps)));
  const gang = random.nextFloat() < kind.gangShare;
  for (let number = 0; number < count; number += 1) {
    const typicalMs = pickSample(random, kind.durationMs);
    const processors = Math.round(pickSample(random, kind.processors));
    const capacity = eligible.size * Math.floor(cell.processors / processors);
    const maxTasks = gang ? Math.max(1, capacity * MAX_GANG_SHARE) : Infinity;
    const tasks = Math.max(
      1,
      Math.min(
        Math.floor(maxTasks),
        Math.round(pickSample(random, kind.tasks)),
      ),
    );
    const stepMs = Array.from(
      { length: tasks },
      () => gang ? typicalMs : typicalMs * pickFactor(random, RUN_TIME_SIGMA),
    );
    steps.push({
      tasks,
      gang,
      estimatedMs: Math.round(
        typicalMs * pickFactor(random, kind.estimateSigma),
      ),
      after: number === 0 ? [] : [number - 1],
      resources: {
        processors,
        memoryMb: Math.round(pickSample(random, kind.memoryMb)),
        accelerators: 0,
      },
    });
    durationsMs.push(stepMs);
    criticalPathMs += Math.max(...stepMs);
    work += processors * stepMs.reduce((sum, ms) => sum + ms, 0);
  }
  return {
    kind,
    body: createJob(steps),
    durationsMs,
    criticalPathMs,
    work,
    eligible,
    isDeadly,
    sentAtMs,
  };
}

function computeOutcome(
  kind: LoadKind,
  jobs: ReadonlyMap<string, GeneratedJob>,
  model: WorkModel,
  startMs: number,
): LoadOutcome {
  const own = [...jobs].filter(([, job]) => job.kind === kind && !job.isDeadly);
  const meanWork = own.reduce((sum, [, job]) => sum + job.work, 0) /
    Math.max(1, own.length);
  const waitsMs: number[] = [];
  let failed = 0;
  let onTime = 0;
  let late = 0;
  let totalValue = 0;
  let earnedValue = 0;
  for (const [id, generated] of own) {
    const value = kind.value * Math.min(
      MAX_VALUE_FACTOR,
      FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * generated.work / meanWork,
    );
    totalValue += value;
    const job = model.state.getJob(id);
    if (job?.state === "failed") failed += 1;
    if (job === undefined || job.state !== "completed") continue;
    const wallStartMs = model.getWallTime() - model.clock.now();
    const tookMs = job.endedMs - wallStartMs - startMs - generated.sentAtMs;
    const objectiveMs = kind.slowdownFactor * generated.criticalPathMs +
      kind.targetMs;
    waitsMs.push(Math.max(0, tookMs - generated.criticalPathMs));
    if (tookMs <= objectiveMs) {
      onTime += 1;
      earnedValue += value;
    } else if (tookMs <= LATE_FACTOR * objectiveMs) {
      late += 1;
      earnedValue += value * LATE_VALUE_SHARE;
    }
  }
  return {
    kind: kind.name,
    jobs: own.length,
    failed,
    onTime,
    late,
    totalValue,
    earnedValue,
    waitsMs,
  };
}

/** Share of the short jobs that end on time beside a leader with time to spare; the users' worth for a good day. */
export const ON_TIME_SHARE = 0.9;

/** Computes the share of the jobs of a kind that ended on time; 0 if there is no such kind. */
export function computeOnTimeShare(result: LoadResult, kind: string): number {
  const found = result.kinds.find((outcome) => outcome.kind === kind);
  return found === undefined ? 0 : found.onTime / found.jobs;
}

/** Runs one load on a new simulated cell and returns its results. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const { kinds, pattern } = options;
  const random = createSeededRandom(options.seed);
  // Separate, so that the other jobs are the same for each share.
  const deadlyRandom = createSeededRandom(options.seed);
  const jobs = new Map<string, GeneratedJob>();
  const { getReplyCostMs } = pattern;
  let startMs = Infinity;
  const model = createWorkModel({
    ...options.cell,
    ...(getReplyCostMs === undefined ? {} : {
      getReplyCostMs: () => getReplyCostMs(model.clock.now() - startMs),
    }),
    configuration: createModelConfiguration({
      queues: kinds.map((kind) => ({
        name: kind.name,
        priority: kind.priority,
        slowdownFactor: kind.slowdownFactor,
        targetMs: kind.targetMs,
        eligibility: kind.eligibility,
      })),
    }),
    isEligible(runner, step) {
      const [job = ""] = step.split("/");
      return jobs.get(job)?.eligible.has(runner) ?? false;
    },
    getTaskFacts({ job, step, index }: TaskRef, spec): TaskFacts {
      const generated = jobs.get(job);
      const durationMs = generated?.durationsMs[step]?.[index];
      const facts = createTaskFacts(spec ?? createStep());
      if (generated === undefined || durationMs === undefined) return facts;
      return { ...facts, durationMs, crashesRunner: generated.isDeadly };
    },
  });
  const runners: RunnerFaults[] = [];
  for (let number = 0; number < options.runners; number += 1) {
    runners.push(
      await model.addRunner(`r${number}`, {
        capacity: {
          processors: options.processors,
          memoryMb: 65_536,
          accelerators: 0,
        },
      }),
    );
  }
  startMs = model.clock.now();

  /** Submits a job and retries until it is accepted, as clients do. */
  function submit(id: string, generated: GeneratedJob): void {
    const retry = () =>
      void model.clock.setTimer(RETRY_DELAY_MS, () => submit(id, generated));
    if (pattern.isLeaderless?.(model.clock.now() - startMs) === true) {
      return retry();
    }
    model.submit(id, generated.body, { queue: generated.kind.name }).catch(
      retry,
    );
  }

  for (let atMs = 0; atMs < options.runMs; atMs += TICK_MS) {
    pattern.applyFaults?.(atMs, model, runners);
    for (const kind of kinds) {
      const rate = kind.jobsPerSecond * pattern.getRateFactor(kind.name, atMs);
      const count = rate * TICK_MS / MS_PER_SECOND + random.nextFloat();
      for (let number = 0; number < Math.floor(count); number += 1) {
        const id = `${kind.name}${jobs.size}`;
        const share = pattern.getDeadlyShare?.(kind.name, atMs) ?? 0;
        const generated = pickJob(random, kind, options, {
          sentAtMs: atMs,
          isDeadly: deadlyRandom.nextFloat() < share,
        });
        jobs.set(id, generated);
        submit(id, generated);
      }
    }
    await model.run(TICK_MS);
  }
  await model.run(DRAIN_MS);
  const queries: Record<string, number> = {};
  let tasks = 0;
  let deadlyJobs = 0;
  let deadlyGivenUp = 0;
  for (const [id, { kind, body, isDeadly }] of jobs) {
    if (isDeadly) {
      deadlyJobs += 1;
      if (model.state.getJob(id)?.state === "failed") deadlyGivenUp += 1;
    }
    queries[kind.name] = (queries[kind.name] ?? 0) +
      model.countQueries(id);
    for (const step of body.steps) tasks += step.tasks;
  }
  return {
    kinds: kinds.map((kind) => computeOutcome(kind, jobs, model, startMs)),
    tasks,
    starts: model.runners.countStarts(),
    queries,
    crashes: model.runners.countCrashes(),
    lostRuns: model.runners.countLostRuns(),
    deadlyJobs,
    deadlyGivenUp,
    violations: model.runners.violations,
  };
}
