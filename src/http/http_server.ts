/**
 * HTTP server based on `h3`. Each route is served by a chain of filters. The server
 * counts open requests so that a graceful shutdown can wait for them.
 */

import { Buffer } from "node:buffer";
import { createServer, type IncomingMessage, type Server } from "node:http";
import {
  createServer as createTlsServer,
  type Server as TlsServer,
} from "node:https";
import { Server as NetServer, type Socket } from "node:net";
import { H3, type H3Event, toNodeHandler } from "h3";
import { createFault, type Logger, toFault } from "../common/mod.ts";
import { waitForImmediate } from "../report/event_loop.ts";
import type { CertificateFiles } from "../tls/mod.ts";
import { createFilterChain, type Filter } from "./filter_chain.ts";
import {
  createFaultResponse,
  type HttpResponse,
  type RequestContext,
} from "./request_context.ts";

/** HTTP method of a route. */
export type HttpMethod = "GET" | "POST" | "PUT" | "DELETE";

/** A route and its filters. */
export interface HttpRoute {
  method: HttpMethod;
  /** Path with named parameters, such as `/v1/jobs/:id`. */
  path: string;
  filters: readonly Filter<RequestContext>[];
}

/** Options of the server. */
export interface HttpServerOptions {
  host: string;
  port: number;
  routes: readonly HttpRoute[];
  logger: Logger;
  /** Certificate files for TLS; default: plain HTTP. */
  certificateFiles?: CertificateFiles;
  /** Called for each response, with the time since the request arrived in milliseconds. */
  handleResponse?: (
    context: RequestContext,
    status: number,
    durationMs: number,
  ) => void;
}

/** A running server. */
export interface HttpServer {
  readonly port: number;
  /** Returns the number of requests without a response yet. */
  countOpenRequests(): number;
  /** Returns the number of accepted connections that have not received a request yet. */
  countUnusedConnections(): number;
  /**
   * Stops accepting connections; open ones close after their next response.
   * Resolves once the port is closed.
   */
  stopAccepting(): Promise<void>;
  /** Closes all connections and the port. */
  close(): Promise<void>;
}

/** Longest idle event loop iteration, in milliseconds; connections do not wait behind other work in it. */
const IDLE_ITERATION_MS = 0.5;

/** Maximum wait for an idle iteration, in milliseconds; an overloaded process may never have one. */
const MAX_IDLE_WAIT_MS = 1_000;

interface NodeRuntime {
  runtime?: { node?: { req: IncomingMessage } };
}

function getNodeRequest(event: H3Event): IncomingMessage {
  const node = (event.req as unknown as NodeRuntime).runtime?.node;
  if (node === undefined) {
    throw createFault(
      "internal",
      "Cannot find the Node.js request of an HTTP event",
    );
  }
  return node.req;
}

function toFetchResponse(answer: HttpResponse): Response {
  const body = typeof answer.body === "string"
    ? answer.body
    : Buffer.from(answer.body);
  return new Response(body, { status: answer.status, headers: answer.headers });
}

function createNodeServer(
  app: H3,
  files: CertificateFiles | undefined,
): Server | TlsServer {
  const handler = toNodeHandler(app);
  if (files === undefined) return createServer(handler);
  const server = createTlsServer(files.getCertificate(), handler);
  // Open connections keep the certificate they were established with.
  files.watchCertificate((certificate) => server.setSecureContext(certificate));
  return server;
}

/** Starts the server. Fault `unavailable` if the address cannot be bound. */
export async function startHttpServer(
  options: HttpServerOptions,
): Promise<HttpServer> {
  const { logger } = options;
  let openCount = 0;
  let isStopping = false;

  async function handleRequest(
    route: HttpRoute,
    event: H3Event,
  ): Promise<Response> {
    const startMs = performance.now();
    const request = getNodeRequest(event);
    unusedSockets.delete(request.socket);
    const controller = new AbortController();
    const handleClose = () => controller.abort();
    request.socket.once("close", handleClose);
    const context: RequestContext = {
      route: `${route.method} ${route.path}`,
      request,
      params: event.context.params ?? {},
      signal: controller.signal,
      body: Buffer.alloc(0),
      logFields: {},
    };
    openCount += 1;
    const answer = await runFilters(route, context);
    openCount -= 1;
    request.socket.off("close", handleClose);
    // A keep-alive connection would delay a graceful shutdown.
    if (isStopping) answer.headers["connection"] = "close";
    options.handleResponse?.(
      context,
      answer.status,
      performance.now() - startMs,
    );
    return toFetchResponse(answer);
  }

  async function runFilters(
    route: HttpRoute,
    context: RequestContext,
  ): Promise<HttpResponse> {
    try {
      await createFilterChain(route.filters)(context);
      if (context.answer !== undefined) return context.answer;
      throw createFault(
        "internal",
        "Cannot find a response: no filter of the route has set one",
      );
    } catch (error) {
      const fault = toFault(error);
      const level = fault.kind === "internal" ? "error" : "info";
      logger[level]("Request failed", {
        route: context.route,
        ...context.logFields,
        error: fault,
      });
      return createFaultResponse(fault);
    }
  }

  const app = new H3();
  for (const route of options.routes) {
    app.on(route.method, route.path, (event) => handleRequest(route, event));
  }
  app.all("/**", (event) => {
    const { pathname } = new URL(event.req.url);
    const fault = createFault(
      "notFound",
      `Cannot find "${event.req.method} ${pathname}"`,
    );
    return toFetchResponse(createFaultResponse(fault));
  });

  const server = createNodeServer(app, options.certificateFiles);
  const unusedSockets = new Set<Socket>();
  server.on("connection", (socket: Socket) => {
    unusedSockets.add(socket);
    socket.once("close", () => unusedSockets.delete(socket));
  });
  // Callers set their own deadlines; the default timeout of five minutes would cut off longer ones.
  server.requestTimeout = 0;
  server.keepAliveTimeout = 60_000;
  await new Promise<void>((resolve, reject) => {
    server.once("error", (error) =>
      reject(
        createFault(
          "unavailable",
          `Cannot listen on "${options.host}:${options.port}"`,
          { cause: error },
        ),
      ));
    server.listen(options.port, options.host, resolve);
  });
  const address = server.address();
  const port = typeof address === "object" && address !== null
    ? address.port
    : options.port;

  return {
    port,
    countOpenRequests: () => openCount,
    countUnusedConnections: () => unusedSockets.size,
    async stopAccepting() {
      isStopping = true;
      // Closing the port resets connections that are established for the caller but
      // not accepted yet, so the close directly follows the poll for connections.
      // The current iteration of the event loop may already be past that poll.
      await waitForImmediate();
      const untilMs = performance.now() + MAX_IDLE_WAIT_MS;
      let iterationMs = Infinity;
      while (iterationMs > IDLE_ITERATION_MS && performance.now() < untilMs) {
        const startMs = performance.now();
        await waitForImmediate();
        iterationMs = performance.now() - startMs;
      }
      // Closing the HTTP server would also close connections whose request is still
      // in transit. Their callers could not tell whether it ran.
      NetServer.prototype.close.call(server);
    },
    close() {
      server.closeAllConnections();
      return new Promise((resolve) => {
        if (!server.listening) return resolve();
        server.close(() => resolve());
      });
    },
  };
}
