/**
 * Runners that are slow for some time after their start, or after their data centre was
 * evacuated, announce how long that lasts. Warm runners come first. A cold one gets its
 * tasks one after the other, so that the work that waits for the end of an evacuation
 * does not reach it all at once.
 */

import type { Runner } from "./runner_table.ts";

/** Time between two decisions to start tasks on a cold runner, in milliseconds. */
const COLD_START_GAP_MS = 100;

/** Takes over how long a runner remains cold, in milliseconds. */
export function updateColdTime(
  runner: Runner,
  coldMs: number | undefined,
  nowMs: number,
): void {
  runner.coldUntilMs = coldMs === undefined || coldMs <= 0
    ? -Infinity
    : nowMs + coldMs;
}

/** Tells whether a runner is slow as it has just started or was idle for long. */
export function isCold(runner: Runner, nowMs: number): boolean {
  return nowMs < runner.coldUntilMs;
}

/** Tells whether a cold runner has to wait before its next task. */
export function isWarmingUp(runner: Runner, nowMs: number): boolean {
  if (!isCold(runner, nowMs)) return false;
  for (const { plannedMs } of runner.occupants.values()) {
    if (nowMs - plannedMs < COLD_START_GAP_MS) return true;
  }
  return false;
}
