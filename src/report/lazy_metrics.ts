/**
 * Metrics that load their libraries on the first scrape. Until then, counters are
 * summed and the most recent durations are buffered. A process that is never
 * scraped saves the memory and the startup time of the libraries.
 */

import type { MetricName } from "./metric_definitions.ts";
import type { MetricLabels, Metrics, MetricsOptions } from "./metrics.ts";

/** Durations buffered for each metric before the first scrape; enough for a 99th percentile. */
const MAX_BUFFERED_DURATIONS = 2_000;

/** The metrics operations that do not need the libraries yet. */
export type LazyMetrics = Pick<
  Metrics,
  "addCount" | "setGauge" | "recordDuration" | "render"
>;

interface BufferedValue<Value> {
  readonly name: MetricName;
  readonly labels: MetricLabels;
  value: Value;
}

function formatKey(name: MetricName, labels: MetricLabels): string {
  return `${name} ${JSON.stringify(labels)}`;
}

/** Creates lazy metrics; `load` is called at most once, on the first `render`. */
export function createLazyMetrics(
  options: MetricsOptions,
  load: () => Promise<(options: MetricsOptions) => Metrics>,
): LazyMetrics {
  const counts = new Map<string, BufferedValue<number>>();
  const gauges = new Map<string, BufferedValue<number>>();
  const durations = new Map<MetricName, BufferedValue<number>[]>();
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
    for (const buffered of durations.values()) {
      for (const { name, labels, value } of buffered) {
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
      const buffered = counts.get(key);
      if (buffered !== undefined) buffered.value += count;
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
      let buffered = durations.get(name);
      if (buffered === undefined) durations.set(name, buffered = []);
      if (buffered.length >= MAX_BUFFERED_DURATIONS) buffered.shift();
      buffered.push({ name, labels, value: ms });
    },
    async render() {
      loading ??= loadMetrics();
      return await (await loading).render();
    },
  };
}
