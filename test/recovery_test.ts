/**
 * Tests the recovery of instances, with real processes: a restart after
 * hundreds of missed changes, a lost disk, and a second loss right after the
 * repair.
 */

import { randomUUID } from "node:crypto";
import { rm } from "node:fs/promises";
import { join } from "node:path";
import t from "tap";
import { type Cell, startCell } from "./cell.ts";
import { callJson, waitUntil } from "./json_http.ts";
import { startProcess } from "./processes.ts";

t.setTimeout(240_000);

const CHANGE_COUNT = 300;

let cell: Cell;

t.before(async () => {
  cell = await startCell(t, { dataCentres: { north: 2, south: 2, west: 2 } });
});

interface LogStatus {
  members: { id: string; role: string }[];
  leader?: string;
}

async function getStatus(instance: string) {
  const { body } = await callJson(`${cell.get(instance).address}/v1/status`, {
    timeoutMs: 5_000,
  });
  return body as {
    fleet: { version: number; log?: LogStatus };
    logs: (LogStatus & { group: string })[];
  };
}

/** Waits until a new member id of `repaired` votes in the group and the old one is removed. */
async function waitForRepair(
  observer: string,
  group: string,
  repaired: string,
): Promise<string[]> {
  return await waitUntil(
    async () => {
      const status = await getStatus(observer);
      const log = group === "fleet"
        ? status.fleet.log
        : status.logs.find((one) => one.group === group);
      const voters = (log?.members ?? [])
        .filter(({ role }) => role !== "learner").map(({ id }) => id);
      const isReplaced = voters.some((id) => id.startsWith(`${repaired}#`)) &&
        !voters.includes(repaired);
      return isReplaced ? voters : undefined;
    },
    20_000,
    `the new member id of ${repaired} in ${group}`,
  );
}

async function getVersion(instance: string): Promise<number> {
  const { body } = await callJson(`${cell.get(instance).address}/v1/config`, {
    timeoutMs: 5_000,
  });
  return (body as { version: number }).version;
}

async function addQueue(instance: string, name: string): Promise<number> {
  const { status, body } = await callJson(
    `${cell.get(instance).address}/v1/changes`,
    {
      method: "POST",
      body: {
        changeId: randomUUID(),
        operations: [
          { type: "createQueue", name, open: false, policy: "batch" },
        ],
      },
      timeoutMs: 15_000,
    },
  );
  if (status !== 200) throw new Error(JSON.stringify(body));
  return (body as { version: number }).version;
}

// Guards against an instance that serves an old configuration after a restart.
t.test("instances that missed hundreds of changes catch up before they serve", {
  timeout: 120_000,
}, async (t) => {
  await Promise.all([cell.get("west-1").kill(), cell.get("west-2").kill()]);
  let version = 0;
  // Sent concurrently, since each answer waits until the change has propagated.
  for (let sent = 0; sent < CHANGE_COUNT; sent += 50) {
    const versions = await Promise.all(
      Array.from(
        { length: 50 },
        (_, index) => addQueue("north-1", `missed-${sent + index}`),
      ),
    );
    version = Math.max(version, ...versions);
  }
  const startMs = performance.now();
  for (const name of ["west-1", "west-2"]) {
    await (await cell.restart(name)).waitUntilReady(20_000);
    t.equal(await getVersion(name), version, `${name} is current once ready`);
  }
  await waitForRepair("west-1", "data-centre/west", "west-2");
  t.comment(`ready after ${Math.round(performance.now() - startMs)} ms`);
});

// Guards against a voter that votes with an empty log, and against counting it before it has caught up.
t.test("a lost disk is repaired and a second loss right after is tolerated", {
  timeout: 120_000,
}, async (t) => {
  const lost = cell.get("south-1");
  await lost.kill();
  await rm(join(lost.folder, "south-1-data"), { recursive: true });
  const before = await addQueue("north-1", "while-lost");
  await (await cell.restart("south-1")).waitUntilReady(30_000);
  await waitForRepair("west-1", "data-centre/west", "south-1");
  await waitForRepair("south-2", "data-centre/south", "south-1");
  const members = await waitForRepair("south-1", "fleet", "south-1");
  t.equal(members.length, 3, members.join(", "));
  await cell.get("north-1").kill();
  const version = await waitUntil(
    () => addQueue("south-2", "after-second-loss").catch(() => undefined),
    20_000,
    "a change without the second instance",
  );
  t.equal(version, before + 1, "nothing was lost");
  await (await cell.restart("north-1")).waitUntilReady(30_000);
  t.equal(await getVersion("north-1"), version);
});

// Guards against a configuration that reverts when every process restarts at once.
t.test("a restart of all instances loses no change", {
  timeout: 120_000,
}, async (t) => {
  const version = await getVersion("south-1");
  const names = [...cell.instances.keys()];
  await Promise.all(names.map((name) => cell.get(name).kill()));
  const restarted = await Promise.all(names.map((name) => cell.restart(name)));
  await Promise.all(restarted.map((one) => one.waitUntilReady(40_000)));
  for (const name of names) t.equal(await getVersion(name), version, name);
});

// Guards against a data centre that stays without a leader for good after it lost two members.
t.test("a log group is recovered from a surviving member", {
  timeout: 120_000,
}, async (t) => {
  const survivor = cell.get("west-1");
  const witness = cell.get("south-1");
  await Promise.all([
    survivor.kill(),
    cell.get("west-2").kill(),
    witness.kill(),
  ]);
  await rm(join(witness.folder, "south-1-data"), { recursive: true });
  const recovery = startProcess(t, "src/main.js", [
    "recover",
    "--settings",
    join(survivor.folder, "west-1.json"),
    "--group",
    "data-centre/west",
    "--confirm",
  ]);
  t.equal((await recovery.exited).code, 0, recovery.getLines().join("\n"));
  for (const name of ["west-1", "west-2", "south-1"]) {
    await (await cell.restart(name)).waitUntilReady(40_000);
  }
  await waitForRepair("west-1", "data-centre/west", "west-2");
  const members = await waitForRepair(
    "west-1",
    "data-centre/west",
    "south-1",
  );
  t.equal(members.length, 3, members.join(", "));
});
