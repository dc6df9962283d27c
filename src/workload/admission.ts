/**
 * Decides under overload whether a submitted job is accepted. A job is refused if by
 * the estimate it cannot end before it loses its value: accepted work that comes before
 * it and what is left of running tasks keep the processors of its pool busy for too
 * long. The decision reads the leader's jobs and runners and keeps nothing but a recent
 * measurement of them.
 */

import { createHash } from "node:crypto";
import { computeTimes, estimateJob } from "./open_steps.ts";
import type { WorkspaceUsage } from "./plan_types.ts";
import { URGENT_HEADROOM } from "./planning.ts";
import {
  addClaim,
  type Claim,
  type DecisionTime,
  fitsRunners,
  getRank,
  measurePoolLoad,
  type PoolLoad,
  type PoolLoadOptions,
} from "./pool_load.ts";
import type { Runner } from "./runner_table.ts";
import type { JobSpec, QueueSettings } from "./types.ts";
import { computeUrgency, type UrgencyInput } from "./urgency.ts";
import type { WorkState } from "./work_state.ts";

/**
 * Time for which a measured load is used, in milliseconds; short beside the seconds
 * after which jobs lose their value. Measuring visits all runs, and a leader that has
 * just taken over has little processor time: measuring 20 times a second made short
 * jobs late.
 */
const LOAD_AGE_MS = 500;

/** Share of a pool's runners that this leader must have polled before it refuses a job. */
const MIN_POLLED_SHARE = 2 / 3;

/** Minimum time after which a caller is told to retry, in milliseconds. */
const MIN_RETRY_MS = 1_000;

/** Why a job is refused. */
export type RefusalReason =
  /** The work that comes before it takes too long. */
  | "backlog"
  /** The same, and the job comes after all others as its workspace submits more than its weight. */
  | "beyondWeight";

/** The figures that a refusal is based on. */
export interface RefusalFigures {
  /** Time until the job would end, in milliseconds; Infinity if no processors become free. */
  readonly endsInMs: number;
  /** Time until the job loses its value, in milliseconds. */
  readonly valueEndsInMs: number;
  /** Estimated run time of its longest chain of steps, in milliseconds. */
  readonly chainMs: number;
  /** Waiting work that comes before it, and work left of running tasks, in millicore-milliseconds. */
  readonly workAhead: number;
  readonly runningWork: number;
  /** Processors of the pool's placeable runners, in millicores. */
  readonly processors: number;
}

/** A refused job. */
export interface Refusal {
  readonly reason: RefusalReason;
  /** Time after which the caller may retry, in milliseconds. */
  readonly retryAfterMs: number;
  readonly figures: RefusalFigures;
}

type Caps = ReadonlyMap<string, Pick<WorkspaceUsage, "cap">>;

/** Sources of the decision. */
export interface AdmissionOptions extends PoolLoadOptions {
  state: Pick<WorkState, "getJob" | "findQueue">;
  /** Lists all registered runners of a pool. */
  listRunners: (pool: string) => readonly Runner[];
  workspaces: {
    /** Tells whether a job is beyond the weight of its workspace. */
    isBeyondWeight(job: JobSpec): boolean;
    /** Returns the caps of the workspaces. */
    list(): Caps;
  };
}

/** Decides about submitted jobs. */
export interface Admission {
  /** Returns why a new job is refused; undefined if it is accepted. */
  checkJob(job: JobSpec, nowMs: number, wallMs: number): Refusal | undefined;
}

/** Serves work with the processors of a pool as they become free. */
interface Drain {
  /** Serves an amount of work, in millicore-milliseconds, at most until `untilMs` from now. */
  run(work: number, untilMs?: number): void;
  /** Returns the time at which the work is done, in milliseconds from now. */
  getEndMs(): number;
}

/** Creates a drain of which some processors, in millicores, are kept for other work. */
function createDrain({ idle, releases }: PoolLoad, kept: number): Drain {
  let atMs = 0;
  let free = idle - kept;
  let next = 0;

  /** Moves to a time, and adds what has become free by then. */
  function setTime(timeMs: number): void {
    atMs = timeMs;
    for (; (releases[next]?.leftMs ?? Infinity) <= atMs; next += 1) {
      if (atMs === Infinity) return;
      free += releases[next]?.processors ?? 0;
    }
  }

  setTime(0);
  return {
    run(work, untilMs = Infinity) {
      let left = work;
      while (left > 0 && atMs < untilMs) {
        const nextMs = Math.min(releases[next]?.leftMs ?? Infinity, untilMs);
        const served = free > 0 ? free * (nextMs - atMs) : 0;
        if (left <= served) return setTime(atMs + left / free);
        left -= served;
        setTime(nextMs);
      }
    },
    getEndMs: () => atMs,
  };
}

/** Tells whether jobs of this kind have an end that can be judged now. */
function isJudged({ steps, repetitions }: JobSpec): boolean {
  return repetitions === 0 && steps.every(({ longRunning }) => !longRunning);
}

function isMostlyPolled(runners: readonly Runner[]): boolean {
  const polled = runners.filter(({ contactMs }) => contactMs !== undefined);
  return polled.length >= MIN_POLLED_SHARE * runners.length;
}

/** Position of a job that is now submitted, in the order of the waiting work. */
type Position = Pick<Claim, "rank" | "urgency"> & { zeroValueMs: number };

/** Tells whether waiting work comes before a job that is now submitted. */
function isAhead({ step, rank, urgency }: Claim, job: Position): boolean {
  if (rank !== job.rank) return rank < job.rank;
  // A late job yields at first, but comes before it loses its value; see `urgency.ts`.
  return step.zeroValueMs <= job.zeroValueMs || urgency > job.urgency;
}

/**
 * Takes work from what a workspace's cap and the runners with a label can serve in some
 * time. Work beyond that waits beside idle processors and delays no other job.
 */
interface Budgets {
  /** Takes the work of a claim; returns the part that can be served, in millicore-milliseconds. */
  take(claim: Claim): number;
}

function createBudgets(
  caps: Caps,
  { labelled }: PoolLoad,
  timeMs: number,
): Budgets {
  const budgets = new Map<string, number>();

  function getBudget(name: string, processors: number): number {
    return budgets.get(name) ?? processors * timeMs;
  }

  return {
    take({ step: { workspace, spec, remainingWork } }) {
      const { requiredLabel: label } = spec;
      const cap = caps.get(workspace ?? "")?.cap.processors ?? 0;
      const ofWorkspace = `workspace ${workspace}`;
      const ofLabel = `label ${label}`;
      const left = cap > 0 ? getBudget(ofWorkspace, cap) : Infinity;
      const leftOfLabel = label === undefined
        ? Infinity
        : getBudget(ofLabel, labelled.get(label) ?? 0);
      const work = Math.min(remainingWork, left, leftOfLabel);
      if (cap > 0) budgets.set(ofWorkspace, left - work);
      if (label !== undefined) budgets.set(ofLabel, leftOfLabel - work);
      return work;
    },
  };
}

/** Computes a part from 0 to 1 that differs between identifiers and spreads their retries. */
function computeSpread(id: string): number {
  return createHash("sha256").update(id).digest().readUInt32BE() / 2 ** 32;
}

/** Computes the time after which to retry, from that by which the job would end too late. */
function computeRetryMs(
  id: string,
  { lateMs, valueMs }: { lateMs: number; valueMs: number },
): number {
  const mostMs = Math.max(MIN_RETRY_MS, valueMs);
  // Half of the longest time is left to spread the retries under a long backlog.
  const fromMs = Math.min(
    Math.max(MIN_RETRY_MS, lateMs),
    Math.max(MIN_RETRY_MS, mostMs / 2),
  );
  const spreadMs = Math.min(fromMs, mostMs - fromMs);
  return Math.round(fromMs + computeSpread(id) * spreadMs);
}

/** Creates the decision for one leadership. */
export function createAdmission(options: AdmissionOptions): Admission {
  const { state, workspaces } = options;
  const loads = new Map<string, { load: PoolLoad; atMs: number }>();

  function getLoad(pool: string, time: DecisionTime): PoolLoad {
    const known = loads.get(pool);
    if (known !== undefined && time.nowMs - known.atMs < LOAD_AGE_MS) {
      return known.load;
    }
    const load = measurePoolLoad(pool, time, options);
    loads.set(pool, { load, atMs: time.nowMs });
    return load;
  }

  /** Serves the work that comes before a job; returns its amount. */
  function runAhead(
    drain: Drain,
    job: Position,
    { load, wallMs }: { load: PoolLoad; wallMs: number },
  ): number {
    const valueMs = job.zeroValueMs - wallMs;
    const budgets = createBudgets(workspaces.list(), load, valueMs);
    let ahead = 0;
    for (const claim of load.claims) {
      if (!isAhead(claim, job)) continue;
      const work = budgets.take(claim);
      ahead += work;
      // Without value it comes after all other work.
      drain.run(work, claim.step.zeroValueMs - wallMs);
    }
    return ahead;
  }

  /**
   * Estimates the end of a job; undefined if it could not end in time in an idle pool
   * either, so that a retry would not help.
   */
  function estimateEnd(
    job: JobSpec,
    queue: QueueSettings,
    { load, wallMs }: { load: PoolLoad; wallMs: number },
  ): { figures: RefusalFigures; isExcess: boolean; claim: Claim } | undefined {
    const [firstStep] = job.steps;
    if (firstStep === undefined) return undefined;
    const { chainMs, work } = estimateJob(
      job,
      (declaredMs) => options.runTimes.estimateMs(job.queue, declaredMs),
    );
    const times = computeTimes(job, queue, { occurrence: 0, chainMs });
    const valueEndsInMs = times.zeroValueMs - wallMs;
    const kept = queue.priority === 0 ? 0 : URGENT_HEADROOM * load.capacity;
    const aloneMs = Math.max(chainMs, work / (load.capacity - kept));
    if (aloneMs > valueEndsInMs) return undefined;
    const isExcess = workspaces.isBeyondWeight(job);
    const input: UrgencyInput = {
      ...times,
      key: job.id,
      priority: queue.priority,
      remainingMs: chainMs,
      work,
      remainingWork: work,
      isExcess,
    };
    const drain = createDrain(load, kept);
    const position = {
      zeroValueMs: times.zeroValueMs,
      rank: getRank(input, wallMs),
      urgency: computeUrgency(input, wallMs),
    };
    const workAhead = runAhead(drain, position, { load, wallMs });
    const startMs = drain.getEndMs();
    drain.run(work);
    return {
      figures: {
        endsInMs: Math.max(startMs + chainMs, drain.getEndMs()),
        valueEndsInMs,
        chainMs,
        workAhead,
        runningWork: load.runningWork,
        processors: load.capacity,
      },
      isExcess,
      claim: {
        rank: position.rank,
        urgency: position.urgency,
        step: {
          zeroValueMs: times.zeroValueMs,
          workspace: job.workspace,
          spec: firstStep,
          remainingWork: work,
        },
      },
    };
  }

  return {
    checkJob(job, nowMs, wallMs) {
      const queue = state.findQueue(job.queue);
      if (queue === undefined || !isJudged(job)) return undefined;
      if (!isMostlyPolled(options.listRunners(job.pool))) return undefined;
      const load = getLoad(job.pool, { nowMs, wallMs });
      // Runners that it fits, or any at all, may come.
      const fits = job.steps.every((step) => fitsRunners(step, load.runners));
      if (load.capacity === 0 || !fits) return undefined;
      const estimate = estimateEnd(job, queue, { load, wallMs });
      if (estimate === undefined) return undefined;
      const { figures, isExcess, claim } = estimate;
      const { endsInMs, valueEndsInMs } = figures;
      if (endsInMs <= valueEndsInMs) {
        addClaim(load, claim);
        return undefined;
      }
      return {
        reason: isExcess ? "beyondWeight" : "backlog",
        retryAfterMs: computeRetryMs(job.id, {
          lateMs: endsInMs - valueEndsInMs,
          valueMs: valueEndsInMs,
        }),
        figures,
      };
    },
  };
}
