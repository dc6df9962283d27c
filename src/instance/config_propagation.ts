/** Waits for an accepted configuration change to propagate before it is answered. */

import { type Clock, wait } from "../common/mod.ts";
import { computeRolloutStatus } from "../fleet/mod.ts";

/** Longest wait when all pending data centres have an unreachable instance, in milliseconds; reachable instances get a change sooner. */
const UNREACHABLE_WAIT_MS = 1_500;

/** Longest wait when a reachable data centre lags behind, in milliseconds; the users' target for a change is 7 s. */
const LAGGING_WAIT_MS = 5_000;

/** Interval between checks of the propagation, in milliseconds. */
const POLL_PERIOD_MS = 50;

/** Version reported for a data centre with an unreachable instance. */
export const UNREACHABLE_VERSION = -1;

/** Options of the wait. */
export interface PropagationWaitOptions {
  clock: Clock;
  version: number;
  dataCentres: readonly string[];
  /** Lowest version in force by data centre; `UNREACHABLE_VERSION` when one of its instances is unreachable. */
  getVersions: () => ReadonlyMap<string, number>;
}

/** Waits until a change is in force everywhere, or until the longest wait has passed. */
export async function waitForPropagation(
  options: PropagationWaitOptions,
): Promise<{ inForce: string[]; pending: string[] }> {
  const { clock, version, dataCentres } = options;
  const startMs = clock.now();
  for (;;) {
    const versions = options.getVersions();
    const { inEffect, pending } = computeRolloutStatus(
      dataCentres,
      versions,
      version,
    );
    const isLagging = pending.some((name) =>
      (versions.get(name) ?? UNREACHABLE_VERSION) !== UNREACHABLE_VERSION
    );
    const waitMs = isLagging ? LAGGING_WAIT_MS : UNREACHABLE_WAIT_MS;
    if (pending.length === 0 || clock.now() - startMs >= waitMs) {
      return { inForce: inEffect, pending };
    }
    await wait(clock, POLL_PERIOD_MS);
  }
}
