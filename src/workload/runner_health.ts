/**
 * Tracks the health of runners. Runners that fail runs, make no progress or are
 * slow get no new tasks for a while, and urgent runs on a slow runner are
 * restarted elsewhere.
 */

import type { Clock, Logger } from "../common/mod.ts";
import type { Metrics } from "../report/metrics.ts";
import {
  createSpeedTracker,
  estimateRemainingMs,
  type ProgressSample,
} from "./runner_speed.ts";
import type { Occupant, Runner } from "./runner_table.ts";
import type { RunTimes } from "./run_times.ts";
import { formatStep } from "./types.ts";
import type { WorkState } from "./work_state.ts";

/** Suspension of a runner that is slow according to its progress, in milliseconds; renewed by each poll. */
const SLOW_PAUSE_MS = 1_500;

/** Remaining time of an urgent run on a slow runner from which a restart elsewhere pays off, in milliseconds. */
const MIN_MOVE_REMAINING_MS = 1_500;

/** Number of different jobs with consecutive failed runs after which a runner is suspended. */
const FAILED_JOBS_LIMIT = 3;

/** First suspension of a runner in milliseconds; doubled by each further one. */
const SUSPENSION_MS = 2_000;

/** Maximum suspension of a runner in milliseconds. */
const MAX_SUSPENSION_MS = 4_000;

/** Maximum share of a pool's runners suspended at the same time. */
const MAX_SUSPENDED_SHARE = 0.34;

/** Options of the health tracker. */
export interface RunnerHealthOptions {
  clock: Clock;
  logger: Logger;
  metrics?: Pick<Metrics, "addCount">;
  state: WorkState;
  /** Receives the run times of completed runs. */
  runTimes: Pick<RunTimes, "recordRun">;
  /** Lists the runners of a pool. */
  listPool: (pool: string) => readonly Runner[];
}

/** Tracks failures and speed of runners. */
export interface RunnerHealth {
  /** Records a failed run. */
  recordFailure(runner: Runner, job: string): void;
  /** Records a run that completed all of its work. */
  recordSuccess(runner: Runner, occupant: Occupant | undefined): void;
  /** Suspends a runner, unless too many of its pool are suspended already. */
  suspendRunner(runner: Runner, reason: string): void;
  /** Checks the progress of a runner's runs; suspends a slow runner and returns the urgent runs to move. */
  checkSpeed(runner: Runner): Occupant[];
  /** Removes what was learned about one step. */
  removeStep(step: string): void;
}

/** Creates a health tracker without history. */
export function createRunnerHealth(
  options: RunnerHealthOptions,
): RunnerHealth {
  const { clock, logger, metrics, state } = options;
  const speeds = createSpeedTracker();

  function suspendRunner(runner: Runner, reason: string): void {
    const pool = options.listPool(runner.entry.pool);
    const nowMs = clock.now();
    const suspended = pool.filter(({ suspendedUntilMs }) =>
      suspendedUntilMs > nowMs
    );
    // If runs fail everywhere, the tasks are at fault, and they still need
    // runners.
    if (suspended.length >= pool.length * MAX_SUSPENDED_SHARE) return;
    const pauseMs = Math.min(
      MAX_SUSPENSION_MS,
      SUSPENSION_MS * 2 ** runner.suspensions,
    );
    runner.suspensions += 1;
    runner.suspendedUntilMs = clock.now() + pauseMs;
    // One more failed job after the suspension suspends it again.
    while (runner.failedJobs.size >= FAILED_JOBS_LIMIT) {
      const [first] = runner.failedJobs;
      runner.failedJobs.delete(first ?? "");
    }
    metrics?.addCount("runners_suspended_total");
    logger.warn("Runner suspended", { runner: runner.life, reason, pauseMs });
  }

  /** Learns from a run that completed all of its work on this runner. */
  function recordSpeed(runner: Runner, occupant: Occupant): void {
    const { task, confirmedMs } = occupant;
    const job = state.getJob(task.job);
    const step = job?.spec.steps[task.step];
    const isWhole = step !== undefined &&
      state.getTask(task)?.checkpoint === "";
    if (job === undefined || !isWhole || confirmedMs === undefined) return;
    // It began under a former leader, so that its duration is not known.
    if (occupant.isRestored) return;
    const durationMs = clock.now() - confirmedMs;
    const declaredMs = step.estimatedMs;
    options.runTimes.recordRun(job.spec.queue, { declaredMs, durationMs });
    // A gang is as slow as the slowest of its runners.
    if (step.gang) return;
    speeds.recordRun({
      step: formatStep(task),
      runner: runner.entry.id,
      durationMs,
    });
    runner.slowness = speeds.getSlowness(runner.entry.id);
  }

  function checkSpeed(runner: Runner): Occupant[] {
    const nowMs = clock.now();
    const samples: ProgressSample[] = [];
    const urgent: Occupant[] = [];
    for (const occupant of runner.occupants.values()) {
      const { task, confirmedMs, progress } = occupant;
      const job = state.getJob(task.job);
      const step = job?.spec.steps[task.step];
      const isSample = job !== undefined && step !== undefined && !step.gang &&
        !step.longRunning && occupant.isListed && confirmedMs !== undefined &&
        // It began under a former leader, so that its time so far is not known.
        !occupant.isRestored &&
        occupant.state === "running" &&
        state.getTask(task)?.checkpoint === "";
      if (!isSample) continue;
      const elapsedMs = nowMs - confirmedMs;
      samples.push({
        queue: job.spec.queue,
        estimatedMs: step.estimatedMs,
        elapsedMs,
        percent: progress,
      });
      const isUrgent = state.findQueue(job.spec.queue)?.priority === 0;
      const remainingMs = estimateRemainingMs(elapsedMs, progress);
      if (isUrgent && remainingMs > MIN_MOVE_REMAINING_MS) {
        urgent.push(occupant);
      }
    }
    if (!speeds.isSlowNow(samples)) return [];
    const wasSuspended = nowMs < runner.suspendedUntilMs;
    runner.suspendedUntilMs = Math.max(
      runner.suspendedUntilMs,
      nowMs + SLOW_PAUSE_MS,
    );
    if (wasSuspended && urgent.length === 0) return urgent;
    logger.warn("Runner is slow", {
      runner: runner.life,
      runs: samples.length,
      moved: urgent.map(({ key }) => key),
    });
    return urgent;
  }

  return {
    recordFailure(runner, job) {
      runner.failedJobs.add(job);
      if (runner.failedJobs.size < FAILED_JOBS_LIMIT) return;
      suspendRunner(runner, "runs of several jobs failed in a row");
    },
    recordSuccess(runner, occupant) {
      if (occupant !== undefined) recordSpeed(runner, occupant);
      runner.failedJobs.clear();
      runner.suspensions = 0;
    },
    suspendRunner,
    checkSpeed,
    removeStep: (step) => speeds.removeStep(step),
  };
}
