/** Load generators with a constant rate: requests, jobs and configuration watchers. */

import { randomUUID } from "node:crypto";
import { Agent, request } from "undici";
import { createRpcPeer } from "../../src/rpc/client.ts";
import { callJson, wait } from "../../test/json_http.ts";
import type { CountingRelay } from "./counting_relay.ts";

const TICK_MS = 10;

/** A running load. */
export interface Load {
  /** Operations since the start of the load. */
  readonly counts: { sent: number; succeeded: number; failed: number };
  stop(): Promise<void>;
}

/** Calls `send` at a constant rate, without waiting for earlier calls to complete. */
export function startConstantRate(
  perSecond: number,
  send: () => Promise<boolean>,
): Load {
  const counts = { sent: 0, succeeded: 0, failed: 0 };
  const open = new Set<Promise<void>>();
  const startMs = performance.now();

  async function runOperation(): Promise<void> {
    const succeeded = await send().catch(() => false);
    if (succeeded) counts.succeeded++;
    else counts.failed++;
  }

  const timer = setInterval(() => {
    const due = (performance.now() - startMs) * perSecond / 1_000;
    while (counts.sent < due) {
      counts.sent++;
      const one = runOperation();
      open.add(one);
      void one.then(() => open.delete(one));
    }
  }, TICK_MS);

  return {
    counts,
    async stop() {
      clearInterval(timer);
      await Promise.all(open);
    },
  };
}

/** Sends requests with a body of about 200 bytes to a queue at a constant rate. */
export function startRequests(options: {
  address: string;
  queue: string;
  key: string;
  perSecond: number;
  idempotent: boolean;
}): Load {
  const agent = new Agent({ connections: 64 });
  const load = startConstantRate(options.perSecond, async () => {
    const reply = await request(
      `${options.address}/v1/queues/${options.queue}/requests`,
      {
        method: "POST",
        dispatcher: agent,
        headers: {
          authorization: `Bearer ${options.key}`,
          "content-type": "application/json",
          "goldcrestlug-request-id": `north:${randomUUID()}`,
          "goldcrestlug-idempotent": String(options.idempotent),
        },
        body: JSON.stringify({ text: "x".repeat(188) }),
      },
    );
    await reply.body.dump();
    return reply.statusCode === 200;
  });
  return {
    counts: load.counts,
    async stop() {
      await load.stop();
      await agent.destroy();
    },
  };
}

/** Submits a batch job; resolves to true if it was accepted. */
export async function addJob(options: {
  address: string;
  key: string;
  dataCentre: string;
  tasks: number;
  processors: number;
  runMs: number;
}): Promise<boolean> {
  const { status } = await callJson(`${options.address}/v1/jobs`, {
    headers: { authorization: `Bearer ${options.key}` },
    body: {
      id: `${options.dataCentre}:${randomUUID()}`,
      policy: "batch",
      tasks: options.tasks,
      resources: { processors: options.processors, memoryMb: 1_024 },
      payload: { runMs: options.runMs },
    },
    timeoutMs: 10_000,
  });
  return status === 202;
}

/** Configuration watchers, each with its own connection. */
export interface Watchers {
  /** Messages received by all watchers. */
  readonly counts: { messages: number };
  stop(): void;
}

/** Opens `count` configuration watches on one voter, as instances do. */
export function startWatchers(
  relay: CountingRelay,
  count: number,
): Watchers {
  const counts = { messages: 0 };
  const peers = Array.from({ length: count }, (_, position) => {
    const peer = createRpcPeer({
      instance: "voter",
      address: `127.0.0.1:${relay.port}`,
    });
    const stream = peer.openReadStream("Fleet.watch", {
      instance: `watcher-${position}`,
      version: 0,
    });
    stream.on("data", () => counts.messages++);
    stream.on("error", () => {});
    return { peer, stream };
  });
  return {
    counts,
    stop() {
      for (const { peer, stream } of peers) {
        stream.cancel();
        peer.close();
      }
    },
  };
}

/** Polls `check` until it returns true or the timeout expires; resolves to its last result. */
export async function waitFor(
  check: () => boolean,
  timeoutMs: number,
): Promise<boolean> {
  const untilMs = performance.now() + timeoutMs;
  while (!check() && performance.now() < untilMs) await wait(50);
  return check();
}
