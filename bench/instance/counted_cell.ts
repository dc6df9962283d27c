/**
 * Starts a cell with two instances in each data centre. All connections between
 * instances pass through relays that count bytes.
 */

import { randomUUID } from "node:crypto";
import { createKeySecret, type FleetOperation } from "../../src/fleet/mod.ts";
import { callJson, waitUntil } from "../../test/json_http.ts";
import {
  createTestFolder,
  findFreePorts,
  type InstanceProcess,
  startInstance,
  type TestScope,
} from "../../test/processes.ts";
import { type CountingRelay, startCountingRelay } from "./counting_relay.ts";
import { type ProcessUsage, readProcessUsage } from "./process_usage.ts";

const HOST = "127.0.0.1";
const DATA_CENTRES = ["north", "south", "west"];

/** The fleet log has 3 or 5 voters. */
const MAX_VOTERS = 5;

/** Cumulative resource usage by instance name. */
export interface CellUsage {
  readonly atMs: number;
  readonly instances: ReadonlyMap<string, ProcessUsage & { bytes: number }>;
}

/** The leaders of the fleet log and of each data centre, as instance names. */
export interface CellRoles {
  readonly fleetLeader: string;
  readonly leaders: Readonly<Record<string, string>>;
}

/** A running cell. */
export interface CountedCell {
  getAddress(instance: string): string;
  listInstances(): string[];
  /** Starts a relay to the rpc listener of an instance, for clients outside the cell. */
  openRelay(instance: string): Promise<CountingRelay>;
  readUsage(): CellUsage;
  readRoles(): Promise<CellRoles>;
  /** Submits a configuration change; resolves to the HTTP status. */
  change(operations: FleetOperation[]): Promise<number>;
  /** Creates a workspace with limits that are never reached; resolves to its key. */
  addWorkspace(name: string): Promise<string>;
}

interface InstanceEntry {
  instance: string;
  dataCentre: string;
  http: { host: string; port: number };
  rpc: { host: string; port: number };
  scheduler: boolean;
  voter: boolean;
  hasDisk: boolean;
  witnessFor: string[];
}

function createEntries(
  dataCentres: readonly string[],
  ports: number[],
): InstanceEntry[] {
  const takePort = () => ({ host: HOST, port: ports.pop() ?? 0 });
  const count = dataCentres.length;
  return dataCentres.flatMap((dataCentre, position) =>
    [1, 2].map((number) => ({
      instance: `${dataCentre}-${number}`,
      dataCentre,
      http: takePort(),
      rpc: takePort(),
      scheduler: true,
      voter: number === 1 && position < MAX_VOTERS,
      hasDisk: number === 1,
      witnessFor: number === 1
        ? [dataCentres[(position + 1) % count] ?? ""]
        : [],
    }))
  );
}

/** Starts the cell and waits until all instances are ready. */
export async function startCountedCell(
  t: TestScope,
  dataCentres: readonly string[] = DATA_CENTRES,
): Promise<CountedCell> {
  const ports = await findFreePorts(dataCentres.length * 4);
  const entries = createEntries(dataCentres, ports);
  const folder = await createTestFolder(t);
  const running = new Map<string, InstanceProcess>();
  const links: { ends: string[]; relay: CountingRelay }[] = [];

  async function addRelay(ends: string[], port: number) {
    const relay = await startCountingRelay(port);
    t.teardown(() => relay.stop());
    links.push({ ends, relay });
    return relay;
  }

  async function buildInstanceList(
    from: InstanceEntry,
  ): Promise<InstanceEntry[]> {
    const seen: InstanceEntry[] = [];
    for (const to of entries) {
      if (to === from) seen.push(to);
      else {
        const relay = await addRelay([from.instance, to.instance], to.rpc.port);
        seen.push({ ...to, rpc: { host: HOST, port: relay.port } });
      }
    }
    return seen;
  }

  async function start(entry: InstanceEntry): Promise<void> {
    const { http, rpc, scheduler, voter, witnessFor, hasDisk } = entry;
    const settings = {
      instance: entry.instance,
      dataCentre: entry.dataCentre,
      roles: { scheduler, voter, witnessFor },
      listen: { http, rpc },
      ...(hasDisk ? { dataFolder: `${entry.instance}-data` } : {}),
      instances: (await buildInstanceList(entry)).map((
        { hasDisk: _hasDisk, ...seen },
      ) => seen),
      logLevel: "warn",
    };
    running.set(entry.instance, await startInstance(t, settings, { folder }));
  }

  await Promise.all(entries.map(start));
  await Promise.all(
    [...running.values()].map((one) => one.waitUntilReady(60_000)),
  );

  function getAddress(instance: string): string {
    const found = running.get(instance);
    if (found === undefined) throw new Error(`Unknown instance "${instance}"`);
    return found.address;
  }

  function countBytes(instance: string): number {
    return links.reduce(
      (sum, { ends, relay }) =>
        ends.includes(instance) ? sum + relay.getBytes() : sum,
      0,
    );
  }

  async function change(operations: FleetOperation[]): Promise<number> {
    const [first] = entries;
    const answer = await callJson(
      `${first && getAddress(first.instance)}/v1/changes`,
      {
        body: { changeId: randomUUID(), operations },
        timeoutMs: 10_000,
      },
    );
    return answer.status;
  }

  async function readRoles(): Promise<CellRoles> {
    const leaders: Record<string, string> = {};
    let fleetLeader = "";
    for (const dataCentre of dataCentres) {
      const { body } = await callJson(
        `${getAddress(`${dataCentre}-1`)}/v1/status`,
      );
      const { self } = body as { self: Record<string, string> };
      leaders[dataCentre] = self["dataCentreLeader"] ?? "";
      fleetLeader = self["fleetLeader"] ?? fleetLeader;
    }
    return { fleetLeader, leaders };
  }

  return {
    getAddress,
    listInstances: () => entries.map(({ instance }) => instance),
    openRelay(instance) {
      const entry = entries.find((one) => one.instance === instance);
      return addRelay([instance], entry?.rpc.port ?? 0);
    },
    readUsage: () => ({
      atMs: performance.now(),
      instances: new Map(
        [...running].map(([name, { pid }]) => [
          name,
          { ...readProcessUsage(pid), bytes: countBytes(name) },
        ]),
      ),
    }),
    readRoles,
    change,
    async addWorkspace(name) {
      const key = createKeySecret();
      const limits = {
        slots: 100_000,
        processors: 1_000_000_000,
        memoryMb: 1_000_000_000,
        accelerators: 100_000,
      };
      const status = await waitUntil(
        async () =>
          await change([
            { type: "createWorkspace", name, share: 1, limits },
            { type: "grantKey", id: key.id, workspace: name, hash: key.hash },
          ]) === 200,
        15_000,
        "the workspace",
      );
      if (!status) throw new Error(`Cannot create workspace "${name}"`);
      return key.secret;
    },
  };
}
