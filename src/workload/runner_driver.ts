/**
 * Drives one incarnation of a runner: polls it continuously, which renews its
 * lease, and sends orders until they are answered. A start without a reply is
 * resent with the same run number, so that the runner executes it only once, but
 * only after this incarnation has answered a poll that does not list the run: each
 * copy may be executed late, also by the next incarnation. If it still gets no
 * reply, a stop for the run makes sure that the runner refuses delayed copies. A
 * runner that leaves a call unanswered is probed by short polls with growing
 * pauses, and orders wait for it, so that failed calls to many lost runners do not
 * use up the leader's processor time.
 */

import { type Clock, type Logger, toFault, wait } from "../common/mod.ts";
import {
  LONG_POLL_WAIT_MS,
  MAX_PROBE_PERIOD_MS,
  MAX_STOP_DELAY_MS,
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
  formatRun,
  isOtherIncarnation,
  MAX_REPLY_OVERTAKING_MS,
  type Occupant,
  recordClock,
  recordGrant,
  recordLease,
  type Runner,
} from "./runner_table.ts";
import type { StartObstacle } from "./start_obstacles.ts";
import type { StartTrace } from "./start_trace.ts";

/** Time from the first attempt of a start after which it is withdrawn, in milliseconds; the other members of a gang wait meanwhile. */
const START_TIMEOUT_MS = START_ATTEMPTS * ORDER_TIMEOUT_MS;

/**
 * Time from the refusal of a fencing token until this leader takes a new one, in
 * milliseconds. Half of the time after which the platform's rules count further calls
 * with the refused token; a leader that was replaced has learned of it by then.
 */
const REFUSED_FENCE_MS = 1_500;

/** Result of a start; an "unanswered" one may still be executed, an "undelivered" one was never sent. */
export type StartResult =
  | OrderOutcome
  | "unanswered"
  | "undelivered"
  /** Not sent, or not sent again, because of an obstacle. */
  | StartObstacle
  | "abandoned";

/** The reply to a poll that was carried out. */
type PollReply = HoldReply & { outcome: "accepted" };

/** A wait for the reply to a poll that was sent at `fromMs` or later. */
interface PollWait {
  readonly fromMs: number;
  /** Ends the wait; without a reply if there will be none. */
  readonly end: (reply: PollReply | undefined) => void;
}

/** What is known of a start before it is sent. */
type StartCheck =
  /** This incarnation answers and does not have the run. */
  | "ready"
  /** This incarnation has the run already. */
  | "listed"
  /** This incarnation does not answer. */
  | "silent";

/** Options of a driver. */
export interface RunnerDriverOptions {
  runner: Runner;
  calls: RunnerCalls;
  clock: Clock;
  logger: Logger;
  /** First fencing token of the orders to this incarnation. */
  fence: number;
  /** Creates a higher fencing token for the further orders to this incarnation. */
  updateFence: () => number;
  /** Longest lease that the runner accepts, in milliseconds. */
  maxLeaseMs: number;
  /** Time for which a start on its way is valid, in milliseconds. Default: as long as the lease. */
  startValidityMs?: number;
  /** Returns whether this process may send orders now. */
  isLeading: () => boolean;
  /** Handles the reply to a poll; resolves once the listed ends are recorded. */
  handlePollReply: (reply: PollReply, sentAtMs: number) => Promise<void>;
  /** Called when another incarnation answered; `hasSameId` tells whether under the same runner id. */
  handleOtherIncarnation: (hasSameId: boolean) => void;
  /** Called when the runner has seen a higher fencing token. */
  handleStaleFence: () => void;
  /** Resolves when the first poll may be sent. Default: at once. */
  firstPoll?: Promise<void>;
  /** Resolves when the next poll may be sent after an answered one. Default: at once. */
  waitBeforePoll?: () => Promise<void>;
}

/** What a start depends on. */
export interface StartConditions {
  /** Tells whether the run is still the current one of its task. */
  isWanted: () => boolean;
  /** Finds what keeps a copy from being sent. Default: nothing does. */
  findObstacle?: () => StartObstacle | undefined;
  /** Receives the copies that are sent. */
  trace?: Pick<StartTrace, "recordSend" | "recordReply">;
}

/** Sends polls and orders to one runner. */
export interface RunnerDriver {
  /** Sends a start until it is answered, found in a list or abandoned. */
  runStart(
    occupant: Occupant,
    order: Omit<StartOrder, "untilMs" | "fence">,
    conditions: StartConditions,
  ): Promise<StartResult>;
  /** Sends a stop until it is answered; returns whether the run is stopped. */
  runStop(occupant: Occupant): Promise<boolean>;
  /** Polls immediately, in parallel with the pending long poll. */
  startPoll(): void;
  stop(): void;
}

/** Tells whether the runner has the run, or had it until it ended. */
function isListed(
  { running, ended }: Pick<PollReply, "running" | "ended">,
  key: string,
): boolean {
  const fits = ({ task, run }: Pick<Occupant, "task" | "run">) =>
    formatRun(task, run) === key;
  return running.some(fits) || ended.some(fits);
}

/**
 * Tells whether the runner has executed a start of the run. A run that ended as
 * stopped may have been stopped before its start arrived.
 */
function isStartListed({ running, ended }: PollReply, key: string): boolean {
  const begun = ended.filter(({ outcome }) => outcome !== "stopped");
  return isListed({ running, ended: begun }, key);
}

/** Starts polling a runner. */
export function startRunnerDriver(options: RunnerDriverOptions): RunnerDriver {
  const { runner, calls, clock, logger } = options;
  let { fence } = options;
  /** Local time of the first refusal of the current fencing token, in milliseconds; undefined for none. */
  let refusedMs: number | undefined;
  const leaseMs = Math.min(RUNNER_LEASE_MS, options.maxLeaseMs);
  const startLeaseMs = Math.min(leaseMs, options.startValidityMs ?? leaseMs);
  let isStopped = false;
  let probing: Promise<void> | undefined;
  const pollWaits = new Set<PollWait>();
  /** The runs of which exactly one start was sent, which got no reply so far. */
  const singleStarts = new Set<Occupant>();

  function isOpen(): boolean {
    return !isStopped && !runner.isClosed;
  }

  /** Waits until the leadership is confirmed; no order may be sent before. */
  async function waitUntilLeading(): Promise<boolean> {
    while (isOpen() && !options.isLeading()) await wait(clock, RETRY_PAUSE_MS);
    return isOpen();
  }

  function getTarget() {
    return { id: runner.entry.id, address: runner.entry.address };
  }

  /** Computes the end of a lease on the runner's clock; undefined before the first reading. */
  function computeLeaseEnd(forMs: number): number | undefined {
    const clockMs = estimateRunnerClock(runner, clock.now());
    return clockMs === undefined ? undefined : Math.floor(clockMs + forMs);
  }

  /** Tells whether a clock reading is of another incarnation, whose clock started anew. */
  function isClockReset(clockMs: number | undefined): boolean {
    const sample = runner.clockSample;
    return clockMs !== undefined && sample !== undefined &&
      clockMs < sample.clockMs - MAX_REPLY_OVERTAKING_MS;
  }

  /**
   * Records the lease that a start has granted, also one that was refused. The reply may
   * be that of the next incarnation, on whose clock the order's lease is longer than on
   * the clock that it was computed for; `recordGrant` does not cover that.
   */
  function recordStartLease(reply: OrderReply, untilMs: number): void {
    // A runner does nothing for a lower token.
    const isGranted = reply.clockMs !== undefined &&
      reply.outcome !== "staleFence";
    if (!isOpen() || !isGranted) return;
    const grantedMs = Math.min(untilMs - reply.clockMs, options.maxLeaseMs);
    recordLease(runner, clock.now(), Math.max(0, grantedMs));
  }

  function receiveOrderReply(reply: OrderReply, sentFence: number): void {
    // The next incarnation has its own clock and refuses this fencing token.
    if (!isOpen()) return;
    if (isClockReset(reply.clockMs)) {
      // The lease in the order is late on the new clock, so the runner granted its maximum.
      recordLease(runner, clock.now(), options.maxLeaseMs);
      return options.handleOtherIncarnation(true);
    }
    recordClock(runner, reply.clockMs, clock.now());
    // After an unanswered call the reply may be that of the next incarnation.
    if (!runner.isUnresponsive) runner.lastReplyMs = clock.now();
    if (reply.outcome === "otherLife") options.handleOtherIncarnation(false);
    if (reply.outcome === "staleFence") handleStaleFence(sentFence);
  }

  /** The runner does nothing with this fencing token, so that only probes are sent to it for now. */
  function handleStaleFence(sentFence: number): void {
    options.handleStaleFence();
    if (sentFence === fence) refusedMs ??= clock.now();
    void startProbes();
  }

  /**
   * Takes a new fencing token some time after the refusal of the current one. While this
   * process still leads, the higher one was not used by a newer leader.
   */
  function updateFence(): void {
    const isDue = refusedMs !== undefined && options.isLeading() &&
      clock.now() - refusedMs >= REFUSED_FENCE_MS;
    if (!isDue) return;
    const refused = fence;
    fence = options.updateFence();
    refusedMs = undefined;
    logger.info("Fencing token renewed after a refusal", {
      runner: runner.life,
      refused,
      fence,
    });
  }

  /** Ends the waits for a poll that was sent at this time. */
  function endPollWaits(reply: PollReply, sentAtMs: number): void {
    for (const { fromMs, end } of [...pollWaits]) {
      if (fromMs <= sentAtMs) end(reply);
    }
  }

  /**
   * Probes the runner; resolves with its reply to a poll that was sent at `fromMs` or
   * later, or without one at `untilMs`.
   */
  function waitForPoll(
    fromMs: number,
    untilMs: number,
  ): Promise<PollReply | undefined> {
    return new Promise((resolve) => {
      const timer = clock.setTimer(
        Math.max(0, untilMs - clock.now()),
        () => end(undefined),
      );
      const pollWait: PollWait = { fromMs, end };

      function end(reply: PollReply | undefined): void {
        timer.cancel();
        pollWaits.delete(pollWait);
        resolve(reply);
      }

      pollWaits.add(pollWait);
      void startProbes();
    });
  }

  /** The only copy of a start whose run is listed has been executed, so none can arrive any more. */
  function closeListedStarts(reply: PollReply): void {
    const { startedMs } = reply;
    const isKnown = startedMs !== undefined &&
      startedMs === runner.entry.startedMs;
    if (!isKnown) return;
    for (const occupant of [...singleStarts]) {
      const isGone = !runner.occupants.has(occupant.key);
      const isExecuted = isStartListed(reply, occupant.key);
      if (isExecuted) occupant.openStartMs = undefined;
      if (isExecuted || isGone) singleStarts.delete(occupant);
    }
  }

  /** Returns whether this incarnation has answered. */
  async function runPoll(mayWait: boolean): Promise<boolean> {
    updateFence();
    const sentFence = fence;
    const sentAtMs = clock.now();
    // After an unanswered call, extending the lease would only delay the restart
    // of a lost runner's tasks elsewhere.
    const untilMs = runner.isUnresponsive
      ? undefined
      : computeLeaseEnd(leaseMs);
    if (untilMs !== undefined) recordGrant(runner, untilMs);
    const isFirst = runner.contactMs === undefined || runner.isUnresponsive;
    const waitMs = isFirst || !mayWait ? 0 : LONG_POLL_WAIT_MS;
    // After an unanswered call the next incarnation may read the poll, whose ends have
    // numbers of their own; 0 acknowledges none.
    const recordedEnds = runner.isUnresponsive ? 0 : runner.recordedEnds;
    const reply = await calls.hold(
      getTarget(),
      { fence, recordedEnds, untilMs, waitMs },
      waitMs + POLL_TIMEOUT_SLACK_MS,
    );
    if (!isOpen()) return false;
    if (reply.outcome === "otherLife") options.handleOtherIncarnation(false);
    else if (reply.outcome === "staleFence") handleStaleFence(sentFence);
    else if (reply.outcome !== "accepted") await wait(clock, RETRY_PAUSE_MS);
    if (reply.outcome !== "accepted") return false;
    if (isOtherIncarnation(runner, reply.startedMs)) {
      options.handleOtherIncarnation(true);
      return false;
    }
    recordClock(runner, reply.clockMs, clock.now());
    if (sentFence === fence) refusedMs = undefined;
    runner.isUnresponsive = false;
    runner.contactMs = clock.now();
    if (runner.mayHoldFormerLease) {
      // From now on the fencing token excludes orders for a former incarnation, but
      // one of them may have granted the longest lease just before.
      runner.mayHoldFormerLease = false;
      recordLease(runner, runner.contactMs, options.maxLeaseMs);
    }
    runner.lastReplyMs = runner.contactMs;
    closeListedStarts(reply);
    // Evaluates the lists before it waits for the records of the ends.
    const handled = options.handlePollReply(reply, sentAtMs);
    endPollWaits(reply, sentAtMs);
    await handled;
    return true;
  }

  /** Polls the runner until it replies to a poll that was sent after all unanswered calls. */
  async function runProbes(): Promise<void> {
    let periodMs = RETRY_PAUSE_MS;
    const isDue = () => runner.isUnresponsive || pollWaits.size > 0;
    while (await waitUntilLeading() && isDue()) {
      const startMs = clock.now();
      let isAnswered = false;
      try {
        isAnswered = await runPoll(false);
      } catch (error) {
        runner.isUnresponsive = true;
        logger.debug("Probe got no reply", { runner: runner.life, error });
      }
      // Calls that were given up during the probe need another one at once.
      if (isAnswered) continue;
      const tookMs = clock.now() - startMs;
      await wait(clock, Math.max(RETRY_PAUSE_MS, periodMs - tookMs));
      periodMs = Math.min(2 * periodMs, MAX_PROBE_PERIOD_MS);
    }
    probing = undefined;
  }

  /** Excludes the runner from new tasks until it replies to a probe. */
  function startProbes(): Promise<void> {
    runner.isUnresponsive = true;
    return probing ??= runProbes();
  }

  async function runPolls(): Promise<void> {
    await options.firstPoll;
    while (await waitUntilLeading()) {
      try {
        const isAnswered = await runPoll(true);
        // A refused fencing token may be refused for long.
        if (!isAnswered && runner.isUnresponsive) await startProbes();
        else await options.waitBeforePoll?.();
      } catch (error) {
        logger.info("Runner does not respond", { runner: runner.life, error });
        await startProbes();
      }
    }
  }

  /** Waits until the runner replies to a probe, but not for longer than `MAX_STOP_DELAY_MS`. */
  async function waitForReply(): Promise<void> {
    const untilMs = clock.now() + MAX_STOP_DELAY_MS;
    do {
      await wait(clock, RETRY_PAUSE_MS);
    } while (isOpen() && runner.isUnresponsive && clock.now() < untilMs);
  }

  /**
   * Makes sure that this incarnation answers before a start is sent to it. If an earlier
   * copy was given up at `fromMs`, also that it does not have the run according to a
   * poll that was sent since. Ends at `untilMs`, if given.
   */
  async function checkStart(
    { key, isUncertain }: Occupant,
    fromMs: number,
    untilMs?: number,
  ): Promise<StartCheck> {
    let sinceMs = fromMs;
    for (;;) {
      // The runner is not polled without the leadership, and may be replaced meanwhile.
      const hasGap = !options.isLeading();
      if (!await waitUntilLeading()) return "silent";
      if (hasGap) sinceMs = clock.now();
      else if (!isUncertain && !runner.isUnresponsive) return "ready";
      const reply = await waitForPoll(
        sinceMs,
        untilMs ?? clock.now() + ORDER_TIMEOUT_MS,
      );
      if (reply === undefined) return "silent";
      if (isListed(reply, key)) return "listed";
      if (isOpen() && options.isLeading()) return "ready";
    }
  }

  async function runStart(
    occupant: Occupant,
    order: Omit<StartOrder, "untilMs" | "fence">,
    { isWanted, findObstacle, trace }: StartConditions,
  ): Promise<StartResult> {
    let firstSentMs: number | undefined;
    let failedMs = -Infinity;
    for (let attempt = 1; attempt <= START_ATTEMPTS; attempt += 1) {
      const check = await checkStart(
        occupant,
        failedMs,
        firstSentMs === undefined ? undefined : firstSentMs + START_TIMEOUT_MS,
      );
      if (check === "listed") return "accepted";
      if (check === "silent" && isOpen()) {
        return occupant.isUncertain ? "unanswered" : "undelivered";
      }
      const untilMs = computeLeaseEnd(startLeaseMs);
      // The incarnation may have been closed since the leadership was confirmed.
      const mayStart = check === "ready" && isOpen() && isWanted() &&
        occupant.state !== "stopping" && runner.occupants.has(occupant.key);
      if (!mayStart || untilMs === undefined) {
        return occupant.isUncertain ? "unanswered" : "abandoned";
      }
      const obstacle = findObstacle?.();
      if (obstacle !== undefined) {
        return occupant.isUncertain ? "unanswered" : obstacle;
      }
      recordGrant(runner, untilMs);
      const formerOpenStartMs = occupant.openStartMs;
      occupant.orderSentMs = clock.now();
      occupant.openStartMs = occupant.orderSentMs;
      if (firstSentMs === undefined) singleStarts.add(occupant);
      else singleStarts.delete(occupant);
      firstSentMs ??= occupant.orderSentMs;
      const sentFence = fence;
      trace?.recordSend();
      try {
        const reply = await calls.start(
          getTarget(),
          { ...order, untilMs, fence: sentFence },
          ORDER_TIMEOUT_MS,
        );
        trace?.recordReply(reply);
        singleStarts.delete(occupant);
        occupant.openStartMs = formerOpenStartMs;
        // Another incarnation refused it, so it has not crashed this one.
        const isRefused = reply.outcome === "otherLife" &&
          !occupant.isUncertain;
        if (isRefused) occupant.orderSentMs = undefined;
        recordStartLease(reply, untilMs);
        receiveOrderReply(reply, sentFence);
        occupant.isExecuted ||= reply.outcome === "accepted" &&
          !runner.isUnresponsive;
        // It was late, or the estimate of the runner's clock was.
        const isLate = reply.outcome === "leaseEnded" && isOpen();
        if (isLate && !occupant.isUncertain && attempt < START_ATTEMPTS) {
          continue;
        }
        // An earlier copy may have been executed before this refusal.
        const isUndecided = occupant.isUncertain &&
          reply.outcome !== "accepted" && reply.outcome !== "otherLife";
        return isUndecided ? "unanswered" : reply.outcome;
      } catch (error) {
        failedMs = clock.now();
        const isUndelivered = toFault(error).ran === "no";
        if (isUndelivered) {
          singleStarts.delete(occupant);
          occupant.openStartMs = formerOpenStartMs;
        } else {
          occupant.isUncertain = true;
        }
        logger.info("Start order got no reply", {
          run: occupant.key,
          runner: runner.life,
          attempt,
          isUndelivered,
          error,
        });
        void startProbes();
        if (!occupant.isUncertain) return "undelivered";
      }
    }
    return "unanswered";
  }

  async function runStop(occupant: Occupant): Promise<boolean> {
    while (
      await waitUntilLeading() && runner.occupants.has(occupant.key)
    ) {
      const sentFence = fence;
      try {
        const reply = await calls.stop(
          getTarget(),
          { task: occupant.task, run: occupant.run, fence: sentFence },
          ORDER_TIMEOUT_MS,
        );
        receiveOrderReply(reply, sentFence);
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
        logger.info("Stop order got no reply", {
          run: occupant.key,
          runner: runner.life,
          error,
        });
        void startProbes();
      }
      await waitForReply();
    }
    return false;
  }

  void runPolls();
  return {
    runStart,
    runStop,
    startPoll() {
      runPoll(false).catch((error: unknown) =>
        logger.info("Poll got no reply", { runner: runner.life, error })
      );
    },
    stop() {
      isStopped = true;
      for (const { end } of [...pollWaits]) end(undefined);
    },
  };
}
