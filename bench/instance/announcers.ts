/**
 * Simulated workers and endpoints in one process that only send announcements.
 * A worker accepts every start and reports the task until its run time has passed.
 */

import { Buffer } from "node:buffer";
import { Agent, request } from "node:http";
import type { Socket } from "node:net";
import { type JsonServer, startJsonServer } from "../../test/json_http.ts";

const ANNOUNCE_PERIOD_MS = 1_000;

/** Number of announcements that report an ended task; a single one may be lost. */
const ENDED_TASK_REPORTS = 3;

/** Counters summed over the announcers of a set. */
export interface AnnouncerCounts {
  /** Bytes of TCP payload in both directions. */
  bytes: number;
  accepted: number;
  failed: number;
  starts: number;
}

/** A set of running announcers. */
export interface AnnouncerSet {
  readonly counts: AnnouncerCounts;
  countRunning(): number;
  stop(): Promise<void>;
}

/** Options of an announcer set. */
export interface AnnouncerOptions {
  readonly prefix: string;
  readonly count: number;
  readonly dataCentre: string;
  /** Base addresses of entry instances, assigned to announcers round-robin. */
  readonly entries: readonly string[];
}

interface JsonPoster {
  post(body: unknown): Promise<Record<string, unknown> | undefined>;
  getBytes(): number;
  close(): void;
}

/** Creates a client with its own connection, like a real worker. */
function createPoster(url: string): JsonPoster {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const sockets = new Set<Socket>();

  function post(body: unknown): Promise<Record<string, unknown> | undefined> {
    const text = JSON.stringify(body);
    return new Promise((resolve) => {
      const sent = request(url, {
        method: "POST",
        agent,
        timeout: 900,
        headers: {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(text),
        },
      }, (reply) => {
        const chunks: Buffer[] = [];
        reply.on("data", (chunk: Buffer) => chunks.push(chunk));
        reply.on("error", () => resolve(undefined));
        reply.on("end", () => {
          const answer = Buffer.concat(chunks).toString();
          resolve(reply.statusCode === 200 ? JSON.parse(answer) : undefined);
        });
      });
      sent.on("socket", (socket) => sockets.add(socket));
      sent.on("timeout", () => sent.destroy());
      sent.on("error", () => resolve(undefined));
      sent.end(text);
    });
  }

  return {
    post,
    getBytes() {
      let bytes = 0;
      for (const socket of sockets) {
        bytes += socket.bytesRead + socket.bytesWritten;
      }
      return bytes;
    },
    close: () => agent.destroy(),
  };
}

function createCounts(posters: readonly JsonPoster[]): AnnouncerCounts {
  return {
    accepted: 0,
    failed: 0,
    starts: 0,
    get bytes() {
      return posters.reduce((sum, poster) => sum + poster.getBytes(), 0);
    },
  };
}

/** Calls `run` each second; the phase is spread evenly over `count` announcers. */
function startAnnounceTimer(position: number, count: number, run: () => void) {
  let interval: ReturnType<typeof setInterval> | undefined;
  const start = setTimeout(() => {
    run();
    interval = setInterval(run, ANNOUNCE_PERIOD_MS);
  }, ANNOUNCE_PERIOD_MS * position / count);
  return () => {
    clearTimeout(start);
    clearInterval(interval);
  };
}

interface Task {
  readonly epoch: number;
  readonly endsAtMs: number;
  reports: number;
}

const TASK_USAGE = Object.freeze({
  processors: 900,
  memoryMb: 900,
  accelerators: 0,
});

/** Starts workers with 16 cores and 64 GiB each; each listens on its own port. */
export async function startWorkerSet(
  options: AnnouncerOptions,
): Promise<AnnouncerSet> {
  const servers: JsonServer[] = [];
  const posters: JsonPoster[] = [];
  const stops: (() => void)[] = [];
  const taskSets: Map<string, Task>[] = [];
  const counts = createCounts(posters);

  function buildTasks(tasks: Map<string, Task>) {
    return [...tasks].map(([task, entry]) => {
      const hasEnded = Date.now() >= entry.endsAtMs;
      if (hasEnded && ++entry.reports >= ENDED_TASK_REPORTS) {
        tasks.delete(task);
      }
      const { epoch } = entry;
      return hasEnded
        ? { task, epoch, state: "finished", usage: TASK_USAGE, exitCode: 0 }
        : { task, epoch, state: "running", usage: TASK_USAGE };
    });
  }

  async function startWorker(position: number): Promise<void> {
    const tasks = new Map<string, Task>();
    taskSets.push(tasks);
    const server = await startJsonServer(0, (message, text) => {
      const body = JSON.parse(text);
      if (message.url?.endsWith("/start") && !tasks.has(body.task)) {
        counts.starts++;
        const endsAtMs = Date.now() + (body.payload?.runMs ?? 1e9);
        tasks.set(body.task, { epoch: body.epoch, endsAtMs, reports: 0 });
      }
      if (message.url?.endsWith("/stop")) tasks.delete(body.task);
      return { status: 200, body: {} };
    });
    servers.push(server);
    const entry = options.entries[position % options.entries.length];
    const poster = createPoster(`${entry}/v1/workers/announce`);
    posters.push(poster);
    const incarnation = Date.now();
    let sequence = 0;

    async function announce(): Promise<void> {
      const answer = await poster.post({
        worker: `${options.prefix}-${position}`,
        address: server.address,
        dataCentre: options.dataCentre,
        rack: `rack-${Math.floor(position / 8)}`,
        incarnation,
        sequence: ++sequence,
        capacity: { processors: 16_000, memoryMb: 65_536, accelerators: 0 },
        draining: false,
        tasks: buildTasks(tasks),
      });
      if (answer === undefined) counts.failed++;
      else counts.accepted++;
    }

    stops.push(
      startAnnounceTimer(position, options.count, () => void announce()),
    );
  }

  for (let i = 0; i < options.count; i++) await startWorker(i);
  return {
    counts,
    countRunning: () => taskSets.reduce((sum, set) => sum + set.size, 0),
    async stop() {
      for (const end of stops) end();
      for (const poster of posters) poster.close();
      await Promise.all(servers.map((server) => server.stop()));
    },
  };
}

/** Starts endpoints that announce 8 slots on a queue and receive no requests. */
export function startEndpointSet(
  options: AnnouncerOptions & { queue: string },
): AnnouncerSet {
  const posters: JsonPoster[] = [];
  const stops: (() => void)[] = [];
  const counts = createCounts(posters);
  for (let i = 0; i < options.count; i++) {
    const entry = options.entries[i % options.entries.length];
    const poster = createPoster(`${entry}/v1/endpoints/announce`);
    posters.push(poster);
    const incarnation = Date.now();
    const announce = async () => {
      const answer = await poster.post({
        endpoint: `${options.prefix}-${i}`,
        // Nothing connects to this address, as no caller uses the queue.
        address: `http://127.0.0.1:${10_000 + i}`,
        dataCentre: options.dataCentre,
        incarnation,
        queues: [options.queue],
        slots: 8,
        connections: 60,
        inFlight: 0,
        departing: false,
      });
      if (answer === undefined) counts.failed++;
      else counts.accepted++;
    };
    stops.push(startAnnounceTimer(i, options.count, () => void announce()));
  }
  return {
    counts,
    countRunning: () => 0,
    stop() {
      for (const end of stops) end();
      for (const poster of posters) poster.close();
      return Promise.resolve();
    },
  };
}
