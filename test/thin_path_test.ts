/** Tests the basic paths of requests and jobs across real processes: three data centres with two instances each. */

import t from "tap";
import type { JsonAnswer } from "./json_http.ts";
import { callJson, waitUntil } from "./json_http.ts";
import type { KeySecret } from "../src/fleet/mod.ts";
import { type Cell, sendRequest, startCell, waitForAnswer } from "./cell.ts";
import { type EndpointStub, startEndpointStub } from "./standin_endpoint.ts";
import { startWorkerStub } from "./standin_worker.ts";

let cell: Cell;
let endpoint: EndpointStub;
let key: KeySecret;
let other: KeySecret;
let first = "";
let second = "";

t.before(async () => {
  cell = await startCell(t, { dataCentres: { north: 2, south: 2, west: 2 } });
  [first = "", second = ""] = cell.listAddresses("north");
  endpoint = await startEndpointStub({
    name: "e1",
    dataCentre: "north",
    entries: [first, second],
    queues: ["orders", "public"],
  });
  t.teardown(() => endpoint.stop());
  const worker = await startWorkerStub({
    name: "w1",
    dataCentre: "south",
    rack: "r1",
    entries: cell.listAddresses("south"),
    capacity: { processors: 16_000, memoryMb: 65_536, accelerators: 0 },
  });
  t.teardown(() => worker.stop());
  await cell.change([
    { type: "createQueue", name: "orders", open: false, policy: "requests" },
    { type: "createQueue", name: "public", open: true, policy: "requests" },
  ]);
  key = await cell.addWorkspace("lace");
  other = await cell.addWorkspace("toys");
});

function getBody(answer: JsonAnswer): Record<string, unknown> {
  return answer.body as Record<string, unknown>;
}

// Guards against an entry instance that cannot reach the endpoints of its own or another data centre.
t.test("a request is answered through every instance", async (t) => {
  for (const address of cell.addresses) {
    const answer = await waitForAnswer(() =>
      sendRequest(address, "orders", {
        key: key.secret,
        body: { from: address },
      })
    );
    t.match(answer.body, { endpoint: "e1", body: { from: address } });
  }
});

// Guards against a key that works longer than a few seconds after its withdrawal.
t.test("a withdrawn key stops working everywhere", async (t) => {
  const before = await sendRequest(second, "orders", { key: other.secret });
  t.equal(before.status, 200, JSON.stringify(before.body));
  const answer = await cell.change([{ type: "withdrawKey", id: other.id }]);
  t.equal(answer.status, 200, JSON.stringify(answer.body));
  t.strictSame(getBody(answer)["pending"], []);
  for (const address of cell.addresses) {
    const refused = await sendRequest(address, "orders", {
      key: other.secret,
    });
    t.equal(refused.status, 401);
    t.match(refused.body, { kind: "unauthenticated", ran: "no" });
  }
});

// Guards against jobs that are accepted and not run, or run twice.
t.test("a batch job runs under a lease and ends", async (t) => {
  const headers = { authorization: `Bearer ${key.secret}` };
  const id = "south:cut-plan-1";
  const submitted = await callJson(`${first}/v1/jobs`, {
    method: "POST",
    headers,
    body: {
      id,
      policy: "batch",
      tasks: 3,
      resources: { processors: 500, memoryMb: 64 },
      payload: { runMs: 300 },
    },
    timeoutMs: 10_000,
  });
  t.equal(submitted.status, 202, JSON.stringify(submitted.body));
  const finished = await waitUntil(
    async () => {
      const answer = await callJson(
        `${second}/v1/jobs/${encodeURIComponent(id)}`,
        { headers, timeoutMs: 5_000 },
      );
      return getBody(answer)["state"] === "finished" ? answer : undefined;
    },
    20_000,
    "the end of the job",
  );
  const tasks = getBody(finished)["tasks"] as { attempt: number }[];
  t.strictSame(tasks.map(({ attempt }) => attempt), [1, 1, 1]);
});

interface Refusal {
  name: string;
  path?: string;
  key?: string;
  body?: unknown;
  headers?: Record<string, string>;
  status: number;
  kind: string;
}

const listRefusals = (): Refusal[] => [
  { name: "no key", status: 401, kind: "unauthenticated" },
  { name: "wrong key", key: "gcl_x_y", status: 401, kind: "unauthenticated" },
  {
    name: "unknown queue",
    path: "/v1/queues/nowhere/requests",
    key: key.secret,
    status: 404,
    kind: "notFound",
  },
  {
    name: "body too large",
    key: key.secret,
    body: "x".repeat(1_100_000),
    status: 413,
    kind: "tooLarge",
  },
  {
    name: "deadline out of range",
    key: key.secret,
    headers: { "goldcrestlug-deadline-ms": "0" },
    status: 400,
    kind: "badRequest",
  },
  {
    name: "unknown field of a job",
    path: "/v1/jobs",
    key: key.secret,
    body: { resources: {}, colour: "red" },
    status: 400,
    kind: "badRequest",
  },
  {
    name: "malformed change",
    path: "/v1/changes",
    body: { changeId: "c", operations: [{ type: "createWorkspace" }] },
    status: 400,
    kind: "badRequest",
  },
  { name: "unknown path", path: "/v2", status: 404, kind: "notFound" },
];

// Guards against error answers without a documented kind, or that do not state that nothing ran.
t.test("invalid input gets a documented error kind", async (t) => {
  for (const refusal of listRefusals()) {
    const headers = {
      ...(refusal.key === undefined
        ? {}
        : { authorization: `Bearer ${refusal.key}` }),
      ...refusal.headers,
    };
    const path = refusal.path ?? "/v1/queues/orders/requests";
    const answer = await callJson(`${first}${path}`, {
      method: "POST",
      body: refusal.body ?? {},
      headers,
      timeoutMs: 5_000,
    });
    t.equal(answer.status, refusal.status, refusal.name);
    t.match(answer.body, { kind: refusal.kind, ran: "no" }, refusal.name);
    t.strictSame(
      Object.keys(getBody(answer)).sort(),
      ["kind", "message", "ran"],
      refusal.name,
    );
  }
});

// Guards against open queues that require a key.
t.test("an open queue accepts requests without a key", async (t) => {
  const answer = await sendRequest(first, "public", { body: { open: true } });
  t.equal(answer.status, 200, JSON.stringify(answer.body));
});

// Guards against more requests or connections at an endpoint than it announced.
t.test("the endpoint saw no violation", (t) => {
  const counts = endpoint.getCounts();
  t.equal(counts.slotViolations, 0);
  t.equal(counts.connectionViolations, 0);
  t.end();
});
