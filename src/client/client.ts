/**
 * HTTP client for the interface of an instance, used by the command line and
 * by embedding programs.
 */

import { Agent, request } from "undici";
import { createFault, isFaultKind, type Ran } from "../common/mod.ts";

/** Default timeout of a call, in milliseconds. */
export const DEFAULT_CALL_TIMEOUT_MS = 15_000;

/** Options of a client. */
export interface ClientOptions {
  /** Base address of any instance, such as `https://192.0.2.1:8080`. */
  address: string;
  /** Key of a workspace, or the operator token. */
  token?: string;
  /** CA certificates in PEM that verify an `https` address. Default: those of Node. */
  ca?: string;
  /** Timeout of a call, in milliseconds. Default 15,000. */
  timeoutMs?: number;
}

/** Options of a call. */
export interface ClientCallOptions {
  method?: "GET" | "POST" | "DELETE";
  /** Request body, sent as JSON. */
  body?: unknown;
  headers?: Readonly<Record<string, string>>;
}

/** HTTP client of one instance. */
export interface Client {
  /**
   * Resolves to the parsed response body. Rejects with the fault in an error
   * response, or with `outcomeUnknown` if there is no response.
   */
  call(path: string, options?: ClientCallOptions): Promise<unknown>;
}

interface ErrorResponse {
  kind?: unknown;
  message?: unknown;
  ran?: unknown;
}

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

function createResponseFault(status: number, answer: unknown): Error {
  const { kind, message, ran } = (answer ?? {}) as ErrorResponse;
  if (isFaultKind(kind)) {
    return createFault(kind, String(message), { ran: ran as Ran });
  }
  return createFault(
    "internal",
    `Cannot read the error response with status ${status}`,
  );
}

/** Creates a client. It connects on the first call. */
export function createClient(options: ClientOptions): Client {
  const timeoutMs = options.timeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
  const dispatcher = options.ca === undefined
    ? undefined
    : new Agent({ connect: { ca: options.ca } });

  async function call(
    path: string,
    callOptions: ClientCallOptions = {},
  ): Promise<unknown> {
    const { body } = callOptions;
    let reply;
    try {
      reply = await request(`${options.address}${path}`, {
        method: callOptions.method ?? "GET",
        headers: {
          ...(options.token === undefined
            ? {}
            : { authorization: `Bearer ${options.token}` }),
          ...(body === undefined ? {} : { "content-type": "application/json" }),
          ...callOptions.headers,
        },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        ...(dispatcher && { dispatcher }),
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
      });
    } catch (error) {
      throw createFault(
        "outcomeUnknown",
        `Cannot get a response from "${options.address}"`,
        { cause: error },
      );
    }
    const answer = parseBody(await reply.body.text());
    if (reply.statusCode >= 400) {
      throw createResponseFault(reply.statusCode, answer);
    }
    return answer;
  }

  return { call };
}
