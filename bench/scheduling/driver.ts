/**
 * Simulates a cell on a manual clock: feeds job arrivals to a scheduler and
 * measures the shares and wait times of the workspaces.
 */

import {
  createManualClock,
  createSeededRandom,
  fitsWithin,
  type Resources,
} from "../../src/common/mod.ts";
import {
  computeDominantShare,
  computeJainIndex,
  createScheduler,
  type JobSpec,
  type SchedulerAction,
  type SchedulerOptions,
} from "../../src/scheduling/mod.ts";
import { computeQuantile } from "./placement_bench.ts";

/** A task start decided by the scheduler. */
export interface TaskStart {
  readonly spec: JobSpec;
  readonly index: number;
  readonly attempt: number;
  readonly worker: number;
}

/** A task on a simulated worker. */
export interface SimulatedTask extends TaskStart {
  readonly startedMs: number;
  endMs: number;
  state: "running" | "finished" | "stopped" | "checkpointed";
  limit: number | undefined;
}

/** A command to a running task. */
export interface TaskCommand {
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
  readonly kind: "stop" | "checkpoint" | "throttle";
  readonly processors?: number | undefined;
}

/** The scheduler interface that the simulation calls. */
export interface SchedulerUnderTest {
  addJob(spec: JobSpec): void;
  /** Receives the tasks of a worker, once a second and when a task ends. */
  report(worker: number, tasks: readonly SimulatedTask[], nowMs: number): void;
  step(nowMs: number): { starts: TaskStart[]; stops: TaskCommand[] };
  end(task: SimulatedTask): void;
}

/** A job submission; the actual run time may differ widely from the declared one. */
export interface Arrival {
  readonly spec: JobSpec;
  readonly runMs: number;
}

/** Weights by workspace, worker capacities and job arrivals of a simulation. */
export interface Scenario {
  readonly weights: Readonly<Record<string, number>>;
  readonly capacities: readonly Resources[];
  readonly arrivals: readonly Arrival[];
  readonly untilMs: number;
}

/** Measurements of one run. */
export interface RunResult {
  /** Mean absolute difference between a workspace's share of the cell and its fair share, by workspace. */
  readonly distance: Readonly<Record<string, number>>;
  /** The same, for each minute of the run. */
  readonly distanceByMinute: Readonly<Record<string, readonly number[]>>;
  readonly meanDistance: number;
  /** Mean over time of Jain's index of the ratios of held share to fair share. */
  readonly jain: number;
  readonly waitMeanMs: number;
  readonly waitP50Ms: number;
  readonly waitP90Ms: number;
  readonly waitP99Ms: number;
  /** Mean fraction of the processors in use while tasks were waiting. */
  readonly packing: number;
  /** Wall time of scheduler steps for each started task, in microseconds. */
  readonly decisionUs: number;
  readonly started: number;
  readonly neverStarted: number;
  /** Run time lost by tasks that were stopped without a checkpoint. */
  readonly lostMs: number;
  /** Longest time from submission to start of an urgent task. */
  readonly urgentMaxMs: number;
  readonly urgentP50Ms: number;
  readonly urgentTasks: number;
}

const STEP_MS = 50;
const SAMPLE_MS = 1_000;
const SAMPLES_PER_MINUTE = 60_000 / SAMPLE_MS;

/** Adapts the library's scheduler to the simulation; `onAction` receives each of its actions. */
export function createLibraryScheduler(
  scenario: Scenario,
  options: Omit<SchedulerOptions, "random">,
  onAction: (action: SchedulerAction) => void = () => {},
): SchedulerUnderTest {
  const scheduler = createScheduler({
    random: createSeededRandom(7),
    ...options,
  });
  const allotment = { processors: 1e12, memoryMb: 1e12, accelerators: 1e9 };
  for (const [workspace, weight] of Object.entries(scenario.weights)) {
    scheduler.setWorkspace({ workspace, weight, allotment });
  }
  const sequences = scenario.capacities.map(() => 0);

  function report(
    worker: number,
    tasks: readonly SimulatedTask[],
    nowMs: number,
  ): void {
    scheduler.receiveWorkerReport({
      worker: `${worker}`,
      rack: `r${Math.floor(worker / 6)}`,
      incarnation: 1,
      sequence: ++sequences[worker]!,
      capacity: scenario.capacities[worker]!,
      tasks: tasks.map((task) => ({
        job: task.spec.id,
        index: task.index,
        attempt: task.attempt,
        state: task.state,
        ...(task.limit === undefined ? {} : { processorLimit: task.limit }),
      })),
      draining: false,
    }, nowMs);
  }

  return {
    addJob: (spec) => scheduler.addJob(spec),
    report,
    end() {},
    step(nowMs) {
      const starts: TaskStart[] = [];
      const stops: TaskCommand[] = [];
      for (const action of scheduler.step(nowMs)) {
        onAction(action);
        if (action.type === "assign") scheduler.confirmAssignment(action);
        else if (action.type === "start") {
          const { spec, index, attempt } = action;
          starts.push({ spec, index, attempt, worker: Number(action.worker) });
        } else if (
          action.type === "stop" || action.type === "checkpoint" ||
          action.type === "throttle"
        ) {
          const { job, index, attempt, type } = action;
          const processors = action.type === "throttle"
            ? action.processors
            : undefined;
          stops.push({ job, index, attempt, kind: type, processors });
        }
      }
      return { starts, stops };
    },
  };
}

/** Computes weighted max-min fair shares: capacity that a workspace does not demand goes to the others. */
function computeFairShares(
  demands: ReadonlyMap<string, number>,
  weights: Readonly<Record<string, number>>,
): Map<string, number> {
  const fair = new Map<string, number>();
  const open = new Map([...demands].filter(([, want]) => want > 0));
  let left = 1;
  while (open.size > 0) {
    const total = [...open.keys()].reduce(
      (sum, workspace) => sum + weights[workspace]!,
      0,
    );
    const done = [...open].filter(([workspace, want]) =>
      want <= left * weights[workspace]! / total
    );
    if (done.length === 0) {
      for (const workspace of open.keys()) {
        fair.set(workspace, left * weights[workspace]! / total);
      }
      break;
    }
    for (const [workspace, want] of done) {
      fair.set(workspace, want);
      open.delete(workspace);
    }
    left -= done.reduce((sum, [, want]) => sum + want, 0);
  }
  return fair;
}

function sumResources(amounts: Iterable<Resources>): Resources {
  const sum = { processors: 0, memoryMb: 0, accelerators: 0 };
  for (const amount of amounts) {
    sum.processors += amount.processors;
    sum.memoryMb += amount.memoryMb;
    sum.accelerators += amount.accelerators;
  }
  return sum;
}

/** Runs the scenario; throws an error if a worker is overcommitted. */
export function runScenario(
  scenario: Scenario,
  scheduler: SchedulerUnderTest,
): RunResult {
  const { capacities, weights, arrivals } = scenario;
  const clock = createManualClock(0);
  const total = sumResources(capacities);
  const workspaces = Object.keys(weights);
  const tasksByWorker = capacities.map(() => new Map<string, SimulatedTask>());
  const latestTasks = new Map<string, SimulatedTask>();
  const runMs = new Map<string, number>();
  const remainingMs = new Map<string, number>();
  const firstStart = new Map<string, number>();
  const waits: number[] = [];
  const urgentWaits: number[] = [];
  const waiting = new Map<string, Resources>();
  const distance = Object.fromEntries(
    workspaces.map((workspace) => [workspace, 0]),
  );
  const distanceByMinute = Object.fromEntries(
    workspaces.map((workspace): [string, number[]] => [workspace, []]),
  );
  const jain: number[] = [];
  const packing: number[] = [];
  let samples = 0;
  let lostMs = 0;
  let decisionMs = 0;
  let started = 0;
  let nextArrival = 0;

  const getKey = (task: { job: string; index: number }) =>
    `${task.job}#${task.index}`;

  function start(taskStart: TaskStart, nowMs: number): void {
    const key = getKey({ job: taskStart.spec.id, index: taskStart.index });
    const durationMs = remainingMs.get(key) ?? runMs.get(taskStart.spec.id)!;
    const task: SimulatedTask = {
      ...taskStart,
      startedMs: nowMs,
      endMs: nowMs + durationMs,
      state: "running",
      limit: undefined,
    };
    tasksByWorker[taskStart.worker]!.set(`${key}@${taskStart.attempt}`, task);
    latestTasks.set(key, task);
    waiting.delete(key);
    started++;
    if (!firstStart.has(key)) {
      firstStart.set(key, nowMs);
      const waitMs = nowMs - taskStart.spec.submittedAt;
      (taskStart.spec.urgent ? urgentWaits : waits).push(waitMs);
    }
    checkCapacity(taskStart.worker);
  }

  function checkCapacity(worker: number): void {
    const held = [...tasksByWorker[worker]!.values()].filter((task) =>
      task.state === "running"
    ).map((task) => ({
      ...task.spec.resources,
      processors: Math.min(
        task.spec.resources.processors,
        task.limit ?? Infinity,
      ),
    }));
    if (fitsWithin(sumResources(held), capacities[worker]!)) return;
    throw new Error(`Tasks on worker "${worker}" exceed its capacity`);
  }

  function finish(task: SimulatedTask, state: SimulatedTask["state"]): void {
    if (task.state !== "running") return;
    task.state = state;
    scheduler.end(task);
  }

  function stop(command: TaskCommand, nowMs: number): void {
    const key = getKey(command);
    const task = latestTasks.get(key);
    if (task?.attempt !== command.attempt || task.state !== "running") return;
    if (command.kind === "throttle") {
      task.limit = command.processors;
      return;
    }
    // A task whose payload is "stubborn" ignores checkpoints.
    const isIgnored = command.kind === "checkpoint" &&
      task.spec.payload === "stubborn";
    if (isIgnored) return;
    if (command.kind === "checkpoint") remainingMs.set(key, task.endMs - nowMs);
    else lostMs += nowMs - task.startedMs;
    waiting.set(key, task.spec.resources);
    finish(task, command.kind === "stop" ? "stopped" : "checkpointed");
  }

  function runWorkers(nowMs: number): void {
    tasksByWorker.forEach((tasks, worker) => {
      let hasEnded = false;
      for (const task of tasks.values()) {
        if (task.state === "running" && nowMs >= task.endMs) {
          finish(task, "finished");
          hasEnded = true;
        }
      }
      const isDue = nowMs % 1_000 === (worker * STEP_MS) % 1_000;
      if (!isDue && !hasEnded) return;
      scheduler.report(worker, [...tasks.values()], nowMs);
      for (const [key, task] of tasks) {
        if (task.state !== "running") tasks.delete(key);
      }
    });
  }

  function recordSample(): void {
    samples++;
    const held = new Map<string, Resources[]>(
      workspaces.map((workspace) => [workspace, []]),
    );
    const wanted = new Map<string, Resources[]>(
      workspaces.map((workspace) => [workspace, []]),
    );
    for (const tasks of tasksByWorker) {
      for (const task of tasks.values()) {
        if (task.state !== "running") continue;
        held.get(task.spec.workspace)!.push(task.spec.resources);
      }
    }
    for (const [key, size] of waiting) {
      wanted.get(key.slice(0, key.indexOf("-")))!.push(size);
    }
    const shares = new Map<string, number>();
    const demands = new Map<string, number>();
    for (const workspace of workspaces) {
      const holds = sumResources(held.get(workspace)!);
      const waits = sumResources(wanted.get(workspace)!);
      shares.set(workspace, computeDominantShare(holds, total));
      const all = sumResources([holds, waits]);
      demands.set(workspace, Math.min(1, computeDominantShare(all, total)));
    }
    const fair = computeFairShares(demands, weights);
    const ratios: number[] = [];
    for (const workspace of workspaces) {
      const share = shares.get(workspace)!;
      const fairShare = fair.get(workspace) ?? 0;
      distance[workspace]! += Math.abs(share - fairShare);
      const minute = Math.floor((samples - 1) / SAMPLES_PER_MINUTE);
      const minutes = distanceByMinute[workspace]!;
      minutes[minute] = (minutes[minute] ?? 0) +
        Math.abs(share - fairShare) / SAMPLES_PER_MINUTE;
      if (fairShare > 0) ratios.push(share / fairShare);
    }
    if (ratios.length > 1) jain.push(computeJainIndex(ratios));
    if (waiting.size > 0) {
      const used = sumResources([...held.values()].flat());
      packing.push(used.processors / total.processors);
    }
  }

  tasksByWorker.forEach((_tasks, worker) => scheduler.report(worker, [], 0));
  while (clock.now() < scenario.untilMs) {
    clock.advance(STEP_MS);
    const nowMs = clock.now();
    for (
      let arrival = arrivals[nextArrival];
      arrival !== undefined && arrival.spec.submittedAt <= nowMs;
      arrival = arrivals[++nextArrival]
    ) {
      runMs.set(arrival.spec.id, arrival.runMs);
      for (let index = 0; index < arrival.spec.tasks; index++) {
        const key = getKey({ job: arrival.spec.id, index });
        waiting.set(key, arrival.spec.resources);
      }
      scheduler.addJob(arrival.spec);
    }
    runWorkers(nowMs);
    const before = performance.now();
    const { starts, stops } = scheduler.step(nowMs);
    decisionMs += performance.now() - before;
    for (const command of stops) stop(command, nowMs);
    for (const taskStart of starts) start(taskStart, nowMs);
    if (nowMs % SAMPLE_MS === 0) recordSample();
  }
  for (const workspace of workspaces) distance[workspace]! /= samples;
  // A task that never started counts as waiting until the end of the run.
  let neverStarted = 0;
  for (const key of waiting.keys()) {
    if (firstStart.has(key)) continue;
    neverStarted++;
    const job = key.slice(0, key.indexOf("#"));
    const spec = arrivals.find((arrival) => arrival.spec.id === job)!.spec;
    (spec.urgent ? urgentWaits : waits).push(
      scenario.untilMs - spec.submittedAt,
    );
  }
  const mean = (values: readonly number[]) =>
    values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
  return {
    distance,
    distanceByMinute,
    meanDistance: mean(Object.values(distance)),
    jain: mean(jain),
    waitMeanMs: mean(waits),
    waitP50Ms: computeQuantile(waits, 0.5),
    waitP90Ms: computeQuantile(waits, 0.9),
    waitP99Ms: computeQuantile(waits, 0.99),
    packing: mean(packing),
    decisionUs: 1_000 * decisionMs / Math.max(1, started),
    started,
    neverStarted,
    lostMs,
    urgentMaxMs: Math.max(0, ...urgentWaits),
    urgentP50Ms: computeQuantile(urgentWaits, 0.5),
    urgentTasks: urgentWaits.length,
  };
}
