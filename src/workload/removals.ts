/**
 * Removes runners that leave. A removal names no incarnation, so it may be a late one of
 * a former incarnation, and a runner that leaves goes on until its removal is
 * acknowledged. So a removed runner is asked first, and watched for some time if it
 * answers or is silent.
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
 * Time for which a removed runner that may go on is watched, in milliseconds.
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
   * Asks once which incarnation answers, if any; acknowledges and renews nothing. A
   * "silent" one left the call unanswered, which a slow one does as well. A "broken" call
   * has failed at once.
   */
  async function sendProbe(
    { runner, fence }: Session,
  ): Promise<"same" | "next" | "none" | "silent" | "broken"> {
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
      return tookMs < POLL_TIMEOUT_SLACK_MS ? "broken" : "silent";
    }
  }

  /**
   * Asks which incarnation answers, if any. A connection may break while its runner goes
   * on; where nothing listens any more, the next call fails at once as well.
   */
  async function askIncarnation(
    session: Session,
  ): Promise<"same" | "next" | "none" | "silent"> {
    const answer = await sendProbe(session);
    if (answer !== "broken") return answer;
    await wait(clock, RETRY_PAUSE_MS);
    const next = await sendProbe(session);
    return next === "broken" ? "none" : next;
  }

  /**
   * Closes a removed incarnation unless it still answers. If `isUp`, silence does not show
   * that it has ended, and its lease is waited for.
   */
  async function closeRemoved(
    session: Session,
    isUp: boolean,
  ): Promise<"closed" | "answered" | "silent"> {
    const answer = await askIncarnation(session);
    if (isStopped || session.runner.isClosed) return "closed";
    if (answer === "same") return "answered";
    if (answer === "silent" && isUp) return "silent";
    await options.close(session, answer === "next");
    return "closed";
  }

  /**
   * Closes a removed incarnation as soon as it no longer answers. `isSlow` tells whether
   * it left the call before the acknowledgement of its removal unanswered.
   */
  async function watchRemoval(
    session: Session,
    isSlow: boolean,
  ): Promise<void> {
    const { runner } = session;
    let pauseMs = RETRY_PAUSE_MS;
    // One that answers ends with the acknowledgement. If it does not, it may have missed
    // that, as a slow one may.
    let isUp = isSlow;
    while (clock.now() - (watched.get(runner.life) ?? 0) < REMOVAL_WATCH_MS) {
      await wait(clock, pauseMs);
      pauseMs = Math.min(2 * pauseMs, MAX_PROBE_PERIOD_MS);
      if (isStopped || runner.isClosed) return;
      if (!options.isLeading()) continue;
      if (await closeRemoved(session, isUp) === "closed") return;
      isUp = true;
    }
    logger.info("Removal ignored, as the runner has not ended", {
      runner: runner.life,
    });
  }

  return {
    async remove(session) {
      const { life } = session.runner;
      // A runner goes on until its removal is acknowledged.
      const seen = await closeRemoved(session, true);
      if (seen === "closed") return;
      const isWatched = watched.has(life);
      // A repeated removal prolongs the watch.
      watched.set(life, clock.now());
      if (isWatched) return;
      void watchRemoval(session, seen === "silent")
        .finally(() => watched.delete(life));
    },
    stop() {
      isStopped = true;
    },
  };
}
