/**
 * Tests faults of instances under load, with real processes: a planned restart
 * of every instance, and a killed and a frozen leader.
 */

import t, { type Test } from "tap";
import type { KeySecret } from "../src/fleet/mod.ts";
import {
  type Cell,
  findLeader,
  sendRequest,
  startCell,
  waitForAnswer,
} from "./cell.ts";
import { wait, waitUntil } from "./json_http.ts";
import { type LoadResult, startLoad } from "./load.ts";
import { type EndpointStub, startEndpointStub } from "./standin_endpoint.ts";

t.setTimeout(240_000);

const QUEUE = "orders";
const DATA_CENTRES = ["north", "south", "west"];

let cell: Cell;
let key: KeySecret;
const endpoints: EndpointStub[] = [];

t.before(async () => {
  cell = await startCell(t, { dataCentres: { north: 2, south: 2, west: 2 } });
  await cell.change([
    { type: "createQueue", name: QUEUE, open: false, policy: "requests" },
  ]);
  key = await cell.addWorkspace("lace");
  for (const dataCentre of DATA_CENTRES) {
    const endpoint = await startEndpointStub({
      name: `${dataCentre}-e`,
      dataCentre,
      entries: cell.listAddresses(dataCentre),
      queues: [QUEUE],
    });
    t.teardown(() => endpoint.stop());
    endpoints.push(endpoint);
  }
  for (const address of cell.addresses) await waitForRequest(address);
});

async function waitForRequest(address: string): Promise<void> {
  await waitForAnswer(
    () => sendRequest(address, QUEUE, { key: key.secret }),
    20_000,
  );
}

function countRuns(id: string): number {
  return endpoints.reduce(
    (sum, endpoint) => sum + (endpoint.getCounts().runs[id] ?? 0),
    0,
  );
}

function checkResult(t: Test, result: LoadResult): void {
  t.comment(
    `answered ${result.answered}, refused ${result.refused}, interrupted ${result.interrupted.length}, longest ${
      Math.round(result.longestMs)
    } ms`,
  );
  t.ok(result.answered > 0, "requests were answered");
  t.strictSame(result.mismatched, [], "no answer of another request");
  for (const endpoint of endpoints) {
    const { slotViolations, connectionViolations } = endpoint.getCounts();
    t.equal(slotViolations, 0, "slot limit kept");
    t.equal(connectionViolations, 0, "connection limit kept");
  }
}

// Guards against a planned stop that interrupts or loses requests.
t.test(
  "a rolling restart interrupts no request",
  { timeout: 120_000 },
  async (t) => {
    const load = startLoad({
      addresses: cell.addresses,
      queue: QUEUE,
      key: key.secret,
      prefix: "rolling",
    });
    for (const [name, instance] of [...cell.instances]) {
      const exit = await instance.stop();
      t.strictSame(exit, { code: 0, signal: null }, `${name} stopped`);
      await (await cell.restart(name)).waitUntilReady(20_000);
    }
    const result = await load.stop();
    checkResult(t, result);
    t.strictSame(result.interrupted, [], "no request was interrupted");
    t.strictSame(result.unanswered, [], "every request was answered");
  },
);

// Guards against a second run of non-idempotent requests when the leader that recorded them dies.
t.test(
  "a killed leader duplicates and loses no request",
  { timeout: 120_000 },
  async (t) => {
    const survivors = cell.addresses.filter((address) =>
      !address.includes(new URL(cell.get("south-1").address).port)
    );
    const idempotent = startLoad({
      addresses: cell.addresses,
      queue: QUEUE,
      key: key.secret,
      prefix: "kill",
    });
    const nonIdempotent = startLoad({
      addresses: cell.addresses,
      queue: QUEUE,
      key: key.secret,
      prefix: "kill-once",
      idempotent: false,
      timeoutMs: 8_000,
    });
    await wait(1_000);
    const leader = await findLeader(survivors[0] ?? "", "south") ?? "south-1";
    const killedAtMs = performance.now();
    await cell.get(leader).kill();
    const other = leader === "south-1" ? "south-2" : "south-1";
    await waitUntil(
      async () => await findLeader(cell.get(other).address, "south") === other,
      10_000,
      "a successor",
    );
    t.comment(
      `successor after ${Math.round(performance.now() - killedAtMs)} ms`,
    );
    await wait(3_000);
    await (await cell.restart(leader)).waitUntilReady(20_000);
    const result = await idempotent.stop();
    const nonIdempotentResult = await nonIdempotent.stop();
    checkResult(t, result);
    checkResult(t, nonIdempotentResult);
    t.strictSame(
      result.unanswered,
      [],
      "every idempotent request was answered",
    );
    const duplicated = nonIdempotentResult.answeredIds.filter((id) =>
      countRuns(id) !== 1
    );
    t.strictSame(duplicated, [], "each answered request ran once");
    const duplicatedUnanswered = nonIdempotentResult.unanswered.filter((id) =>
      countRuns(id) > 1
    );
    t.strictSame(duplicatedUnanswered, [], "no unanswered request ran twice");
  },
);

// Guards against a leader that keeps making decisions after a pause in which another one was elected.
t.test(
  "a frozen leader runs no request twice after it resumes",
  { timeout: 120_000 },
  async (t) => {
    const leader = await findLeader(cell.get("west-1").address, "west") ??
      "west-1";
    const other = leader === "west-1" ? "west-2" : "west-1";
    const load = startLoad({
      addresses: cell.addresses.filter((address) =>
        address !== cell.get(leader).address
      ),
      queue: QUEUE,
      key: key.secret,
      prefix: "freeze",
      idempotent: false,
      timeoutMs: 8_000,
    });
    await wait(500);
    cell.get(leader).freeze();
    await waitUntil(
      async () => await findLeader(cell.get(other).address, "west") === other,
      10_000,
      "a successor",
    );
    await wait(2_000);
    cell.get(leader).resume();
    await wait(2_000);
    const result = await load.stop();
    checkResult(t, result);
    const duplicated = [...result.answeredIds, ...result.unanswered]
      .filter((id) => countRuns(id) > 1);
    t.strictSame(duplicated, [], "no request ran twice");
    await waitForRequest(cell.get(leader).address);
  },
);
