/** Decides which runner announcements are forwarded to the leader. */

import type { RunnerAnnouncement } from "./runner_announcements.ts";
import { isSameRunner, type RunnerEntry } from "./types.ts";
import type { WorkState } from "./work_state.ts";

/**
 * Tells whether an announcement differs from the recorded entry. Each runner
 * announces itself about once a second, nearly always without a change, so any
 * log member can answer from its own copy of the records. A member with an
 * outdated copy forwards too many announcements but never too few, since its copy
 * only contains recorded entries.
 */
export function hasChanges(
  state: Pick<WorkState, "getRunner">,
  entry: RunnerEntry,
): boolean {
  const recorded = state.getRunner(entry.id);
  return recorded === undefined || !isSameRunner(recorded, entry);
}

/**
 * Tells whether an announcement has to reach the leader. How long a runner remains cold
 * is not recorded, so no other member can tell whether the leader knows it.
 */
export function isForLeader(
  state: Pick<WorkState, "getRunner">,
  { entry, coldMs = 0 }: Pick<RunnerAnnouncement, "entry" | "coldMs">,
): boolean {
  return coldMs > 0 || hasChanges(state, entry);
}
