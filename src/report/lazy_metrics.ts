/**
 * Metrics that load their libraries with the first page. Until then counts are
 * summed and the newest durations are kept, so that a process that nobody looks
 * at saves the memory and the start-up time of the libraries.
 */

import type { MetricName } from "./metric_definitions.ts";
import type { MetricLabels, Metrics, MetricsOptions } from "./metrics.ts";

/** Durations that are kept for each metric before the first page; enough for a 99th percentile. */
const MAX_KEPT_DURATIONS = 2_000;

/** The part of the metrics that can wait for its libraries. */
export type LazyMetrics = Pick<
  Metrics,
  "addCount" | "setGauge" | "recordDuration" | "render"
>;

interface Kept<Value> {
  readonly name: MetricName;
  readonly labels: MetricLabels;
  value: Value;
}

function formatKey(name: MetricName, labels: MetricLabels): string {
  return `${name} ${JSON.stringify(labels)}`;
}

/** Creates the metrics; `load` is called at most once. */
export function createLazyMetrics(
  options: MetricsOptions,
  load: () => Promise<(options: MetricsOptions) => Metrics>,
): LazyMetrics {
  const counts = new Map<string, Kept<number>>();
  const gauges = new Map<string, Kept<number>>();
  const durations = new Map<MetricName, Kept<number>[]>();
  let metrics: Metrics | undefined;
  let loading: Promise<Metrics> | undefined;

  async function loadMetrics(): Promise<Metrics> {
    const created = (await load())(options);
    for (const { name, labels, value } of counts.values()) {
      created.addCount(name, labels, value);
    }
    for (const { name, labels, value } of gauges.values()) {
      created.setGauge(name, value, labels);
    }
    for (const kept of durations.values()) {
      for (const { name, labels, value } of kept) {
        created.recordDuration(name, value, labels);
      }
    }
    counts.clear();
    gauges.clear();
    durations.clear();
    metrics = created;
    return created;
  }

  return {
    addCount(name, labels = {}, count = 1) {
      if (metrics !== undefined) return metrics.addCount(name, labels, count);
      const key = formatKey(name, labels);
      const kept = counts.get(key);
      if (kept !== undefined) kept.value += count;
      else counts.set(key, { name, labels, value: count });
    },
    setGauge(name, value, labels = {}) {
      if (metrics !== undefined) return metrics.setGauge(name, value, labels);
      gauges.set(formatKey(name, labels), { name, labels, value });
    },
    recordDuration(name, ms, labels = {}) {
      if (metrics !== undefined) {
        return metrics.recordDuration(name, ms, labels);
      }
      let kept = durations.get(name);
      if (kept === undefined) durations.set(name, kept = []);
      if (kept.length >= MAX_KEPT_DURATIONS) kept.shift();
      kept.push({ name, labels, value: ms });
    },
    async render() {
      loading ??= loadMetrics();
      return await (await loading).render();
    },
  };
}
