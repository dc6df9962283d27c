/**
 * Records the crashes of runners: which tasks may have caused them, and which
 * long-running tasks have shown that they crash no runner. The record decides
 * whether the job of a suspect is given up.
 */

import type { Clock, Logger } from "../common/mod.ts";
import type { Metrics } from "../report/metrics.ts";
import { createCommonCauses } from "./common_causes.ts";
import {
  findCrashSuspects,
  hasSurvivedStart,
  LATE_CRASH_WINDOW_MS,
  START_CRASH_WINDOW_MS,
} from "./crash_suspects.ts";
import type { Runner } from "./runner_table.ts";
import { formatTask, type TaskRef, type WorkRecord } from "./types.ts";
import {
  countCrashes,
  isLateSuspect,
  isOpenJob,
  type TaskState,
  type WorkState,
} from "./work_state.ts";

/**
 * Time from the last reply of a crashed runner to the next start of a long-running task
 * that has crashed several, in milliseconds. The platform states 6 s, and 3 s for starting.
 */
const RESTART_PAUSE_MS = 5_000;

/** Options of the recorder. */
export interface CrashRecorderOptions {
  clock: Clock;
  logger: Logger;
  metrics?: Pick<Metrics, "addCount">;
  state: Pick<WorkState, "getJob" | "getTask" | "listOpenTasks">;
  /** Returns the runners of this leadership that are not closed. */
  listRunners: () => readonly Runner[];
  /** Writes records to the log; resolves to false if they were not committed or the leadership has ended. */
  record: (records: readonly WorkRecord[]) => Promise<boolean>;
}

/** Records crashes. */
export interface CrashRecorder {
  /** Records which tasks may have crashed the runner; called before its runs are released. */
  recordCrash(runner: Runner): Promise<void>;
  /**
   * Records the same for a runner whose lease has ended without contact, so that it may
   * have crashed; called before its runs end.
   */
  recordLeaseEnd(runner: Runner): Promise<void>;
  /** Takes back a crash that was recorded of a runner that replies. */
  recordReply(runner: Runner): Promise<void>;
  /**
   * Records that an incarnation with these runs has crashed under a former leader. What
   * else ran on it and when is not known, so they are all suspects.
   */
  recordFormerCrash(life: string, suspects: readonly TaskRef[]): Promise<void>;
}

/** Returns the time after its start in which a task may crash its runner, in milliseconds. */
export function getCrashWindow(task: TaskState | undefined): number {
  return isLateSuspect(task) ? LATE_CRASH_WINDOW_MS : START_CRASH_WINDOW_MS;
}

/** Creates a recorder. */
export function createCrashRecorder(
  options: CrashRecorderOptions,
): CrashRecorder {
  const { clock, logger, metrics, state } = options;
  const commonCauses = createCommonCauses(options);
  /** Tasks suspected of crashes that may turn out not to have happened, by incarnation; undefined until they are read from the state. */
  let blamed: Map<string, readonly TaskRef[]> | undefined;

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

  /** Lists the tasks that the state suspects of crashes, by incarnation. */
  function listBlamed(): Map<string, TaskRef[]> {
    const found = new Map<string, TaskRef[]>();
    for (const [task, recorded] of state.listOpenTasks()) {
      const { crashedLives = [], lateLives = [] } = recorded;
      for (const life of [...crashedLives, ...lateLives]) {
        found.set(life, [...found.get(life) ?? [], task]);
      }
    }
    return found;
  }

  function getBlamed(): Map<string, readonly TaskRef[]> {
    return blamed ??= listBlamed();
  }

  async function recordSuspects(
    runner: Runner,
    { isConfirmed }: { isConfirmed: boolean },
  ): Promise<void> {
    const { life, lastReplyMs } = runner;
    const nowMs = clock.now();
    commonCauses.removeExpired(nowMs);
    const blamedBefore = getBlamed().get(life);
    const occupants = [...runner.lostOccupants, ...runner.occupants.values()];
    const found = findCrashSuspects({
      occupants,
      lastReplyMs,
      hasCommonCause: () => commonCauses.hasCommonCause(runner, occupants),
    });
    // A crash that was recorded when the lease ended counts since.
    const isKnown = isConfirmed && blamedBefore !== undefined;
    const suspects = isKnown ? [] : found.tasks.filter(isOpen);
    const lateSuspects = isKnown ? [] : found.late.filter(isOpen);
    if (isConfirmed) {
      const { pool } = runner.entry;
      commonCauses.add({ life, pool, atMs: nowMs, lastReplyMs, occupants });
    }
    // A job that is given up stays so, also if the runner was only cut off.
    const isSingleJob = isConfirmed && found.isSingleJob;
    const counts = suspects.map((task) =>
      countCrashes(state.getTask(task)) + 1
    );
    logger.warn(isConfirmed ? "Runner crashed" : "Runner may have crashed", {
      runner: life,
      suspects: suspects
        .map((task, at) => `${formatTask(task)}:${counts[at]}`).join(" "),
      lateSuspects: lateSuspects.map(formatTask).join(" "),
      isSingleJob,
      runs: occupants.length,
    });
    const cleared = !isConfirmed ? [] : occupants
      .filter((occupant) =>
        isLongRunning(occupant.task) &&
        countCrashes(state.getTask(occupant.task)) > 0 &&
        hasSurvivedStart(occupant, lastReplyMs)
      )
      .map(({ task }) => task);
    const isEmpty = suspects.length === 0 && cleared.length === 0 &&
      lateSuspects.length === 0;
    if (isEmpty) return;
    if (!isConfirmed) {
      getBlamed().set(life, [
        ...blamedBefore ?? [],
        ...suspects,
        ...lateSuspects,
      ]);
    }
    const restartMs = clock.wallTime() + RESTART_PAUSE_MS - nowMs +
      (lastReplyMs ?? nowMs);
    await writeCrash({
      life,
      suspects,
      cleared,
      isSingleJob,
      ...(lateSuspects.length > 0 ? { lateSuspects } : {}),
      ...(suspects.some(isLongRunning) ? { restartMs } : {}),
    });
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
    async recordCrash(runner) {
      metrics?.addCount("runner_crashes_total");
      const recorded = recordSuspects(runner, { isConfirmed: true });
      getBlamed().delete(runner.life);
      await recorded;
    },
    recordLeaseEnd: (runner) => recordSuspects(runner, { isConfirmed: false }),
    async recordReply({ life }) {
      const withdrawn = getBlamed().get(life);
      if (withdrawn === undefined) return;
      getBlamed().delete(life);
      logger.info("Runner has not crashed", {
        runner: life,
        suspects: withdrawn.map(formatTask).join(" "),
      });
      await writeCrash({
        life,
        suspects: [],
        cleared: [],
        withdrawn,
        isSingleJob: false,
      });
    },
    async recordFormerCrash(life, suspects) {
      logger.warn("Runner crashed under a former leader", {
        runner: life,
        suspects: suspects.map(formatTask).join(" "),
      });
      await writeCrash({ life, suspects, cleared: [], isSingleJob: false });
    },
  };
}
