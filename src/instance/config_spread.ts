/** How long the answer to an accepted change waits for it to spread. */

import { type Clock, wait } from "../common/mod.ts";
import { computeRolloutStatus } from "../fleet/mod.ts";

/** Time that a change is given where an instance cannot be heard, in milliseconds; longer than it takes to a reachable one. */
const SPREAD_WAIT_MS = 1_500;

/** The same where all instances are heard and some are late, in milliseconds; the users' target for a change is 7 s. */
const LATE_SPREAD_WAIT_MS = 5_000;

/** Time between looks at how far a change has spread, in milliseconds. */
const SPREAD_POLL_MS = 50;

/** Version of a data centre in which an instance cannot be heard. */
export const UNHEARD_VERSION = -1;

/** Options of the wait. */
export interface SpreadWaitOptions {
  clock: Clock;
  version: number;
  dataCentres: readonly string[];
  /** Lowest version in force by data centre; `UNHEARD_VERSION` where one of its instances is not heard. */
  getVersions: () => ReadonlyMap<string, number>;
}

/** Waits until a change is in force everywhere, or nothing more is to be expected soon. */
export async function waitForSpread(
  options: SpreadWaitOptions,
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
    const isLate = pending.some((name) =>
      (versions.get(name) ?? UNHEARD_VERSION) !== UNHEARD_VERSION
    );
    const waitMs = isLate ? LATE_SPREAD_WAIT_MS : SPREAD_WAIT_MS;
    if (pending.length === 0 || clock.now() - startMs >= waitMs) {
      return { inForce: inEffect, pending };
    }
    await wait(clock, SPREAD_POLL_MS);
  }
}
