/**
 * Tracks the runners and their runs during one leadership. Each runner is polled
 * continuously, and the runs that it lists are compared with the recorded ones.
 * An incarnation of a runner is closed when a newer one registers or when it
 * leaves. When its lease ends without contact, its runs count as lost.
 */

import { type Clock, type Logger, wait } from "../common/mod.ts";
import type { Metrics } from "../report/metrics.ts";
import {
  MAX_ORDER_DELAY_MS,
  RUNNER_CLOCK_MIN_RATE,
  RUNNER_LEASE_MS,
} from "./constants.ts";
import { createClosings } from "./closings.ts";
import { createCrashRecorder } from "./crash_recorder.ts";
import { createFleetRuns, type FleetRuns, type RunView } from "./fleet_runs.ts";
import { createOpenStarts } from "./open_starts.ts";
import { createPlacedRuns } from "./placed_runs.ts";
import { createPollReplies } from "./poll_replies.ts";
import type { RecordQueue } from "./record_queue.ts";
import {
  createRunnerAnnouncements,
  type RunnerAnnouncements,
} from "./runner_announcements.ts";
import type { RunnerCalls } from "./runner_calls.ts";
import { createRemovals } from "./removals.ts";
import { startRunnerDriver } from "./runner_driver.ts";
import type { RunnerHealth } from "./runner_health.ts";
import { createRunnerSessions, type Session } from "./runner_sessions.ts";
import {
  createRunner,
  formatRun,
  recordLease,
  type Runner,
} from "./runner_table.ts";
import {
  getRunnerId,
  type RunnerEntry,
  type TaskRef,
  type WorkRecord,
} from "./types.ts";
import { createWithdrawals } from "./withdrawals.ts";
import { TASK_STATUS, type WorkState } from "./work_state.ts";
import type { WorkspaceUsageTracker } from "./workspace_use.ts";

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

/** Options of the fleet. */
export interface RunnerFleetOptions {
  clock: Clock;
  logger: Logger;
  metrics?: Pick<Metrics, "addCount">;
  state: WorkState;
  workspaces: WorkspaceUsageTracker;
  queue: RecordQueue;
  /** Creates the health tracker; `listPool` returns the runners of a pool. */
  createHealth: (listPool: (pool: string) => Runner[]) => RunnerHealth;
  /** Writes records to the log; resolves to false if they were not committed or the leadership has ended. */
  record: (records: readonly WorkRecord[]) => Promise<boolean>;
  calls: RunnerCalls;
  /** Creates a fencing token that is higher than all earlier ones. */
  createFencingToken: () => number;
  maxLeaseMs: number;
  isLeading: () => boolean;
  /** Waits until the messages that have arrived are read. Default: does not wait. */
  waitForTurn?: () => Promise<void>;
  handleStaleFence: () => void;
  /** Called when free capacity or waiting tasks may have changed. */
  handleChange: () => void;
}

/** The runners of one leadership. */
export interface RunnerFleet extends
  Pick<
    FleetRuns,
    | "assignRun"
    | "release"
    | "isWanted"
    | "endRuns"
    | "stopRun"
    | "stopGang"
    | "stopJob"
  >,
  Pick<RunnerAnnouncements, "announceRunner" | "applyRunner"> {
  readonly runnersByPool: ReadonlyMap<string, readonly Runner[]>;
  readonly health: RunnerHealth;
  getSession(life: string): Session | undefined;
  removeRunner(id: string): Promise<void>;
  /** Restores the runners and runs from the recorded state; called once. */
  restore(): void;
  /** Ends the runs of runners whose lease has ended without contact, and recorded runs without a runner. */
  checkRuns(): void;
  stop(): void;
}

/** Creates a fleet without runners. */
export function createRunnerFleet(options: RunnerFleetOptions): RunnerFleet {
  const { clock, logger, state } = options;
  const runnerSessions = createRunnerSessions();
  const { sessions, runnersByPool, listPool, findSessionById } = runnerSessions;
  const openStarts = createOpenStarts();
  const placedRuns = createPlacedRuns();
  const runs = createFleetRuns({
    ...options,
    sessions,
    openStarts,
    placedRuns,
  });
  const {
    assignRun,
    release,
    isWanted,
    endRuns,
    stopRun,
    stopGang,
    stopJob,
  } = runs;
  const health = options.createHealth(listPool);
  const crashes = createCrashRecorder({
    ...options,
    listRunners: () => [...sessions.values()].map(({ runner }) => runner),
  });
  const withdrawals = createWithdrawals({
    ...options,
    findRunner: (id) => findSessionById(id)?.runner,
  });
  const closings = createClosings({
    ...options,
    runnerSessions,
    openStarts,
    runs,
    crashes,
    withdrawals,
  });
  const {
    unsettled,
    closeIncarnation,
    closeLeft,
    checkLeases,
  } = closings;
  const removals = createRemovals<Session>({ ...options, close: closeLeft });
  const pollReplies = createPollReplies({
    ...options,
    placedRuns,
    runs,
    health,
    crashes,
  });
  const announcements = createRunnerAnnouncements({
    ...options,
    runnerSessions,
    withdrawals,
    closings,
    startSession,
    isJustRecorded,
  });
  let isStopped = false;

  function startSession(
    entry: RunnerEntry,
    leaseEndMs: number,
    { fence, firstPoll }: { fence: number; firstPoll?: Promise<void> },
  ): Session {
    const runner = createRunner(entry, leaseEndMs);
    const session: Session = {
      runner,
      fence,
      openedMs: clock.now(),
      unrecordedEnds: new Set(),
      driver: startRunnerDriver({
        runner,
        calls: options.calls,
        clock,
        logger,
        fence,
        updateFence: () => session.fence = options.createFencingToken(),
        maxLeaseMs: options.maxLeaseMs,
        isLeading: options.isLeading,
        handlePollReply: (reply, sentAtMs) =>
          pollReplies.handlePollReply(session, reply, sentAtMs),
        handleOtherIncarnation: (hasSameId) =>
          void closeIncarnation(
            session,
            "another incarnation answered",
            {
              mayReturn: hasSameId,
              hasCrashed: true,
              hasAnswered: hasSameId,
            },
          ),
        handleStaleFence: options.handleStaleFence,
        firstPoll,
      }),
    };
    sessions.set(runner.life, session);
    listPool(entry.pool).push(runner);
    return session;
  }

  /**
   * Tells whether orders that were sent by a recorded wall time may still be on their
   * way. The time is of another instance, whose clock may be ahead.
   */
  function isJustRecorded(atMs: number | undefined): boolean {
    return atMs !== undefined &&
      Math.abs(clock.wallTime() - atMs) < MAX_ORDER_DELAY_MS;
  }

  async function removeRunner(id: string): Promise<void> {
    const session = findSessionById(id);
    // A delayed removal of an earlier incarnation must not close the current one.
    if (session?.runner.entry.isDraining === true) {
      await removals.remove(session);
    }
  }

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
    runnersByPool,
    health,
    getSession: (life) => sessions.get(life),
    assignRun,
    release,
    isWanted,
    endRuns,
    stopRun,
    stopGang,
    stopJob,
    announceRunner: announcements.announceRunner,
    applyRunner: announcements.applyRunner,
    removeRunner,
    restore: restoreRuns,
    checkRuns() {
      checkLeases();
      checkRecordedRuns();
    },
    stop() {
      isStopped = true;
      pollReplies.stop();
      announcements.stop();
      withdrawals.stop();
      removals.stop();
      for (const session of sessions.values()) {
        session.driver.stop();
        options.calls.releaseOwn(session.runner.entry.address);
      }
    },
  };
}
