/**
 * Names of task attempts in the worker protocol. Each attempt has its own opaque
 * identifier, so that a late command for an earlier attempt never affects a
 * later one.
 */

import { createFault } from "../common/mod.ts";
import type { TaskAttempt } from "../scheduling/types.ts";

/** Pattern of a job identifier. It excludes "/", the separator in attempt names. */
export const JOB_ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9:._-]{0,127}$/;

const ATTEMPT_PATTERN = /^([^/]+)\/(\d+)\/(\d+)$/;

/** Formats `job/index/attempt`. */
export function formatAttempt(attempt: TaskAttempt): string {
  return `${attempt.job}/${attempt.index}/${attempt.attempt}`;
}

/** Parses `job/index/attempt`. Throws the fault `badRequest` for any other format. */
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
