/**
 * Tells when the leader's process is short of processor time, from how late its
 * timers run. Each start and each poll costs the same time, whatever it earns: a
 * busy leader holds back the steps that can wait, and polls runners without urgent
 * runs less often, so that short jobs get that time. A process that has just become
 * the leader is busy for some seconds, since most of its code runs for the first
 * time.
 */

import type { Clock, Logger } from "../common/mod.ts";
import type { StepSpec } from "./types.ts";
import type { UrgencyInput } from "./urgency.ts";

/** Mean lateness from which the process counts as busy, in milliseconds; several times that of a process with time to spare. */
const BUSY_LATENESS_MS = 30;

/** Mean lateness below which it no longer counts as busy, in milliseconds. */
const SPARE_LATENESS_MS = 12;

/** Weight of one measurement in the mean; a single long garbage collection does not make a process busy. */
const LATENESS_WEIGHT = 0.2;

/** Tasks of patient steps that start in one round of a busy leader, so that none waits for ever. */
const PATIENT_STARTS_WHILE_BUSY = 2;

/** Time that a patient step has left beyond its estimated remaining time, in milliseconds; covers a wait for tickets and room. */
const PATIENT_SLACK_MS = 3_000;

/** Options of the measurement. */
export interface LeaderLoadOptions {
  clock: Pick<Clock, "now">;
  logger: Logger;
}

/** Measures the load of the leader's process. */
export interface LeaderLoad {
  /** Takes the time by which a timer ran late, in milliseconds. */
  recordLateness(lateMs: number): void;
  /** Returns the mean time by which timers ran late, in milliseconds. */
  getLatenessMs(): number;
  /** Tells whether the process is short of time. */
  isBusy(): boolean;
  /** Returns how many tasks of patient steps may start in the next round. */
  getPatientStarts(): number;
}

/**
 * Tells whether a step can wait: its job would still be on time, or has no value
 * left, and its tasks need not start together. Long-running ones are missed by their
 * users at once.
 */
export function isPatient(
  step:
    & Pick<
      UrgencyInput,
      "priority" | "dueMs" | "zeroValueMs" | "remainingMs"
    >
    & {
      readonly spec: Pick<StepSpec, "gang" | "longRunning">;
    },
  wallMs: number,
): boolean {
  const { priority, spec, dueMs, zeroValueMs, remainingMs } = step;
  if (spec.gang || spec.longRunning) return false;
  if (wallMs > zeroValueMs) return true;
  return priority > 0 && dueMs - wallMs - remainingMs > PATIENT_SLACK_MS;
}

/** Creates the measurement of a process that is not busy. */
export function createLeaderLoad(options: LeaderLoadOptions): LeaderLoad {
  const { clock, logger } = options;
  let meanMs = 0;
  let busySinceMs: number | undefined;

  return {
    recordLateness(lateMs) {
      meanMs += LATENESS_WEIGHT * (Math.max(0, lateMs) - meanMs);
      if (busySinceMs === undefined && meanMs > BUSY_LATENESS_MS) {
        busySinceMs = clock.now();
        logger.info("Leader is busy; patient steps wait", {
          latenessMs: Math.round(meanMs),
        });
      } else if (busySinceMs !== undefined && meanMs < SPARE_LATENESS_MS) {
        logger.info("Leader is no longer busy", {
          busyMs: Math.round(clock.now() - busySinceMs),
        });
        busySinceMs = undefined;
      }
    },
    getLatenessMs: () => meanMs,
    isBusy: () => busySinceMs !== undefined,
    getPatientStarts: () =>
      busySinceMs === undefined ? Infinity : PATIENT_STARTS_WHILE_BUSY,
  };
}
