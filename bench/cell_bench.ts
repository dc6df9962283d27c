/**
 * Measures idle cells of 6 and 20 real instances on loopback: resource usage and
 * the time for a configuration change to reach all instances. Also measures an
 * idle stub endpoint and the size of allotments.
 *
 * `node dist/bench/cell_bench.js [FILE]` takes about two minutes, prints tables
 * and writes the results as JSON to FILE. It checks no bounds: docs/CAPACITY.md
 * extrapolates the results to the two-year size.
 */

import { writeFileSync } from "node:fs";
import process from "node:process";
import { measureAllotmentState } from "./instance/allotment_state.ts";
import { type CountedCell, startCountedCell } from "./instance/counted_cell.ts";
import { startCountingRelay } from "./instance/counting_relay.ts";
import { readProcessUsage } from "./instance/process_usage.ts";
import { callJson, wait } from "../test/json_http.ts";
import { startProcess, type TestScope } from "../test/processes.ts";

const SETTLE_MS = 8_000;
const IDLE_MS = 10_000;
const CHANGES_COUNT = 10;
/** Timeout for a change to reach all instances; the bound on the design page is 7 s. */
const MAX_PROPAGATION_MS = 20_000;

interface InstanceUsage {
  instance: string;
  role: string;
  cores: number;
  residentMb: number;
  rpcBytes: number;
}

async function readVersion(cell: CountedCell, instance: string) {
  const { body } = await callJson(`${cell.getAddress(instance)}/v1/config`, {
    timeoutMs: 2_000,
  });
  return (body as { version: number }).version;
}

/** Measures the times from submitting a change until all instances have its version, sorted. */
async function measurePropagation(cell: CountedCell): Promise<number[]> {
  const reachMs: number[] = [];
  for (let count = 0; count < CHANGES_COUNT; count++) {
    const [first = ""] = cell.listInstances();
    const version = await readVersion(cell, first) + 1;
    const startMs = performance.now();
    const changed = cell.change([{
      type: "createQueue",
      name: `queue-${count}`,
      open: false,
      policy: "requests",
    }]);
    await Promise.all(
      cell.listInstances().map(async (instance) => {
        while (performance.now() - startMs < MAX_PROPAGATION_MS) {
          if (await readVersion(cell, instance) >= version) return;
          await wait(100);
        }
        throw new Error(
          `Cannot read version ${version} on instance "${instance}" in time`,
        );
      }),
    );
    reachMs.push(performance.now() - startMs);
    await changed;
  }
  return reachMs.sort((a, b) => a - b);
}

async function measureIdle(cell: CountedCell): Promise<InstanceUsage[]> {
  await wait(SETTLE_MS);
  const { fleetLeader, leaders } = await cell.readRoles();
  const before = cell.readUsage();
  await wait(IDLE_MS);
  const after = cell.readUsage();
  const seconds = (after.atMs - before.atMs) / 1_000;
  return [...after.instances].map(([instance, last]) => {
    const first = before.instances.get(instance) ?? last;
    const roles = [
      ...(instance === fleetLeader ? ["fleet leader"] : []),
      ...(Object.values(leaders).includes(instance) ? ["leader"] : []),
      ...(instance.endsWith("-1") ? ["witness"] : []),
    ];
    return {
      instance,
      role: roles.join(", "),
      cores: (last.processorMs - first.processorMs) / 1_000 / seconds,
      residentMb: last.residentMb,
      rpcBytes: (last.bytes - first.bytes) / seconds,
    };
  });
}

async function measureCell(dataCentres: readonly string[]) {
  const teardowns: (() => unknown)[] = [];
  const scope: TestScope = { teardown: (end) => void teardowns.push(end) };
  try {
    const cell = await startCountedCell(scope, dataCentres);
    const idle = await measureIdle(cell);
    const reachMs = await measurePropagation(cell);
    return { dataCentres: dataCentres.length, idle, reachMs };
  } finally {
    for (const end of teardowns.reverse()) await end();
  }
}

/** Measures the resource usage of an idle stub endpoint whose announcements all succeed. */
async function measureStubEndpoint() {
  const teardowns: (() => unknown)[] = [];
  const scope: TestScope = { teardown: (end) => void teardowns.push(end) };
  try {
    const cell = await startCountedCell(scope);
    const [first = ""] = cell.listInstances();
    const { port } = new URL(cell.getAddress(first));
    const relay = await startCountingRelay(Number(port));
    scope.teardown(() => relay.stop());
    const child = startProcess(scope, "test/standin_endpoint.js", [
      ...["--name", "endpoint", "--data-centre", "north"],
      ...["--queues", "orders"],
      ...["--entry", `http://127.0.0.1:${relay.port}`],
    ]);
    await child.waitForLine(/listening on/);
    await wait(SETTLE_MS);
    const before = { ...readProcessUsage(child.pid), bytes: relay.getBytes() };
    await wait(IDLE_MS);
    const after = { ...readProcessUsage(child.pid), bytes: relay.getBytes() };
    const seconds = IDLE_MS / 1_000;
    return {
      cores: (after.processorMs - before.processorMs) / 1_000 / seconds,
      residentMb: after.residentMb,
      bytes: (after.bytes - before.bytes) / seconds,
    };
  } finally {
    for (const end of teardowns.reverse()) await end();
  }
}

const regions = Array.from({ length: 10 }, (_, at) => `region${at}`);
const cells = [];
for (const names of [regions.slice(0, 3), regions]) {
  const figures = await measureCell(names);
  console.log(`\nIdle cell of ${names.length} data centres`);
  console.table(figures.idle);
  console.log("Time until a change has reached all instances, ms");
  console.log(figures.reachMs.map(Math.round).join(" "));
  cells.push(figures);
}
const allotments = [
  measureAllotmentState(89, 10),
  measureAllotmentState(890, 10),
  measureAllotmentState(890, 35),
];
console.log("\nAllotments of one data centre");
console.table(allotments);
const endpoint = await measureStubEndpoint();
console.log("\nStub endpoint");
console.table([endpoint]);
const path = process.argv[2];
if (path !== undefined) {
  writeFileSync(
    path,
    JSON.stringify({ cells, allotments, endpoint }, undefined, 2) + "\n",
  );
}
process.exit(0);
