import { readFile, stat } from "node:fs/promises";
import process from "node:process";
import t from "tap";
import {
  createTestFolder,
  findFreePorts,
  startInstance,
  startProcess,
} from "./processes.ts";
import { callJson, wait } from "./json_http.ts";

async function isAlive(pid: number): Promise<boolean> {
  await wait(20);
  try {
    return process.kill(pid, 0);
  } catch {
    return false;
  }
}

// Guards against processes and folders that outlive their test.
t.test("processes and folders are removed with their test", async (t) => {
  let pid = 0;
  let folder = "";
  await t.test("inner", async (t) => {
    const child = startProcess(t, "test/standin_endpoint.js");
    pid = child.pid;
    folder = await createTestFolder(t);
    await child.waitForLine(/^listening/);
    // A frozen process must end as well.
    child.freeze();
    t.ok(await isAlive(pid));
  });
  t.notOk(await isAlive(pid));
  await t.rejects(stat(folder));
});

// Guards against a freeze after which the process still answers.
t.test("a frozen process answers after it resumes", async (t) => {
  const child = startProcess(t, "test/standin_endpoint.js");
  const line = await child.waitForLine(/^listening/);
  const url = `${line.replace("listening on ", "")}/counts`;
  child.freeze();
  await t.rejects(callJson(url, { timeoutMs: 300 }));
  child.resume();
  t.equal((await callJson(url)).status, 200);
  t.strictSame(await child.kill(), { code: null, signal: "SIGKILL" });
});

// Guards against a test that waits for its whole timeout when an instance exits at startup.
t.test("waiting for an instance fails as soon as it exits", async (t) => {
  const [port = 0] = await findFreePorts(1);
  const settings = {
    instance: "a1",
    listen: { http: { host: "127.0.0.1", port } },
  };
  // The stub rejects the arguments of the program and exits.
  const instance = await startInstance(t, settings, {
    program: "test/standin_endpoint.js",
  });
  await t.rejects(instance.waitUntilReady(), {
    message: /^Instance "a1" ended with code 1/,
  });
  const written = await readFile(`${instance.folder}/a1.json`, "utf8");
  t.strictSame(JSON.parse(written), settings);
});

// Guards against two listeners of one test on one port.
t.test("free ports are distinct", async (t) => {
  const ports = [...await findFreePorts(20), ...await findFreePorts(20)];
  t.equal(new Set(ports).size, 40);
  t.ok(ports.every((port) => port >= 10_000 && port < 32_768));
});
