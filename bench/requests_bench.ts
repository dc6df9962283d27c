/**
 * Benchmark of the request path: overload compared with a first-come-first-served
 * baseline, a flood from one workspace, the cost of acquire and release, and
 * hedging. Prints tables, writes JSON to the path in the first argument and exits
 * with code 1 when a bound is exceeded.
 *
 * Simulated results are exact for a seed and compared directly. Wall times are
 * compared only as ratios within the run.
 */

import { writeFile } from "node:fs/promises";
import process from "node:process";
import { Bench } from "tinybench";
import {
  createManualClock,
  createSeededRandom,
  createSilentLogger,
} from "../src/common/mod.ts";
import { createSlotController } from "../src/requests/slots.ts";
import { type HedgingResult, runHedging } from "./requests_hedging.ts";
import {
  computePercentile,
  CONNECTIONS,
  ENDPOINTS,
  type LoadResult,
  runLoad,
  SLOTS,
  type WorkspaceLoad,
} from "./requests_simulation.ts";

const SEED = 20261204;

/** Minimum fraction of the slot time that does useful work under overload. */
const MIN_GOODPUT = 0.95;

/** 95% of refusals arrive within 10 ms, so that callers can quickly try elsewhere. */
const MAX_REFUSAL_P95_MS = 10;

/** A workspace within its share waits only milliseconds, regardless of the others' load. */
const MAX_QUIET_P99_MS = 10;

const LENGTH_MS = 5_000;
const WORKSPACES = 10;

interface Check {
  readonly name: string;
  readonly value: number;
  readonly bound: string;
  readonly holds: boolean;
}

const checks: Check[] = [];

function checkAtLeast(name: string, value: number, bound: number): void {
  checks.push({ name, value, bound: `>= ${bound}`, holds: value >= bound });
}

function checkAtMost(name: string, value: number, bound: number): void {
  checks.push({ name, value, bound: `<= ${bound}`, holds: value <= bound });
}

function listTimes(
  result: LoadResult,
  key: "waitMs" | "refusalMs",
  isIncluded: (workspace: string) => boolean = () => true,
): number[] {
  return [...result.workspaces].flatMap(([name, workspace]) =>
    isIncluded(name) ? workspace[key] : []
  );
}

function sumWorkspaces(
  result: LoadResult,
  key: "offered" | "answered" | "refused",
): number {
  let sum = 0;
  for (const workspace of result.workspaces.values()) sum += workspace[key];
  return sum;
}

function formatNumber(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

async function runOverload() {
  const rows = [];
  for (const load of [1, 2, 10]) {
    const workspaces: WorkspaceLoad[] = Array.from(
      { length: WORKSPACES },
      (_, i) => ({
        name: `t${i}`,
        weight: 1,
        load: load / WORKSPACES,
      }),
    );
    for (const policy of ["fair", "fcfs"] as const) {
      const options = { seed: SEED, workspaces, lengthMs: LENGTH_MS, policy };
      const result = await runLoad(options);
      const refusals = listTimes(result, "refusalMs");
      const waits = listTimes(result, "waitMs");
      const row = {
        load,
        policy,
        offered: sumWorkspaces(result, "offered"),
        answered: sumWorkspaces(result, "answered"),
        refused: sumWorkspaces(result, "refused"),
        goodput: formatNumber(result.goodput),
        waitP50Ms: computePercentile(waits, 50),
        waitP99Ms: computePercentile(waits, 99),
        refusalP50Ms: computePercentile(refusals, 50),
        refusalP95Ms: computePercentile(refusals, 95),
        refusalMaxMs: computePercentile(refusals, 100),
        peakInFlight: result.peak,
      };
      rows.push(row);
      if (policy !== "fair") continue;
      checkAtLeast(`goodput at ${load}x`, row.goodput, MIN_GOODPUT);
      checkAtMost(`in flight at ${load}x`, row.peakInFlight, SLOTS);
      if (load === 1) continue;
      checkAtMost(
        `refusal p95 in ms at ${load}x`,
        row.refusalP95Ms,
        MAX_REFUSAL_P95_MS,
      );
    }
  }
  return rows;
}

async function runFlood() {
  const quiet: WorkspaceLoad[] = Array.from(
    { length: WORKSPACES - 1 },
    (_, i) => ({
      name: `quiet${i}`,
      weight: 1,
      load: 0.05,
    }),
  );
  const flood: WorkspaceLoad = { name: "flood", weight: 1, load: 10 };
  const rows = [];
  for (const policy of ["fair", "fcfs"] as const) {
    for (const workspaces of [quiet, [...quiet, flood]]) {
      const options = { seed: SEED, workspaces, lengthMs: LENGTH_MS, policy };
      const result = await runLoad(options);
      const isQuiet = (name: string) => name !== "flood";
      const waits = listTimes(result, "waitMs", isQuiet);
      const refused = listTimes(result, "refusalMs", isQuiet).length;
      const row = {
        policy,
        flood: workspaces.length > quiet.length,
        quietWaitP50Ms: computePercentile(waits, 50),
        quietWaitP99Ms: computePercentile(waits, 99),
        quietRefused: refused,
        goodput: formatNumber(result.goodput),
      };
      rows.push(row);
      if (policy !== "fair") continue;
      const name = row.flood ? "with a flood" : "without a flood";
      checkAtMost(
        `quiet wait p99 in ms ${name}`,
        row.quietWaitP99Ms,
        MAX_QUIET_P99_MS,
      );
      checkAtMost(`quiet workspaces refused ${name}`, row.quietRefused, 0);
    }
  }
  return rows;
}

/** Creates a controller with full endpoints and `queued` requests, spread over `workspaces` workspaces. */
function createLoadedController(workspaces: number, queued: number) {
  const clock = createManualClock();
  const controller = createSlotController({
    clock,
    random: createSeededRandom(SEED),
    logger: createSilentLogger(),
    dataCentre: "kochi",
    epoch: 1,
    getPolicy: () => ({ weight: 1, slotLimit: ENDPOINTS * SLOTS }),
    queue: { maxQueued: 1e6, maxQueuedPerWorkspace: 1e6 },
    endpoints: { announcePeriodMs: 1e9 },
  });
  clock.advance(1_600);
  for (let i = 0; i < ENDPOINTS; i++) {
    controller.receiveAnnouncement({
      endpoint: `e${i}`,
      address: `http://127.0.0.1:${i + 1}`,
      dataCentre: "kochi",
      incarnation: 1,
      queues: ["orders"],
      slots: SLOTS,
      connections: CONNECTIONS,
      inFlight: 0,
      departing: false,
    });
  }
  let next = 0;
  const tokens: string[] = [];
  function acquire(): void {
    next += 1;
    controller.acquire({
      requestId: `r${next}`,
      scope: "s",
      workspace: `t${next % workspaces}`,
      queue: "orders",
      idempotent: true,
      remainingMs: 1e9,
      bodyHash: "",
      instance: `entry${next % 9}`,
      avoid: [],
      attempt: 0,
    }).then((grant) => tokens.push(grant.token));
  }
  for (let i = 0; i < queued; i++) acquire();
  return {
    async runPair() {
      acquire();
      await Promise.resolve();
      const token = tokens.shift();
      if (token !== undefined) controller.release(token, "answered", 100);
    },
  };
}

async function runCost() {
  const cases = [
    { name: "empty queue, 10 workspaces", workspaces: 10, queued: 0 },
    { name: "10,000 queued, 10 workspaces", workspaces: 10, queued: 10_240 },
    { name: "10,000 queued, 890 workspaces", workspaces: 890, queued: 10_240 },
  ];
  const bench = new Bench({ time: 500, warmupTime: 100 });
  for (const { name, workspaces, queued } of cases) {
    const loadedController = createLoadedController(workspaces, queued);
    bench.add(name, () => loadedController.runPair());
  }
  await bench.run();
  const means = bench.tasks.map(({ name, result }) => ({
    name,
    microseconds: "latency" in result ? result.latency.mean * 1_000 : NaN,
  }));
  const first = means[0]?.microseconds ?? NaN;
  return means.map(({ name, microseconds }) => ({
    name,
    microseconds: formatNumber(microseconds),
    ratio: formatNumber(microseconds / first),
  }));
}

async function runHedgingCases() {
  const cases = [
    { name: "healthy", slowEndpoints: 0, slowRequestPeriod: 0 },
    { name: "3 slow endpoints", slowEndpoints: 3, slowRequestPeriod: 0 },
    { name: "1 of 20 requests slow", slowEndpoints: 0, slowRequestPeriod: 20 },
  ];
  const rows: (Record<string, unknown> & HedgingResult)[] = [];
  for (const load of [0.5, 0.9, 2]) {
    for (const { name, ...slow } of cases) {
      for (const hedgeFactor of [undefined, 3]) {
        const options = { seed: SEED, load, ...slow, hedgeFactor };
        const result = await runHedging({ ...options, lengthMs: LENGTH_MS });
        rows.push({
          load,
          case: name,
          hedging: hedgeFactor === undefined ? "off" : `${hedgeFactor} x mean`,
          ...result,
          p50Ms: formatNumber(result.p50Ms),
          p99Ms: formatNumber(result.p99Ms),
          sendsPerAnswer: formatNumber(result.sendsPerAnswer),
        });
      }
    }
  }
  return rows;
}

console.log(`seed ${SEED}`);
const overload = await runOverload();
console.log("Overload, 10 workspaces of equal weight");
console.table(overload);
const flood = await runFlood();
console.log(
  "One workspace offers 10x the capacity; nine offer half of their share",
);
console.table(flood);
const cost = await runCost();
console.log("Cost of one acquire and release");
console.table(cost);
const hedging = await runHedgingCases();
console.log("Hedging; slow endpoints and requests take ten times as long");
console.table(hedging);
console.log("Bounds");
console.table(checks);

const path = process.argv[2];
if (path !== undefined) {
  const report = { seed: SEED, overload, flood, cost, hedging, checks };
  await writeFile(path, JSON.stringify(report, undefined, 2) + "\n");
}
process.exitCode = checks.every(({ holds }) => holds) ? 0 : 1;
