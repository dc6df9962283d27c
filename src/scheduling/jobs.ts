/** Adds, cancels, ends and restores jobs, and reports jobs that can never run. */

import { createFault, RESOURCE_NAMES } from "../common/mod.ts";
import { findNeverRunnableReasons } from "./feasibility.ts";
import {
  acquireResources,
  addWaiting,
  endAttempt,
  endTask,
  hasEnded,
  sendGracefulStop,
  sendStop,
} from "./lifecycle.ts";
import type { JobRecord, TaskRecord } from "./records.ts";
import {
  addQueuedTasks,
  getWorker,
  getWorkspace,
  type SchedulerState,
  toAttempt,
} from "./state.ts";
import type {
  JobSpec,
  NeverRunnableReason,
  RestoredAssignment,
  RestoredJob,
  RestoredTask,
} from "./types.ts";

const RESTORED_GANG_GRACE_MS = 5_000;

function checkInteger(
  spec: JobSpec,
  field: string,
  value: number,
  least: number,
): void {
  if (Number.isSafeInteger(value) && value >= least) return;
  throw createFault(
    "badRequest",
    `Cannot add job "${spec.id}": "${field}": ${value} is not an integer of at least ${least}`,
  );
}

function checkTime(spec: JobSpec, field: string, value: number): void {
  if (Number.isFinite(value) && value >= 0) return;
  throw createFault(
    "badRequest",
    `Cannot add job "${spec.id}": "${field}": ${value} is not a non-negative number`,
  );
}

/** Throws a `badRequest` fault if a number of the spec is out of range. */
function checkSpec(spec: JobSpec): void {
  checkInteger(spec, "tasks", spec.tasks, 1);
  checkInteger(spec, "maxAttempts", spec.maxAttempts, 1);
  // A NaN time would break the order of the queues.
  checkTime(spec, "submittedAt", spec.submittedAt);
  checkTime(spec, "expectedMs", spec.expectedMs ?? 0);
  for (const name of RESOURCE_NAMES) {
    checkInteger(spec, `resources.${name}`, spec.resources[name], 0);
  }
  if (RESOURCE_NAMES.some((name) => spec.resources[name] > 0)) return;
  throw createFault(
    "badRequest",
    `Cannot add job "${spec.id}": "resources": no amount is above 0`,
  );
}

function buildTask(job: JobRecord, index: number): TaskRecord {
  return {
    job,
    index,
    state: "queued",
    attempt: 0,
    failures: 0,
    worker: undefined,
    held: job.size,
    stage: "proposed",
    isRestored: false,
    holdUntilMs: 0,
    sentMs: 0,
    startsSent: 0,
    startedMs: 0,
    isProven: false,
    hasCheckpoint: false,
    intervention: undefined,
    processorLimit: undefined,
    usage: undefined,
    avoid: undefined,
  };
}

function buildJob(state: SchedulerState, spec: JobSpec): JobRecord {
  const job: JobRecord = {
    spec,
    workspace: getWorkspace(state, spec.workspace),
    tasks: [],
    size: spec.resources,
    waiting: [],
    placed: 0,
    ended: 0,
    isCancelled: false,
    isFailing: false,
    hasEnded: false,
    neverRunnable: undefined,
    queue: undefined,
    waitingSinceMs: spec.submittedAt,
    blockedSinceMs: undefined,
    nextTryMs: 0,
    confirmed: 0,
    plans: 0,
    tasksInRack: spec.policy === "service" ? new Map() : undefined,
    health: { hasSucceeded: false, failedWorkers: undefined },
  };
  for (let index = 0; index < spec.tasks; index++) {
    job.tasks.push(buildTask(job, index));
  }
  addQueuedTasks(job, spec.tasks);
  state.jobs.set(spec.id, job);
  return job;
}

/** Adds a job; a known identifier is ignored. */
export function addJob(state: SchedulerState, spec: JobSpec): void {
  checkSpec(spec);
  if (state.jobs.has(spec.id)) return;
  const job = buildJob(state, spec);
  // Tasks are taken from the end, so the first task goes last.
  for (let index = spec.tasks - 1; index >= 0; index--) {
    job.waiting.push(job.tasks[index]!);
  }
  state.queues.add(job);
  state.uncheckedJobs.push(job);
}

/** Cancels a job; its tasks are ended in the following steps. */
export function cancelJob(state: SchedulerState, id: string): boolean {
  const job = state.jobs.get(id);
  if (job === undefined || job.hasEnded) return false;
  if (job.isCancelled) return true;
  job.isCancelled = true;
  state.neverRunnable.delete(job);
  state.terminating.push({ job, next: 0 });
  return true;
}

function endOrStopTask(state: SchedulerState, task: TaskRecord): void {
  if (hasEnded(task)) return;
  if (task.worker === undefined) {
    state.actions.push({
      type: "endTask",
      ...toAttempt(task),
      outcome: "cancelled",
      final: true,
      failures: task.failures,
    });
    endTask(state, task, "cancelled");
  } else if (task.stage === "confirmed") {
    endAttempt(state, task, "cancelled");
  } else {
    sendStop(state, task, "cancelled");
  }
}

/** Ends tasks of cancelled and failing jobs, limited per step so that mass cancellations do not delay placement. */
export function endTerminatingJobs(state: SchedulerState): void {
  let left = state.options.maxCancellationsPerStep;
  while (left > 0 && state.nextTerminating < state.terminating.length) {
    const terminating = state.terminating[state.nextTerminating]!;
    const { job } = terminating;
    while (left > 0 && terminating.next < job.tasks.length) {
      endOrStopTask(state, job.tasks[terminating.next++]!);
      left--;
    }
    if (terminating.next >= job.tasks.length) {
      state.nextTerminating++;
      job.waiting.length = 0;
    }
  }
  if (state.nextTerminating < state.terminating.length) return;
  state.terminating.length = 0;
  state.nextTerminating = 0;
}

function findReasons(
  state: SchedulerState,
  job: JobRecord,
): NeverRunnableReason[] {
  const { workspace, spec } = job;
  return findNeverRunnableReasons({
    resources: job.size,
    tasksAtOnce: spec.policy === "gang" ? spec.tasks - job.ended : 1,
    allotment: workspace.isKnown ? workspace.allotment : undefined,
  }, state.classes.list());
}

function updateNeverRunnable(
  state: SchedulerState,
  job: JobRecord,
  reasons: readonly NeverRunnableReason[],
): void {
  if (reasons.length === 0) {
    if (job.neverRunnable === undefined) return;
    job.neverRunnable = undefined;
    state.neverRunnable.delete(job);
    state.queues.add(job);
    return;
  }
  job.neverRunnable = reasons;
  state.neverRunnable.add(job);
  state.actions.push({ type: "neverRunnable", job: job.spec.id, reasons });
}

function hasWaitingTasks(job: JobRecord): boolean {
  return !job.hasEnded && !job.isCancelled && !job.isFailing &&
    job.waiting.length > 0;
}

/** Checks one job per queue, as all jobs of a queue have the same requirements. */
function checkQueues(state: SchedulerState): void {
  for (const queue of state.queues.list()) {
    const first = state.queues.getFirst(queue);
    if (first === undefined) continue;
    const reasons = findReasons(state, first);
    if (reasons.length === 0) continue;
    for (const job of [...queue.jobs.list()]) {
      if (job.queue === queue && hasWaitingTasks(job)) {
        updateNeverRunnable(state, job, reasons);
      }
    }
  }
}

/** Reports jobs that can never run: new jobs at once, and all jobs again when the fleet or an allotment changes. */
export function checkFeasibility(state: SchedulerState): void {
  if (state.nowMs < state.fleetSettledAtMs) return;
  const uncheckedJobs = state.uncheckedJobs;
  state.uncheckedJobs = [];
  if (state.needsFeasibilityCheck) {
    state.needsFeasibilityCheck = false;
    for (const job of [...state.neverRunnable]) {
      if (hasWaitingTasks(job)) {
        updateNeverRunnable(state, job, findReasons(state, job));
      }
    }
    checkQueues(state);
  }
  for (const job of uncheckedJobs) {
    if (!hasWaitingTasks(job) || job.neverRunnable !== undefined) continue;
    const reasons = findReasons(state, job);
    if (reasons.length > 0) updateNeverRunnable(state, job, reasons);
  }
}

function restoreTask(
  task: TaskRecord,
  recorded: RestoredTask | undefined,
): void {
  const { job } = task;
  if (recorded === undefined) return;
  task.attempt = recorded.attempt;
  task.failures = recorded.failures;
  if (recorded.state === undefined) return;
  task.state = recorded.state;
  if (recorded.state === "checkpointed") {
    task.hasCheckpoint = true;
    return;
  }
  job.ended++;
  addQueuedTasks(job, -1);
}

function restoreAssignment(
  state: SchedulerState,
  assignment: RestoredAssignment,
): void {
  const task = state.jobs.get(assignment.job)?.tasks[assignment.index];
  if (task === undefined || hasEnded(task)) return;
  // A duplicate record would commit the resources twice and release them once.
  if (task.worker !== undefined) return;
  const worker = getWorker(state, assignment.worker);
  const { attempt } = assignment;
  state.placer.record(worker.placerWorker, task.job.size);
  acquireResources(state, task, worker);
  task.state = "assigned";
  task.attempt = attempt;
  task.stage = "started";
  task.isRestored = true;
  task.startedMs = state.nowMs;
  task.holdUntilMs = state.nowMs + state.maxLeaseMs;
  worker.unseen++;
  state.leases.add(task.holdUntilMs, { task, attempt });
}

function restoreWaiting(state: SchedulerState, job: JobRecord): void {
  for (let index = job.tasks.length - 1; index >= 0; index--) {
    const task = job.tasks[index]!;
    const isFree = task.worker === undefined && !hasEnded(task);
    if (isFree) addWaiting(state, task);
  }
  // A gang starts only after all its assignments are recorded, so a partial gang never started.
  const isPartial = job.spec.policy === "gang" && job.placed > 0 &&
    job.placed + job.ended < job.tasks.length;
  if (!isPartial) return;
  for (const task of job.tasks) {
    sendGracefulStop(state, task, "gang", RESTORED_GANG_GRACE_MS);
  }
}

/** Restores recorded jobs. Recorded assignments count as running until their leases have expired. */
export function restoreJobs(
  state: SchedulerState,
  jobs: readonly RestoredJob[],
  assignments: readonly RestoredAssignment[],
): void {
  state.fleetSettledAtMs = state.nowMs + state.options.fleetSettleMs;
  state.needsFeasibilityCheck = true;
  const restored: JobRecord[] = [];
  for (const { spec, tasks, cancelled } of jobs) {
    if (state.jobs.has(spec.id)) continue;
    const job = buildJob(state, spec);
    for (const recorded of tasks) {
      const task = job.tasks[recorded.index];
      if (task !== undefined) restoreTask(task, recorded);
    }
    job.isCancelled = cancelled === true;
    restored.push(job);
  }
  for (const assignment of assignments) restoreAssignment(state, assignment);
  for (const job of restored) restoreJob(state, job);
}

function restoreJob(state: SchedulerState, job: JobRecord): void {
  if (job.ended === job.tasks.length) {
    job.hasEnded = true;
    state.endedJobs.push(job.spec.id);
    return;
  }
  const isFailing = job.spec.policy === "gang" &&
    job.tasks.some((task) => task.state === "failed");
  job.isFailing = isFailing;
  if (job.isCancelled || isFailing) {
    state.terminating.push({ job, next: 0 });
    return;
  }
  restoreWaiting(state, job);
  state.uncheckedJobs.push(job);
}
