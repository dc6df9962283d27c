/**
 * The metrics of one instance. Durations are kept in histograms of a fixed
 * relative precision and shown as quantiles; the text page is made by
 * `prom-client`, with a registry for each instance rather than its global one.
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

/** The labels of a value. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Options of the metrics. */
export interface MetricsOptions {
  /** Labels of every value, such as the instance and its data centre. */
  readonly labels: MetricLabels;
}

/** The metrics of one instance. */
export interface Metrics {
  /** Raises a counter, by 1 unless `count` says otherwise. */
  addCount(name: MetricName, labels?: MetricLabels, count?: number): void;
  setGauge(name: MetricName, value: number, labels?: MetricLabels): void;
  /** Records a duration in milliseconds. */
  recordDuration(name: MetricName, ms: number, labels?: MetricLabels): void;
  /** Returns the figures of a duration, or nothing before its first value. */
  getDuration(
    name: MetricName,
    labels?: MetricLabels,
  ): DurationSummary | undefined;
  /** Renders the text page. */
  render(): Promise<string>;
  /** Content type of the text page. */
  readonly contentType: string;
}

/**
 * Label sets that one metric keeps. Further ones are counted together, so that
 * names that callers make up cannot use up the memory. 890 workspaces with each of
 * 18 outcomes fit a counter; a histogram takes up to 16 KiB, so 2,000 of them
 * take at most 32 MiB.
 */
export const MAX_LABEL_SETS: Readonly<
  Record<MetricDefinition["kind"], number>
> = Object.freeze({ counter: 20_000, gauge: 20_000, duration: 2_000 });

/** Value of every label of what is counted together. */
export const OTHER_LABEL_VALUE = "(other)";

const PREFIX = "goldcrestlug_";
const QUANTILES = [0.5, 0.9, 0.99, 0.999];

interface Durations {
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
  const durations = new Map<MetricName, Map<string, Durations>>();
  const labelSets = new Map<MetricName, Set<string>>();
  // Pages are made one after the other: each resets the gauges that it fills.
  let lastPage: Promise<unknown> = Promise.resolve();

  function getLabels(
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
    const isKept = sets.has(key) || sets.size < MAX_LABEL_SETS[definition.kind];
    if (isKept) sets.add(key);
    return Object.fromEntries(
      entries.map((
        [label, value],
      ) => [label, isKept ? value : OTHER_LABEL_VALUE]),
    );
  }

  function listDurations(name: MetricName): Durations[] {
    return [...durations.get(name)?.values() ?? []];
  }

  function renderQuantiles(name: MetricName, gauge: Gauge): Promise<void> {
    gauge.reset();
    return runInBatches(listDurations(name), ({ labels, histogram }) => {
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
    return runInBatches(listDurations(name), ({ labels, histogram }) => {
      gauge.set(labels, getTotal(histogram));
    });
  }

  async function renderPage(): Promise<string> {
    const parts: string[] = [];
    for (const { name } of registry.getMetricsAsArray()) {
      parts.push(await registry.getSingleMetricAsString(name));
      await waitForImmediate();
    }
    return `${parts.join("\n\n")}\n`;
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
      counters.get(name)?.inc(getLabels(name, definition, labels), count);
    },
    setGauge(name, value, labels = {}) {
      const definition = getDefinition(name, "gauge");
      gauges.get(name)?.set(getLabels(name, definition, labels), value);
    },
    recordDuration(name, ms, labels = {}) {
      const definition = getDefinition(name, "duration");
      const kept = getLabels(name, definition, labels);
      const byLabels = durations.get(name);
      const key = JSON.stringify(kept);
      const known = byLabels?.get(key);
      const entry = known ??
        { labels: kept, histogram: createDurationHistogram() };
      if (known === undefined) byLabels?.set(key, entry);
      entry.histogram.record(ms);
    },
    getDuration(name, labels = {}) {
      const { labels: names } = getDefinition(name, "duration");
      const wanted = names.map((label) => [label, labels[label] ?? ""]);
      const key = JSON.stringify(Object.fromEntries(wanted));
      return durations.get(name)?.get(key)?.histogram.getSummary();
    },
    render() {
      const page = lastPage.then(renderPage);
      lastPage = page.catch(() => {});
      return page;
    },
    contentType: registry.contentType,
  };
}
