/**
 * Loads for the model of a cell: kinds of jobs with the shapes of the users'
 * sheets, named patterns of heavy seconds, and what the jobs earn. A job earns
 * its worth when it ends within its objective, a part of it up to three times
 * the objective, and nothing after that.
 */

import { createSeededRandom, type Random } from "../common/mod.ts";
import type { JobBody, StepSpec, TaskRef } from "../workload/mod.ts";
import type { RunnerFaults, TaskFacts } from "./runner_model.ts";
import {
  createJob,
  createModelConfiguration,
  createStep,
  createTaskFacts,
  createWorkModel,
  type WorkModel,
  type WorkModelOptions,
} from "./work_model.ts";

/** A distribution around a mean: log-normal, cut at `max`. */
export interface Distribution {
  readonly mean: number;
  /** Standard deviation of the logarithm. */
  readonly sigma: number;
  readonly max: number;
}

/** One kind of job. */
export interface LoadKind {
  /** Name of the kind and of its queue. */
  readonly name: string;
  readonly priority: number;
  /** Jobs a second on a calm day. */
  readonly jobsPerSecond: number;
  /** Worth of a job of average work, on time. */
  readonly value: number;
  readonly slowdownFactor: number;
  readonly targetMs: number;
  readonly eligibility: {
    readonly baseMs: number;
    readonly perRunnerMs: number;
    readonly validMs: number;
  };
  /** Share of the runners that may run a step. */
  readonly eligibleShare: number;
  /** Steps of a job, one after the other. */
  readonly steps: Distribution;
  readonly tasks: Distribution;
  readonly durationMs: Distribution;
  /** Standard deviation of the logarithm of declared against true run times. */
  readonly estimateSigma: number;
  readonly processors: Distribution;
  readonly memoryMb: Distribution;
  /** Share of the jobs whose tasks work only together. */
  readonly gangShare: number;
}

/** A load with a name. */
export interface LoadPattern {
  readonly name: string;
  /** Multiple of the calm rate of a kind at a time in milliseconds. */
  readonly getRateFactor: (kind: string, atMs: number) => number;
  /** Called each tick. */
  readonly applyFaults?: (
    atMs: number,
    model: WorkModel,
    runners: readonly RunnerFaults[],
  ) => void;
  /** Tells whether no leader takes calls at a time; they come when one does. */
  readonly isLeaderless?: (atMs: number) => boolean;
}

/** What became of the jobs of one kind. */
export interface LoadOutcome {
  readonly kind: string;
  readonly jobs: number;
  /** Jobs that ended within their objective. */
  readonly onTime: number;
  /** Jobs that ended later, and still earned something. */
  readonly late: number;
  readonly totalValue: number;
  readonly earnedValue: number;
  /** Time beyond the longest chain of work, by job, in milliseconds. */
  readonly waitsMs: readonly number[];
}

/** What became of all jobs. */
export interface LoadResult {
  readonly kinds: readonly LoadOutcome[];
  readonly tasks: number;
  /** Runs that were begun; more than tasks where some had to run again. */
  readonly starts: number;
  /** Questions to the eligibility service, by kind. */
  readonly queries: Readonly<Record<string, number>>;
}

/** Options of a run. */
export interface LoadOptions {
  readonly kinds: readonly LoadKind[];
  readonly pattern: LoadPattern;
  readonly seed: number;
  readonly runners: number;
  /** Processors of a runner in thousandths. */
  readonly processors: number;
  readonly runMs: number;
  /** Further options of the cell. */
  readonly cell?: Pick<WorkModelOptions, "commitMs" | "callers" | "sortSteps">;
}

/** Kinds like those of the users' larger sheets. */
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

/** The heavy seconds that the users' days consist of. */
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
    name: "runners that stand still",
    getRateFactor: () => 1,
    applyFaults(atMs, _, runners) {
      const isOn = isWithin(atMs, 5_000, 6_000);
      for (const runner of runners.slice(0, 2)) runner.hangs = isOn;
    },
  },
  leaderChanges: {
    name: "a takeover each 5 s",
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
  lostDataCentre: {
    name: "a quarter of the runners cut off for 6 s",
    getRateFactor: () => 1,
    applyFaults(atMs, _, runners) {
      const isOn = isWithin(atMs, 5_000, 6_000);
      for (const [at, runner] of runners.entries()) {
        if (at % 4 === 0) runner.isPartitioned = isOn;
      }
    },
  },
}) satisfies Readonly<Record<string, LoadPattern>>;

/** Multiple of the objective up to which a late job earns a part; from the platform's rules. */
const LATE_FACTOR = 3;

/** Part of its worth that a late job earns; from the users' sheets. */
const LATE_PART = 0.2;

/** Parts of a job's worth that are fixed and that grow with its work, and the most; from the platform's rules. */
const FIXED_PART = 0.3;
const MAX_WORTH_FACTOR = 4;

/** Deviation of the run times within a step, as a logarithm; from the users' sheets. */
const UNEVEN_SPREAD = 0.3;

/** Part of the room of its eligible runners that a gang may need. */
const MAX_GANG_SHARE = 0.6;

const TICK_MS = 20;
const MS_PER_SECOND = 1_000;

/** Time after the load for open jobs to end, in milliseconds. */
const DRAIN_MS = 40_000;

/** Pause before a call that was cut off is sent again, in milliseconds. */
const RESEND_MS = 100;

/** Draws from the normal distribution by the method of Box and Muller. */
function pickNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.nextFloat()));
  return radius * Math.cos(2 * Math.PI * random.nextFloat());
}

function pickFactor(random: Random, spread: number): number {
  return Math.exp(pickNormal(random) * spread - spread * spread / 2);
}

function pickSpread(
  random: Random,
  { mean, sigma: spread, max }: Distribution,
): number {
  return Math.min(max, mean * pickFactor(random, spread));
}

interface DrawnJob {
  readonly kind: LoadKind;
  readonly body: JobBody;
  /** True run time of each task in milliseconds, by step. */
  readonly durationsMs: readonly (readonly number[])[];
  readonly chainMs: number;
  readonly work: number;
  readonly eligible: ReadonlySet<string>;
  readonly sentAtMs: number;
}

function pickEligible(
  random: Random,
  runners: number,
  share: number,
): Set<string> {
  // One runner at least, so that no job is without any.
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
  sentAtMs: number,
): DrawnJob {
  const eligible = pickEligible(random, cell.runners, kind.eligibleShare);
  const steps: Partial<StepSpec>[] = [];
  const durationsMs: number[][] = [];
  let chainMs = 0;
  let work = 0;
  const count = Math.max(1, Math.round(pickSpread(random, kind.steps)));
  const gang = random.nextFloat() < kind.gangShare;
  for (let number = 0; number < count; number += 1) {
    const typicalMs = pickSpread(random, kind.durationMs);
    const processors = Math.round(pickSpread(random, kind.processors));
    const room = eligible.size * Math.floor(cell.processors / processors);
    // A gang beyond a part of its runners' room could hardly ever start.
    const most = gang ? Math.max(1, room * MAX_GANG_SHARE) : Infinity;
    const tasks = Math.max(
      1,
      Math.min(
        Math.floor(most),
        Math.round(pickSpread(random, kind.tasks)),
      ),
    );
    const stepMs = Array.from(
      { length: tasks },
      () => gang ? typicalMs : typicalMs * pickFactor(random, UNEVEN_SPREAD),
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
        memoryMb: Math.round(pickSpread(random, kind.memoryMb)),
        accelerators: 0,
      },
    });
    durationsMs.push(stepMs);
    chainMs += Math.max(...stepMs);
    work += processors * stepMs.reduce((sum, ms) => sum + ms, 0);
  }
  return {
    kind,
    body: createJob(steps),
    durationsMs,
    chainMs,
    work,
    eligible,
    sentAtMs,
  };
}

function computeOutcome(
  kind: LoadKind,
  jobs: ReadonlyMap<string, DrawnJob>,
  model: WorkModel,
  startMs: number,
): LoadOutcome {
  const own = [...jobs].filter(([, job]) => job.kind === kind);
  const meanWork = own.reduce((sum, [, job]) => sum + job.work, 0) /
    Math.max(1, own.length);
  const waitsMs: number[] = [];
  let onTime = 0;
  let late = 0;
  let worthOwed = 0;
  let worthEarned = 0;
  for (const [id, drawn] of own) {
    const worth = kind.value * Math.min(
      MAX_WORTH_FACTOR,
      FIXED_PART + (1 - FIXED_PART) * drawn.work / meanWork,
    );
    worthOwed += worth;
    const job = model.state.getJob(id);
    if (job === undefined || job.state !== "completed") continue;
    const wallStartMs = model.getWallTime() - model.clock.now();
    const tookMs = job.endedMs - wallStartMs - startMs - drawn.sentAtMs;
    const objectiveMs = kind.slowdownFactor * drawn.chainMs + kind.targetMs;
    waitsMs.push(Math.max(0, tookMs - drawn.chainMs));
    if (tookMs <= objectiveMs) {
      onTime += 1;
      worthEarned += worth;
    } else if (tookMs <= LATE_FACTOR * objectiveMs) {
      late += 1;
      worthEarned += worth * LATE_PART;
    }
  }
  return {
    kind: kind.name,
    jobs: own.length,
    onTime,
    late,
    totalValue: worthOwed,
    earnedValue: worthEarned,
    waitsMs,
  };
}

/** Plays one load on a fresh cell; returns what became of the jobs. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const { kinds, pattern } = options;
  const random = createSeededRandom(options.seed);
  const jobs = new Map<string, DrawnJob>();
  const model = createWorkModel({
    ...options.cell,
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
      const durationMs = jobs.get(job)?.durationsMs[step]?.[index];
      const facts = createTaskFacts(spec ?? createStep());
      return durationMs === undefined ? facts : { ...facts, durationMs };
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
  const startMs = model.clock.now();

  /** Sends a call until it is answered, as callers do. */
  function submit(id: string, drawn: DrawnJob): void {
    const resend = () =>
      void model.clock.setTimer(RESEND_MS, () => submit(id, drawn));
    if (pattern.isLeaderless?.(model.clock.now() - startMs) === true) {
      return resend();
    }
    model.submit(id, drawn.body, { queue: drawn.kind.name }).catch(resend);
  }

  for (let atMs = 0; atMs < options.runMs; atMs += TICK_MS) {
    pattern.applyFaults?.(atMs, model, runners);
    for (const kind of kinds) {
      const rate = kind.jobsPerSecond * pattern.getRateFactor(kind.name, atMs);
      const count = rate * TICK_MS / MS_PER_SECOND + random.nextFloat();
      for (let number = 0; number < Math.floor(count); number += 1) {
        const id = `${kind.name}${jobs.size}`;
        const drawn = pickJob(random, kind, options, atMs);
        jobs.set(id, drawn);
        submit(id, drawn);
      }
    }
    await model.run(TICK_MS);
  }
  await model.run(DRAIN_MS);
  const questions: Record<string, number> = {};
  let tasks = 0;
  for (const [id, { kind, body }] of jobs) {
    questions[kind.name] = (questions[kind.name] ?? 0) +
      model.countQueries(id);
    for (const step of body.steps) tasks += step.tasks;
  }
  return {
    kinds: kinds.map((kind) => computeOutcome(kind, jobs, model, startMs)),
    tasks,
    starts: model.runners.countStarts(),
    queries: questions,
  };
}
