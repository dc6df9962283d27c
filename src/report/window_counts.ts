/**
 * Counts of good and bad events in sliding windows. Three rings of buckets of
 * different width cover all windows in 2 KiB, whatever the number of events.
 */

/** Good and bad events. */
export interface EventCounts {
  readonly good: number;
  readonly bad: number;
}

/** The windows of burn rates, in milliseconds. */
export const WINDOWS_MS = Object.freeze({
  "5m": 300_000,
  "30m": 1_800_000,
  "1h": 3_600_000,
  "6h": 21_600_000,
});

/** The name of a window. */
export type WindowName = keyof typeof WINDOWS_MS;

/** Names of the windows, shortest first. */
export const WINDOW_NAMES = Object.freeze(
  Object.keys(WINDOWS_MS) as WindowName[],
);

/** The period that a budget is for, in milliseconds: 30 days. */
export const BUDGET_PERIOD_MS = 2_592_000_000;

/** Time between two points of a series, in milliseconds. */
export const SERIES_STEP_MS = 300_000;

/** Counts in steps of `SERIES_STEP_MS`, aligned to the Unix epoch. */
export interface EventSeries {
  /** Wall time of the first step in milliseconds. */
  readonly startMs: number;
  readonly good: readonly number[];
  readonly bad: readonly number[];
}

/** Counts of one objective of one workspace. */
export interface WindowCounts {
  record(atMs: number, isGood: boolean, count?: number): void;
  getWindow(atMs: number, name: WindowName): EventCounts;
  /** Returns the counts of the budget period. */
  getBudget(atMs: number): EventCounts;
  /** Returns the last six hours. */
  getSeries(atMs: number): EventSeries;
}

interface Ring {
  record(atMs: number, isGood: boolean, count: number): void;
  /** Sums the last `buckets` buckets, the current one included. */
  sum(atMs: number, buckets: number): EventCounts;
  list(atMs: number): EventSeries;
}

function createRing(widthMs: number, length: number): Ring {
  const good = new Uint32Array(length);
  const bad = new Uint32Array(length);
  let newest = -1;

  function removeBetween(from: number, until: number): void {
    for (let step = Math.max(from, until - length); step < until; step++) {
      good[step % length] = 0;
      bad[step % length] = 0;
    }
  }

  function stepTo(atMs: number): number {
    const index = Math.floor(atMs / widthMs);
    if (index > newest) {
      if (newest >= 0) removeBetween(newest + 1, index + 1);
      newest = index;
    }
    return newest;
  }

  function computeSum(atMs: number, buckets: number): EventCounts {
    const end = stepTo(atMs);
    const total = { good: 0, bad: 0 };
    for (let step = end - Math.min(buckets, length) + 1; step <= end; step++) {
      if (step < 0) continue;
      total.good += good[step % length] ?? 0;
      total.bad += bad[step % length] ?? 0;
    }
    return total;
  }

  return {
    record(atMs, isGood, count) {
      const counts = isGood ? good : bad;
      const position = stepTo(atMs) % length;
      counts[position] = (counts[position] ?? 0) + count;
    },
    sum: computeSum,
    list(atMs) {
      const first = Math.max(0, stepTo(atMs) - length + 1);
      const steps = Array.from({ length }, (_, offset) => first + offset);
      return {
        startMs: first * widthMs,
        good: steps.map((step) => good[step % length] ?? 0),
        bad: steps.map((step) => bad[step % length] ?? 0),
      };
    },
  };
}

const MINUTE_MS = 60_000;
const HOUR_MS = 3_600_000;
const BUDGET_STEP_MS = 6 * HOUR_MS;

/** Creates empty counts. */
export function createWindowCounts(): WindowCounts {
  const minutes = createRing(MINUTE_MS, HOUR_MS / MINUTE_MS);
  const steps = createRing(SERIES_STEP_MS, WINDOWS_MS["6h"] / SERIES_STEP_MS);
  const budget = createRing(BUDGET_STEP_MS, BUDGET_PERIOD_MS / BUDGET_STEP_MS);

  return {
    record(atMs, isGood, count = 1) {
      for (const ring of [minutes, steps, budget]) {
        ring.record(atMs, isGood, count);
      }
    },
    getWindow(atMs, name) {
      const widthMs = WINDOWS_MS[name];
      if (widthMs <= HOUR_MS) return minutes.sum(atMs, widthMs / MINUTE_MS);
      return steps.sum(atMs, widthMs / SERIES_STEP_MS);
    },
    getBudget: (atMs) => budget.sum(atMs, BUDGET_PERIOD_MS / BUDGET_STEP_MS),
    getSeries: (atMs) => steps.list(atMs),
  };
}
