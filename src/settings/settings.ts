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
  /** IPv4 or IPv6 address; host names are rejected, since they are not resolved. */
  readonly host: string;
  /** TCP port. */
  readonly port: number;
}

/** The two addresses of an instance. */
export interface Addresses {
  /** Used by callers, endpoints, workers and operators. */
  readonly http: Address;
  /** Used by other instances. */
  readonly rpc: Address;
}

/** The roles of an instance; each instance is also an entry instance. */
export interface Roles {
  /** Member of the log group of its own data centre. */
  readonly scheduler: boolean;
  /** Member of the fleet log group. */
  readonly voter: boolean;
  /** Data centres in whose log group this instance votes but cannot become leader. */
  readonly witnessFor: readonly string[];
}

/** One instance of the cell, as listed in the settings of every instance. */
export interface InstanceEntry extends Addresses, Roles {
  /** Name of the instance, unique in the cell. */
  readonly instance: string;
  readonly dataCentre: string;
}

/** Handling of callers' requests. */
export interface RequestSettings {
  /** Largest body of a request, in bytes. */
  readonly maxBodyBytes: number;
  /** Largest answer that is forwarded, in bytes. */
  readonly maxAnswerBytes: number;
  /** Largest answer that is stored in the record of a non-idempotent request, in bytes. */
  readonly recordedAnswerMaxBytes: number;
  /** Deadline of a request without a deadline of its own, in milliseconds. */
  readonly defaultDeadlineMs: number;
  /** Longest deadline that a request may set, in milliseconds. */
  readonly maxDeadlineMs: number;
  /** Maximum number of requests that wait for a slot in one data centre. */
  readonly queueLength: number;
  /** Time after which an unused slot grant expires, in milliseconds. */
  readonly grantValidMs: number;
  /** Maximum number of connections from this instance to one endpoint. */
  readonly connectionsPerEndpoint: number;
  /** Age at which a request record is deleted, in milliseconds. */
  readonly recordRetentionMs: number;
  /** Maximum number of request records in one data centre. */
  readonly maxRecords: number;
  /** Retry budget, as a ratio of retries to first attempts. */
  readonly retryBudgetRatio: number;
}

/** Tasks on workers. */
export interface TaskSettings {
  /** Lease of a running task, in milliseconds. */
  readonly leaseMs: number;
  /** Expected time between two announcements of a worker or endpoint, in milliseconds. */
  readonly announcePeriodMs: number;
}

/** Limits of one job. */
export interface JobSettings {
  /** Maximum size of a submitted job, in bytes. */
  readonly maxBodyBytes: number;
  /** Maximum number of tasks of a job. */
  readonly maxTasks: number;
}

/** Scheduling decisions of the data centre log leader. */
export interface SchedulingSettings {
  readonly weights: SchedulingObjective;
  /** Safety margin added to reported usage, as a fraction of the usage. */
  readonly usageSafetyMargin: number;
}

/** Timings and snapshots of both kinds of replicated log. */
export interface LogSettings {
  /** Time between two heartbeats of a leader, in milliseconds. */
  readonly heartbeatMs: number;
  /** Shortest election timeout, in milliseconds. */
  readonly electionTimeoutMinMs: number;
  /** Longest election timeout, in milliseconds. */
  readonly electionTimeoutMaxMs: number;
  /** Size of the log at which a snapshot is taken, in bytes. */
  readonly snapshotLogBytes: number;
}

/** Paths of PEM files; relative paths are resolved against the folder of the settings file. */
export interface TlsFiles {
  /** Certificate, followed by any intermediate certificates. */
  readonly certFile: string;
  /** Private key of the certificate. */
  readonly keyFile: string;
  /** Certificates of the authorities that are trusted for peer certificates. */
  readonly caFile?: string | undefined;
}

/** TLS on the listeners; a listener without files accepts plaintext connections. */
export interface TlsSettings {
  /** Mutual TLS between instances. */
  readonly rpc?: (TlsFiles & { readonly caFile: string }) | undefined;
  /** TLS for callers, endpoints, workers and operators. */
  readonly http?: TlsFiles | undefined;
  /** Interval at which the files are checked for changes, in milliseconds. */
  readonly reloadMs: number;
}

/** Graceful shutdown. */
export interface StopSettings {
  /** Time allowed for running requests to finish, in milliseconds. */
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
  /** Overrides of the defaults, by workspace. */
  readonly workspaces?: readonly WorkspaceObjectiveSettings[] | undefined;
}

/** The complete settings of one instance. */
export interface Settings {
  readonly instance: string;
  readonly dataCentre: string;
  readonly roles: Roles;
  readonly listen: Addresses;
  /** Addresses at which others reach this instance; the listen addresses by default. */
  readonly advertise: Addresses;
  /** Folder of all persistent files; absent on an instance without a disk. */
  readonly dataFolder?: string | undefined;
  /** Every instance of the cell, this one included. */
  readonly instances: readonly InstanceEntry[];
  /** SHA-256 of the operators' token in lower-case hexadecimal digits. */
  readonly operatorTokenHash?: string | undefined;
  readonly requests: RequestSettings;
  readonly tasks: TaskSettings;
  readonly jobs: JobSettings;
  readonly scheduling: SchedulingSettings;
  readonly log: LogSettings;
  /** How long keys are accepted without contact to the fleet log, in milliseconds; 0 is the strict setting. */
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
    | "jobs"
    | "scheduling"
    | "log"
    | "keyStalenessLimitMs"
    | "stop"
    | "logLevel"
  > {
  /** `connectionsPerEndpoint` is computed from the number of instances. */
  readonly requests: Omit<RequestSettings, "connectionsPerEndpoint">;
  /** No files by default, so listeners accept plaintext connections. */
  readonly tls: Pick<TlsSettings, "reloadMs">;
}

/** Freezes `value` deeply, in place, and returns it. */
export function toFrozen<T>(value: T): T {
  if (typeof value !== "object" || value === null) return value;
  for (const part of Object.values(value)) toFrozen(part);
  return Object.freeze(value);
}

/** The fixed defaults. */
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
    // Also the time for which a new leader grants nothing after a failover.
    grantValidMs: 1_000,
    recordRetentionMs: 3_600_000,
    maxRecords: 100_000,
    retryBudgetRatio: 0.1,
  },
  tasks: { leaseMs: 10_000, announcePeriodMs: 1_000 },
  jobs: { maxBodyBytes: 1_048_576, maxTasks: 10_000 },
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

/** Maximum number of connections to one endpoint from all instances together. */
export const ENDPOINT_CONNECTION_BUDGET = 60;

/** Computes the part of one instance in the connection budget of an endpoint. */
export function computeConnectionsPerEndpoint(instanceCount: number): number {
  return Math.floor(ENDPOINT_CONNECTION_BUDGET / instanceCount);
}
