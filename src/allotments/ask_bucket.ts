/** Token bucket that limits the rate of asks. */

import type { Clock } from "../common/mod.ts";

/** Rate limit for the asks of all workspaces together. */
export interface AskBucket {
  hasTokens(): boolean;
  /** Takes the token for one ask; returns false if there is none. */
  take(): boolean;
}

/** Creates a bucket that holds at most the tokens of one second and starts full. */
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
