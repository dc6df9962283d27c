/**
 * Adds up what the process of a leader spends its time on, by subject. What is busy
 * beyond the measured subjects is the runtime: reading and writing connections,
 * timers, compiling and garbage collection. Reported once a second while the process
 * is busy, so that a late job can be traced to what kept its leader busy.
 */

import type { Clock, Logger } from "../common/mod.ts";

/** Time between two reports, in milliseconds. */
const REPORT_PERIOD_MS = 1_000;

/** What a leader's process works on. */
export type TimeSubject =
  /** Planning rounds. */
  | "planning"
  /** Sending orders and polls to runners. */
  | "orders"
  /** Handling the replies to polls. */
  | "replies"
  /** Handling applied records. */
  | "records"
  /** Frames from and to other instances, with the calls in them. */
  | "frames";

/** Runs a function and adds the time that it takes to a subject; without what others measure meanwhile. */
export type MeasureTime = <Result>(
  subject: TimeSubject,
  run: () => Result,
) => Result;

/** Runs a function without measuring it. */
export const runUnmeasured: MeasureTime = (_, run) => run();

/** Options of the sums. */
export interface TimeUseOptions {
  clock: Pick<Clock, "now">;
  logger: Logger;
  /** Returns the time for which the event loop has been busy so far, in milliseconds. */
  readBusyMs: () => number;
}

/** Sums of time by subject. */
export interface TimeUse {
  readonly measure: MeasureTime;
  /** Logs the sums since the last report, once they cover a second, if `isBusy`, and starts anew. */
  report(isBusy: boolean): void;
}

/** Creates empty sums. */
export function createTimeUse(options: TimeUseOptions): TimeUse {
  const { clock, logger, readBusyMs } = options;
  const sums = new Map<TimeSubject, { ms: number; count: number }>();
  let sinceMs = clock.now();
  let sinceBusyMs = readBusyMs();
  /** Time that functions inside of the current one have taken, in milliseconds. */
  let innerMs = 0;

  function addTime(subject: TimeSubject, ms: number): void {
    const sum = sums.get(subject);
    if (sum === undefined) return void sums.set(subject, { ms, count: 1 });
    sum.ms += ms;
    sum.count += 1;
  }

  return {
    measure(subject, run) {
      const startMs = clock.now();
      const outerMs = innerMs;
      innerMs = 0;
      try {
        return run();
      } finally {
        const tookMs = clock.now() - startMs;
        addTime(subject, tookMs - innerMs);
        innerMs = outerMs + tookMs;
      }
    },
    report(isBusy) {
      const nowMs = clock.now();
      if (nowMs - sinceMs < REPORT_PERIOD_MS) return;
      const busyMs = readBusyMs() - sinceBusyMs;
      let restMs = busyMs;
      const fields: Record<string, number> = {};
      for (const [subject, { ms, count }] of sums) {
        fields[`${subject}Ms`] = Math.round(ms);
        fields[subject] = count;
        restMs -= ms;
      }
      if (isBusy) {
        logger.info("Time use of the leader", {
          periodMs: Math.round(nowMs - sinceMs),
          busyMs: Math.round(busyMs),
          ...fields,
          restMs: Math.round(restMs),
        });
      }
      sums.clear();
      sinceMs = nowMs;
      sinceBusyMs += busyMs;
    },
  };
}
