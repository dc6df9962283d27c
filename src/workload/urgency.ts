/**
 * Which steps come first. Each is weighed by what its job earns for a unit of
 * the work that is left, discounted by the time that it can still wait: the rule
 * of apparent tardiness cost. A job that can be on time loses most of its worth
 * at its objective and the rest some time later, so a late job gives way to those
 * that can still be on time, but not for ever.
 */

/** What the order of a step depends on. */
export interface UrgencyInput {
  readonly key: string;
  /** 0 is served first. */
  readonly priority: number;
  /** Wall time by which the job is on time, in milliseconds. */
  readonly dueMs: number;
  /** Wall time after which the job earns nothing more, in milliseconds. */
  readonly zeroValueMs: number;
  /** Expected time from the start of the step to the job's end, in milliseconds. */
  readonly remainingMs: number;
  /** Work of the job as it was handed in, in thousandths of a core times milliseconds. */
  readonly work: number;
  /** Part of it whose runs have not begun. */
  readonly remainingWork: number;
  /** True when the workspace has handed in more than its weight allows. */
  readonly isExcess: boolean;
}

/** Part of its worth that a job still earns when it is late; the users' sheets state a fifth. */
const LATE_VALUE_SHARE = 0.2;

/** Worth of a core-second of the most urgent queue against others; 3.0 to 3.6 by the users' sheets. */
const URGENT_VALUE_FACTOR = 3.3;

/** Time within which the urgency of a job that can wait falls to a third, in milliseconds; a mean run of the longer kinds. */
const URGENCY_DECAY_MS = 4_000;

/** Part of the expected rest that must fit before the objective; expectations are off by a third. */
const REMAINING_TIME_SHARE = 0.7;

function computeDiscount(slackMs: number): number {
  return Math.exp(-Math.max(0, slackMs) / URGENCY_DECAY_MS);
}

/** Returns what the start of a step is worth now; only its order matters. */
export function computeUrgency(step: UrgencyInput, wallMs: number): number {
  const density = (step.priority === 0 ? URGENT_VALUE_FACTOR : 1) *
    Math.max(1, step.work) / Math.max(1, step.remainingWork);
  const endMs = wallMs + REMAINING_TIME_SHARE * step.remainingMs;
  const late = LATE_VALUE_SHARE * computeDiscount(step.zeroValueMs - endMs);
  if (endMs > step.dueMs) return density * late;
  const onTime = (1 - LATE_VALUE_SHARE) * computeDiscount(step.dueMs - endMs);
  return density * (onTime + late);
}

function getTier(step: UrgencyInput, wallMs: number): number {
  if (wallMs > step.zeroValueMs) return 2;
  return step.isExcess ? 1 : 0;
}

/**
 * Orders steps: those whose jobs still earn something first, then those of
 * workspaces beyond their weight, and among equals the most urgent first.
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
