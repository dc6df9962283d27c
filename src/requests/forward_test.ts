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
  // The test controls the clock: on a busy machine, opening the first connection
  // alone took longer than a short real deadline.
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

/** Formats a result for comparisons. */
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

/** Each case guards against its fault being taken for a valid response or a request that was not sent. */
const FAULT_CASES: readonly FaultCase[] = [
  {
    name: "closes without a response",
    behaviour: (socket) => void socket.end(),
    expected: "unknown connectionLost",
  },
  {
    name: "resets without a response",
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
    name: "never responds",
    behaviour: () => {},
    expected: "unknown deadline",
  },
  {
    name: "stops responding in the middle of the body",
    behaviour: (socket) =>
      void socket.write(`${HEAD}content-length: 10\r\n\r\nhalf`),
    expected: "unknown deadline",
  },
  {
    name: "sends less than its content length",
    behaviour: (socket) =>
      void socket.write(`${HEAD}content-length: 11\r\n\r\n0123456789`),
    expected: "unknown deadline",
  },
  {
    name: "responds in another protocol",
    behaviour: (socket) => void socket.write("SSH-2.0-x\r\n\r\n"),
    expected: "unknown malformed",
  },
  {
    name: "sends two different content lengths",
    behaviour: (socket) =>
      void socket.write(
        `${HEAD}content-length: 4\r\ncontent-length: 5\r\n\r\nabcde`,
      ),
    expected: "unknown malformed",
  },
  {
    name: "sends more than the size limit",
    behaviour: (socket) => void socket.write(renderAnswer("x".repeat(1_001))),
    expected: "unknown tooLarge",
  },
  {
    name: "responds to another request",
    behaviour: (socket) =>
      void socket.write(
        `${HEAD}goldcrestlug-request-id: other\r\ncontent-length: 0\r\n\r\n`,
      ),
    expected: "unknown malformed",
  },
  {
    name: "responds with an error status",
    behaviour: (socket) => void socket.write(renderAnswer("no", 503)),
    expected: "answered 503 no",
  },
  {
    name: "sends an informational response first",
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
  // Also guards against reuse of the connection after the fault, which would
  // give the next caller a wrong response.
  t.test(`an endpoint that ${name}`, async (t) => {
    const { endpoint, clock, send } = await createSetup(behaviour);
    const sending = send();
    if (expected.endsWith("deadline")) {
      await waitUntil(() => endpoint.seen.length === 1);
      // Let the data that the endpoint sends arrive before the deadline.
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

// Guards against a late response being returned to the next caller.
t.test("a response after the deadline is discarded", async (t) => {
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

// Guards against an unsolicited second response on a connection that is reused.
t.test("a duplicate response is discarded", async (t) => {
  const { endpoint, send } = await createSetup((socket, request) => {
    handleEcho(socket, request);
    handleEcho(socket, request);
  });
  t.equal(renderResult(await send()), "answered 200 echo body 0");
  endpoint.setBehaviour(handleEcho);
  await wait(20);
  t.equal(renderResult(await send()), "answered 200 echo body 1");
});

// Guards against a refused connection reported with an unknown outcome, which
// would prevent the retry of a non-idempotent request.
t.test("a refused connection is reported as not sent", async (t) => {
  const { endpoint, send } = await createSetup();
  await endpoint.close();
  t.equal(renderResult(await send()), "notSent refused");
});

// Guards against "not sent" for a request cancelled in transit, and against a
// request that is written after it was cancelled.
t.test("an aborted request reports whether it was sent", async (t) => {
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
    "it was waiting for the only connection",
  );
  stop.abort();
  t.equal(renderResult(await running), "unknown aborted");
  endpoint.setBehaviour(handleEcho);
  t.equal(renderResult(await send()), "answered 200 echo body 3");
  t.strictSame(endpoint.seen.map(({ body }) => body), ["body 1", "body 3"]);
});

// Guards against responses assigned to the wrong request, and against more
// connections than the limit of this instance.
t.test("many requests share few connections and get their own responses", async (t) => {
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

// Guards against idle connections that use up the connection budget of an
// endpoint, and against open connections to removed endpoints.
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

// Guards against sending a non-idempotent request on a connection that died while
// idle, and against new connections above the limit.
t.test("a request that needs a fresh connection gets one", async (t) => {
  const { endpoint, send } = await createSetup(undefined, {
    connectionsPerEndpoint: 2,
  });
  await Promise.all([send(), send()]);
  endpoint.setBehaviour((socket, request) => {
    // Connections 0 and 1 no longer respond; new ones do.
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

// Guards against a request that reaches its endpoint after its grant has expired,
// when a new leader may already have granted the slot to another request.
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

// Guards against headers or a body that arrive changed at the endpoint.
t.test("the request contains its headers and body", async (t) => {
  const { endpoint, send } = await createSetup();
  await send({ address: `${endpoint.address}/base`, requestId: "kochi:1" });
  const { head, body } = endpoint.seen[0]!;
  t.match(head, /^POST \/base\/ HTTP\/1\.1\r\n/);
  t.match(head, /goldcrestlug-request-id: kochi:1/i);
  t.match(head, /goldcrestlug-queue: orders/i);
  t.match(head, /content-type: text\/plain/i);
  t.equal(body, "body 0");
});
