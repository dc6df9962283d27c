/**
 * Gives up the vote of this instance before a planned stop. The leader learns
 * from the hello message that the instance is stopping, lets a standby take its
 * place, and then releases it. A stop without this step would count as a loss
 * until a standby has been chosen, and the next loss could end the majority.
 */

import type { Clock, Logger } from "../common/mod.ts";

/** Options of a vote release. */
export interface VoteReleaseOptions {
  clock: Clock;
  logger: Logger;
  /** Returns whether this instance is a member of the log. */
  isMember: () => boolean;
  /** Sends the description of this instance to all instances that may lead. */
  sendHello: () => void;
}

/** The release of this instance's vote. */
export interface VoteRelease {
  /** Returns whether this instance is stopping. */
  isStopping(): boolean;
  /** Resolves with true once released, and with false after `timeoutMs`. */
  releaseVote(timeoutMs: number): Promise<boolean>;
  /** Handles the message of the leader that releases this instance. */
  handleRelease(): void;
}

/** Creates the release of an instance that is not stopping. */
export function createVoteRelease(options: VoteReleaseOptions): VoteRelease {
  const { clock, logger } = options;
  let isStopping = false;
  let handleRelease = () => {};

  async function waitForRelease(timeoutMs: number): Promise<boolean> {
    return await new Promise((resolve) => {
      const timer = clock.setTimer(timeoutMs, () => resolve(false));
      handleRelease = () => {
        timer.cancel();
        resolve(true);
      };
    });
  }

  return {
    isStopping: () => isStopping,
    async releaseVote(timeoutMs) {
      isStopping = true;
      options.sendHello();
      if (!options.isMember()) return true;
      const startMs = clock.now();
      const isReleased = await waitForRelease(timeoutMs);
      logger.info("Waited for the release of the vote", {
        isReleased,
        tookMs: Math.round(clock.now() - startMs),
      });
      return isReleased;
    },
    handleRelease: () => handleRelease(),
  };
}
