/**
 * Tests the limits of a workspace across the whole fleet, with real processes:
 * requests and jobs in all data centres ask for more than the limits while
 * leaders are killed and a data centre is partitioned.
 */

import { randomUUID } from "node:crypto";
import t, { type Test } from "tap";
import type { KeySecret } from "../src/fleet/mod.ts";
import { type Cell, findLeader, restartAndJoin, startCell } from "./cell.ts";
import { callJson, waitUntil } from "./json_http.ts";
import { type Load, startLoad } from "./load.ts";
import { type EndpointStub, startEndpointStub } from "./standin_endpoint.ts";
import {
  computePeak,
  createJobCaller,
  createWorkerFleet,
  listOverlaps,
  type WorkerFleet,
} from "./work_fleet.ts";

t.setTimeout(240_000);

const QUEUE = "orders";
const DATA_CENTRES = ["north", "south", "west"];
const SLOTS = 6;
const PROCESSORS = 3_000;
const LOWERED_SLOTS = 3;
const LEASE_MS = 4_000;

// Longer than an election and the wait for earlier grants to expire, so that
// requests admitted by the previous leader still run under the new one.
const REQUEST_MS = 5_000;

let cell: Cell;
let key: KeySecret;
let fleet: WorkerFleet;
let load: Load;
let jobCount = 0;
const endpoints: EndpointStub[] = [];
const inFlight = { now: 0, peak: 0 };

t.before(async () => {
  cell = await startCell(t, {
    dataCentres: { north: 2, south: 2, west: 2 },
    hasRelays: true,
    settings: { tasks: { leaseMs: LEASE_MS, announcePeriodMs: 1_000 } },
  });
  fleet = createWorkerFleet(t);
  await cell.change([
    { type: "createQueue", name: QUEUE, open: false, policy: "requests" },
  ]);
  key = await cell.addWorkspace("lace", {
    slots: SLOTS,
    processors: PROCESSORS,
  });
  for (const dataCentre of DATA_CENTRES) {
    const entries = cell.listAddresses(dataCentre);
    const endpoint = await startEndpointStub({
      name: `${dataCentre}-e`,
      dataCentre,
      entries,
      queues: [QUEUE],
      handleInFlight(change) {
        inFlight.now += change;
        inFlight.peak = Math.max(inFlight.peak, inFlight.now);
      },
    });
    t.teardown(() => endpoint.stop());
    endpoints.push(endpoint);
    const name = `${dataCentre}-w`;
    await fleet.start({ name, dataCentre, entries, leaseMs: LEASE_MS });
  }
  load = startLoad({
    addresses: cell.addresses,
    queue: QUEUE,
    key: key.secret,
    prefix: "limits",
    callers: 12,
    timeoutMs: 8_000,
    delayMs: REQUEST_MS,
  });
  await waitForFullUse();
});

async function waitForFullUse(): Promise<void> {
  await waitUntil(
    () => inFlight.now === SLOTS && endpoints.every(isBusy),
    30_000,
    "the use of the whole limit in all data centres",
  );
}

function isBusy(endpoint: EndpointStub): boolean {
  return endpoint.getCounts().inFlight > 0;
}

async function submitJobs(): Promise<string[]> {
  const jobs = createJobCaller(cell, key.secret);
  const number = ++jobCount;
  const ids = DATA_CENTRES.map((dataCentre) => `${dataCentre}:job-${number}`);
  await Promise.all(ids.map((id) =>
    jobs.submit({
      id,
      policy: "batch",
      tasks: 8,
      resources: { processors: 500 },
      payload: { runMs: 1_500 },
    })
  ));
  return ids;
}

async function waitForJobs(ids: readonly string[]): Promise<void> {
  const jobs = createJobCaller(cell, key.secret);
  await Promise.all(
    ids.map((id) => jobs.waitForState(id, "finished", 40_000)),
  );
}

async function checkPeaks(t: Test): Promise<void> {
  const runs = await fleet.listRuns();
  const processors = computePeak(runs, (run) => run.resources.processors);
  t.comment(`peak: ${inFlight.peak} slots, ${processors} processors`);
  t.ok(inFlight.peak <= SLOTS, `slots within ${SLOTS}: ${inFlight.peak}`);
  t.ok(processors <= PROCESSORS, `processors ${processors}`);
  t.strictSame(listOverlaps(runs), [], "no task ran in two places at once");
  for (const endpoint of endpoints) {
    t.equal(endpoint.getCounts().slotViolations, 0, "slot limit kept");
  }
}

async function killLeader(dataCentre: string): Promise<string> {
  const [address = ""] = cell.listAddresses(dataCentre);
  const leader = await findLeader(address, dataCentre) ?? `${dataCentre}-1`;
  const next = leader.endsWith("1") ? `${dataCentre}-2` : `${dataCentre}-1`;
  await cell.get(leader).kill();
  await waitUntil(
    async () => await findLeader(cell.get(next).address, dataCentre) === next,
    10_000,
    `a successor in ${dataCentre}`,
  );
  return leader;
}

function countAnswered(): number {
  return load.result.answered;
}

/** Waits until `count` more requests have been answered, after a failure. */
async function waitForAnswers(count: number): Promise<void> {
  const before = countAnswered();
  await waitUntil(
    () => countAnswered() >= before + count,
    40_000,
    `${count} more answers`,
  );
}

// Guards against a new leader that does not count the requests its predecessor admitted.
t.test("a workspace stays within its limits when leaders are killed", {
  timeout: 120_000,
}, async (t) => {
  inFlight.peak = 0;
  const ids = await submitJobs();
  const leader = await killLeader("south");
  await waitForAnswers(SLOTS);
  await waitForJobs(ids);
  await checkPeaks(t);
  await restartAndJoin(cell, leader);
});

interface DataCentreStatus {
  readonly dataCentre: string;
  readonly slots?: {
    isRebuilding: boolean;
    workspaces: { workspace: string; running: number }[];
  };
  readonly allotments?: {
    appliedVersion: number;
    workspaces: { workspace: string; held: { slots: number } }[];
  };
}

function getRunning(
  workspaces: { workspace: string; running: number }[],
): number {
  return workspaces.find(({ workspace }) => workspace === "lace")?.running ?? 0;
}

/** Returns whether a version is in force by the rule of the design page: each data centre has applied it and runs at most its allotment. */
async function isInForce(version: number): Promise<boolean> {
  const { body } = await callJson(`${cell.listAddresses("west")[0]}/v1/status`);
  const { dataCentres } = body as { dataCentres: DataCentreStatus[] };
  return inFlight.now <= LOWERED_SLOTS &&
    dataCentres.every(({ allotments, slots }) => {
      const held = allotments?.workspaces.find(({ workspace }) =>
        workspace === "lace"
      )?.held;
      return (allotments?.appliedVersion ?? 0) >= version &&
        slots?.isRebuilding === false &&
        (held?.slots ?? -1) >= getRunning(slots.workspaces);
    });
}

// Guards against limits that are redistributed without the partitioned data centre, and against a lowered limit that never takes effect.
t.test("a limit that is lowered during a partition takes effect after it", {
  timeout: 120_000,
}, async (t) => {
  await waitForFullUse();
  inFlight.peak = 0;
  const ids = await submitJobs();
  cell.setLinks("south", "silent");
  const { status, body } = await callJson(
    `${cell.listAddresses("west")[0]}/v1/changes`,
    {
      body: {
        changeId: randomUUID(),
        operations: [
          {
            type: "updateWorkspace",
            name: "lace",
            limits: { slots: LOWERED_SLOTS },
          },
        ],
      },
      timeoutMs: 15_000,
    },
  );
  t.equal(status, 200, JSON.stringify(body));
  t.match(
    body,
    { pending: ["south"] },
    "the answer lists the pending data centre",
  );
  await killLeader("north");
  await waitForAnswers(SLOTS);
  cell.setLinks("south", "forward");
  const startMs = performance.now();
  const { version } = body as { version: number };
  await waitUntil(
    () => isInForce(version),
    // 7 s for the configuration, plus the time in which running requests end.
    7_000 + REQUEST_MS,
    "the lowered limit in force",
  );
  const inForceMs = Math.round(performance.now() - startMs);
  t.comment(`in force ${inForceMs} ms after the partition`);
  await checkPeaks(t);
  inFlight.peak = inFlight.now;
  await waitForAnswers(LOWERED_SLOTS);
  t.ok(inFlight.peak <= LOWERED_SLOTS, `lowered limit: ${inFlight.peak}`);
  await waitForJobs(ids);
  await checkPeaks(t);
  t.strictSame(load.result.mismatched, [], "no answer of another request");
  // Requests still in progress end with the instances.
  void load.stop();
});
