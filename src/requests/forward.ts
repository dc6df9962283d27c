/**
 * The exchange with an endpoint over HTTP. It is given to its caller only as a
 * whole answer; everything else is a failure that says whether a byte may have
 * been sent.
 *
 * A connection carries one exchange at a time and is destroyed when its
 * exchange fails, so a late or partial answer never meets another request.
 * "notSent" is decided by the point at which the client library is about to
 * write the request: before it, no byte has left; after it, the outcome is
 * unknown. Error codes alone were ruled out, since a reset may come before or
 * after the first byte.
 */

import { Buffer } from "node:buffer";
import { Agent, type Dispatcher, errors } from "undici";
import type { Clock, Timer } from "../common/mod.ts";
import { CONNECTION_IDLE_MS } from "./constants.ts";
import type {
  Forwarder,
  ForwardFailure,
  ForwardRequest,
  ForwardResult,
} from "./types.ts";

/** Settings of a forwarder. */
export interface ForwarderOptions {
  clock: Clock;
  /** This instance's part of an endpoint's connection budget. Default 6. */
  connectionsPerEndpoint?: number;
  /** Larger answers are given up. Default 16,777,216. */
  maxAnswerBytes?: number;
  /** Time after which an idle connection is closed, in milliseconds. Default 2,000. */
  connectionIdleMs?: number;
  /** Time to open a connection, in milliseconds. Default 1,000. */
  connectTimeoutMs?: number;
}

const DEFAULT_CONNECTIONS_PER_ENDPOINT = 6;
const DEFAULT_MAX_ANSWER_BYTES = 16_777_216;
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

/** Bytes of an answer's headers; the rest of the answer is bounded apart. */
const MAX_HEADER_BYTES = 16_384;

const REQUEST_ID_HEADER = "goldcrestlug-request-id";
const QUEUE_HEADER = "goldcrestlug-queue";
const DEFAULT_CONTENT_TYPE = "application/octet-stream";

type Headers = Record<string, string | string[] | undefined>;

function getHeader(headers: Headers, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Errors of the client library that mean a broken answer rather than a lost connection. */
const MALFORMED_CODES: ReadonlySet<string> = new Set([
  "UND_ERR_HEADERS_OVERFLOW",
  "UND_ERR_RES_CONTENT_LENGTH_MISMATCH",
  "UND_ERR_RES_EXCEEDED_MAX_SIZE",
]);

function parseFailure(error: Error): ForwardFailure {
  const code = (error as { code?: string }).code ?? "";
  if (error instanceof errors.HTTPParserError || MALFORMED_CODES.has(code)) {
    return "malformed";
  }
  return "connectionLost";
}

interface ExchangeOptions {
  readonly agent: Dispatcher;
  readonly request: ForwardRequest;
  readonly clock: Clock;
  readonly maxAnswerBytes: number;
}

/** Runs one exchange; the promise never rejects. */
function runExchange(options: ExchangeOptions): Promise<ForwardResult> {
  const { agent, request, clock, maxAnswerBytes } = options;
  const startedAtMs = clock.now();

  return new Promise((resolve) => {
    let controller: Dispatcher.DispatchController | undefined;
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
      // Destroys the connection, so that nothing that still arrives on it is used.
      controller?.abort(cause ?? new Error(`Exchange ended: ${failure}`));
    }

    function handleAbort(): void {
      handleFailure("aborted");
    }

    const handler: Dispatcher.DispatchHandler = {
      onRequestStart(current) {
        controller = current;
        if (isDone) {
          // Given up while waiting for a connection: nothing may be written now.
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
            new Error(`Endpoint answered request "${echoed}"`),
          );
        }
      },
      onResponseData(_current, chunk) {
        size += chunk.byteLength;
        if (size > maxAnswerBytes) {
          handleFailure(
            "tooLarge",
            new Error(`Answer is larger than ${maxAnswerBytes} bytes`),
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
        handleFailure(parseFailure(error), error);
      },
    };

    if (request.signal?.aborted === true) {
      handleAbort();
      return;
    }
    request.signal?.addEventListener("abort", handleAbort);
    try {
      agent.dispatch(buildDispatch(request), handler);
    } catch (error) {
      handleFailure("connectionLost", error as Error);
    }
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
    },
    body: request.body,
    // The exchange has its own deadline; these would only add a second one.
    headersTimeout: 0,
    bodyTimeout: 0,
  };
}

/** Creates a forwarder without connections. */
export function createForwarder(options: ForwarderOptions): Forwarder {
  const { clock } = options;
  const connections = options.connectionsPerEndpoint ??
    DEFAULT_CONNECTIONS_PER_ENDPOINT;
  const connectionIdleMs = options.connectionIdleMs ?? CONNECTION_IDLE_MS;
  const maxAnswerBytes = options.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES;
  const agents = new Map<string, Agent>();
  let isClosed = false;

  function getAgent(address: string): Agent {
    let agent = agents.get(address);
    if (agent === undefined) {
      agent = new Agent({
        connections,
        // One exchange at a time on a connection.
        pipelining: 1,
        keepAliveTimeout: connectionIdleMs,
        // An endpoint's keep-alive hint may shorten the idle time, never extend it.
        keepAliveMaxTimeout: connectionIdleMs,
        maxHeaderSize: MAX_HEADER_BYTES,
        connect: {
          timeout: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
        },
      });
      agents.set(address, agent);
    }
    return agent;
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
      const agent = getAgent(request.address);
      return runExchange({ agent, request, clock, maxAnswerBytes });
    },
    setEndpoints(addresses) {
      const wanted = new Set(addresses);
      for (const [address, agent] of agents) {
        if (wanted.has(address)) continue;
        agents.delete(address);
        // Running exchanges end first; an endpoint may be departing.
        void agent.close();
      }
    },
    async close() {
      isClosed = true;
      const open = [...agents.values()];
      agents.clear();
      await Promise.all(open.map((agent) => agent.close()));
    },
  };
}
