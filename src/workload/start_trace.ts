/**
 * Traces one start from the decision to the runner's reply, for the log and the metrics.
 * The runner's clock in the reply tells how long the order was on its way, whichever
 * instance it went through.
 */

import type { Clock, LogFields } from "../common/mod.ts";
import type { OrderReply } from "./runner_calls.ts";
import { estimateRunnerClock, type Runner } from "./runner_table.ts";

/** One copy of a start. */
interface SentCopy {
  readonly sentMs: number;
  /** Estimated time of the runner's clock when it was sent, in milliseconds. */
  readonly runnerClockMs: number | undefined;
  reply: OrderReply | undefined;
}

/** Options of a trace. */
export interface StartTraceOptions {
  clock: Clock;
  runner: Runner;
  /** Local time of the decision in milliseconds. */
  decidedMs: number;
}

/** The trace of one start. */
export interface StartTrace {
  /** Records that the decision is committed. */
  recordCommit(): void;
  /** Records that a copy of the order is sent now. */
  recordSend(): void;
  /** Records the reply to the newest copy. */
  recordReply(reply: OrderReply): void;
  /** Returns the time that the answered copy was on its way, in milliseconds; undefined if unknown. */
  getDeliveryMs(): number | undefined;
  /** Returns the time from the announcement that the runner drains to the newest copy, in milliseconds; undefined if it had not announced that. */
  getSinceDrainingMs(): number | undefined;
  /** Formats the trace; times are in milliseconds since the decision. */
  formatFields(): LogFields;
}

/** Starts the trace of a decided start. */
export function createStartTrace(options: StartTraceOptions): StartTrace {
  const { clock, runner, decidedMs } = options;
  const copies: SentCopy[] = [];
  let committedMs: number | undefined;

  function computeDelivery(
    { runnerClockMs, reply }: SentCopy,
  ): number | undefined {
    const clockMs = reply?.clockMs;
    return clockMs === undefined || runnerClockMs === undefined
      ? undefined
      : clockMs - runnerClockMs;
  }

  /** Formats a copy as `SENT@INSTANCE+DELIVERY`. */
  function formatCopy(copy: SentCopy): string {
    const sentMs = Math.round(copy.sentMs - decidedMs);
    const deliveryMs = computeDelivery(copy) ?? "?";
    return `${sentMs}@${copy.reply?.relay ?? ""}+${deliveryMs}`;
  }

  function getDeliveryMs(): number | undefined {
    const newest = copies.at(-1);
    return newest === undefined ? undefined : computeDelivery(newest);
  }

  function getSinceDrainingMs(): number | undefined {
    const sentMs = copies.at(-1)?.sentMs;
    const { drainingSinceMs } = runner;
    const isLate = sentMs !== undefined && drainingSinceMs !== undefined &&
      sentMs >= drainingSinceMs;
    return isLate ? sentMs - drainingSinceMs : undefined;
  }

  return {
    recordCommit() {
      committedMs = clock.now();
    },
    recordSend() {
      copies.push({
        sentMs: clock.now(),
        runnerClockMs: estimateRunnerClock(runner, clock.now()),
        reply: undefined,
      });
    },
    recordReply(reply) {
      const newest = copies.at(-1);
      if (newest !== undefined) newest.reply = reply;
    },
    getDeliveryMs,
    getSinceDrainingMs,
    formatFields() {
      const sinceDrainingMs = getSinceDrainingMs();
      return {
        committedMs: committedMs === undefined
          ? undefined
          : Math.round(committedMs - decidedMs),
        copies: copies.map(formatCopy).join(" "),
        ...(sinceDrainingMs === undefined
          ? {}
          : { sinceDrainingMs: Math.round(sinceDrainingMs) }),
      };
    },
  };
}
