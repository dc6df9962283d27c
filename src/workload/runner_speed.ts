/**
 * Learns the speed of runners from their runs. Declared run times are far off, so
 * a run is compared with the other runs of its step, which do the same work. A
 * sudden slowdown is detected from the progress of current runs.
 */

/** Weight of one run in the learned slowness of its runner; it converges after about ten runs. */
const RUN_WEIGHT = 0.08;

/** Weight of one progress sample in the learned error of a queue's declared run times. */
const ESTIMATE_WEIGHT = 0.01;

/** Minimum run time before progress is used to estimate speed, in milliseconds. */
const MIN_ELAPSED_MS = 400;

/** Minimum samples for a runner to count as slow; averages out the errors of declared run times. */
const MIN_SAMPLES = 3;

/** Natural logarithm of the slowdown, relative to other runners, from which a runner counts as slow with any number of samples: a factor of about 2.7. */
const SLOW_LOG_RATIO = 1;

/** Additional logarithmic slowdown required of a single sample: about the error of declared run times, which shrinks with the square root of the number of samples. */
const SAMPLE_LOG_RATIO = 1.6;

/** Progress of one run. */
export interface ProgressSample {
  readonly queue: string;
  readonly estimatedMs: number;
  readonly elapsedMs: number;
  readonly percent: number;
}

/** Learned speeds of runners. */
export interface SpeedTracker {
  /** Learns from a run that completed its work. */
  recordRun(run: { step: string; runner: string; durationMs: number }): void;
  /** Returns the natural logarithm of a runner's slowness; 0 is the mean of all runners. */
  getSlowness(runner: string): number;
  /** Tells whether a runner is currently slow, from the progress of its runs. */
  isSlowNow(samples: readonly ProgressSample[]): boolean;
  removeStep(step: string): void;
}

/** Estimates the remaining time of a run from its progress, in milliseconds; Infinity without progress. */
export function estimateRemainingMs(
  elapsedMs: number,
  percent: number,
): number {
  if (percent <= 0) return Infinity;
  return elapsedMs * (100 - percent) / percent;
}

/** Creates a tracker without history. */
export function createSpeedTracker(): SpeedTracker {
  const slowness = new Map<string, number>();
  const steps = new Map<string, { sum: number; count: number }>();
  const errors = new Map<string, number>();

  return {
    recordRun({ step, runner, durationMs }) {
      if (durationMs <= 0) return;
      const duration = Math.log(durationMs);
      const known = slowness.get(runner) ?? 0;
      const others = steps.get(step) ?? { sum: 0, count: 0 };
      steps.set(step, others);
      let next = known;
      if (others.count > 0) {
        const residual = duration - others.sum / others.count;
        next += RUN_WEIGHT * (residual - known);
        slowness.set(runner, next);
      }
      others.sum += duration - next;
      others.count += 1;
    },
    getSlowness: (runner) => slowness.get(runner) ?? 0,
    isSlowNow(samples) {
      let sum = 0;
      let count = 0;
      for (const { queue, estimatedMs, elapsedMs, percent } of samples) {
        if (elapsedMs < MIN_ELAPSED_MS || estimatedMs <= 0) continue;
        // For a run without any progress this is a lower bound.
        const totalMs = elapsedMs * 100 / Math.max(percent, 1);
        const seen = Math.log(totalMs / estimatedMs);
        // Learned from current runs rather than ended ones, since long runs are
        // more frequent among current runs than among all runs.
        const error = errors.get(queue) ?? seen;
        errors.set(queue, error + ESTIMATE_WEIGHT * (seen - error));
        sum += seen - error;
        count += 1;
      }
      return count >= MIN_SAMPLES &&
        sum / count > SLOW_LOG_RATIO + SAMPLE_LOG_RATIO / Math.sqrt(count);
    },
    removeStep(step) {
      steps.delete(step);
    },
  };
}
