/** The highest need of a workspace in the recent past. */

import type { Clock } from "../common/mod.ts";
import { type Limits, mergeLimits, NO_LIMITS } from "../fleet/mod.ts";

/** Remembers the highest need for between one and two halves of `keepMs`. */
export interface PeakTracker {
  record(needed: Limits): void;
  getPeak(): Limits;
}

/** Creates a tracker. Two windows bound the memory whatever the rate of calls. */
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
