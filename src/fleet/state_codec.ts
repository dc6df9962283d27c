/**
 * Encoding of states and deltas as JSON with positional rows. Without field
 * names, the full state of 890 workspaces is small enough for one update.
 */

import { Buffer } from "node:buffer";
import { z } from "zod";
import { createFault } from "../common/mod.ts";
import {
  type Division,
  type FleetDelta,
  type FleetState,
  type Key,
  type Limits,
  type Queue,
  QUEUE_POLICIES,
  type Workspace,
} from "./types.ts";

/** A state that can be modified by its owner. */
export interface MutableFleetState extends FleetState {
  version: number;
  readonly workspaces: Map<string, Workspace>;
  readonly keys: Map<string, Key>;
  readonly queues: Map<string, Queue>;
  dataCentres: readonly string[];
  leavingDataCentres: readonly string[];
  closedDataCentres: readonly string[];
  evacuatedDataCentres: readonly string[];
  dataCentreSets: readonly (readonly string[])[];
  readonly divisions: Map<string, Division>;
  divisionVersion: number;
}

/** Creates the state before the first change. */
export function createEmptyState(): MutableFleetState {
  return {
    version: 0,
    workspaces: new Map(),
    keys: new Map(),
    queues: new Map(),
    dataCentres: [],
    leavingDataCentres: [],
    closedDataCentres: [],
    evacuatedDataCentres: [],
    // Limits may be set before there are data centres. Their units belong to
    // the empty set, which the first `setDataCentres` replaces.
    dataCentreSets: [[]],
    divisions: new Map(),
    divisionVersion: 0,
  };
}

const names = z.array(z.string());
const limitsRow = z.tuple([z.int(), z.int(), z.int(), z.int()]);
const workspaceRow = z.tuple([z.string(), z.number(), limitsRow]);
const keyRow = z.union([
  z.tuple([z.string(), z.string(), z.string(), z.number()]),
  z.tuple([z.string(), z.string(), z.string(), z.number(), z.number()]),
]);
const queueRow = z.tuple([z.string(), z.boolean(), z.enum(QUEUE_POLICIES)]);
const divisionRow = z.tuple([
  z.string(),
  z.array(z.tuple([z.int(), limitsRow])),
  z.array(z.tuple([z.string(), limitsRow, z.int()])),
]);
const dataCentresRow = z.strictObject({
  configured: names,
  leaving: names,
  closed: names,
  sets: z.array(names),
});

/** Schema of an encoded state. */
export const stateRowsSchema = z.strictObject({
  version: z.int(),
  divisionVersion: z.int(),
  workspaces: z.array(workspaceRow),
  keys: z.array(keyRow),
  queues: z.array(queueRow),
  divisions: z.array(divisionRow),
  dataCentres: dataCentresRow,
  // Missing in states of older versions, which know no evacuations.
  evacuatedDataCentres: names.optional(),
});

const deltaRowsSchema = z.strictObject({
  version: z.int(),
  divisionVersion: z.int().optional(),
  workspaces: z.array(workspaceRow).optional(),
  removedWorkspaces: names.optional(),
  keys: z.array(keyRow).optional(),
  withdrawnKeys: names.optional(),
  queues: z.array(queueRow).optional(),
  removedQueues: names.optional(),
  divisions: z.array(divisionRow).optional(),
  dataCentres: dataCentresRow.optional(),
  evacuatedDataCentres: names.optional(),
});

/** An encoded state as JSON rows. */
export type StateRows = z.infer<typeof stateRowsSchema>;
type KeyRow = z.infer<typeof keyRow>;
type LimitsRow = z.infer<typeof limitsRow>;
type WorkspaceRow = z.infer<typeof workspaceRow>;
type DivisionRow = z.infer<typeof divisionRow>;

function toLimitsRow(limits: Limits): LimitsRow {
  return [
    limits.slots,
    limits.processors,
    limits.memoryMb,
    limits.accelerators,
  ];
}

function readLimits(row: LimitsRow): Limits {
  const [slots, processors, memoryMb, accelerators] = row;
  return { slots, processors, memoryMb, accelerators };
}

function toWorkspaceRow(workspace: Workspace): WorkspaceRow {
  return [workspace.name, workspace.share, toLimitsRow(workspace.limits)];
}

function readWorkspace([name, share, limits]: WorkspaceRow): Workspace {
  return { name, share, limits: readLimits(limits) };
}

/** Encodes a key. The hash is in base64url, a third shorter than in hex. */
export function toKeyRow(key: Key): KeyRow {
  const hash = Buffer.from(key.hash, "hex").toString("base64url");
  if (key.withdrawnAt === undefined) {
    return [key.id, key.workspace, hash, key.grantedAt];
  }
  return [key.id, key.workspace, hash, key.grantedAt, key.withdrawnAt];
}

/** Decodes a key. */
export function readKey(row: KeyRow): Key {
  const [id, workspace, hashRow, grantedAt, withdrawnAt] = row;
  const hash = Buffer.from(hashRow, "base64url").toString("hex");
  const key = { id, workspace, hash, grantedAt };
  return withdrawnAt === undefined ? key : { ...key, withdrawnAt };
}

/** Schema of an encoded key. */
export const keyRowSchema = keyRow;

function toQueueRow(queue: Queue): z.infer<typeof queueRow> {
  return [queue.name, queue.open, queue.policy];
}

function readQueue([name, open, policy]: z.infer<typeof queueRow>): Queue {
  return { name, open, policy };
}

function toDivisionRow([workspace, division]: readonly [string, Division]) {
  const segments = division.segments.map(({ set, tops }) =>
    [set, toLimitsRow(tops)] as [number, LimitsRow]
  );
  const closings = division.closings.map(({ dataCentre, granted, heirs }) =>
    [dataCentre, toLimitsRow(granted), heirs] as [string, LimitsRow, number]
  );
  return [workspace, segments, closings] as DivisionRow;
}

function readDivision(row: DivisionRow): [string, Division] {
  const [workspace, segments, closings] = row;
  return [workspace, {
    segments: segments.map(([set, tops]) => ({ set, tops: readLimits(tops) })),
    closings: closings.map(([dataCentre, granted, heirs]) => ({
      dataCentre,
      granted: readLimits(granted),
      heirs,
    })),
  }];
}

/** Converts a state into JSON rows. */
export function toStateRows(state: FleetState): StateRows {
  return {
    version: state.version,
    divisionVersion: state.divisionVersion,
    workspaces: [...state.workspaces.values()].map(toWorkspaceRow),
    keys: [...state.keys.values()].map(toKeyRow),
    queues: [...state.queues.values()].map(toQueueRow),
    divisions: [...state.divisions].map(toDivisionRow),
    dataCentres: {
      configured: [...state.dataCentres],
      leaving: [...state.leavingDataCentres],
      closed: [...state.closedDataCentres],
      sets: state.dataCentreSets.map((set) => [...set]),
    },
    // Left out when empty: older versions reject unknown fields, and must be
    // able to read a state without evacuations.
    ...(state.evacuatedDataCentres.length === 0
      ? {}
      : { evacuatedDataCentres: [...state.evacuatedDataCentres] }),
  };
}

/** Converts JSON rows into a state. */
export function readState(rows: StateRows): MutableFleetState {
  return {
    version: rows.version,
    divisionVersion: rows.divisionVersion,
    workspaces: new Map(
      rows.workspaces.map((row) => [row[0], readWorkspace(row)]),
    ),
    keys: new Map(rows.keys.map((row) => [row[0], readKey(row)])),
    queues: new Map(rows.queues.map((row) => [row[0], readQueue(row)])),
    divisions: new Map(rows.divisions.map(readDivision)),
    dataCentres: rows.dataCentres.configured,
    leavingDataCentres: rows.dataCentres.leaving,
    closedDataCentres: rows.dataCentres.closed,
    evacuatedDataCentres: rows.evacuatedDataCentres ?? [],
    dataCentreSets: rows.dataCentres.sets,
  };
}

/** Encodes the full state. */
export function encodeState(state: FleetState): Uint8Array {
  return Buffer.from(JSON.stringify(toStateRows(state)));
}

/** Parses and validates JSON data. Throws `badRequest` that names the data by `label`. */
export function decodeJson<T>(
  data: Uint8Array,
  schema: z.ZodType<T>,
  label: string,
): T {
  try {
    return schema.parse(JSON.parse(Buffer.from(data).toString("utf8")));
  } catch (error) {
    throw createFault(
      "badRequest",
      `Cannot read ${label} of ${data.length} bytes`,
      { cause: error },
    );
  }
}

/** Decodes a full state. Throws `badRequest`. */
export function decodeState(data: Uint8Array): MutableFleetState {
  return readState(decodeJson(data, stateRowsSchema, "fleet state"));
}

/** Encodes a delta. */
export function encodeDelta(delta: FleetDelta): Uint8Array {
  const rows = {
    ...delta,
    workspaces: delta.workspaces?.map(toWorkspaceRow),
    keys: delta.keys?.map(toKeyRow),
    queues: delta.queues?.map(toQueueRow),
    divisions: delta.divisions?.map(toDivisionRow),
  };
  return Buffer.from(JSON.stringify(rows));
}

/** Decodes a delta. Throws `badRequest`. */
export function decodeDelta(data: Uint8Array): FleetDelta {
  const rows = decodeJson(data, deltaRowsSchema, "fleet delta");
  const delta: { -readonly [K in keyof FleetDelta]: FleetDelta[K] } = {
    version: rows.version,
  };
  if (rows.divisionVersion !== undefined) {
    delta.divisionVersion = rows.divisionVersion;
  }
  if (rows.workspaces) delta.workspaces = rows.workspaces.map(readWorkspace);
  if (rows.removedWorkspaces) delta.removedWorkspaces = rows.removedWorkspaces;
  if (rows.keys) delta.keys = rows.keys.map(readKey);
  if (rows.withdrawnKeys) delta.withdrawnKeys = rows.withdrawnKeys;
  if (rows.queues) delta.queues = rows.queues.map(readQueue);
  if (rows.removedQueues) delta.removedQueues = rows.removedQueues;
  if (rows.divisions) delta.divisions = rows.divisions.map(readDivision);
  if (rows.dataCentres) delta.dataCentres = rows.dataCentres;
  if (rows.evacuatedDataCentres) {
    delta.evacuatedDataCentres = rows.evacuatedDataCentres;
  }
  return delta;
}

/**
 * Applies the delta of the next version. Voters and views apply the same
 * deltas with this function, so their states cannot differ.
 */
export function applyDelta(state: MutableFleetState, delta: FleetDelta): void {
  state.version = delta.version;
  state.divisionVersion = delta.divisionVersion ?? state.divisionVersion;
  for (const workspace of delta.workspaces ?? []) {
    state.workspaces.set(workspace.name, workspace);
  }
  for (const name of delta.removedWorkspaces ?? []) {
    state.workspaces.delete(name);
  }
  for (const key of delta.keys ?? []) state.keys.set(key.id, key);
  for (const id of delta.withdrawnKeys ?? []) state.keys.delete(id);
  for (const queue of delta.queues ?? []) state.queues.set(queue.name, queue);
  for (const name of delta.removedQueues ?? []) state.queues.delete(name);
  for (const [workspace, division] of delta.divisions ?? []) {
    state.divisions.set(workspace, division);
  }
  if (delta.dataCentres !== undefined) {
    state.dataCentres = delta.dataCentres.configured;
    state.leavingDataCentres = delta.dataCentres.leaving;
    state.closedDataCentres = delta.dataCentres.closed;
    state.dataCentreSets = delta.dataCentres.sets;
  }
  state.evacuatedDataCentres = delta.evacuatedDataCentres ??
    state.evacuatedDataCentres;
}
