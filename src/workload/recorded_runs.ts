/**
 * Compares the recorded runs with the runners that a leader uses. A new leader restores
 * the runners and their runs from the records, and polls the runners in batches. Later,
 * recorded runs that are on no runner are looked for from time to time.
 */

import { type Clock, type Logger, wait } from "../common/mod.ts";
import type { Closings } from "./closings.ts";
import { RUNNER_CLOCK_MIN_RATE, RUNNER_LEASE_MS } from "./constants.ts";
import type { CrashRecorder } from "./crash_recorder.ts";
import type { FleetRuns, RunView } from "./fleet_runs.ts";
import type { RunnerSessions, Session } from "./runner_sessions.ts";
import { formatRun, recordLease } from "./runner_table.ts";
import { getRunnerId, type RunnerEntry, type TaskRef } from "./types.ts";
import { TASK_STATUS, type WorkState } from "./work_state.ts";

/** Time between two checks of the recorded runs, in milliseconds; longer than recording an end takes. */
const RUN_CHECK_PERIOD_MS = 2_000;

/**
 * Number of first polls that a new leader sends in one turn of the event loop; in a
 * process that has just started they take some 10 ms. Polling all runners at once
 * would delay heartbeats for longer than the election timeout.
 */
const RESTORE_POLL_BATCH = 8;

/** Pause after each batch of first polls, in milliseconds. */
const RESTORE_POLL_INTERVAL_MS = 8;

/** Options of the recorded runs. */
export interface RecordedRunsOptions {
  clock: Clock;
  logger: Logger;
  state: Pick<
    WorkState,
    "listRunners" | "countRunners" | "listOpenTasks" | "listLeftRuns"
  >;
  runnerSessions: RunnerSessions;
  runs: Pick<FleetRuns, "assignRun" | "endRuns">;
  closings: Pick<Closings, "unsettled">;
  crashes: Pick<CrashRecorder, "recordFormerCrash">;
  /** Begins to use an incarnation, whose first poll is sent after `firstPoll`; `leaseEndMs` is the local time at which its lease ends. */
  startSession: (
    entry: RunnerEntry,
    leaseEndMs: number,
    options: { fence: number; firstPoll: Promise<void> },
  ) => Session;
  /** Tells whether orders that were sent by a recorded wall time may still be on their way. */
  isJustRecorded: (atMs: number | undefined) => boolean;
  /** Creates a fencing token that is higher than all earlier ones. */
  createFencingToken: () => number;
  maxLeaseMs: number;
  /** Waits until the messages that have arrived are read. Default: does not wait. */
  waitForTurn?: () => Promise<void>;
}

/** The recorded runs during one leadership. */
export interface RecordedRuns {
  /** Restores the runners and runs from the recorded state; called once. */
  restoreRuns(): void;
  /** Ends recorded runs without a runner; called often, but looks for them only from time to time. */
  checkRecordedRuns(): void;
  /** Ends the watch for the first polls, so that they are not logged any more. */
  stop(): void;
}

/** Creates the comparison of the recorded runs, before they are restored. */
export function createRecordedRuns(options: RecordedRunsOptions): RecordedRuns {
  const { clock, logger, state, crashes, startSession, isJustRecorded } =
    options;
  const { sessions, findSessionById } = options.runnerSessions;
  const { assignRun, endRuns } = options.runs;
  const { unsettled } = options.closings;
  let isStopped = false;

  /** Lists the runs that are recorded as active. */
  function listActiveRuns(): (RunView & { readonly life: string })[] {
    return [...state.listOpenTasks()]
      .filter(([, { status }]) => status === TASK_STATUS.active)
      .map(([task, { run, checkpoint, life }]) => ({
        task,
        run,
        checkpoint,
        life,
      }));
  }

  async function waitForNextBatch(): Promise<void> {
    await wait(clock, RESTORE_POLL_INTERVAL_MS);
    await options.waitForTurn?.();
  }

  function restoreRuns(): void {
    const nowMs = clock.now();
    const leaseEndMs = nowMs + RUNNER_LEASE_MS / RUNNER_CLOCK_MIN_RATE;
    const fence = options.createFencingToken();
    // Timers set in advance would all be due after a busy moment, and the polls
    // would run in one turn of the event loop.
    let firstPoll = Promise.resolve();
    let started = 0;
    for (const entry of state.listRunners()) {
      const { runner } = startSession(entry, leaseEndMs, { fence, firstPoll });
      if (isJustRecorded(entry.returnedMs)) {
        // A late poll for the former incarnation may have granted the longest lease, or
        // may do so until the first poll.
        runner.mayHoldFormerLease = true;
        recordLease(runner, nowMs, options.maxLeaseMs);
      }
      started += 1;
      if (started % RESTORE_POLL_BATCH !== 0) continue;
      firstPoll = firstPoll.then(waitForNextBatch);
    }
    void firstPoll.then(() => {
      if (isStopped) return;
      logger.info("First polls sent", {
        runners: state.countRunners(),
        tookMs: Math.round(clock.now() - nowMs),
      });
    });
    const lost: RunView[] = [];
    const inherited = new Map<string, TaskRef[]>();
    for (const active of listActiveRuns()) {
      const session = sessions.get(active.life) ??
        findSessionById(getRunnerId(active.life));
      if (session === undefined) {
        lost.push(active);
        continue;
      }
      const { runner } = session;
      const { task, run, life } = active;
      const occupant = assignRun(runner, task, run, "running");
      if (occupant !== undefined) {
        occupant.orderSentMs = nowMs;
        occupant.isRestored = true;
        occupant.isInherited = life !== runner.life;
      }
      // A start for the former incarnation may have arrived at this one; its first
      // poll, with the new fencing token, tells.
      if (life === runner.life) continue;
      recordLease(runner, nowMs, options.maxLeaseMs);
      inherited.set(life, [...inherited.get(life) ?? [], task]);
    }
    // The former leader may not have stopped the runs of jobs that have ended. Until its
    // runner was polled, such a run still counts for its workspace.
    for (const { task, run, life } of state.listLeftRuns()) {
      const runner = sessions.get(life)?.runner;
      if (runner !== undefined) assignRun(runner, task, run, "running");
    }
    // The former leader may have recorded the next incarnation, but not the crash.
    for (const [life, tasks] of inherited) {
      void crashes.recordFormerCrash(life, tasks);
    }
    // If neither the incarnation nor a newer one is recorded, it was closed but the
    // end of its runs had not been recorded yet.
    void endRuns(lost, "lost");
  }

  let nextRunCheckMs = 0;
  let unmatchedKeys = new Set<string>();

  /**
   * Tells whether a run is unsettled, was taken over by a newer incarnation of its
   * runner, or has an end that its runner lists until it is recorded.
   */
  function isOnOther(key: string): boolean {
    const isEnding = [...sessions.values()].some(({ unrecordedEnds }) =>
      unrecordedEnds.has(key)
    );
    if (isEnding) return true;
    const runners = [
      ...unsettled,
      ...[...sessions.values()].map(({ runner }) => runner),
    ];
    return runners.some(({ occupants }) => occupants.has(key));
  }

  /**
   * Ends runs that are recorded as active but are on no runner, for example after
   * a record could not be written. Otherwise they would stay active until the
   * next leader change.
   */
  function checkRecordedRuns(): void {
    const nowMs = clock.now();
    if (nowMs < nextRunCheckMs) return;
    nextRunCheckMs = nowMs + RUN_CHECK_PERIOD_MS;
    const found = new Set<string>();
    const lost: RunView[] = [];
    for (const active of listActiveRuns()) {
      const key = formatRun(active.task, active.run);
      const session = sessions.get(active.life);
      if (session?.runner.occupants.has(key) || isOnOther(key)) continue;
      found.add(key);
      if (unmatchedKeys.has(key)) lost.push(active);
    }
    unmatchedKeys = found;
    if (lost.length === 0) return;
    logger.error("Recorded runs without a runner", {
      runs: lost.map(({ task, run }) => formatRun(task, run)),
    });
    void endRuns(lost, "lost");
  }

  return {
    restoreRuns,
    checkRecordedRuns,
    stop() {
      isStopped = true;
    },
  };
}
