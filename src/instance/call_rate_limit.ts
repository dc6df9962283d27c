/** Limits the calls of one kind that a leader answers, so that they cannot slow down its decisions. */

import { type Clock, createFault } from "../common/mod.ts";

/** Window in which calls are counted, in milliseconds. */
const WINDOW_MS = 1_000;

/** Options of a limit. */
export interface CallRateLimitOptions {
  clock: Clock;
  /** Maximum number of calls in any second. */
  callsPerSecond: number;
  /** What the calls ask for, for the message of the refusal. */
  subject: string;
}

/** A limit on calls. */
export interface CallRateLimit {
  /** Counts a call; throws `overloaded`, not run, if there were too many in the last second. */
  addCall(): void;
}

/** Creates a limit. */
export function createCallRateLimit(
  options: CallRateLimitOptions,
): CallRateLimit {
  const { clock, callsPerSecond, subject } = options;
  let calledAtMs: number[] = [];

  return {
    addCall() {
      const nowMs = clock.now();
      calledAtMs = calledAtMs.filter((ms) => nowMs - ms < WINDOW_MS);
      if (calledAtMs.length >= callsPerSecond) {
        throw createFault(
          "overloaded",
          `Cannot answer another ${subject}: the leader answers ${callsPerSecond} a second`,
          { ran: "no" },
        );
      }
      calledAtMs.push(nowMs);
    },
  };
}
