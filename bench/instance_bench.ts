/**
 * Measures the resource usage of real instances on loopback: processor time,
 * resident memory and bytes a second in a cell of 3 data centres with 2 instances
 * each. Computes how they grow from idle with watchers, changes, endpoints,
 * requests, task starts, workers and tasks.
 *
 * `node --expose-gc dist/bench/instance_bench.js [FILE]` takes about four
 * minutes, prints tables and writes the results as JSON to FILE. It checks no
 * bounds: docs/CAPACITY.md extrapolates the results to the two-year size.
 */

import { writeFileSync } from "node:fs";
import process from "node:process";
import {
  type AnnouncerSet,
  startEndpointSet,
  startWorkerSet,
} from "./instance/announcers.ts";
import {
  type CellRoles,
  type CellUsage,
  type CountedCell,
  startCountedCell,
} from "./instance/counted_cell.ts";
import { startCountingRelay } from "./instance/counting_relay.ts";
import {
  addJob,
  type Load,
  startConstantRate,
  startRequests,
  startWatchers,
  waitFor,
} from "./instance/load_steps.ts";
import { readProcessUsage } from "./instance/process_usage.ts";
import { measureRecordState } from "./instance/record_state.ts";
import { callJson, wait } from "../test/json_http.ts";
import { startProcess, type TestScope } from "../test/processes.ts";
import { startEndpointStub } from "../test/standin_endpoint.ts";

// Long enough for the JIT compiler to optimize the code for a new kind of load.
const SETTLE_MS = 3_000;
const STEP_MS = 4_000;
const IDLE_MS = 8_000;
const TASKS_PER_WORKER = 14;
// 14 tasks of this size fill a worker of 16 cores, and a 15th does not fit.
const TASK_PROCESSORS = 1_142;

interface InstanceRates {
  /** Processor time as a fraction of one core. */
  cores: number;
  residentMb: number;
  /** Bytes a second to and from other instances. */
  rpcBytes: number;
}

interface Step {
  scenario: string;
  /** The quantity that the scenario varies; for a rate, the measured value. */
  load: number;
  seconds: number;
  instances: Record<string, InstanceRates>;
  /** Whether the share of failed operations is at most 2% of the successful ones. */
  isSteady: boolean;
  /** Additional measurements of the step. */
  figures: Record<string, number>;
}

/** A step with a higher share of failures is saturated and excluded from the slopes. */
const MAX_FAILED_SHARE = 0.02;

interface Slope {
  scenario: string;
  role: string;
  /** Growth for each unit of load: core milliseconds a second, bytes a second and KiB. */
  coreMs: number;
  rpcBytes: number;
  residentKb: number;
  /** Largest load of a steady step. */
  maxLoad: number;
}

const steps: Step[] = [];
const teardowns: (() => unknown)[] = [];
const scope: TestScope = { teardown: (end) => void teardowns.push(end) };

function computeRates(before: CellUsage, after: CellUsage) {
  const seconds = (after.atMs - before.atMs) / 1_000;
  const rates: Record<string, InstanceRates> = {};
  for (const [name, last] of after.instances) {
    const first = before.instances.get(name);
    if (first === undefined) continue;
    rates[name] = {
      cores: (last.processorMs - first.processorMs) / 1_000 / seconds,
      residentMb: last.residentMb,
      rpcBytes: (last.bytes - first.bytes) / seconds,
    };
  }
  return { seconds, rates };
}

/** Records a step of resource usage and the growth a second of the counters that `read` returns. */
async function measureStep(
  cell: CountedCell,
  options: {
    scenario: string;
    load: number;
    lengthMs?: number;
    read?: () => Record<string, number>;
    /** Name of the counter whose rate is the load. */
    loadCounter?: string;
  },
): Promise<void> {
  await wait(SETTLE_MS);
  const before = cell.readUsage();
  const countsBefore = options.read?.() ?? {};
  const cpuBefore = process.cpuUsage();
  await wait(options.lengthMs ?? STEP_MS);
  const after = cell.readUsage();
  const countsAfter = options.read?.() ?? {};
  const { seconds, rates } = computeRates(before, after);
  const { user, system } = process.cpuUsage(cpuBefore);
  const figures: Record<string, number> = {
    benchCores: (user + system) / 1e6 / seconds,
  };
  for (const [name, count] of Object.entries(countsAfter)) {
    figures[name] = (count - (countsBefore[name] ?? 0)) / seconds;
  }
  const { scenario } = options;
  const load = options.loadCounter === undefined
    ? options.load
    : figures[options.loadCounter] ?? 0;
  const { failed = 0, accepted = 0, succeeded = 0 } = figures;
  const isSteady = failed <= MAX_FAILED_SHARE * (accepted + succeeded);
  steps.push({ scenario, load, seconds, isSteady, instances: rates, figures });
  console.log(`${scenario} ${load.toFixed(1)}`, JSON.stringify(figures));
}

function readAnnouncers(set: AnnouncerSet) {
  return () => {
    const { bytes, accepted, failed, starts } = set.counts;
    return { httpBytes: bytes, accepted, failed, starts };
  };
}

function readLoad(load: Load) {
  return () => ({ ...load.counts });
}

async function runWatchers(cell: CountedCell, roles: CellRoles) {
  const relay = await cell.openRelay(roles.fleetLeader);
  for (const count of [30, 300]) {
    const watchers = startWatchers(relay, count);
    const read = () => ({ ...watchers.counts });
    await measureStep(cell, { scenario: "watchers", load: count, read });
    const changes = startConstantRate(5, () => addQueueChange(cell));
    const scenario = "watchers with 5 changes a second";
    await measureStep(cell, { scenario, load: count, read });
    await changes.stop();
    watchers.stop();
  }
}

let queueCount = 0;

async function addQueueChange(cell: CountedCell): Promise<boolean> {
  return await cell.change([{
    type: "createQueue",
    name: `queue-${queueCount++}`,
    open: false,
    policy: "requests",
  }]) === 200;
}

async function runChanges(cell: CountedCell) {
  for (const perSecond of [5, 50]) {
    const load = startConstantRate(perSecond, () => addQueueChange(cell));
    await measureStep(cell, {
      scenario: "changes",
      load: perSecond,
      read: readLoad(load),
      loadCounter: "succeeded",
    });
    await load.stop();
  }
}

async function runEndpoints(cell: CountedCell, entry: string) {
  for (const count of [50, 200]) {
    const set = startEndpointSet({
      prefix: `idle-${count}`,
      count,
      dataCentre: "north",
      entries: [entry],
      queue: "idle",
    });
    const read = readAnnouncers(set);
    await measureStep(cell, { scenario: "endpoints", load: count, read });
    await set.stop();
  }
}

async function runRequests(cell: CountedCell, entry: string, key: string) {
  const endpoints = await Promise.all(
    Array.from({ length: 10 }, (_, position) =>
      startEndpointStub({
        name: `endpoint-${position}`,
        dataCentre: "north",
        entries: [entry],
        queues: ["orders"],
      })),
  );
  for (const idempotent of [true, false]) {
    for (const perSecond of [25, 100]) {
      const load = startRequests({
        address: entry,
        queue: "orders",
        key,
        perSecond,
        idempotent,
      });
      await measureStep(cell, {
        scenario: idempotent ? "requests" : "non-idempotent requests",
        load: perSecond,
        read: readLoad(load),
        loadCounter: "succeeded",
      });
      await load.stop();
    }
  }
  await Promise.all(endpoints.map((endpoint) => endpoint.stop()));
}

async function runStarts(cell: CountedCell, entry: string, key: string) {
  const set = await startWorkerSet({
    prefix: "start",
    count: 40,
    dataCentre: "west",
    entries: [entry],
  });
  await wait(SETTLE_MS);
  const dataCentre = "west";
  const job = { address: entry, key, dataCentre, runMs: 200 };
  for (const [tasks, perSecond] of [[1, 20], [1, 60], [20, 10]] as const) {
    const load = startConstantRate(
      perSecond,
      () => addJob({ ...job, tasks, processors: 100 }),
    );
    const scenario = tasks === 1
      ? "starts of one-task jobs"
      : "starts of 20-task jobs";
    await measureStep(cell, {
      scenario,
      load: perSecond * tasks,
      read: () => ({ ...readAnnouncers(set)(), ...load.counts }),
      loadCounter: "starts",
    });
    await load.stop();
  }
  await set.stop();
}

async function runIdleWorkers(
  cell: CountedCell,
  options: { scenario: string; entry: string; counts: readonly number[] },
) {
  const { scenario, entry } = options;
  for (const count of options.counts) {
    const set = await startWorkerSet({
      prefix: "idle",
      count,
      dataCentre: "south",
      entries: [entry],
    });
    await measureStep(cell, {
      scenario,
      load: count,
      read: readAnnouncers(set),
    });
    await set.stop();
  }
}

/** Adds workers in stages and fills each with 14 tasks; earlier workers keep running. */
async function runBusyWorkers(cell: CountedCell, entry: string, key: string) {
  const sets: AnnouncerSet[] = [];
  let previous = 0;
  for (const total of [10, 50, 100, 200]) {
    const count = total - previous;
    previous = total;
    const set = await startWorkerSet({
      prefix: `busy-${total}`,
      count,
      dataCentre: "north",
      entries: [entry],
    });
    sets.push(set);
    await wait(SETTLE_MS);
    const startMs = performance.now();
    for (let at = 0; at < count; at += 10) {
      await addJob({
        address: entry,
        key,
        dataCentre: "north",
        tasks: TASKS_PER_WORKER * Math.min(10, count - at),
        processors: TASK_PROCESSORS,
        runMs: 1e9,
      });
    }
    const taskCount = count * TASKS_PER_WORKER;
    const isFull = await waitFor(() => set.countRunning() >= taskCount, 10_000);
    const fillMs = performance.now() - startMs;
    const read = () => {
      const sum = { httpBytes: 0, accepted: 0, failed: 0 };
      for (const { counts } of sets) {
        sum.httpBytes += counts.bytes;
        sum.accepted += counts.accepted;
        sum.failed += counts.failed;
      }
      return sum;
    };
    await measureStep(cell, {
      scenario: "workers with 14 tasks",
      load: total,
      read,
    });
    Object.assign(steps.at(-1)?.figures ?? {}, {
      startsWhileFilling: taskCount / fillMs * 1_000,
      running: sets.reduce((sum, one) => sum + one.countRunning(), 0),
      isFull: isFull ? 1 : 0,
    });
  }
  for (const set of sets) await set.stop();
}

/** Measures the stub worker with 14 tasks: an upper estimate of the cost on a node. */
async function measureStubWorker(entry: string, key: string) {
  const relay = await startCountingRelay(Number(new URL(entry).port));
  scope.teardown(() => relay.stop());
  const child = startProcess(scope, "test/standin_worker.js", [
    ...["--name", "standin", "--data-centre", "south"],
    ...["--entry", `http://127.0.0.1:${relay.port}`],
  ]);
  const line = await child.waitForLine(/listening on/);
  const address = line.replace("listening on ", "");
  await wait(SETTLE_MS);
  await addJob({
    address: entry,
    key,
    dataCentre: "south",
    tasks: TASKS_PER_WORKER,
    processors: TASK_PROCESSORS,
    runMs: 1e9,
  });
  await wait(4_000);
  const status = await callJson(`${address}/tasks`);
  const { tasks } = status.body as { tasks: { state: string }[] };
  const before = { ...readProcessUsage(child.pid), bytes: relay.getBytes() };
  await wait(IDLE_MS);
  const after = { ...readProcessUsage(child.pid), bytes: relay.getBytes() };
  await child.kill();
  const seconds = IDLE_MS / 1_000;
  return {
    runningTasks: tasks.filter(({ state }) => state === "running").length,
    cores: (after.processorMs - before.processorMs) / 1_000 / seconds,
    residentMb: after.residentMb,
    bytes: (after.bytes - before.bytes) / seconds,
  };
}

/** Computes the slope of the least-squares line. */
function computeSlope(points: readonly (readonly [number, number])[]): number {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  let products = 0;
  let squares = 0;
  for (const [x, y] of points) {
    products += (x - meanX) * (y - meanY);
    squares += (x - meanX) ** 2;
  }
  return squares === 0 ? 0 : products / squares;
}

/** Computes slopes by role over the idle step and the steady steps of a scenario. */
function computeSlopes(
  scenario: string,
  roleNames: Record<string, string>,
): Slope[] {
  const idle = steps.find((step) => step.scenario === "idle");
  const scenarioSteps = steps.filter((step) =>
    step.scenario === scenario && step.isSteady
  );
  return Object.entries(roleNames).map(([role, instance]) => {
    const fit = (pick: (rates: InstanceRates) => number) =>
      computeSlope(
        [...(idle === undefined ? [] : [idle]), ...scenarioSteps].flatMap(
          (step) => {
            const rates = step.instances[instance];
            return rates === undefined
              ? []
              : [[step.load, pick(rates)] as const];
          },
        ),
      );
    return {
      scenario,
      role,
      coreMs: fit(({ cores }) => cores * 1_000),
      rpcBytes: fit(({ rpcBytes }) => rpcBytes),
      residentKb: fit(({ residentMb }) => residentMb * 1_024),
      maxLoad: Math.max(0, ...scenarioSteps.map(({ load }) => load)),
    };
  });
}

/** Returns the instances of a data centre by role; the follower is the entry instance. */
function findInstancesByRole(roles: CellRoles, dataCentre: string) {
  const previous: Record<string, string> = {
    north: "west-1",
    south: "north-1",
    west: "south-1",
  };
  const leader = roles.leaders[dataCentre] ?? "";
  const entry = [1, 2].map((number) => `${dataCentre}-${number}`)
    .find((name) => name !== leader) ?? "";
  return { leader, follower: entry, witness: previous[dataCentre] ?? "" };
}

async function runCell() {
  const cell = await startCountedCell(scope);
  const key = await cell.addWorkspace("lace");
  await cell.change([{
    type: "createQueue",
    name: "orders",
    open: false,
    policy: "requests",
  }]);
  await wait(3_000);
  const roles = await cell.readRoles();
  const north = findInstancesByRole(roles, "north");
  const south = findInstancesByRole(roles, "south");
  const west = findInstancesByRole(roles, "west");
  const getEntryAddress = (names: { follower: string }) =>
    cell.getAddress(names.follower);

  await measureStep(cell, { scenario: "idle", load: 0, lengthMs: IDLE_MS });
  const standin = await measureStubWorker(getEntryAddress(south), key);
  await runEndpoints(cell, getEntryAddress(north));
  await runRequests(cell, getEntryAddress(north), key);
  await runStarts(cell, getEntryAddress(west), key);
  await runWatchers(cell, roles);
  await runChanges(cell);
  await runIdleWorkers(cell, {
    scenario: "workers without tasks",
    entry: getEntryAddress(south),
    counts: [10, 100, 200, 1_000],
  });
  await runIdleWorkers(cell, {
    scenario: "workers without tasks, at the leader",
    entry: cell.getAddress(south.leader),
    counts: [100, 200],
  });
  const rolesBeforeTasks = await cell.readRoles();
  await runBusyWorkers(cell, getEntryAddress(north), key);
  const rolesAtEnd = await cell.readRoles();
  const fleet = {
    "fleet leader": roles.fleetLeader,
    "fleet follower": ["north-1", "south-1", "west-1"]
      .find((name) => name !== roles.fleetLeader) ?? "",
    "read copy": south.follower === roles.fleetLeader
      ? "south-2"
      : ["north-2", "south-2", "west-2"].find((name) =>
        !Object.values(roles.leaders).includes(name)
      ) ?? "south-2",
  };
  const slopes = [
    ...computeSlopes("endpoints", north),
    ...computeSlopes("requests", north),
    ...computeSlopes("non-idempotent requests", north),
    ...computeSlopes("starts of one-task jobs", west),
    ...computeSlopes("starts of 20-task jobs", west),
    ...computeSlopes("workers without tasks", south),
    ...computeSlopes("workers without tasks, at the leader", south),
    ...computeSlopes("workers with 14 tasks", north),
    ...computeSlopes("watchers", fleet),
    ...computeSlopes("watchers with 5 changes a second", fleet),
    ...computeSlopes("changes", fleet),
  ];
  return { roles, rolesBeforeTasks, rolesAtEnd, standin, slopes };
}

async function runAll() {
  try {
    return await runCell();
  } finally {
    for (const end of teardowns.reverse()) await end();
  }
}

function roundDeep(value: unknown): unknown {
  if (typeof value === "number") return Number(value.toPrecision(4));
  if (Array.isArray(value)) return value.map(roundDeep);
  if (typeof value !== "object" || value === null) return value;
  return Object.fromEntries(
    Object.entries(value).map(([name, part]) => [name, roundDeep(part)]),
  );
}

const startMs = performance.now();
const records = [10_000, 100_000, 350_000].map(measureRecordState);
const cellResults = await runAll();
const figures = roundDeep({
  seconds: (performance.now() - startMs) / 1_000,
  ...cellResults,
  steps,
  records,
}) as typeof cellResults & { steps: Step[]; records: typeof records };

console.log("\nIdle instances, and at the end of each step");
for (const step of figures.steps) {
  console.log(`${step.scenario}: ${step.load}`);
  console.table(step.instances);
}
console.log("\nSlopes for each unit of load");
console.table(figures.slopes);
console.log("\nStub worker with 14 tasks");
console.table([figures.standin]);
console.log("\nState of a data centre log with running tasks");
console.table(figures.records);
const path = process.argv[2];
if (path !== undefined) {
  writeFileSync(path, JSON.stringify(figures, undefined, 2) + "\n");
}
process.exit(0);
