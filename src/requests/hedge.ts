/**
 * Sends a second copy of an idempotent request to another endpoint when the
 * first is slow; the first whole answer counts and the other copy is given up.
 */

import type { Clock } from "../common/mod.ts";
import type { AttemptEnd } from "./attempt.ts";

/** Settings of a hedged attempt. */
export interface HedgeOptions {
  clock: Clock;
  /** Time after which the second copy is sent, in milliseconds. */
  hedgeAfterMs: number;
  /** Takes a retry token for the second copy; false when there is none. */
  takeToken: () => boolean;
  /** Runs a copy, 0 or 1, until `signal` is aborted. */
  runCopy: (copy: number, signal: AbortSignal) => Promise<AttemptEnd>;
  /** Aborted when the caller cancels. */
  signal?: AbortSignal;
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
  const { clock, hedgeAfterMs, takeToken, runCopy, signal } = options;
  const stop = new AbortController();
  const handleAbort = () => stop.abort();
  signal?.addEventListener("abort", handleAbort);
  if (signal?.aborted === true) stop.abort();
  const first = runCopy(0, stop.signal);
  let isFirstDone = false;
  const handleFirst = () => {
    isFirstDone = true;
  };
  first.then(handleFirst, handleFirst);
  const second = new Promise<AttemptEnd>((resolve) => {
    const timer = clock.setTimer(hedgeAfterMs, () => {
      const isWanted = !isFirstDone && takeToken();
      resolve(isWanted ? runCopy(1, stop.signal) : first);
    });
    first.then(() => timer.cancel(), () => timer.cancel());
    first.then(() => resolve(first), () => resolve(first));
  });
  try {
    const end = await Promise.race([first, second]).catch(() => undefined);
    return end?.kind === "done" ? end : await pickEnd([first, second]);
  } finally {
    stop.abort();
    signal?.removeEventListener("abort", handleAbort);
    first.catch(() => {});
    second.catch(() => {});
  }
}
