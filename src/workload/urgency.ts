/**
 * Orders steps by the apparent tardiness cost rule: the value of a job per unit of
 * remaining work, discounted by the time for which it can still wait. A job loses
 * most of its value at its objective and the rest some time later, so late jobs
 * yield to those that can still be on time, but not forever.
 */

/** The properties of a step that determine its urgency. */
export interface UrgencyInput {
  readonly key: string;
  /** Priority of the queue; 0 is the highest. */
  readonly priority: number;
  /** Wall time until which the job is on time, in milliseconds. */
  readonly dueMs: number;
  /** Wall time after which the job has no value, in milliseconds. */
  readonly zeroValueMs: number;
  /** Estimated time from the start of the step to the end of the job, in milliseconds. */
  readonly remainingMs: number;
  /** Total work of the job in millicore-milliseconds. */
  readonly work: number;
  /** Work of the tasks that have not started, in millicore-milliseconds. */
  readonly remainingWork: number;
  /** True if the workspace has submitted more than its weight allows. */
  readonly isExcess: boolean;
}

/** Share of its value that a late job still has; the users' sheets state a fifth. */
const LATE_VALUE_SHARE = 0.2;

/** Value of a core-second of the most urgent queue relative to others; the users' sheets imply 3.0 to 3.6. */
const URGENT_VALUE_FACTOR = 3.3;

/** Slack that reduces the urgency of a job to about a third, in milliseconds; the mean run time of the longer kinds of jobs. */
const URGENCY_DECAY_MS = 4_000;

/** Share of the estimated remaining time that must fit before the objective; estimates are off by a third. */
const REMAINING_TIME_SHARE = 0.7;

function computeDiscount(slackMs: number): number {
  return Math.exp(-Math.max(0, slackMs) / URGENCY_DECAY_MS);
}

/** Computes the current value of starting a step; only meaningful for comparing steps. */
export function computeUrgency(step: UrgencyInput, wallMs: number): number {
  const density = (step.priority === 0 ? URGENT_VALUE_FACTOR : 1) *
    Math.max(1, step.work) / Math.max(1, step.remainingWork);
  const endMs = wallMs + REMAINING_TIME_SHARE * step.remainingMs;
  const late = LATE_VALUE_SHARE * computeDiscount(step.zeroValueMs - endMs);
  if (endMs > step.dueMs) return density * late;
  const onTime = (1 - LATE_VALUE_SHARE) * computeDiscount(step.dueMs - endMs);
  return density * (onTime + late);
}

/** Returns the tier of a step: 0 within the weight, 1 beyond it, 2 without value. */
export function getTier(
  step: Pick<UrgencyInput, "zeroValueMs" | "isExcess">,
  wallMs: number,
): number {
  if (wallMs > step.zeroValueMs) return 2;
  return step.isExcess ? 1 : 0;
}

/**
 * Sorts steps into tiers: within the workspace's weight, beyond it, and last those
 * whose jobs have no value left. Within a tier the most urgent step comes first.
 */
export function sortSteps<Step extends UrgencyInput>(
  steps: readonly Step[],
  wallMs: number,
): Step[] {
  return steps
    .map((step) => ({
      step,
      tier: getTier(step, wallMs),
      urgency: computeUrgency(step, wallMs),
    }))
    .sort((a, b) =>
      a.tier - b.tier || b.urgency - a.urgency ||
      a.step.dueMs - b.step.dueMs || (a.step.key < b.step.key ? -1 : 1)
    )
    .map(({ step }) => step);
}
