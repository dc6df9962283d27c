/**
 * Usage estimates. Reports lag, so an estimate extrapolates a rising trend to the
 * time when a command can take effect. The safety margin is added only if the
 * prediction exceeds the resources committed for the task.
 */

import type { Resources } from "../common/mod.ts";

/** The usage in the last report on a task, and the trend since the previous one. */
export interface UsageSample {
  processors: number;
  memoryMb: number;
  accelerators: number;
  atMs: number;
  /** Change per millisecond. */
  processorsTrend: number;
  memoryTrend: number;
}

// One report interval, plus one for the command and the report that shows its effect.
const PREDICTION_HORIZON_MS = 2_000;

/**
 * Returns the sample for a report of `usage` at `nowMs`. An existing sample is
 * updated in place: 350,000 new objects a second that each outlive a report
 * would put load on the garbage collector.
 */
export function updateUsage(
  previous: UsageSample | undefined,
  usage: Resources,
  nowMs: number,
): UsageSample {
  if (previous === undefined) {
    const { processors, memoryMb, accelerators } = usage;
    return {
      processors,
      memoryMb,
      accelerators,
      atMs: nowMs,
      processorsTrend: 0,
      memoryTrend: 0,
    };
  }
  const elapsedMs = nowMs - previous.atMs;
  if (elapsedMs > 0) {
    previous.processorsTrend = (usage.processors - previous.processors) /
      elapsedMs;
    previous.memoryTrend = (usage.memoryMb - previous.memoryMb) / elapsedMs;
  }
  previous.processors = usage.processors;
  previous.memoryMb = usage.memoryMb;
  previous.accelerators = usage.accelerators;
  previous.atMs = nowMs;
  return previous;
}

function estimateAmount(
  amount: number,
  trend: number,
  declared: number,
  margin: number,
): number {
  const predicted = amount + Math.max(0, trend) * PREDICTION_HORIZON_MS;
  return predicted > declared ? Math.ceil(predicted * (1 + margin)) : predicted;
}

/** Estimates the processors that a task will use when a command sent now takes effect, in thousandths of a core. */
export function estimateProcessors(
  sample: UsageSample,
  declared: Resources,
  margin: number,
): number {
  const { processors, processorsTrend } = sample;
  return estimateAmount(
    processors,
    processorsTrend,
    declared.processors,
    margin,
  );
}

/** Estimates the memory that a task will use when a command sent now takes effect, in mebibytes. */
export function estimateMemory(
  sample: UsageSample,
  declared: Resources,
  margin: number,
): number {
  const { memoryMb, memoryTrend } = sample;
  return estimateAmount(memoryMb, memoryTrend, declared.memoryMb, margin);
}
