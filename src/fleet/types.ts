/**
 * Types of the fleet configuration: the changes of operators, the state that
 * voters replicate, and the view that every instance reads.
 */

import type { Clock, FaultBody } from "../common/mod.ts";

/** The names of a workspace's limits. */
export const LIMIT_NAMES = Object.freeze(
  ["slots", "processors", "memoryMb", "accelerators"] as const,
);

/** The name of one limit. */
export type LimitName = (typeof LIMIT_NAMES)[number];

/**
 * An amount of each limited quantity. `slots` counts running requests; the
 * others bound running tasks: thousandths of a core, mebibytes and whole
 * accelerators. All are integers.
 */
export type Limits = Readonly<Record<LimitName, number>>;

/** A workspace. */
export interface Workspace {
  readonly name: string;
  /** Weight above 0; applies when the cell is at full capacity. */
  readonly share: number;
  /** Upper limits across the fleet. */
  readonly limits: Limits;
}

/** A granted key. The secret itself is never stored. */
export interface Key {
  readonly id: string;
  readonly workspace: string;
  /** SHA-256 of the secret, in lower-case hex. */
  readonly hash: string;
  /** Wall time in milliseconds. */
  readonly grantedAt: number;
  /** Wall time in milliseconds; present once the key is withdrawn. */
  readonly withdrawnAt?: number;
}

/** The scheduling policies of a queue. */
export const QUEUE_POLICIES = Object.freeze(
  ["requests", "services", "batch", "gang"] as const,
);

/** The policy of a queue: `requests` for requests to endpoints, the others for tasks. */
export type QueuePolicy = (typeof QUEUE_POLICIES)[number];

/** A queue. */
export interface Queue {
  readonly name: string;
  /** Whether work is accepted without a key. */
  readonly open: boolean;
  readonly policy: QueuePolicy;
}

/** A range of units of a workspace's limits and the set of data centres among which they are divided. */
export interface DivisionSegment {
  /** Index into `FleetState.dataCentreSets`. */
  readonly set: number;
  /** Upper bounds of the range; its lower bounds are the tops of the previous segment. */
  readonly tops: Limits;
}

/** The amount of a workspace's limits that was granted to a data centre when it was closed. */
export interface DivisionClosing {
  readonly dataCentre: string;
  /** The frozen amount. Other data centres hold it now, by transfers. */
  readonly granted: Limits;
  /** Index into `FleetState.dataCentreSets`: the data centres that get its later grants and cuts. */
  readonly heirs: number;
}

/** The division of a workspace's limits among data centres; `division.ts` has the rules. */
export interface Division {
  readonly segments: readonly DivisionSegment[];
  readonly closings: readonly DivisionClosing[];
}

/** The configuration that every instance reads. Readers must not modify the maps. */
export interface FleetState {
  /** Increases by one with each accepted change; 0 before the first. */
  readonly version: number;
  readonly workspaces: ReadonlyMap<string, Workspace>;
  /** Keys in force by identifier, without withdrawn keys. */
  readonly keys: ReadonlyMap<string, Key>;
  readonly queues: ReadonlyMap<string, Queue>;
  /** Configured data centres, sorted by name. */
  readonly dataCentres: readonly string[];
  /** Removed data centres that may still hold a part of a limit. */
  readonly leavingDataCentres: readonly string[];
  /** Closed data centres; their names cannot be reused. */
  readonly closedDataCentres: readonly string[];
  /** Data centres where nothing new starts, sorted by name; each is configured or leaving. */
  readonly evacuatedDataCentres: readonly string[];
  readonly dataCentreSets: readonly (readonly string[])[];
  /** Divisions by workspace, including those of removed workspaces. */
  readonly divisions: ReadonlyMap<string, Division>;
  /** The version that last changed a limit or the data centres. */
  readonly divisionVersion: number;
}

/** One operation of a change. */
export type FleetOperation =
  | { type: "createWorkspace"; name: string; share: number; limits: Limits }
  | {
    type: "updateWorkspace";
    name: string;
    share?: number | undefined;
    limits?: Partial<Limits> | undefined;
  }
  | { type: "removeWorkspace"; name: string }
  | { type: "grantKey"; id: string; workspace: string; hash: string }
  | { type: "withdrawKey"; id: string }
  | {
    type: "createQueue";
    name: string;
    open: boolean;
    policy: QueuePolicy;
  }
  | {
    type: "updateQueue";
    name: string;
    open?: boolean | undefined;
    policy?: QueuePolicy | undefined;
  }
  | { type: "removeQueue"; name: string }
  | { type: "setDataCentres"; names: string[] }
  | { type: "closeDataCentre"; name: string; appliedVersion: number }
  | { type: "evacuateDataCentre"; name: string }
  | { type: "readmitDataCentre"; name: string };

/** A list of operations that is applied atomically. */
export interface FleetChange {
  /** Chosen by the sender; a retry with the same identifier gets the first answer. */
  changeId: string;
  /** The change is rejected as `versionConflict` when the version differs. */
  expectedVersion?: number | undefined;
  operations: FleetOperation[];
}

/** A change, and the wall time in milliseconds at which its proposer received it. */
export interface FleetCommand {
  readonly at: number;
  readonly change: FleetChange;
}

/** The body of a rejection, with details for programs such as the current version. */
export interface RejectionBody extends FaultBody {
  details?: Readonly<Record<string, unknown>>;
}

/** The answer to a change. */
export type ChangeAnswer =
  | { readonly accepted: true; readonly version: number }
  | { readonly accepted: false; readonly fault: RejectionBody };

/** The difference that one accepted change made to the state. */
export interface FleetDelta {
  readonly version: number;
  readonly workspaces?: readonly Workspace[];
  readonly removedWorkspaces?: readonly string[];
  readonly keys?: readonly Key[];
  readonly withdrawnKeys?: readonly string[];
  readonly queues?: readonly Queue[];
  readonly removedQueues?: readonly string[];
  readonly divisions?: readonly (readonly [string, Division])[];
  readonly dataCentres?: {
    readonly configured: readonly string[];
    readonly leaving: readonly string[];
    readonly closed: readonly string[];
    readonly sets: readonly (readonly string[])[];
  };
  /** All evacuated data centres; present if the change has altered them. */
  readonly evacuatedDataCentres?: readonly string[];
  readonly divisionVersion?: number;
}

/** The state machine of the fleet log; implements `StateMachine` of the replicated log. */
export interface FleetStateMachine {
  /** Applies an encoded command. A rejection is returned, never thrown. */
  apply(command: Uint8Array, index: number): ChangeAnswer;
  takeSnapshot(): Uint8Array;
  restoreSnapshot(data: Uint8Array): void;
  /** Returns the current state; valid until the next `apply` or `restoreSnapshot`. */
  getState(): FleetState;
  /** Returns the earlier answer to a change identifier, if it is still cached. */
  findAnswer(changeId: string): ChangeAnswer | undefined;
  /** Returns the most recently withdrawn keys, oldest first, for operators. */
  getWithdrawnKeys(): readonly Key[];
}

/** Options of `createFleetState`. */
export interface FleetStateOptions {
  /** Number of answers kept for retries. Default `CACHED_ANSWER_COUNT`. */
  answerMemoryCount?: number;
  /** Called after each accepted change, in order of version. */
  handleDelta?: (delta: FleetDelta) => void;
  /** Called after `restoreSnapshot`, since later deltas do not follow the earlier ones. */
  handleRestore?: (state: FleetState) => void;
}

/** An update for a watcher; the same fields as `ConfigUpdate` in the proto file. */
export interface ConfigUpdate {
  readonly version: number;
  /** Whether `data` is a full state; otherwise it is one delta. */
  readonly snapshot: boolean;
  readonly data: Uint8Array;
  /** Milliseconds since the sender last knew the fleet log to be current. */
  readonly ageMs: number;
}

/** The result of applying an update to a view. */
export type UpdateResult = "applied" | "ignored" | "needsFullState";

/** A withdrawal that was submitted while the fleet log was unreachable. */
export interface LocalWithdrawal {
  readonly keyId: string;
  /** Wall time in milliseconds. */
  readonly at: number;
  /** Version that contains the withdrawal; present once it is merged. */
  readonly mergedVersion?: number;
}

/** Options of `createFleetView`. */
export interface FleetViewOptions {
  clock: Clock;
  /**
   * How long keys are accepted after the last confirmation, in milliseconds.
   * Default `DEFAULT_KEY_STALENESS_LIMIT_MS`; 0 is the strict setting.
   */
  keyStalenessLimitMs?: number;
  /** Data that `saveState` returned before a restart. */
  saved?: Uint8Array;
  /** Called after each change that must be saved with `saveState`. */
  handleChange?: (reason: "update" | "withdrawal") => void;
}

/** The read-only copy of the configuration in every instance. */
export interface FleetView {
  getVersion(): number;
  getState(): FleetState;
  /**
   * Applies an update. Returns "needsFullState" when a delta does not follow
   * the current version or the data cannot be read; the caller must then
   * request the full state.
   */
  applyUpdate(update: ConfigUpdate): UpdateResult;
  /** Records that `version` was the newest one `ageMs` milliseconds ago. */
  confirmVersion(version: number, ageMs: number): void;
  /** Returns the milliseconds since the last confirmation; infinite before the first. */
  getAgeMs(): number;
  /**
   * Returns the workspace of a key. Throws `unauthenticated` for a missing, unknown
   * or withdrawn key, and `unavailable` when the configuration is older than
   * the staleness limit.
   */
  checkKey(secret: string | undefined): Workspace;
  /**
   * Withdraws keys in this view at once. Idempotent. Throws `limitReached`
   * when too many withdrawals are waiting to be merged.
   */
  addLocalWithdrawals(withdrawals: readonly LocalWithdrawal[]): void;
  /** Returns the withdrawals that the current version does not contain yet. */
  getLocalWithdrawals(): readonly LocalWithdrawal[];
  /** Records that the fleet log accepted the withdrawal in `version`. */
  recordMergedWithdrawal(keyId: string, version: number): void;
  /** Encodes the state and the local withdrawals for the disk of the instance. */
  saveState(): Uint8Array;
  /** Calls `callback` after each applied update. Returns a function that removes the watcher. */
  watchVersion(callback: (state: FleetState) => void): () => void;
}

/** Options of `createUpdateHistory`. */
export interface UpdateHistoryOptions {
  /** Number of deltas kept for watchers that are behind. Default `HISTORY_COUNT`. */
  maxCount?: number;
  /** Size limit of the kept deltas, in bytes. Default `HISTORY_MAX_BYTES`. */
  maxBytes?: number;
}

/** The recent updates, kept for watchers that are behind. */
export interface UpdateHistory {
  /** Adds the delta of the next version. A gap clears the history. */
  addDelta(delta: FleetDelta): void;
  /** Adds an update that was received and applied, so that it can be forwarded unchanged. */
  addUpdate(update: ConfigUpdate): void;
  /** Removes all deltas; call it after the state was replaced. */
  removeAll(): void;
  /**
   * Returns the updates for a watcher at `version`, in order: none, the
   * missing deltas, or the full state when it is smaller or the deltas are no
   * longer kept.
   */
  buildUpdates(version: number, ageMs: number): ConfigUpdate[];
  getVersion(): number;
}

/** A secret generated on the operator's machine. Only `hash` is sent in a change. */
export interface KeySecret {
  readonly id: string;
  /** Shown once to the operator; never stored or logged. */
  readonly secret: string;
  readonly hash: string;
}
