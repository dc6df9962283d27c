/**
 * Measures how long one job keeps the leader's event loop: jobs of 10 to 100,000
 * tasks in one step, as many overdue occurrences, and as many steps, on the cell
 * model. The model runs in steps of 1 ms of its own clock, and the longest of them
 * in real time stands for the longest turn; it includes the simulated runners, so
 * it is an upper estimate. The bound is a quarter of the lease, also for a leader
 * that has just taken over. Usage: `node dist/bench/large_job_bench.js [FILE]`.
 */

import { writeFile } from "node:fs/promises";
import process from "node:process";
import {
  createJob,
  createModelConfiguration,
  createWorkModel,
  type WorkModel,
} from "../src/model/mod.ts";
import {
  computeLeaseMs,
  DEFAULT_LOG_TIMINGS,
} from "../src/replicated_log/mod.ts";
import type { JobBody } from "../src/workload/mod.ts";

const MAX_TURN_MS = computeLeaseMs(DEFAULT_LOG_TIMINGS) / 4;

const RUNNERS = 30;

/** Time on the model's clock that is measured after the submission and after a takeover, in milliseconds. */
const MEASURED_MS = 1_000;

/** Real time after which a measurement ends early, in milliseconds. */
const MAX_REAL_MS = 20_000;

const INTERVAL_MS = 1_000;

const TASK = {
  estimatedMs: 200,
  resources: { processors: 100, memoryMb: 10, accelerators: 0 },
};

/** Builds jobs by shape, with a size; `nowMs` is the wall time. */
const SHAPES: Readonly<
  Record<
    string,
    { maxSize: number; build(size: number, nowMs: number): JobBody }
  >
> = Object.freeze({
  tasks: {
    maxSize: 100_000,
    build: (size) => createJob([{ ...TASK, tasks: size }]),
  },
  occurrences: {
    maxSize: 100_000,
    build: (size, nowMs) => ({
      ...createJob([TASK]),
      repetitions: size,
      firstRunMs: nowMs - size * INTERVAL_MS,
      intervalMs: INTERVAL_MS,
    }),
  },
  steps: {
    // The limit for the steps of a job.
    maxSize: 1_000,
    build: (size) => createJob(Array.from({ length: size }, () => TASK)),
  },
});

const SIZES = [10, 100, 1_000, 10_000, 100_000];

/** Runs the model, and returns the longest turn in milliseconds. */
async function measureTurns(model: WorkModel): Promise<number> {
  const endMs = performance.now() + MAX_REAL_MS;
  let longestMs = 0;
  for (let passedMs = 0; passedMs < MEASURED_MS; passedMs += 1) {
    const startMs = performance.now();
    await model.run(1);
    longestMs = Math.max(longestMs, performance.now() - startMs);
    if (performance.now() > endMs) break;
  }
  return longestMs;
}

interface Result {
  readonly shape: string;
  readonly size: number;
  /** Longest turn before the job is submitted, in milliseconds. */
  readonly idleMs: number;
  readonly longestMs: number;
  readonly takeoverMs: number;
  readonly starts: number;
}

async function measure(shape: string, size: number): Promise<Result> {
  const model = createWorkModel({ configuration: createModelConfiguration() });
  for (let at = 0; at < RUNNERS; at += 1) await model.addRunner(`r${at}`);
  const idleMs = await measureTurns(model);
  const body = SHAPES[shape]?.build(size, model.clock.wallTime());
  if (body === undefined) throw new Error(`Unknown shape "${shape}"`);
  void model.submit("large", body);
  const longestMs = await measureTurns(model);
  model.changeLeader();
  const takeoverMs = await measureTurns(model);
  const starts = model.runners.countStarts();
  return { shape, size, idleMs, longestMs, takeoverMs, starts };
}

const results: Result[] = [];
for (const [shape, { maxSize }] of Object.entries(SHAPES)) {
  for (const size of SIZES.filter((size) => size <= maxSize)) {
    const result = await measure(shape, size);
    results.push(result);
    const { idleMs, longestMs, takeoverMs, starts } = result;
    process.stdout.write(
      `${shape} ${size}: longest turn ${
        longestMs.toFixed(1)
      } ms, after a takeover ${takeoverMs.toFixed(1)} ms, idle ${
        idleMs.toFixed(1)
      } ms, ${starts} starts\n`,
    );
  }
}

const [file] = process.argv.slice(2);
if (file !== undefined) await writeFile(file, JSON.stringify(results, null, 2));
const isWithinBounds = results.every(({ longestMs, takeoverMs }) =>
  Math.max(longestMs, takeoverMs) <= MAX_TURN_MS
);
process.stdout.write(
  `bound: ${MAX_TURN_MS.toFixed(0)} ms, ${
    isWithinBounds ? "kept" : "exceeded"
  }\n`,
);
process.exit(isWithinBounds ? 0 : 1);
