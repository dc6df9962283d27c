/**
 * Drives one life of a runner: looks at it again and again, which renews its
 * lease, and sends it orders until it has answered them. A start that gets no
 * answer is sent again under the same run number, which the runner carries out
 * once; when it still gets none, a stop for the run makes sure that a delayed
 * copy is refused.
 */

import { type Clock, type Logger, wait } from "../common/mod.ts";
import {
  LONG_POLL_WAIT_MS,
  ORDER_TIMEOUT_MS,
  POLL_TIMEOUT_SLACK_MS,
  RETRY_PAUSE_MS,
  RUNNER_LEASE_MS,
  START_ATTEMPTS,
} from "./constants.ts";
import type {
  HoldReply,
  OrderOutcome,
  OrderReply,
  RunnerCalls,
  StartOrder,
} from "./runner_calls.ts";
import {
  estimateRunnerClock,
  type Occupant,
  recordGrant,
  type Runner,
} from "./runner_table.ts";

/** How a start ended; "unanswered" may still be carried out. */
export type StartResult = OrderOutcome | "unanswered" | "abandoned";

/** Options of a driver. */
export interface RunnerDriverOptions {
  runner: Runner;
  calls: RunnerCalls;
  clock: Clock;
  logger: Logger;
  /** Fencing token of the leadership. */
  fence: number;
  /** Longest lease that the runner accepts, in milliseconds. */
  maxLeaseMs: number;
  /** False once this process may no longer give orders. */
  isLeading: () => boolean;
  /** Takes in a look; resolves once the listed ends are recorded. */
  handlePollReply: (
    reply: HoldReply & { outcome: "accepted" },
    sentAtMs: number,
  ) => Promise<void>;
  /** Called when another life answered in place of this one. */
  handleOtherIncarnation: () => void;
  /** Called when the runner has seen a higher fencing token. */
  handleStaleFence: () => void;
  /** Time before the first look in milliseconds. Default 0. */
  firstPollDelayMs?: number;
}

/** Sends looks and orders to one runner. */
export interface RunnerDriver {
  /** Sends a start until it is answered or given up. */
  runStart(
    occupant: Occupant,
    order: Omit<StartOrder, "untilMs" | "fence">,
    isWanted: () => boolean,
  ): Promise<StartResult>;
  /** Sends a stop until it is answered; tells whether it was. */
  runStop(occupant: Occupant): Promise<boolean>;
  /** Looks once more at once, beside the look that waits for an end. */
  startPoll(): void;
  stop(): void;
}

/** Starts to look at a runner. */
export function startRunnerDriver(options: RunnerDriverOptions): RunnerDriver {
  const { runner, calls, clock, logger, fence } = options;
  const leaseMs = Math.min(RUNNER_LEASE_MS, options.maxLeaseMs);
  let isStopped = false;
  let hasUnansweredPoll = false;

  function isOpen(): boolean {
    return !isStopped && !runner.isClosed;
  }

  /** Waits out a doubt about the leadership, during which no order may leave. */
  async function waitUntilLeading(): Promise<boolean> {
    while (isOpen() && !options.isLeading()) await wait(clock, RETRY_PAUSE_MS);
    return isOpen();
  }

  function getTarget() {
    return { id: runner.entry.id, address: runner.entry.address };
  }

  function computeLeaseEnd(): number | undefined {
    const clockMs = estimateRunnerClock(runner, clock.now());
    return clockMs === undefined ? undefined : clockMs + leaseMs;
  }

  function recordClock(clockMs: number | undefined): void {
    if (clockMs === undefined) return;
    runner.clockSample = { clockMs, atMs: clock.now() };
  }

  function receiveOrderReply(reply: OrderReply): void {
    recordClock(reply.clockMs);
    if (reply.outcome === "otherLife") options.handleOtherIncarnation();
    if (reply.outcome === "staleFence") options.handleStaleFence();
  }

  async function runPoll(mayWait: boolean): Promise<void> {
    const sentAtMs = clock.now();
    // After an unanswered look a further grant would only delay the moment
    // from which the tasks of a lost runner may start elsewhere.
    const untilMs = hasUnansweredPoll ? undefined : computeLeaseEnd();
    if (untilMs !== undefined) recordGrant(runner, untilMs);
    const isFirst = runner.contactMs === undefined || hasUnansweredPoll;
    const waitMs = isFirst || !mayWait ? 0 : LONG_POLL_WAIT_MS;
    const reply = await calls.hold(
      getTarget(),
      { fence, recordedEnds: runner.recordedEnds, untilMs, waitMs },
      waitMs + POLL_TIMEOUT_SLACK_MS,
    );
    if (!isOpen()) return;
    if (reply.outcome === "otherLife") return options.handleOtherIncarnation();
    if (reply.outcome === "staleFence") return options.handleStaleFence();
    if (reply.outcome !== "accepted") return wait(clock, RETRY_PAUSE_MS);
    const isOther = reply.startedMs !== undefined &&
      runner.entry.startedMs !== 0 &&
      reply.startedMs !== runner.entry.startedMs;
    if (isOther) return options.handleOtherIncarnation();
    recordClock(reply.clockMs);
    hasUnansweredPoll = false;
    runner.contactMs = clock.now();
    await options.handlePollReply(reply, sentAtMs);
  }

  async function runPolls(): Promise<void> {
    const { firstPollDelayMs = 0 } = options;
    if (firstPollDelayMs > 0) await wait(clock, firstPollDelayMs);
    while (await waitUntilLeading()) {
      try {
        await runPoll(true);
      } catch (error) {
        if (!hasUnansweredPoll) {
          logger.info("Runner does not answer", { runner: runner.life, error });
        }
        hasUnansweredPoll = true;
        await wait(clock, RETRY_PAUSE_MS);
      }
    }
  }

  async function runStart(
    occupant: Occupant,
    order: Omit<StartOrder, "untilMs" | "fence">,
    isWanted: () => boolean,
  ): Promise<StartResult> {
    for (let attempt = 1; attempt <= START_ATTEMPTS; attempt += 1) {
      const isLeading = await waitUntilLeading();
      const untilMs = computeLeaseEnd();
      if (!isLeading || !isWanted() || untilMs === undefined) {
        return occupant.isUncertain ? "unanswered" : "abandoned";
      }
      recordGrant(runner, untilMs);
      try {
        const reply = await calls.start(
          getTarget(),
          { ...order, untilMs, fence },
          ORDER_TIMEOUT_MS,
        );
        receiveOrderReply(reply);
        // An earlier copy may have been carried out before this refusal.
        const isOpen = occupant.isUncertain && reply.outcome !== "accepted" &&
          reply.outcome !== "otherLife";
        return isOpen ? "unanswered" : reply.outcome;
      } catch (error) {
        occupant.isUncertain = true;
        logger.info("Start order not answered", {
          run: occupant.key,
          runner: runner.life,
          attempt,
          error,
        });
      }
    }
    return "unanswered";
  }

  async function runStop(occupant: Occupant): Promise<boolean> {
    while (
      await waitUntilLeading() && runner.occupants.has(occupant.key)
    ) {
      try {
        const reply = await calls.stop(
          getTarget(),
          { task: occupant.task, run: occupant.run, fence },
          ORDER_TIMEOUT_MS,
        );
        receiveOrderReply(reply);
        const isDone = reply.outcome === "accepted" ||
          reply.outcome === "staleRun";
        if (isDone) return true;
        logger.info("Stop order refused", {
          run: occupant.key,
          runner: runner.life,
          outcome: reply.outcome,
        });
        if (reply.outcome === "otherLife") return false;
      } catch (error) {
        logger.info("Stop order not answered", {
          run: occupant.key,
          runner: runner.life,
          error,
        });
      }
      await wait(clock, RETRY_PAUSE_MS);
    }
    return false;
  }

  void runPolls();
  return {
    runStart,
    runStop,
    startPoll() {
      runPoll(false).catch((error: unknown) =>
        logger.info("Look not answered", { runner: runner.life, error })
      );
    },
    stop() {
      isStopped = true;
    },
  };
}
