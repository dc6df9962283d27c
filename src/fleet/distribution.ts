/**
 * Selects the updates to send to a watcher of the configuration: the deltas it
 * has missed, or the full state. The history is bounded, so a watcher that is
 * hundreds of changes behind costs no more than one full state.
 */

import { encodeDelta, encodeState } from "./state_codec.ts";
import type {
  FleetState,
  UpdateHistory,
  UpdateHistoryOptions,
} from "./types.ts";

/** Default number of deltas kept; more than an hour at 19,000 changes a day. */
export const HISTORY_COUNT = 1_000;
/** Default size limit of the kept deltas, in bytes. */
export const HISTORY_MAX_BYTES = 1_048_576;

/**
 * Age in milliseconds sent with every delta of a batch but the last. A
 * receiver that took a version inside the batch for the newest one would
 * accept keys that the rest of the batch withdraws.
 */
export const UNCONFIRMED_AGE_MS = Number.MAX_SAFE_INTEGER;

interface Entry {
  version: number;
  data: Uint8Array;
}

/**
 * Creates the update history of the state that `getState` returns. Add a delta
 * only after it was applied to the state.
 */
export function createUpdateHistory(
  getState: () => FleetState,
  options: UpdateHistoryOptions = {},
): UpdateHistory {
  const maxCount = options.maxCount ?? HISTORY_COUNT;
  const maxBytes = options.maxBytes ?? HISTORY_MAX_BYTES;
  let entries: Entry[] = [];
  let bytes = 0;
  // Cached until the next change, since many watchers often reconnect at once.
  let full: Entry | undefined;

  function removeAll(): void {
    entries = [];
    bytes = 0;
    full = undefined;
  }

  function add(entry: Entry): void {
    const last = entries.at(-1);
    if (last !== undefined && entry.version !== last.version + 1) removeAll();
    full = undefined;
    entries.push(entry);
    bytes += entry.data.length;
    while (entries.length > maxCount || bytes > maxBytes) {
      bytes -= entries.shift()!.data.length;
    }
  }

  function getFull(): Entry {
    const state = getState();
    if (full?.version !== state.version) {
      full = { version: state.version, data: encodeState(state) };
    }
    return full;
  }

  function findDeltas(version: number): Entry[] | undefined {
    const first = entries[0];
    const last = entries.at(-1);
    if (first === undefined || last?.version !== getState().version) return;
    if (version + 1 < first.version) return;
    return entries.slice(version + 1 - first.version);
  }

  return {
    addDelta: (delta) =>
      add({ version: delta.version, data: encodeDelta(delta) }),
    addUpdate(update) {
      if (update.snapshot) removeAll();
      else add({ version: update.version, data: update.data });
    },
    removeAll,
    getVersion: () => getState().version,
    buildUpdates(version, ageMs) {
      const newest = getState().version;
      if (version >= newest) return [];
      const deltas = findDeltas(version);
      if (deltas !== undefined) {
        const size = deltas.reduce((sum, entry) => sum + entry.data.length, 0);
        // A single delta is sent without encoding the full state to compare sizes.
        if (deltas.length === 1 || size < getFull().data.length) {
          return deltas.map((entry) => ({
            version: entry.version,
            snapshot: false,
            data: entry.data,
            ageMs: entry.version === newest ? ageMs : UNCONFIRMED_AGE_MS,
          }));
        }
      }
      const { data } = getFull();
      return [{ version: newest, snapshot: true, data, ageMs }];
    },
  };
}

/** Splits data centres by whether they are known to have applied `version`. */
export function computeRolloutStatus(
  dataCentres: readonly string[],
  appliedVersions: ReadonlyMap<string, number>,
  version: number,
): { inEffect: string[]; pending: string[] } {
  const isInEffect = (name: string) =>
    (appliedVersions.get(name) ?? -1) >= version;
  return {
    inEffect: dataCentres.filter(isInEffect),
    pending: dataCentres.filter((name) => !isInEffect(name)),
  };
}
