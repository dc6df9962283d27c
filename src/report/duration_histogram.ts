/** Histograms of durations that can be sent to another instance and merged there. */

import hdr from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { createFault } from "../common/mod.ts";

/** Figures of a histogram. */
export interface DurationSummary {
  readonly count: number;
  /** In milliseconds, like all of the following. */
  readonly meanMs: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** Counts of durations. */
export interface DurationHistogram {
  /** Adds one duration in milliseconds; below 0 counts as 0, above one day as one day. */
  record(ms: number): void;
  /** Adds the counts of another histogram. */
  add(other: DurationHistogram): void;
  getSummary(): DurationSummary;
  /** Returns the duration in milliseconds below which `percentile` % of the counts lie. */
  getPercentile(percentile: number): number;
  getCount(): number;
  /** Sum of all durations in milliseconds; within the precision of the histogram for decoded parts. */
  getSumMs(): number;
  /** Encodes the counts as compressed base64. */
  encode(): string;
}

const MAX_DURATION_MS = 86_400_000;
const UNITS_PER_MS = 1_000;

// Two significant digits keep a histogram below 16 KiB, which allows a few for
// each of 890 workspaces.
const SIGNIFICANT_DIGITS = 2;

const rawHistograms = new WeakMap<DurationHistogram, Histogram>();

function toDurationHistogram(raw: Histogram): DurationHistogram {
  const getPercentile = (percentile: number) =>
    raw.totalCount === 0
      ? 0
      : raw.getValueAtPercentile(percentile) / UNITS_PER_MS;
  // The mean of the library walks all buckets; with a histogram for each of 890
  // workspaces that held up the process for seconds when the metrics were read.
  // The sum is an integer, so that it does not depend on the order of merging.
  let sum = raw.totalCount === 0 ? 0 : Math.round(raw.mean * raw.totalCount);
  const histogram: DurationHistogram = {
    record(ms) {
      const bounded = Math.min(Math.max(ms, 0), MAX_DURATION_MS);
      const units = Math.round(bounded * UNITS_PER_MS);
      raw.recordValue(units);
      sum += units;
    },
    add(other) {
      const otherRaw = rawHistograms.get(other);
      if (otherRaw === undefined) return;
      raw.add(otherRaw);
      sum += Math.round(other.getSumMs() * UNITS_PER_MS);
    },
    getSummary: () => ({
      count: raw.totalCount,
      meanMs: raw.totalCount === 0 ? 0 : sum / raw.totalCount / UNITS_PER_MS,
      p50Ms: getPercentile(50),
      p99Ms: getPercentile(99),
      maxMs: raw.totalCount === 0 ? 0 : raw.maxValue / UNITS_PER_MS,
    }),
    getPercentile,
    getCount: () => raw.totalCount,
    getSumMs: () => sum / UNITS_PER_MS,
    encode: () => hdr.encodeIntoCompressedBase64(raw),
  };
  rawHistograms.set(histogram, raw);
  return histogram;
}

/** Creates an empty histogram. */
export function createDurationHistogram(): DurationHistogram {
  return toDurationHistogram(hdr.build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 2,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    useWebAssembly: false,
  }));
}

/** Decodes what `encode` gave; fault `badRequest` for anything else. */
export function decodeDurationHistogram(text: string): DurationHistogram {
  try {
    return toDurationHistogram(hdr.decodeFromCompressedBase64(text, 32, false));
  } catch (cause) {
    throw createFault("badRequest", "Cannot decode a histogram", { cause });
  }
}
