/**
 * Closes incarnations of runners, and gives up the runs of runners without contact. Such
 * runs end as lost, but those whose start may still arrive are unsettled: the next
 * incarnation could begin them, so they are taken over and stopped when it registers, or
 * end once their start can no longer arrive.
 */

import type { Clock, Logger } from "../common/mod.ts";
import { RUNNER_LEASE_MS } from "./constants.ts";
import type { CrashRecorder } from "./crash_recorder.ts";
import type { FleetRuns, RunView } from "./fleet_runs.ts";
import type { OpenStarts } from "./open_starts.ts";
import type { RunnerCalls } from "./runner_calls.ts";
import type { RunnerSessions, Session } from "./runner_sessions.ts";
import {
  hasOpenStart,
  isInFlight,
  isStartPending,
  type Occupant,
  recordLease,
  type Runner,
} from "./runner_table.ts";
import type { WorkRecord } from "./types.ts";
import type { Withdrawals } from "./withdrawals.ts";

/** Options of the closings. */
export interface ClosingsOptions {
  clock: Clock;
  logger: Logger;
  runnerSessions: RunnerSessions;
  /** The starts without a reply, some of which may arrive at the next incarnation. */
  openStarts: Pick<OpenStarts, "remove" | "removeExpired">;
  runs: FleetRuns;
  crashes: Pick<CrashRecorder, "recordCrash" | "recordLeaseEnd">;
  withdrawals: Pick<Withdrawals, "start">;
  calls: Pick<RunnerCalls, "release">;
  /** Writes records to the log; resolves to false if they were not committed or the leadership has ended. */
  record: (records: readonly WorkRecord[]) => Promise<boolean>;
  maxLeaseMs: number;
}

/** Closings of incarnations during one leadership. */
export interface Closings {
  /** Closed incarnations with runs that the next incarnation may still start. */
  readonly unsettled: ReadonlySet<Runner>;
  /** Local time at which the newest incarnation of a runner id was closed, in milliseconds. */
  readonly closedMs: ReadonlyMap<string, number>;
  /** Takes over the runs that a former incarnation may have left to this one, and stops them. */
  stopUnsettled(session: Session): void;
  /** Closes an incarnation; `mayReturn` tells whether one with the same id may follow. */
  closeIncarnation(
    session: Session,
    reason: string,
    how: { mayReturn: boolean; hasCrashed: boolean; hasAnswered?: boolean },
  ): Promise<void>;
  /** Closes an incarnation that has left; `hasNext` tells whether its next one has answered. */
  closeLeft(session: Session, hasNext?: boolean): Promise<void>;
  /**
   * Gives up the runs of runners whose lease has ended without contact, and those whose
   * start can no longer arrive, and closes draining incarnations that must have left.
   */
  checkLeases(): void;
}

/** Creates closings, before any incarnation is closed. */
export function createClosings(options: ClosingsOptions): Closings {
  const { clock, logger, openStarts, crashes, withdrawals } = options;
  const { sessions, listPool, findSessionById } = options.runnerSessions;
  const { assignRun, removeRun, release, endRuns, stopRun } = options.runs;
  /** Closed incarnations with runs that the next incarnation may still start. */
  const unsettled = new Set<Runner>();
  /** Local time at which the newest incarnation of a runner id was closed, in milliseconds. */
  const closedMs = new Map<string, number>();

  /** Releases all runs of a runner but those that still have to wait, and returns them. */
  function releaseSettled(
    runner: Runner,
    isPending: (occupant: Occupant, nowMs: number) => boolean,
  ): Occupant[] {
    const nowMs = clock.now();
    const settled = [...runner.occupants.values()].filter((occupant) =>
      !isPending(occupant, nowMs)
    );
    for (const occupant of settled) release(runner, occupant);
    return settled;
  }

  /** Stops a run that a start for a former incarnation may begin on this one. */
  function stopFormerRun(
    session: Session,
    { task, run, checkpoint }: RunView,
    sentMs: number | undefined,
  ): void {
    const occupant = assignRun(session.runner, task, run, "running");
    if (occupant === undefined) return;
    occupant.checkpoint = checkpoint;
    occupant.orderSentMs = sentMs;
    occupant.openStartMs = sentMs;
    occupant.isUncertain = true;
    occupant.isInherited = true;
    stopRun(session, occupant);
  }

  /** Takes over the runs that a former incarnation may have left to this one, and stops them. */
  function stopUnsettled(session: Session): void {
    const { runner } = session;
    for (const former of unsettled) {
      if (former.entry.id !== runner.entry.id) continue;
      unsettled.delete(former);
      for (const occupant of [...former.occupants.values()]) {
        removeRun(former, occupant);
        stopFormerRun(session, occupant, occupant.orderSentMs);
      }
      // The lease in such an order is a time on the clock of the former
      // incarnation, so this one may have granted its maximum.
      recordLease(runner, clock.now(), options.maxLeaseMs);
    }
    openStarts.removeExpired(clock.now());
    for (const { task, run, sentMs } of openStarts.remove(runner.entry.id)) {
      stopFormerRun(session, { task, run, checkpoint: "" }, sentMs);
    }
  }

  /**
   * Closes an incarnation. Its runs end as lost, so that their tasks can run
   * elsewhere, except those that the next incarnation may still start.
   */
  async function closeIncarnation(
    session: Session,
    reason: string,
    { mayReturn, hasCrashed, hasAnswered = false }: {
      mayReturn: boolean;
      hasCrashed: boolean;
      /** True if the next incarnation with its id has answered, but is not registered. */
      hasAnswered?: boolean;
    },
  ): Promise<void> {
    const { runner } = session;
    if (runner.isClosed) return;
    runner.isClosed = true;
    // Its runs are still there, and tell what may have caused the crash.
    const crashRecorded = hasCrashed && !runner.entry.isDraining
      ? crashes.recordCrash(runner)
      : undefined;
    session.driver.stop();
    sessions.delete(runner.life);
    closedMs.set(runner.entry.id, clock.now());
    const list = listPool(runner.entry.pool);
    list.splice(list.indexOf(runner), 1);
    options.calls.release(runner.entry.address);
    if (hasAnswered) withdrawals.start(runner.entry);
    const lost = mayReturn
      ? releaseSettled(runner, isStartPending)
      : [...runner.occupants.values()];
    for (const occupant of lost) release(runner, occupant);
    const successor = findSessionById(runner.entry.id);
    logger.info("Runner incarnation closed", {
      runner: runner.life,
      reason,
      runs: lost.length,
      unsettledRuns: runner.occupants.size,
      successor: successor?.runner.life,
    });
    if (runner.occupants.size > 0) unsettled.add(runner);
    if (successor !== undefined) stopUnsettled(successor);
    // Before the ends, so that no task starts again before its crash counts.
    await crashRecorded;
    await Promise.all([
      endRuns(lost, "lost"),
      // While runs are unsettled, the incarnation stays recorded, so that the next
      // leader waits for them as well.
      unsettled.has(runner) ? undefined : recordGone(runner),
    ]);
  }

  /** Closes an incarnation that has left; `hasNext` tells whether its next one has answered. */
  function closeLeft(session: Session, hasNext = false): Promise<void> {
    return closeIncarnation(session, "runner left", {
      mayReturn: true,
      hasCrashed: false,
      hasAnswered: hasNext,
    });
  }

  async function recordGone(runner: Runner): Promise<void> {
    const atMs = clock.wallTime();
    await options.record([{ kind: "runnerGone", life: runner.life, atMs }]);
  }

  /** Ends the runs of a runner without contact whose start can no longer arrive, and returns them. */
  function endSettled(
    runner: Runner,
    isPending: (occupant: Occupant, nowMs: number) => boolean,
  ): Occupant[] {
    const lost = releaseSettled(runner, isPending);
    if (lost.length === 0) return lost;
    logger.info("Starts without a reply have expired", {
      runner: runner.life,
      runs: lost.map(({ key }) => key),
    });
    void endRuns(lost, "lost");
    return lost;
  }

  /** Ends runs without contact to their runner once their start can no longer arrive. */
  function checkUnsettled(): void {
    for (const [id, atMs] of closedMs) {
      if (!isInFlight(atMs, clock.now())) closedMs.delete(id);
    }
    for (const { runner } of sessions.values()) {
      if (!runner.isLost) continue;
      runner.lostOccupants.push(...endSettled(runner, hasOpenStart));
    }
    for (const runner of unsettled) {
      endSettled(runner, isStartPending);
      if (runner.occupants.size > 0) continue;
      unsettled.delete(runner);
      void recordGone(runner);
    }
  }

  /**
   * Handles the end of a lease without contact: the runner has stopped all its runs,
   * but its next incarnation may still start some of them.
   */
  async function handleLeaseEnd(session: Session): Promise<void> {
    const { runner } = session;
    runner.isLost = true;
    const lost = releaseSettled(runner, hasOpenStart);
    runner.lostOccupants = lost;
    logger.warn("Runner lease ended without contact", {
      runner: runner.life,
      runs: lost.length,
      unsettledRuns: runner.occupants.size,
      sinceContactMs: runner.contactMs === undefined
        ? undefined
        : Math.round(clock.now() - runner.contactMs),
    });
    // It may have crashed. Before the ends, as in closeIncarnation.
    if (!runner.entry.isDraining) await crashes.recordLeaseEnd(runner);
    await endRuns(lost, "lost");
  }

  /**
   * Tells whether a draining incarnation has been without contact for so long that it
   * must have left, as its removal did not arrive or a former leader received it. If it
   * was only cut off, it announces itself again.
   */
  function hasLeftUnnoticed({ runner, openedMs }: Session): boolean {
    const nowMs = clock.now();
    const isSilent = runner.isLost ||
      (runner.contactMs === undefined && nowMs > runner.leaseEndMs &&
        nowMs - openedMs > RUNNER_LEASE_MS);
    return runner.entry.isDraining && isSilent;
  }

  function checkLeases(): void {
    const nowMs = clock.now();
    for (const session of [...sessions.values()]) {
      const { runner } = session;
      const hasLeaseEnded = !runner.isLost && nowMs > runner.leaseEndMs &&
        (runner.contactMs !== undefined || runner.occupants.size > 0);
      if (hasLeaseEnded) {
        // Ends that were listed before do not count any more.
        session.unrecordedEnds.clear();
        void handleLeaseEnd(session);
      }
      if (hasLeftUnnoticed(session)) void closeLeft(session);
    }
    checkUnsettled();
  }

  return {
    unsettled,
    closedMs,
    stopUnsettled,
    closeIncarnation,
    closeLeft,
    checkLeases,
  };
}
