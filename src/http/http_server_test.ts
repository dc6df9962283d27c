import { connect } from "node:net";
import process from "node:process";
import t from "tap";
import { createSilentLogger } from "../common/mod.ts";
import { waitForImmediate } from "../report/event_loop.ts";
import { startHttpServer } from "./http_server.ts";
import { createJsonResponse } from "./request_context.ts";

const ROUNDS = 20;

t.setTimeout(120_000);

/** Starts a server that responds to each request. */
function startServer() {
  return startHttpServer({
    host: "127.0.0.1",
    port: 0,
    logger: createSilentLogger(),
    routes: [{
      method: "GET",
      path: "/x",
      filters: [(context) => {
        context.answer = createJsonResponse({});
        return Promise.resolve();
      }],
    }],
  });
}

/** Sends one request on a new connection and returns its outcome. */
function callOnce(port: number): Promise<"answered" | "refused" | "reset"> {
  return new Promise((resolve) => {
    let hasAnswer = false;
    let isRefused = false;
    const socket = connect(port, "127.0.0.1", () => {
      socket.write("GET /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    });
    socket.on("data", () => hasAnswer = true);
    socket.on("error", (error: NodeJS.ErrnoException) => {
      isRefused = error.code === "ECONNREFUSED";
    });
    socket.on("close", () => {
      if (hasAnswer) resolve("answered");
      else resolve(isRefused ? "refused" : "reset");
    });
  });
}

// Guards against resetting connections during a shutdown. Callers that ignore
// readiness connect until the port closes; the connection is established for
// them before the server has accepted it.
t.test("a connection established before the shutdown gets a response", async (t) => {
  const outcomes: string[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    const server = await startServer();
    const call = callOnce(server.port);
    // The connect call is sent in the next tick, before the event loop polls the server.
    await new Promise<void>((resolve) => process.nextTick(resolve));
    const stopped = server.stopAccepting();
    outcomes.push(await call);
    await stopped;
    outcomes.push(await callOnce(server.port));
    await server.close();
  }
  t.strictSame([...new Set(outcomes)].sort(), ["answered", "refused"]);
  t.equal(outcomes.filter((outcome) => outcome === "answered").length, ROUNDS);
});

// Guards against a shutdown that takes a connection without a request for an idle
// one: a caller on a busy machine connects and sends its request later.
t.test("an accepted connection counts as unused until its first request", async (t) => {
  const server = await startServer();
  const socket = connect(server.port, "127.0.0.1");
  while (server.countUnusedConnections() === 0) await waitForImmediate();
  await server.stopAccepting();
  t.equal(server.countOpenRequests(), 0);
  t.equal(server.countUnusedConnections(), 1);
  const answer = new Promise((resolve) => socket.once("data", resolve));
  socket.write("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
  t.match(String(await answer), /^HTTP\/1.1 200/);
  t.equal(server.countUnusedConnections(), 0);
  await server.close();
});
