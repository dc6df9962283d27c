/**
 * Sends requests to a cell as a platform's load balancer does: each attempt
 * goes to another instance, and a request that was rejected as not run is sent
 * again. Every answer is checked against its own request.
 */

import { request } from "undici";
import { isFaultKind } from "../src/common/mod.ts";
import { wait } from "./json_http.ts";

/** Options of a load. */
export interface LoadOptions {
  /** Base addresses of entry instances. */
  readonly addresses: readonly string[];
  readonly queue: string;
  readonly key: string;
  /** Number of concurrent requests. Default 10. */
  readonly callers?: number;
  /** Whether the requests are idempotent. Default true. */
  readonly idempotent?: boolean;
  /** Prefix of the request identifiers; distinguishes several loads. */
  readonly prefix: string;
  /** Time that the endpoint takes for each request, in milliseconds. Default 20. */
  readonly delayMs?: number;
  /** Time after which a caller gives up a request, in milliseconds. Default 20,000. */
  readonly timeoutMs?: number;
}

/** Outcomes of the requests of a load. */
export interface LoadResult {
  /** Requests that got a complete answer. */
  answered: number;
  /** Attempts that were rejected as not run; each was retried. */
  refused: number;
  /** Attempts that failed midway or were answered with an unknown outcome. */
  interrupted: string[];
  /** Requests that ended without an answer. */
  unanswered: string[];
  /** Answers that belong to another request. */
  mismatched: string[];
  /** Longest time from the first attempt to the answer, in milliseconds. */
  longestMs: number;
  /** Identifiers of all answered requests. */
  answeredIds: string[];
}

/** A running load. */
export interface Load {
  readonly result: LoadResult;
  /** Sends no new requests and waits for those in progress. */
  stop(): Promise<LoadResult>;
}

type Attempt =
  | { kind: "answered"; body: { requestId?: string; body?: unknown } }
  | { kind: "refused" }
  | { kind: "interrupted"; reason: string };

const RETRY_DELAY_MS = 50;

/** Starts the callers. */
export function startLoad(options: LoadOptions): Load {
  const { addresses, queue, key, prefix } = options;
  const idempotent = options.idempotent ?? true;
  const timeoutMs = options.timeoutMs ?? 20_000;
  const result: LoadResult = {
    answered: 0,
    refused: 0,
    interrupted: [],
    unanswered: [],
    mismatched: [],
    longestMs: 0,
    answeredIds: [],
  };
  let nextId = 0;
  let nextAddress = 0;
  let isStopped = false;

  async function attempt(id: string): Promise<Attempt> {
    const address = addresses[nextAddress++ % addresses.length];
    try {
      const reply = await request(`${address}/v1/queues/${queue}/requests`, {
        method: "POST",
        headers: {
          authorization: `Bearer ${key}`,
          "content-type": "application/json",
          "goldcrestlug-request-id": id,
          "goldcrestlug-idempotent": String(idempotent),
        },
        body: JSON.stringify({ id, delayMs: options.delayMs ?? 20 }),
        // Uses a new connection each time, so that a closed idle one is not
        // mistaken for an interrupted request.
        reset: true,
      });
      const text = await reply.body.text();
      const body = JSON.parse(text);
      if (reply.statusCode === 200) return { kind: "answered", body };
      if (isFaultKind(body.kind) && body.ran === "no") {
        return { kind: "refused" };
      }
      return { kind: "interrupted", reason: `${id}: ${text.trim()}` };
    } catch (error) {
      const { code } = error as { code?: string };
      if (code === "ECONNREFUSED") return { kind: "refused" };
      return { kind: "interrupted", reason: `${id}: ${code} ${error}` };
    }
  }

  function recordAnswer(id: string, answer: Attempt, startMs: number): void {
    if (answer.kind !== "answered") return;
    const sent = answer.body.body as { id?: string } | undefined;
    const isOwn = answer.body.requestId === id && sent?.id === id;
    if (!isOwn) result.mismatched.push(id);
    result.answered += 1;
    result.answeredIds.push(id);
    result.longestMs = Math.max(result.longestMs, performance.now() - startMs);
  }

  async function runRequest(id: string): Promise<void> {
    const startMs = performance.now();
    while (performance.now() - startMs < timeoutMs) {
      const ended = await attempt(id);
      if (ended.kind === "answered") return recordAnswer(id, ended, startMs);
      if (ended.kind === "interrupted") result.interrupted.push(ended.reason);
      else result.refused += 1;
      await wait(RETRY_DELAY_MS);
    }
    result.unanswered.push(id);
  }

  async function runCaller(): Promise<void> {
    while (!isStopped) await runRequest(`${prefix}-${nextId++}`);
  }

  const callers = Array.from(
    { length: options.callers ?? 10 },
    () => runCaller(),
  );

  return {
    result,
    async stop() {
      isStopped = true;
      await Promise.all(callers);
      return result;
    },
  };
}
