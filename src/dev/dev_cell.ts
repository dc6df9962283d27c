/**
 * A complete cell in one process on loopback, for trying the program out: one
 * instance with every role, a stub endpoint, a stub worker, a workspace with a
 * key, and one queue of each kind.
 */

import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Logger } from "../common/mod.ts";
import { createKeySecret, type FleetOperation } from "../fleet/mod.ts";
import { type Instance, startInstance } from "../instance/mod.ts";
import { resolveSettings } from "../settings/mod.ts";
import {
  type EndpointStub,
  startEndpointStub,
} from "../../test/standin_endpoint.ts";
import { startWorkerStub, type WorkerStub } from "../../test/standin_worker.ts";
import { callJson, waitUntil } from "../../test/json_http.ts";

const HOST = "127.0.0.1";

/** Limit for each step until the cell responds to its first request, in milliseconds. */
const START_TIMEOUT_MS = 15_000;

/** Name of the instance, data centre, workspace and request queue of the cell. */
export const DEV_NAME = "demo";

/** Options of the development cell. */
export interface DevCellOptions {
  httpPort: number;
  rpcPort: number;
  logger: Logger;
}

/** A running development cell. */
export interface DevCell {
  /** Base address for callers and operators. */
  readonly address: string;
  /** Key of the workspace. */
  readonly key: string;
  stop(): Promise<void>;
}

function buildSettings(options: DevCellOptions, dataFolder: string) {
  const listen = {
    http: { host: HOST, port: options.httpPort },
    rpc: { host: HOST, port: options.rpcPort },
  };
  return resolveSettings({
    instance: DEV_NAME,
    dataCentre: DEV_NAME,
    roles: { scheduler: true, voter: true },
    listen,
    dataFolder,
    instances: [{
      instance: DEV_NAME,
      dataCentre: DEV_NAME,
      ...listen,
      scheduler: true,
      voter: true,
      witnessFor: [],
    }],
  });
}

function buildOperations(keyId: string, hash: string): FleetOperation[] {
  return [
    {
      type: "createWorkspace",
      name: DEV_NAME,
      share: 1,
      limits: {
        slots: 8,
        processors: 16_000,
        memoryMb: 65_536,
        accelerators: 0,
      },
    },
    { type: "grantKey", id: keyId, workspace: DEV_NAME, hash },
    { type: "createQueue", name: DEV_NAME, open: false, policy: "requests" },
    { type: "createQueue", name: "open", open: true, policy: "requests" },
    { type: "createQueue", name: "batch", open: false, policy: "batch" },
  ];
}

async function applyInitialChange(address: string): Promise<string> {
  const key = createKeySecret();
  const answer = await callJson(`${address}/v1/changes`, {
    method: "POST",
    body: {
      changeId: `dev-${key.id}`,
      operations: buildOperations(key.id, key.hash),
    },
    timeoutMs: START_TIMEOUT_MS,
  });
  if (answer.status === 200) return key.secret;
  throw new Error(
    `Cannot configure the cell: ${JSON.stringify(answer.body)}`,
  );
}

async function waitForResponse(address: string, key: string): Promise<void> {
  await waitUntil(
    async () => {
      const { status } = await callJson(
        `${address}/v1/queues/${DEV_NAME}/requests`,
        {
          method: "POST",
          body: {},
          headers: { authorization: `Bearer ${key}` },
          timeoutMs: START_TIMEOUT_MS,
        },
      );
      return status === 200;
    },
    START_TIMEOUT_MS,
    "the first response",
  );
}

/** Starts the cell. Resolves after it has served one request. */
export async function startDevCell(options: DevCellOptions): Promise<DevCell> {
  const folder = await mkdtemp(join(tmpdir(), "goldcrestlug-dev-"));
  const address = `http://${HOST}:${options.httpPort}`;
  const running: (Instance | EndpointStub | WorkerStub)[] = [];

  async function stop(): Promise<void> {
    for (const one of running.reverse()) await one.stop();
    await rm(folder, { recursive: true, force: true });
  }

  try {
    const instance = await startInstance(buildSettings(options, folder), {
      logger: options.logger,
    });
    running.push(instance);
    await waitUntil(() => instance.isReady(), START_TIMEOUT_MS, "readiness");
    const key = await applyInitialChange(address);
    running.push(
      await startEndpointStub({
        name: "endpoint-1",
        dataCentre: DEV_NAME,
        entries: [address],
        queues: [DEV_NAME, "open"],
      }),
      await startWorkerStub({
        name: "worker-1",
        dataCentre: DEV_NAME,
        rack: "rack-1",
        capacity: { processors: 16_000, memoryMb: 65_536, accelerators: 0 },
        entries: [address],
      }),
    );
    await waitForResponse(address, key);
    return { address, key, stop };
  } catch (error) {
    await stop();
    throw error;
  }
}
