/**
 * How fast runners work, learned from the runs themselves. Declared run times
 * are far off, so a run is compared with the other runs of its step, which do
 * the same work; a sudden slowness shows in the progress of what runs.
 */

/** Weight of one run in the learned slowness of its runner; some ten runs settle it. */
const RUN_WEIGHT = 0.08;

/** Weight of one look at one run in the learned error of a queue's declared run times. */
const ESTIMATE_WEIGHT = 0.01;

/** Time after its start from which a run's progress tells its speed, in milliseconds. */
const MIN_ELAPSED_MS = 400;

/** Runs that must agree before a runner counts as slow; the errors of their declared times average out. */
const MIN_SAMPLES = 3;

/** Slowness against the other runners, as a logarithm, from which a runner counts as slow however many runs agree: about 2.7 times. */
const SLOW_LOG_RATIO = 1;

/** Further slowness that a single run would have to show; errors of declared times are about this large, and shrink with the root of the number of runs. */
const SAMPLE_LOG_RATIO = 1.6;

/** One run at work. */
export interface ProgressSample {
  readonly queue: string;
  readonly estimatedMs: number;
  readonly elapsedMs: number;
  readonly percent: number;
}

/** Learned speeds. */
export interface SpeedTracker {
  /** Takes in a run that finished its work. */
  recordRun(run: { step: string; runner: string; durationMs: number }): void;
  /** Returns the logarithm of a runner's slowness; 0 is the mean of all runners. */
  getSlowness(runner: string): number;
  /** Tells whether the progress of its runs shows a runner to be slow now. */
  isSlowNow(samples: readonly ProgressSample[]): boolean;
  removeStep(step: string): void;
}

/** Estimates how much longer a run takes from its progress so far, in milliseconds. */
export function estimateRemainingMs(
  elapsedMs: number,
  percent: number,
): number {
  if (percent <= 0) return Infinity;
  return elapsedMs * (100 - percent) / percent;
}

/** Creates a book that has learned nothing. */
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
        // A run without any progress is at least this slow.
        const totalMs = elapsedMs * 100 / Math.max(percent, 1);
        const seen = Math.log(totalMs / estimatedMs);
        // Learned from runs at work, among which long ones are more common
        // than among all runs.
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
