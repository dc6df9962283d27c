/**
 * Benchmark of configuration updates and allotment rebalancing.
 *
 * `node dist/bench/fleet_bench.js [FILE]` prints a table, writes the results as
 * JSON to FILE, and exits with code 1 when a bound is exceeded. Bounds come from
 * the targets on the design page. A node handles 19,000 changes a day, each in
 * effect within 7 s, with 1.1% of a core, 64 MB and 21 KB a second. Decisions take
 * milliseconds. One data centre obtains the whole limit within seconds, taken as 5 s.
 */

import { writeFileSync } from "node:fs";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { Bench } from "tinybench";
import {
  type AllotmentAsk,
  createRebalancer,
  type WorkspaceLoad,
} from "../src/allotments/mod.ts";
import { createManualClock, createSeededRandom } from "../src/common/mod.ts";
import {
  type ConfigUpdate,
  createFleetState,
  createFleetView,
  createKeySecret,
  createUpdateHistory,
  encodeCommand,
  encodeState,
  type FleetOperation,
  NO_LIMITS,
} from "../src/fleet/mod.ts";
import { createExchange } from "./allotment_exchange.ts";

const SEED = 20_261_204;
const CHANGES_PER_DAY = 19_000;
const SECONDS_PER_DAY = 86_400;
const MS_PER_DAY = SECONDS_PER_DAY * 1_000;
const CORE_PART = 0.011;
const BYTES_PER_SECOND = 21_000;
const MEMORY_MB = 64;
const REACH_MS = 5_000;
const DECISION_MS = 1;
// Processor time for one change if a day's changes may use 1.1% of a core.
const CHANGE_MS = MS_PER_DAY * CORE_PART / CHANGES_PER_DAY;
const CHANGE_BYTES = BYTES_PER_SECOND * SECONDS_PER_DAY / CHANGES_PER_DAY;
const KEYS_PER_WORKSPACE = 4;
// Identifier, names and four amounts in protobuf, with HTTP/2 and gRPC framing.
const MESSAGE_BYTES = 120;

interface Row {
  name: string;
  value: number;
  unit: string;
  bound?: number;
}

const rows: Row[] = [];

function addRow(
  name: string,
  value: number,
  unit: string,
  bound?: number,
): void {
  rows.push({ name, value, unit, ...(bound === undefined ? {} : { bound }) });
}

const limits = {
  slots: 40,
  processors: 64_000,
  memoryMb: 262_144,
  accelerators: 3,
};

function createDataCentreNames(count: number): string[] {
  return Array.from({ length: count }, (_, i) => `dc${i + 10}`);
}

interface Fleet {
  change(...operations: FleetOperation[]): void;
  machine: ReturnType<typeof createFleetState>;
  getLatestUpdates(): ConfigUpdate[];
  secrets: string[];
}

function createFleet(workspaceCount: number, dataCentreCount: number): Fleet {
  let changes = 0;
  let updates: ConfigUpdate[] = [];
  const secrets: string[] = [];
  const machine = createFleetState({
    handleDelta: (delta) => history.addDelta(delta),
  });
  const history = createUpdateHistory(() => machine.getState());

  function change(...operations: FleetOperation[]): void {
    const command = {
      at: 1_800_000_000_000 + changes,
      change: { changeId: `change-${changes++}`, operations },
    };
    const { version } = machine.getState();
    const answer = machine.apply(encodeCommand(command), changes);
    if (!answer.accepted) throw new Error(answer.fault.message);
    updates = history.buildUpdates(version, 0);
  }

  change({
    type: "setDataCentres",
    names: createDataCentreNames(dataCentreCount),
  });
  for (let i = 0; i < workspaceCount; i++) {
    const workspace = `workspace-${i}`;
    const grants = Array.from({ length: KEYS_PER_WORKSPACE }, (_, k) => {
      const { id, secret, hash } = createKeySecret({ id: `key-${i}-${k}` });
      secrets.push(secret);
      return { type: "grantKey" as const, id, workspace, hash };
    });
    change(
      { type: "createWorkspace", name: workspace, share: 1 + i, limits },
      ...grants,
    );
  }
  return { change, machine, getLatestUpdates: () => updates, secrets };
}

async function measureMs(name: string, run: () => void): Promise<number> {
  const bench = new Bench({ time: 400, warmupTime: 100 });
  bench.add(name, run);
  await bench.run();
  const result = bench.tasks[0]?.result as
    | { latency?: { mean: number } }
    | undefined;
  if (result?.latency === undefined) {
    throw new Error(
      `Cannot measure "${name}": the benchmark returned no result`,
    );
  }
  return result.latency.mean;
}

function measureHeapMb(): number {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  collect();
  return process.memoryUsage().heapUsed / 1_048_576;
}

async function measureConfiguration(workspaceCount: number): Promise<void> {
  const dataCentreCount = workspaceCount > 100 ? 35 : 4;
  const label = `${workspaceCount} workspaces`;
  const heapBefore = measureHeapMb();
  const fleet = createFleet(workspaceCount, dataCentreCount);
  const clock = createManualClock();
  const view = createFleetView({ clock });
  const full = encodeState(fleet.machine.getState());
  const { version } = fleet.machine.getState();
  view.applyUpdate({ version, snapshot: true, data: full, ageMs: 0 });
  addRow(`full state, ${label}`, full.length, "bytes");

  let nextChange = 0;
  const changeLimit = () => {
    const name = `workspace-${nextChange % workspaceCount}`;
    const slots = 40 + (nextChange++ % 7);
    fleet.change({ type: "updateWorkspace", name, limits: { slots } });
  };
  // Updates are created beforehand so that only the view is measured.
  const updates: ConfigUpdate[] = [];
  const start = fleet.machine.getState().version;
  const baseState = encodeState(fleet.machine.getState());
  const reset = () =>
    createFleetView({ clock }).applyUpdate({
      version: start,
      snapshot: true,
      data: baseState,
      ageMs: 0,
    });
  for (let i = 0; i < 2_000; i++) {
    changeLimit();
    updates.push(...fleet.getLatestUpdates());
  }
  const bytes = updates.reduce((sum, update) => sum + update.data.length, 0);
  addRow(
    `delta a view and change, ${label}`,
    bytes / updates.length,
    "bytes",
    CHANGE_BYTES,
  );
  const reader = createFleetView({ clock });
  reader.applyUpdate({
    version: start,
    snapshot: true,
    data: baseState,
    ageMs: 0,
  });
  const startedMs = performance.now();
  for (const update of updates) {
    if (reader.applyUpdate(update) !== "applied") {
      throw new Error("Cannot apply a configuration update to the view");
    }
  }
  const viewMs = (performance.now() - startedMs) / updates.length;
  addRow(`view, processor time a change, ${label}`, viewMs, "ms", CHANGE_MS);
  const voterMs = await measureMs("voter", () => {
    changeLimit();
    fleet.getLatestUpdates();
  });
  addRow(`voter, processor time a change, ${label}`, voterMs, "ms", CHANGE_MS);

  const loadMs = await measureMs("load", reset);
  addRow(`view, load of the full state, ${label}`, loadMs, "ms", 7_000);

  const secret = fleet.secrets[fleet.secrets.length >> 1]!;
  const keyMs = await measureMs("key", () => void view.checkKey(secret));
  addRow(`key check, ${label}`, keyMs, "ms", DECISION_MS);

  for (let i = 0; i < CHANGES_PER_DAY; i++) changeLimit();
  const heapMb = measureHeapMb() - heapBefore;
  addRow(
    `voter and two views after a day of changes, heap, ${label}`,
    heapMb,
    "MB",
    MEMORY_MB,
  );
  addRow(
    `snapshot after a day of changes, ${label}`,
    fleet.machine.takeSnapshot().length,
    "bytes",
  );
  // Keeps both views reachable until the heap has been measured.
  if (reader.getVersion() < view.getVersion()) {
    throw new Error(
      "The updated view has an older version than the initial one",
    );
  }
}

function measureRebalancing(
  count: number,
  slots: number,
  werePeersBusy: boolean,
): void {
  const dataCentres = createDataCentreNames(count);
  const exchange = createExchange({
    dataCentres,
    workspaces: { t: { ...NO_LIMITS, slots } },
    seed: SEED,
  });
  const work = () => ({ workspace: "t", size: { ...NO_LIMITS, slots: 1 } });
  if (werePeersBusy) {
    const each = Math.floor(slots / count);
    for (const name of dataCentres) {
      for (let i = 0; i < each; i++) exchange.addWork(name, work(), 1_000);
    }
    exchange.clock.advance(1_000);
  }
  const before = { ...exchange.counts };
  const start = exchange.clock.now();
  const target = dataCentres[0]!;
  for (let i = 0; i < slots; i++) exchange.addWork(target, work(), 3_600_000);
  const isDone = () => exchange.getRunning(target, "t").slots === slots;
  exchange.runUntil(isDone, 4 * REACH_MS);
  const { asks, offers, transfers, acknowledgements } = exchange.counts;
  const messages = asks - before.asks + offers - before.offers + transfers -
    before.transfers + acknowledgements - before.acknowledgements;
  const others = werePeersBusy ? "busy until now" : "idle";
  const label = `${count} data centres, others ${others}`;
  const reachMs = isDone() ? exchange.clock.now() - start : Infinity;
  addRow(`time to the whole limit, ${label}`, reachMs, "ms", REACH_MS);
  addRow(`messages to the whole limit, ${label}`, messages, "messages");
}

// Worst case: each workspace needs more than its allotment and no peer offers any, so asks peak.
async function measureContention(workspaceCount: number): Promise<void> {
  const clock = createManualClock();
  const random = createSeededRandom(SEED);
  const rebalancer = createRebalancer({ dataCentre: "dc10", clock, random });
  const peers = createDataCentreNames(35).slice(1);
  const loads = new Map<string, WorkspaceLoad>();
  const amount = { ...NO_LIMITS, slots: 2 };
  for (let i = 0; i < workspaceCount; i++) {
    const waiting = { ...NO_LIMITS, slots: 50 };
    const load = { held: amount, running: amount, waiting, fair: amount };
    loads.set(`workspace-${i}`, load);
  }
  let asks: AllotmentAsk[] = [];
  const tick = () => {
    for (const ask of asks) rebalancer.recordOffer(ask, NO_LIMITS);
    clock.advance(100);
    asks = rebalancer.planAsks(loads, peers);
  };
  for (let i = 0; i < 600; i++) tick();
  let sent = 0;
  for (let i = 0; i < 600; i++) {
    tick();
    sent += asks.length;
  }
  const label =
    `${workspaceCount} workspaces short everywhere, 35 data centres`;
  addRow(`asks a second of one leader, ${label}`, sent / 60, "messages");
  addRow(
    `bytes a second of asks, ${label}`,
    sent / 60 * MESSAGE_BYTES,
    "bytes",
  );
  const tickMs = await measureMs("tick", tick);
  addRow(`policy, processor time a call, ${label}`, tickMs, "ms", 100);
}

function renderTable(): string {
  const lines = rows.map(({ name, value, unit, bound }) => {
    const valueText = value >= 100 ? value.toFixed(0) : value.toPrecision(3);
    const limit = bound === undefined ? "" : `at most ${bound.toFixed(0)}`;
    const mark = bound !== undefined && !(value <= bound) ? " BROKEN" : "";
    return `${name.padEnd(84)} ${valueText.padStart(10)} ${
      unit.padEnd(9)
    } ${limit}${mark}`;
  });
  return lines.join("\n");
}

console.log(`seed ${SEED}`);
for (const workspaceCount of [6, 890]) {
  await measureConfiguration(workspaceCount);
}
for (const count of [3, 4, 35]) {
  measureRebalancing(count, 100, false);
  measureRebalancing(count, 100, true);
}
for (const workspaceCount of [6, 890]) await measureContention(workspaceCount);
console.log(renderTable());
const file = process.argv[2];
if (file !== undefined) {
  writeFileSync(file, JSON.stringify({ seed: SEED, rows }, undefined, 2));
}
const isBroken = rows.some(({ value, bound }) =>
  bound !== undefined && !(value <= bound)
);
process.exitCode = isBroken ? 1 : 0;
