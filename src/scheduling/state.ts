/** The state shared by the modules of the scheduler. */

import {
  addResources,
  fitsWithin,
  multiplyResources,
  NO_RESOURCES,
  type Resources,
  subtractResources,
} from "../common/mod.ts";
import { createDeadlineWheel, type DeadlineWheel } from "./deadline_wheel.ts";
import { type CapacityClasses, createCapacityClasses } from "./feasibility.ts";
import { createJobQueues, type JobQueues } from "./job_queues.ts";
import type { ResolvedSchedulerOptions } from "./options.ts";
import { createPlacer, type Placer } from "./placement.ts";
import type {
  JobRecord,
  TaskRecord,
  WorkerRecord,
  WorkspaceRecord,
} from "./records.ts";
import { getShareFunction } from "./shares.ts";
import type { SchedulerAction, TaskAttempt, WorkerObstacle } from "./types.ts";
import { createWorkerHealth } from "./worker_health.ts";

/** A scheduled check of a worker. */
export interface WorkerCheck {
  readonly worker: WorkerRecord;
  /** "silence": whether the worker still reports; "probe": whether to readmit it. */
  readonly kind: "silence" | "probe";
}

/** The shared state of one scheduler. */
export interface SchedulerState {
  readonly options: ResolvedSchedulerOptions;
  /** Maximum duration of a lease by the leader's clock, including clock drift. */
  readonly maxLeaseMs: number;
  nowMs: number;
  /** Before this time no job is reported as never runnable, as workers may not have reported yet. */
  fleetSettledAtMs: number;
  readonly jobs: Map<string, JobRecord>;
  readonly endedJobs: string[];
  readonly workers: Map<string, WorkerRecord>;
  /** The workers of the fleet as a list, for sampling. */
  readonly fleet: WorkerRecord[];
  readonly workspaces: Map<string, WorkspaceRecord>;
  readonly placer: Placer;
  readonly classes: CapacityClasses;
  readonly queues: JobQueues;
  capacity: Resources;
  committed: Resources;
  placedTasks: number;
  /** Nothing is placed, started or preempted; see `Scheduler.setPlacementSuspended`. */
  isPlacementSuspended: boolean;
  readonly ejectedWorkers: Set<WorkerRecord>;
  /** Workers out of service that are to get one probe task. */
  readonly probingWorkers: Set<WorkerRecord>;
  actions: SchedulerAction[];
  readonly leases: DeadlineWheel<AttemptRef>;
  /** Leases that may have expired and are not checked yet. */
  readonly dueLeases: AttemptRef[];
  readonly retries: DeadlineWheel<AttemptRef>;
  readonly workerChecks: DeadlineWheel<WorkerCheck>;
  /** Interventions to escalate if they have had no effect by their deadline. */
  readonly escalations: DeadlineWheel<Escalation>;
  /** Recorded assignments whose start is sent in the next step. */
  confirmed: AttemptRef[];
  /** Cancelled or failing jobs whose tasks still have to be ended. */
  readonly terminating: TerminatingJob[];
  /** Index of the first job in `terminating` that is not done. */
  nextTerminating: number;
  /** Jobs whose feasibility is not checked yet. */
  uncheckedJobs: JobRecord[];
  readonly neverRunnable: Set<JobRecord>;
  needsFeasibilityCheck: boolean;
  /** Tasks whose processors are limited to free capacity for urgent work. */
  readonly throttled: Set<TaskRecord>;
}

/** A reference to an attempt; stale if the task has a later attempt. */
export interface AttemptRef {
  readonly task: TaskRecord;
  readonly attempt: number;
}

/** The next intervention for a task if the previous one has had no effect. */
export interface Escalation extends AttemptRef {
  readonly kind: "stop" | "throttle";
}

/** A job whose tasks are being ended. */
export interface TerminatingJob {
  readonly job: JobRecord;
  /** Index of the next task to end. */
  next: number;
}

/** Creates an empty state. */
export function createState(options: ResolvedSchedulerOptions): SchedulerState {
  return {
    options,
    maxLeaseMs: options.leaseMs * (1 + options.clockRateBound),
    nowMs: 0,
    fleetSettledAtMs: -Infinity,
    jobs: new Map(),
    endedJobs: [],
    workers: new Map(),
    fleet: [],
    workspaces: new Map(),
    placer: createPlacer(options),
    classes: createCapacityClasses(),
    queues: createJobQueues(),
    capacity: NO_RESOURCES,
    committed: NO_RESOURCES,
    placedTasks: 0,
    isPlacementSuspended: false,
    ejectedWorkers: new Set(),
    probingWorkers: new Set(),
    actions: [],
    leases: createDeadlineWheel(),
    dueLeases: [],
    retries: createDeadlineWheel(),
    workerChecks: createDeadlineWheel(),
    escalations: createDeadlineWheel(),
    confirmed: [],
    terminating: [],
    nextTerminating: 0,
    uncheckedJobs: [],
    neverRunnable: new Set(),
    needsFeasibilityCheck: false,
    throttled: new Set(),
  };
}

/** Returns the workspace; an unknown one is created without an allotment. */
export function getWorkspace(
  state: SchedulerState,
  name: string,
): WorkspaceRecord {
  let workspace = state.workspaces.get(name);
  if (workspace === undefined) {
    workspace = {
      name,
      weight: 1,
      allotment: NO_RESOURCES,
      isKnown: false,
      committed: NO_RESOURCES,
      placed: new Set(),
      queuedTasks: 0,
      queuedResources: NO_RESOURCES,
      starvedSinceMs: undefined,
      nextReclaimMs: 0,
      isOverAllotment: false,
    };
    state.workspaces.set(name, workspace);
  }
  return workspace;
}

/** Returns the worker; one that has not reported yet is created without capacity. */
export function getWorker(state: SchedulerState, id: string): WorkerRecord {
  let worker = state.workers.get(id);
  if (worker === undefined) {
    const placerWorker = state.placer.addWorker({
      id,
      rack: "",
      capacity: NO_RESOURCES,
    });
    state.placer.setAccepting(placerWorker, false);
    worker = {
      id,
      placerWorker,
      tasks: new Set(),
      isKnown: false,
      isGone: false,
      isDraining: false,
      isSilent: false,
      isReserved: false,
      hasSilenceCheck: false,
      incarnation: -1,
      sequence: -1,
      lastReportMs: -Infinity,
      unseen: 0,
      health: createWorkerHealth(),
      probe: undefined,
    };
    state.workers.set(id, worker);
  }
  return worker;
}

/** Updates whether the placer may use the worker. */
export function updateAccepting(
  state: SchedulerState,
  worker: WorkerRecord,
): void {
  const accepting = isUsable(worker) && !worker.isReserved;
  if (worker.placerWorker.accepting === accepting) return;
  state.placer.setAccepting(worker.placerWorker, accepting);
}

/** Returns whether the worker can take work, ignoring its reservation. */
export function isUsable(worker: WorkerRecord): boolean {
  return findWorkerObstacle(worker) === undefined;
}

/** Returns why the worker takes no new work, ignoring its reservation. */
export function findWorkerObstacle(
  worker: WorkerRecord,
): WorkerObstacle | undefined {
  if (!worker.isKnown || worker.isGone) return "gone";
  if (worker.isDraining) return "draining";
  if (worker.isSilent) return "silent";
  return worker.health.mode === "inService" ? undefined : "outOfService";
}

/** Adds to the committed resources of the workspace and the cell. */
export function addCommitted(
  state: SchedulerState,
  workspace: WorkspaceRecord,
  amount: Resources,
): void {
  workspace.committed = addResources(workspace.committed, amount);
  state.committed = addResources(state.committed, amount);
}

/** Subtracts from the committed resources of the workspace and the cell. */
export function subtractCommitted(
  state: SchedulerState,
  workspace: WorkspaceRecord,
  amount: Resources,
): void {
  workspace.committed = subtractResources(workspace.committed, amount);
  state.committed = subtractResources(state.committed, amount);
}

/** Returns the workspace's share under the configured rule, divided by its weight. */
export function computeWeightedShare(
  state: SchedulerState,
  workspace: WorkspaceRecord,
): number {
  const computeShare = getShareFunction(state.options.shareRule);
  return computeShare(workspace.committed, state.capacity) / workspace.weight;
}

/** Returns whether tasks of the workspace may start. With a negative allotment none may, even if the workspace holds nothing. */
export function isWithinAllotment(workspace: WorkspaceRecord): boolean {
  return workspace.isKnown &&
    fitsWithin(workspace.committed, workspace.allotment);
}

/** Returns the identity of a task's current attempt, for an action. */
export function toAttempt(task: TaskRecord): TaskAttempt {
  return { job: task.job.spec.id, index: task.index, attempt: task.attempt };
}

/** Adds to the queued tasks and resources of the job's workspace; `count` may be negative. */
export function addQueuedTasks(job: JobRecord, count: number): void {
  const { workspace } = job;
  workspace.queuedTasks += count;
  workspace.queuedResources = addResources(
    workspace.queuedResources,
    multiplyResources(job.spec.resources, count),
  );
}
