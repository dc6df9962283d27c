/**
 * Starts a cell of real processes on loopback for tests, with several data
 * centres and instances, and sends it requests as operators and callers do.
 */

import { randomUUID } from "node:crypto";
import type { FleetOperation, Limits } from "../src/fleet/mod.ts";
import { createKeySecret, type KeySecret } from "../src/fleet/mod.ts";
import { callJson, type JsonAnswer, waitUntil } from "./json_http.ts";
import { type Relay, type RelayMode, startRelay } from "./relay.ts";
import {
  createTestFolder,
  findFreePorts,
  type InstanceProcess,
  startInstance,
  type TestScope,
} from "./processes.ts";

const HOST = "127.0.0.1";

/** Shape of a cell. */
export interface CellOptions {
  /** Number of instances by data centre; the first of each has a disk and is a voter. */
  readonly dataCentres: Readonly<Record<string, number>>;
  /** Whether connections between data centres go through relays, which can stall or cut them. */
  readonly hasRelays?: boolean;
  /** Settings that differ from the defaults, for all instances. */
  readonly settings?: Readonly<Record<string, unknown>>;
}

interface CellInstance {
  readonly instance: string;
  readonly dataCentre: string;
  readonly http: { host: string; port: number };
  readonly rpc: { host: string; port: number };
  readonly scheduler: boolean;
  readonly voter: boolean;
  readonly witnessFor: string[];
}

/** A cell of child processes. */
export interface Cell {
  readonly instances: ReadonlyMap<string, InstanceProcess>;
  /** Base addresses of all instances. */
  readonly addresses: readonly string[];
  get(instance: string): InstanceProcess;
  /** Restarts a stopped instance with the same settings and folder. */
  restart(instance: string): Promise<InstanceProcess>;
  /** Sets the mode of every connection between a data centre and the others. */
  setLinks(dataCentre: string, mode: RelayMode): void;
  /** Stalls the open connections between data centres for good; new ones work. */
  stallOpenLinks(): void;
  /** Base addresses of the instances of a data centre. */
  listAddresses(dataCentre: string): string[];
  /** Submits a change through the first instance. */
  change(operations: FleetOperation[]): Promise<JsonAnswer>;
  /** Creates a workspace and a key for it; resolves to the key. */
  addWorkspace(name: string, limits?: Partial<Limits>): Promise<KeySecret>;
}

async function createInstances(options: CellOptions): Promise<CellInstance[]> {
  const names = Object.entries(options.dataCentres);
  const count = names.reduce((sum, [, instances]) => sum + instances, 0);
  const ports = await findFreePorts(count * 2);
  const takePort = () => ({ host: HOST, port: ports.pop() ?? 0 });
  const firstOf = (dataCentre: string) => `${dataCentre}-1`;
  return names.flatMap(([dataCentre, instances], position) => {
    const previous = names[(position + names.length - 1) % names.length];
    // The first instance of a data centre is the witness of the next one.
    const next = names[(position + 1) % names.length];
    const needsWitness = next !== undefined && next[1] === 2 &&
      previous !== undefined && names.length > 1;
    return Array.from({ length: instances }, (_, index): CellInstance => ({
      instance: `${dataCentre}-${index + 1}`,
      dataCentre,
      http: takePort(),
      rpc: takePort(),
      scheduler: true,
      voter: `${dataCentre}-${index + 1}` === firstOf(dataCentre),
      witnessFor: index === 0 && needsWitness ? [next[0]] : [],
    }));
  });
}

/** The relays between data centres. */
interface Links {
  /** Returns the instances with the addresses that `entry` uses: those of its relays. */
  listInstances(entry: CellInstance): CellInstance[];
  setMode(dataCentre: string, mode: RelayMode): void;
  stallOpen(): void;
}

async function createLinks(
  t: TestScope,
  entries: readonly CellInstance[],
): Promise<Links> {
  const relays = new Map<string, { relay: Relay; ends: string[] }>();
  for (const from of entries) {
    for (const to of entries) {
      if (from.dataCentre === to.dataCentre) continue;
      const relay = await startRelay({ targetPort: to.rpc.port });
      t.teardown(() => relay.stop());
      const ends = [from.dataCentre, to.dataCentre];
      relays.set(`${from.instance}>${to.instance}`, { relay, ends });
    }
  }
  return {
    listInstances: (entry) =>
      entries.map((to) => {
        const link = relays.get(`${entry.instance}>${to.instance}`);
        if (link === undefined) return to;
        return { ...to, rpc: { host: HOST, port: link.relay.port } };
      }),
    stallOpen() {
      for (const { relay } of relays.values()) relay.setOpenMode("silent");
    },
    setMode(dataCentre, mode) {
      for (const { relay, ends } of relays.values()) {
        if (ends.includes(dataCentre)) relay.setMode(mode);
      }
    },
  };
}

function buildSettings(
  entry: CellInstance,
  instances: readonly CellInstance[],
  options: CellOptions,
) {
  const { instance, dataCentre, http, rpc, scheduler, voter, witnessFor } =
    entry;
  return {
    instance,
    dataCentre,
    roles: { scheduler, voter, witnessFor },
    listen: { http, rpc },
    ...(voter ? { dataFolder: `${instance}-data` } : {}),
    instances,
    ...options.settings,
  };
}

/** Starts every instance and waits until all are ready. */
export async function startCell(
  t: TestScope,
  options: CellOptions,
): Promise<Cell> {
  const entries = await createInstances(options);
  const folder = await createTestFolder(t);
  const links = options.hasRelays === true
    ? await createLinks(t, entries)
    : undefined;
  const running = new Map<string, InstanceProcess>();

  async function start(entry: CellInstance): Promise<InstanceProcess> {
    const visible = links?.listInstances(entry) ?? entries;
    const settings = buildSettings(entry, visible, options);
    const started = await startInstance(t, settings, { folder });
    running.set(entry.instance, started);
    return started;
  }

  await Promise.all(entries.map(start));
  await Promise.all([...running.values()].map((one) => one.waitUntilReady()));

  function get(instance: string): InstanceProcess {
    const found = running.get(instance);
    if (found === undefined) {
      throw new Error(`Cannot find instance "${instance}"`);
    }
    return found;
  }

  const addresses = entries.map(({ http }) => `http://${HOST}:${http.port}`);

  async function change(operations: FleetOperation[]): Promise<JsonAnswer> {
    return await callJson(`${addresses[0]}/v1/changes`, {
      method: "POST",
      body: { changeId: randomUUID(), operations },
      timeoutMs: 10_000,
    });
  }

  return {
    instances: running,
    addresses,
    get,
    async restart(instance) {
      const entry = entries.find((one) => one.instance === instance);
      if (entry === undefined) {
        throw new Error(`Cannot find instance "${instance}"`);
      }
      return await start(entry);
    },
    setLinks: (dataCentre, mode) => links?.setMode(dataCentre, mode),
    stallOpenLinks: () => links?.stallOpen(),
    listAddresses: (dataCentre) =>
      entries.filter((entry) => entry.dataCentre === dataCentre)
        .map(({ http }) => `http://${HOST}:${http.port}`),
    change,
    async addWorkspace(name, limits) {
      const key = createKeySecret();
      const answer = await change([
        {
          type: "createWorkspace",
          name,
          share: 1,
          limits: {
            slots: 100,
            processors: 100_000,
            memoryMb: 100_000,
            accelerators: 100,
            ...limits,
          },
        },
        { type: "grantKey", id: key.id, workspace: name, hash: key.hash },
      ]);
      if (answer.status !== 200) throw new Error(JSON.stringify(answer.body));
      return key;
    },
  };
}

/**
 * Restarts a stopped instance and waits until it votes in the log of its data
 * centre. Losing a second member before that may stop the group.
 */
export async function restartAndJoin(
  cell: Cell,
  instance: string,
): Promise<void> {
  const { address, waitUntilReady } = await cell.restart(instance);
  await waitUntilReady(20_000);
  const group = `data-centre/${instance.slice(0, instance.lastIndexOf("-"))}`;
  await waitUntil(
    async () => {
      const { body } = await callJson(`${address}/v1/status`);
      const { logs } = body as { logs: { group: string; role: string }[] };
      const role = logs.find((log) => log.group === group)?.role;
      return role === "leader" || role === "follower";
    },
    20_000,
    `the vote of ${instance}`,
  );
}

/** Asks an instance which instance leads a data centre. */
export async function findLeader(
  address: string,
  dataCentre: string,
): Promise<string | undefined> {
  const { body } = await callJson(`${address}/v1/status`, { timeoutMs: 5_000 });
  const { dataCentres } = body as {
    dataCentres: { dataCentre: string; leader?: string }[];
  };
  return dataCentres.find((one) => one.dataCentre === dataCentre)?.leader;
}

/** Options of a caller's request. */
export interface SendOptions {
  readonly key?: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs?: number;
}

/** Sends a caller's request to a queue. */
export async function sendRequest(
  address: string,
  queue: string,
  options: SendOptions = {},
): Promise<JsonAnswer> {
  return await callJson(`${address}/v1/queues/${queue}/requests`, {
    method: "POST",
    body: options.body ?? {},
    headers: {
      ...(options.key === undefined
        ? {}
        : { authorization: `Bearer ${options.key}` }),
      ...options.headers,
    },
    timeoutMs: options.timeoutMs ?? 15_000,
  });
}

/** Repeats `send` until it answers 200, for changes that take effect within seconds. */
export async function waitForAnswer(
  send: () => Promise<JsonAnswer>,
  timeoutMs = 10_000,
): Promise<JsonAnswer> {
  let last: JsonAnswer | undefined;
  try {
    return await waitUntil(
      async () => {
        last = await send();
        return last.status === 200 ? last : undefined;
      },
      timeoutMs,
      "an answer with status 200",
    );
  } catch (error) {
    throw new Error(
      `No answer with status 200; last answer: ${JSON.stringify(last)}`,
      { cause: error },
    );
  }
}
