/**
 * Sends requests to endpoints over HTTP. The result is either a complete
 * response or a failure that states whether a byte may have been sent.
 *
 * A failure before the client library starts to write the request is "notSent";
 * after that point the outcome is unknown. Error codes alone cannot tell the two
 * apart, since a connection reset may occur before or after the first byte.
 */

import { Buffer } from "node:buffer";
import { type Client, type Dispatcher, errors } from "undici";
import type { Clock, Timer } from "../common/mod.ts";
import {
  type ConnectionPool,
  createConnectionPool,
} from "./connection_pool.ts";
import { CONNECTION_IDLE_MS, REQUEST_ID_HEADER } from "./constants.ts";
import type {
  Forwarder,
  ForwardFailure,
  ForwardRequest,
  ForwardResult,
} from "./types.ts";

/** Options of a forwarder. */
export interface ForwarderOptions {
  clock: Clock;
  /** Maximum connections from this instance to one endpoint. Default 6. */
  connectionsPerEndpoint?: number;
  /** Maximum size of a response body. Default 16,777,216. */
  maxAnswerBytes?: number;
  /** Idle timeout of a connection, in milliseconds. Default 2,000. */
  connectionIdleMs?: number;
  /** Connect timeout, in milliseconds. Default 1,000. */
  connectTimeoutMs?: number;
}

const DEFAULT_CONNECTIONS_PER_ENDPOINT = 6;
const DEFAULT_MAX_ANSWER_BYTES = 16_777_216;
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

const WORKSPACE_HEADER = "goldcrestlug-workspace";
const QUEUE_HEADER = "goldcrestlug-queue";
const DEFAULT_CONTENT_TYPE = "application/octet-stream";

type Headers = Record<string, string | string[] | undefined>;

function getHeader(headers: Headers, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Error codes of the client library for a malformed response rather than a lost connection. */
const MALFORMED_CODES: ReadonlySet<string> = new Set([
  "UND_ERR_HEADERS_OVERFLOW",
  "UND_ERR_RES_CONTENT_LENGTH_MISMATCH",
  "UND_ERR_RES_EXCEEDED_MAX_SIZE",
]);

function toFailure(error: Error): ForwardFailure {
  const code = (error as { code?: string }).code ?? "";
  if (error instanceof errors.HTTPParserError || MALFORMED_CODES.has(code)) {
    return "malformed";
  }
  return "connectionLost";
}

interface ExchangeOptions {
  readonly pool: ConnectionPool;
  readonly request: ForwardRequest;
  readonly clock: Clock;
  readonly maxAnswerBytes: number;
}

/** Runs one exchange; never rejects. */
function runExchange(options: ExchangeOptions): Promise<ForwardResult> {
  const { pool, request, clock, maxAnswerBytes } = options;
  const { startWithinMs = Infinity } = request;
  const startedAtMs = clock.now();

  return new Promise((resolve) => {
    let client: Client | undefined;
    let stopWaiting: () => void = () => {};
    const timer: Timer = clock.setTimer(
      request.timeoutMs,
      () => handleFailure("deadline"),
    );
    let isDone = false;
    let hasStarted = false;
    let status = 0;
    let contentType = DEFAULT_CONTENT_TYPE;
    let size = 0;
    const chunks: Buffer[] = [];

    const getDuration = () => clock.now() - startedAtMs;

    function close(result: ForwardResult): void {
      if (isDone) return;
      isDone = true;
      timer.cancel();
      request.signal?.removeEventListener("abort", handleAbort);
      stopWaiting();
      // A failed connection must not be reused, since late data may still arrive on it.
      if (client !== undefined) {
        pool.release(client, result.kind === "answered");
      }
      resolve(result);
    }

    function handleFailure(failure: ForwardFailure, cause?: Error): void {
      if (isDone) return;
      close({
        kind: hasStarted ? "unknown" : "notSent",
        failure: hasStarted || failure !== "connectionLost"
          ? failure
          : "refused",
        durationMs: getDuration(),
        ...(cause === undefined ? {} : { cause }),
      });
    }

    function handleAbort(): void {
      handleFailure("aborted");
    }

    const handler: Dispatcher.DispatchHandler = {
      onRequestStart(current) {
        // The grant may have expired while connecting or during a process pause.
        if (getDuration() > startWithinMs) handleFailure("expired");
        if (isDone) {
          // The exchange has already ended, so the request must not be written.
          current.abort(new Error("Exchange ended before it started"));
          return;
        }
        hasStarted = true;
      },
      onResponseStart(_current, statusCode, headers) {
        if (statusCode < 200) return;
        status = statusCode;
        contentType = getHeader(headers, "content-type") ??
          DEFAULT_CONTENT_TYPE;
        const echoed = getHeader(headers, REQUEST_ID_HEADER);
        if (echoed !== undefined && echoed !== request.requestId) {
          handleFailure(
            "malformed",
            new Error(`Endpoint responded to another request: "${echoed}"`),
          );
        }
      },
      onResponseData(_current, chunk) {
        size += chunk.byteLength;
        if (size > maxAnswerBytes) {
          handleFailure(
            "tooLarge",
            new Error(`Response is larger than ${maxAnswerBytes} bytes`),
          );
          return;
        }
        chunks.push(chunk);
      },
      onResponseEnd() {
        const body = new Uint8Array(Buffer.concat(chunks));
        const durationMs = getDuration();
        close({
          kind: "answered",
          answer: { status, contentType, body, durationMs },
        });
      },
      onResponseError(_current, error) {
        handleFailure(toFailure(error), error);
      },
    };

    if (request.signal?.aborted === true) {
      handleAbort();
      return;
    }
    request.signal?.addEventListener("abort", handleAbort);
    stopWaiting = pool.acquire({
      isFresh: request.needsFreshConnection === true,
      onConnection(connection) {
        client = connection;
        try {
          client.dispatch(buildDispatch(request), handler);
        } catch (error) {
          handleFailure("connectionLost", error as Error);
        }
      },
    });
  });
}

function buildDispatch(request: ForwardRequest): Dispatcher.DispatchOptions {
  const url = new URL(request.address);
  return {
    origin: url.origin,
    path: url.pathname.endsWith("/") ? url.pathname : `${url.pathname}/`,
    method: "POST",
    headers: {
      "content-type": request.contentType,
      [REQUEST_ID_HEADER]: request.requestId,
      [QUEUE_HEADER]: request.queue,
      [WORKSPACE_HEADER]: request.workspace,
    },
    body: request.body,
  };
}

/** Creates a forwarder without connections. */
export function createForwarder(options: ForwarderOptions): Forwarder {
  const { clock } = options;
  const maxConnections = options.connectionsPerEndpoint ??
    DEFAULT_CONNECTIONS_PER_ENDPOINT;
  const connectTimeoutMs = options.connectTimeoutMs ??
    DEFAULT_CONNECT_TIMEOUT_MS;
  const connectionIdleMs = options.connectionIdleMs ?? CONNECTION_IDLE_MS;
  const maxAnswerBytes = options.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES;
  const pools = new Map<string, ConnectionPool>();
  let isClosed = false;

  function getPool(address: string): ConnectionPool {
    let pool = pools.get(address);
    if (pool === undefined) {
      pool = createConnectionPool(new URL(address).origin, {
        maxConnections,
        idleMs: connectionIdleMs,
        connectTimeoutMs,
      });
      pools.set(address, pool);
    }
    return pool;
  }

  return {
    send(request) {
      if (isClosed) {
        return Promise.resolve({
          kind: "notSent",
          failure: "aborted",
          durationMs: 0,
        });
      }
      const pool = getPool(request.address);
      return runExchange({ pool, request, clock, maxAnswerBytes });
    },
    setEndpoints(addresses) {
      const wanted = new Set(addresses);
      for (const [address, pool] of pools) {
        if (wanted.has(address)) continue;
        pools.delete(address);
        // Running exchanges end first, since the endpoint may be departing.
        void pool.close();
      }
    },
    async close() {
      isClosed = true;
      const open = [...pools.values()];
      pools.clear();
      await Promise.all(open.map((pool) => pool.close()));
    },
  };
}
