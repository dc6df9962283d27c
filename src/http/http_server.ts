/**
 * The HTTP listener: `h3` routes, each served by a chain of filters. The
 * listener counts open requests so that a graceful stop can wait for them.
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

/** A method of a route. */
export type HttpMethod = "GET" | "POST" | "PUT" | "DELETE";

/** A route and the filters that serve it. */
export interface HttpRoute {
  method: HttpMethod;
  /** Path with named parts, such as `/v1/jobs/:id`. */
  path: string;
  filters: readonly Filter<RequestContext>[];
}

/** Options of the listener. */
export interface HttpServerOptions {
  host: string;
  port: number;
  routes: readonly HttpRoute[];
  logger: Logger;
  /** Serves over TLS with these files; default: plain HTTP. */
  certificateFiles?: CertificateFiles;
  /** Called after each answer, with the time since the request in milliseconds. */
  handleResponse?: (
    context: RequestContext,
    status: number,
    durationMs: number,
  ) => void;
}

/** A running listener. */
export interface HttpServer {
  readonly port: number;
  /** Number of requests without an answer yet. */
  countOpenRequests(): number;
  /** Number of accepted connections that no request has come on yet. */
  countUnusedConnections(): number;
  /**
   * Takes no new connections; open ones end after their next answer. Resolves
   * once the port is closed.
   */
  stopAccepting(): Promise<void>;
  /** Ends all connections. */
  close(): Promise<void>;
}

/** Turn of the event loop that was too short for connections to wait behind other work, in milliseconds. */
const QUIET_TURN_MS = 0.5;

/** Longest wait for such a turn, in milliseconds; a process without one is overloaded and closes anyway. */
const MAX_QUIET_WAIT_MS = 1_000;

interface NodeRuntime {
  runtime?: { node?: { req: IncomingMessage } };
}

function getNodeRequest(event: H3Event): IncomingMessage {
  const node = (event.req as unknown as NodeRuntime).runtime?.node;
  if (node === undefined) {
    throw createFault("internal", "Cannot find the request of the HTTP server");
  }
  return node.req;
}

function toResponse(answer: HttpResponse): Response {
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
  // Open connections keep the certificate that they were made with.
  files.watchCertificate((certificate) => server.setSecureContext(certificate));
  return server;
}

/** Starts the listener; fault `unavailable` when the address cannot be bound. */
export async function startHttpServer(
  options: HttpServerOptions,
): Promise<HttpServer> {
  const { logger } = options;
  let openCount = 0;
  let isStopping = false;

  async function handle(route: HttpRoute, event: H3Event): Promise<Response> {
    const startMs = performance.now();
    const request = getNodeRequest(event);
    unread.delete(request.socket);
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
    const answer = await run(route, context);
    openCount -= 1;
    request.socket.off("close", handleClose);
    // A kept-alive connection would hold up a graceful stop.
    if (isStopping) answer.headers["connection"] = "close";
    options.handleResponse?.(
      context,
      answer.status,
      performance.now() - startMs,
    );
    return toResponse(answer);
  }

  async function run(
    route: HttpRoute,
    context: RequestContext,
  ): Promise<HttpResponse> {
    try {
      await createFilterChain(route.filters)(context);
      if (context.answer !== undefined) return context.answer;
      throw createFault("internal", "Cannot find an answer to the request");
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
    app.on(route.method, route.path, (event) => handle(route, event));
  }
  app.all("/**", (event) => {
    const { pathname } = new URL(event.req.url);
    const fault = createFault(
      "notFound",
      `Cannot find "${event.req.method} ${pathname}"`,
    );
    return toResponse(createFaultResponse(fault));
  });

  const server = createNodeServer(app, options.certificateFiles);
  const unread = new Set<Socket>();
  server.on("connection", (socket: Socket) => {
    unread.add(socket);
    socket.once("close", () => unread.delete(socket));
  });
  // Callers set their own deadlines; the default of five minutes would cut longer ones.
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
    countUnusedConnections: () => unread.size,
    async stopAccepting() {
      isStopping = true;
      // A connection that is complete for its caller but not taken yet would be
      // reset by the close, so the close comes right after the port was looked at.
      // The turn that is under way may be past that point already.
      await waitForImmediate();
      const untilMs = performance.now() + MAX_QUIET_WAIT_MS;
      let turnMs = Infinity;
      while (turnMs > QUIET_TURN_MS && performance.now() < untilMs) {
        const startMs = performance.now();
        await waitForImmediate();
        turnMs = performance.now() - startMs;
      }
      // The close of the HTTP server would also end connections whose request
      // is still on its way, and their callers could not tell what became of it.
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
