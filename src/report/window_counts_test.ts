import fc from "fast-check";
import t from "tap";
import {
  BUDGET_PERIOD_MS,
  createWindowCounts,
  SERIES_STEP_MS,
  WINDOW_NAMES,
  WINDOWS_MS,
} from "./window_counts.ts";
import type { WindowName } from "./window_counts.ts";

const SEED = 20260302;

function getBucketMs(name: WindowName): number {
  return name === "6h" ? 300_000 : 60_000;
}

// Guards against counting a bucket after it has left the window, or losing one inside it.
t.test("a window counts the events of its period", (t) => {
  const event = fc.record({
    afterMs: fc.oneof(
      fc.integer({ min: 0, max: 120_000 }),
      fc.integer({ min: 0, max: 8 * 3_600_000 }),
    ),
    isGood: fc.boolean(),
  });
  const property = fc.property(
    fc.integer({ min: 0, max: 2e12 }),
    fc.array(event, { maxLength: 60 }),
    fc.integer({ min: 0, max: 8 * 3_600_000 }),
    (startMs, events, idleMs) => {
      const counts = createWindowCounts();
      const seen: { atMs: number; isGood: boolean }[] = [];
      let atMs = startMs;
      for (const { afterMs, isGood } of events) {
        atMs += afterMs;
        counts.record(atMs, isGood);
        seen.push({ atMs, isGood });
      }
      const endMs = atMs + idleMs;
      return WINDOW_NAMES.every((name) => {
        const bucketMs = getBucketMs(name);
        const last = Math.floor(endMs / bucketMs);
        const first = last - WINDOWS_MS[name] / bucketMs + 1;
        const inside = seen.filter(({ atMs }) =>
          Math.floor(atMs / bucketMs) >= first
        );
        const good = inside.filter(({ isGood }) => isGood).length;
        const found = counts.getWindow(endMs, name);
        return found.good === good && found.bad === inside.length - good;
      });
    },
  );
  fc.assert(property, { seed: SEED });
  t.comment(`seed ${SEED}`);
  t.end();
});

// Guards against a budget that drops events within its period, or never drops them.
t.test("the budget covers 30 days and the series six hours", (t) => {
  const counts = createWindowCounts();
  const startMs = 1_000 * BUDGET_PERIOD_MS;
  counts.record(startMs, false, 3);
  const dayMs = 86_400_000;
  t.strictSame(counts.getBudget(startMs + 29 * dayMs), { good: 0, bad: 3 });
  t.strictSame(counts.getBudget(startMs + 30 * dayMs), { good: 0, bad: 0 });

  const lateMs = startMs + 60 * dayMs;
  counts.record(lateMs, true);
  counts.record(lateMs + SERIES_STEP_MS, false);
  const series = counts.getSeries(lateMs + SERIES_STEP_MS);
  t.equal(series.good.length, 72);
  t.equal(series.startMs + 71 * SERIES_STEP_MS, lateMs + SERIES_STEP_MS);
  t.strictSame(series.good.slice(-2), [1, 0]);
  t.strictSame(series.bad.slice(-2), [0, 1]);
  t.end();
});
