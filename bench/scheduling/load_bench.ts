/**
 * Load benchmark of the whole scheduler: 2,000 decisions a second while each
 * worker reports its tasks once a second. Also measures the memory for each
 * worker and each task.
 */

import { PerformanceObserver } from "node:perf_hooks";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { createSeededRandom } from "../../src/common/mod.ts";
import {
  createScheduler,
  type JobSpec,
  type Scheduler,
  type SchedulerAction,
  type TaskAttempt,
  type WorkerReport,
} from "../../src/scheduling/mod.ts";
import { buildCapacities, computeQuantile } from "./placement_bench.ts";

/** Measurements for one fleet size. */
export interface LoadResult {
  readonly workers: number;
  readonly runningTasks: number;
  readonly decisions: number;
  readonly stepP50Ms: number;
  readonly stepP99Ms: number;
  /** The p99 over steps without a garbage collection pause or an involuntary context switch. */
  readonly ownP99Ms: number;
  /** Fraction of the steps included in `ownP99Ms`. */
  readonly ownPart: number;
  readonly gcMsPerSecond: number;
  /** Wall time of all steps, for each decision. */
  readonly decisionUs: number;
  /** Wall time to process one worker report. */
  readonly reportUs: number;
  /** Processor time of the whole process for each second of load, in seconds. */
  readonly cpuPerSecond: number;
  readonly workerBytes: number;
  readonly taskBytes: number;
  readonly rssMb: number;
}

const STEP_MS = 50;
const DECISIONS_PER_SECOND = 2_000;
const WORKSPACES = 890;

interface LoadTask extends TaskAttempt {
  state: "running" | "finished";
}

interface LoadWorker {
  readonly id: string;
  readonly number: number;
  sequence: number;
  tasks: LoadTask[];
}

function measureHeapBytes(): number {
  setFlagsFromString("--expose-gc");
  (runInNewContext("gc") as () => void)();
  return process.memoryUsage().heapUsed;
}

/** Runs the load on a fleet of `count` workers with about `tasks` running tasks. */
export async function measureLoad(
  count: number,
  options: { tasks: number; seconds: number; seed: number },
): Promise<LoadResult> {
  const random = createSeededRandom(options.seed);
  // Objects of the previous run become collectable only in a later turn of the event loop.
  await new Promise((resolve) => setTimeout(resolve, 50));
  measureHeapBytes();
  const heapAtStart = measureHeapBytes();
  const scheduler: Scheduler = createScheduler({ random });
  const capacities = buildCapacities(count);
  const workers = capacities.map((_capacity, number): LoadWorker => ({
    id: `w${number}`,
    number,
    sequence: 0,
    tasks: [],
  }));
  const workersById = new Map(workers.map((worker) => [worker.id, worker]));
  const allotment = {
    processors: 1e12,
    memoryMb: 1e12,
    accelerators: 1e9,
  };
  for (let workspace = 0; workspace < WORKSPACES; workspace++) {
    scheduler.setWorkspace({
      workspace: `t${workspace}`,
      weight: 1 + workspace % 4,
      allotment,
    });
  }
  let nowMs = 0;
  let nextJob = 0;

  function buildReport(worker: LoadWorker): WorkerReport {
    worker.sequence++;
    const report = {
      worker: worker.id,
      rack: `r${Math.floor(worker.number / 8)}`,
      incarnation: 1,
      sequence: worker.sequence,
      capacity: capacities[worker.number]!,
      tasks: worker.tasks.map((task) => ({
        ...task,
        usage: { processors: 200, memoryMb: 256, accelerators: 0 },
      })),
      draining: false,
    };
    worker.tasks = worker.tasks.filter((task) => task.state === "running");
    return report;
  }

  function addJob(): void {
    const number = nextJob++;
    const spec: JobSpec = {
      id: `j${number}`,
      workspace: `t${number % WORKSPACES}`,
      policy: number % 5 === 0 ? "service" : "batch",
      tasks: 1,
      resources: {
        processors: 250 * 2 ** (number % 3),
        memoryMb: 512 * (1 + number % 5),
        accelerators: 0,
      },
      urgent: false,
      expectedMs: 1_000 * 2 ** (number % 10),
      maxAttempts: 3,
      submittedAt: nowMs,
    };
    scheduler.addJob(spec);
  }

  function handleActions(actions: readonly SchedulerAction[]): number {
    let assigned = 0;
    for (const action of actions) {
      if (action.type === "assign") {
        assigned++;
        scheduler.confirmAssignment(action);
      } else if (action.type === "start") {
        const { job, index, attempt } = action;
        const task = { job, index, attempt, state: "running" as const };
        workersById.get(action.worker)!.tasks.push(task);
      }
    }
    return assigned;
  }

  for (const worker of workers) {
    scheduler.receiveWorkerReport(buildReport(worker), nowMs);
  }
  scheduler.step(nowMs);
  const heapWithWorkers = measureHeapBytes();

  let placed = 0;
  while (placed < options.tasks) {
    for (let added = 0; added < 2_000 && nextJob < options.tasks; added++) {
      addJob();
    }
    nowMs += 1;
    placed += handleActions(scheduler.step(nowMs));
  }
  handleActions(scheduler.step(nowMs + 1));
  const heapWithTasks = measureHeapBytes();
  // The heap also holds the benchmark's own fake tasks; their size is measured and subtracted.
  const copies = workers.map((worker) => worker.tasks.map((t) => ({ ...t })));
  const heapWithCopies = measureHeapBytes();
  const benchTaskBytes = (heapWithCopies - heapWithTasks) / placed;
  copies.length = 0;

  const stepMs: number[] = [];
  let decisions = 0;
  let reports = 0;
  let stepTotalMs = 0;
  let reportTotalMs = 0;
  const stepsPerSecond = 1_000 / STEP_MS;
  const arrivalsPerStep = DECISIONS_PER_SECOND / stepsPerSecond;
  const pauses: { startMs: number; durationMs: number }[] = [];
  const observer = new PerformanceObserver((list) => {
    for (const { startTime, duration } of list.getEntries()) {
      pauses.push({ startMs: startTime, durationMs: duration });
    }
  });
  observer.observe({ entryTypes: ["gc"] });
  const stepSpans: { startMs: number; endMs: number; switches: number }[] = [];
  const getSwitchCount = () =>
    process.resourceUsage().involuntaryContextSwitches;
  const cpuBefore = process.cpuUsage();
  for (let step = 0; step < options.seconds * stepsPerSecond; step++) {
    nowMs += STEP_MS;
    // For each task that ends on a random worker, a new one arrives, so utilization stays constant.
    for (let picked = 0; picked < arrivalsPerStep; picked++) {
      const worker = workers[random.nextInt(count)]!;
      const task = worker.tasks[random.nextInt(worker.tasks.length || 1)];
      if (task?.state !== "running") continue;
      task.state = "finished";
      addJob();
    }
    for (
      let number = step % stepsPerSecond;
      number < count;
      number += stepsPerSecond
    ) {
      const report = buildReport(workers[number]!);
      const beforeReport = performance.now();
      scheduler.receiveWorkerReport(report, nowMs);
      reportTotalMs += performance.now() - beforeReport;
      reports++;
    }
    const switchesBefore = getSwitchCount();
    const beforeStep = performance.now();
    const actions = scheduler.step(nowMs);
    const afterStep = performance.now();
    decisions += handleActions(actions);
    stepSpans.push({
      startMs: beforeStep,
      endMs: afterStep,
      switches: getSwitchCount() - switchesBefore,
    });
    stepMs.push(afterStep - beforeStep);
    stepTotalMs += afterStep - beforeStep;
  }
  const cpu = process.cpuUsage(cpuBefore);
  // The observer receives GC entries in a later turn of the event loop.
  await new Promise((resolve) => setTimeout(resolve, 50));
  observer.disconnect();
  const hasPause = (span: { startMs: number; endMs: number }) =>
    pauses.some(({ startMs, durationMs }) =>
      startMs < span.endMs && startMs + durationMs > span.startMs
    );
  const undisturbed = stepSpans.filter((span) =>
    span.switches === 0 && !hasPause(span)
  );
  const gcMs = pauses.reduce((sum, { durationMs }) => sum + durationMs, 0);
  return {
    workers: count,
    runningTasks: scheduler.getStatus().placedTasks,
    decisions,
    stepP50Ms: computeQuantile(stepMs, 0.5),
    stepP99Ms: computeQuantile(stepMs, 0.99),
    ownP99Ms: computeQuantile(
      undisturbed.map(({ startMs, endMs }) => endMs - startMs),
      0.99,
    ),
    ownPart: undisturbed.length / stepSpans.length,
    gcMsPerSecond: gcMs / options.seconds,
    decisionUs: 1_000 * stepTotalMs / Math.max(1, decisions),
    reportUs: 1_000 * reportTotalMs / Math.max(1, reports),
    cpuPerSecond: (cpu.user + cpu.system) / 1e6 / options.seconds,
    workerBytes: (heapWithWorkers - heapAtStart) / count,
    taskBytes: (heapWithTasks - heapWithWorkers) / placed - benchTaskBytes,
    rssMb: process.memoryUsage().rss / 2 ** 20,
  };
}
