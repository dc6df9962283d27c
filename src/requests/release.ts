/**
 * Reports the end of an exchange to the leader, with retries: a lost release
 * occupies a slot until the deadline of its request.
 */

import type { Clock, Logger, Random } from "../common/mod.ts";
import { computeBackoff } from "./retry_budget.ts";
import type {
  RecordedAnswer,
  RequestOutcome,
  SlotClient,
  SlotGrant,
} from "./types.ts";

/** Options of a releaser. */
export interface ReleaserOptions {
  clock: Clock;
  random: Random;
  logger: Logger;
  instance: string;
  slots: SlotClient;
}

/** The end of an exchange. */
export interface ReleaseInput {
  readonly grant: SlotGrant;
  readonly outcome: RequestOutcome;
  readonly durationMs?: number;
  readonly answer?: RecordedAnswer;
}

/** Releases grants at the leader. */
export interface Releaser {
  /** Resolves once the leader has acknowledged or all attempts have failed; never rejects. */
  release(input: ReleaseInput): Promise<void>;
}

const RELEASE_ATTEMPTS = 3;

/** Creates a releaser. */
export function createReleaser(options: ReleaserOptions): Releaser {
  const { clock, random, logger, instance, slots } = options;

  return {
    async release({ grant, outcome, durationMs = 0, answer }) {
      const { token, endpoint } = grant;
      for (let attempt = 0; attempt < RELEASE_ATTEMPTS; attempt++) {
        try {
          await slots.release({
            token,
            outcome,
            durationMs: Math.round(durationMs),
            ...(answer === undefined ? {} : { answer }),
            instance,
          });
          return;
        } catch (error) {
          logger.warn("Failed to release grant", { endpoint, attempt, error });
        }
        const pauseMs = computeBackoff(attempt, random);
        await new Promise<void>((resolve) => {
          clock.setTimer(pauseMs, resolve);
        });
      }
    },
  };
}
