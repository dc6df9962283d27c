/**
 * Decides which runs may have crashed a runner. A task that crashes its runner
 * mostly does so right after its start, so a run that the runner has listed or
 * answered for some time after its start is not to blame. Some do so up to two
 * seconds later: runs of that age are suspects apart, of crashes without a common cause.
 */

import type { Occupant, Runner } from "./runner_table.ts";
import type { TaskRef } from "./types.ts";

/** Time after its start from which a run is not to blame for a crash, in milliseconds. */
export const START_CRASH_WINDOW_MS = 500;

/** The same for a task that was near several crashes without a common cause, in milliseconds. */
export const LATE_CRASH_WINDOW_MS = 2_500;

/** What is known about a runner that has crashed. */
export interface CrashedRunner {
  /** The runs that were on it. */
  readonly occupants: readonly Occupant[];
  /** Local time of its last reply in milliseconds; undefined for none. */
  readonly lastReplyMs: number | undefined;
  /** Tells whether other runners went away with it, which has a common cause. Default: not. */
  readonly hasCommonCause?: () => boolean;
}

/** The tasks that may have crashed a runner. */
export interface CrashSuspects {
  readonly tasks: readonly TaskRef[];
  /** True if only runs of one job can have caused the crash. */
  readonly isSingleJob: boolean;
  /** Those that have outlived the usual window, but not by long. */
  readonly late: readonly TaskRef[];
}

/** Tells whether the runner was still up when a crash caused by the run would have happened. */
export function hasSurvivedStart(
  { orderSentMs, isExecuted, crashWindowMs }: Occupant,
  lastReplyMs: Runner["lastReplyMs"],
): boolean {
  return isExecuted && orderSentMs !== undefined &&
    lastReplyMs !== undefined &&
    orderSentMs < lastReplyMs - crashWindowMs;
}

/** Lists the executed runs that have not outlived their start by long, although by the usual window. */
function listLate(
  { occupants, lastReplyMs }: CrashedRunner,
): readonly Occupant[] {
  if (lastReplyMs === undefined) return [];
  return occupants.filter(({ orderSentMs, isExecuted }) =>
    isExecuted && orderSentMs !== undefined &&
    orderSentMs >= lastReplyMs - LATE_CRASH_WINDOW_MS
  );
}

function listCandidates(
  { occupants, lastReplyMs }: CrashedRunner,
): readonly Occupant[] {
  const ordered = occupants.filter(
    ({ orderSentMs, isInherited, isExecuted }) =>
      orderSentMs !== undefined && (!isInherited || isExecuted),
  );
  if (lastReplyMs === undefined) return ordered;
  const recent = ordered.filter(({ orderSentMs, crashWindowMs }) =>
    orderSentMs !== undefined && orderSentMs >= lastReplyMs - crashWindowMs
  );
  // A start without a reply may be executed long after it was sent.
  return recent.length > 0
    ? recent
    : ordered.filter(({ isExecuted }) => !isExecuted);
}

/** Finds the tasks that may have crashed a runner. */
export function findCrashSuspects(runner: CrashedRunner): CrashSuspects {
  const usual = listCandidates(runner);
  const late = listLate(runner).filter((occupant) => !usual.includes(occupant));
  const isCommon = late.length > 0 && runner.hasCommonCause?.() === true;
  const tasks = usual.map(({ task }) => task);
  return {
    tasks,
    isSingleJob: new Set(tasks.map(({ job }) => job)).size === 1,
    late: isCommon ? [] : late.map(({ task }) => task),
  };
}
