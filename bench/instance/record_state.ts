/** Measures the size and processing times of a data centre log state with many running tasks. */

import process from "node:process";
import {
  createDataCentreState,
  encodeDataCentreCommand,
} from "../../src/data_centre/state.ts";
import type { JobCommand } from "../../src/data_centre/job_records.ts";

/** Measurements for one number of tasks. */
export interface RecordStateResult {
  readonly tasks: number;
  /** Encoded size of one task assignment in a batch of 100. */
  readonly assignBytes: number;
  /** Encoded size of one task end in a batch of 100. */
  readonly endBytes: number;
  /** Processor time to apply one assignment, in microseconds. */
  readonly applyUs: number;
  readonly heapMb: number;
  readonly snapshotBytes: number;
  /** Processor time of taking a snapshot, which blocks the process, in milliseconds. */
  readonly snapshotMs: number;
  readonly restoreMs: number;
}

const TASKS_PER_JOB = 10;
const BATCH_COMMANDS = 100;

function getProcessorMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1_000;
}

function measureMs<T>(run: () => T): { ms: number; value: T } {
  const startMs = getProcessorMs();
  const value = run();
  return { ms: getProcessorMs() - startMs, value };
}

function createCommands(tasks: number): Uint8Array[] {
  const commands: JobCommand[] = [];
  for (let at = 0; at < tasks; at++) {
    const job = `north:job-${Math.floor(at / TASKS_PER_JOB)}`;
    const index = at % TASKS_PER_JOB;
    if (index === 0) {
      commands.push({
        type: "submitJob",
        spec: {
          id: job,
          workspace: `workspace-${at % 890}`,
          policy: "batch",
          tasks: TASKS_PER_JOB,
          resources: { processors: 1_000, memoryMb: 1_024, accelerators: 0 },
          urgent: false,
          maxAttempts: 3,
          payload: { runMs: 60_000 },
          submittedWallMs: 1_800_000_000_000,
        },
      });
    }
    const worker = `worker-${at % 25_000}`;
    commands.push({ type: "assign", job, index, attempt: 1, worker });
  }
  const encoded: Uint8Array[] = [];
  for (let at = 0; at < commands.length; at += BATCH_COMMANDS) {
    const batch = commands.slice(at, at + BATCH_COMMANDS);
    encoded.push(encodeDataCentreCommand({ part: "jobs", commands: batch }));
  }
  return encoded;
}

function measureCommandBytes(command: JobCommand): number {
  const commands = Array.from({ length: BATCH_COMMANDS }, () => command);
  return encodeDataCentreCommand({ part: "jobs", commands }).length /
    BATCH_COMMANDS;
}

/** Fills a state with running tasks, then takes and restores a snapshot. */
export function measureRecordState(tasks: number): RecordStateResult {
  const commands = createCommands(tasks);
  const create = () => createDataCentreState({ dataCentre: "north" });
  globalThis.gc?.();
  const heapBefore = process.memoryUsage().heapUsed;
  const state = create();
  const applied = measureMs(() =>
    commands.forEach((command, index) => state.apply(command, index))
  );
  globalThis.gc?.();
  const heapMb = (process.memoryUsage().heapUsed - heapBefore) / 1_048_576;
  const snapshot = measureMs(() => state.takeSnapshot());
  const restored = measureMs(() => create().restoreSnapshot(snapshot.value));
  const name = { job: "north:job-12345", index: 3, attempt: 1 };
  return {
    tasks,
    assignBytes: measureCommandBytes({
      type: "assign",
      ...name,
      worker: "worker-12345",
    }),
    endBytes: measureCommandBytes({
      type: "endTask",
      ...name,
      outcome: "finished",
      final: true,
      failures: 0,
      exitCode: 0,
    }),
    applyUs: applied.ms * 1_000 / tasks,
    heapMb,
    snapshotBytes: snapshot.value.length,
    snapshotMs: snapshot.ms,
    restoreMs: restored.ms,
  };
}
