/**
 * Metrics of one instance in the Prometheus text format. Durations are recorded in
 * histograms of fixed relative precision and exposed as quantiles. Each instance
 * has its own `prom-client` registry, because several may run in one process.
 */

import { Counter, Gauge, Registry } from "prom-client";
import { createFault } from "../common/mod.ts";
import { createDurationHistogram } from "./duration_histogram.ts";
import type {
  DurationHistogram,
  DurationSummary,
} from "./duration_histogram.ts";
import { METRIC_DEFINITIONS } from "./metric_definitions.ts";
import type { MetricDefinition, MetricName } from "./metric_definitions.ts";
import { runInBatches, waitForImmediate } from "./event_loop.ts";

/** Labels of a metric value. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Options of the metrics. */
export interface MetricsOptions {
  /** Labels added to every value, such as the instance and its data centre. */
  readonly labels: MetricLabels;
}

/** The metrics of one instance. */
export interface Metrics {
  /** Increments a counter by `count`; default: 1. */
  addCount(name: MetricName, labels?: MetricLabels, count?: number): void;
  setGauge(name: MetricName, value: number, labels?: MetricLabels): void;
  /** Records a duration in milliseconds. */
  recordDuration(name: MetricName, ms: number, labels?: MetricLabels): void;
  /** Returns the statistics of a duration; undefined before its first value. */
  getDuration(
    name: MetricName,
    labels?: MetricLabels,
  ): DurationSummary | undefined;
  /** Renders all metrics in the text format. */
  render(): Promise<string>;
  /** Content type of the rendered text. */
  readonly contentType: string;
}

/**
 * Maximum number of label sets for each metric. Values with further label sets are
 * aggregated, so that label values made up by callers cannot exhaust memory. A
 * counter has room for 890 workspaces with 18 outcomes each. A histogram takes up
 * to 16 KiB, so 2,000 of them take at most 32 MiB.
 */
export const MAX_LABEL_SETS: Readonly<
  Record<MetricDefinition["kind"], number>
> = Object.freeze({ counter: 20_000, gauge: 20_000, duration: 2_000 });

/** Label value of the aggregate of all label sets beyond the maximum. */
export const OTHER_LABEL_VALUE = "(other)";

const PREFIX = "goldcrestlug_";
const QUANTILES = [0.5, 0.9, 0.99, 0.999];

interface DurationSeries {
  readonly labels: MetricLabels;
  readonly histogram: DurationHistogram;
}

function getDefinition(
  name: MetricName,
  kind: MetricDefinition["kind"],
): MetricDefinition {
  const definition: MetricDefinition = METRIC_DEFINITIONS[name];
  if (definition.kind === kind) return definition;
  throw createFault(
    "internal",
    `Cannot use metric "${name}" as a ${kind}: it is a ${definition.kind}`,
  );
}

/** Creates the metrics of one instance. */
export function createMetrics(options: MetricsOptions): Metrics {
  const registry = new Registry();
  registry.setDefaultLabels(options.labels);
  const counters = new Map<MetricName, Counter>();
  const gauges = new Map<MetricName, Gauge>();
  const durations = new Map<MetricName, Map<string, DurationSeries>>();
  const labelSets = new Map<MetricName, Set<string>>();
  // Renders run one at a time, because each resets the gauges and fills them again.
  let lastRender: Promise<unknown> = Promise.resolve();

  function resolveLabels(
    name: MetricName,
    definition: MetricDefinition,
    given: MetricLabels,
  ): MetricLabels {
    const sets = labelSets.get(name) ?? new Set();
    labelSets.set(name, sets);
    const entries = definition.labels.map((label) =>
      [label, given[label] ?? ""] as const
    );
    const key = JSON.stringify(entries);
    const isTracked = sets.has(key) ||
      sets.size < MAX_LABEL_SETS[definition.kind];
    if (isTracked) sets.add(key);
    return Object.fromEntries(
      entries.map((
        [label, value],
      ) => [label, isTracked ? value : OTHER_LABEL_VALUE]),
    );
  }

  function listDurationSeries(name: MetricName): DurationSeries[] {
    return [...durations.get(name)?.values() ?? []];
  }

  function renderQuantiles(name: MetricName, gauge: Gauge): Promise<void> {
    gauge.reset();
    return runInBatches(listDurationSeries(name), ({ labels, histogram }) => {
      for (const quantile of QUANTILES) {
        const value = histogram.getPercentile(quantile * 100);
        gauge.set({ ...labels, quantile: String(quantile) }, value);
      }
    });
  }

  function renderTotals(
    name: MetricName,
    gauge: Gauge,
    getTotal: (histogram: DurationHistogram) => number,
  ): Promise<void> {
    gauge.reset();
    return runInBatches(listDurationSeries(name), ({ labels, histogram }) => {
      gauge.set(labels, getTotal(histogram));
    });
  }

  async function renderMetrics(): Promise<string> {
    const texts: string[] = [];
    for (const { name } of registry.getMetricsAsArray()) {
      texts.push(await registry.getSingleMetricAsString(name));
      await waitForImmediate();
    }
    return `${texts.join("\n\n")}\n`;
  }

  function addMetric(name: MetricName, definition: MetricDefinition): void {
    const labelNames = [...definition.labels];
    const base = { name: PREFIX + name, help: definition.help, labelNames };
    const registers = [registry];
    if (definition.kind === "counter") {
      counters.set(name, new Counter({ ...base, registers }));
      return;
    }
    if (definition.kind === "gauge") {
      gauges.set(name, new Gauge({ ...base, registers }));
      return;
    }
    durations.set(name, new Map());
    new Gauge({
      ...base,
      labelNames: [...labelNames, "quantile"],
      registers,
      collect() {
        return renderQuantiles(name, this);
      },
    });
    new Gauge({
      ...base,
      name: `${base.name}_sum`,
      registers,
      collect() {
        return renderTotals(name, this, (histogram) => histogram.getSumMs());
      },
    });
    new Gauge({
      ...base,
      name: `${base.name}_count`,
      registers,
      collect() {
        return renderTotals(name, this, (histogram) => histogram.getCount());
      },
    });
  }

  for (const [name, definition] of Object.entries(METRIC_DEFINITIONS)) {
    addMetric(name as MetricName, definition);
  }

  return {
    addCount(name, labels = {}, count = 1) {
      const definition = getDefinition(name, "counter");
      counters.get(name)?.inc(resolveLabels(name, definition, labels), count);
    },
    setGauge(name, value, labels = {}) {
      const definition = getDefinition(name, "gauge");
      gauges.get(name)?.set(resolveLabels(name, definition, labels), value);
    },
    recordDuration(name, ms, labels = {}) {
      const definition = getDefinition(name, "duration");
      const resolved = resolveLabels(name, definition, labels);
      const byLabels = durations.get(name);
      const key = JSON.stringify(resolved);
      const existing = byLabels?.get(key);
      const entry = existing ??
        { labels: resolved, histogram: createDurationHistogram() };
      if (existing === undefined) byLabels?.set(key, entry);
      entry.histogram.record(ms);
    },
    getDuration(name, labels = {}) {
      const { labels: names } = getDefinition(name, "duration");
      const wanted = names.map((label) => [label, labels[label] ?? ""]);
      const key = JSON.stringify(Object.fromEntries(wanted));
      return durations.get(name)?.get(key)?.histogram.getSummary();
    },
    render() {
      const rendered = lastRender.then(renderMetrics);
      lastRender = rendered.catch(() => {});
      return rendered;
    },
    contentType: registry.contentType,
  };
}
