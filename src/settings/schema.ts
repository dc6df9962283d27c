/**
 * Schema of a settings file. The error message of each rule contains only the
 * allowed range; path and value are added when the fault is reported.
 */

import { isIP } from "node:net";
import { z } from "zod";
import { LOG_LEVELS } from "../common/mod.ts";
import { DEFAULT_SETTINGS, ENDPOINT_CONNECTION_BUDGET } from "./settings.ts";

const MAX_TIME_MS = 86_400_000;
const MAX_BYTES = 67_108_864;

function createInteger(min: number, max: number) {
  const error = `an integer from ${min} to ${max}`;
  return z.int({ error }).min(min, { error }).max(max, { error });
}

function createNumber(min: number, max: number) {
  const error = `a number from ${min} to ${max}`;
  return z.number({ error }).min(min, { error }).max(max, { error });
}

function createChoice<const T extends readonly [string, ...string[]]>(
  choices: T,
) {
  const list = choices.map((choice) => JSON.stringify(choice)).join(", ");
  return z.enum(choices, { error: `one of ${list}` });
}

const FLAG = z.boolean({ error: "true or false" });

// Names must not contain "#", the separator of instance and incarnation, or
// ":", which ends the data centre in a request identifier.
const NAME_RANGE =
  "1 to 63 lower-case letters, digits and hyphens that begin with a letter or digit";
const NAME = z.string({ error: NAME_RANGE })
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, { error: NAME_RANGE });

const HOST_RANGE = "an IPv4 or IPv6 address";
const HOST = z.string({ error: HOST_RANGE })
  .refine((host) => isIP(host) !== 0, { error: HOST_RANGE });

const ADDRESS = z.strictObject({
  host: HOST,
  port: createInteger(1, 65_535),
}, { error: "an object with host and port" });

const ADDRESSES = z.strictObject({
  http: ADDRESS,
  rpc: ADDRESS,
}, { error: "an object with http and rpc" });

const ROLES = {
  scheduler: FLAG.default(DEFAULT_SETTINGS.roles.scheduler),
  voter: FLAG.default(DEFAULT_SETTINGS.roles.voter),
  witnessFor: z.array(NAME, { error: "a list of data centre names" })
    .default(() => [...DEFAULT_SETTINGS.roles.witnessFor]),
};

const INSTANCE_ENTRY = z.strictObject({
  instance: NAME,
  dataCentre: NAME,
  http: ADDRESS,
  rpc: ADDRESS,
  ...ROLES,
}, { error: "an object that describes one instance" });

const INSTANCES_RANGE = "a list of 1 to 1000 instances";
const TOKEN_HASH_RANGE = "64 lower-case hexadecimal digits (a SHA-256)";
const DATA_FOLDER_RANGE = "the path of a folder";
const SECTION = { error: "an object" };

const { requests, tasks, jobs, scheduling, log, stop, tls } = DEFAULT_SETTINGS;

const REQUESTS = z.strictObject({
  maxBodyBytes: createInteger(1, MAX_BYTES).default(requests.maxBodyBytes),
  maxAnswerBytes: createInteger(1, MAX_BYTES).default(requests.maxAnswerBytes),
  recordedAnswerMaxBytes: createInteger(0, MAX_BYTES)
    .default(requests.recordedAnswerMaxBytes),
  defaultDeadlineMs: createInteger(1, MAX_TIME_MS)
    .default(requests.defaultDeadlineMs),
  maxDeadlineMs: createInteger(1, MAX_TIME_MS).default(requests.maxDeadlineMs),
  queueLength: createInteger(1, 1_000_000).default(requests.queueLength),
  grantValidMs: createInteger(10, 60_000).default(requests.grantValidMs),
  connectionsPerEndpoint: createInteger(1, ENDPOINT_CONNECTION_BUDGET)
    .optional(),
  recordRetentionMs: createInteger(1_000, 7 * MAX_TIME_MS)
    .default(requests.recordRetentionMs),
  maxRecords: createInteger(1, 10_000_000).default(requests.maxRecords),
  retryBudgetRatio: createNumber(0, 1).default(requests.retryBudgetRatio),
}, SECTION);

const TASKS = z.strictObject({
  leaseMs: createInteger(100, 3_600_000).default(tasks.leaseMs),
  announcePeriodMs: createInteger(10, 60_000).default(tasks.announcePeriodMs),
}, SECTION);

const JOBS = z.strictObject({
  maxBodyBytes: createInteger(1, MAX_BYTES).default(jobs.maxBodyBytes),
  maxTasks: createInteger(1, 100_000).default(jobs.maxTasks),
}, SECTION);

const SCHEDULING = z.strictObject({
  weights: createChoice(["share", "waiting"]).default(scheduling.weights),
  usageSafetyMargin: createNumber(0, 2).default(scheduling.usageSafetyMargin),
}, SECTION);

const LOG = z.strictObject({
  heartbeatMs: createInteger(5, 10_000).default(log.heartbeatMs),
  electionTimeoutMinMs: createInteger(10, 60_000)
    .default(log.electionTimeoutMinMs),
  electionTimeoutMaxMs: createInteger(10, 60_000)
    .default(log.electionTimeoutMaxMs),
  snapshotLogBytes: createInteger(65_536, 1_073_741_824)
    .default(log.snapshotLogBytes),
}, SECTION);

const STOP = z.strictObject({
  graceMs: createInteger(0, 3_600_000).default(stop.graceMs),
}, SECTION);

const FILE_RANGE = "the path of a PEM file";
const FILE = z.string({ error: FILE_RANGE }).min(1, { error: FILE_RANGE });
const TLS_FILES = { certFile: FILE, keyFile: FILE };

const TLS = z.strictObject({
  rpc: z.strictObject({ ...TLS_FILES, caFile: FILE }, SECTION).optional(),
  http: z.strictObject(TLS_FILES, SECTION).optional(),
  reloadMs: createInteger(100, 3_600_000).default(tls.reloadMs),
}, SECTION);

const OBJECTIVE = z.strictObject({
  target: createNumber(0, 1),
  limit: createNumber(0, MAX_TIME_MS).optional(),
}, SECTION);

const OBJECTIVE_SET = {
  answeredOnTime: OBJECTIVE.optional(),
  answered: OBJECTIVE.optional(),
  waiting: OBJECTIVE.optional(),
  share: OBJECTIVE.optional(),
};

const WORKSPACE_NAME_RANGE = "the name of a workspace";
const OBJECTIVE_WORKSPACES_RANGE = "a list of workspaces with their objectives";

const OBJECTIVES = z.strictObject({
  default: z.strictObject(OBJECTIVE_SET, SECTION).optional(),
  workspaces: z.array(
    z.strictObject({
      workspace: z.string({ error: WORKSPACE_NAME_RANGE })
        .min(1, { error: WORKSPACE_NAME_RANGE }),
      ...OBJECTIVE_SET,
    }, SECTION),
    { error: OBJECTIVE_WORKSPACES_RANGE },
  ).optional(),
}, SECTION);

/** The schema of a settings file. */
export const SETTINGS_SCHEMA = z.strictObject({
  instance: NAME,
  dataCentre: NAME,
  roles: z.strictObject(ROLES, SECTION).prefault({}),
  listen: ADDRESSES,
  advertise: ADDRESSES.optional(),
  dataFolder: z.string({ error: DATA_FOLDER_RANGE })
    .min(1, { error: DATA_FOLDER_RANGE }).optional(),
  instances: z.array(INSTANCE_ENTRY, { error: INSTANCES_RANGE })
    .min(1, { error: INSTANCES_RANGE }).max(1_000, { error: INSTANCES_RANGE }),
  operatorTokenHash: z.string({ error: TOKEN_HASH_RANGE })
    .regex(/^[0-9a-f]{64}$/, { error: TOKEN_HASH_RANGE }).optional(),
  requests: REQUESTS.prefault({}),
  tasks: TASKS.prefault({}),
  jobs: JOBS.prefault({}),
  scheduling: SCHEDULING.prefault({}),
  log: LOG.prefault({}),
  keyStalenessLimitMs: createInteger(0, 7 * MAX_TIME_MS)
    .default(DEFAULT_SETTINGS.keyStalenessLimitMs),
  stop: STOP.prefault({}),
  tls: TLS.prefault({}),
  objectives: OBJECTIVES.optional(),
  logLevel: createChoice(LOG_LEVELS).default(DEFAULT_SETTINGS.logLevel),
}, SECTION);

/** A settings file that matches the schema, with defaults filled in. */
export type ParsedSettings = z.output<typeof SETTINGS_SCHEMA>;

/** The name of a top-level setting. */
export type SettingName = keyof ParsedSettings;
