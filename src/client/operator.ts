/** What operators do through the HTTP interface: changes, configuration and status. */

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
  /** Refuses the change when the version differs. */
  expectedVersion?: number;
  /** Reuse the identifier to resend a change. Default: a new one. */
  changeId?: string;
}

/** Hands in a change as it is; sending it again gets the first answer. */
export async function submitChange(
  client: Client,
  change: FleetChange,
): Promise<ChangeReport> {
  return await client.call("/v1/changes", {
    method: "POST",
    body: change,
  }) as ChangeReport;
}

/** Reads the configuration in force at an instance. */
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
    dataCentreSets: [],
    divisions: new Map(),
    divisionVersion: 0,
  };
}

/** Hands in operations as one change; fault of a refusal. */
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

/** Grants a new key to a workspace; the secret is in the answer and nowhere else. */
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

/** Withdraws a key; the report names where it is in force. */
export async function withdrawKey(
  client: Client,
  id: string,
): Promise<ChangeReport> {
  return await submitOperations(client, [{ type: "withdrawKey", id }], {
    changeId: `withdraw-key:${id}`,
  });
}
