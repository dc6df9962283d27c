import { Buffer } from "node:buffer";
import type { ServerDuplexStream } from "@grpc/grpc-js";
import t from "tap";
import { findFreePorts } from "../../test/processes.ts";
import {
  createFault,
  createSilentLogger,
  createSystemClock,
  isFault,
  wait,
} from "../common/mod.ts";
import { createRpcPeer, startRpcServer } from "../rpc/mod.ts";
import type { EligibilityAnswer, EligibilityQuery } from "../workload/mod.ts";
import { createGatewayClient } from "./gateway_client.ts";
import { createGatewayServer, PEER_STATES } from "./gateway_server.ts";
import {
  encodeFrame,
  type Frame,
  type GatewayMessage,
  type WorkCall,
} from "./messages.ts";

interface Scope {
  teardown(end: () => unknown): void;
}

t.setTimeout(120_000);

const clock = createSystemClock();
const logger = createSilentLogger();
const TASK = { job: "j", occurrence: 0, step: 0, index: 0 };
const CALL: WorkCall = { kind: "readConfiguration" };

async function findPort(): Promise<number> {
  const [port = 0] = await findFreePorts(1);
  return port;
}

async function startCore(t: Scope, name: string, port: number) {
  const core = {
    isLeading: false,
    calls: [] as WorkCall[],
    origins: [] as string[],
    runCall: (_: WorkCall): Promise<unknown> => Promise.resolve(name),
  };
  const server = createGatewayServer({
    clock,
    logger,
    getLeadership: () => ({ isLeading: core.isLeading, term: 1 }),
    listCores: () => [name],
    handleCallers: () => {},
    runCall(call, origin) {
      core.calls.push(call);
      core.origins.push(origin);
      return core.runCall(call);
    },
  });
  const streams = new Set<ServerDuplexStream<Frame, Frame>>();
  const rpc = await startRpcServer({
    host: "127.0.0.1",
    port,
    services: {
      Gateway: {
        duplexStreams: {
          exchange(stream) {
            streams.add(stream);
            server.handleStream(stream);
          },
        },
      },
    },
  });
  const stop = () => {
    server.close();
    rpc.close();
  };
  /** Breaks all streams as a network fault does; the instance goes on. */
  const breakStreams = () => {
    for (const stream of streams) stream.destroy(new Error("Stream broken"));
    streams.clear();
  };
  /** Sends a message of a kind that no version knows. */
  const sendUnknown = () => {
    const data = Buffer.from('[{"kind":"unknown","id":1}]');
    for (const stream of streams) stream.write({ data });
  };
  t.teardown(stop);
  return { core, server, stop, breakStreams, sendUnknown };
}

function openClient(
  t: Scope,
  ports: Record<string, number>,
  ask = (question: EligibilityQuery): Promise<EligibilityAnswer> =>
    Promise.resolve({
      tickets: { [question.runners[0] ?? ""]: "t" },
      validMs: 9,
    }),
) {
  const client = createGatewayClient({
    instance: "entry",
    dataCentre: "one",
    cores: Object.keys(ports),
    getAddress: (name) => `127.0.0.1:${ports[name]}`,
    clock,
    logger,
    ask,
    callRunner: (call) =>
      call.order === "release"
        ? Promise.resolve(undefined)
        : Promise.reject(createFault("outcomeUnknown", "Silent runner")),
  });
  t.teardown(() => client.close());
  return client;
}

async function runCall(
  client: ReturnType<typeof openClient>,
  timeoutMs: number,
): Promise<{ outcome: unknown; tookMs: number }> {
  const startMs = performance.now();
  let outcome: unknown;
  try {
    outcome = await client.call(CALL, timeoutMs);
  } catch (error) {
    outcome = isFault(error) ? error.kind : error;
  }
  return { outcome, tookMs: performance.now() - startMs };
}

t.test("a call goes to the leader", async (t) => {
  const ports = { a: await findPort(), b: await findPort() };
  const a = await startCore(t, "a", ports.a);
  const b = await startCore(t, "b", ports.b);
  b.core.isLeading = true;
  const client = openClient(t, ports);
  t.equal((await runCall(client, 3_000)).outcome, "b");
  t.equal(a.core.calls.length, 0);
  b.core.runCall = () =>
    Promise.reject(createFault("unauthenticated", "Cannot accept the key"));
  t.equal((await runCall(client, 3_000)).outcome, "unauthenticated");
});

t.test("an unanswered call is resent to the next leader", async (t) => {
  const ports = { a: await findPort(), b: await findPort() };
  const a = await startCore(t, "a", ports.a);
  const b = await startCore(t, "b", ports.b);
  a.core.isLeading = true;
  a.core.runCall = () => new Promise(() => {});
  const client = openClient(t, ports);
  const result = runCall(client, 5_000);
  await new Promise((resolve) => setTimeout(resolve, 600));
  t.equal(a.core.calls.length, 1);
  a.stop();
  b.core.isLeading = true;
  b.server.sendPulses();
  t.equal((await result).outcome, "b");
  await runCall(client, 5_000);
  t.equal(b.core.origins[0], a.core.origins[0], "the origin of the first send");
  t.not(b.core.origins[1], b.core.origins[0], "another call has another one");
});

// Guards against calls that wait for their deadline after their stream broke: the
// leader stays the same instance, so the answer can only come to a second request.
t.test("an unanswered call is resent over a new stream to the same leader", async (t) => {
  const ports = { a: await findPort() };
  const a = await startCore(t, "a", ports.a);
  a.core.isLeading = true;
  a.core.runCall = () => new Promise(() => {});
  const client = openClient(t, ports);
  const result = runCall(client, 5_000);
  while (a.core.calls.length === 0) await wait(clock, 10);
  a.core.runCall = () => Promise.resolve("a");
  a.breakStreams();
  t.equal((await result).outcome, "a");
});

// Guards against queries that get no answer because they go into a stream that the
// instance has given up; its end of it reaches the leader late or never.
t.test("eligibility queries use the newest stream of an instance", async (t) => {
  const ports = { a: await findPort() };
  const a = await startCore(t, "a", ports.a);
  a.core.isLeading = true;
  openClient(t, ports, () => new Promise(() => {}));
  while (a.server.listCallers().length === 0) await wait(clock, 10);
  const newest = openClient(t, ports);
  await runCall(newest, 3_000);
  const question = { job: "j", occurrence: 0, step: 0, runners: ["r"] };
  const answer = await a.server.ask("entry", question, 1_000);
  t.strictSame(answer.tickets, { r: "t" });
});

// Models a partitioned data centre: its callers must be told to go elsewhere.
t.test("a partition without a leader refuses calls at once", async (t) => {
  const ports = { a: await findPort(), b: await findPort() };
  await startCore(t, "a", ports.a);
  const client = openClient(t, ports);
  await new Promise((resolve) => setTimeout(resolve, 3_000));
  const { outcome, tookMs } = await runCall(client, 3_000);
  t.equal(outcome, "unavailable");
  // The timeout is 3 s; an immediate refusal takes less than a third of it.
  t.ok(tookMs < 1_000, `${tookMs}`);
});

// Models a power loss of all instances that may lead: waiting calls are served after the restart.
t.test("calls wait while no possible leader is reachable", async (t) => {
  const ports = { a: await findPort() };
  const client = openClient(t, ports);
  await new Promise((resolve) => setTimeout(resolve, 2_500));
  const result = runCall(client, 5_000);
  await new Promise((resolve) => setTimeout(resolve, 700));
  const a = await startCore(t, "a", ports.a);
  a.core.isLeading = true;
  t.equal((await result).outcome, "a");
});

t.test("a sent call is not reported as not run", async (t) => {
  const ports = { a: await findPort() };
  const a = await startCore(t, "a", ports.a);
  a.core.isLeading = true;
  a.core.runCall = () => new Promise(() => {});
  const client = openClient(t, ports);
  t.equal((await runCall(client, 800)).outcome, "deadlineExceeded");
});

t.test("eligibility queries go through a connected instance", async (t) => {
  const ports = { a: await findPort() };
  const a = await startCore(t, "a", ports.a);
  const client = openClient(t, ports);
  a.core.isLeading = true;
  await runCall(client, 3_000);
  t.strictSame(a.server.listCallers(), ["entry"]);
  const question = { job: "j", occurrence: 0, step: 0, runners: ["r"] };
  const answer = await a.server.ask("entry", question, 1_000);
  t.strictSame(answer.tickets, { r: "t" });
  await t.rejects(a.server.ask("other", question, 1_000));
});

// Guards against answers that are lost with the leader that asked for them, and against
// an instance of an older version that fails when a leader asks it to recall: it gets a
// message of a kind that it does not know.
t.test("a new leader recalls answers, and unknown messages do no harm", async (t) => {
  const ports = { a: await findPort(), b: await findPort() };
  const a = await startCore(t, "a", ports.a);
  const b = await startCore(t, "b", ports.b);
  openClient(
    t,
    ports,
    () => Promise.resolve({ tickets: { r: "t" }, validMs: 60_000 }),
  );
  while (b.server.listCallers().length === 0) await wait(clock, 10);
  while (a.server.listCallers().length === 0) await wait(clock, 10);
  a.sendUnknown();
  b.sendUnknown();
  const question = { job: "j", occurrence: 0, step: 0, runners: ["r", "s"] };
  await a.server.ask("entry", question, 1_000);
  a.stop();
  const [recalled] = await b.server.listKeptAnswers("entry", 1_000);
  t.match(recalled, { ...question, tickets: { r: "t" } });
});

t.test("a leader calls runners through a connected instance", async (t) => {
  const ports = { a: await findPort() };
  const a = await startCore(t, "a", ports.a);
  a.core.isLeading = true;
  openClient(t, ports);
  while (!a.server.listRelays().includes("entry")) await wait(clock, 10);
  const target = { id: "r", address: "r:1" };
  const stop = { task: TASK, run: 1, fence: 1 };
  await t.rejects(
    a.server.callRunner(
      "entry",
      { order: "stop", target, stop, timeoutMs: 50 },
      2_000,
    ),
    {
      message: /Silent runner/,
      ran: "unknown",
      details: { peer: PEER_STATES.replied },
    },
  );
  await t.rejects(
    a.server.callRunner("other", { order: "check" }, 2_000),
    {
      message: /not connected/,
      ran: "no",
      details: { peer: PEER_STATES.lost },
    },
  );
  const broken = a.server.callRunner(
    "entry",
    { order: "stop", target, stop, timeoutMs: 2_000 },
    2_000,
  );
  a.breakStreams();
  await t.rejects(
    broken,
    {
      message: /stream ended/,
      ran: "unknown",
      details: { peer: PEER_STATES.lost },
    },
  );
  while (!a.server.listRelays().includes("entry")) await wait(clock, 10);
  t.equal(
    await a.server.callRunner(
      "entry",
      { order: "release", address: "r:1" },
      2_000,
    ),
    undefined,
  );
});

// Guards against a call that runs after its resend over a newer stream was refused.
t.test("a call on a replaced stream does not run", async (t) => {
  const port = await findPort();
  const { core, server } = await startCore(t, "a", port);
  core.isLeading = true;
  const peer = createRpcPeer({ instance: "a", address: `127.0.0.1:${port}` });
  t.teardown(() => peer.close());

  function openStream() {
    const stream = peer.openDuplexStream<Frame, Frame>("Gateway.exchange");
    stream.on("data", () => {});
    stream.on("error", () => {});
    const send = (message: GatewayMessage) =>
      void stream.write(encodeFrame([message]));
    send({
      kind: "hello",
      instance: "entry",
      dataCentre: "one",
      isStandby: false,
      canCallRunners: false,
      isStopping: false,
    });
    return send;
  }

  const sendCall = (send: (message: GatewayMessage) => void, origin: string) =>
    send({ kind: "call", id: 1, origin, call: CALL });
  const sendFirst = openStream();
  while (server.listCallers().length === 0) await wait(clock, 10);
  sendCall(sendFirst, "e.1");
  while (core.calls.length === 0) await wait(clock, 10);
  const sendNewest = openStream();
  sendCall(sendNewest, "e.1");
  while (core.calls.length === 1) await wait(clock, 10);
  sendCall(sendFirst, "e.2");
  await wait(clock, 200);
  sendCall(sendNewest, "e.3");
  while (core.calls.length === 2) await wait(clock, 10);
  t.strictSame(core.origins, ["e.1", "e.1", "e.3"]);
});
