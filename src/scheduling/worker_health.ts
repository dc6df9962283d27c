/**
 * Health of workers. A worker where starts of several different jobs fail
 * quickly in a row is taken out of service. After a pause it gets one task as a
 * probe, and it is readmitted if the probe succeeds. A failure counts against a
 * worker only after the job has succeeded somewhere, so a job that fails
 * everywhere ejects no worker.
 */

/** A task that runs for this long counts as a success of its job and its worker, in milliseconds. */
export const QUICK_FAILURE_MS = 10_000;

// Three jobs, as two could share a fault, such as the same image.
const FAILED_JOBS_LIMIT = 3;
const FIRST_PAUSE_MS = 30_000;
const MAX_PAUSE_MS = 600_000;
// If a larger fraction of the workers fails, the cause is shared and ejection would stop the cell.
const MAX_EJECTED_FRACTION = 1 / 3;

/** The health of one worker. */
export interface WorkerHealth {
  mode: "inService" | "outOfService" | "probing" | "probeRunning";
  /** Jobs with successes elsewhere that failed quickly here since the worker's last success. */
  readonly failedJobs: Set<string>;
  pauseMs: number;
  probeAtMs: number;
}

/** The start results of one job. */
export interface JobHealth {
  /** A task of the job has finished, or has run long enough. */
  hasSucceeded: boolean;
  /** Workers where the job failed quickly before its first success. */
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

/** Returns whether one more worker may be taken out of service. */
export function isEjectionAllowed(ejected: number, workers: number): boolean {
  return ejected + 1 <= Math.max(1, Math.floor(workers * MAX_EJECTED_FRACTION));
}

/** Records a success, which readmits the worker. */
export function recordSuccess(health: WorkerHealth): void {
  health.failedJobs.clear();
  health.mode = "inService";
  health.pauseMs = FIRST_PAUSE_MS;
}

/** Records a quick failure of a job that has succeeded; returns true if the worker should be taken out of service. */
export function recordQuickFailure(health: WorkerHealth, job: string): boolean {
  health.failedJobs.add(job);
  return health.mode === "inService" &&
    health.failedJobs.size >= FAILED_JOBS_LIMIT;
}

/** Takes the worker out of service until its next probe; the pause doubles each time, up to a limit. */
export function setOutOfService(health: WorkerHealth, nowMs: number): void {
  health.mode = "outOfService";
  health.probeAtMs = nowMs + health.pauseMs;
  health.pauseMs = Math.min(2 * health.pauseMs, MAX_PAUSE_MS);
}
