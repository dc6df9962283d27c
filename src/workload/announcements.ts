/** Which announcements of runners the leader has to hear of. */

import { isSameRunner, type RunnerEntry } from "./types.ts";
import type { WorkState } from "./work_state.ts";

/**
 * Tells whether an announcement says more than what is recorded. Each runner
 * announces itself each second or so and nearly always says the same, so any
 * member of the log can answer by its own copy of the records. A copy that is
 * behind passes on too much and never too little: what it holds was recorded.
 */
export function hasChanges(
  state: Pick<WorkState, "getRunner">,
  entry: RunnerEntry,
): boolean {
  const recorded = state.getRunner(entry.id);
  return recorded === undefined || !isSameRunner(recorded, entry);
}
