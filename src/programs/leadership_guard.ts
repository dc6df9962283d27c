/**
 * Says whether this process may act as the leader right now. The lease is
 * counted on the monotonic clock, which stands still while the machine is
 * suspended, so a jump of the wall clock against it puts the lease in doubt
 * until a quorum has confirmed it.
 */

import type { Clock, Logger } from "../common/mod.ts";
import type { ReplicatedLog } from "../replicated_log/mod.ts";

/** Difference between the clocks that counts as a jump, in milliseconds; far below a lease, above what clock discipline does. */
const CLOCK_JUMP_MS = 100;

/** Options of a guard. */
export interface LeadershipGuardOptions {
  clock: Clock;
  logger: Logger;
  getLog: () =>
    | Pick<ReplicatedLog, "getLease" | "confirmLeadership">
    | undefined;
}

/** Watches the lease of this process. */
export interface LeadershipGuard {
  /** Tells whether the lease is in force and not in doubt. */
  isLeading(): boolean;
}

/** Creates a guard. */
export function createLeadershipGuard(
  options: LeadershipGuardOptions,
): LeadershipGuard {
  const { clock, logger } = options;
  let offsetMs = clock.wallTime() - clock.now();
  let isUnconfirmed = false;

  async function confirm(jumpMs: number): Promise<void> {
    logger.warn("Clocks moved apart; confirming the leadership", {
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
