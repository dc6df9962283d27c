/**
 * Copy-on-write overlay for a change in progress. Reads fall through to the
 * state; writes are buffered until the whole change is known to be valid. A
 * change that fails halfway leaves the state untouched.
 */

import type { MutableFleetState } from "./state_codec.ts";
import type {
  Division,
  FleetDelta,
  FleetState,
  Key,
  Queue,
  Workspace,
} from "./types.ts";

/** A map with buffered writes; the base map is not changed. */
export interface DraftMap<T> {
  get(name: string): T | undefined;
  set(name: string, value: T): void;
  remove(name: string): void;
  /** Number of entries, with the writes applied. */
  getSize(): number;
  list(): T[];
  listNames(): string[];
  /** Entries written, and names removed that the state contains. */
  getWrites(): { written: [string, T][]; removed: string[] };
}

function createDraftMap<T>(base: ReadonlyMap<string, T>): DraftMap<T> {
  const writes = new Map<string, T | undefined>();
  let size = base.size;

  function get(name: string): T | undefined {
    return writes.has(name) ? writes.get(name) : base.get(name);
  }

  function listNames(): string[] {
    const kept = [...base.keys()].filter((name) => get(name) !== undefined);
    const added = [...writes.keys()].filter((name) =>
      !base.has(name) && get(name) !== undefined
    );
    return [...kept, ...added];
  }

  return {
    get,
    set(name, value) {
      if (get(name) === undefined) size += 1;
      writes.set(name, value);
    },
    remove(name) {
      if (get(name) !== undefined) size -= 1;
      writes.set(name, undefined);
    },
    getSize: () => size,
    list: () => listNames().map((name) => get(name)!),
    listNames,
    getWrites() {
      const written: [string, T][] = [];
      const removed: string[] = [];
      for (const [name, value] of writes) {
        if (value !== undefined) written.push([name, value]);
        else if (base.has(name)) removed.push(name);
      }
      return { written, removed };
    },
  };
}

/** The data centres of a draft. */
export type DraftDataCentres = NonNullable<FleetDelta["dataCentres"]>;

/** A change in progress, with its buffered writes. */
export interface Draft {
  readonly base: FleetState;
  /** Wall time of the command in milliseconds. */
  readonly at: number;
  readonly workspaces: DraftMap<Workspace>;
  readonly keys: DraftMap<Key>;
  readonly queues: DraftMap<Queue>;
  readonly divisions: DraftMap<Division>;
  /** Keys that the change withdrew, by identifier. */
  readonly withdrawnKeys: ReadonlyMap<string, Key>;
  addWithdrawnKey(key: Key): void;
  getDataCentres(): DraftDataCentres;
  setDataCentres(dataCentres: DraftDataCentres): void;
  /** Adds a data centre to the evacuated ones, or removes it; no effect if that is its state already. */
  setEvacuated(name: string, isEvacuated: boolean): void;
  /** Tells whether a key was withdrawn, by this change or an earlier one. */
  isWithdrawn(keyId: string): boolean;
  /** Builds the delta of the next version. */
  buildDelta(): FleetDelta;
}

/** Options of `createDraft`. */
export interface DraftOptions {
  at: number;
  isWithdrawn: (keyId: string) => boolean;
}

function toNonEmpty<T>(values: T[]): T[] | undefined {
  return values.length > 0 ? values : undefined;
}

/** Creates a draft on `state`, which must not change while the draft is used. */
export function createDraft(
  state: MutableFleetState,
  options: DraftOptions,
): Draft {
  const workspaces = createDraftMap<Workspace>(state.workspaces);
  const keys = createDraftMap<Key>(state.keys);
  const queues = createDraftMap<Queue>(state.queues);
  const divisions = createDraftMap<Division>(state.divisions);
  const withdrawnKeys = new Map<string, Key>();
  let dataCentres: DraftDataCentres | undefined;
  let evacuated: readonly string[] | undefined;

  return {
    base: state,
    at: options.at,
    workspaces,
    keys,
    queues,
    divisions,
    withdrawnKeys,
    addWithdrawnKey: (key) => void withdrawnKeys.set(key.id, key),
    getDataCentres: () =>
      dataCentres ?? {
        configured: state.dataCentres,
        leaving: state.leavingDataCentres,
        closed: state.closedDataCentres,
        sets: state.dataCentreSets,
      },
    setDataCentres(value) {
      dataCentres = value;
    },
    setEvacuated(name, isEvacuated) {
      const old = evacuated ?? state.evacuatedDataCentres;
      if (old.includes(name) === isEvacuated) return;
      evacuated = isEvacuated
        ? [...old, name].sort()
        : old.filter((other) => other !== name);
    },
    isWithdrawn: (keyId) =>
      withdrawnKeys.has(keyId) || options.isWithdrawn(keyId),
    buildDelta() {
      const version = state.version + 1;
      const workspaceWrites = workspaces.getWrites();
      const queueWrites = queues.getWrites();
      const divisionWrites = divisions.getWrites();
      const changesLimits = workspaceWrites.removed.length > 0 ||
        workspaceWrites.written.some(([name, workspace]) =>
          state.workspaces.get(name)?.limits !== workspace.limits
        );
      const changesDivision = dataCentres !== undefined || changesLimits ||
        divisionWrites.written.length > 0;
      const entries = {
        workspaces: toNonEmpty(
          workspaceWrites.written.map(([, workspace]) => workspace),
        ),
        removedWorkspaces: toNonEmpty(workspaceWrites.removed),
        keys: toNonEmpty(keys.getWrites().written.map(([, key]) => key)),
        withdrawnKeys: toNonEmpty(keys.getWrites().removed),
        queues: toNonEmpty(queueWrites.written.map(([, queue]) => queue)),
        removedQueues: toNonEmpty(queueWrites.removed),
        divisions: toNonEmpty(divisionWrites.written),
        dataCentres,
        evacuatedDataCentres: evacuated,
        divisionVersion: changesDivision ? version : undefined,
      };
      const present = Object.entries(entries).filter(([, value]) =>
        value !== undefined
      );
      return { version, ...Object.fromEntries(present) };
    },
  };
}
