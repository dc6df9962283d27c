/**
 * Benchmark of the replicated log with disk storage and an in-memory transport:
 * throughput, idle load and recovery. All members of a group share one process
 * and one disk.
 * Usage: node dist/bench/log_bench.js [JSON report path]
 */

import { Buffer } from "node:buffer";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import process from "node:process";
import { build } from "hdr-histogram-js";
import { Bench } from "tinybench";
import { createSystemClock } from "../src/common/clock.ts";
import { createSeededRandom } from "../src/common/random.ts";
import {
  decodeLogMessage,
  encodeLogMessage,
} from "../src/replicated_log/codec.ts";
import { createDiskStorage } from "../src/replicated_log/disk_storage.ts";
import {
  createLogFiles,
  type LogFiles,
} from "../src/replicated_log/log_files.ts";
import { createReplicatedLog } from "../src/replicated_log/replicated_log.ts";
import type {
  LogMember,
  LogMessage,
  ReplicatedLog,
} from "../src/replicated_log/types.ts";

const COMMAND_BYTES = 200;
const RUN_MS = 3_000;
const GROUP_SIZES = [1, 3, 5];
const OUTSTANDING = [1, 64, 1_024];
const LOG_LENGTHS = [1_000, 10_000, 100_000];
const SEED = 1;

interface Counts {
  syncs: number;
  messages: number;
  messageBytes: number;
}

function createCountingFiles(folder: string, counts: Counts): LogFiles {
  const files = createLogFiles(folder);
  return {
    ...files,
    async open(name) {
      const file = await files.open(name);
      return {
        ...file,
        sync() {
          counts.syncs++;
          return file.sync();
        },
      };
    },
  };
}

async function createGroup(size: number, folder: string, counts: Counts) {
  const members: LogMember[] = Array.from(
    { length: size },
    (_, at) => ({ id: `m${at}`, role: "voter" }),
  );
  const logs = new Map<string, ReplicatedLog>();
  for (const [at, { id }] of members.entries()) {
    const memberFolder = path.join(folder, id);
    const files = createCountingFiles(memberFolder, counts);
    const log = await createReplicatedLog({
      group: "bench",
      self: id,
      members,
      bootstrap: true,
      storage: await createDiskStorage({ folder: memberFolder, files }),
      transport: {
        send(to: string, message: LogMessage) {
          const bytes = encodeLogMessage(message);
          counts.messages++;
          counts.messageBytes += bytes.length;
          setImmediate(() =>
            logs.get(to)?.receive(id, decodeLogMessage(bytes))
          );
        },
      },
      clock: createSystemClock(),
      random: createSeededRandom(SEED + at * 987_654_321),
      stateMachine: {
        apply: () => undefined,
        takeSnapshot: () => Buffer.alloc(0),
        restoreSnapshot: () => {},
      },
      timings: { snapshotLogBytes: 1e9 },
    });
    logs.set(id, log);
  }
  return logs;
}

async function waitForLeader(
  logs: Map<string, ReplicatedLog>,
): Promise<ReplicatedLog> {
  for (let attempt = 0; attempt < 1_000; attempt++) {
    const found = [...logs.values()].find((log) =>
      log.getLease() !== undefined
    );
    if (found !== undefined) return found;
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  throw new Error("Cannot elect a leader within 10 s");
}

function measureFolder(folder: string): number {
  return fs.readdirSync(folder).reduce(
    (sum, name) => sum + fs.statSync(path.join(folder, name)).size,
    0,
  );
}

async function measureThroughput(size: number, outstanding: number) {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "log-bench-"));
  const counts: Counts = { syncs: 0, messages: 0, messageBytes: 0 };
  const logs = await createGroup(size, folder, counts);
  const leader = await waitForLeader(logs);
  const histogram = build();
  const command = Buffer.alloc(COMMAND_BYTES, 7);
  const bytesBefore = measureFolder(path.join(folder, "m0"));
  Object.assign(counts, { syncs: 0, messages: 0, messageBytes: 0 });
  const startMs = performance.now();
  const endMs = startMs + RUN_MS;
  let entries = 0;
  async function runProposer(): Promise<void> {
    while (performance.now() < endMs) {
      const sentMs = performance.now();
      await leader.propose(command);
      histogram.recordValue(Math.round((performance.now() - sentMs) * 1_000));
      entries++;
    }
  }
  await Promise.all(Array.from({ length: outstanding }, runProposer));
  const elapsedMs = performance.now() - startMs;
  const result = {
    members: size,
    outstanding,
    entriesPerSecond: Math.round(entries / elapsedMs * 1_000),
    p50Ms: histogram.getValueAtPercentile(50) / 1_000,
    p99Ms: histogram.getValueAtPercentile(99) / 1_000,
    syncsPerEntryAndMember: round(counts.syncs / entries / size),
    messagesPerEntry: round(counts.messages / entries),
    sentBytesPerEntry: Math.round(counts.messageBytes / entries),
    diskBytesPerEntry: Math.round(
      (measureFolder(path.join(folder, "m0")) - bytesBefore) / entries,
    ),
  };
  for (const log of logs.values()) await log.stop();
  fs.rmSync(folder, { recursive: true });
  return result;
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

/** Measures the time from opening a store until its member is ready to participate, in milliseconds. */
async function measureRecovery(length: number) {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "log-bench-"));
  const storage = await createDiskStorage({ folder });
  await storage.load();
  await storage.saveVote({ member: "m0", term: 1 });
  const data = Buffer.alloc(COMMAND_BYTES, 7);
  for (let first = 1; first <= length; first += 100) {
    await storage.append(Array.from({ length: 100 }, (_, at) => ({
      index: first + at,
      term: 1,
      kind: "command" as const,
      data,
    })));
  }
  await storage.close();
  const bench = new Bench({ iterations: 5, time: 0, warmup: false });
  bench.add(`recover ${length} entries`, async () => {
    const log = await createReplicatedLog({
      group: "bench",
      self: "m0",
      storage: await createDiskStorage({ folder }),
      transport: { send: () => {} },
      clock: createSystemClock(),
      random: createSeededRandom(SEED),
      stateMachine: {
        apply: () => undefined,
        takeSnapshot: () => Buffer.alloc(0),
        restoreSnapshot: () => {},
      },
    });
    await log.stop();
  });
  await bench.run();
  const found = bench.tasks[0]?.result;
  if (found === undefined || !("latency" in found)) {
    throw new Error(`Cannot measure the recovery of ${length} entries`);
  }
  const bytes = measureFolder(folder);
  fs.rmSync(folder, { recursive: true });
  return {
    entries: length,
    medianMs: round(found.latency.p50),
    maxMs: round(found.latency.max),
    bytesAtRest: bytes,
    bytesPerEntry: round(bytes / length),
  };
}

/** Measures the messages and processor time of a group without proposals. */
async function measureIdle(size: number) {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "log-bench-"));
  const counts: Counts = { syncs: 0, messages: 0, messageBytes: 0 };
  const logs = await createGroup(size, folder, counts);
  await waitForLeader(logs);
  Object.assign(counts, { syncs: 0, messages: 0, messageBytes: 0 });
  const startMs = performance.now();
  const startCpu = process.cpuUsage();
  await new Promise((resolve) => setTimeout(resolve, RUN_MS));
  const elapsedSeconds = (performance.now() - startMs) / 1_000;
  const { user, system } = process.cpuUsage(startCpu);
  for (const log of logs.values()) await log.stop();
  fs.rmSync(folder, { recursive: true });
  return {
    members: size,
    messagesPerSecond: Math.round(counts.messages / elapsedSeconds),
    bytesPerSecond: Math.round(counts.messageBytes / elapsedSeconds),
    corePercentPerMember: round((user + system) / 1e4 / elapsedSeconds / size),
  };
}

const throughput = [];
for (const size of GROUP_SIZES) {
  for (const outstanding of OUTSTANDING) {
    throughput.push(await measureThroughput(size, outstanding));
  }
}
const idle = [];
for (const size of GROUP_SIZES) idle.push(await measureIdle(size));
const recovery = [];
for (const length of LOG_LENGTHS) recovery.push(await measureRecovery(length));

console.table(throughput);
console.table(idle);
console.table(recovery);
const reportPath = process.argv[2];
if (reportPath !== undefined) {
  const report = { commandBytes: COMMAND_BYTES, throughput, idle, recovery };
  fs.writeFileSync(reportPath, JSON.stringify(report, undefined, 2) + "\n");
}
