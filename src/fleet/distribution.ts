/**
 * What to send to a watcher of the configuration: the deltas that it is
 * missing, or the full state. The history is bounded, so a watcher that has
 * missed hundreds of changes costs no more than one full state.
 */

import { encodeDelta, encodeState } from "./state_codec.ts";
import type {
  FleetState,
  UpdateHistory,
  UpdateHistoryOptions,
} from "./types.ts";

/** Deltas kept by default: more than an hour at 19,000 changes a day. */
export const HISTORY_COUNT = 1_000;
/** Bytes of deltas kept by default. */
export const HISTORY_MAX_BYTES = 1_048_576;

/**
 * Age sent with a delta that more deltas follow. The receiver must not take
 * the version in the middle of a batch for the newest one, or it would
 * confirm keys that the rest of the batch withdraws.
 */
export const UNCONFIRMED_AGE_MS = Number.MAX_SAFE_INTEGER;

interface Entry {
  version: number;
  data: Uint8Array;
}

/**
 * Creates the history of the state that `getState` returns. Deltas are added
 * after the state has taken them.
 */
export function createUpdateHistory(
  getState: () => FleetState,
  options: UpdateHistoryOptions = {},
): UpdateHistory {
  const maxCount = options.maxCount ?? HISTORY_COUNT;
  const maxBytes = options.maxBytes ?? HISTORY_MAX_BYTES;
  let entries: Entry[] = [];
  let bytes = 0;
  // Kept until the next change: watchers often reconnect together.
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
        // A single delta is sent without building the full state to compare.
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

/** Returns the data centres that have applied `version` and those that have not, as far as known. */
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
