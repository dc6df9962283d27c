/**
 * Expected run times of tasks. Callers declare them, but are often far off, so a
 * declared time is corrected by what ended runs of the same queue have shown:
 * a regression of the logarithms, which trusts declarations as far as they have
 * told short tasks from long ones.
 */

/** Ended runs of a queue that count as much as the assumption made before any has ended. */
const PRIOR_RUNS = 10;

/** Assumed slope of true against declared times, as logarithms, before runs have ended. */
const PRIOR_SLOPE = 0.5;

/** Assumed variance of the logarithm of declared times. */
const PRIOR_VARIANCE = 0.8;

/** Expected run times by queue. */
export interface RunTimes {
  /** Takes in a run that did all of its work. */
  recordRun(
    queue: string,
    run: { readonly declaredMs: number; readonly durationMs: number },
  ): void;
  /** Returns the expected run time of a task in milliseconds. */
  estimateMs(queue: string, declaredMs: number): number;
}

interface QueueRuns {
  count: number;
  /** Means of the logarithms of declared and of true times. */
  declaredMean: number;
  durationMean: number;
  /** Sums of squared and of mixed deviations from the means. */
  declaredSquares: number;
  products: number;
}

/** Creates the expectations; without ended runs they are the declared times. */
export function createRunTimes(): RunTimes {
  const queues = new Map<string, QueueRuns>();

  return {
    recordRun(queue, { declaredMs, durationMs }) {
      if (declaredMs <= 0 || durationMs <= 0) return;
      const declared = Math.log(declaredMs);
      const duration = Math.log(durationMs);
      let runs = queues.get(queue);
      if (runs === undefined) {
        runs = {
          count: 0,
          declaredMean: declared,
          durationMean: duration,
          declaredSquares: 0,
          products: 0,
        };
        queues.set(queue, runs);
      }
      runs.count += 1;
      const before = declared - runs.declaredMean;
      runs.declaredMean += before / runs.count;
      runs.durationMean += (duration - runs.durationMean) / runs.count;
      runs.declaredSquares += before * (declared - runs.declaredMean);
      runs.products += before * (duration - runs.durationMean);
    },
    estimateMs(queue, declaredMs) {
      const runs = queues.get(queue);
      if (runs === undefined || declaredMs <= 0) return declaredMs;
      const declared = Math.log(declaredMs);
      const slope = (runs.products +
        PRIOR_RUNS * PRIOR_SLOPE * PRIOR_VARIANCE) /
        (runs.declaredSquares + PRIOR_RUNS * PRIOR_VARIANCE);
      const learned = runs.durationMean +
        slope * (declared - runs.declaredMean);
      const learnedWeight = runs.count / (runs.count + PRIOR_RUNS);
      return Math.exp(learnedWeight * learned + (1 - learnedWeight) * declared);
    },
  };
}
