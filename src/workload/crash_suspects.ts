/**
 * Decides which runs may have crashed a runner. A task that crashes its runner
 * does so right after its start, so a run that the runner has listed or answered
 * for some time after its start is not to blame.
 */

import type { Occupant, Runner } from "./runner_table.ts";
import type { TaskRef } from "./types.ts";

/** Time after its start from which a run is not to blame for a crash, in milliseconds. */
export const START_CRASH_WINDOW_MS = 500;

/** What is known about a runner that has crashed. */
export interface CrashedRunner {
  /** The runs that were on it. */
  readonly occupants: readonly Occupant[];
  /** Local time of its last reply in milliseconds; undefined for none. */
  readonly lastReplyMs: number | undefined;
}

/** The tasks that may have crashed a runner. */
export interface CrashSuspects {
  readonly tasks: readonly TaskRef[];
  /** True if only runs of one job can have caused the crash. */
  readonly isSingleJob: boolean;
}

/** Tells whether the runner was still up when a crash caused by the run would have happened. */
export function hasSurvivedStart(
  { orderSentMs, isExecuted }: Occupant,
  lastReplyMs: Runner["lastReplyMs"],
): boolean {
  return isExecuted && orderSentMs !== undefined &&
    lastReplyMs !== undefined &&
    orderSentMs < lastReplyMs - START_CRASH_WINDOW_MS;
}

function listCandidates(
  { occupants, lastReplyMs }: CrashedRunner,
): readonly Occupant[] {
  const ordered = occupants.filter(
    ({ orderSentMs, isInherited, isExecuted }) =>
      orderSentMs !== undefined && (!isInherited || isExecuted),
  );
  if (lastReplyMs === undefined) return ordered;
  const recent = ordered.filter(({ orderSentMs }) =>
    orderSentMs !== undefined &&
    orderSentMs >= lastReplyMs - START_CRASH_WINDOW_MS
  );
  // A start without a reply may be executed long after it was sent.
  return recent.length > 0
    ? recent
    : ordered.filter(({ isExecuted }) => !isExecuted);
}

/** Finds the tasks that may have crashed a runner. */
export function findCrashSuspects(runner: CrashedRunner): CrashSuspects {
  const tasks = listCandidates(runner).map(({ task }) => task);
  return {
    tasks,
    isSingleJob: new Set(tasks.map(({ job }) => job)).size === 1,
  };
}
