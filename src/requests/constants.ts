/** Figures and names that several files of the request path share. */

import { MAX_CLOCK_DRIFT_RATIO } from "../replicated_log/timings.ts";

/** Header that names a request, towards callers and endpoints; a resend uses the same value. */
export const REQUEST_ID_HEADER = "goldcrestlug-request-id";

/** Milliseconds between two announcements of an endpoint. */
export const ANNOUNCE_PERIOD_MS = 1_000;

/** Announcements that may be missing before an endpoint gets no new work. */
export const MISSED_ANNOUNCEMENTS = 3;

/**
 * Milliseconds that an announcement may take from the endpoint to the leader.
 * Whoever forwards announcements drops older ones; the slot ledger relies on it.
 */
export const ANNOUNCEMENT_DELAY_MS = 500;

/**
 * Milliseconds that a request may take to reach its endpoint, on a connection
 * that needs a TCP retransmission; the slot ledger relies on it.
 */
export const ARRIVAL_MS = 500;

/** Milliseconds within which an entry instance must start a granted exchange. */
export const GRANT_VALID_MS = 1_000;

/**
 * Milliseconds after the deadline at which a grant that nobody released ends;
 * covers a release that is repeated once.
 */
export const GRANT_GRACE_MS = 500;

/** Bound on the difference in rate of two clocks, as for leader leases. */
export const CLOCK_RATE_ERROR = MAX_CLOCK_DRIFT_RATIO;

/** Milliseconds after which an entry instance closes an idle connection. */
export const CONNECTION_IDLE_MS = 2_000;
