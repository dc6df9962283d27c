/** What worker reports change: leases, ends of attempts, usage and limits in force. */

import { NO_RESOURCES, type Resources } from "../common/mod.ts";
import { endAttempt, sendEnd, sendThrottle } from "./lifecycle.ts";
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

// One report interval: a command that is not seen to work by then may have been lost.
const RESEND_MS = 1_000;
// A start that was sent this often without effect is given up when its lease ends.
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
  listed: WorkerTaskReport,
): TaskRecord | undefined {
  const task = state.jobs.get(listed.job)?.tasks[listed.index];
  const isCurrent = task?.worker === worker && task.attempt === listed.attempt;
  const isStarted = task?.stage === "started" || task?.stage === "seen";
  return isCurrent && isStarted ? task : undefined;
}

function setHeldProcessors(
  state: SchedulerState,
  task: TaskRecord,
  processors: number,
): void {
  const { place } = task.worker!;
  const held = { ...task.held, processors };
  state.placer.release(place, task.held);
  subtractCommitted(state, task.job.workspace, task.held);
  state.placer.record(place, held);
  addCommitted(state, task.job.workspace, held);
  task.held = held;
}

/** Frees processors once the worker has confirmed the lower limit, and repeats a limit that is not in force. */
function receiveLimit(
  state: SchedulerState,
  task: TaskRecord,
  listed: WorkerTaskReport,
): void {
  const { processorLimit } = listed;
  // After a takeover the limit that the worker reports is the only record of it.
  const isAdopted = task.isRestored && processorLimit !== undefined &&
    processorLimit < task.held.processors;
  if (isAdopted) {
    task.processorLimit = processorLimit;
    state.throttled.add(task);
  }
  const wanted = task.processorLimit;
  if (wanted === undefined) {
    if (processorLimit === undefined) return;
    // The command that ended throttling was lost; the full amount is committed already.
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

function sendAgain(state: SchedulerState, task: TaskRecord): void {
  const { intervention, worker } = task;
  if (intervention === undefined || worker === undefined) return;
  if (intervention.kind === "throttle") return;
  if (state.nowMs - intervention.sentMs < RESEND_MS) return;
  intervention.sentMs = state.nowMs;
  state.actions.push({
    type: intervention.kind,
    ...toAttempt(task),
    worker: worker.id,
    reason: intervention.reason,
  });
}

function receiveLiveTask(
  state: SchedulerState,
  task: TaskRecord,
  listed: WorkerTaskReport,
): void {
  const { nowMs } = state;
  const worker = task.worker!;
  if (task.stage === "started") worker.unseen--;
  task.stage = "seen";
  task.holdUntilMs = nowMs + state.holdMs;
  if (listed.state === "running" && task.state !== "running") {
    if (task.state === "assigned") task.startedMs = nowMs;
    task.state = "running";
  } else if (task.state === "lost") {
    task.state = "assigned";
  }
  receiveLimit(state, task, listed);
  task.isRestored = false;
  sendAgain(state, task);
  if (listed.usage !== undefined) {
    task.usage = updateUsage(task.usage, listed.usage, nowMs);
  }
  const isProof = !task.isProven && task.state === "running" &&
    nowMs - task.startedMs >= QUICK_FAILURE_MS;
  if (!isProof) return;
  // Counted once: old tasks that run on must not hide that every new start fails.
  task.isProven = true;
  recordTaskSuccess(state, task, worker);
}

function receiveEnd(
  state: SchedulerState,
  task: TaskRecord,
  listed: WorkerTaskReport,
): void {
  const worker = task.worker!;
  const { state: reported, exitCode } = listed;
  if (reported === "finished") recordTaskSuccess(state, task, worker);
  const isQuick = task.state !== "running" ||
    state.nowMs - task.startedMs < QUICK_FAILURE_MS;
  if (reported === "failed") {
    task.avoid = worker.id;
    if (isQuick) recordTaskFailure(state, task, worker);
    // A service that has run well starts counting again, so that it is kept running.
    else if (task.job.spec.policy === "service") task.failures = 0;
  }
  endAttempt(state, task, reported as "finished", exitCode);
}

function receiveTask(
  state: SchedulerState,
  worker: WorkerRecord,
  listed: WorkerTaskReport,
): TaskAttempt | undefined {
  const task = findReportedTask(state, worker, listed);
  if (task === undefined) {
    const { job, index, attempt } = listed;
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
  if (listed.state !== "running" && listed.state !== "starting") {
    receiveEnd(state, task, listed);
    return undefined;
  }
  receiveLiveTask(state, task, listed);
  // A task that is to stop gets no new lease, so that it ends even if the command is lost.
  return task.intervention?.kind === "stop" ? undefined : toAttempt(task);
}

/** Sends the start command of a recorded assignment; the lease is counted from the worker's last report. */
export function sendStart(state: SchedulerState, task: TaskRecord): void {
  const worker = task.worker!;
  const { attempt } = task;
  if (task.stage === "confirmed") {
    task.job.confirmed--;
    task.stage = "started";
    worker.unseen++;
    state.leases.add(state.nowMs + state.holdMs, { task, attempt });
  }
  task.startsSent++;
  task.sentMs = state.nowMs;
  task.holdUntilMs = state.nowMs + state.holdMs;
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
  for (const task of worker.tasks) {
    if (task.stage !== "started" || task.isRestored) continue;
    if (task.intervention !== undefined) continue;
    // The first start may have been lost, so this one may be what starts the task.
    if (!isWithinAllotment(task.job.workspace)) continue;
    if (task.startsSent >= MAX_STARTS_SENT) continue;
    if (state.nowMs - task.sentMs < RESEND_MS) continue;
    sendStart(state, task);
  }
}

interface WorkerEstimate {
  /** What the tasks are expected to use in all. */
  readonly usage: Resources;
  /** The part of it above what is committed for the tasks. */
  readonly surcharge: Resources;
}

function estimateTask(
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

/** Estimates what the tasks of a worker will use when a command sent now takes effect. */
export function estimateWorker(
  state: SchedulerState,
  worker: WorkerRecord,
): WorkerEstimate {
  // Sums of plain numbers: at 25,000 workers this runs for 350,000 tasks a second.
  let processors = 0;
  let memoryMb = 0;
  let accelerators = 0;
  let processorsAbove = 0;
  let memoryAbove = 0;
  for (const task of worker.tasks) {
    const { held } = task;
    const taskProcessors = estimateTask(state, task, "processors");
    const taskMemory = estimateTask(state, task, "memoryMb");
    processors += taskProcessors;
    memoryMb += taskMemory;
    accelerators += held.accelerators;
    processorsAbove += Math.max(0, taskProcessors - held.processors);
    memoryAbove += Math.max(0, taskMemory - held.memoryMb);
  }
  const surcharge = processorsAbove === 0 && memoryAbove === 0
    ? NO_RESOURCES
    : {
      processors: processorsAbove,
      memoryMb: memoryAbove,
      accelerators: 0,
    };
  return { usage: { processors, memoryMb, accelerators }, surcharge };
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
    const excess = estimateTask(state, task, resource) - task.held[resource];
    if (excess <= largest) continue;
    found = task;
    largest = excess;
  }
  return found;
}

/** Gives the next attempts of the job what this one was seen to need, as far as a worker can hold it. */
function updateSize(state: SchedulerState, task: TaskRecord): void {
  const { job } = task;
  const needed = estimateTask(state, task, "memoryMb");
  const largest = state.classes.list().filter(({ capacity }) =>
    capacity.processors >= job.size.processors &&
    capacity.accelerators >= job.size.accelerators
  ).reduce((most, { capacity }) => Math.max(most, capacity.memoryMb), 0);
  const memoryMb = Math.min(needed, largest);
  if (memoryMb <= job.size.memoryMb) return;
  job.size = { ...job.size, memoryMb };
  job.queue = undefined;
  state.queues.add(job);
  state.unchecked.push(job);
}

function handleOverrun(state: SchedulerState, worker: WorkerRecord): void {
  const { usage } = estimateWorker(state, worker);
  const { capacity } = worker.place;
  if (usage.processors > capacity.processors) {
    const task = findLargestExcess(state, worker, "processors");
    if (task !== undefined) {
      sendThrottle(state, task, task.held.processors, "overrun");
    }
  }
  if (usage.memoryMb <= capacity.memoryMb) return;
  const task = findLargestExcess(state, worker, "memoryMb");
  if (task === undefined) return;
  updateSize(state, task);
  sendEnd(state, task, "overrun", OVERRUN_GRACE_MS);
}

function updateEstimate(state: SchedulerState, worker: WorkerRecord): void {
  const { surcharge } = estimateWorker(state, worker);
  const current = worker.place.surcharge;
  const isChanged = surcharge.processors !== current.processors ||
    surcharge.memoryMb !== current.memoryMb;
  if (isChanged) state.placer.setSurcharge(worker.place, surcharge);
  if (surcharge.processors > 0 || surcharge.memoryMb > 0) {
    handleOverrun(state, worker);
  }
}

/** Takes in a report. One that is late or doubled changes nothing. */
export function receiveReport(
  state: SchedulerState,
  report: WorkerReport,
): WorkerReportReply {
  const { leaseMs } = state.options;
  const known = state.workers.get(report.worker);
  if (isStale(known, report)) return { renewed: [], leaseMs };
  const worker = updateWorker(state, report, state.nowMs);
  const renewed: TaskAttempt[] = [];
  for (const listed of report.tasks) {
    const attempt = receiveTask(state, worker, listed);
    if (attempt !== undefined) renewed.push(attempt);
  }
  if (worker.unseen > 0) sendMissingStarts(state, worker);
  updateEstimate(state, worker);
  return { renewed, leaseMs };
}
