/** Tests TLS on the listeners of two instances in one data centre and their witness. */

import { Buffer } from "node:buffer";
import { execFile } from "node:child_process";
import { X509Certificate } from "node:crypto";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import process from "node:process";
import { connect } from "node:tls";
import { fileURLToPath } from "node:url";
import { credentials, ServerCredentials } from "@grpc/grpc-js";
import type { ChannelCredentials } from "@grpc/grpc-js";
import t from "tap";
import { Agent, setGlobalDispatcher } from "undici";
import { createLogger, createSystemClock, isFault } from "../src/common/mod.ts";
import { type Instance, startInstance } from "../src/instance/mod.ts";
import {
  createRpcCredentials,
  createRpcPeer,
  type RpcPeer,
  startRpcServer,
} from "../src/rpc/mod.ts";
import { loadSettings, resolveSettings } from "../src/settings/mod.ts";
import type { Settings } from "../src/settings/mod.ts";
import { openCertificateFiles } from "../src/tls/mod.ts";
import { sendRequest, waitForAnswer } from "./cell.ts";
import {
  createAuthority,
  createCertificate,
  saveCertificate,
  type TestCertificate,
} from "./certificates.ts";
import { callJson, wait, waitUntil } from "./json_http.ts";
import { createTestFolder, findFreePorts } from "./processes.ts";
import { startEndpointStub } from "./standin_endpoint.ts";

const HOST = "127.0.0.1";
const RELOAD_MS = 200;
// A single command may take 20 s.
t.setTimeout(240_000);

const MAIN = fileURLToPath(new URL("../src/main.js", import.meta.url));
const NAMES = ["north-1", "north-2", "south-1"] as const;

const logger = createLogger({ level: "error" });
const clock = createSystemClock();
let folder = "";
let caFile = "";
let ca: TestCertificate;
let foreignCa: TestCertificate;
let foreign: TestCertificate;
let settings: Settings[] = [];
let addresses: string[] = [];
let rpcPort = 0;

function buildInstances(ports: number[]) {
  const takeAddress = () => ({ host: HOST, port: ports.pop() ?? 0 });
  return NAMES.map((instance) => ({
    instance,
    dataCentre: instance.split("-")[0],
    http: takeAddress(),
    rpc: takeAddress(),
    scheduler: true,
    voter: instance === "south-1",
    witnessFor: instance === "south-1" ? ["north"] : [],
  }));
}

async function buildSettings(): Promise<Settings[]> {
  const instances = buildInstances(await findFreePorts(6));
  const built = instances.map(async (entry): Promise<Settings> => {
    const { instance, dataCentre, http, rpc, scheduler, voter, witnessFor } =
      entry;
    const certificate = await createCertificate(ca);
    const rpcFiles = await saveCertificate(
      folder,
      `${instance}-rpc`,
      certificate,
    );
    const httpFiles = await saveCertificate(
      folder,
      `${instance}-http`,
      certificate,
    );
    return resolveSettings({
      instance,
      dataCentre,
      roles: { scheduler, voter, witnessFor },
      listen: { http, rpc },
      ...(voter ? { dataFolder: join(folder, instance) } : {}),
      instances,
      tls: {
        rpc: { ...rpcFiles, caFile },
        http: httpFiles,
        reloadMs: RELOAD_MS,
      },
    });
  });
  return await Promise.all(built);
}

t.before(async () => {
  folder = await createTestFolder(t);
  ca = await createAuthority("cell");
  foreignCa = await createAuthority("foreign");
  foreign = await createCertificate(foreignCa);
  caFile = join(folder, "ca.crt");
  await writeFile(caFile, ca.cert);
  // Stubs and helpers send their calls through the global dispatcher.
  setGlobalDispatcher(new Agent({ connect: { ca: ca.cert } }));
  settings = await buildSettings();
  addresses = settings.map(({ listen }) =>
    `https://${HOST}:${listen.http.port}`
  );
  const running: Instance[] = await Promise.all(
    settings.map((one) => startInstance(one, { logger })),
  );
  t.teardown(() => Promise.all(running.map((one) => one.stop())));
  rpcPort = running[0]?.rpcPort ?? 0;
  await waitUntil(
    () => running.every((one) => one.isReady()),
    15_000,
    "readiness of all instances",
  );
});

/** Calls an instance; resolves to "answered" or to the kind of the fault. */
async function callPeer(peer: RpcPeer): Promise<string> {
  try {
    await peer.call("Membership.getBurn", {}, { timeoutMs: 2_000 });
    return "answered";
  } catch (error) {
    return isFault(error) ? error.kind : String(error);
  }
}

function createPeer(port: number, channel: ChannelCredentials): RpcPeer {
  return createRpcPeer({
    instance: "asked",
    address: `${HOST}:${port}`,
    credentials: channel,
  });
}

/** Calls an rpc listener over a new connection. */
async function callRpcListener(
  port: number,
  channel: ChannelCredentials,
): Promise<string> {
  const peer = createPeer(port, channel);
  const outcome = await callPeer(peer);
  peer.close();
  return outcome;
}

function createChannelCredentials(own?: TestCertificate): ChannelCredentials {
  return credentials.createSsl(
    Buffer.from(ca.cert),
    own === undefined ? null : Buffer.from(own.key),
    own === undefined ? null : Buffer.from(own.cert),
  );
}

/** Returns the fingerprint of the certificate that a listener presents. */
function readFingerprint(
  port: number,
  own: Partial<TestCertificate> = {},
): Promise<string> {
  return new Promise((resolve, reject) => {
    const options = { host: HOST, port, ca: ca.cert, ...own };
    const socket = connect(options, () => {
      resolve(socket.getPeerCertificate().fingerprint256);
      socket.destroy();
    });
    socket.once("error", reject);
  });
}

function getFingerprint({ cert }: TestCertificate): string {
  return new X509Certificate(cert).fingerprint256;
}

// Guards against instances that cannot reach each other, or callers that cannot reach them, once TLS is configured.
t.test("a request is answered over https", async (t) => {
  const [first = "", second = ""] = addresses;
  const endpoint = await startEndpointStub({
    name: "e1",
    dataCentre: "north",
    entries: [first, second],
    queues: ["public"],
  });
  t.teardown(() => endpoint.stop());
  const change = await callJson(`${first}/v1/changes`, {
    body: {
      changeId: "queue",
      operations: [
        { type: "createQueue", name: "public", open: true, policy: "requests" },
      ],
    },
  });
  t.equal(change.status, 200, JSON.stringify(change.body));
  for (const address of [first, second]) {
    const answer = await waitForAnswer(() =>
      sendRequest(address, "public", { body: { from: address } })
    );
    t.match(answer.body, { endpoint: "e1", body: { from: address } });
  }
});

// Guards against an rpc listener that serves peers without a certificate of the authority, or in plain text.
t.test("an rpc call without a certificate of the authority is refused", async (t) => {
  const own = await createCertificate(ca);
  t.equal(
    await callRpcListener(rpcPort, createChannelCredentials(own)),
    "answered",
  );
  t.not(await callRpcListener(rpcPort, createChannelCredentials()), "answered");
  t.not(
    await callRpcListener(rpcPort, createChannelCredentials(foreign)),
    "answered",
  );
  t.not(
    await callRpcListener(rpcPort, credentials.createInsecure()),
    "answered",
  );
});

// Guards against a caller that sends messages to a listener whose certificate is of another authority or for another address.
t.test("an rpc listener without a valid certificate is not called", async (t) => {
  const own = await createCertificate(ca);
  const files = await openCertificateFiles({
    setting: "tls.rpc",
    files: { ...await saveCertificate(folder, "caller", own), caFile },
    reloadMs: RELOAD_MS,
    clock,
    logger,
  });
  t.teardown(() => files.close());
  const { channel } = createRpcCredentials(files);
  const callStubListener = async (served: TestCertificate) => {
    const { cert, key } = served;
    const pair = {
      cert_chain: Buffer.from(cert),
      private_key: Buffer.from(key),
    };
    const server = await startRpcServer({
      host: HOST,
      port: 0,
      services: {
        Membership: {
          unary: {
            getBurn: () => Promise.resolve({ body: Buffer.alloc(0) }),
          },
        },
      },
      credentials: ServerCredentials.createSsl(null, [pair]),
    });
    const outcome = await callRpcListener(server.port, channel);
    server.close();
    return outcome;
  };
  t.equal(await callStubListener(own), "answered");
  t.equal(await callStubListener(foreign), "unavailable");
  const elsewhere = await createCertificate(ca, "127.0.0.2");
  t.equal(await callStubListener(elsewhere), "unavailable");
});

// Guards against a listener that answers in plain text in addition to TLS.
t.test("a plain HTTP call is refused", async (t) => {
  const address = (addresses[0] ?? "").replace("https:", "http:");
  await t.rejects(callJson(`${address}/healthz`));
  t.equal((await callJson(`${addresses[0]}/healthz`)).status, 200);
});

// Guards against listeners that serve an expired certificate until a restart.
t.test("a replaced certificate is served without a restart", async (t) => {
  const httpPort = settings[0]?.listen.http.port ?? 0;
  const own = await createCertificate(ca);
  const certificate = await createCertificate(ca);
  t.not(await readFingerprint(httpPort), getFingerprint(certificate));
  await saveCertificate(folder, "north-1-http", certificate);
  await saveCertificate(folder, "north-1-rpc", certificate);
  const isServed = async (port: number) =>
    await readFingerprint(port, own) === getFingerprint(certificate);
  const timeoutMs = 20 * RELOAD_MS;
  await waitUntil(() => isServed(httpPort), timeoutMs, "https");
  await waitUntil(() => isServed(rpcPort), timeoutMs, "rpc");
  t.equal((await callJson(`${addresses[0]}/healthz`)).status, 200);
  t.equal(
    await callRpcListener(rpcPort, createChannelCredentials(own)),
    "answered",
  );
  t.not(
    await callRpcListener(rpcPort, createChannelCredentials(foreign)),
    "answered",
  );
});

// Guards against a listener that stops serving while an operator replaces one file after the other.
t.test("a partly replaced certificate is not used", async (t) => {
  const port = settings[1]?.listen.http.port ?? 0;
  const before = await readFingerprint(port);
  const certificate = await createCertificate(ca);
  await writeFile(join(folder, "north-2-http.crt"), certificate.cert);
  await wait(5 * RELOAD_MS);
  t.equal(await readFingerprint(port), before);
  await writeFile(join(folder, "north-2-http.key"), certificate.key);
  await waitUntil(
    async () => await readFingerprint(port) === getFingerprint(certificate),
    20 * RELOAD_MS,
    "the certificate with the matching key",
  );
});

// Guards against a caller that keeps presenting its first certificate.
t.test("a refused caller is accepted with its new certificate", async (t) => {
  const files = await openCertificateFiles({
    setting: "tls.rpc",
    files: { ...await saveCertificate(folder, "late", foreign), caFile },
    reloadMs: RELOAD_MS,
    clock,
    logger,
  });
  t.teardown(() => files.close());
  // Uses one peer throughout, because a new one would load the current certificate.
  const peer = createPeer(rpcPort, createRpcCredentials(files).channel);
  t.teardown(() => peer.close());
  t.not(await callPeer(peer), "answered");
  await saveCertificate(folder, "late", await createCertificate(ca));
  await waitUntil(
    async () => await callPeer(peer) === "answered",
    20 * RELOAD_MS,
    "an answer to the new certificate",
  );
});

// Guards against authorities that are loaded only at startup, so that changing one requires stopping the cell.
t.test("an authority is added and removed without a restart", async (t) => {
  const channel = createChannelCredentials(foreign);
  const isAnswered = async () =>
    await callRpcListener(rpcPort, channel) === "answered";
  const timeoutMs = 20 * RELOAD_MS;
  t.notOk(await isAnswered());
  await writeFile(caFile, ca.cert + "\n" + foreignCa.cert);
  await waitUntil(isAnswered, timeoutMs, "an answer");
  const own = createChannelCredentials(await createCertificate(ca));
  t.equal(await callRpcListener(rpcPort, own), "answered");
  await writeFile(caFile, ca.cert);
  await waitUntil(async () => !await isAnswered(), timeoutMs, "a refusal");
  t.equal(await callRpcListener(rpcPort, own), "answered");
});

// Guards against an instance that starts without the TLS that its settings require.
t.test("unusable files make the start fail", async (t) => {
  const [one] = settings;
  const tls = one?.tls;
  if (one === undefined || tls?.rpc === undefined || tls.http === undefined) {
    throw new Error("Cannot find TLS settings");
  }
  const { rpc, http } = tls;
  const otherKey = settings[1]?.tls.http?.keyFile ?? "";
  const missing = join(folder, "missing.crt");
  const cases = [
    {
      name: "rpc.certFile",
      path: missing,
      tls: { rpc: { ...rpc, certFile: missing } },
    },
    {
      name: "rpc.caFile",
      path: http.keyFile,
      tls: { rpc: { ...rpc, caFile: http.keyFile } },
    },
    {
      name: "http.keyFile",
      path: otherKey,
      tls: { http: { ...http, keyFile: otherKey } },
    },
    {
      name: "http.keyFile",
      path: http.certFile,
      tls: { http: { ...http, keyFile: http.certFile } },
    },
  ];
  for (const { name, path, tls } of cases) {
    const start = startInstance({
      ...one,
      tls: { reloadMs: RELOAD_MS, ...tls },
    }, {
      logger,
    });
    const error = await start.then(() => undefined, (error) => error);
    t.ok(isFault(error, "badRequest"), String(error));
    t.match(String(error), `Cannot use tls.${name} "${path}"`);
  }
});

// Guards against paths that depend on the working directory of the program.
t.test("relative paths are resolved against the folder of the settings file", async (t) => {
  const path = join(folder, "relative.json");
  const tls = {
    rpc: { certFile: "a.crt", keyFile: "keys/a.key", caFile },
    http: { certFile: "b.crt", keyFile: "b.key" },
  };
  const { advertise: _, ...rest } = settings[0] as Settings;
  await writeFile(path, JSON.stringify({ ...rest, tls }));
  t.strictSame((await loadSettings(path)).tls, {
    rpc: {
      certFile: join(folder, "a.crt"),
      keyFile: join(folder, "keys/a.key"),
      caFile,
    },
    http: { certFile: join(folder, "b.crt"), keyFile: join(folder, "b.key") },
    reloadMs: 10_000,
  });
});

/** Runs the command line; resolves to its exit code. */
function runProgram(
  args: readonly string[],
  variables: Readonly<Record<string, string>> = {},
): Promise<number> {
  const env = { ...process.env, GOLDCRESTLUG_CA: "", ...variables };
  if (env.GOLDCRESTLUG_CA === "") {
    Reflect.deleteProperty(env, "GOLDCRESTLUG_CA");
  }
  return new Promise((resolve) => {
    execFile(
      process.execPath,
      [MAIN, ...args],
      { env, timeout: 20_000 },
      (error) => resolve(error === null ? 0 : Number(error.code)),
    );
  });
}

// Guards against a command line that cannot reach the cell, or that trusts any certificate.
t.test("the command line verifies the certificate of an instance", async (t) => {
  const args = ["status", "--json", "--address", addresses[0] ?? ""];
  t.equal(await runProgram([...args, "--ca", caFile]), 0);
  t.equal(await runProgram(args, { GOLDCRESTLUG_CA: caFile }), 0);
  t.not(await runProgram(args), 0);
  const foreignFile = join(folder, "foreign-ca.crt");
  await writeFile(foreignFile, foreignCa.cert);
  t.not(await runProgram([...args, "--ca", foreignFile]), 0);
  t.equal(await runProgram([...args, "--ca", join(folder, "missing")]), 2);
});
