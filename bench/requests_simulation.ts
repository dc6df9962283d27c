/**
 * Simulates load on the slot controller, or on a first-come-first-served queue,
 * on a manual clock. Endpoints only count requests in flight. Service times are
 * derived from the seed, so runs are reproducible.
 */

import {
  createManualClock,
  createSeededRandom,
  createSilentLogger,
  isFault,
  type ManualClock,
  type Random,
} from "../src/common/mod.ts";
import { createSlotController } from "../src/requests/slots.ts";
import type { SlotRequest } from "../src/requests/types.ts";

/** Size of the present cell: 30 endpoints with 8 slots and 60 connections each, 9 entry instances. */
export const ENDPOINTS = 30;
export const SLOTS = 8;
export const CONNECTIONS = 60;
export const ENTRY_INSTANCES = 9;

/** Mean slot time of a request in milliseconds; uniformly distributed from 0.5 to 1.5 times the mean. */
export const MEAN_DURATION_MS = 100;

/** Deadline of each request in milliseconds. */
export const DEADLINE_MS = 2_000;

const FAILOVER_MS = 1_600;
const LOAD_START_MS = FAILOVER_MS + 500;
/** Longer than the deadline, so that queues are full when measurement starts. */
const WARM_UP_MS = 3_000;

/** A workspace and its offered load, as a fraction of the capacity. */
export interface WorkspaceLoad {
  readonly name: string;
  readonly weight: number;
  readonly load: number;
}

/** Options of a run. */
export interface LoadOptions {
  readonly seed: number;
  readonly workspaces: readonly WorkspaceLoad[];
  /** Length after the warm-up, in milliseconds. */
  readonly lengthMs: number;
  readonly policy: "fair" | "fcfs";
}

/** Results for the requests of one workspace after the warm-up; times in milliseconds. */
export interface WorkspaceResult {
  offered: number;
  answered: number;
  refused: number;
  /** Slot time of requests answered within their deadline. */
  usefulMs: number;
  readonly waitMs: number[];
  readonly refusalMs: number[];
}

/** Results of a run. */
export interface LoadResult {
  readonly workspaces: ReadonlyMap<string, WorkspaceResult>;
  /** Useful slot time as a fraction of the available slot time. */
  readonly goodput: number;
  /** Maximum number of requests in flight at one endpoint. */
  readonly peak: number;
}

interface Job {
  readonly workspace: WorkspaceResult;
  readonly arrivedMs: number;
  readonly durationMs: number;
  readonly isCounted: boolean;
}

/** Submits a job of the named workspace; its start and end are recorded in the job's workspace result. */
type SubmitJob = (name: string, job: Job) => void;

interface Simulation {
  readonly clock: ManualClock;
  readonly random: Random;
  readonly inFlight: number[];
  /** Bounds of the measured part of the run. */
  readonly countFromMs: number;
  readonly countToMs: number;
  peak: number;
  runAt(delayMs: number, callback: () => void): void;
}

/** Returns the given percentile of unsorted values, 0 when there are none. */
export function computePercentile(
  values: readonly number[],
  percent: number,
): number {
  const sorted = Float64Array.from(values).sort();
  const index = Math.ceil(sorted.length * percent / 100) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}

function createSimulation(
  seed: number,
  lengthMs: number,
): Simulation & { step(): void } {
  const clock = createManualClock();
  // A timer wheel with one-millisecond buckets, because the manual clock searches all its timers.
  const buckets = new Map<number, (() => void)[]>();
  const countFromMs = LOAD_START_MS + WARM_UP_MS;
  return {
    clock,
    countFromMs,
    countToMs: countFromMs + lengthMs,
    random: createSeededRandom(seed),
    inFlight: new Array<number>(ENDPOINTS).fill(0),
    peak: 0,
    runAt(delayMs, callback) {
      const atMs = clock.now() + Math.max(1, Math.round(delayMs));
      const bucket = buckets.get(atMs) ?? [];
      bucket.push(callback);
      buckets.set(atMs, bucket);
    },
    step() {
      clock.advance(1);
      const due = buckets.get(clock.now()) ?? [];
      buckets.delete(clock.now());
      for (const callback of due) callback();
    },
  };
}

function recordStart(job: Job, clock: ManualClock): void {
  if (job.isCounted) job.workspace.waitMs.push(clock.now() - job.arrivedMs);
}

/** Counts jobs by completion time, which excludes the backlog left at the end of the run. */
function recordEnd(job: Job, simulation: Simulation): void {
  const nowMs = simulation.clock.now();
  if (nowMs < simulation.countFromMs || nowMs >= simulation.countToMs) return;
  job.workspace.answered += 1;
  if (nowMs - job.arrivedMs <= DEADLINE_MS) {
    job.workspace.usefulMs += job.durationMs;
  }
}

function recordRefusal(job: Job, clock: ManualClock): void {
  if (!job.isCounted) return;
  job.workspace.refused += 1;
  job.workspace.refusalMs.push(clock.now() - job.arrivedMs);
}

function createFairSubmit(
  simulation: Simulation,
  workspaces: readonly WorkspaceLoad[],
): SubmitJob {
  const { clock, random } = simulation;
  const weights = new Map(workspaces.map(({ name, weight }) => [name, weight]));
  const controller = createSlotController({
    clock,
    random: createSeededRandom(1),
    logger: createSilentLogger(),
    dataCentre: "kochi",
    epoch: 1,
    getPolicy: (workspace) => ({
      weight: weights.get(workspace) ?? 1,
      slotLimit: ENDPOINTS * SLOTS,
    }),
  });

  function announce(index: number): void {
    controller.receiveAnnouncement({
      endpoint: `e${index}`,
      address: `http://127.0.0.1:${index + 1}`,
      dataCentre: "kochi",
      incarnation: 1,
      queues: ["orders"],
      slots: SLOTS,
      connections: CONNECTIONS,
      inFlight: simulation.inFlight[index],
      departing: false,
    });
    simulation.runAt(1_000, () => announce(index));
  }

  for (let index = 0; index < ENDPOINTS; index++) {
    simulation.runAt(FAILOVER_MS + index * 7, () => announce(index));
  }
  let next = 0;
  return (name, job) => {
    const request: SlotRequest = {
      requestId: `r${next++}`,
      scope: name,
      workspace: name,
      queue: "orders",
      idempotent: true,
      remainingMs: DEADLINE_MS,
      bodyHash: "",
      instance: `entry${random.nextInt(ENTRY_INSTANCES)}`,
      avoid: [],
      attempt: 0,
    };
    controller.acquire(request).then((grant) => {
      const index = Number(grant.endpoint.slice(1));
      recordStart(job, clock);
      simulation.inFlight[index] = (simulation.inFlight[index] ?? 0) + 1;
      simulation.peak = Math.max(
        simulation.peak,
        simulation.inFlight[index] ?? 0,
      );
      simulation.runAt(job.durationMs, () => {
        simulation.inFlight[index] = (simulation.inFlight[index] ?? 0) - 1;
        recordEnd(job, simulation);
        controller.release(grant.token, "answered", job.durationMs);
      });
    }, (error) => {
      if (!isFault(error) || error.ran !== "no") throw error;
      recordRefusal(job, clock);
    });
  };
}

/** Creates the baseline: a bounded FIFO queue that drops jobs past their deadline. */
function createFcfsSubmit(simulation: Simulation): SubmitJob {
  const { clock } = simulation;
  const maxQueued = 10_000;
  let queue: Job[] = [];
  let head = 0;
  let running = 0;

  function startNext(): void {
    while (running < ENDPOINTS * SLOTS) {
      const job = queue[head];
      if (job === undefined) return;
      head += 1;
      if (head > 10_000) {
        queue = queue.slice(head);
        head = 0;
      }
      if (clock.now() - job.arrivedMs >= DEADLINE_MS) {
        recordRefusal(job, clock);
        continue;
      }
      running += 1;
      recordStart(job, clock);
      simulation.runAt(job.durationMs, () => {
        running -= 1;
        recordEnd(job, simulation);
        startNext();
      });
    }
  }

  return (_name, job) => {
    if (queue.length - head >= maxQueued) {
      recordRefusal(job, clock);
      return;
    }
    queue.push(job);
    startNext();
  };
}

function pickPoisson(random: Random, mean: number): number {
  let count = 0;
  let sum = 0;
  for (;;) {
    sum -= Math.log(1 - random.nextFloat());
    if (sum >= mean) return count;
    count += 1;
  }
}

/** Runs a simulation of the load; resolves to its results. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const { workspaces, lengthMs } = options;
  const simulation = createSimulation(options.seed, lengthMs);
  const { clock, random } = simulation;
  const submit = options.policy === "fair"
    ? createFairSubmit(simulation, workspaces)
    : createFcfsSubmit(simulation);
  const results = new Map<string, WorkspaceResult>();
  for (const { name } of workspaces) {
    results.set(name, {
      offered: 0,
      answered: 0,
      refused: 0,
      usefulMs: 0,
      waitMs: [],
      refusalMs: [],
    });
  }
  const requestsPerMs = ENDPOINTS * SLOTS / MEAN_DURATION_MS;
  const { countFromMs, countToMs } = simulation;
  while (clock.now() < countToMs + 2 * DEADLINE_MS) {
    simulation.step();
    const nowMs = clock.now();
    const isLoaded = nowMs >= LOAD_START_MS && nowMs < countToMs;
    for (
      const { name, load } of isLoaded ? workspaces : []
    ) {
      const workspace = results.get(name);
      if (workspace === undefined) continue;
      const isCounted = nowMs >= countFromMs;
      for (let i = pickPoisson(random, load * requestsPerMs); i > 0; i--) {
        if (isCounted) workspace.offered += 1;
        const durationMs = Math.round(
          MEAN_DURATION_MS * (0.5 + random.nextFloat()),
        );
        submit(name, { workspace, arrivedMs: nowMs, durationMs, isCounted });
      }
    }
    // Lets grants and refusals settle within the same simulated millisecond.
    await new Promise<void>((resolve) => setImmediate(() => resolve()));
  }
  let usefulMs = 0;
  for (const workspace of results.values()) usefulMs += workspace.usefulMs;
  return {
    workspaces: results,
    goodput: usefulMs / (ENDPOINTS * SLOTS * lengthMs),
    peak: simulation.peak,
  };
}
