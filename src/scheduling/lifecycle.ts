/**
 * The life of a task: from waiting over an assignment that is recorded, started
 * and renewed, to the end of the attempt, and from there back to waiting or to
 * the end for good.
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
// A gang task whose peers have ended may be unable to reach a checkpoint.
const GANG_GRACE_MS = 5_000;

/** Tells whether the task has ended for good. */
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

/** Adds to the number of tasks of a job in a rack. */
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

/** Adds the task to what its worker, job, workspace and the cell hold; the placer has its resources already. */
export function addHeld(
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

/** Assigns a task whose resources the placer has committed, and asks for the record. */
export function assignTask(
  state: SchedulerState,
  task: TaskRecord,
  worker: WorkerRecord,
): void {
  addHeld(state, task, worker);
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

function releaseHeld(state: SchedulerState, task: TaskRecord): void {
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
  // The probe ended without a verdict, such as by a cancellation.
  worker.health.mode = "probing";
  state.probingWorkers.add(worker);
}

/** Ends a job all of whose tasks have ended. */
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

/** Ends a task for good. The task holds no resources any more. */
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
  // The end of a gang task may leave only tasks that wait.
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

/** Ends the current attempt of a task and releases what it held. */
export function endAttempt(
  state: SchedulerState,
  task: TaskRecord,
  outcome: AttemptOutcome,
  exitCode?: number,
): void {
  const { job, worker, stage } = task;
  // The end of a gang task ends its peers, which a loop of the caller may still hold.
  if (worker === undefined) return;
  releaseHeld(state, task);
  if (outcome === "failed") task.failures++;
  if (outcome === "checkpointed") task.hasCheckpoint = true;
  task.intervention = undefined;
  const result = computeResult(task, outcome);
  // An assignment that was never recorded has no end to record, unless the task ends with it.
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

/** Stops what is left of a gang that has lost a task, so that it starts again as a whole. */
function stopGang(state: SchedulerState, job: JobRecord): void {
  if (job.placed === 0) return;
  for (const task of job.tasks) {
    if (task.worker === undefined) continue;
    if (task.stage === "confirmed") endAttempt(state, task, "stopped");
    else sendGracefulStop(state, task, "gang", GANG_GRACE_MS);
  }
}

/** Sends the stop command, or ends the attempt at once when it has not started. */
export function sendStop(
  state: SchedulerState,
  task: TaskRecord,
  reason: InterventionReason,
): void {
  if (task.worker === undefined || task.intervention?.kind === "stop") return;
  if (task.stage === "confirmed") return endAttempt(state, task, "stopped");
  const { nowMs } = state;
  task.intervention = { kind: "stop", reason, sinceMs: nowMs, sentMs: nowMs };
  // A proposed assignment is refused when its record is confirmed.
  if (task.stage === "proposed") return;
  state.actions.push({
    type: "stop",
    ...toAttempt(task),
    worker: task.worker.id,
    reason,
  });
}

/** Asks for a checkpoint, followed by a stop after `graceMs`. Services are stopped at once, as they keep no progress. */
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

/** Asks the worker to limit the processors of a task; `undefined` ends throttling. */
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
