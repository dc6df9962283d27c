/**
 * The settings of one instance and their defaults. A setting without a default
 * is either required or described as optional. `docs/settings.md` lists each
 * with its unit and range.
 */

import type { LogLevel } from "../common/mod.ts";
import type { Objective, ObjectiveName } from "../report/objectives.ts";
import type { SchedulingObjective } from "../scheduling/types.ts";

/** An address that a process listens on or is reached at. */
export interface Address {
  /** IPv4 or IPv6 address; names are refused because nothing resolves them. */
  readonly host: string;
  /** TCP port. */
  readonly port: number;
}

/** The two addresses of an instance. */
export interface Addresses {
  /** For callers, endpoints, workers and operators. */
  readonly http: Address;
  /** For other instances. */
  readonly rpc: Address;
}

/** The roles of an instance; each instance is also an entry instance. */
export interface Roles {
  /** Member of the log group of its own data centre. */
  readonly scheduler: boolean;
  /** Member of the fleet log group. */
  readonly voter: boolean;
  /** Data centres in whose log group this instance votes without leading it. */
  readonly witnessFor: readonly string[];
}

/** One instance of the cell, as every other instance knows it. */
export interface InstanceEntry extends Addresses, Roles {
  /** Name that is unique in the cell. */
  readonly instance: string;
  readonly dataCentre: string;
}

/** Handling of callers' requests. */
export interface RequestSettings {
  /** Largest body of a request, in bytes. */
  readonly maxBodyBytes: number;
  /** Largest answer that is passed on, in bytes. */
  readonly maxAnswerBytes: number;
  /** Largest answer that is kept with the record of a non-idempotent request, in bytes. */
  readonly recordedAnswerMaxBytes: number;
  /** Deadline of a request that names none, in milliseconds. */
  readonly defaultDeadlineMs: number;
  /** Longest deadline that a request may name, in milliseconds. */
  readonly maxDeadlineMs: number;
  /** Requests that may wait for a slot in one data centre. */
  readonly queueLength: number;
  /** Time within which a slot grant must be used, in milliseconds. */
  readonly grantValidMs: number;
  /** Connections that this instance may open to one endpoint. */
  readonly connectionsPerEndpoint: number;
  /** Age at which a request record is forgotten, in milliseconds. */
  readonly recordRetentionMs: number;
  /** Request records that one data centre keeps. */
  readonly maxRecords: number;
  /** Retries allowed for each first attempt, as a ratio. */
  readonly retryBudgetRatio: number;
}

/** Tasks on workers. */
export interface TaskSettings {
  /** Lease of a running task, in milliseconds. */
  readonly leaseMs: number;
  /** Expected time between two announcements of a worker or endpoint, in milliseconds. */
  readonly announcePeriodMs: number;
}

/** Decisions of the data centre log leader. */
export interface SchedulingSettings {
  readonly weights: SchedulingObjective;
  /** Reserve on top of reported usage, as a fraction of it. */
  readonly usageSafetyMargin: number;
}

/** Timings of both kinds of replicated log. */
export interface LogSettings {
  /** Time between two heartbeats of a leader, in milliseconds. */
  readonly heartbeatMs: number;
  /** Shortest election timeout, in milliseconds. */
  readonly electionTimeoutMinMs: number;
  /** Longest election timeout, in milliseconds. */
  readonly electionTimeoutMaxMs: number;
  /** Bytes of log after which a snapshot is taken. */
  readonly snapshotLogBytes: number;
}

/** Paths of PEM files; relative ones start at the folder of the settings file. */
export interface TlsFiles {
  /** Certificate, followed by those of intermediate authorities if there are any. */
  readonly certFile: string;
  /** Private key of the certificate. */
  readonly keyFile: string;
  /** Certificates of the authorities whose peers are accepted. */
  readonly caFile?: string | undefined;
}

/** TLS on the listeners; a listener without files takes plain connections. */
export interface TlsSettings {
  /** Mutual TLS between instances. */
  readonly rpc?: (TlsFiles & { readonly caFile: string }) | undefined;
  /** TLS for callers, endpoints, workers and operators. */
  readonly http?: TlsFiles | undefined;
  /** Time between looks at the files, in milliseconds. */
  readonly reloadMs: number;
}

/** A planned stop. */
export interface StopSettings {
  /** Time that running requests get to finish, in milliseconds. */
  readonly graceMs: number;
}

/** Service-level objectives by name; see `docs/burn_report.md`. */
export type ObjectiveSetSettings = Readonly<
  { [Name in ObjectiveName]?: Objective | undefined }
>;

/** Objectives of one workspace. */
export interface WorkspaceObjectiveSettings extends ObjectiveSetSettings {
  readonly workspace: string;
}

/** Service-level objectives of all workspaces. */
export interface ObjectiveSettings {
  readonly default?: ObjectiveSetSettings | undefined;
  /** Deviations by workspace. */
  readonly workspaces?: readonly WorkspaceObjectiveSettings[] | undefined;
}

/** The complete settings of one instance. */
export interface Settings {
  readonly instance: string;
  readonly dataCentre: string;
  readonly roles: Roles;
  readonly listen: Addresses;
  /** Where other parties reach this instance; the listen addresses by default. */
  readonly advertise: Addresses;
  /** Folder of all durable files; absent on an instance without a disk. */
  readonly dataFolder?: string | undefined;
  /** Every instance of the cell, this one included. */
  readonly instances: readonly InstanceEntry[];
  /** SHA-256 of the operators' token in lower-case hexadecimal digits. */
  readonly operatorTokenHash?: string | undefined;
  readonly requests: RequestSettings;
  readonly tasks: TaskSettings;
  readonly scheduling: SchedulingSettings;
  readonly log: LogSettings;
  /** How long keys are honoured without contact to the fleet log, in milliseconds; 0 is strict. */
  readonly keyStalenessLimitMs: number;
  readonly stop: StopSettings;
  readonly tls: TlsSettings;
  /** Service-level objectives that differ from the defaults. */
  readonly objectives?: ObjectiveSettings | undefined;
  readonly logLevel: LogLevel;
}

/** The settings that have a fixed default. */
export interface DefaultSettings extends
  Pick<
    Settings,
    | "roles"
    | "tasks"
    | "scheduling"
    | "log"
    | "keyStalenessLimitMs"
    | "stop"
    | "logLevel"
  > {
  /** `connectionsPerEndpoint` is computed from the number of instances. */
  readonly requests: Omit<RequestSettings, "connectionsPerEndpoint">;
  /** Without files, so that listeners take plain connections. */
  readonly tls: Pick<TlsSettings, "reloadMs">;
}

/** Freezes `value` and everything that it holds. */
export function toFrozen<T>(value: T): T {
  if (typeof value !== "object" || value === null) return value;
  for (const part of Object.values(value)) toFrozen(part);
  return Object.freeze(value);
}

/** The default of every setting that has a fixed one. */
export const DEFAULT_SETTINGS: DefaultSettings = toFrozen({
  roles: { scheduler: true, voter: false, witnessFor: [] },
  requests: {
    maxBodyBytes: 1_048_576,
    maxAnswerBytes: 4_194_304,
    // Each scheduler instance keeps maxRecords answers in memory.
    recordedAnswerMaxBytes: 16_384,
    defaultDeadlineMs: 10_000,
    maxDeadlineMs: 300_000,
    queueLength: 1_000,
    // A new leader grants nothing for this long after a takeover.
    grantValidMs: 1_000,
    recordRetentionMs: 3_600_000,
    maxRecords: 100_000,
    retryBudgetRatio: 0.1,
  },
  tasks: { leaseMs: 10_000, announcePeriodMs: 1_000 },
  scheduling: { weights: "share", usageSafetyMargin: 0.1 },
  log: {
    heartbeatMs: 100,
    electionTimeoutMinMs: 500,
    electionTimeoutMaxMs: 1_000,
    snapshotLogBytes: 8_388_608,
  },
  keyStalenessLimitMs: 3_600_000,
  stop: { graceMs: 30_000 },
  tls: { reloadMs: 10_000 },
  logLevel: "info",
});

/** Connections that one endpoint accepts from all instances together. */
export const ENDPOINT_CONNECTION_BUDGET = 60;

/** Computes one instance's part of the connection budget of an endpoint. */
export function computeConnectionsPerEndpoint(instanceCount: number): number {
  return Math.floor(ENDPOINT_CONNECTION_BUDGET / instanceCount);
}
