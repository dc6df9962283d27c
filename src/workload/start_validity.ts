/**
 * Limits how long a start on its way remains valid. The end of the lease in an order is
 * also the latest time at which the runner accepts it, and a lease lasts for seconds, so
 * that runs outlive a restart of all instances. A start that is held for as long could
 * begin after its runner has announced that it drains. Polls extend the lease.
 */

/** Longest validity of a start, in milliseconds; all attempts to send it take as long. */
const MAX_START_VALIDITY_MS = 1_500;

/** Share of the notice for which a start is valid; the rest covers what the runner's clock is off. */
const NOTICE_SHARE = 0.75;

/** Time for which a draining runner may still be started on, unless the settings say otherwise, in milliseconds. */
export const DRAIN_NOTICE_MS = 2_000;

/**
 * Computes the validity of a start in milliseconds, from the time for which a draining
 * runner may still be started on; 0 or less for no limit.
 */
export function computeStartValidity(drainNoticeMs: number): number {
  return drainNoticeMs <= 0
    ? MAX_START_VALIDITY_MS
    : Math.min(MAX_START_VALIDITY_MS, NOTICE_SHARE * drainNoticeMs);
}
