/**
 * Names of task attempts in the workers' protocol. A worker sees one opaque
 * identifier for each attempt, so that a late command for an earlier attempt
 * can never reach a later one.
 */

import { createFault } from "../common/mod.ts";
import type { TaskAttempt } from "../scheduling/types.ts";

/** What a job identifier consists of; "/" separates the parts of an attempt's name. */
export const JOB_ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9:._-]{0,127}$/;

const ATTEMPT_PATTERN = /^([^/]+)\/(\d+)\/(\d+)$/;

/** Formats `job/index/attempt`. */
export function formatAttempt(attempt: TaskAttempt): string {
  return `${attempt.job}/${attempt.index}/${attempt.attempt}`;
}

/** Parses `job/index/attempt`; fault `badRequest` for anything else. */
export function parseAttempt(name: string): TaskAttempt {
  const match = ATTEMPT_PATTERN.exec(name);
  if (match === null) {
    throw createFault(
      "badRequest",
      `Cannot parse task "${name}": expected job/index/attempt`,
    );
  }
  const [, job = "", index, attempt] = match;
  return { job, index: Number(index), attempt: Number(attempt) };
}
