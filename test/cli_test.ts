/** Tests the command line against a whole cell in one process, as an operator uses it. */

import { execFile } from "node:child_process";
import { existsSync } from "node:fs";
import { readFile, writeFile } from "node:fs/promises";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import t from "tap";
import { createSilentLogger } from "../src/common/mod.ts";
import { type DevCell, startDevCell } from "../src/dev/dev_cell.ts";
import { callJson, waitUntil } from "./json_http.ts";
import { createTestFolder, findFreePorts, startProcess } from "./processes.ts";
import { startWorkerStub } from "./standin_worker.ts";

t.setTimeout(120_000);

const MAIN = fileURLToPath(new URL("../src/main.js", import.meta.url));

let cell: DevCell;
let folder = "";

t.before(async () => {
  const [httpPort = 0, rpcPort = 0] = await findFreePorts(2);
  cell = await startDevCell({
    httpPort,
    rpcPort,
    logger: createSilentLogger(),
  });
  t.teardown(() => cell.stop());
  folder = await createTestFolder(t);
});

interface Run {
  code: number;
  stdout: string;
  stderr: string;
}

function runProgram(...args: string[]): Promise<Run> {
  return new Promise((resolve) => {
    execFile(
      process.execPath,
      [MAIN, ...args, "--address", cell.address],
      { env: { ...process.env, GOLDCRESTLUG_KEY: cell.key } },
      (error, stdout, stderr) => {
        const code = typeof error?.code === "number" ? error.code : 0;
        resolve({ code, stdout, stderr });
      },
    );
  });
}

async function runJson(...args: string[]): Promise<Record<string, unknown>> {
  const { stdout, stderr, code } = await runProgram(...args, "--json");
  if (code !== 0) throw new Error(stderr);
  return JSON.parse(stdout);
}

// Guards against a key that an operator gets but no instance accepts.
t.test("a workspace and a key that an operator creates work", async (t) => {
  const created = await runProgram(
    "workspace",
    "create",
    "lace",
    "--share",
    "2",
    "--slots",
    "4",
  );
  t.match(created.stdout, /Accepted as version \d+/);
  const granted = await runJson("key", "grant", "lace");
  const secret = String(granted["secret"]);
  const send = (key: string) =>
    callJson(`${cell.address}/v1/queues/demo/requests`, {
      method: "POST",
      body: {},
      headers: { authorization: `Bearer ${key}` },
      timeoutMs: 15_000,
    });
  await waitUntil(
    async () => (await send(secret)).status === 200,
    10_000,
    "an answer",
  );
  const shown = await runProgram("config");
  t.notMatch(shown.stdout, secret, "the secret is shown once");
  const keys = JSON.stringify(await runJson("key", "list"));
  t.match(keys, String(granted["id"]));
  t.notMatch(keys, "hash");
  await runJson("key", "withdraw", String(granted["id"]));
  t.equal((await send(secret)).status, 401);
});

// Guards against exit codes and messages that a script cannot act on.
t.test("rejected commands set an exit code and name the error", async (t) => {
  const bad = await runProgram("workspace", "create", "x", "--share", "-1");
  t.equal(bad.code, 2);
  t.match(bad.stderr, "badRequest: Cannot read change");
  const missing = await runProgram("job", "show", "none");
  t.equal(missing.code, 2);
  t.match(missing.stderr, "notFound");
  const again = await runProgram("workspace", "create", "demo");
  t.not(again.code, 0);
});

interface LeaderStatus {
  slots: { queued: number; granted: number; workspaces: unknown };
  [part: string]: unknown;
}

/** Reads what an explanation must not change; ages and idle connections change by themselves. */
async function readLeaderState() {
  const status = await runJson("status") as unknown as {
    dataCentres: LeaderStatus[];
  };
  const [leader] = status.dataCentres;
  const { slots, allotments, requestRecords, jobs } = leader!;
  const { queued, granted, workspaces } = slots;
  const page = await (await fetch(`${cell.address}/metrics`)).text();
  const counters = page.split("\n").filter((line) =>
    // Not the gauge of open requests, which also counts announcements in progress.
    /^goldcrestlug_(requests|slot|task)\w*_total[{ ]/.test(line)
  );
  const shown = { queued, granted, workspaces };
  return { shown, allotments, requestRecords, jobs, counters };
}

// Guards against an explanation that runs the request, that differs from what the
// request then gets, or whose errors and exit codes differ from the real call.
t.test("a request is explained without being sent", async (t) => {
  const before = await readLeaderState();
  const args = ["explain", "request", "--queue", "demo"];
  const explanation = await runJson(...args, "--idempotent", "false");
  t.match(explanation, { outcome: "starts", workspace: "demo" });
  t.match(explanation["local"], { chosen: { names: ["endpoint-1"] } });
  t.same(await readLeaderState(), before);
  const sent = await callJson(`${cell.address}/v1/queues/demo/requests`, {
    method: "POST",
    body: {},
    headers: { authorization: `Bearer ${cell.key}` },
    timeoutMs: 15_000,
  });
  t.equal(sent.status, 200);
  const text = await runProgram(...args);
  t.match(text.stdout, 'would start at once in data centre "demo"');
  const missing = await runProgram("explain", "request", "--queue", "none");
  t.equal(missing.code, 2);
  t.match(missing.stderr, "notFound");
  const refused = await runProgram(...args, "--key", "wrong");
  t.equal(refused.code, 3);
  t.match(refused.stderr, "unauthenticated");
});

// Guards against a sheet that is applied in part or twice.
t.test("a sheet is planned and applied whole", async (t) => {
  const file = join(folder, "sheet.csv");
  await writeFile(file, await readExampleSheet());
  const plan = await runProgram("sheet", "plan", file);
  t.equal(plan.code, 0, plan.stderr);
  const applied = await runProgram("sheet", "apply", file);
  t.equal(applied.code, 0, applied.stderr);
  const second = await runProgram("sheet", "plan", file);
  t.match(second.stdout, "changes nothing");
});

async function readExampleSheet(): Promise<string> {
  const path = fileURLToPath(
    new URL("../../examples/consortium/sheet.csv", import.meta.url),
  );
  return await readFile(path, "utf8");
}

// Guards against jobs and reports that are not available on the command line.
t.test("a job is submitted and the burn report counts requests", async (t) => {
  const file = join(folder, "job.json");
  const job = {
    id: "demo:job-1",
    resources: { processors: 100, memoryMb: 10 },
    payload: { runMs: 50 },
  };
  await writeFile(file, JSON.stringify(job));
  await runJson("job", "submit", file);
  await waitUntil(
    async () =>
      (await runJson("job", "show", "demo:job-1"))["state"] === "finished",
    20_000,
    "the end of the job",
  );
  const html = join(folder, "burn.html");
  const report = await runProgram("report", "burn", "--html", html);
  t.equal(report.code, 0, report.stderr);
  t.match(report.stdout, "demo");
  t.match(await readFile(html, "utf8"), "<svg");
  const metrics = await fetch(`${cell.address}/metrics`);
  const page = await metrics.text();
  t.match(page, /goldcrestlug_requests_total\{.*workspace="demo".*\} \d+/);
  t.match(page, "goldcrestlug_task_starts_total");
});

// Guards against an explanation that submits the job, that names other workers than
// the job then gets, or whose errors and exit codes differ from a submission.
t.test("a job is explained without being submitted", async (t) => {
  const file = join(folder, "explained.json");
  const job = {
    id: "demo:explained",
    tasks: 3,
    resources: { processors: 100, memoryMb: 10 },
    payload: { runMs: 50 },
  };
  await writeFile(file, JSON.stringify(job));
  const before = await readLeaderState();
  const explanation = await runJson("explain", "job", file);
  t.match(explanation, { outcome: "starts", dataCentre: "demo" });
  t.match(explanation["home"], { chosen: [{ worker: "worker-1", tasks: 3 }] });
  t.same(await readLeaderState(), before);
  t.equal((await runProgram("job", "show", job.id)).code, 2);
  await runJson("job", "submit", file);
  const ended = await waitUntil(
    async () => {
      const shown = await runJson("job", "show", job.id);
      return shown["state"] === "finished" ? shown : undefined;
    },
    20_000,
    "the end of the job",
  );
  t.match(ended["counts"], { finished: 3 });
  const again = await runProgram("explain", "job", file);
  t.match(again.stdout, "The same job was submitted before");
  for (const change of [{ tasks: 4 }, { queue: "none" }]) {
    await writeFile(file, JSON.stringify({ ...job, ...change }));
    const explained = await runProgram("explain", "job", file);
    const submitted = await runProgram("job", "submit", file);
    t.equal(explained.code, submitted.code);
    t.equal(explained.stderr, submitted.stderr);
  }
});

// Guards against a second process that opens the data folder of a running one.
t.test("a second process with the same address does not start", async (t) => {
  const port = Number(new URL(cell.address).port);
  const [rpcPort = 0] = await findFreePorts(1);
  const listen = {
    http: { host: "127.0.0.1", port },
    rpc: { host: "127.0.0.1", port: rpcPort },
  };
  const settings = {
    instance: "second",
    dataCentre: "demo",
    roles: { voter: true },
    listen,
    dataFolder: "second-data",
    instances: [{
      instance: "second",
      dataCentre: "demo",
      ...listen,
      scheduler: true,
      voter: true,
      witnessFor: [],
    }],
  };
  const file = join(folder, "second.json");
  await writeFile(file, JSON.stringify(settings));
  const second = startProcess(t, "src/main.js", ["serve", "--settings", file]);
  const { code } = await second.exited;
  t.equal(code, 4, second.getLines().join("\n"));
  t.equal(
    existsSync(join(folder, "second-data")),
    false,
    "no data folder is created",
  );
});

// Guards against a job that is still reported as never runnable after the fleet has grown.
t.test("a job reports why it cannot run until it can", async (t) => {
  const file = join(folder, "large.json");
  const resources = { processors: 16_000, memoryMb: 65_537 };
  const job = { id: "demo:large", resources, payload: { runMs: 60_000 } };
  await writeFile(file, JSON.stringify(job));
  await runProgram("team", "update", "demo", "--memory-mb", "200000");
  await runJson("job", "submit", file);
  const shown = await waitUntil(
    async () => {
      const answer = await runJson("job", "show", "demo:large");
      return answer["neverRunnable"];
    },
    10_000,
    "the reason",
  );
  t.match(shown, [{ resource: "memoryMb", requested: 65_537 }]);
  const worker = await startWorkerStub({
    name: "large-worker",
    dataCentre: "demo",
    rack: "rack-2",
    entries: [cell.address],
    capacity: { processors: 32_000, memoryMb: 131_072, accelerators: 0 },
  });
  t.teardown(() => worker.stop());
  const running = await waitUntil(
    async () => {
      const answer = await runJson("job", "show", "demo:large");
      return answer["state"] === "running" ? answer : undefined;
    },
    20_000,
    "the start of the job",
  );
  t.equal(running["neverRunnable"], undefined);
});
