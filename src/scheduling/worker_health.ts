/**
 * Health of workers. A worker whose starts fail quickly for several different
 * jobs in a row is taken out of service, probed with one task after a pause,
 * and readmitted when the probe succeeds. A failure counts against a worker
 * only once the job has run well somewhere, so a job that fails everywhere
 * condemns no worker.
 */

/** A task that runs this long, in milliseconds, shows that its job and its worker are sound. */
export const QUICK_FAILURE_MS = 10_000;

// Three jobs: two could share a fault, such as the same image.
const FAILED_JOBS_LIMIT = 3;
const FIRST_PAUSE_MS = 30_000;
const MAX_PAUSE_MS = 600_000;
// When more workers than this part fail, the cause is shared and ejection would stop the cell.
const MAX_EJECTED_FRACTION = 1 / 3;

/** The health of one worker. */
export interface WorkerHealth {
  mode: "inService" | "outOfService" | "probing" | "probeRunning";
  /** Sound jobs that failed quickly here since the last success. */
  readonly failedJobs: Set<string>;
  pauseMs: number;
  probeAtMs: number;
}

/** What is known about how the starts of a job went. */
export interface JobHealth {
  /** A task of the job has finished, or has run long enough. */
  hasSucceeded: boolean;
  /** Workers where the job failed quickly while it was not known to be sound. */
  failedWorkers: Set<string> | undefined;
}

/** Creates the health of a new worker. */
export function createWorkerHealth(): WorkerHealth {
  return {
    mode: "inService",
    failedJobs: new Set(),
    pauseMs: FIRST_PAUSE_MS,
    probeAtMs: 0,
  };
}

/** Tells whether one more worker may be taken out of service. */
export function isEjectionAllowed(ejected: number, workers: number): boolean {
  return ejected + 1 <= Math.max(1, Math.floor(workers * MAX_EJECTED_FRACTION));
}

/** Notes a success, which readmits the worker. */
export function recordSuccess(health: WorkerHealth): void {
  health.failedJobs.clear();
  health.mode = "inService";
  health.pauseMs = FIRST_PAUSE_MS;
}

/** Notes a quick failure of a sound job; returns true when the worker should leave service. */
export function recordQuickFailure(health: WorkerHealth, job: string): boolean {
  health.failedJobs.add(job);
  return health.mode === "inService" &&
    health.failedJobs.size >= FAILED_JOBS_LIMIT;
}

/** Takes the worker out of service until its next probe, with a longer pause each time. */
export function setOutOfService(health: WorkerHealth, nowMs: number): void {
  health.mode = "outOfService";
  health.probeAtMs = nowMs + health.pauseMs;
  health.pauseMs = Math.min(2 * health.pauseMs, MAX_PAUSE_MS);
}
