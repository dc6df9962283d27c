/**
 * Types of the fleet configuration: what operators change, what the voters
 * replicate, and what every instance reads.
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

/** A workspace, its weight when the cell is full, and its upper limit across the fleet. */
export interface Workspace {
  readonly name: string;
  /** Weight above 0. */
  readonly share: number;
  readonly limits: Limits;
}

/** A granted key. The secret itself is never kept. */
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

/** What a queue holds: requests to endpoints, or tasks of one of the three policies. */
export type QueuePolicy = (typeof QUEUE_POLICIES)[number];

/** A queue. */
export interface Queue {
  readonly name: string;
  /** Whether work is accepted without a key. */
  readonly open: boolean;
  readonly policy: QueuePolicy;
}

/** A range of units of a workspace's limits and the data centres that they are divided among. */
export interface DivisionSegment {
  /** Index into `FleetState.dataCentreSets`. */
  readonly set: number;
  /** The highest limits that this segment has covered; the previous segment's tops are its floor. */
  readonly tops: Limits;
}

/** The part of a workspace's limits that a closed data centre had been granted. */
export interface DivisionClosing {
  readonly dataCentre: string;
  /** What it had been granted when it was closed; others hold it since, by transfers. */
  readonly granted: Limits;
  /** Index into `FleetState.dataCentreSets`: who takes its later grants and cuts. */
  readonly heirs: number;
}

/** How a workspace's limits are divided among data centres. See `division.ts` for the rule. */
export interface Division {
  readonly segments: readonly DivisionSegment[];
  readonly closings: readonly DivisionClosing[];
}

/** The configuration that every instance reads. The maps must not be changed by readers. */
export interface FleetState {
  /** Increases by one with each accepted change; 0 before the first. */
  readonly version: number;
  readonly workspaces: ReadonlyMap<string, Workspace>;
  /** Keys in force, by identifier; withdrawn keys are not among them. */
  readonly keys: ReadonlyMap<string, Key>;
  readonly queues: ReadonlyMap<string, Queue>;
  /** Configured data centres, in order of name. */
  readonly dataCentres: readonly string[];
  /** Removed data centres that may still hold a part of a limit. */
  readonly leavingDataCentres: readonly string[];
  /** Data centres that were closed; their names are not used again. */
  readonly closedDataCentres: readonly string[];
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
  | { type: "closeDataCentre"; name: string; appliedVersion: number };

/** A set of operations that is applied as a whole or not at all. */
export interface FleetChange {
  /** Chosen by the sender; a resend with the same identifier gets the first answer. */
  changeId: string;
  /** The change is refused as `versionConflict` when the version differs. */
  expectedVersion?: number | undefined;
  operations: FleetOperation[];
}

/** A change with the wall time at which its proposer received it, in milliseconds. */
export interface FleetCommand {
  readonly at: number;
  readonly change: FleetChange;
}

/** The body of a refusal with the facts that a program may need, such as the current version. */
export interface RejectionBody extends FaultBody {
  details?: Readonly<Record<string, unknown>>;
}

/** The answer to a change. */
export type ChangeAnswer =
  | { readonly accepted: true; readonly version: number }
  | { readonly accepted: false; readonly fault: RejectionBody };

/** What one accepted change altered. */
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
  readonly divisionVersion?: number;
}

/** The replicated configuration; fits the `StateMachine` of the replicated log. */
export interface FleetStateMachine {
  /** Applies an encoded command. A refusal is an answer, never an exception. */
  apply(command: Uint8Array, index: number): ChangeAnswer;
  takeSnapshot(): Uint8Array;
  restoreSnapshot(data: Uint8Array): void;
  /** The current state; valid until the next `apply` or `restoreSnapshot`. */
  getState(): FleetState;
  /** The answer already given to a change identifier, if it is still known. */
  findAnswer(changeId: string): ChangeAnswer | undefined;
  /** The most recent withdrawn keys, oldest first, for operators. */
  getWithdrawnKeys(): readonly Key[];
}

/** Options of `createFleetState`. */
export interface FleetStateOptions {
  /** Number of answers kept for resends. Default `CACHED_ANSWER_COUNT`. */
  answerMemoryCount?: number;
  /** Called after each accepted change, in order of version. */
  handleDelta?: (delta: FleetDelta) => void;
  /** Called after `restoreSnapshot`, when deltas before it are no longer continuous. */
  handleRestore?: (state: FleetState) => void;
}

/** An update as it travels to a watcher; the same fields as `ConfigUpdate` in the proto file. */
export interface ConfigUpdate {
  readonly version: number;
  /** Whether `data` is a whole state, else one delta. */
  readonly snapshot: boolean;
  readonly data: Uint8Array;
  /** Milliseconds since the sender last knew the fleet log to be current. */
  readonly ageMs: number;
}

/** What a view did with an update. */
export type UpdateResult = "applied" | "ignored" | "needsFullState";

/** A withdrawal that was submitted where the fleet log could not be reached. */
export interface LocalWithdrawal {
  readonly keyId: string;
  /** Wall time in milliseconds. */
  readonly at: number;
  /** Version of the fleet log that contains it, once merged. */
  readonly mergedVersion?: number;
}

/** Options of `createFleetView`. */
export interface FleetViewOptions {
  clock: Clock;
  /**
   * How long keys are honoured after the last confirmation, in milliseconds.
   * Default `DEFAULT_KEY_STALENESS_LIMIT_MS`; 0 is the strict setting.
   */
  keyStalenessLimitMs?: number;
  /** Data of `saveState` from before a restart. */
  saved?: Uint8Array;
  /** Called whenever what `saveState` returns has changed. */
  handleChange?: (reason: "update" | "withdrawal") => void;
}

/** The read copy of the configuration in every instance. */
export interface FleetView {
  getVersion(): number;
  getState(): FleetState;
  /**
   * Applies an update. "needsFullState" means that a delta did not follow the
   * own version, or that the data could not be read: ask for the full state.
   */
  applyUpdate(update: ConfigUpdate): UpdateResult;
  /** Records that `version` was the newest one `ageMs` milliseconds ago. */
  confirmVersion(version: number, ageMs: number): void;
  /** Milliseconds since the configuration was last confirmed; infinite before the first time. */
  getAgeMs(): number;
  /**
   * Returns the workspace of a key. Throws `unauthenticated` for a missing, unknown
   * or withdrawn key, and `unavailable` when the configuration is older than
   * the staleness limit.
   */
  checkKey(secret: string | undefined): Workspace;
  /** Withdraws a key here at once. Calling it again has no effect. */
  addLocalWithdrawals(withdrawals: readonly LocalWithdrawal[]): void;
  /** Withdrawals that the own version does not contain yet. */
  getLocalWithdrawals(): readonly LocalWithdrawal[];
  /** Records that the fleet log accepted the withdrawal in `version`. */
  recordMergedWithdrawal(keyId: string, version: number): void;
  /** State and local withdrawals, for the instance's disk. */
  saveState(): Uint8Array;
  /** Calls `callback` after each applied update. Returns a function that ends this. */
  watchVersion(callback: (state: FleetState) => void): () => void;
}

/** Options of `createUpdateHistory`. */
export interface UpdateHistoryOptions {
  /** Deltas kept for watchers that are behind. Default `HISTORY_COUNT`. */
  maxCount?: number;
  /** Bytes of deltas kept. Default `HISTORY_MAX_BYTES`. */
  maxBytes?: number;
}

/** What to send to watchers. */
export interface UpdateHistory {
  /** Adds the delta of the next version. A gap clears the history. */
  addDelta(delta: FleetDelta): void;
  /** Adds an update that was received and applied, so that it can be passed on as it is. */
  addUpdate(update: ConfigUpdate): void;
  /** Forgets all deltas, after the state was replaced as a whole. */
  removeAll(): void;
  /**
   * Returns what a watcher at `version` has to be sent, in order: nothing,
   * the missing deltas, or the full state when that is smaller or the deltas
   * are gone.
   */
  buildUpdates(version: number, ageMs: number): ConfigUpdate[];
  getVersion(): number;
}

/** A secret made on the operator's side. Only `hash` goes into a change. */
export interface KeySecret {
  readonly id: string;
  /** Shown once to the operator; never stored or logged. */
  readonly secret: string;
  readonly hash: string;
}
