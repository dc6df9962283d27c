/**
 * Tracks the runners and their runs during one leadership. Each runner is polled
 * continuously, and the runs that it lists are compared with the recorded ones.
 * An incarnation of a runner is closed when a newer one registers or when it
 * leaves. When its lease ends without contact, its runs count as lost. Each of these
 * parts is a module of its own; this one connects them, and starts a driver for each
 * incarnation.
 */

import { type Clock, type Logger, wait } from "../common/mod.ts";
import type { Metrics } from "../report/metrics.ts";
import type { MeasureTime } from "../report/time_use.ts";
import type { BegunJobs } from "./begun_jobs.ts";
import { createClosings } from "./closings.ts";
import { BUSY_POLL_PAUSE_MS, MAX_ORDER_DELAY_MS } from "./constants.ts";
import { createCrashRecorder } from "./crash_recorder.ts";
import { createFleetRuns, type FleetRuns } from "./fleet_runs.ts";
import { createOpenStarts } from "./open_starts.ts";
import { createPlacedRuns } from "./placed_runs.ts";
import { createPollReplies } from "./poll_replies.ts";
import type { RecordQueue } from "./record_queue.ts";
import { createRecordedRuns } from "./recorded_runs.ts";
import {
  createRunnerAnnouncements,
  type RunnerAnnouncements,
} from "./runner_announcements.ts";
import type { RunnerCalls } from "./runner_calls.ts";
import { createRemovals } from "./removals.ts";
import { startRunnerDriver } from "./runner_driver.ts";
import type { RunnerHealth } from "./runner_health.ts";
import { createRunnerSessions, type Session } from "./runner_sessions.ts";
import { createRunner, type Runner } from "./runner_table.ts";
import type { RunnerEntry, WorkRecord } from "./types.ts";
import { createWithdrawals } from "./withdrawals.ts";
import type { WorkState } from "./work_state.ts";
import type { WorkspaceUsageTracker } from "./workspace_use.ts";

/** Options of the fleet. */
export interface RunnerFleetOptions {
  clock: Clock;
  logger: Logger;
  metrics?: Pick<Metrics, "addCount">;
  state: WorkState;
  workspaces: WorkspaceUsageTracker;
  queue: RecordQueue;
  begunJobs: Pick<BegunJobs, "add">;
  /** Creates the health tracker; `listPool` returns the runners of a pool. */
  createHealth: (listPool: (pool: string) => Runner[]) => RunnerHealth;
  /** Writes records to the log; resolves to false if they were not committed or the leadership has ended. */
  record: (records: readonly WorkRecord[]) => Promise<boolean>;
  calls: RunnerCalls;
  /** Measures the time that handling the replies to polls takes. */
  measure: MeasureTime;
  /** Creates a fencing token that is higher than all earlier ones. */
  createFencingToken: () => number;
  maxLeaseMs: number;
  /** Time for which a start on its way is valid, in milliseconds. Default: as long as its lease. */
  startValidityMs?: number;
  isLeading: () => boolean;
  /** Waits until the messages that have arrived are read. Default: does not wait. */
  waitForTurn?: () => Promise<void>;
  /** Tells whether the leader's process is short of time. */
  isBusy: () => boolean;
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
  const { clock, logger } = options;
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
  const { assignRun, release, isWanted, endRuns, stopRun, stopGang, stopJob } =
    runs;
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
  const { closeIncarnation, closeLeft, checkLeases } = closings;
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
  const recordedRuns = createRecordedRuns({
    ...options,
    runnerSessions,
    runs,
    closings,
    crashes,
    startSession,
    isJustRecorded,
  });

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
        ...(options.startValidityMs === undefined
          ? {}
          : { startValidityMs: options.startValidityMs }),
        isLeading: options.isLeading,
        handlePollReply: (reply, sentAtMs) =>
          options.measure(
            "replies",
            () => pollReplies.handlePollReply(session, reply, sentAtMs),
          ),
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
        waitBeforePoll: () => waitBeforePoll(runner),
      }),
    };
    sessions.set(runner.life, session);
    listPool(entry.pool).push(runner);
    return session;
  }

  function hasUrgentRun({ occupants }: Runner): boolean {
    for (const { task } of occupants.values()) {
      const queue = options.state.getJob(task.job)?.spec.queue ?? "";
      if (options.state.findQueue(queue)?.priority === 0) return true;
    }
    return false;
  }

  /** Lets a busy leader gather the ends of runners whose jobs can wait for them. */
  async function waitBeforePoll(runner: Runner): Promise<void> {
    if (!options.isBusy() || hasUrgentRun(runner)) return;
    await wait(clock, BUSY_POLL_PAUSE_MS);
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
    restore: recordedRuns.restoreRuns,
    checkRuns() {
      checkLeases();
      recordedRuns.checkRecordedRuns();
    },
    stop() {
      recordedRuns.stop();
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
