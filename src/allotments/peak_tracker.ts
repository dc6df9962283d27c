/** Tracks the recent peak demand of a workspace. */

import type { Clock } from "../common/mod.ts";
import { type Limits, mergeLimits, NO_LIMITS } from "../fleet/mod.ts";

/** Keeps the peak demand for between half of `keepMs` and the whole. */
export interface PeakTracker {
  record(needed: Limits): void;
  getPeak(): Limits;
}

/** Creates a tracker. It keeps two time windows, so memory use does not depend on the call rate. */
export function createPeakTracker(
  clock: Pick<Clock, "now">,
  keepMs: number,
): PeakTracker {
  const windowMs = keepMs / 2;
  let current = NO_LIMITS;
  let previous = NO_LIMITS;
  let startedAtMs = clock.now();

  function startWindow(): void {
    const elapsedMs = clock.now() - startedAtMs;
    if (elapsedMs < windowMs) return;
    previous = elapsedMs < 2 * windowMs ? current : NO_LIMITS;
    current = NO_LIMITS;
    startedAtMs = clock.now();
  }

  return {
    record(needed) {
      startWindow();
      current = mergeLimits(current, needed);
    },
    getPeak() {
      startWindow();
      return mergeLimits(current, previous);
    },
  };
}
