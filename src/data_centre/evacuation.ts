/**
 * Whether a data centre is evacuated, as its leader has to act on it.
 *
 * A new leader may hold an older copy of the configuration than its
 * predecessor, for example after a restart. It must not start work that the
 * predecessor held back, so the log of the data centre records the evacuation
 * with each applied version, and the later of the two versions counts.
 */

import type { Allotments } from "../allotments/mod.ts";
import type { FleetView } from "../fleet/mod.ts";

/** Returns whether the data centre of `allotments` is evacuated. */
export function isEvacuated(
  view: Pick<FleetView, "getState">,
  allotments: Allotments,
): boolean {
  const { version, evacuatedDataCentres } = view.getState();
  if (version < allotments.getAppliedVersion()) return allotments.isEvacuated();
  return evacuatedDataCentres.includes(allotments.dataCentre);
}
