import t from "tap";
import { Buffer } from "node:buffer";
import { type AddressInfo, createServer } from "node:net";
import {
  createFault,
  createSystemClock,
  type Fault,
  FAULT_ANSWERS,
  type FaultKind,
} from "../common/mod.ts";
import { createRpcPeer } from "./client.ts";
import { createLogSender } from "./log_transport.ts";
import type { LogEnvelope } from "./messages.ts";
import { createPeerSet } from "./peers.ts";
import {
  type RpcServer,
  type ServiceHandlers,
  startRpcServer,
  type UnaryHandler,
} from "./server.ts";

const HOST = "127.0.0.1";

interface TestScope {
  teardown(callback: () => void): void;
}

async function startServer(
  t: TestScope,
  services: { Fleet?: ServiceHandlers; Consensus?: ServiceHandlers },
  port = 0,
): Promise<RpcServer> {
  const server = await startRpcServer({ host: HOST, port, services });
  t.teardown(() => server.close());
  return server;
}

function createPeer(t: TestScope, port: number) {
  const peer = createRpcPeer({ instance: "far", address: `${HOST}:${port}` });
  t.teardown(() => peer.close());
  return peer;
}

async function callFleet(
  t: TestScope,
  handler: UnaryHandler,
  timeoutMs = 5_000,
) {
  const server = await startServer(t, {
    Fleet: { unary: { Propose: handler } },
  });
  const request = { change: Buffer.from("x"), hops: 1 };
  return await createPeer(t, server.port)
    .call("Fleet.propose", request, { timeoutMs });
}

async function findFault(call: Promise<unknown>): Promise<Fault> {
  return await call.then(
    () => Promise.reject(new Error("Cannot find a fault: the call succeeded")),
    (error: Fault) => error,
  );
}

// Guards against a fault that changes its kind, or whether the work has run, when
// another instance receives it.
t.test("a fault keeps its kind, ran value, message and details", async (t) => {
  for (const kind of Object.keys(FAULT_ANSWERS) as FaultKind[]) {
    const sent = createFault(kind, `Cannot serve "${kind}": 100 % lost`, {
      ran: "yes",
      details: { leader: "kochi-2", version: 7 },
    });
    const fault = await findFault(callFleet(t, () => Promise.reject(sent)));
    const { message, ran, details } = sent;
    t.match(fault, { kind, message, ran, details }, kind);
  }
});

// Guards against treating an unexpected error as proof that the work has not run.
t.test("an error other than a fault arrives as internal", async (t) => {
  const error = new Error("unexpected");
  const fault = await findFault(callFleet(t, () => Promise.reject(error)));
  t.match(fault, { kind: "internal", ran: "unknown" });
});

// Guards against callers waiting forever for an unresponsive instance, and against
// reporting that the work has not run when it may have.
t.test("a call to a handler that never replies ends at its deadline", async (t) => {
  let isAborted = false;
  const startMs = performance.now();
  const never: UnaryHandler = (_request, { signal }) => {
    signal.addEventListener("abort", () => isAborted = true);
    return new Promise(() => {});
  };
  const fault = await findFault(callFleet(t, never, 300));
  t.match(fault, { kind: "outcomeUnknown", ran: "unknown" });
  t.ok(performance.now() - startMs < 3_000);
  await new Promise((resolve) => setTimeout(resolve, 100));
  t.ok(isAborted, "the signal of the handler is aborted");
});

// Guards against a connection that opens but never sends data.
t.test("a call to an unresponsive port ends at its deadline", async (t) => {
  const server = createServer((socket) => socket.on("error", () => {}));
  const sockets = new Set<{ destroy(): void }>();
  server.on("connection", (socket) => sockets.add(socket));
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const startMs = performance.now();
  const fault = await findFault(
    createPeer(t, port).call("Fleet.propose", {}, { timeoutMs: 300 }),
  );
  t.equal(fault.kind, "outcomeUnknown");
  t.ok(performance.now() - startMs < 3_000);
});

// Guards against reporting that a call may have run although the connection was refused.
t.test("a call to a closed port is known not to have run", async (t) => {
  const server = await startServer(t, {});
  server.close();
  const fault = await findFault(
    createPeer(t, server.port).call("Fleet.propose", {}, { timeoutMs: 3_000 }),
  );
  t.match(fault, { kind: "unavailable", ran: "no" });
});

// Guards against an aborted caller that keeps waiting.
t.test("an aborted call ends immediately", async (t) => {
  const controller = new AbortController();
  const server = await startServer(t, {
    Fleet: { unary: { Propose: () => new Promise(() => {}) } },
  });
  const startMs = performance.now();
  const call = createPeer(t, server.port).call("Fleet.propose", {}, {
    timeoutMs: 10_000,
    signal: controller.signal,
  });
  setTimeout(() => controller.abort(), 50);
  t.equal((await findFault(call)).kind, "outcomeUnknown");
  t.ok(performance.now() - startMs < 3_000);
});

// Guards against a log group that stays disconnected after a broken connection.
t.test("a broken log stream is reopened", async (t) => {
  const received: string[] = [];
  const services = {
    Consensus: {
      writeStreams: {
        Send(stream: NodeJS.ReadableStream) {
          stream.on(
            "data",
            (envelope: LogEnvelope) => received.push(envelope.to),
          );
          stream.on("error", () => {});
        },
      },
    } as unknown as ServiceHandlers,
  };
  let server = await startServer(t, services);
  const { port } = server;
  const peers = createPeerSet({
    findAddress: (instance) =>
      instance === "far" ? `${HOST}:${port}` : undefined,
  });
  const sender = createLogSender({ peers, clock: createSystemClock() });
  t.teardown(() => {
    sender.close();
    peers.close();
  });
  const sendUntilReceived = async (to: string) => {
    const untilMs = performance.now() + 10_000;
    while (!received.includes(to) && performance.now() < untilMs) {
      sender.send({ group: "g", from: "near", to, message: Buffer.from("m") });
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    return received.includes(to);
  };
  t.ok(await sendUntilReceived("far#1"));
  server.close();
  await new Promise((resolve) => setTimeout(resolve, 300));
  // Messages to an unreachable or unknown instance are dropped without an error.
  sender.send({
    group: "g",
    from: "near",
    to: "far#1",
    message: Buffer.alloc(0),
  });
  sender.send({
    group: "g",
    from: "near",
    to: "other",
    message: Buffer.alloc(0),
  });
  server = await startServer(t, services, server.port);
  t.ok(await sendUntilReceived("far#2"));
});
