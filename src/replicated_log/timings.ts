/** Defaults and validation of the timings and size limits of a replicated log. */

import { createFault } from "../common/errors.ts";
import type { LogTimings } from "./types.ts";

/**
 * Largest deviation of a member's clock rate from real time, as a fraction. A
 * leader shortens its lease accordingly, because a follower with a fast clock
 * starts to grant votes early.
 */
export const MAX_CLOCK_DRIFT_RATIO = 0.01;

/** Default timings and size limits. The timings are specified in the design page. */
export const DEFAULT_LOG_TIMINGS: LogTimings = Object.freeze({
  heartbeatMs: 100,
  electionTimeoutMinMs: 500,
  electionTimeoutMaxMs: 1_000,
  snapshotLogBytes: 8 * 1024 * 1024,
  catchUpEntries: 1_000,
  maxMessageBytes: 512 * 1024,
  maxInFlightBytes: 4 * 1024 * 1024,
  maxCommandBytes: 4 * 1024 * 1024,
  maxPendingBytes: 64 * 1024 * 1024,
  handoverTimeoutMs: 2_000,
});

/** Fills in the defaults. Throws "badRequest" if a value is out of range. */
export function resolveLogTimings(input: Partial<LogTimings> = {}): LogTimings {
  const timings = { ...DEFAULT_LOG_TIMINGS, ...input };
  for (const [name, value] of Object.entries(timings)) {
    if (Number.isFinite(value) && value >= 0) continue;
    throw createFault(
      "badRequest",
      `Cannot use log timing "${name}": ${value} is not a non-negative number`,
    );
  }
  const { heartbeatMs, electionTimeoutMinMs, electionTimeoutMaxMs } = timings;
  if (
    heartbeatMs <= 0 || heartbeatMs * 2 > electionTimeoutMinMs ||
    electionTimeoutMinMs >= electionTimeoutMaxMs
  ) {
    throw createFault(
      "badRequest",
      `Cannot use log timings: heartbeat ${heartbeatMs} ms must be at most half of the shortest election timeout ${electionTimeoutMinMs} ms, which must be below the longest ${electionTimeoutMaxMs} ms`,
    );
  }
  return timings;
}

/**
 * Computes how long a lease lasts after the send time of the message that a
 * quorum has answered, in milliseconds of the leader's clock. The leader's clock
 * may be slow and a follower's fast, each by the maximum drift.
 */
export function computeLeaseMs(timings: LogTimings): number {
  return timings.electionTimeoutMinMs * (1 - MAX_CLOCK_DRIFT_RATIO) /
    (1 + MAX_CLOCK_DRIFT_RATIO);
}
