/**
 * Estimates run times of tasks. Declared run times are often far off, so they are
 * corrected by a linear regression on the logarithms of declared and actual times
 * of ended runs of the same queue. Declarations weigh as much as they have
 * distinguished short tasks from long ones.
 */

/** Weight of the prior assumption, as a number of ended runs of a queue. */
const PRIOR_RUNS = 10;

/** Prior slope of the logarithm of actual times over the logarithm of declared times. */
const PRIOR_SLOPE = 0.5;

/** Prior variance of the logarithm of declared times. */
const PRIOR_VARIANCE = 0.8;

/** Estimates run times by queue. */
export interface RunTimes {
  /** Learns from a run that completed all of its work. */
  recordRun(
    queue: string,
    run: { readonly declaredMs: number; readonly durationMs: number },
  ): void;
  /** Estimates the run time of a task in milliseconds. */
  estimateMs(queue: string, declaredMs: number): number;
}

interface QueueRuns {
  count: number;
  /** Means of the logarithms of declared and actual times. */
  declaredMean: number;
  durationMean: number;
  /** Sums of the squared deviations of declared times and of the cross products. */
  declaredSquares: number;
  products: number;
}

/** Creates the estimates; without ended runs they equal the declared times. */
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
