/**
 * The read-only copy of the configuration in every instance. Its version never
 * decreases. It checks keys, and keeps withdrawals that were submitted while
 * the fleet log was unreachable.
 */

import { Buffer } from "node:buffer";
import { z } from "zod";
import { createFault } from "../common/mod.ts";
import { UNCONFIRMED_AGE_MS } from "./distribution.ts";
import { findSecretKeyId, isSecretOfHash } from "./key_secret.ts";
import {
  applyDelta,
  createEmptyState,
  decodeDelta,
  decodeJson,
  decodeState,
  readState,
  stateRowsSchema,
  toStateRows,
} from "./state_codec.ts";
import type {
  ConfigUpdate,
  FleetState,
  FleetView,
  FleetViewOptions,
  LocalWithdrawal,
  UpdateResult,
  Workspace,
} from "./types.ts";

/** Default time for which keys are accepted without a confirmation, as stated on the design page. */
export const DEFAULT_KEY_STALENESS_LIMIT_MS = 3_600_000;
/**
 * Age up to which a configuration counts as confirmed. Confirmations arrive
 * about once a second, so the strict setting (limit 0) must tolerate a few
 * lost ones. The value is well below the 7 s within which a change must take
 * effect.
 */
export const KEY_CONFIRMATION_GRACE_MS = 3_000;
/** Number of local withdrawals kept while the fleet log is unreachable; equals the maximum number of keys. */
export const MAX_LOCAL_WITHDRAWALS = 100_000;

const savedSchema = z.strictObject({
  state: stateRowsSchema,
  // Wall time; null before the first confirmation.
  confirmedAt: z.number().nullable(),
  withdrawals: z.array(z.strictObject({
    keyId: z.string(),
    at: z.number(),
    mergedVersion: z.int().optional(),
  })),
});

/** Creates a view, empty or from saved data. Throws `badRequest` when the saved data cannot be read. */
export function createFleetView(options: FleetViewOptions): FleetView {
  const { clock } = options;
  const stalenessLimitMs = options.keyStalenessLimitMs ??
    DEFAULT_KEY_STALENESS_LIMIT_MS;
  const withdrawals = new Map<string, LocalWithdrawal>();
  const watchers = new Set<(state: FleetState) => void>();
  let state = createEmptyState();
  let confirmedAtMs = -Infinity;

  function restore(data: Uint8Array): void {
    const saved = decodeJson(data, savedSchema, "saved configuration");
    state = readState(saved.state);
    for (const { keyId, at, mergedVersion } of saved.withdrawals) {
      const merged = mergedVersion === undefined ? {} : { mergedVersion };
      withdrawals.set(keyId, { keyId, at, ...merged });
    }
    if (saved.confirmedAt === null) return;
    const ageMs = clock.wallTime() - saved.confirmedAt;
    // A negative age means that the wall clock was set back: the age is unknown.
    if (ageMs >= 0) confirmedAtMs = clock.now() - ageMs;
  }

  if (options.saved !== undefined) restore(options.saved);

  function confirm(ageMs: number): void {
    if (ageMs >= UNCONFIRMED_AGE_MS) return;
    confirmedAtMs = Math.max(confirmedAtMs, clock.now() - Math.max(0, ageMs));
  }

  function isMerged(withdrawal: LocalWithdrawal, wasKnown: boolean): boolean {
    const { keyId, mergedVersion } = withdrawal;
    if (mergedVersion !== undefined && mergedVersion <= state.version) {
      return true;
    }
    // Withdrawn by another change. A removed key never comes back.
    return wasKnown && !state.keys.has(keyId);
  }

  function applyNew(update: ConfigUpdate): boolean {
    const knownIds = new Set(
      [...withdrawals.keys()].filter((keyId) => state.keys.has(keyId)),
    );
    if (update.snapshot) {
      const next = decodeState(update.data);
      if (next.version !== update.version) return false;
      state = next;
    } else {
      const delta = decodeDelta(update.data);
      if (delta.version !== update.version) return false;
      applyDelta(state, delta);
    }
    for (const withdrawal of [...withdrawals.values()]) {
      const { keyId } = withdrawal;
      if (isMerged(withdrawal, knownIds.has(keyId))) withdrawals.delete(keyId);
    }
    return true;
  }

  function applyUpdate(update: ConfigUpdate): UpdateResult {
    if (update.version < state.version) return "ignored";
    if (update.version === state.version) {
      confirm(update.ageMs);
      return "ignored";
    }
    if (!update.snapshot && update.version !== state.version + 1) {
      return "needsFullState";
    }
    try {
      if (!applyNew(update)) return "needsFullState";
    } catch {
      // Unreadable data: the full state replaces it.
      return "needsFullState";
    }
    confirm(update.ageMs);
    options.handleChange?.("update");
    for (const watcher of [...watchers]) watcher(state);
    return "applied";
  }

  function checkKey(secret: string | undefined): Workspace {
    const keyId = secret === undefined ? undefined : findSecretKeyId(secret);
    const key = keyId === undefined ? undefined : state.keys.get(keyId);
    const isKnown = isSecretOfHash(secret ?? "", key?.hash);
    const workspace = key === undefined
      ? undefined
      : state.workspaces.get(key.workspace);
    if (!isKnown || workspace === undefined || withdrawals.has(keyId!)) {
      const message = secret === undefined
        ? "Cannot accept work without a key"
        : "Cannot accept work: the key is unknown or withdrawn";
      throw createFault("unauthenticated", message);
    }
    const ageMs = clock.now() - confirmedAtMs;
    if (ageMs > stalenessLimitMs + KEY_CONFIRMATION_GRACE_MS) {
      throw createFault(
        "unavailable",
        `Cannot check keys: last confirmation of the configuration: ${
          Number.isFinite(ageMs) ? `${Math.round(ageMs)} ms ago` : "never"
        }; limit: ${stalenessLimitMs} ms`,
      );
    }
    return workspace;
  }

  return {
    getVersion: () => state.version,
    getState: () => state,
    applyUpdate,
    confirmVersion(version, ageMs) {
      if (version === state.version) confirm(ageMs);
    },
    getAgeMs: () => clock.now() - confirmedAtMs,
    checkKey,
    addLocalWithdrawals(added) {
      const missing = added.filter(({ keyId }) => !withdrawals.has(keyId));
      if (withdrawals.size + missing.length > MAX_LOCAL_WITHDRAWALS) {
        throw createFault(
          "limitReached",
          `Cannot withdraw key: ${withdrawals.size} withdrawals are waiting to be merged`,
        );
      }
      for (const withdrawal of missing) {
        withdrawals.set(withdrawal.keyId, withdrawal);
      }
      if (missing.length > 0) options.handleChange?.("withdrawal");
    },
    getLocalWithdrawals: () => [...withdrawals.values()],
    recordMergedWithdrawal(keyId, version) {
      const withdrawal = withdrawals.get(keyId);
      if (withdrawal === undefined) return;
      if (version <= state.version) withdrawals.delete(keyId);
      else withdrawals.set(keyId, { ...withdrawal, mergedVersion: version });
      options.handleChange?.("withdrawal");
    },
    saveState: () =>
      Buffer.from(JSON.stringify({
        state: toStateRows(state),
        confirmedAt: Number.isFinite(confirmedAtMs)
          ? clock.wallTime() - (clock.now() - confirmedAtMs)
          : null,
        withdrawals: [...withdrawals.values()],
      })),
    watchVersion(callback) {
      watchers.add(callback);
      return () => void watchers.delete(callback);
    },
  };
}
