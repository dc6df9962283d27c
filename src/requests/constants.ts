/** Constants shared by the files of the request path. */

import { MAX_CLOCK_DRIFT_RATIO } from "../replicated_log/timings.ts";

/** Header with the request identifier, for callers and endpoints; a resend has the same value. */
export const REQUEST_ID_HEADER = "goldcrestlug-request-id";

/** Interval between announcements of an endpoint, in milliseconds. */
export const ANNOUNCE_PERIOD_MS = 1_000;

/** Consecutive announcements an endpoint may miss before it gets no new work. */
export const MAX_MISSED_ANNOUNCEMENTS = 3;

/**
 * Maximum delay of an announcement from endpoint to leader, in milliseconds.
 * Instances that forward announcements drop older ones; the slot ledger relies
 * on this limit.
 */
export const ANNOUNCEMENT_DELAY_MS = 500;

/**
 * Maximum time for a request to reach its endpoint, in milliseconds, including
 * a TCP retransmission; the slot ledger relies on this limit.
 */
export const REQUEST_TRANSIT_MS = 500;

/** Validity of a grant in milliseconds; the exchange must start within this time. */
export const GRANT_VALID_MS = 1_000;

/**
 * Milliseconds after the deadline of a request until an unreleased grant
 * expires; leaves time for one retry of the release.
 */
export const GRANT_GRACE_MS = 500;

/** Maximum relative clock drift, as assumed for leader leases. */
export const CLOCK_RATE_ERROR = MAX_CLOCK_DRIFT_RATIO;

/** Idle timeout of a connection from an entry instance, in milliseconds. */
export const CONNECTION_IDLE_MS = 2_000;
