/**
 * Counts good and bad events in sliding windows. Three ring buffers with different
 * bucket widths cover all windows in 2 KiB, regardless of the number of events.
 */

/** Numbers of good and bad events. */
export interface EventCounts {
  readonly good: number;
  readonly bad: number;
}

/** Lengths of the burn rate windows, in milliseconds. */
export const WINDOWS_MS = Object.freeze({
  "5m": 300_000,
  "30m": 1_800_000,
  "1h": 3_600_000,
  "6h": 21_600_000,
});

/** Name of a window. */
export type WindowName = keyof typeof WINDOWS_MS;

/** Names of the windows, shortest first. */
export const WINDOW_NAMES = Object.freeze(
  Object.keys(WINDOWS_MS) as WindowName[],
);

/** Period of an error budget, in milliseconds: 30 days. */
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

/** Sliding-window event counts of one objective of one workspace. */
export interface WindowCounts {
  record(atMs: number, isGood: boolean, count?: number): void;
  getWindow(atMs: number, name: WindowName): EventCounts;
  /** Returns the counts of the last budget period. */
  getBudget(atMs: number): EventCounts;
  /** Returns the counts of the last six hours. */
  getSeries(atMs: number): EventSeries;
}

interface RingBuffer {
  record(atMs: number, isGood: boolean, count: number): void;
  /** Sums the last `buckets` buckets, the current one included. */
  sum(atMs: number, buckets: number): EventCounts;
  list(atMs: number): EventSeries;
}

function createRingBuffer(widthMs: number, length: number): RingBuffer {
  const good = new Uint32Array(length);
  const bad = new Uint32Array(length);
  let newestIndex = -1;

  function removeBetween(from: number, until: number): void {
    for (let step = Math.max(from, until - length); step < until; step++) {
      good[step % length] = 0;
      bad[step % length] = 0;
    }
  }

  /** Moves the buffer forward to `atMs`, clears the skipped buckets and returns the newest index. */
  function stepTo(atMs: number): number {
    const index = Math.floor(atMs / widthMs);
    if (index > newestIndex) {
      if (newestIndex >= 0) removeBetween(newestIndex + 1, index + 1);
      newestIndex = index;
    }
    return newestIndex;
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

/** Creates counts without events. */
export function createWindowCounts(): WindowCounts {
  const minutes = createRingBuffer(MINUTE_MS, HOUR_MS / MINUTE_MS);
  const steps = createRingBuffer(
    SERIES_STEP_MS,
    WINDOWS_MS["6h"] / SERIES_STEP_MS,
  );
  const budget = createRingBuffer(
    BUDGET_STEP_MS,
    BUDGET_PERIOD_MS / BUDGET_STEP_MS,
  );

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
