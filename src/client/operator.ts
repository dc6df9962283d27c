/** What operators do through the HTTP interface: changes, configuration and status. */

import { randomUUID } from "node:crypto";
import {
  createKeySecret,
  type FleetOperation,
  type KeySecret,
} from "../fleet/mod.ts";
import type { ChangeReport } from "../http/mod.ts";
import type { Client } from "./client.ts";

/** Options of a change. */
export interface SubmitOptions {
  /** Refuses the change when the version differs. */
  expectedVersion?: number;
  /** Reuse the identifier to resend a change. Default: a new one. */
  changeId?: string;
}

/** Hands in operations as one change; fault of a refusal. */
export async function submitOperations(
  client: Client,
  operations: readonly FleetOperation[],
  options: SubmitOptions = {},
): Promise<ChangeReport> {
  const { expectedVersion } = options;
  return await client.call("/v1/changes", {
    method: "POST",
    body: {
      changeId: options.changeId ?? randomUUID(),
      ...(expectedVersion === undefined ? {} : { expectedVersion }),
      operations,
    },
  }) as ChangeReport;
}

/** Grants a new key to a team; the secret is in the answer and nowhere else. */
export async function grantKey(
  client: Client,
  team: string,
): Promise<KeySecret & { report: ChangeReport }> {
  const key = createKeySecret();
  const report = await submitOperations(
    client,
    [{ type: "grantKey", id: key.id, team, hash: key.hash }],
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
