/**
 * Starts and stops the controller of a leader. A busy leader can lose its lease
 * briefly, while replies of the members wait in its queues, and regain it in the
 * same term. The controller then only pauses. A restart would reconnect to all
 * runners and poll each, which could cost a busy process its lease again.
 */

import type { Clock, Timer } from "../common/mod.ts";
import type { LeaderLease } from "../replicated_log/mod.ts";

/** Interval at which a leader without a lease checks its role, in milliseconds; less than an election takes. */
const CHECK_PERIOD_MS = 100;

/** Options of a leadership tracker. */
export interface LeadershipTrackerOptions {
  clock: Clock;
  /** Returns the term in which this process leads the log, with or without a lease; undefined if it does not lead. */
  getLedTerm: () => number | undefined;
  /** Starts the controller; called once per term. */
  start: (lease: LeaderLease) => void;
  /** Stops the controller. */
  stop: () => void;
  /** Called when the lease is lost, gained or regained. */
  handleChange: () => void;
}

/** Tracks the lease of this process. */
export interface LeadershipTracker {
  handleLease(lease: LeaderLease | undefined): void;
  /** Returns whether `lease` belongs to the term that the controller runs in. */
  isCurrent(lease: LeaderLease): boolean;
  close(): void;
}

/** Creates a tracker without a current leadership. */
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
