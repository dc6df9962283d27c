/**
 * Measures what keeps the processors of a pool busy: the tasks that run, with the time
 * until each ends, and the waiting work of accepted jobs. Times until the end are
 * estimated from listed progress and from the runs of the queue that have ended.
 */

import { countCapacity, isSuitable } from "./candidates.ts";
import type { OpenStep } from "./plan_types.ts";
import type { RunTimes } from "./run_times.ts";
import { estimateRemainingMs } from "./runner_speed.ts";
import { isPlaceable, type Occupant, type Runner } from "./runner_table.ts";
import type { StepSpec } from "./types.ts";
import { computeUrgency, getTier, type UrgencyInput } from "./urgency.ts";
import type { WorkState } from "./work_state.ts";

/**
 * Steps in which ends of runs are told apart, in milliseconds. Far finer than the
 * estimates; thousands of runs would otherwise be sorted for each measurement.
 */
const RELEASE_STEP_MS = 20;

/** Waiting work of one occurrence of an accepted job. */
export interface Claim {
  /** Its first open step; `remainingWork` is that of all waiting tasks of the occurrence. */
  readonly step: Pick<
    OpenStep,
    "zeroValueMs" | "workspace" | "spec" | "remainingWork"
  >;
  /** See `getRank`. */
  readonly rank: number;
  /** See `computeUrgency`. */
  readonly urgency: number;
}

/** Processors that become free when runs end. */
export interface Release {
  /** Time until their end in milliseconds; Infinity for a long-running task. */
  readonly leftMs: number;
  /** Processors in millicores. */
  readonly processors: number;
}

/** What keeps one pool busy. */
export interface PoolLoad {
  /** Runners on which tasks may start. */
  readonly runners: readonly Runner[];
  /** Processors of these runners in millicores. */
  readonly capacity: number;
  /** Processors of these runners that no run uses, in millicores. */
  readonly idle: number;
  /** Processors of the runners with a label, in millicores. */
  readonly labelled: ReadonlyMap<string, number>;
  /** Ends of the runs on these runners, in the order of time; one for each time. */
  readonly releases: readonly Release[];
  /** Work that is left of the runs that will end, in millicore-milliseconds. */
  readonly runningWork: number;
  /** Waiting work in the order of `compareClaims`. */
  readonly claims: Claim[];
}

/** Sources of the measurement. */
export interface PoolLoadOptions {
  state: Pick<WorkState, "getJob">;
  runTimes: Pick<RunTimes, "estimateMs">;
  listSteps: () => readonly OpenStep[];
  /** Lists the runners of a pool on which operators allow new tasks. */
  listOpenRunners: (pool: string) => readonly Runner[];
}

/** Local and wall time of a decision, in milliseconds. */
export interface DecisionTime {
  readonly nowMs: number;
  readonly wallMs: number;
}

/** Returns the position of a step's tier and priority; work of a lower rank is served before. */
export function getRank(
  step: Pick<UrgencyInput, "priority" | "isExcess" | "zeroValueMs">,
  wallMs: number,
): number {
  return 2 * getTier(step, wallMs) + (step.priority === 0 ? 0 : 1);
}

/** Tells whether idle runners could execute the tasks of a step; all at once for a gang. */
export function fitsRunners(
  spec: StepSpec,
  runners: readonly Runner[],
): boolean {
  let left = spec.gang ? spec.tasks : 1;
  const step = { spec, waiting: Array<number>(left).fill(0) };
  for (const runner of runners) {
    if (isSuitable(step, { runner })) left -= countCapacity(step, { runner });
    if (left <= 0) return true;
  }
  return false;
}

/**
 * Estimates the time until a run ends, in milliseconds. The leader does not know when
 * a restored run began, so only its share of progress counts.
 */
function estimateLeftMs(
  occupant: Occupant,
  totalMs: number,
  nowMs: number,
): number {
  const { state, confirmedMs, progress, progressMs } = occupant;
  if (state === "stopping") return 0;
  if (confirmedMs === undefined) return totalMs;
  const sinceMs = progress > 0 ? nowMs - progressMs : nowMs - confirmedMs;
  const leftMs = progress <= 0
    ? totalMs
    : occupant.isRestored
    ? totalMs * (100 - progress) / 100
    : estimateRemainingMs(progressMs - confirmedMs, progress);
  return Math.max(0, leftMs - sinceMs);
}

function formatOccurrence(
  { job, occurrence }: { job: string; occurrence: number },
): string {
  return `${job}/${occurrence}`;
}

/** Orders claims by rank, and within a rank by the time at which they lose their value. */
function compareClaims(a: Claim, b: Claim): number {
  return a.rank - b.rank || a.step.zeroValueMs - b.step.zeroValueMs;
}

/** Adds the work of a job that was accepted after the measurement. */
export function addClaim({ claims }: PoolLoad, claim: Claim): void {
  const at = claims.findIndex((other) => compareClaims(other, claim) > 0);
  claims.splice(at < 0 ? claims.length : at, 0, claim);
}

/** Lists the waiting work of a pool; not what its runners cannot execute or what has no value left. */
function listClaims(
  steps: readonly OpenStep[],
  runners: readonly Runner[],
  wallMs: number,
): Claim[] {
  const claims = new Map<string, Claim>();
  for (const step of steps) {
    const key = formatOccurrence(step);
    const isCounted = !claims.has(key) && wallMs <= step.zeroValueMs &&
      fitsRunners(step.spec, runners);
    if (!isCounted) continue;
    claims.set(key, {
      step,
      rank: getRank(step, wallMs),
      urgency: computeUrgency(step, wallMs),
    });
  }
  return [...claims.values()].sort(compareClaims);
}

/** Measures the load of a pool. */
export function measurePoolLoad(
  pool: string,
  { nowMs, wallMs }: DecisionTime,
  options: PoolLoadOptions,
): PoolLoad {
  const { state, runTimes } = options;
  const runners = options.listOpenRunners(pool)
    .filter((runner) => isPlaceable(runner, nowMs));
  const steps = options.listSteps().filter((step) => step.pool === pool);
  const waiting = new Set(steps.map(formatOccurrence));

  function estimateOccupantMs(occupant: Occupant): number {
    const { task } = occupant;
    const spec = state.getJob(task.job)?.spec;
    const step = spec?.steps[task.step];
    // The waiting work includes a task until its start is recorded.
    const isWaiting = occupant.state === "planned" &&
      waiting.has(formatOccurrence(task));
    if (spec === undefined || step === undefined || isWaiting) return 0;
    const totalMs = step.longRunning
      ? Infinity
      : runTimes.estimateMs(spec.queue, step.estimatedMs);
    return estimateLeftMs(occupant, totalMs, nowMs);
  }

  let capacity = 0;
  let idle = 0;
  let runningWork = 0;
  const released = new Map<number, number>();
  const labelled = new Map<string, number>();
  for (const { entry, used, occupants } of runners) {
    const { processors } = entry.capacity;
    capacity += processors;
    idle += Math.max(0, processors - used.processors);
    for (const label of entry.labels) {
      labelled.set(label, (labelled.get(label) ?? 0) + processors);
    }
    for (const occupant of occupants.values()) {
      const { resources } = occupant;
      const leftMs = RELEASE_STEP_MS *
        Math.ceil(estimateOccupantMs(occupant) / RELEASE_STEP_MS);
      if (leftMs < Infinity) runningWork += leftMs * resources.processors;
      const before = released.get(leftMs) ?? 0;
      released.set(leftMs, before + resources.processors);
    }
  }
  return {
    runners,
    capacity,
    idle,
    labelled,
    releases: [...released]
      .sort(([a], [b]) => a < b ? -1 : 1)
      .map(([leftMs, processors]) => ({ leftMs, processors })),
    runningWork,
    claims: listClaims(steps, runners, wallMs),
  };
}
