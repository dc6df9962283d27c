/** Workers joining, leaving, becoming unresponsive, and failing task starts. */

import { addResources, subtractResources } from "../common/mod.ts";
import { addRackCount, endAttempt, sendStop } from "./lifecycle.ts";
import type { JobRecord, TaskRecord, WorkerRecord } from "./records.ts";
import { getWorker, type SchedulerState, updateAccepting } from "./state.ts";
import type { WorkerReport } from "./types.ts";
import {
  isEjectionAllowed,
  recordQuickFailure,
  recordSuccess,
  setOutOfService,
} from "./worker_health.ts";

function updateRackCount(task: TaskRecord, from: string, to: string): void {
  addRackCount(task.job, from, -1);
  addRackCount(task.job, to, 1);
}

function addToFleet(
  state: SchedulerState,
  worker: WorkerRecord,
  report: WorkerReport,
): void {
  const { placer } = state;
  const { committed, rack: previousRack } = worker.placerWorker;
  placer.removeWorker(worker.placerWorker);
  worker.placerWorker = placer.addWorker({
    id: worker.id,
    rack: report.rack,
    capacity: report.capacity,
  });
  placer.setAccepting(worker.placerWorker, false);
  placer.record(worker.placerWorker, committed);
  for (const task of worker.tasks) {
    updateRackCount(task, previousRack, report.rack);
  }
  worker.isKnown = true;
  worker.isGone = false;
  state.fleet.push(worker);
  state.classes.add(report.capacity);
  state.capacity = addResources(state.capacity, report.capacity);
  if (worker.hasSilenceCheck) return;
  worker.hasSilenceCheck = true;
  state.workerChecks.add(
    state.nowMs + state.options.workerUnresponsiveAfterMs,
    {
      worker,
      kind: "silence",
    },
  );
}

function removeFromFleet(state: SchedulerState, worker: WorkerRecord): void {
  const { capacity } = worker.placerWorker;
  const position = state.fleet.indexOf(worker);
  const last = state.fleet.pop();
  if (last !== undefined && last !== worker) state.fleet[position] = last;
  state.classes.remove(capacity);
  state.capacity = subtractResources(state.capacity, capacity);
  state.ejectedWorkers.delete(worker);
  state.probingWorkers.delete(worker);
}

/** Updates the worker's own state from its report. */
export function updateWorker(
  state: SchedulerState,
  report: WorkerReport,
  nowMs: number,
): WorkerRecord {
  const worker = getWorker(state, report.worker);
  const { capacity, rack } = worker.placerWorker;
  const isChanged = rack !== report.rack ||
    capacity.processors !== report.capacity.processors ||
    capacity.memoryMb !== report.capacity.memoryMb ||
    capacity.accelerators !== report.capacity.accelerators;
  const isInFleet = worker.isKnown && !worker.isGone;
  if (isInFleet && isChanged) removeFromFleet(state, worker);
  if (!isInFleet || isChanged) addToFleet(state, worker, report);
  worker.incarnation = report.incarnation;
  worker.sequence = report.sequence;
  worker.lastReportMs = nowMs;
  worker.isDraining = report.draining;
  worker.isSilent = false;
  updateAccepting(state, worker);
  return worker;
}

/** Removes a worker from the fleet; its tasks keep their resources until their leases have expired. */
export function removeWorker(
  state: SchedulerState,
  worker: WorkerRecord,
): void {
  if (worker.isGone) return;
  worker.isGone = true;
  if (worker.isKnown) removeFromFleet(state, worker);
  updateAccepting(state, worker);
  for (const task of [...worker.tasks]) {
    if (task.stage === "confirmed") endAttempt(state, task, "stopped");
    else if (task.stage === "proposed") sendStop(state, task, "unknown");
    else task.state = "lost";
  }
  if (worker.tasks.size > 0) return;
  // Without tasks, no later release deletes the record.
  if (state.workers.get(worker.id) !== worker) return;
  state.placer.removeWorker(worker.placerWorker);
  state.workers.delete(worker.id);
}

/** Runs the due checks: finds unresponsive workers, and starts probing workers out of service. */
export function checkWorkers(state: SchedulerState): void {
  const { nowMs, maxLeaseMs, workerChecks, options } = state;
  for (const { worker, kind } of workerChecks.takeDue(nowMs)) {
    if (kind === "silence") worker.hasSilenceCheck = false;
    if (worker.isGone || state.workers.get(worker.id) !== worker) continue;
    if (kind === "probe") {
      startProbing(state, worker);
      continue;
    }
    const silentMs = nowMs - worker.lastReportMs;
    if (silentMs > maxLeaseMs) {
      removeWorker(state, worker);
      continue;
    }
    worker.isSilent = silentMs >= options.workerUnresponsiveAfterMs;
    updateAccepting(state, worker);
    const nextMs = worker.isSilent
      ? maxLeaseMs + 1
      : options.workerUnresponsiveAfterMs;
    worker.hasSilenceCheck = true;
    workerChecks.add(worker.lastReportMs + nextMs, { worker, kind });
  }
}

function startProbing(state: SchedulerState, worker: WorkerRecord): void {
  const { health } = worker;
  if (health.mode !== "outOfService") return;
  if (health.probeAtMs > state.nowMs) return;
  health.mode = "probing";
  state.probingWorkers.add(worker);
}

function takeOutOfService(state: SchedulerState, worker: WorkerRecord): void {
  worker.probe = undefined;
  setOutOfService(worker.health, state.nowMs);
  state.ejectedWorkers.add(worker);
  state.probingWorkers.delete(worker);
  state.workerChecks.add(worker.health.probeAtMs, { worker, kind: "probe" });
  updateAccepting(state, worker);
}

function recordWorkerFailure(
  state: SchedulerState,
  worker: WorkerRecord,
  job: string,
): void {
  if (!recordQuickFailure(worker.health, job)) return;
  const ejected = state.ejectedWorkers.size;
  if (isEjectionAllowed(ejected, state.fleet.length)) {
    takeOutOfService(state, worker);
  }
}

/** Records the first success of a job, and counts its earlier failures against their workers. */
function recordJobSuccess(state: SchedulerState, job: JobRecord): void {
  job.health.hasSucceeded = true;
  for (const id of job.health.failedWorkers ?? []) {
    const worker = state.workers.get(id);
    if (worker === undefined || worker.isGone) continue;
    recordWorkerFailure(state, worker, job.spec.id);
  }
  job.health.failedWorkers = undefined;
}

/** Records that a task has run long enough, or has finished, on its worker. */
export function recordTaskSuccess(
  state: SchedulerState,
  task: TaskRecord,
  worker: WorkerRecord,
): void {
  const { health, probe } = worker;
  task.job.health.failedWorkers?.delete(worker.id);
  if (!task.job.health.hasSucceeded) recordJobSuccess(state, task.job);
  const isProbe = health.mode === "probeRunning" && probe === task;
  if (!isProbe && health.mode !== "inService") return;
  if (!isProbe && health.failedJobs.size === 0) return;
  recordSuccess(health);
  worker.probe = undefined;
  state.ejectedWorkers.delete(worker);
  updateAccepting(state, worker);
}

/** Records that a start failed quickly. A failed probe keeps its worker out of service. */
export function recordTaskFailure(
  state: SchedulerState,
  task: TaskRecord,
  worker: WorkerRecord,
): void {
  const { job } = task;
  if (worker.health.mode === "probeRunning" && worker.probe === task) {
    takeOutOfService(state, worker);
  } else if (job.health.hasSucceeded) {
    recordWorkerFailure(state, worker, job.spec.id);
  } else {
    job.health.failedWorkers ??= new Set();
    job.health.failedWorkers.add(worker.id);
  }
}
