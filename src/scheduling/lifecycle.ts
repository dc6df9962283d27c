/**
 * The life cycle of a task: it waits, is assigned, recorded and started, and its
 * lease is renewed until the attempt ends. Then the task waits again or reaches
 * a final state.
 */

import type { JobRecord, TaskRecord, WorkerRecord } from "./records.ts";
import {
  addCommitted,
  addQueuedTasks,
  type SchedulerState,
  subtractCommitted,
  toAttempt,
} from "./state.ts";
import type { EndTaskAction, InterventionReason, JobState } from "./types.ts";

/** How an attempt ended. */
export type AttemptOutcome = EndTaskAction["outcome"];

const FIRST_RETRY_MS = 1_000;
const MAX_RETRY_MS = 60_000;
// Stops a gang task that cannot reach a checkpoint because its peers have ended.
const GANG_GRACE_MS = 5_000;

/** Returns whether the task is in a final state. */
export function hasEnded(task: TaskRecord): boolean {
  const { state } = task;
  return state === "finished" || state === "failed" || state === "cancelled";
}

/** Makes a task available for placement. */
export function addWaiting(state: SchedulerState, task: TaskRecord): void {
  const { job } = task;
  if (job.waiting.length === 0) job.waitingSinceMs = state.nowMs;
  job.waiting.push(task);
  state.queues.add(job);
}

/** Adds `change` to the number of tasks of a job in a rack. */
export function addRackCount(
  job: JobRecord,
  rack: string,
  change: number,
): void {
  if (job.tasksInRack === undefined) return;
  const count = (job.tasksInRack.get(rack) ?? 0) + change;
  if (count > 0) job.tasksInRack.set(rack, count);
  else job.tasksInRack.delete(rack);
}

/** Adds the task to its worker, job and workspace and to the cell totals. The placer already counts its resources. */
export function acquireResources(
  state: SchedulerState,
  task: TaskRecord,
  worker: WorkerRecord,
): void {
  const { job } = task;
  const { rack } = worker.placerWorker;
  task.worker = worker;
  task.held = job.size;
  worker.tasks.add(task);
  job.placed++;
  addRackCount(job, rack, 1);
  job.workspace.placed.add(task);
  addQueuedTasks(job, -1);
  state.placedTasks++;
  addCommitted(state, job.workspace, task.held);
}

/** Assigns a task whose resources the placer has committed, and adds the action that records it. */
export function assignTask(
  state: SchedulerState,
  task: TaskRecord,
  worker: WorkerRecord,
): void {
  acquireResources(state, task, worker);
  task.state = "assigned";
  task.attempt++;
  task.stage = "proposed";
  task.isRestored = false;
  task.startsSent = 0;
  task.isProven = false;
  task.intervention = undefined;
  task.processorLimit = undefined;
  task.usage = undefined;
  task.job.blockedSinceMs = undefined;
  if (worker.health.mode === "probing") {
    worker.health.mode = "probeRunning";
    worker.probe = task;
    state.probingWorkers.delete(worker);
  }
  state.actions.push({
    type: "assign",
    ...toAttempt(task),
    worker: worker.id,
  });
}

function releaseResources(state: SchedulerState, task: TaskRecord): void {
  const { job } = task;
  const worker = task.worker!;
  const { rack } = worker.placerWorker;
  if (task.stage === "confirmed") job.confirmed--;
  if (task.stage === "started") worker.unseen--;
  task.worker = undefined;
  worker.tasks.delete(task);
  job.placed--;
  addRackCount(job, rack, -1);
  job.workspace.placed.delete(task);
  addQueuedTasks(job, 1);
  state.placedTasks--;
  state.placer.release(worker.placerWorker, task.held);
  subtractCommitted(state, job.workspace, task.held);
  state.throttled.delete(task);
  if (worker.probe === task) removeProbe(state, worker);
  const isUsed = worker.isKnown && !worker.isGone;
  if (isUsed || worker.tasks.size > 0) return;
  state.placer.removeWorker(worker.placerWorker);
  if (state.workers.get(worker.id) === worker) state.workers.delete(worker.id);
}

function removeProbe(state: SchedulerState, worker: WorkerRecord): void {
  worker.probe = undefined;
  if (worker.health.mode !== "probeRunning") return;
  // The probe ended without a result, such as by a cancellation.
  worker.health.mode = "probing";
  state.probingWorkers.add(worker);
}

/** Ends a job whose tasks have all ended. */
function endJob(state: SchedulerState, job: JobRecord): void {
  job.hasEnded = true;
  const result = computeJobState(job) as "finished" | "failed" | "cancelled";
  state.neverRunnable.delete(job);
  state.actions.push({ type: "endJob", job: job.spec.id, state: result });
  state.endedJobs.push(job.spec.id);
  if (state.endedJobs.length < 2 * state.options.maxEndedJobs + 1_000) return;
  const surplus = state.endedJobs.length - state.options.maxEndedJobs;
  for (const id of state.endedJobs.splice(0, surplus)) state.jobs.delete(id);
}

/** Returns the state of a job. */
export function computeJobState(job: JobRecord): JobState {
  if (job.ended === job.tasks.length) {
    if (job.tasks.some((task) => task.state === "failed")) return "failed";
    const isCancelled = job.tasks.some((task) => task.state === "cancelled");
    return isCancelled ? "cancelled" : "finished";
  }
  if (job.isCancelled) return "cancelling";
  return job.placed > 0 || job.ended > 0 ? "running" : "queued";
}

/** Moves a task that holds no resources to a final state. */
export function endTask(
  state: SchedulerState,
  task: TaskRecord,
  result: "finished" | "failed" | "cancelled",
): void {
  const { job } = task;
  task.state = result;
  task.usage = undefined;
  job.ended++;
  addQueuedTasks(job, -1);
  const isGangFailure = result === "failed" && job.spec.policy === "gang";
  if (isGangFailure && !job.isFailing && job.ended < job.tasks.length) {
    job.isFailing = true;
    state.terminating.push({ job, next: 0 });
  }
  if (job.ended === job.tasks.length) endJob(state, job);
  // After this end, all remaining tasks of a gang may be waiting, so it can be placed again.
  else state.queues.add(job);
}

function computeResult(
  task: TaskRecord,
  outcome: AttemptOutcome,
): "finished" | "failed" | "cancelled" | undefined {
  const { job } = task;
  if (outcome === "finished") return "finished";
  const isLastFailure = outcome === "failed" &&
    task.failures >= job.spec.maxAttempts;
  if (isLastFailure) return "failed";
  return job.isCancelled || job.isFailing ? "cancelled" : undefined;
}

function computeRetryMs(task: TaskRecord): number {
  return Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** (task.failures - 1));
}

/** Ends the current attempt of a task and releases its resources. */
export function endAttempt(
  state: SchedulerState,
  task: TaskRecord,
  outcome: AttemptOutcome,
  exitCode?: number,
): void {
  const { job, worker, stage } = task;
  // Ending a gang task also ends its peers, so a loop of the caller may pass an ended one.
  if (worker === undefined) return;
  releaseResources(state, task);
  if (outcome === "failed") task.failures++;
  if (outcome === "checkpointed") task.hasCheckpoint = true;
  task.intervention = undefined;
  const result = computeResult(task, outcome);
  // The end of an unrecorded assignment is recorded only if the task reaches a final state.
  if (stage !== "proposed" || result !== undefined) {
    state.actions.push({
      type: "endTask",
      ...toAttempt(task),
      outcome: result === "cancelled" ? "cancelled" : outcome,
      final: result !== undefined,
      failures: task.failures,
      worker: worker.id,
      ...(exitCode === undefined ? {} : { exitCode }),
    });
  }
  if (result !== undefined) endTask(state, task, result);
  else addToQueue(state, task, outcome);
  const isGangBroken = job.spec.policy === "gang" && outcome !== "finished";
  if (isGangBroken) stopGang(state, job);
}

function addToQueue(
  state: SchedulerState,
  task: TaskRecord,
  outcome: AttemptOutcome,
): void {
  task.state = task.hasCheckpoint ? "checkpointed" : "queued";
  if (outcome !== "failed") return addWaiting(state, task);
  const { attempt } = task;
  state.retries.add(state.nowMs + computeRetryMs(task), { task, attempt });
}

/** Stops the remaining tasks of a gang that has lost one, so that the whole gang restarts. */
function stopGang(state: SchedulerState, job: JobRecord): void {
  if (job.placed === 0) return;
  for (const task of job.tasks) {
    if (task.worker === undefined) continue;
    if (task.stage === "confirmed") endAttempt(state, task, "stopped");
    else sendGracefulStop(state, task, "gang", GANG_GRACE_MS);
  }
}

/** Sends the stop command, or ends the attempt at once if it is recorded but not started. */
export function sendStop(
  state: SchedulerState,
  task: TaskRecord,
  reason: InterventionReason,
): void {
  if (task.worker === undefined || task.intervention?.kind === "stop") return;
  if (task.stage === "confirmed") return endAttempt(state, task, "stopped");
  const { nowMs } = state;
  task.intervention = { kind: "stop", reason, sinceMs: nowMs, sentMs: nowMs };
  // A proposed assignment is refused at its confirmation.
  if (task.stage === "proposed") return;
  state.actions.push({
    type: "stop",
    ...toAttempt(task),
    worker: task.worker.id,
    reason,
  });
}

/** Requests a checkpoint, followed by a stop after `graceMs`. Services are stopped at once, as they save no progress. */
export function sendGracefulStop(
  state: SchedulerState,
  task: TaskRecord,
  reason: InterventionReason,
  graceMs: number,
): void {
  const { worker, stage, attempt } = task;
  if (worker === undefined) return;
  const isStarted = stage === "started" || stage === "seen";
  if (!isStarted || task.job.spec.policy === "service") {
    return sendStop(state, task, reason);
  }
  const kind = task.intervention?.kind;
  if (kind === "stop") return;
  state.escalations.add(state.nowMs + graceMs, { task, attempt, kind: "stop" });
  if (kind === "checkpoint") return;
  const { nowMs } = state;
  task.intervention = {
    kind: "checkpoint",
    reason,
    sinceMs: nowMs,
    sentMs: nowMs,
  };
  state.actions.push({
    type: "checkpoint",
    ...toAttempt(task),
    worker: worker.id,
    reason,
  });
}

/** Requests a processor limit for a task, in thousandths of a core; `undefined` ends throttling. */
export function sendThrottle(
  state: SchedulerState,
  task: TaskRecord,
  processors: number | undefined,
  reason: InterventionReason,
): void {
  const isStarted = task.stage === "started" || task.stage === "seen";
  if (task.worker === undefined || !isStarted) return;
  task.processorLimit = processors;
  state.actions.push({
    type: "throttle",
    ...toAttempt(task),
    worker: task.worker.id,
    ...(processors === undefined ? {} : { processors }),
    reason,
  });
}
