/** How long the answer to an accepted change waits for it to spread. */

import { type Clock, wait } from "../common/mod.ts";
import { computeReach } from "../fleet/mod.ts";

/** Time that a change is given where an instance cannot be heard, in milliseconds; longer than it takes to a reachable one. */
const UNREACHABLE_WAIT_MS = 1_500;

/** The same where all instances are heard and some are late, in milliseconds; the users' target for a change is 7 s. */
const LAGGING_WAIT_MS = 5_000;

/** Time between looks at how far a change has spread, in milliseconds. */
const POLL_PERIOD_MS = 50;

/** Version of a data centre in which an instance cannot be heard. */
export const UNREACHABLE_VERSION = -1;

/** Options of the wait. */
export interface PropagationWaitOptions {
  clock: Clock;
  version: number;
  dataCentres: readonly string[];
  /** Lowest version in force by data centre; `UNREACHABLE_VERSION` where one of its instances is not heard. */
  getVersions: () => ReadonlyMap<string, number>;
}

/** Waits until a change is in force everywhere, or nothing more is to be expected soon. */
export async function waitForPropagation(
  options: PropagationWaitOptions,
): Promise<{ inForce: string[]; pending: string[] }> {
  const { clock, version, dataCentres } = options;
  const startMs = clock.now();
  for (;;) {
    const versions = options.getVersions();
    const { inEffect, pending } = computeReach(dataCentres, versions, version);
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
