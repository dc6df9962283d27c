/**
 * Limits on the size of one job. Each member keeps a state for every task of an open
 * job, and a job that is recorded is taken over by each next leader, so one that is
 * too large is refused before it is recorded. Overdue occurrences are not refused:
 * those beyond the limit open as earlier ones start.
 */

import { createFault } from "../common/mod.ts";
import type { JobBody } from "./types.ts";

/** The limits of one job. */
export interface JobLimits {
  /** Length of the submitted text in bytes. */
  readonly maxBytes: number;
  readonly maxSteps: number;
  /** Tasks in all steps and occurrences. */
  readonly maxTasks: number;
  /** Occurrences that are open at once. */
  readonly maxOpenOccurrences: number;
}

export const DEFAULT_JOB_LIMITS: JobLimits = Object.freeze({
  maxBytes: 262_144,
  maxSteps: 1_000,
  maxTasks: 100_000,
  maxOpenOccurrences: 64,
});

function checkLimit(
  name: keyof JobLimits,
  limits: JobLimits,
  count: number,
  unit: string,
): void {
  if (count <= limits[name]) return;
  throw createFault(
    "badRequest",
    `Cannot accept a job of ${count} ${unit}: the limit "${name}" is ${
      limits[name]
    }`,
  );
}

/** Throws "badRequest" with the name of the limit that a job exceeds. */
export function checkJobLimits(
  { steps, repetitions }: Pick<JobBody, "steps" | "repetitions">,
  limits: JobLimits,
): void {
  checkLimit("maxSteps", limits, steps.length, "steps");
  const tasks = Math.max(1, repetitions) *
    steps.reduce((sum, step) => sum + step.tasks, 0);
  checkLimit("maxTasks", limits, tasks, "tasks");
}
