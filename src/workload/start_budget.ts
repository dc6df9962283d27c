/**
 * Limits the starts of one planning round. The orders of a round are sent in one
 * turn of the event loop, in which the leader renews no lease and answers nobody, so
 * a wide step is started over several rounds. A busy leader also holds back the
 * steps that can wait.
 */

import { isPatient } from "./leader_load.ts";
import type { OpenStep, WaitReason } from "./plan_types.ts";

/** Starts in one round, except those of a gang, which start together. */
export const MAX_STARTS_PER_ROUND = 128;

/** Options of a budget. */
export interface StartBudgetOptions {
  readonly wallMs: number;
  /** Tasks of steps that can wait which may start. Default: any number. */
  readonly patientStarts?: number | undefined;
}

/** What is left of a step for a round. */
export type StartShare =
  | { readonly step: OpenStep }
  | { readonly reason: WaitReason };

/** The starts that are left in a round. */
export interface StartBudget {
  /** Returns the step with as many of its waiting tasks as may start, or why none may. */
  getShare(step: OpenStep): StartShare;
  /** Takes the starts of a step. */
  subtract(step: OpenStep, starts: number): void;
}

/** Creates the budget of one round. */
export function createStartBudget(options: StartBudgetOptions): StartBudget {
  const { wallMs } = options;
  let left = MAX_STARTS_PER_ROUND;
  let patientLeft = options.patientStarts ?? Infinity;

  return {
    getShare(step) {
      if (step.spec.gang) return { step };
      const isHeldBack = patientLeft !== Infinity && isPatient(step, wallMs);
      if (isHeldBack && patientLeft <= 0) return { reason: "leaderBusy" };
      if (left <= 0) return { reason: "nextRound" };
      const count = isHeldBack ? Math.min(left, patientLeft) : left;
      if (step.waiting.length <= count) return { step };
      return { step: { ...step, waiting: step.waiting.slice(0, count) } };
    },
    subtract(step, starts) {
      left -= starts;
      if (isPatient(step, wallMs)) patientLeft -= starts;
    },
  };
}
