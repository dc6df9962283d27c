/**
 * Limits the time for which a start on its way remains valid. The lease in an order is
 * also the time until which the runner accepts it, and a lease lasts for seconds, so that
 * runs outlive a restart of all instances. What a start was decided on lasts no longer
 * than the shortest notice that the leader gets of a change. Polls extend the lease.
 */

/** Longest validity of a start, in milliseconds; all attempts to send it take as long. */
const MAX_START_VALIDITY_MS = 1_500;

/** Share of the notice for which a start is valid; the rest covers what the runner's clock is off. */
const NOTICE_SHARE = 0.75;

/** Time for which a draining runner may still be started on, unless the settings say otherwise, in milliseconds. */
export const DRAIN_NOTICE_MS = 2_000;

/**
 * Computes the validity of a start in milliseconds, from the time for which a draining
 * runner may still be started on; 0 for no limit.
 */
export function computeStartValidity(drainNoticeMs: number): number {
  return drainNoticeMs === 0
    ? MAX_START_VALIDITY_MS
    : Math.min(MAX_START_VALIDITY_MS, NOTICE_SHARE * drainNoticeMs);
}
