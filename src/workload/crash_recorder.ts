/**
 * Records the crashes of runners: which tasks may have caused them, and which
 * long-running tasks have shown that they crash no runner. The record decides
 * whether the job of a suspect is given up.
 */

import type { Clock, Logger } from "../common/mod.ts";
import type { Metrics } from "../report/metrics.ts";
import { findCrashSuspects, hasSurvivedStart } from "./crash_suspects.ts";
import type { Runner } from "./runner_table.ts";
import { formatTask, type TaskRef, type WorkRecord } from "./types.ts";
import { countCrashes, isOpenJob, type WorkState } from "./work_state.ts";

/** Options of the recorder. */
export interface CrashRecorderOptions {
  clock: Clock;
  logger: Logger;
  metrics?: Pick<Metrics, "addCount">;
  state: Pick<WorkState, "getJob" | "getTask">;
  /** Writes records to the log; resolves to false if they were not committed or the leadership has ended. */
  record: (records: readonly WorkRecord[]) => Promise<boolean>;
}

/** Records crashes. */
export interface CrashRecorder {
  /** Records which tasks may have crashed the runner; called before its runs are released. */
  recordCrash(runner: Runner): Promise<void>;
}

/** Creates a recorder. */
export function createCrashRecorder(
  options: CrashRecorderOptions,
): CrashRecorder {
  const { clock, logger, metrics, state } = options;

  function isOpen({ job }: TaskRef): boolean {
    const found = state.getJob(job);
    return found !== undefined && isOpenJob(found);
  }

  function isLongRunning({ job, step }: TaskRef): boolean {
    return state.getJob(job)?.spec.steps[step]?.longRunning === true;
  }

  async function recordCrash(runner: Runner): Promise<void> {
    const { lastReplyMs } = runner;
    const occupants = [...runner.lostOccupants, ...runner.occupants.values()];
    const { tasks, isSingleJob } = findCrashSuspects({
      occupants,
      lastReplyMs,
    });
    const suspects = tasks.filter(isOpen);
    const counts = suspects.map((task) =>
      countCrashes(state.getTask(task)) + 1
    );
    metrics?.addCount("runner_crashes_total");
    logger.warn("Runner crashed", {
      runner: runner.life,
      suspects: suspects
        .map((task, at) => `${formatTask(task)}:${counts[at]}`).join(" "),
      isSingleJob,
      runs: occupants.length,
    });
    const cleared = occupants
      .filter((occupant) =>
        isLongRunning(occupant.task) &&
        countCrashes(state.getTask(occupant.task)) > 0 &&
        hasSurvivedStart(occupant, lastReplyMs)
      )
      .map(({ task }) => task);
    if (suspects.length === 0 && cleared.length === 0) return;
    const atMs = clock.wallTime();
    const { life } = runner;
    await options.record([
      { kind: "crash", life, suspects, cleared, isSingleJob, atMs },
    ]);
    suspects.forEach((task, at) => {
      if (isOpen(task)) return;
      logger.warn("Job given up after crashes", {
        job: task.job,
        task: formatTask(task),
        crashes: counts[at],
      });
    });
  }

  return { recordCrash };
}
