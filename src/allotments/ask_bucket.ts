/** A token bucket for asks. */

import type { Clock } from "../common/mod.ts";

/** Bounds the asks of all workspaces together. */
export interface AskBucket {
  hasTokens(): boolean;
  /** Takes the token of one ask; false when there is none. */
  take(): boolean;
}

/** Creates a bucket that holds the tokens of one second and starts full. */
export function createAskBucket(
  clock: Pick<Clock, "now">,
  perSecond: number,
): AskBucket {
  let tokens = perSecond;
  let filledAtMs = clock.now();

  function hasTokens(): boolean {
    const nowMs = clock.now();
    const added = (nowMs - filledAtMs) * perSecond / 1_000;
    tokens = Math.min(perSecond, tokens + added);
    filledAtMs = nowMs;
    return tokens >= 1;
  }

  return {
    hasTokens,
    take(): boolean {
      if (!hasTokens()) return false;
      tokens -= 1;
      return true;
    },
  };
}
