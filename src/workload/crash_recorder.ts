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
  /**
   * Records that an incarnation with these runs has crashed under a former leader. What
   * else ran on it and when is not known, so they are all suspects.
   */
  recordFormerCrash(life: string, suspects: readonly TaskRef[]): Promise<void>;
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

  async function writeCrash(
    crash: Omit<WorkRecord & { kind: "crash" }, "kind" | "atMs">,
  ): Promise<void> {
    await options.record([
      { kind: "crash", ...crash, atMs: clock.wallTime() },
    ]);
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
    await writeCrash({ life: runner.life, suspects, cleared, isSingleJob });
    suspects.forEach((task, at) => {
      if (isOpen(task)) return;
      logger.warn("Job given up after crashes", {
        job: task.job,
        task: formatTask(task),
        crashes: counts[at],
      });
    });
  }

  return {
    recordCrash,
    async recordFormerCrash(life, suspects) {
      logger.warn("Runner crashed under a former leader", {
        runner: life,
        suspects: suspects.map(formatTask).join(" "),
      });
      await writeCrash({ life, suspects, cleared: [], isSingleJob: false });
    },
  };
}
