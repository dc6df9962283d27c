import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import t from "tap";
import type { TestScope } from "./processes.ts";
import { wait, waitUntil } from "./json_http.ts";
import { startRelay } from "./relay.ts";

async function startEcho(t: TestScope): Promise<number> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.pipe(socket);
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  t.teardown(() => server.close());
  return (server.address() as AddressInfo).port;
}

interface TestClient {
  readonly socket: Socket;
  getText(): string;
  isClosed(): boolean;
  waitForText(text: string): Promise<unknown>;
}

function openClient(t: TestScope, port: number): TestClient {
  const socket = connect(port, "127.0.0.1");
  let text = "";
  let isClosed = false;
  socket.on("data", (chunk) => text += String(chunk));
  socket.on("error", () => {});
  socket.on("close", () => isClosed = true);
  t.teardown(() => socket.destroy());
  return {
    socket,
    getText: () => text,
    isClosed: () => isClosed,
    waitForText: (wanted) =>
      waitUntil(() => text === wanted, 5_000, `text "${wanted}"`),
  };
}

// Guards against a relay that loses data or the end of a connection.
t.test("data and the end of a connection are forwarded, also with a delay", async (t) => {
  const relay = await startRelay({ targetPort: await startEcho(t) });
  t.teardown(() => relay.stop());
  const plain = openClient(t, relay.port);
  const long = "x".repeat(1_000_000);
  plain.socket.write(long);
  await plain.waitForText(long);
  plain.socket.end();
  await waitUntil(plain.isClosed, 5_000, "the end");

  relay.setDelay(100);
  const delayed = openClient(t, relay.port);
  const startMs = performance.now();
  delayed.socket.end("late");
  await waitUntil(delayed.isClosed, 5_000, "the end");
  t.equal(delayed.getText(), "late");
  t.ok(performance.now() - startMs >= 200, "both directions are delayed");
});

// Guards against an end that overtakes the data before it, when both are delayed
// and arrive within a millisecond.
t.test("delayed data arrives before the end of its connection", async (t) => {
  const relay = await startRelay({ targetPort: await startEcho(t) });
  t.teardown(() => relay.stop());
  relay.setDelay(100);
  let lost = 0;
  for (let round = 0; round < 10; round += 1) {
    const clients = Array.from(
      { length: 50 },
      () => openClient(t, relay.port),
    );
    for (const { socket } of clients) socket.end("late");
    for (const { isClosed, getText } of clients) {
      await waitUntil(isClosed, 20_000, "the end");
      if (getText() !== "late") lost += 1;
    }
  }
  t.equal(lost, 0);
});

// Guards against a silent connection that closes or passes data, which a keepalive would detect too easily.
t.test("a silent connection stays open and passes nothing", async (t) => {
  const relay = await startRelay({ targetPort: await startEcho(t) });
  t.teardown(() => relay.stop());
  const old = openClient(t, relay.port);
  old.socket.write("a");
  await old.waitForText("a");
  relay.setOpenMode("silent");
  old.socket.write("b");
  const fresh = openClient(t, relay.port);
  fresh.socket.write("c");
  await fresh.waitForText("c");
  await wait(100);
  t.equal(old.getText(), "a", "nothing passes on the open connection");
  t.notOk(old.isClosed());
  relay.setOpenMode("forward");
  await old.waitForText("ab");
});

// Guards against a simulated partition that refuses connections, which callers would notice immediately.
t.test("a silent relay accepts and holds new connections", async (t) => {
  const relay = await startRelay({ targetPort: await startEcho(t) });
  t.teardown(() => relay.stop());
  relay.setMode("silent");
  const client = openClient(t, relay.port);
  client.socket.write("a");
  await waitUntil(() => relay.getAcceptedCount() === 1, 5_000, "acceptance");
  await wait(100);
  t.equal(client.getText(), "");
  t.notOk(client.isClosed());
  relay.setMode("forward");
  await client.waitForText("a");
});

// Guards against a cut that closes the wrong connection.
t.test("one connection or all can be cut", async (t) => {
  const relay = await startRelay({ targetPort: await startEcho(t) });
  t.teardown(() => relay.stop());
  const clients = [openClient(t, relay.port), openClient(t, relay.port)];
  for (const client of clients) {
    client.socket.write("a");
    await client.waitForText("a");
  }
  const [first, second] = relay.listConnections();
  t.equal(first?.id, 1);
  second?.setMode("cut");
  const countOpen = () => clients.filter((client) => !client.isClosed()).length;
  await waitUntil(() => countOpen() === 1, 5_000, "one cut");
  relay.setMode("cut");
  await waitUntil(() => countOpen() === 0, 5_000, "both cut");
  const late = openClient(t, relay.port);
  await waitUntil(late.isClosed, 5_000, "a cut of a new connection");
});
