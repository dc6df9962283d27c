/**
 * Sends a second copy of an idempotent request to another endpoint when the
 * first is slow; the first whole answer counts and the other copy is given up.
 */

import type { Clock, Timer } from "../common/mod.ts";
import type { AttemptEnd } from "./attempt.ts";

/** Settings of a hedged attempt. */
export interface HedgeOptions {
  clock: Clock;
  /** Time after the first copy was sent at which the second is sent; undefined for none. */
  getDelayMs: () => number | undefined;
  /** Takes a retry token for the second copy; false when there is none. */
  takeToken: () => boolean;
  /** Runs a copy, 0 or 1, until `signal` is aborted; calls `onSend` when it is sent. */
  runCopy: (
    copy: number,
    watch: { signal: AbortSignal; onSend: () => void },
  ) => Promise<AttemptEnd>;
  /** Aborted when the caller cancels. */
  signal?: AbortSignal | undefined;
}

/** Prefers an answer, then a reason to retry, then the first failure. */
async function pickEnd(copies: Promise<AttemptEnd>[]): Promise<AttemptEnd> {
  const ends = await Promise.allSettled(copies);
  const reached = ends.flatMap((end) =>
    end.status === "fulfilled" ? [end.value] : []
  );
  const best = reached.find((end) => end.kind === "done") ?? reached[0];
  if (best !== undefined) return best;
  throw ends.find((end) => end.status === "rejected")?.reason;
}

/** Runs one attempt with a second copy when the first is slow. */
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
  // Time in the queue does not count: under overload every request would
  // otherwise be queued twice.
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
