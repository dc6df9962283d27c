import { Buffer } from "node:buffer";
import { setTimeout as wait } from "node:timers/promises";
import t from "tap";
import {
  type Behaviour,
  handleEcho,
  renderAnswer,
  startTcpEndpointStub,
} from "../../test/tcp_endpoint_stub.ts";
import { createManualClock } from "../common/mod.ts";
import { createForwarder, type ForwarderOptions } from "./forward.ts";
import type { ForwardRequest, ForwardResult } from "./types.ts";

const TIMEOUT_MS = 150;

async function createSetup(
  behaviour?: Behaviour,
  options: Partial<ForwarderOptions> = {},
) {
  const endpoint = await startTcpEndpointStub(behaviour);
  // Deadlines pass when the test says so: on a busy machine the first
  // connection alone took longer than a short real deadline.
  const clock = createManualClock();
  const forwarder = createForwarder({
    clock,
    maxAnswerBytes: 1_000,
    ...options,
  });
  t.teardown(async () => {
    await endpoint.close();
    await forwarder.close();
  });
  let next = 0;
  function send(request: Partial<ForwardRequest> = {}) {
    const number = next++;
    return forwarder.send({
      address: endpoint.address,
      requestId: `r${number}`,
      queue: "orders",
      workspace: "workspace",
      contentType: "text/plain",
      body: new Uint8Array(Buffer.from(`body ${number}`)),
      timeoutMs: TIMEOUT_MS,
      ...request,
    });
  }
  return { endpoint, forwarder, clock, send };
}

/** Waits until `condition` holds, for at most 10 s. */
async function waitUntil(condition: () => boolean): Promise<void> {
  for (let i = 0; i < 1_000 && !condition(); i++) await wait(10);
}

/** A short form of a result for comparisons. */
function renderResult(result: ForwardResult): string {
  if (result.kind !== "answered") return `${result.kind} ${result.failure}`;
  const { status, body } = result.answer;
  return `answered ${status} ${Buffer.from(body).toString()}`;
}

interface FaultCase {
  name: string;
  behaviour: Behaviour;
  expected: string;
}

const HEAD = "HTTP/1.1 200 OK\r\n";

/** Each case guards against its fault being taken for an answer, or for a request that was not sent. */
const FAULT_CASES: readonly FaultCase[] = [
  {
    name: "closes without an answer",
    behaviour: (socket) => void socket.end(),
    expected: "unknown connectionLost",
  },
  {
    name: "resets without an answer",
    behaviour: (socket) => void socket.resetAndDestroy(),
    expected: "unknown connectionLost",
  },
  {
    name: "closes in the middle of the headers",
    behaviour: (socket) => void socket.end(`${HEAD}content-le`),
    expected: "unknown connectionLost",
  },
  {
    name: "closes in the middle of the body",
    behaviour: (socket) =>
      void socket.end(`${HEAD}content-length: 10\r\n\r\nhalf`),
    expected: "unknown connectionLost",
  },
  {
    name: "closes in the middle of a chunk",
    behaviour: (socket) =>
      void socket.end(`${HEAD}transfer-encoding: chunked\r\n\r\n8\r\nhalf`),
    expected: "unknown connectionLost",
  },
  {
    name: "stays silent for good",
    behaviour: () => {},
    expected: "unknown deadline",
  },
  {
    name: "stays silent in the middle of the body",
    behaviour: (socket) =>
      void socket.write(`${HEAD}content-length: 10\r\n\r\nhalf`),
    expected: "unknown deadline",
  },
  {
    name: "announces more than it sends",
    behaviour: (socket) =>
      void socket.write(`${HEAD}content-length: 11\r\n\r\n0123456789`),
    expected: "unknown deadline",
  },
  {
    name: "speaks another protocol",
    behaviour: (socket) => void socket.write("SSH-2.0-x\r\n\r\n"),
    expected: "unknown malformed",
  },
  {
    name: "sends two different lengths",
    behaviour: (socket) =>
      void socket.write(
        `${HEAD}content-length: 4\r\ncontent-length: 5\r\n\r\nabcde`,
      ),
    expected: "unknown malformed",
  },
  {
    name: "sends more than the bound",
    behaviour: (socket) => void socket.write(renderAnswer("x".repeat(1_001))),
    expected: "unknown tooLarge",
  },
  {
    name: "answers another request",
    behaviour: (socket) =>
      void socket.write(
        `${HEAD}goldcrestlug-request-id: other\r\ncontent-length: 0\r\n\r\n`,
      ),
    expected: "unknown malformed",
  },
  {
    name: "answers with its own failure",
    behaviour: (socket) => void socket.write(renderAnswer("no", 503)),
    expected: "answered 503 no",
  },
  {
    name: "sends an informational answer first",
    behaviour: (socket) =>
      void socket.write(
        `HTTP/1.1 102 Processing\r\n\r\n${renderAnswer("late")}`,
      ),
    expected: "answered 200 late",
  },
  {
    name: "sends one byte at a time",
    behaviour(socket) {
      for (const byte of renderAnswer("slow")) socket.write(byte);
    },
    expected: "answered 200 slow",
  },
];

for (const { name, behaviour, expected } of FAULT_CASES) {
  // Guards against the fault in the name; and against a connection that is
  // used again after it, on which the next caller would get a wrong answer.
  t.test(`an endpoint that ${name}`, async (t) => {
    const { endpoint, clock, send } = await createSetup(behaviour);
    const sending = send();
    if (expected.endsWith("deadline")) {
      await waitUntil(() => endpoint.seen.length === 1);
      // What the endpoint does send arrives before the deadline.
      await wait(20);
      clock.advance(TIMEOUT_MS);
    }
    t.equal(renderResult(await sending), expected);
    t.equal(endpoint.seen.length, 1, "sent once");
    endpoint.setBehaviour(handleEcho);
    t.equal(renderResult(await send()), "answered 200 echo body 1");
    if (!expected.startsWith("answered")) {
      t.not(endpoint.seen[1]?.connection, endpoint.seen[0]?.connection);
    }
  });
}

// Guards against an answer that arrives after its deadline and is given to the next caller.
t.test("an answer after the deadline reaches nobody", async (t) => {
  const { endpoint, clock, send } = await createSetup((socket, request) => {
    setTimeout(() => handleEcho(socket, request), 50);
  });
  const late = send();
  await waitUntil(() => endpoint.seen.length === 1);
  clock.advance(TIMEOUT_MS);
  t.equal(renderResult(await late), "unknown deadline");
  endpoint.setBehaviour((socket, request) => {
    setTimeout(() => handleEcho(socket, request), 100);
  });
  t.equal(renderResult(await send()), "answered 200 echo body 1");
});

// Guards against a second, unasked answer on a connection that is then reused.
t.test("a doubled answer reaches nobody", async (t) => {
  const { endpoint, send } = await createSetup((socket, request) => {
    handleEcho(socket, request);
    handleEcho(socket, request);
  });
  t.equal(renderResult(await send()), "answered 200 echo body 0");
  endpoint.setBehaviour(handleEcho);
  await wait(20);
  t.equal(renderResult(await send()), "answered 200 echo body 1");
});

// Guards against a refused connection that is reported as possibly run, which
// would forbid the retry of a non-idempotent request.
t.test("a refused connection is certainly not sent", async (t) => {
  const { endpoint, send } = await createSetup();
  await endpoint.close();
  t.equal(renderResult(await send()), "notSent refused");
});

// Guards against "not sent" for a request that was cancelled on its way, and
// against a request that is written after it was given up.
t.test("an abort tells whether the request was sent", async (t) => {
  const { endpoint, clock, send } = await createSetup(() => {}, {
    connectionsPerEndpoint: 1,
  });
  t.equal(
    renderResult(await send({ signal: AbortSignal.abort() })),
    "notSent aborted",
  );
  const stop = new AbortController();
  const running = send({ signal: stop.signal, timeoutMs: 2_000 });
  await waitUntil(() => endpoint.seen.length === 1);
  const waiting = send({ timeoutMs: 50 });
  clock.advance(50);
  t.equal(
    renderResult(await waiting),
    "notSent deadline",
    "it waited for the only connection",
  );
  stop.abort();
  t.equal(renderResult(await running), "unknown aborted");
  endpoint.setBehaviour(handleEcho);
  t.equal(renderResult(await send()), "answered 200 echo body 3");
  t.strictSame(endpoint.seen.map(({ body }) => body), ["body 1", "body 3"]);
});

// Guards against answers that are mixed up between requests, and against more
// connections than this instance's part of the budget.
t.test("many requests share few connections and get their own answers", async (t) => {
  const { endpoint, send } = await createSetup((socket, request) => {
    const delayMs = Number(request.body.slice(5)) % 7;
    setTimeout(() => handleEcho(socket, request), delayMs);
  }, { connectionsPerEndpoint: 3 });
  const results = await Promise.all(
    Array.from({ length: 60 }, () => send({ timeoutMs: 5_000 })),
  );
  for (const [i, result] of results.entries()) {
    t.equal(renderResult(result), `answered 200 echo body ${i}`);
  }
  t.ok(endpoint.getPeak() <= 3);
});

// Guards against idle connections that use up the budget of an endpoint, and
// against connections kept to endpoints that are gone.
t.test("idle connections are closed", async (t) => {
  const short = await createSetup(undefined, { connectionIdleMs: 100 });
  await short.send();
  await waitUntil(() => short.endpoint.getOpenCount() === 0);
  t.equal(short.endpoint.getOpenCount(), 0);
  const long = await createSetup(undefined, { connectionIdleMs: 60_000 });
  await long.send();
  t.equal(long.endpoint.getOpenCount(), 1);
  long.forwarder.setEndpoints([]);
  await waitUntil(() => long.endpoint.getOpenCount() === 0);
  t.equal(long.endpoint.getOpenCount(), 0);
  await long.forwarder.close();
  t.equal(renderResult(await long.send()), "notSent aborted");
});

// Guards against a non-idempotent request on a connection that has gone silent
// while idle, and against a new connection beyond the budget.
t.test("a request that needs a fresh connection gets one", async (t) => {
  const { endpoint, send } = await createSetup(undefined, {
    connectionsPerEndpoint: 2,
  });
  await Promise.all([send(), send()]);
  endpoint.setBehaviour((socket, request) => {
    // Connections 0 and 1 have gone silent; new ones work.
    if (request.connection > 1) handleEcho(socket, request);
  });
  t.equal(
    renderResult(await send({ needsFreshConnection: true })),
    "answered 200 echo body 2",
  );
  t.equal(
    renderResult(await send({ needsFreshConnection: true })),
    "answered 200 echo body 3",
  );
  t.strictSame(endpoint.seen.map(({ connection }) => connection).slice(2), [
    2,
    3,
  ]);
  await waitUntil(() => endpoint.getOpenCount() <= 2);
  t.ok(endpoint.getOpenCount() <= 2, "they replace the idle ones");
});

// Guards against a request that reaches its endpoint after its grant has
// expired, when another leader may have given the slot away.
t.test("a request that waits too long for a connection is not sent", async (t) => {
  const { endpoint, clock, send } = await createSetup((socket, request) => {
    setTimeout(() => handleEcho(socket, request), 100);
  }, { connectionsPerEndpoint: 1 });
  const first = send({ timeoutMs: 2_000 });
  const second = send({ timeoutMs: 2_000, startWithinMs: 50 });
  await waitUntil(() => endpoint.seen.length === 1);
  clock.advance(51);
  t.equal(renderResult(await second), "notSent expired");
  t.equal(renderResult(await first), "answered 200 echo body 0");
  t.equal(renderResult(await send()), "answered 200 echo body 2");
  t.strictSame(endpoint.seen.map(({ body }) => body), ["body 0", "body 2"]);
});

// Guards against headers or a body that the endpoint does not get as they were given.
t.test("the request carries its headers and body", async (t) => {
  const { endpoint, send } = await createSetup();
  await send({ address: `${endpoint.address}/base`, requestId: "kochi:1" });
  const { head, body } = endpoint.seen[0]!;
  t.match(head, /^POST \/base\/ HTTP\/1\.1\r\n/);
  t.match(head, /goldcrestlug-request-id: kochi:1/i);
  t.match(head, /goldcrestlug-queue: orders/i);
  t.match(head, /content-type: text\/plain/i);
  t.equal(body, "body 0");
});
