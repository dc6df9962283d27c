/**
 * Removes runners that leave. A removal names no incarnation, so it may be a late one of
 * a former incarnation, and a runner that leaves may answer until its removal is
 * acknowledged. So a removed runner is asked first, and watched for some time if it
 * answers.
 */

import { type Clock, type Logger, wait } from "../common/mod.ts";
import {
  MAX_PROBE_PERIOD_MS,
  POLL_TIMEOUT_SLACK_MS,
  RETRY_PAUSE_MS,
} from "./constants.ts";
import { createProbe, type RunnerCalls } from "./runner_calls.ts";
import { isOtherIncarnation, type Runner } from "./runner_table.ts";

/**
 * Time for which a runner that answers after its removal is watched, in milliseconds.
 * It ends once the removal is acknowledged, or some seconds later.
 */
const REMOVAL_WATCH_MS = 5_000;

/** A removed incarnation of a runner. */
export interface RemovedSession {
  readonly runner: Runner;
  /** Fencing token of the orders to this incarnation. */
  readonly fence: number;
}

/** Options of the removals. */
export interface RemovalsOptions<Session extends RemovedSession> {
  clock: Clock;
  logger: Logger;
  calls: Pick<RunnerCalls, "hold">;
  /** Returns whether this process may send orders now. */
  isLeading: () => boolean;
  /** Closes an incarnation that has left; `hasNext` tells whether its next one has answered. */
  close: (session: Session, hasNext: boolean) => Promise<void>;
}

/** Removals of runners. */
export interface Removals<Session extends RemovedSession> {
  /** Removes a draining runner; resolves when it has answered or is closed. */
  remove(session: Session): Promise<void>;
  stop(): void;
}

/** Creates removals, none of which is under way. */
export function createRemovals<Session extends RemovedSession>(
  options: RemovalsOptions<Session>,
): Removals<Session> {
  const { clock, logger } = options;
  /** Local time of the newest removal of each watched incarnation, in milliseconds. */
  const watched = new Map<string, number>();
  let isStopped = false;

  /**
   * Asks which incarnation answers, if any; acknowledges and renews nothing. A "silent"
   * one left the call unanswered, which a slow one does as well.
   */
  async function askIncarnation(
    { runner, fence }: Session,
  ): Promise<"same" | "next" | "none" | "silent"> {
    const { id, address } = runner.entry;
    const sentAtMs = clock.now();
    try {
      const reply = await options.calls.hold(
        { id, address },
        createProbe(fence),
        POLL_TIMEOUT_SLACK_MS,
      );
      if (reply.outcome === "otherLife") return "none";
      const isOther = reply.outcome === "accepted" &&
        isOtherIncarnation(runner, reply.startedMs);
      return isOther ? "next" : "same";
    } catch (error) {
      logger.info("Removed runner does not respond", {
        runner: runner.life,
        error,
      });
      const tookMs = clock.now() - sentAtMs;
      return tookMs < POLL_TIMEOUT_SLACK_MS ? "none" : "silent";
    }
  }

  /**
   * Closes a removed incarnation unless it still answers; returns whether it is closed.
   * `isLasting` tells whether it has answered after its removal was acknowledged: then
   * silence does not show that it has ended, and its lease is waited for.
   */
  async function closeRemoved(
    session: Session,
    isLasting: boolean,
  ): Promise<boolean> {
    const answer = await askIncarnation(session);
    if (isStopped || session.runner.isClosed) return true;
    if (answer === "same" || (answer === "silent" && isLasting)) return false;
    await options.close(session, answer === "next");
    return true;
  }

  /** Closes a removed incarnation that has answered as soon as it no longer does. */
  async function watchRemoval(session: Session): Promise<void> {
    const { runner } = session;
    let pauseMs = RETRY_PAUSE_MS;
    let isLasting = false;
    while (clock.now() - (watched.get(runner.life) ?? 0) < REMOVAL_WATCH_MS) {
      await wait(clock, pauseMs);
      pauseMs = Math.min(2 * pauseMs, MAX_PROBE_PERIOD_MS);
      if (isStopped || runner.isClosed) return;
      if (!options.isLeading()) continue;
      if (await closeRemoved(session, isLasting)) return;
      isLasting = true;
    }
    logger.info("Removal ignored, as the runner has not ended", {
      runner: runner.life,
    });
  }

  return {
    async remove(session) {
      const { life } = session.runner;
      if (await closeRemoved(session, watched.has(life))) return;
      const isWatched = watched.has(life);
      // A repeated removal prolongs the watch.
      watched.set(life, clock.now());
      if (isWatched) return;
      void watchRemoval(session).finally(() => watched.delete(life));
    },
    stop() {
      isStopped = true;
    },
  };
}
