/** HTTP with JSON bodies for stubs and tests, on loopback only. */

import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { Buffer } from "node:buffer";
import { request } from "undici";

/** An answer to a request. */
export interface JsonAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Handles one request; `body` is the text of the request's body. */
export type JsonHandler = (
  request: IncomingMessage,
  body: string,
) => Promise<JsonAnswer> | JsonAnswer;

/** A listening server. */
export interface JsonServer {
  /** For example `http://127.0.0.1:40001`. */
  readonly address: string;
  /** Ends all connections and closes the port. */
  stop(): Promise<void>;
}

async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString("utf8");
}

async function sendAnswer(
  handler: JsonHandler,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  try {
    const { status, body } = await handler(request, await readText(request));
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
  } catch (error) {
    // A broken connection cannot be answered; any other error is a bug in the stub.
    if (response.destroyed) return;
    response.writeHead(500, { "content-type": "application/json" });
    response.end(JSON.stringify({ error: String(error) }));
  }
}

/** Starts a server on loopback; port 0 picks a free one. */
export async function startJsonServer(
  port: number,
  handler: JsonHandler,
): Promise<JsonServer> {
  const server = createServer((request, response) => {
    void sendAnswer(handler, request, response);
  });
  // Must exceed the time for which clients keep idle connections in their pools.
  server.keepAliveTimeout = 30_000;
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", resolve);
  });
  const { port: bound } = server.address() as AddressInfo;
  return {
    address: `http://127.0.0.1:${bound}`,
    stop: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

/** Settings of a call. */
export interface CallJsonOptions {
  /** Default "POST" with a body, else "GET". */
  readonly method?: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  /** Time until the call fails, in milliseconds. Default 5000. */
  readonly timeoutMs?: number;
}

/** Calls `url` and parses the answer; rejects when no complete answer arrives in time. */
export async function callJson(
  url: string,
  options: CallJsonOptions = {},
): Promise<JsonAnswer> {
  const hasBody = options.body !== undefined;
  const answer = await request(url, {
    method: (options.method ?? (hasBody ? "POST" : "GET")) as "GET",
    headers: { "content-type": "application/json", ...options.headers },
    body: hasBody ? JSON.stringify(options.body) : null,
    signal: AbortSignal.timeout(options.timeoutMs ?? 5_000),
  });
  const text = await answer.body.text();
  return {
    status: answer.statusCode,
    body: text === "" ? undefined : JSON.parse(text),
  };
}

/** Calls `check` every 20 ms until it returns a value other than undefined and false; throws after `timeoutMs`. */
export async function waitUntil<T>(
  check: () => Promise<T | undefined | false> | T | undefined | false,
  timeoutMs: number,
  what: string,
): Promise<T> {
  const untilMs = performance.now() + timeoutMs;
  while (performance.now() < untilMs) {
    const value = await check();
    if (value !== undefined && value !== false) return value;
    await wait(20);
  }
  throw new Error(`Timed out after ${timeoutMs} ms waiting for ${what}`);
}

/** Waits for `ms` milliseconds. */
export function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
