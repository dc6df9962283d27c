/** Timeouts and limits shared by the modules of the workload scheduler. */

/**
 * Minimum rate of a runner's clock relative to the local clock. The platform
 * states a drift of 2 %; a lease counts as ended only after this allowance.
 */
export const RUNNER_CLOCK_MIN_RATE = 0.98;

/**
 * Time for which a runner may continue without contact, in milliseconds. Long
 * enough for a restart of all instances and for a data centre that is cut off for
 * a few seconds: a wide gang nearly always has a member there and would have to
 * restart as a whole. Runners may accept less.
 */
export const RUNNER_LEASE_MS = 6_500;

/** Maximum wait of a long poll for the end of a run, in milliseconds; also the maximum interval between progress updates. */
export const LONG_POLL_WAIT_MS = 1_200;

/** Time beyond its wait after which a poll times out, in milliseconds. */
export const POLL_TIMEOUT_SLACK_MS = 700;

/**
 * Pause of a busy leader between two polls of a runner without urgent runs, in
 * milliseconds. Its ends are gathered meanwhile; a lease lasts far longer.
 */
export const BUSY_POLL_PAUSE_MS = 400;

/** Timeout of an order to a runner in milliseconds; a healthy runner answers within 20 ms. */
export const ORDER_TIMEOUT_MS = 500;

/** Age after which a delayed order can no longer arrive at a runner, in milliseconds; the platform states 12 s. */
export const MAX_ORDER_DELAY_MS = 13_000;

/** Pause before retrying a failed call to a runner, in milliseconds. */
export const RETRY_PAUSE_MS = 150;

/** Maximum time between two probes of an unresponsive runner, in milliseconds. */
export const MAX_PROBE_PERIOD_MS = 600;

/** Maximum time for which a stop order waits for an unresponsive runner before its next attempt, in milliseconds; the platform allows 3 s to cancel a run. */
export const MAX_STOP_DELAY_MS = 1_000;

/** Maximum attempts to send a start before it is withdrawn; all have the same run number, so a runner starts it once. */
export const START_ATTEMPTS = 3;

/** Minimum remaining validity of a ticket when a start is decided, in milliseconds; covers recording and sending. */
export const TICKET_MARGIN_MS = 150;

/** Time for which records are batched into one log command, in milliseconds. */
export const RECORD_BATCH_MS = 3;

/** Minimum time between a request and its planning round, in milliseconds. */
export const PLAN_PERIOD_MS = 8;

/** The same for rounds over urgent steps, in milliseconds; short jobs have about 0.6 s for everything but their run time. */
export const URGENT_PLAN_PERIOD_MS = 3;

/** Time between two checks of leases, recorded runs and due jobs, in milliseconds. */
export const WATCH_PERIOD_MS = 200;

/** Usual number of runners in one eligibility query; each runner makes the answer slower. */
export const ELIGIBILITY_RUNNERS = 40;

/** Maximum number of runners in a query for a wide gang; the service accepts no more. */
export const MAX_ELIGIBILITY_RUNNERS = 100;

/** Expected duration from which an eligibility query goes to the callers for slow queries, in milliseconds. */
export const SLOW_ELIGIBILITY_MS = 200;
