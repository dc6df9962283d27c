/** Times and bounds of the workload scheduler that several modules share. */

/**
 * Slowest rate of a runner's clock against ours. The platform states 2 %; a
 * lease is taken as ended only after this allowance.
 */
export const RUNNER_CLOCK_MIN_RATE = 0.98;

/**
 * Time for which a runner may go on without hearing from us, in milliseconds.
 * It outlives a restart of all instances, and a data centre that is cut off for
 * some seconds: a wide gang nearly always has a member there, and would start
 * anew as a whole. Runners may accept less.
 */
export const RUNNER_LEASE_MS = 6_500;

/** Longest wait of one look at a runner for an end, in milliseconds; progress is seen at least this often. */
export const LONG_POLL_WAIT_MS = 1_200;

/** Time beyond the wait after which a look counts as unanswered, in milliseconds. */
export const POLL_TIMEOUT_SLACK_MS = 700;

/** Time after which an order to a runner counts as unanswered, in milliseconds; a healthy one answers within 20 ms. */
export const ORDER_TIMEOUT_MS = 500;

/** Pause after an unanswered call to a runner, in milliseconds. */
export const RETRY_PAUSE_MS = 150;

/** Attempts to send one start before it is withdrawn; each repeats the same run, which a runner starts once. */
export const START_ATTEMPTS = 3;

/** Time that a ticket must still be valid when its start is decided, in milliseconds; covers recording and sending. */
export const TICKET_MARGIN_MS = 150;

/** Time during which records are gathered into one command of the log, in milliseconds. */
export const RECORD_BATCH_MS = 3;

/** Shortest time between two planning rounds, in milliseconds. */
export const PLAN_PERIOD_MS = 8;

/** The same for rounds over the steps that cannot wait; short jobs have some 0.6 s for all that is not work. */
export const URGENT_PLAN_PERIOD_MS = 3;

/** Time between two checks of leases and progress, in milliseconds. */
export const WATCH_PERIOD_MS = 200;

/** Runners named in one question to the eligibility service; each makes the answer take longer. */
export const ELIGIBILITY_RUNNERS = 40;

/** Most runners named for a wide gang; the service takes no more. */
export const MAX_ELIGIBILITY_RUNNERS = 100;

/** Answers of the eligibility service that take longer are asked for by callers of their own, in milliseconds. */
export const SLOW_ELIGIBILITY_MS = 200;
