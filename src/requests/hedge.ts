/**
 * Request hedging: sends a second copy of a slow idempotent request to another
 * endpoint, uses the first complete response and cancels the other copy.
 */

import type { Clock, Timer } from "../common/mod.ts";
import type { AttemptEnd } from "./attempt.ts";

/** Options of a hedged attempt. */
export interface HedgeOptions {
  clock: Clock;
  /**
   * Returns the delay between the first and the second copy in milliseconds;
   * undefined for no second copy.
   */
  getDelayMs: () => number | undefined;
  /** Takes a retry token for the second copy; returns false if none is left. */
  takeToken: () => boolean;
  /** Runs copy 0 or 1 until `signal` is aborted; calls `onSend` just before sending. */
  runCopy: (
    copy: number,
    watch: { signal: AbortSignal; onSend: () => void },
  ) => Promise<AttemptEnd>;
  /** Aborted when the caller cancels the request. */
  signal?: AbortSignal | undefined;
}

/** Waits for both copies; prefers a final response, then a retryable failure, then the first fault. */
async function pickEnd(copies: Promise<AttemptEnd>[]): Promise<AttemptEnd> {
  const ends = await Promise.allSettled(copies);
  const reached = ends.flatMap((end) =>
    end.status === "fulfilled" ? [end.value] : []
  );
  const best = reached.find((end) => end.kind === "done") ?? reached[0];
  if (best !== undefined) return best;
  throw ends.find((end) => end.status === "rejected")?.reason;
}

/** Runs an attempt, with a second copy if the first is slow. */
export async function runHedged(options: HedgeOptions): Promise<AttemptEnd> {
  const { clock, getDelayMs, takeToken, runCopy, signal } = options;
  const stop = new AbortController();
  const handleAbort = () => stop.abort();
  signal?.addEventListener("abort", handleAbort);
  if (signal?.aborted === true) stop.abort();
  let timer: Timer | undefined;
  let startSecond: (end: Promise<AttemptEnd>) => void = () => {};
  const second = new Promise<AttemptEnd>((resolve) => {
    startSecond = resolve;
  });
  // The delay excludes the time in the queue; otherwise every request would be
  // queued twice under overload.
  const setTimer = () => {
    const delayMs = getDelayMs();
    if (delayMs === undefined) return;
    timer = clock.setTimer(delayMs, () => {
      if (!takeToken()) return;
      startSecond(runCopy(1, { signal: stop.signal, onSend: () => {} }));
    });
  };
  const first = runCopy(0, { signal: stop.signal, onSend: setTimer });
  const handleFirst = () => {
    timer?.cancel();
    startSecond(first);
  };
  first.then(handleFirst, handleFirst);
  second.catch(() => {});
  try {
    const end = await Promise.race([first, second]).catch(() => undefined);
    return end?.kind === "done" ? end : await pickEnd([first, second]);
  } finally {
    stop.abort();
    signal?.removeEventListener("abort", handleAbort);
  }
}
