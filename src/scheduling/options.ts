/** Options of the scheduler: defaults and validation. */

import { createFault, type Random } from "../common/mod.ts";
import type { ShareRule } from "./shares.ts";
import type { SchedulingObjective } from "./types.ts";

/** Options of a scheduler. */
export interface SchedulerOptions {
  readonly random: Random;
  /** The objective that takes precedence. Default "share". */
  readonly weights?: SchedulingObjective;
  /** Default "dominant". */
  readonly shareRule?: ShareRule;
  /** Duration of a task lease in milliseconds. Default 10,000. */
  readonly leaseMs?: number;
  /** Maximum relative difference between clock rates. Default 0.01. */
  readonly clockRateBound?: number;
  /**
   * A worker that has not reported for this long gets no new tasks. Default
   * 3,000 ms, and at most two fifths of the lease: the first lease of a task
   * starts at the worker's last report and must last until the reply to a later one.
   */
  readonly workerUnresponsiveAfterMs?: number;
  /** Time after `restore` during which no job is reported as never runnable. Default 3,000 ms. */
  readonly fleetSettleMs?: number;
  /** Maximum number of placements per `step`. Default 2,000. */
  readonly maxPlacementsPerStep?: number;
  /** Maximum number of cancelled tasks that are ended or stopped per `step`. Default 2,000. */
  readonly maxCancellationsPerStep?: number;
  /** Number of ended jobs kept for `getJob`. Default 10,000. */
  readonly maxEndedJobs?: number;
  /**
   * Time that a workspace below its share waits before borrowed resources are
   * reclaimed for it. Default 2,000 ms with weights "share", 30,000 ms with "waiting".
   */
  readonly reclaimAfterMs?: number;
  /** Safety margin on usage estimates, as a fraction of the estimate. Default 0.1. */
  readonly usageMargin?: number;
  /** Time that a job is blocked before its reservation preempts batch tasks. Default 60,000 ms. */
  readonly reservationPreemptAfterMs?: number;
}

/** Options with all defaults applied. */
export type ResolvedSchedulerOptions = Required<SchedulerOptions>;

/**
 * Maximum age of a worker's last report at a task start, as a fraction of the
 * lease. A report may take a second to reach the leader; with a lease of five
 * seconds, two more reports can still renew it.
 */
const MAX_UNRESPONSIVE_LEASE_FRACTION = 0.4;

/** The defaults; `workerUnresponsiveAfterMs` is also bounded by the lease. */
export const DEFAULT_SCHEDULER_OPTIONS = Object.freeze(
  {
    weights: "share",
    shareRule: "dominant",
    leaseMs: 10_000,
    clockRateBound: 0.01,
    workerUnresponsiveAfterMs: 3_000,
    fleetSettleMs: 3_000,
    maxPlacementsPerStep: 2_000,
    maxCancellationsPerStep: 2_000,
    maxEndedJobs: 10_000,
    usageMargin: 0.1,
    reservationPreemptAfterMs: 60_000,
  } as const,
);

const RECLAIM_AFTER_MS = Object.freeze({ share: 2_000, waiting: 30_000 });

/** Applies the defaults; throws a `badRequest` fault if an option is out of range. */
export function resolveSchedulerOptions(
  options: SchedulerOptions,
): ResolvedSchedulerOptions {
  const weights = options.weights ?? DEFAULT_SCHEDULER_OPTIONS.weights;
  const leaseMs = options.leaseMs ?? DEFAULT_SCHEDULER_OPTIONS.leaseMs;
  const resolved: ResolvedSchedulerOptions = {
    ...DEFAULT_SCHEDULER_OPTIONS,
    workerUnresponsiveAfterMs: Math.min(
      DEFAULT_SCHEDULER_OPTIONS.workerUnresponsiveAfterMs,
      leaseMs * MAX_UNRESPONSIVE_LEASE_FRACTION,
    ),
    reclaimAfterMs: RECLAIM_AFTER_MS[weights],
    ...options,
  };
  for (const [name, value] of Object.entries(resolved)) {
    if (typeof value !== "number") continue;
    if (Number.isFinite(value) && value >= 0) continue;
    throw createFault(
      "badRequest",
      `Cannot create scheduler: option "${name}": ${value} is not a non-negative number`,
    );
  }
  return resolved;
}
