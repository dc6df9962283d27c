/**
 * Withdraws late orders for a former incarnation of a runner before its next one is
 * registered. A poll with a new fencing token makes the next incarnation ignore them. It
 * may be lost, or refused by an unhealthy runner that has then done nothing, so it is
 * sent until the runner answers it, the driver of the next incarnation has polled it, or
 * no order for the former incarnation can arrive any more.
 */

import { type Clock, type Logger, wait } from "../common/mod.ts";
import {
  MAX_PROBE_PERIOD_MS,
  POLL_TIMEOUT_SLACK_MS,
  RETRY_PAUSE_MS,
} from "./constants.ts";
import {
  createProbe,
  type HoldOrder,
  type RunnerCalls,
  type RunnerTarget,
} from "./runner_calls.ts";
import { isInFlight, type Runner } from "./runner_table.ts";

/** Options of the withdrawals. */
export interface WithdrawalsOptions {
  clock: Clock;
  logger: Logger;
  calls: Pick<RunnerCalls, "hold">;
  /** Creates a fencing token that is higher than all earlier ones. */
  createFencingToken: () => number;
  /** Returns whether this process may send orders now. */
  isLeading: () => boolean;
  /** Finds the registered incarnation of a runner id. */
  findRunner: (id: string) => Pick<Runner, "contactMs"> | undefined;
}

/** Withdrawals of orders for former incarnations. */
export interface Withdrawals {
  /** Withdraws the orders for a runner id; replaces an earlier withdrawal of that id. */
  start(target: RunnerTarget): void;
  stop(): void;
}

/** Creates withdrawals, none of which is under way. */
export function createWithdrawals(options: WithdrawalsOptions): Withdrawals {
  const { clock, logger } = options;
  /** The newest withdrawal of each runner id that is under way. */
  const pending = new Map<string, HoldOrder>();

  /** Sends the poll once; returns whether the orders are withdrawn. */
  async function sendPoll(
    target: RunnerTarget,
    order: HoldOrder,
  ): Promise<boolean> {
    try {
      const { outcome } = await options.calls.hold(
        target,
        order,
        POLL_TIMEOUT_SLACK_MS,
      );
      if (outcome === "accepted") return true;
      logger.info("Withdrawal of orders for a former incarnation refused", {
        runner: target.id,
        outcome,
      });
      // Either a higher token excludes these orders, or nothing with this id is there.
      return outcome === "staleFence" || outcome === "otherLife";
    } catch (error) {
      logger.info("Cannot withdraw the orders for a former incarnation", {
        runner: target.id,
        error,
      });
      return false;
    }
  }

  /** Repeats the poll, always with the same token: that of a registered incarnation is higher. */
  async function runPolls(
    target: RunnerTarget,
    order: HoldOrder,
  ): Promise<void> {
    const { id } = target;
    const fromMs = clock.now();
    const former = options.findRunner(id);
    let periodMs = RETRY_PAUSE_MS;
    while (pending.get(id) === order && isInFlight(fromMs, clock.now())) {
      const registered = options.findRunner(id);
      const next = registered === former ? undefined : registered;
      if (next?.contactMs !== undefined) return;
      const startMs = clock.now();
      // The driver of a registered incarnation polls it already.
      const isDue = next === undefined && options.isLeading();
      if (isDue && await sendPoll(target, order)) return;
      const tookMs = clock.now() - startMs;
      await wait(clock, Math.max(RETRY_PAUSE_MS, periodMs - tookMs));
      if (isDue) periodMs = Math.min(2 * periodMs, MAX_PROBE_PERIOD_MS);
    }
  }

  return {
    start({ id, address }) {
      const order = createProbe(options.createFencingToken());
      pending.set(id, order);
      void runPolls({ id, address }, order).finally(() => {
        if (pending.get(id) === order) pending.delete(id);
      });
    },
    stop: () => pending.clear(),
  };
}
