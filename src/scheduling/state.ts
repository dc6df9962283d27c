/** The state that the parts of the scheduler share. */

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
import type { SchedulerAction, TaskAttempt } from "./types.ts";
import { createWorkerHealth } from "./worker_health.ts";

/** A reminder to look at a worker again. */
export interface WorkerCheck {
  readonly worker: WorkerRecord;
  readonly kind: "silence" | "probe";
}

/** The shared state. */
export interface SchedulerState {
  readonly options: ResolvedSchedulerOptions;
  /** Time for which a lease that was just renewed may still be in force, by this clock. */
  readonly maxLeaseMs: number;
  nowMs: number;
  /** No job is reported as never runnable before this time. */
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
  readonly ejectedWorkers: Set<WorkerRecord>;
  /** Workers out of service that are due for one task to prove themselves. */
  readonly probingWorkers: Set<WorkerRecord>;
  actions: SchedulerAction[];
  readonly leases: DeadlineWheel<AttemptRef>;
  /** Leases that may have ended and were not looked at yet. */
  readonly dueLeases: AttemptRef[];
  readonly retries: DeadlineWheel<AttemptRef>;
  readonly workerChecks: DeadlineWheel<WorkerCheck>;
  /** Tasks whose checkpoint is followed by a stop if it takes too long. */
  readonly escalations: DeadlineWheel<Escalation>;
  /** Recorded assignments whose start is sent in the next step. */
  confirmed: AttemptRef[];
  /** Cancelled or failing jobs whose tasks are still to be ended. */
  readonly terminating: TerminatingJob[];
  nextTerminating: number;
  /** Jobs to check for whether they can run at all. */
  uncheckedJobs: JobRecord[];
  readonly neverRunnable: Set<JobRecord>;
  needsFeasibilityCheck: boolean;
  /** Tasks with a lowered processor limit that made room for urgent work. */
  readonly throttled: Set<TaskRecord>;
}

/** An attempt of a task; it is out of date when the task has moved on to another one. */
export interface AttemptRef {
  readonly task: TaskRecord;
  readonly attempt: number;
}

/** A follow-up to an intervention that may not have worked. */
export interface Escalation extends AttemptRef {
  readonly kind: "stop" | "throttle";
}

/** A job whose tasks are being ended, and how far that has come. */
export interface TerminatingJob {
  readonly job: JobRecord;
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

/** Returns the workspace, created without an allotment when it is not known yet. */
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

/** Returns the worker, created without capacity when it has not reported yet. */
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

/** Makes the placer use the worker only while nothing speaks against it. */
export function updateAccepting(
  state: SchedulerState,
  worker: WorkerRecord,
): void {
  const accepting = worker.isKnown && !worker.isGone && !worker.isDraining &&
    !worker.isSilent && !worker.isReserved &&
    worker.health.mode === "inService";
  if (worker.placerWorker.accepting === accepting) return;
  state.placer.setAccepting(worker.placerWorker, accepting);
}

/** Tells whether a reserved worker could otherwise take work. */
export function isUsable(worker: WorkerRecord): boolean {
  return worker.isKnown && !worker.isGone && !worker.isDraining &&
    !worker.isSilent && worker.health.mode === "inService";
}

/** Adds to what a task's workspace and the cell have committed. */
export function addCommitted(
  state: SchedulerState,
  workspace: WorkspaceRecord,
  amount: Resources,
): void {
  workspace.committed = addResources(workspace.committed, amount);
  state.committed = addResources(state.committed, amount);
}

/** Subtracts from what a task's workspace and the cell have committed. */
export function subtractCommitted(
  state: SchedulerState,
  workspace: WorkspaceRecord,
  amount: Resources,
): void {
  workspace.committed = subtractResources(workspace.committed, amount);
  state.committed = subtractResources(state.committed, amount);
}

/** Returns the workspace's share by the rule in use, divided by its weight. */
export function computeWeightedShare(
  state: SchedulerState,
  workspace: WorkspaceRecord,
): number {
  const computeShare = getShareFunction(state.options.shareRule);
  return computeShare(workspace.committed, state.capacity) / workspace.weight;
}

/** Tells whether tasks of the workspace may start. With a negative allotment none may, whatever the workspace holds. */
export function isWithinAllotment(workspace: WorkspaceRecord): boolean {
  return workspace.isKnown &&
    fitsWithin(workspace.committed, workspace.allotment);
}

/** Names the attempt of a task for an action. */
export function toAttempt(task: TaskRecord): TaskAttempt {
  return { job: task.job.spec.id, index: task.index, attempt: task.attempt };
}

/** Adds to the number of queued tasks of the job's workspace. */
export function addQueuedTasks(job: JobRecord, count: number): void {
  const { workspace } = job;
  workspace.queuedTasks += count;
  workspace.queuedResources = addResources(
    workspace.queuedResources,
    multiplyResources(job.spec.resources, count),
  );
}
