/**
 * An endpoint stub. It echoes requests, counts how often it ran each one, and
 * counts every violation of its slot and connection limits. Runs as a program
 * or in the test's own process.
 */

import process from "node:process";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { pathToFileURL } from "node:url";
import { parseArgs } from "node:util";
import { startAnnouncer } from "./announcer.ts";
import { startJsonServer, wait, waitUntil } from "./json_http.ts";
import type { JsonAnswer } from "./json_http.ts";

/** Settings of an endpoint stub. */
export interface EndpointStubOptions {
  readonly name: string;
  readonly dataCentre: string;
  /** Base addresses of entry instances. */
  readonly entries: readonly string[];
  readonly queues: readonly string[];
  /** Default 0, which picks a free port. */
  readonly port?: number;
  /** Default 8. */
  readonly slots?: number;
  /** Default 60. */
  readonly connections?: number;
  /** Default 1000. */
  readonly announcePeriodMs?: number;
  /** Shortest time for which a departing endpoint still serves new requests, in milliseconds. Default 3000. */
  readonly departMs?: number;
  /** Maps the address that the stub listens on to the one that it announces. */
  readonly buildAddress?: (address: string) => Promise<string>;
  /** Whether announcements count requests by workspace. Default true. */
  readonly reportsWorkspaces?: boolean;
  /** Called with 1 when a request starts to run and with -1 when it has ended. */
  readonly handleInFlight?: (change: 1 | -1) => void;
}

/** Counters of an endpoint stub. */
export interface EndpointCounts {
  readonly endpoint: string;
  /** Number of runs by request identifier. */
  readonly runs: Readonly<Record<string, number>>;
  /** Requests that arrived while all slots were taken. */
  readonly slotViolations: number;
  /** Connections with requests beyond the announced number. */
  readonly connectionViolations: number;
  readonly inFlight: number;
  readonly peakInFlight: number;
  readonly peakConnections: number;
  /** Time from the announcement of departure to the last arrival, in milliseconds. */
  readonly lastArrivalAfterDepartureMs: number | null;
}

/** A running endpoint stub. */
export interface EndpointStub {
  readonly address: string;
  getCounts(): EndpointCounts;
  /** Announces departure, finishes the running requests, and stops. */
  depart(): Promise<void>;
  /** Stops immediately, as a killed process would. */
  stop(): Promise<void>;
}

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

// Goldcrestlug forwards only the caller's body to an endpoint, so the delay and
// the status can be set in the body as well as in a header.
function getNumber(
  request: IncomingMessage,
  body: unknown,
  names: { header: string; field: string },
): number | undefined {
  const fields = typeof body === "object" && body !== null ? body : {};
  const value = request.headers[names.header] ??
    (fields as Record<string, unknown>)[names.field];
  const number = Number(value);
  return value === undefined || Number.isNaN(number) ? undefined : number;
}

/** Starts an endpoint stub on loopback. */
export async function startEndpointStub(
  options: EndpointStubOptions,
): Promise<EndpointStub> {
  const slots = options.slots ?? 8;
  const connections = options.connections ?? 60;
  const incarnation = Date.now();
  const runs = new Map<string, number>();
  const sockets = new Set<Socket>();
  const inFlightByWorkspace = new Map<string, number>();
  let inFlight = 0;
  let peakInFlight = 0;
  let peakConnections = 0;
  let slotViolations = 0;
  let connectionViolations = 0;
  let departedAtMs: number | undefined;
  let lastArrivalAfterDepartureMs: number | null = null;

  function countConnection(socket: Socket): void {
    if (sockets.has(socket)) return;
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
    peakConnections = Math.max(peakConnections, sockets.size);
    if (sockets.size > connections) connectionViolations++;
  }

  async function run(
    request: IncomingMessage,
    text: string,
  ): Promise<JsonAnswer> {
    const requestId = String(request.headers["goldcrestlug-request-id"] ?? "");
    const queue = String(request.headers["goldcrestlug-queue"] ?? "");
    const body = parseBody(text);
    const count = (runs.get(requestId) ?? 0) + 1;
    runs.set(requestId, count);
    const workspace = String(request.headers["goldcrestlug-workspace"] ?? "");
    const addToWorkspace = (change: 1 | -1) =>
      inFlightByWorkspace.set(
        workspace,
        (inFlightByWorkspace.get(workspace) ?? 0) + change,
      );
    inFlight++;
    addToWorkspace(1);
    options.handleInFlight?.(1);
    peakInFlight = Math.max(peakInFlight, inFlight);
    const delay = { header: "x-delay-ms", field: "delayMs" };
    await wait(getNumber(request, body, delay) ?? 0);
    inFlight--;
    addToWorkspace(-1);
    options.handleInFlight?.(-1);
    const status = { header: "x-status", field: "status" };
    return {
      status: getNumber(request, body, status) ?? 200,
      body: { endpoint: options.name, requestId, queue, body, count },
    };
  }

  function getCounts(): EndpointCounts {
    return {
      endpoint: options.name,
      runs: Object.fromEntries(runs),
      slotViolations,
      connectionViolations,
      inFlight,
      peakInFlight,
      peakConnections,
      lastArrivalAfterDepartureMs,
    };
  }

  const server = await startJsonServer(options.port ?? 0, (request, text) => {
    if (request.method === "GET" && request.url === "/counts") {
      return { status: 200, body: getCounts() };
    }
    if (request.method !== "POST" || request.url !== "/") {
      return { status: 404, body: { error: "unknown path" } };
    }
    countConnection(request.socket);
    if (departedAtMs !== undefined) {
      lastArrivalAfterDepartureMs = performance.now() - departedAtMs;
    }
    if (inFlight >= slots) {
      slotViolations++;
      return { status: 503, body: { error: "no slot is free" } };
    }
    return run(request, text);
  });

  const address = await options.buildAddress?.(server.address) ??
    server.address;
  const announcer = startAnnouncer({
    entries: options.entries,
    path: "/v1/endpoints/announce",
    periodMs: options.announcePeriodMs ?? 1_000,
    build: () => ({
      endpoint: options.name,
      address,
      dataCentre: options.dataCentre,
      incarnation,
      queues: options.queues,
      slots,
      connections,
      inFlight,
      ...(options.reportsWorkspaces === false
        ? {}
        : { inFlightByWorkspace: Object.fromEntries(inFlightByWorkspace) }),
      departing: departedAtMs !== undefined,
    }),
  });

  async function stop(): Promise<void> {
    announcer.stop();
    await server.stop();
  }

  return {
    address: server.address,
    getCounts,
    async depart() {
      departedAtMs ??= performance.now();
      await Promise.all([
        announcer.announce(),
        wait(options.departMs ?? 3_000),
      ]);
      await waitUntil(() => inFlight === 0, 300_000, "running requests");
      // Gives the last answers time to reach their sockets.
      await wait(50);
      await stop();
    },
    stop,
  };
}

async function runProgram(): Promise<void> {
  const { values } = parseArgs({
    options: {
      port: { type: "string", default: "0" },
      entry: { type: "string", default: "" },
      "data-centre": { type: "string", default: "" },
      name: { type: "string", default: "" },
      queues: { type: "string", default: "" },
      slots: { type: "string", default: "8" },
      connections: { type: "string", default: "60" },
    },
  });
  const endpoint = await startEndpointStub({
    name: values.name,
    dataCentre: values["data-centre"],
    entries: values.entry.split(",").filter((entry) => entry !== ""),
    queues: values.queues.split(",").filter((queue) => queue !== ""),
    port: Number(values.port),
    slots: Number(values.slots),
    connections: Number(values.connections),
  });
  process.once("SIGTERM", async () => {
    await endpoint.depart();
    process.exit(0);
  });
  process.stdout.write(`listening on ${endpoint.address}\n`);
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? "").href) {
  await runProgram();
}
