/** Settings of the scheduler, with their defaults and checks. */

import { createFault, type Random } from "../common/mod.ts";
import type { ShareRule } from "./shares.ts";
import type { SchedulingObjective } from "./types.ts";

/** Settings of a scheduler. */
export interface SchedulerOptions {
  readonly random: Random;
  /** Default "share". */
  readonly weights?: SchedulingObjective;
  /** Default "dominant". */
  readonly shareRule?: ShareRule;
  /** Lease of a running task in milliseconds. Default 10,000. */
  readonly leaseMs?: number;
  /** Bound on the difference of clock rates. Default 0.01. */
  readonly clockRateBound?: number;
  /**
   * A worker silent for this long gets no new task. Default 3,000 ms, and at
   * most two fifths of the lease: the lease of a start counts from the worker's
   * last report, and has to hold until the answer to a later one.
   */
  readonly workerUnresponsiveAfterMs?: number;
  /** After `restore`, no job is reported as never runnable for this long. Default 3,000 ms. */
  readonly fleetSettleMs?: number;
  /** Most placements of one `step`. Default 2,000. */
  readonly maxPlacementsPerStep?: number;
  /** Most ends and stops of cancelled tasks in one `step`. Default 2,000. */
  readonly maxCancellationsPerStep?: number;
  /** Ended jobs that are kept for `getJob`. Default 10,000. */
  readonly maxEndedJobs?: number;
  /**
   * How long a workspace below its share waits before lent resources are reclaimed.
   * Default 2,000 ms with weights "share", 30,000 ms with "waiting".
   */
  readonly reclaimAfterMs?: number;
  /** Safety margin on usage estimates, as a part of the estimate. Default 0.1. */
  readonly usageMargin?: number;
  /** A reservation older than this checkpoints the batch work in its way. Default 60,000 ms. */
  readonly reservationPreemptAfterMs?: number;
}

/** Settings with every default filled in. */
export type ResolvedSchedulerOptions = Required<SchedulerOptions>;

/**
 * Longest silence before a start, as a part of the lease. A report may take a
 * second to its leader, so at five seconds two of them are left to renew it.
 */
const MAX_UNRESPONSIVE_LEASE_FRACTION = 0.4;

/** The defaults; the silence of a worker is bounded by the lease as well. */
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

/** Fills in defaults; throws a `badRequest` fault when a setting is out of range. */
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
