/** Processing of worker reports: leases, ends of attempts, usage and active limits. */

import { NO_RESOURCES, type Resources } from "../common/mod.ts";
import { endAttempt, sendGracefulStop, sendThrottle } from "./lifecycle.ts";
import type { TaskRecord, WorkerRecord } from "./records.ts";
import {
  addCommitted,
  isWithinAllotment,
  type SchedulerState,
  subtractCommitted,
  toAttempt,
} from "./state.ts";
import type {
  TaskAttempt,
  WorkerReport,
  WorkerReportReply,
  WorkerTaskReport,
} from "./types.ts";
import { estimateMemory, estimateProcessors, updateUsage } from "./usage.ts";
import { QUICK_FAILURE_MS } from "./worker_health.ts";
import {
  recordTaskFailure,
  recordTaskSuccess,
  updateWorker,
} from "./workers.ts";

// One report interval: a command without a reported effect by then may have been lost.
const RESEND_AFTER_MS = 1_000;
// After this many starts without effect, the attempt is lost when its lease expires.
const MAX_STARTS_SENT = 3;
const OVERRUN_GRACE_MS = 5_000;

function isStale(
  worker: WorkerRecord | undefined,
  report: WorkerReport,
): boolean {
  if (worker === undefined) return false;
  if (report.incarnation !== worker.incarnation) {
    return report.incarnation < worker.incarnation;
  }
  return report.sequence <= worker.sequence;
}

function findReportedTask(
  state: SchedulerState,
  worker: WorkerRecord,
  taskReport: WorkerTaskReport,
): TaskRecord | undefined {
  const task = state.jobs.get(taskReport.job)?.tasks[taskReport.index];
  const isCurrent = task?.worker === worker &&
    task.attempt === taskReport.attempt;
  const isStarted = task?.stage === "started" || task?.stage === "seen";
  return isCurrent && isStarted ? task : undefined;
}

function setHeldProcessors(
  state: SchedulerState,
  task: TaskRecord,
  processors: number,
): void {
  const { placerWorker } = task.worker!;
  const held = { ...task.held, processors };
  state.placer.release(placerWorker, task.held);
  subtractCommitted(state, task.job.workspace, task.held);
  state.placer.record(placerWorker, held);
  addCommitted(state, task.job.workspace, held);
  task.held = held;
}

/** Releases processors once the worker reports the lower limit, and resends a limit that is not active. */
function receiveLimit(
  state: SchedulerState,
  task: TaskRecord,
  taskReport: WorkerTaskReport,
): void {
  const { processorLimit } = taskReport;
  // After a leader change, the worker's report is the only record of the limit.
  const isRecoveredLimit = task.isRestored && processorLimit !== undefined &&
    processorLimit < task.held.processors;
  if (isRecoveredLimit) {
    task.processorLimit = processorLimit;
    state.throttled.add(task);
  }
  const wanted = task.processorLimit;
  if (wanted === undefined) {
    if (processorLimit === undefined) return;
    // The command that ended throttling was lost; the full amount is already committed.
    sendThrottle(state, task, undefined, "urgentWork");
    return;
  }
  if (processorLimit === undefined || processorLimit > wanted) {
    sendThrottle(state, task, wanted, "urgentWork");
    return;
  }
  if (processorLimit < task.held.processors) {
    setHeldProcessors(state, task, processorLimit);
  }
}

function sendInterventionAgain(state: SchedulerState, task: TaskRecord): void {
  const { intervention, worker } = task;
  if (intervention === undefined || worker === undefined) return;
  if (intervention.kind === "throttle") return;
  if (state.nowMs - intervention.sentMs < RESEND_AFTER_MS) return;
  intervention.sentMs = state.nowMs;
  state.actions.push({
    type: intervention.kind,
    ...toAttempt(task),
    worker: worker.id,
    reason: intervention.reason,
  });
}

function receiveActiveTask(
  state: SchedulerState,
  task: TaskRecord,
  taskReport: WorkerTaskReport,
): void {
  const { nowMs } = state;
  const worker = task.worker!;
  if (task.stage === "started") worker.unseen--;
  task.stage = "seen";
  task.holdUntilMs = nowMs + state.maxLeaseMs;
  if (taskReport.state === "running" && task.state !== "running") {
    if (task.state === "assigned") task.startedMs = nowMs;
    task.state = "running";
  } else if (task.state === "lost") {
    task.state = "assigned";
  }
  receiveLimit(state, task, taskReport);
  task.isRestored = false;
  sendInterventionAgain(state, task);
  if (taskReport.usage !== undefined) {
    task.usage = updateUsage(task.usage, taskReport.usage, nowMs);
  }
  const isFirstSuccess = !task.isProven && task.state === "running" &&
    nowMs - task.startedMs >= QUICK_FAILURE_MS;
  if (!isFirstSuccess) return;
  // Counted once per attempt: long-running tasks must not hide that every new start fails.
  task.isProven = true;
  recordTaskSuccess(state, task, worker);
}

function receiveEnd(
  state: SchedulerState,
  task: TaskRecord,
  taskReport: WorkerTaskReport,
): void {
  const worker = task.worker!;
  const { state: reported, exitCode } = taskReport;
  if (reported === "finished") recordTaskSuccess(state, task, worker);
  const isQuick = task.state !== "running" ||
    state.nowMs - task.startedMs < QUICK_FAILURE_MS;
  if (reported === "failed") {
    task.avoid = worker.id;
    if (isQuick) recordTaskFailure(state, task, worker);
    // The count of a service that ran long enough is reset, so that it keeps being restarted.
    else if (task.job.spec.policy === "service") task.failures = 0;
  }
  endAttempt(state, task, reported as "finished", exitCode);
}

function receiveTask(
  state: SchedulerState,
  worker: WorkerRecord,
  taskReport: WorkerTaskReport,
): TaskAttempt | undefined {
  const task = findReportedTask(state, worker, taskReport);
  if (task === undefined) {
    const { job, index, attempt } = taskReport;
    state.actions.push({
      type: "stop",
      job,
      index,
      attempt,
      worker: worker.id,
      reason: "unknown",
    });
    return undefined;
  }
  if (taskReport.state !== "running" && taskReport.state !== "starting") {
    receiveEnd(state, task, taskReport);
    return undefined;
  }
  receiveActiveTask(state, task, taskReport);
  // A task being stopped gets no new lease, so that it ends even if the command is lost.
  return task.intervention?.kind === "stop" ? undefined : toAttempt(task);
}

/** Sends the start command of a recorded assignment; on the worker the lease starts at its last report. */
export function sendStart(state: SchedulerState, task: TaskRecord): void {
  const worker = task.worker!;
  const { attempt } = task;
  if (task.stage === "confirmed") {
    task.job.confirmed--;
    task.stage = "started";
    worker.unseen++;
    state.leases.add(state.nowMs + state.maxLeaseMs, { task, attempt });
  }
  task.startsSent++;
  task.sentMs = state.nowMs;
  task.holdUntilMs = state.nowMs + state.maxLeaseMs;
  state.actions.push({
    type: "start",
    ...toAttempt(task),
    worker: worker.id,
    spec: task.job.spec,
    fromCheckpoint: task.hasCheckpoint,
    incarnation: worker.incarnation,
    sequence: worker.sequence,
    leaseMs: state.options.leaseMs,
  });
}

function sendMissingStarts(state: SchedulerState, worker: WorkerRecord): void {
  // The first start may have been lost, so another one may start the task.
  if (state.isPlacementSuspended || worker.isDraining) return;
  for (const task of worker.tasks) {
    if (task.stage !== "started" || task.isRestored) continue;
    if (task.intervention !== undefined) continue;
    // It is also subject to the allotment.
    if (!isWithinAllotment(task.job.workspace)) continue;
    if (task.startsSent >= MAX_STARTS_SENT) continue;
    if (state.nowMs - task.sentMs < RESEND_AFTER_MS) continue;
    sendStart(state, task);
  }
}

interface WorkerEstimate {
  /** Total expected usage of the tasks. */
  readonly usage: Resources;
  /** Expected usage above the committed resources, summed over the tasks. */
  readonly excessUsage: Resources;
}

function estimateTaskUsage(
  state: SchedulerState,
  task: TaskRecord,
  resource: "processors" | "memoryMb",
): number {
  const { usage, held } = task;
  if (usage === undefined) return held[resource];
  const estimate = resource === "processors"
    ? estimateProcessors
    : estimateMemory;
  return estimate(usage, held, state.options.usageMargin);
}

/** Estimates the usage of a worker's tasks at the time when a command sent now takes effect. */
export function estimateWorkerUsage(
  state: SchedulerState,
  worker: WorkerRecord,
): WorkerEstimate {
  // Plain number sums for speed: with 25,000 workers this runs for 350,000 tasks a second.
  let processors = 0;
  let memoryMb = 0;
  let accelerators = 0;
  let excessProcessors = 0;
  let excessMemoryMb = 0;
  for (const task of worker.tasks) {
    const { held } = task;
    const taskProcessors = estimateTaskUsage(state, task, "processors");
    const taskMemory = estimateTaskUsage(state, task, "memoryMb");
    processors += taskProcessors;
    memoryMb += taskMemory;
    accelerators += held.accelerators;
    excessProcessors += Math.max(0, taskProcessors - held.processors);
    excessMemoryMb += Math.max(0, taskMemory - held.memoryMb);
  }
  const excessUsage = excessProcessors === 0 && excessMemoryMb === 0
    ? NO_RESOURCES
    : {
      processors: excessProcessors,
      memoryMb: excessMemoryMb,
      accelerators: 0,
    };
  return { usage: { processors, memoryMb, accelerators }, excessUsage };
}

function findLargestExcess(
  state: SchedulerState,
  worker: WorkerRecord,
  resource: "processors" | "memoryMb",
): TaskRecord | undefined {
  let found: TaskRecord | undefined;
  let largest = 0;
  for (const task of worker.tasks) {
    if (task.intervention !== undefined) continue;
    if (resource === "processors" && task.processorLimit !== undefined) {
      continue;
    }
    const excess = estimateTaskUsage(state, task, resource) -
      task.held[resource];
    if (excess <= largest) continue;
    found = task;
    largest = excess;
  }
  return found;
}

/** Raises the memory of the job's next attempts to the estimate for this one, up to the capacity of the largest suitable worker. */
function updateTaskSize(state: SchedulerState, task: TaskRecord): void {
  const { job } = task;
  const needed = estimateTaskUsage(state, task, "memoryMb");
  const largest = state.classes.list().filter(({ capacity }) =>
    capacity.processors >= job.size.processors &&
    capacity.accelerators >= job.size.accelerators
  ).reduce((most, { capacity }) => Math.max(most, capacity.memoryMb), 0);
  const memoryMb = Math.min(needed, largest);
  if (memoryMb <= job.size.memoryMb) return;
  job.size = { ...job.size, memoryMb };
  job.queue = undefined;
  state.queues.add(job);
  state.uncheckedJobs.push(job);
}

function handleOverrun(state: SchedulerState, worker: WorkerRecord): void {
  const { usage } = estimateWorkerUsage(state, worker);
  const { capacity } = worker.placerWorker;
  if (usage.processors > capacity.processors) {
    const task = findLargestExcess(state, worker, "processors");
    if (task !== undefined) {
      sendThrottle(state, task, task.held.processors, "overrun");
    }
  }
  if (usage.memoryMb <= capacity.memoryMb) return;
  const task = findLargestExcess(state, worker, "memoryMb");
  if (task === undefined) return;
  updateTaskSize(state, task);
  sendGracefulStop(state, task, "overrun", OVERRUN_GRACE_MS);
}

function updateExcessUsage(state: SchedulerState, worker: WorkerRecord): void {
  const { excessUsage } = estimateWorkerUsage(state, worker);
  const current = worker.placerWorker.excessUsage;
  const isChanged = excessUsage.processors !== current.processors ||
    excessUsage.memoryMb !== current.memoryMb;
  if (isChanged) state.placer.setExcessUsage(worker.placerWorker, excessUsage);
  if (excessUsage.processors > 0 || excessUsage.memoryMb > 0) {
    handleOverrun(state, worker);
  }
}

/** Processes a report. Delayed and duplicate reports are ignored. */
export function receiveReport(
  state: SchedulerState,
  report: WorkerReport,
): WorkerReportReply {
  const { leaseMs } = state.options;
  const known = state.workers.get(report.worker);
  if (isStale(known, report)) return { renewed: [], leaseMs };
  const worker = updateWorker(state, report, state.nowMs);
  const renewed: TaskAttempt[] = [];
  for (const taskReport of report.tasks) {
    const attempt = receiveTask(state, worker, taskReport);
    if (attempt !== undefined) renewed.push(attempt);
  }
  if (worker.unseen > 0) sendMissingStarts(state, worker);
  updateExcessUsage(state, worker);
  return { renewed, leaseMs };
}
