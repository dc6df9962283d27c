/**
 * Tests partitions between data centres, with real processes and relays between
 * them: a partitioned data centre keeps serving, its keys and configuration
 * catch up afterwards, and of concurrent changes by operators one is accepted.
 */

import { randomUUID } from "node:crypto";
import t from "tap";
import type { KeySecret } from "../src/fleet/mod.ts";
import { type Cell, sendRequest, startCell, waitForAnswer } from "./cell.ts";
import { callJson, type JsonAnswer, wait, waitUntil } from "./json_http.ts";
import { startEndpointStub } from "./standin_endpoint.ts";

t.setTimeout(240_000);

const QUEUE = "orders";

let cell: Cell;
let key: KeySecret;
let withdrawn: KeySecret;

t.before(async () => {
  cell = await startCell(t, {
    dataCentres: { north: 2, south: 2, west: 2 },
    hasRelays: true,
  });
  await cell.change([
    { type: "createQueue", name: QUEUE, open: false, policy: "requests" },
  ]);
  key = await cell.addWorkspace("lace");
  withdrawn = await cell.addWorkspace("toys");
  for (const dataCentre of ["north", "south", "west"]) {
    const endpoint = await startEndpointStub({
      name: `${dataCentre}-e`,
      dataCentre,
      entries: cell.listAddresses(dataCentre),
      queues: [QUEUE],
    });
    t.teardown(() => endpoint.stop());
  }
  for (const address of cell.addresses) {
    await waitForAnswer(
      () => sendRequest(address, QUEUE, { key: key.secret }),
      20_000,
    );
  }
});

async function submit(
  address: string,
  body: Record<string, unknown>,
): Promise<JsonAnswer> {
  return await callJson(`${address}/v1/changes`, {
    method: "POST",
    body,
    timeoutMs: 15_000,
  });
}

async function getVersion(address: string): Promise<number> {
  const { body } = await callJson(`${address}/v1/config`, { timeoutMs: 5_000 });
  return (body as { version: number }).version;
}

function buildQueueChange(name: string, expectedVersion?: number) {
  return {
    changeId: randomUUID(),
    ...(expectedVersion === undefined ? {} : { expectedVersion }),
    operations: [{ type: "createQueue", name, open: false, policy: "batch" }],
  };
}

// Guards against two accepted changes that both replace the same version.
t.test("exactly one of several concurrent changes is accepted", async (t) => {
  const version = await getVersion(cell.addresses[0] ?? "");
  const answers = await Promise.all(
    cell.addresses.map((address, index) =>
      submit(address, buildQueueChange(`race-${index}`, version))
    ),
  );
  const statuses = answers.map(({ status }) => status).sort();
  t.strictSame(statuses, [200, 409, 409, 409, 409, 409]);
  t.equal(await getVersion(cell.addresses[0] ?? ""), version + 1);
});

// Guards against a change that is applied twice when its answer was lost.
t.test("a resent change gets the first answer", async (t) => {
  const change = buildQueueChange("resent");
  const answers: JsonAnswer[] = [];
  for (const address of cell.addresses) {
    answers.push(await submit(address, change));
  }
  const versions = new Set(
    answers.map(({ body }) => (body as { version: number }).version),
  );
  t.equal(versions.size, 1, JSON.stringify(answers.map(({ body }) => body)));
});

// Guards against a data centre that stops serving or misses changes when its links stall without closing.
t.test(
  "a partitioned data centre keeps serving and catches up",
  { timeout: 120_000 },
  async (t) => {
    const [inside = "", insideToo = ""] = cell.listAddresses("south");
    const [outside = ""] = cell.listAddresses("north");
    cell.setLinks("south", "silent");
    await wait(4_000);
    for (const address of [inside, insideToo]) {
      const served = await sendRequest(address, QUEUE, { key: key.secret });
      t.equal(served.status, 200, JSON.stringify(served.body));
    }

    const startMs = performance.now();
    const accepted = await submit(outside, buildQueueChange("during-the-cut"));
    t.equal(accepted.status, 200, JSON.stringify(accepted.body));
    t.ok(performance.now() - startMs < 7_000, "in force elsewhere within 7 s");
    t.match(accepted.body, { pending: ["south"] });

    const home = await sendRequest(inside, QUEUE, {
      key: key.secret,
      headers: {
        "goldcrestlug-request-id": "north:once-1",
        "goldcrestlug-idempotent": "false",
      },
    });
    t.match(
      home.body,
      { kind: "unavailable", ran: "no" },
      "home data centre unreachable",
    );

    const local = await submit(inside, {
      changeId: randomUUID(),
      operations: [{ type: "withdrawKey", id: withdrawn.id }],
    });
    t.equal(local.status, 202, JSON.stringify(local.body));
    t.match(local.body, { inForce: ["south"] });
    for (const address of [inside, insideToo]) {
      const refused = await sendRequest(address, QUEUE, {
        key: withdrawn.secret,
      });
      t.equal(refused.status, 401, "withdrawn here immediately");
    }

    cell.setLinks("south", "forward");
    const healedAtMs = performance.now();
    const version = (accepted.body as { version: number }).version;
    await waitUntil(
      async () => await getVersion(inside) >= version,
      20_000,
      "the missed change",
    );
    t.comment(
      `caught up ${
        Math.round(performance.now() - healedAtMs)
      } ms after the partition`,
    );
    await waitUntil(
      async () => {
        const answer = await sendRequest(outside, QUEUE, {
          key: withdrawn.secret,
        });
        return answer.status === 401;
      },
      20_000,
      "the withdrawal in the other data centre",
    );
    const after = await sendRequest(inside, QUEUE, {
      key: key.secret,
      headers: {
        "goldcrestlug-request-id": "north:once-1",
        "goldcrestlug-idempotent": "false",
      },
    });
    t.equal(after.status, 200, JSON.stringify(after.body));
  },
);
