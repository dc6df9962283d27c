/**
 * When the controller of a leadership starts and stops. A busy leader can lose
 * its lease for a moment, as its members' answers wait in its queues, and get it
 * back in the same term. Its controller only pauses then: to start it anew means
 * to open the connections to all runners and to look at each, which would keep
 * a busy process from its lease once more.
 */

import type { Clock, Timer } from "../common/mod.ts";
import type { LeaderLease } from "../replicated_log/mod.ts";

/** Time between two looks at whether a leader without its lease still is one, in milliseconds; less than an election takes. */
const CHECK_PERIOD_MS = 100;

/** Options of a tenure. */
export interface LeadershipTrackerOptions {
  clock: Clock;
  /** Returns the term in which this process leads the log, with a lease or without; undefined while it does not. */
  getLedTerm: () => number | undefined;
  /** Starts to lead; called once a term. */
  start: (lease: LeaderLease) => void;
  /** Ends what `start` has begun. */
  stop: () => void;
  /** Called when the lease has been lost or found again. */
  handleChange: () => void;
}

/** Follows the lease of this process. */
export interface LeadershipTracker {
  handleLease(lease: LeaderLease | undefined): void;
  /** Tells whether `lease` is the one of the present tenure. */
  isCurrent(lease: LeaderLease): boolean;
  close(): void;
}

/** Creates a tenure that has not begun. */
export function createLeadershipTracker(
  options: LeadershipTrackerOptions,
): LeadershipTracker {
  const { clock } = options;
  let current: LeaderLease | undefined;
  let timer: Timer | undefined;

  function end(): void {
    timer?.cancel();
    timer = undefined;
    if (current === undefined) return;
    current = undefined;
    options.stop();
  }

  function check(): void {
    timer = undefined;
    if (current === undefined) return;
    if (options.getLedTerm() !== current.term) {
      end();
      options.handleChange();
      return;
    }
    timer = clock.setTimer(CHECK_PERIOD_MS, check);
  }

  return {
    handleLease(lease) {
      timer?.cancel();
      timer = undefined;
      if (lease === undefined) {
        check();
      } else if (lease.term !== current?.term) {
        end();
        current = lease;
        options.start(lease);
      }
      options.handleChange();
    },
    isCurrent: (lease) => lease.term === current?.term,
    close: end,
  };
}
