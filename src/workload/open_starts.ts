/**
 * Remembers the starts that got no reply after their run has ended. A runner that
 * has confirmed a stop refuses a delayed copy, but its next incarnation with the
 * same id knows nothing of it and would execute the copy.
 */

import { isInFlight } from "./runner_table.ts";
import type { TaskRef } from "./types.ts";

/** A start without a reply. */
export interface OpenStart {
  readonly runnerId: string;
  readonly task: TaskRef;
  readonly run: number;
  /** Local time at which it was last sent, in milliseconds. */
  readonly sentMs: number;
}

/** The starts without a reply that may still arrive. */
export interface OpenStarts {
  add(start: OpenStart): void;
  /** Removes and returns the starts that were sent to a runner id. */
  remove(runnerId: string): OpenStart[];
  /** Removes the starts that can no longer arrive. */
  removeExpired(nowMs: number): void;
}

/** Creates a store without starts. */
export function createOpenStarts(): OpenStarts {
  let starts: OpenStart[] = [];

  return {
    add: (start) => void starts.push(start),
    remove(runnerId) {
      const removed = starts.filter((start) => start.runnerId === runnerId);
      if (removed.length > 0) {
        starts = starts.filter((start) => start.runnerId !== runnerId);
      }
      return removed;
    },
    removeExpired(nowMs) {
      if (starts.length === 0) return;
      starts = starts.filter(({ sentMs }) => isInFlight(sentMs, nowMs));
    },
  };
}
