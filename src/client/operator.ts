/** Operator calls of the HTTP interface: configuration, changes and keys. */

import { randomUUID } from "node:crypto";
import {
  createKeySecret,
  type FleetChange,
  type FleetOperation,
  type FleetState,
  type KeySecret,
} from "../fleet/mod.ts";
import type { ChangeReport, RenderedConfig } from "../http/mod.ts";
import type { Client } from "./client.ts";

/** Options of a change. */
export interface SubmitOptions {
  /** Rejects the change if the configuration has another version. */
  expectedVersion?: number;
  /** Identifier of the change; reuse it to resend the change. Default: a new one. */
  changeId?: string;
}

/** Submits a change. Resending the same change returns the first response. */
export async function submitChange(
  client: Client,
  change: FleetChange,
): Promise<ChangeReport> {
  return await client.call("/v1/changes", {
    method: "POST",
    body: change,
  }) as ChangeReport;
}

/** Reads the current configuration of an instance. */
export async function readFleetState(client: Client): Promise<FleetState> {
  const config = await client.call("/v1/config") as RenderedConfig;
  const toMap = <T>(list: readonly T[], getKey: (item: T) => string) =>
    new Map(list.map((item) => [getKey(item), item]));
  return {
    version: config.version,
    workspaces: toMap(config.workspaces, ({ name }) => name),
    keys: toMap(config.keys, ({ id }) => id),
    queues: toMap(config.queues, ({ name }) => name),
    dataCentres: config.dataCentres,
    leavingDataCentres: [],
    closedDataCentres: [],
    // Instances of older versions do not send it.
    evacuatedDataCentres: config.evacuatedDataCentres ?? [],
    dataCentreSets: [],
    divisions: new Map(),
    divisionVersion: 0,
  };
}

/** Submits operations as one change. Rejects with the fault if the change is refused. */
export async function submitOperations(
  client: Client,
  operations: readonly FleetOperation[],
  options: SubmitOptions = {},
): Promise<ChangeReport> {
  const { expectedVersion } = options;
  return await submitChange(client, {
    changeId: options.changeId ?? randomUUID(),
    ...(expectedVersion === undefined ? {} : { expectedVersion }),
    operations: [...operations],
  });
}

/** Grants a new key to a workspace. The secret is returned once and not stored. */
export async function grantKey(
  client: Client,
  workspace: string,
): Promise<KeySecret & { report: ChangeReport }> {
  const key = createKeySecret();
  const report = await submitOperations(
    client,
    [{ type: "grantKey", id: key.id, workspace, hash: key.hash }],
    { changeId: `grant-key:${key.id}` },
  );
  return { ...key, report };
}

/** Withdraws a key. The report lists where the withdrawal is in force. */
export async function withdrawKey(
  client: Client,
  id: string,
): Promise<ChangeReport> {
  return await submitOperations(client, [{ type: "withdrawKey", id }], {
    changeId: `withdraw-key:${id}`,
  });
}
