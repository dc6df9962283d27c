/**
 * Runs worker stubs as child processes, records what ran on them, and submits
 * jobs as a caller does. For tests that inject faults while jobs run.
 */

import type { Test } from "tap";
import type { Cell } from "./cell.ts";
import { callJson, type JsonAnswer, wait, waitUntil } from "./json_http.ts";
import { startProcess, type TestProcess, type TestScope } from "./processes.ts";
import type { StubTaskStatus } from "./standin_tasks.ts";
import type { WorkerStubStatus } from "./standin_worker.ts";

/** Capacity of each worker. */
export const WORKER_CORES = 8;

/** One run of a task on a worker; times are wall time in milliseconds. */
export interface TaskRun extends StubTaskStatus {
  readonly worker: string;
}

/** Settings of one worker. */
export interface FleetWorkerOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly entries: readonly string[];
  readonly leaseMs: number;
}

/** A worker process. */
export interface FleetWorker {
  readonly options: FleetWorkerOptions;
  readonly process: TestProcess;
  readonly address: string;
}

/** Workers and what ran on them. */
export interface WorkerFleet {
  /** Starts a worker, or restarts a killed one under its name. */
  start(options: FleetWorkerOptions): Promise<FleetWorker>;
  get(name: string): FleetWorker;
  /** Kills a worker, and with it the tasks that run there. */
  kill(name: string): Promise<void>;
  /** Lists all runs so far, including those on killed workers. */
  listRuns(): Promise<TaskRun[]>;
  /** Lists the tasks that run now, of one job or of all. */
  listRunning(job?: string): Promise<TaskRun[]>;
  /** Counts starts beyond the capacity, which the workers rejected. */
  countViolations(): Promise<number>;
}

/** Creates a fleet without workers. */
export function createWorkerFleet(t: TestScope): WorkerFleet {
  const workers = new Map<string, FleetWorker>();
  const killedRuns: TaskRun[] = [];
  let killedViolations = 0;

  async function readStatus(
    { address }: FleetWorker,
  ): Promise<WorkerStubStatus> {
    const { body } = await callJson(`${address}/tasks`, { timeoutMs: 5_000 });
    return body as WorkerStubStatus;
  }

  async function listRunsOf(worker: FleetWorker): Promise<TaskRun[]> {
    const { tasks } = await readStatus(worker);
    return tasks.map((task) => ({ ...task, worker: worker.options.name }));
  }

  function get(name: string): FleetWorker {
    const found = workers.get(name);
    if (found === undefined) throw new Error(`Cannot find worker "${name}"`);
    return found;
  }

  async function listRuns(): Promise<TaskRun[]> {
    const lists = await Promise.all([...workers.values()].map(listRunsOf));
    return [...killedRuns, ...lists.flat()];
  }

  return {
    async start(options) {
      const process = startProcess(t, "test/standin_worker.js", [
        ...["--name", options.name],
        ...["--data-centre", options.dataCentre],
        ...["--entry", options.entries.join(",")],
        ...["--cores", String(WORKER_CORES)],
        ...["--lease-ms", String(options.leaseMs)],
      ]);
      const line = await process.waitForLine(/listening on/);
      const address = line.replace("listening on ", "");
      const worker = { options, process, address };
      workers.set(options.name, worker);
      return worker;
    },
    get,
    async kill(name) {
      const worker = get(name);
      const before = await readStatus(worker);
      await worker.process.kill();
      const endedAt = Date.now();
      workers.delete(name);
      killedViolations += before.capacityViolations;
      for (const task of before.tasks) {
        const end = task.endedAt ?? endedAt;
        killedRuns.push({ ...task, endedAt: end, worker: name });
      }
    },
    listRuns,
    async listRunning(job) {
      const runs = await listRuns();
      return runs.filter((run) =>
        run.state === "running" && run.endedAt === null &&
        (job === undefined || run.task.startsWith(`${job}/`))
      );
    },
    async countViolations() {
      const all = await Promise.all([...workers.values()].map(readStatus));
      return all.reduce(
        (sum, { capacityViolations }) => sum + capacityViolations,
        killedViolations,
      );
    },
  };
}

function getTaskName({ task }: TaskRun): string {
  return task.slice(0, task.lastIndexOf("/"));
}

function groupBy(
  runs: readonly TaskRun[],
  getKey: (run: TaskRun) => string,
): Map<string, TaskRun[]> {
  const groups = new Map<string, TaskRun[]>();
  for (const run of runs) {
    groups.set(getKey(run), [...groups.get(getKey(run)) ?? [], run]);
  }
  return groups;
}

/** Lists pairs of runs of the same task whose times overlap. */
export function listOverlaps(runs: readonly TaskRun[]): string[] {
  const overlaps: string[] = [];
  for (const [task, taskRuns] of groupBy(runs, getTaskName)) {
    taskRuns.sort((a, b) => a.startedAt - b.startedAt);
    for (const [index, run] of taskRuns.entries()) {
      const next = taskRuns[index + 1];
      if (next === undefined || (run.endedAt ?? Infinity) <= next.startedAt) {
        continue;
      }
      overlaps.push(`${task}: ${JSON.stringify([run, next])}`);
    }
  }
  return overlaps;
}

/** Lists workers that ran more than their capacity at some time. */
export function listOverruns(runs: readonly TaskRun[]): string[] {
  const overruns: string[] = [];
  for (const [worker, workerRuns] of groupBy(runs, (run) => run.worker)) {
    const peak = computePeak(workerRuns, (run) => run.resources.processors);
    if (peak > WORKER_CORES * 1_000) overruns.push(`${worker}: ${peak}`);
  }
  return overruns;
}

/** Computes the largest sum of sizes over runs at the same time. */
export function computePeak(
  runs: readonly TaskRun[],
  getSize: (run: TaskRun) => number,
): number {
  const edges = runs.flatMap((run) => [
    { at: run.startedAt, size: getSize(run) },
    { at: run.endedAt ?? Infinity, size: -getSize(run) },
  ]);
  // Within one millisecond, an end sorts before a start.
  edges.sort((a, b) => a.at - b.at || a.size - b.size);
  let sum = 0;
  let peak = 0;
  for (const { size } of edges) {
    sum += size;
    peak = Math.max(peak, sum);
  }
  return peak;
}

/** Counts the finished runs of each task of a job, by index. */
export function countFinished(
  runs: readonly TaskRun[],
  job: string,
  taskCount: number,
): number[] {
  return Array.from(
    { length: taskCount },
    (_, index) =>
      runs.filter((run) =>
        getTaskName(run) === `${job}/${index}` && run.state === "finished"
      ).length,
  );
}

/** A job to submit. */
export interface JobInput {
  readonly id: string;
  readonly policy: "batch" | "service" | "gang";
  readonly tasks: number;
  readonly resources: { processors: number; memoryMb?: number };
  readonly payload?: { runMs: number };
}

/** The state of a job as callers see it. */
export interface JobState {
  readonly id: string;
  readonly state: string;
  readonly tasks: { index: number; attempt: number; worker?: string }[];
}

/** Sends calls about jobs, each through the next instance. */
export interface JobCaller {
  /** Submits until accepted, then once more through another instance. */
  submit(job: JobInput): Promise<void>;
  get(id: string): Promise<JobState | undefined>;
  /** Repeats the cancellation until it is accepted; resolves to that answer. */
  cancel(id: string): Promise<JobState>;
  waitForState(id: string, state: string, timeoutMs: number): Promise<JobState>;
}

/** Creates a caller for a workspace. */
export function createJobCaller(cell: Cell, secret: string): JobCaller {
  const headers = { authorization: `Bearer ${secret}` };
  let nextAddress = 0;

  async function call(
    method: string,
    path: string,
    body?: unknown,
  ): Promise<JsonAnswer | undefined> {
    const address = cell.addresses[nextAddress++ % cell.addresses.length];
    try {
      return await callJson(`${address}${path}`, {
        method,
        headers,
        ...(body === undefined ? {} : { body }),
        timeoutMs: 3_000,
      });
    } catch {
      return undefined;
    }
  }

  async function callUntilAccepted(
    method: string,
    path: string,
    body?: unknown,
  ): Promise<JobState> {
    let last: JsonAnswer | undefined;
    for (const endMs = performance.now() + 20_000; performance.now() < endMs;) {
      last = await call(method, path, body);
      if (last?.status === 202) return last.body as JobState;
      await wait(50);
    }
    throw new Error(`Cannot ${method} ${path}: ${JSON.stringify(last)}`);
  }

  const getPath = (id: string) => `/v1/jobs/${encodeURIComponent(id)}`;

  async function get(id: string): Promise<JobState | undefined> {
    const answer = await call("GET", getPath(id));
    return answer?.status === 200 ? answer.body as JobState : undefined;
  }

  return {
    async submit(job) {
      await callUntilAccepted("POST", "/v1/jobs", job);
      await callUntilAccepted("POST", "/v1/jobs", job);
    },
    get,
    cancel: (id) => callUntilAccepted("DELETE", getPath(id)),
    async waitForState(id, state, timeoutMs) {
      let last: JobState | undefined;
      try {
        return await waitUntil(
          async () => {
            last = await get(id) ?? last;
            return last?.state === state ? last : undefined;
          },
          timeoutMs,
          `state "${state}" of ${id}`,
        );
      } catch (error) {
        throw new Error(`Last state: ${JSON.stringify(last)}`, {
          cause: error,
        });
      }
    },
  };
}

/** Checks the invariants over all runs so far; resolves to the runs. */
export async function checkRuns(
  t: Test,
  fleet: WorkerFleet,
): Promise<TaskRun[]> {
  const runs = await fleet.listRuns();
  t.strictSame(listOverlaps(runs), [], "no task ran in two places at once");
  t.strictSame(listOverruns(runs), [], "no worker ran more than its capacity");
  t.equal(await fleet.countViolations(), 0, "no start beyond the capacity");
  return runs;
}
