/**
 * Decides whether this process may act as the leader right now. The lease is
 * measured on the monotonic clock, which stops while the machine is suspended.
 * After a jump of the wall clock relative to it, the lease is not trusted until
 * a quorum has confirmed the leadership.
 */

import type { Clock, Logger } from "../common/mod.ts";
import type { ReplicatedLog } from "../replicated_log/mod.ts";

/** Change of the clock offset that counts as a jump, in milliseconds; far below a lease, above the corrections of clock discipline. */
const CLOCK_JUMP_MS = 100;

/** Options of a leadership guard. */
export interface LeadershipGuardOptions {
  clock: Clock;
  logger: Logger;
  getLog: () =>
    | Pick<ReplicatedLog, "getLease" | "confirmLeadership">
    | undefined;
}

/** Checks the lease of this process. */
export interface LeadershipGuard {
  /** Returns whether the lease is valid and no confirmation is pending. */
  isLeading(): boolean;
}

/** Creates a leadership guard. */
export function createLeadershipGuard(
  options: LeadershipGuardOptions,
): LeadershipGuard {
  const { clock, logger } = options;
  let offsetMs = clock.wallTime() - clock.now();
  let isUnconfirmed = false;

  async function confirm(jumpMs: number): Promise<void> {
    logger.warn("Clock jump detected; confirming leadership", {
      jumpMs: Math.round(jumpMs),
    });
    try {
      await options.getLog()?.confirmLeadership();
    } catch (error) {
      logger.info("Leadership not confirmed", { error });
    } finally {
      isUnconfirmed = false;
    }
  }

  return {
    isLeading() {
      const nextMs = clock.wallTime() - clock.now();
      const jumpMs = nextMs - offsetMs;
      if (Math.abs(jumpMs) > CLOCK_JUMP_MS) {
        offsetMs = nextMs;
        isUnconfirmed = true;
        void confirm(jumpMs);
      }
      return !isUnconfirmed && options.getLog()?.getLease() !== undefined;
    },
  };
}
