/**
 * The scheduler of the data centre leader. It uses no sockets, clocks or timers:
 * the caller passes in events and the time, and `step` returns the actions to
 * execute.
 */

import { createFault, fitsWithin, RESOURCE_NAMES } from "../common/mod.ts";
import {
  addJob,
  cancelJob,
  checkFeasibility,
  endTerminatingJobs,
  restoreJobs,
} from "./jobs.ts";
import { explainJob } from "./job_explanation.ts";
import { addWaiting, endAttempt, hasEnded } from "./lifecycle.ts";
import { resolveSchedulerOptions, type SchedulerOptions } from "./options.ts";
import { runPlacements } from "./placement_round.ts";
import { createPreemption } from "./preemption.ts";
import type { JobRecord, TaskRecord } from "./records.ts";
import { receiveReport, sendStart } from "./reports.ts";
import { createReservations } from "./reservations.ts";
import { checkAllotments } from "./shedding.ts";
import {
  createState,
  getWorkspace,
  isWithinAllotment,
  type SchedulerState,
} from "./state.ts";
import { buildJobView, buildStatus, buildWorkerStatus } from "./status.ts";
import type { Scheduler, TaskAttempt, WorkspaceSettings } from "./types.ts";
import { checkWorkers, removeWorker } from "./workers.ts";

function updateWorkspace(
  state: SchedulerState,
  settings: WorkspaceSettings,
): void {
  const { workspace: name, weight, allotment } = settings;
  if (!(weight > 0 && Number.isFinite(weight))) {
    throw createFault(
      "badRequest",
      `Cannot set workspace "${name}": weight ${weight} is not a number above 0`,
    );
  }
  const workspace = getWorkspace(state, name);
  const isChanged = !workspace.isKnown ||
    RESOURCE_NAMES.some((resource) =>
      workspace.allotment[resource] !== allotment[resource]
    );
  workspace.weight = weight;
  workspace.allotment = allotment;
  workspace.isKnown = true;
  if (isChanged) state.needsFeasibilityCheck = true;
  workspace.isOverAllotment = !fitsWithin(workspace.committed, allotment);
}

// Each step checks one part in `LEASE_BACKLOG_DIVISOR` of the due leases, but at least this many.
const MIN_LEASE_CHECKS_PER_STEP = 2_000;
const LEASE_BACKLOG_DIVISOR = 16;

function findProposed(
  state: SchedulerState,
  { job, index, attempt }: TaskAttempt,
): TaskRecord | undefined {
  const task = state.jobs.get(job)?.tasks[index];
  const isProposed = task?.worker !== undefined &&
    task.stage === "proposed" && task.attempt === attempt;
  return isProposed ? task : undefined;
}

function isWholeGang(job: JobRecord): boolean {
  return job.spec.policy !== "gang" ||
    job.placed + job.ended === job.tasks.length;
}

/** Returns whether a recorded assignment is still valid. */
function isValidAssignment(state: SchedulerState, task: TaskRecord): boolean {
  const { job, worker, intervention } = task;
  return !state.isPlacementSuspended && !job.isCancelled && !job.isFailing &&
    intervention === undefined &&
    worker !== undefined && !worker.isGone && !worker.isDraining &&
    isWholeGang(job) &&
    isWithinAllotment(job.workspace);
}

function confirmAssignment(
  state: SchedulerState,
  assignment: TaskAttempt,
): boolean {
  const task = findProposed(state, assignment);
  if (task === undefined) return false;
  const { job, attempt } = task;
  task.stage = "confirmed";
  job.confirmed++;
  if (!isValidAssignment(state, task)) {
    endAttempt(state, task, "stopped");
    return false;
  }
  state.confirmed.push({ task, attempt });
  return true;
}

function isStartable(state: SchedulerState, task: TaskRecord): boolean {
  return task.worker !== undefined && task.worker.isKnown &&
    !task.worker.isSilent && isValidAssignment(state, task);
}

function startGang(state: SchedulerState, job: JobRecord): boolean {
  if (job.confirmed + job.ended < job.tasks.length) return false;
  const tasks = job.tasks.filter((task) => task.stage === "confirmed");
  const refused = tasks.find((task) => !isStartable(state, task));
  if (refused !== undefined) {
    // Ending one task also ends the other tasks of the gang; none of them has started.
    endAttempt(state, refused, "stopped");
    return true;
  }
  for (const task of tasks) sendStart(state, task);
  return true;
}

function startConfirmed(state: SchedulerState): void {
  const pending = state.confirmed;
  state.confirmed = [];
  for (const entry of pending) {
    const { task, attempt } = entry;
    const isCurrent = task.worker !== undefined &&
      task.stage === "confirmed" && task.attempt === attempt;
    if (!isCurrent) continue;
    if (task.job.spec.policy === "gang") {
      if (!startGang(state, task.job)) state.confirmed.push(entry);
    } else if (isStartable(state, task)) {
      sendStart(state, task);
    } else {
      endAttempt(state, task, "stopped");
    }
  }
}

/**
 * Ends attempts whose leases have expired. After a leader change all leases are
 * due at once, so each step checks only some of them. A late check is safe: the
 * task just holds its resources longer.
 */
function checkLeases(state: SchedulerState): void {
  const { dueLeases, nowMs } = state;
  for (const entry of state.leases.takeDue(nowMs)) dueLeases.push(entry);
  const part = Math.ceil(dueLeases.length / LEASE_BACKLOG_DIVISOR);
  const count = Math.min(
    dueLeases.length,
    Math.max(MIN_LEASE_CHECKS_PER_STEP, part),
  );
  for (let checked = 0; checked < count; checked++) {
    const entry = dueLeases.pop()!;
    const { task, attempt } = entry;
    if (task.worker === undefined || task.attempt !== attempt) continue;
    if (task.holdUntilMs > nowMs) state.leases.add(task.holdUntilMs, entry);
    else endAttempt(state, task, "lost");
  }
}

function checkRetries(state: SchedulerState): void {
  for (const { task, attempt } of state.retries.takeDue(state.nowMs)) {
    const isFree = task.worker === undefined && task.attempt === attempt &&
      !hasEnded(task);
    if (isFree) addWaiting(state, task);
  }
}

/** Creates a scheduler. Throws a `badRequest` fault if an option is out of range. */
export function createScheduler(options: SchedulerOptions): Scheduler {
  const state = createState(resolveSchedulerOptions(options));
  const preemption = createPreemption(state);
  const reservations = createReservations(state);
  let checkedVersion = state.classes.getVersion();

  function setTime(nowMs: number): void {
    state.nowMs = Math.max(state.nowMs, nowMs);
  }

  function checkFleet(): void {
    const version = state.classes.getVersion();
    if (version === checkedVersion) return;
    checkedVersion = version;
    state.needsFeasibilityCheck = true;
  }

  return {
    addJob: (spec) => addJob(state, spec),
    explainJob: (spec) => explainJob(state, spec),
    cancelJob: (job) => cancelJob(state, job),
    receiveWorkerReport(report, nowMs) {
      setTime(nowMs);
      return receiveReport(state, report);
    },
    removeWorker(id) {
      const worker = state.workers.get(id);
      if (worker !== undefined) removeWorker(state, worker);
    },
    setWorkspace: (settings) => updateWorkspace(state, settings),
    setPlacementSuspended(isSuspended) {
      state.isPlacementSuspended = isSuspended;
    },
    restore(jobs, assignments, nowMs) {
      setTime(nowMs);
      restoreJobs(state, jobs, assignments);
      for (const workspace of state.workspaces.values()) {
        workspace.isOverAllotment = workspace.isKnown &&
          !isWithinAllotment(workspace);
      }
    },
    confirmAssignment: (assignment) => confirmAssignment(state, assignment),
    abandonAssignment(assignment) {
      const task = findProposed(state, assignment);
      if (task !== undefined) endAttempt(state, task, "stopped");
    },
    step(nowMs) {
      setTime(nowMs);
      checkLeases(state);
      checkRetries(state);
      checkWorkers(state);
      checkAllotments(state);
      checkFleet();
      checkFeasibility(state);
      startConfirmed(state);
      runPlacements(state, reservations, preemption);
      endTerminatingJobs(state);
      const { actions } = state;
      state.actions = [];
      return actions;
    },
    getJob(id) {
      const job = state.jobs.get(id);
      return job === undefined ? undefined : buildJobView(job);
    },
    listJobs: () => [...state.jobs.values()].map(buildJobView),
    getStatus: () => buildStatus(state),
    getWorker: (id) => buildWorkerStatus(state, id),
  };
}
