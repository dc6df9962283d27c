/** Duration histograms that can be encoded, sent to another instance and merged there. */

import hdr from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { createFault } from "../common/mod.ts";

/** Summary statistics of a histogram. */
export interface DurationSummary {
  readonly count: number;
  /** In milliseconds, like the fields below. */
  readonly meanMs: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** A histogram of durations. */
export interface DurationHistogram {
  /** Records one duration in milliseconds, clamped to the range from 0 to one day. */
  record(ms: number): void;
  /** Adds the counts of another histogram. */
  add(other: DurationHistogram): void;
  getSummary(): DurationSummary;
  /** Returns a percentile (0 to 100) in milliseconds; 0 if the histogram is empty. */
  getPercentile(percentile: number): number;
  getCount(): number;
  /** Returns the sum of all durations in milliseconds; approximate for decoded histograms. */
  getSumMs(): number;
  /** Encodes the counts as compressed base64. */
  encode(): string;
}

const MAX_DURATION_MS = 86_400_000;
const MICROSECONDS_PER_MS = 1_000;

// Two significant digits keep a histogram below 16 KiB, which allows a few for
// each of 890 workspaces.
const SIGNIFICANT_DIGITS = 2;

const rawHistograms = new WeakMap<DurationHistogram, Histogram>();

function toDurationHistogram(raw: Histogram): DurationHistogram {
  const getPercentile = (percentile: number) =>
    raw.totalCount === 0
      ? 0
      : raw.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  // Tracked here because the mean of the library iterates over all buckets. With
  // histograms for 890 workspaces, reading the metrics blocked the process for
  // seconds. The sum is an integer so that the order of merging does not change it.
  let sumMicroseconds = raw.totalCount === 0
    ? 0
    : Math.round(raw.mean * raw.totalCount);
  const histogram: DurationHistogram = {
    record(ms) {
      const bounded = Math.min(Math.max(ms, 0), MAX_DURATION_MS);
      const microseconds = Math.round(bounded * MICROSECONDS_PER_MS);
      raw.recordValue(microseconds);
      sumMicroseconds += microseconds;
    },
    add(other) {
      const otherRaw = rawHistograms.get(other);
      if (otherRaw === undefined) return;
      raw.add(otherRaw);
      sumMicroseconds += Math.round(other.getSumMs() * MICROSECONDS_PER_MS);
    },
    getSummary: () => ({
      count: raw.totalCount,
      meanMs: raw.totalCount === 0
        ? 0
        : sumMicroseconds / raw.totalCount / MICROSECONDS_PER_MS,
      p50Ms: getPercentile(50),
      p99Ms: getPercentile(99),
      maxMs: raw.totalCount === 0 ? 0 : raw.maxValue / MICROSECONDS_PER_MS,
    }),
    getPercentile,
    getCount: () => raw.totalCount,
    getSumMs: () => sumMicroseconds / MICROSECONDS_PER_MS,
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

/** Decodes the output of `encode`. Fault `badRequest` if the text is invalid. */
export function decodeDurationHistogram(text: string): DurationHistogram {
  try {
    return toDurationHistogram(hdr.decodeFromCompressedBase64(text, 32, false));
  } catch (cause) {
    throw createFault("badRequest", "Cannot decode histogram", { cause });
  }
}
