/** Drives a scheduler through a list of arrivals with a manual clock and measures what the workspaces get. */

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

/** A task that a driven scheduler starts. */
export interface DrivenStart {
  readonly spec: JobSpec;
  readonly index: number;
  readonly attempt: number;
  readonly worker: number;
}

/** A running task. */
export interface DrivenTask extends DrivenStart {
  readonly startedMs: number;
  endMs: number;
  state: "running" | "finished" | "stopped" | "checkpointed";
  limit: number | undefined;
}

/** A command to a running task. */
export interface DrivenStop {
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
  readonly kind: "stop" | "checkpoint" | "throttle";
  readonly processors?: number | undefined;
}

/** What the driver needs of a scheduler. */
export interface DrivenScheduler {
  addJob(spec: JobSpec): void;
  /** Takes in the tasks of a worker, once a second. */
  report(worker: number, tasks: readonly DrivenTask[], nowMs: number): void;
  step(nowMs: number): { starts: DrivenStart[]; stops: DrivenStop[] };
  end(task: DrivenTask): void;
}

/** An arrival; the real run time may be far from the declared one. */
export interface Arrival {
  readonly spec: JobSpec;
  readonly runMs: number;
}

/** Workspaces with their weights, the fleet and the arrivals. */
export interface Scenario {
  readonly weights: Readonly<Record<string, number>>;
  readonly capacities: readonly Resources[];
  readonly arrivals: readonly Arrival[];
  readonly untilMs: number;
}

/** Figures of one run. */
export interface RunFigures {
  /** Mean distance between what a workspace held and its fair share of the cell at the time, by workspace. */
  readonly distance: Readonly<Record<string, number>>;
  /** The same, by minute of the run. */
  readonly distanceByMinute: Readonly<Record<string, readonly number[]>>;
  readonly meanDistance: number;
  /** Mean over time of Jain's index of holdings in proportion to the fair share. */
  readonly jain: number;
  readonly waitMeanMs: number;
  readonly waitP50Ms: number;
  readonly waitP90Ms: number;
  readonly waitP99Ms: number;
  /** Mean part of the processors in use while work was waiting. */
  readonly packing: number;
  /** Processor time of the decisions by started task. */
  readonly decisionUs: number;
  readonly started: number;
  readonly neverStarted: number;
  /** Task milliseconds that were stopped without a checkpoint. */
  readonly lostMs: number;
  /** Longest time from submission to start of urgent tasks. */
  readonly urgentMaxMs: number;
  readonly urgentP50Ms: number;
  readonly urgentTasks: number;
}

const STEP_MS = 50;
const SAMPLE_MS = 1_000;
const SAMPLES_PER_MINUTE = 60_000 / SAMPLE_MS;

/** Puts the library behind the driver's interface. */
export function createDrivenLibrary(
  scenario: Scenario,
  options: Omit<SchedulerOptions, "random">,
  onAction: (action: SchedulerAction) => void = () => {},
): DrivenScheduler {
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
    tasks: readonly DrivenTask[],
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
      const starts: DrivenStart[] = [];
      const stops: DrivenStop[] = [];
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

/** Divides the cell by weight among workspaces that want something; what one leaves goes to the others. */
function computeFairShares(
  wants: ReadonlyMap<string, number>,
  weights: Readonly<Record<string, number>>,
): Map<string, number> {
  const fair = new Map<string, number>();
  const open = new Map([...wants].filter(([, want]) => want > 0));
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

/** Runs the scenario; checks on the way that no worker is overcommitted. */
export function runScenario(
  scenario: Scenario,
  driven: DrivenScheduler,
): RunFigures {
  const { capacities, weights, arrivals } = scenario;
  const clock = createManualClock(0);
  const total = sumResources(capacities);
  const workspaces = Object.keys(weights);
  const onWorker = capacities.map(() => new Map<string, DrivenTask>());
  const byTask = new Map<string, DrivenTask>();
  const runMs = new Map<string, number>();
  const leftMs = new Map<string, number>();
  const firstStart = new Map<string, number>();
  const waits: number[] = [];
  const urgentWaits: number[] = [];
  const waiting = new Map<string, Resources>();
  const distance = Object.fromEntries(
    workspaces.map((workspace) => [workspace, 0]),
  );
  const byMinute = Object.fromEntries(
    workspaces.map((workspace): [string, number[]] => [workspace, []]),
  );
  const jain: number[] = [];
  const packing: number[] = [];
  let samples = 0;
  let lostMs = 0;
  let decisionMs = 0;
  let started = 0;
  let next = 0;

  const getKey = (task: { job: string; index: number }) =>
    `${task.job}#${task.index}`;

  function start(begun: DrivenStart, nowMs: number): void {
    const key = getKey({ job: begun.spec.id, index: begun.index });
    const durationMs = leftMs.get(key) ?? runMs.get(begun.spec.id)!;
    const task: DrivenTask = {
      ...begun,
      startedMs: nowMs,
      endMs: nowMs + durationMs,
      state: "running",
      limit: undefined,
    };
    onWorker[begun.worker]!.set(`${key}@${begun.attempt}`, task);
    byTask.set(key, task);
    waiting.delete(key);
    started++;
    if (!firstStart.has(key)) {
      firstStart.set(key, nowMs);
      const waitMs = nowMs - begun.spec.submittedAt;
      (begun.spec.urgent ? urgentWaits : waits).push(waitMs);
    }
    checkWorker(begun.worker);
  }

  function checkWorker(worker: number): void {
    const held = [...onWorker[worker]!.values()].filter((task) =>
      task.state === "running"
    ).map((task) => ({
      ...task.spec.resources,
      processors: Math.min(
        task.spec.resources.processors,
        task.limit ?? Infinity,
      ),
    }));
    if (fitsWithin(sumResources(held), capacities[worker]!)) return;
    throw new Error(`Worker ${worker} runs more than its capacity`);
  }

  function finish(task: DrivenTask, state: DrivenTask["state"]): void {
    if (task.state !== "running") return;
    task.state = state;
    driven.end(task);
  }

  function stop(command: DrivenStop, nowMs: number): void {
    const key = getKey(command);
    const task = byTask.get(key);
    if (task?.attempt !== command.attempt || task.state !== "running") return;
    if (command.kind === "throttle") {
      task.limit = command.processors;
      return;
    }
    // A payload that ends in "stubborn" ignores checkpoints.
    const isIgnored = command.kind === "checkpoint" &&
      task.spec.payload === "stubborn";
    if (isIgnored) return;
    if (command.kind === "checkpoint") leftMs.set(key, task.endMs - nowMs);
    else lostMs += nowMs - task.startedMs;
    waiting.set(key, task.spec.resources);
    finish(task, command.kind === "stop" ? "stopped" : "checkpointed");
  }

  function runWorkers(nowMs: number): void {
    onWorker.forEach((tasks, worker) => {
      let hasEnded = false;
      for (const task of tasks.values()) {
        if (task.state === "running" && nowMs >= task.endMs) {
          finish(task, "finished");
          hasEnded = true;
        }
      }
      const isDue = nowMs % 1_000 === (worker * STEP_MS) % 1_000;
      if (!isDue && !hasEnded) return;
      driven.report(worker, [...tasks.values()], nowMs);
      for (const [key, task] of tasks) {
        if (task.state !== "running") tasks.delete(key);
      }
    });
  }

  function sample(): void {
    samples++;
    const held = new Map<string, Resources[]>(
      workspaces.map((workspace) => [workspace, []]),
    );
    const wanted = new Map<string, Resources[]>(
      workspaces.map((workspace) => [workspace, []]),
    );
    for (const tasks of onWorker) {
      for (const task of tasks.values()) {
        if (task.state !== "running") continue;
        held.get(task.spec.workspace)!.push(task.spec.resources);
      }
    }
    for (const [key, size] of waiting) {
      wanted.get(key.slice(0, key.indexOf("-")))!.push(size);
    }
    const shares = new Map<string, number>();
    const wants = new Map<string, number>();
    for (const workspace of workspaces) {
      const holds = sumResources(held.get(workspace)!);
      const waits = sumResources(wanted.get(workspace)!);
      shares.set(workspace, computeDominantShare(holds, total));
      const all = sumResources([holds, waits]);
      wants.set(workspace, Math.min(1, computeDominantShare(all, total)));
    }
    const fair = computeFairShares(wants, weights);
    const ratios: number[] = [];
    for (const workspace of workspaces) {
      const share = shares.get(workspace)!;
      const goal = fair.get(workspace) ?? 0;
      distance[workspace]! += Math.abs(share - goal);
      const minute = Math.floor((samples - 1) / SAMPLES_PER_MINUTE);
      const minutes = byMinute[workspace]!;
      minutes[minute] = (minutes[minute] ?? 0) +
        Math.abs(share - goal) / SAMPLES_PER_MINUTE;
      if (goal > 0) ratios.push(share / goal);
    }
    if (ratios.length > 1) jain.push(computeJainIndex(ratios));
    if (waiting.size > 0) {
      const used = sumResources([...held.values()].flat());
      packing.push(used.processors / total.processors);
    }
  }

  onWorker.forEach((_tasks, worker) => driven.report(worker, [], 0));
  while (clock.now() < scenario.untilMs) {
    clock.advance(STEP_MS);
    const nowMs = clock.now();
    for (
      let arrival = arrivals[next];
      arrival !== undefined && arrival.spec.submittedAt <= nowMs;
      arrival = arrivals[++next]
    ) {
      runMs.set(arrival.spec.id, arrival.runMs);
      for (let index = 0; index < arrival.spec.tasks; index++) {
        const key = getKey({ job: arrival.spec.id, index });
        waiting.set(key, arrival.spec.resources);
      }
      driven.addJob(arrival.spec);
    }
    runWorkers(nowMs);
    const before = performance.now();
    const { starts, stops } = driven.step(nowMs);
    decisionMs += performance.now() - before;
    for (const command of stops) stop(command, nowMs);
    for (const begun of starts) start(begun, nowMs);
    if (nowMs % SAMPLE_MS === 0) sample();
  }
  for (const workspace of workspaces) distance[workspace]! /= samples;
  // Work that never started has waited until the end of the run.
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
    distanceByMinute: byMinute,
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
