/**
 * Gang placement and reservations. A gang is placed as a whole or not at all, so
 * two gangs never hold resources that the other one needs. The first blocked job
 * reserves workers. A single reservation at a time rules out deadlocks. Until the
 * job fits, short batch tasks are backfilled on the reserved workers.
 */

import {
  addResources,
  fitsWithin,
  multiplyResources,
  RESOURCE_NAMES,
  type Resources,
  subtractResources,
} from "../common/mod.ts";
import { DEFAULT_EXPECTED_MS, isWaiting } from "./job_queues.ts";
import { assignTask } from "./lifecycle.ts";
import type { PlacerWorker } from "./placement.ts";
import type { JobRecord, TaskRecord, WorkerRecord } from "./records.ts";
import { isUsable, type SchedulerState, updateAccepting } from "./state.ts";
import { isEnding, sendGracefulStopToGang } from "./victims.ts";

interface Reservation {
  readonly job: JobRecord;
  readonly workers: readonly WorkerRecord[];
  readonly sinceMs: number;
  /** When the blocking tasks are expected to have ended. */
  readonly readyMs: number;
  /** The blocking tasks are being preempted; no backfill is placed. */
  isClearing: boolean;
}

/** Places gangs and reserves workers for the first blocked job. */
export interface Reservations {
  /** Places every waiting task of the gang, or none. */
  placeWhole(job: JobRecord): boolean;
  /** Reserves workers for the first blocked job that qualifies. An urgent job replaces the reservation of a job that is not urgent. */
  propose(blocked: readonly JobRecord[]): void;
  /** Places one task of a short batch job on a reserved worker; returns false if none has enough free capacity. */
  placeBackfill(job: JobRecord): boolean;
  /** Returns whether short jobs may still be placed on reserved workers in this step. */
  isBackfillAllowed(): boolean;
  /** Places the job of the reservation if it fits now; preempts the blocking tasks if it has waited too long. */
  step(): void;
  /** Gives up the reservation, if there is one. */
  close(): void;
}

const GANG_RETRY_MS = 200;
// A job other than a gang reserves a worker only after this time, when smaller jobs seem to starve it.
const SINGLE_TASK_RESERVE_AFTER_MS = 30_000;
const MIN_SAMPLED_WORKERS = 1_000;
// Each attempt to reserve examines a thousand workers, so a step spends about a millisecond on them.
const MAX_RESERVATION_ATTEMPTS_PER_STEP = 2;
// Reserved workers that a step examines for backfill, over all jobs.
const MAX_BACKFILL_PROBES_PER_STEP = 5_000;
const PREEMPT_GRACE_MS = 10_000;
const URGENT_GRACE_MS = 1_500;

function computeTaskCount(job: JobRecord): number {
  return job.spec.policy === "gang" ? job.waiting.length : 1;
}

function countFittingTasks(free: Resources, task: Resources): number {
  let count = Infinity;
  for (const name of RESOURCE_NAMES) {
    if (task[name] === 0) continue;
    count = Math.min(count, Math.floor(free[name] / task[name]));
  }
  return Math.max(0, count);
}

/** Creates the reservation module of a scheduler. */
export function createReservations(state: SchedulerState): Reservations {
  let reservation: Reservation | undefined;
  let sampleStart = 0;
  let backfillProbesLeft = MAX_BACKFILL_PROBES_PER_STEP;

  function closeReservation(): void {
    if (reservation === undefined) return;
    for (const worker of reservation.workers) {
      worker.isReserved = false;
      updateAccepting(state, worker);
    }
    reservation = undefined;
  }

  function fitsAllotment(job: JobRecord): boolean {
    const { workspace } = job;
    const wanted = multiplyResources(job.size, computeTaskCount(job));
    return workspace.isKnown &&
      fitsWithin(
        addResources(workspace.committed, wanted),
        workspace.allotment,
      );
  }

  function pickWorker(job: JobRecord, held: readonly WorkerRecord[]) {
    for (const worker of held) {
      const isCommitted = isUsable(worker) &&
        state.placer.commit(worker.placerWorker, job.size);
      if (isCommitted) return worker.placerWorker;
    }
    const picked = state.placer.place({
      resources: job.size,
      strategy: "pack",
    });
    if (picked === undefined) return undefined;
    return state.placer.commit(picked, job.size) ? picked : undefined;
  }

  function hasFreeCapacity(job: JobRecord): boolean {
    const wanted = multiplyResources(job.size, computeTaskCount(job));
    return fitsWithin(
      wanted,
      subtractResources(state.capacity, state.committed),
    );
  }

  function placeWhole(job: JobRecord): boolean {
    if (!fitsAllotment(job) || !hasFreeCapacity(job)) return false;
    const held = reservation?.job === job ? reservation.workers : [];
    const pickedWorkers: PlacerWorker[] = [];
    const count = computeTaskCount(job);
    while (pickedWorkers.length < count) {
      const picked = pickWorker(job, held);
      if (picked === undefined) break;
      pickedWorkers.push(picked);
    }
    if (pickedWorkers.length < count) {
      for (const picked of pickedWorkers) {
        state.placer.release(picked, job.size);
      }
      return false;
    }
    for (const picked of pickedWorkers) {
      assignTask(state, job.waiting.pop()!, state.workers.get(picked.id)!);
    }
    return true;
  }

  function estimateEnd(task: TaskRecord): number {
    const expectedMs = task.job.spec.expectedMs ?? DEFAULT_EXPECTED_MS;
    const startedMs = task.state === "running" ? task.startedMs : state.nowMs;
    const endMs = startedMs + expectedMs;
    // A task that exceeds its declared run time is assumed to need the same time again.
    return endMs > state.nowMs ? endMs : state.nowMs + expectedMs;
  }

  function listCandidates(count: number): WorkerRecord[] {
    const { fleet } = state;
    const wanted = Math.min(
      fleet.length,
      Math.max(4 * count, MIN_SAMPLED_WORKERS),
    );
    const candidates: WorkerRecord[] = [];
    for (let offset = 0; offset < wanted; offset++) {
      const worker = fleet[(sampleStart + offset) % fleet.length]!;
      if (isUsable(worker) && !worker.isReserved) candidates.push(worker);
    }
    sampleStart = fleet.length === 0 ? 0 : (sampleStart + wanted) %
      fleet.length;
    return candidates;
  }

  /** Returns how many tasks of the job fit on the worker once its batch and gang tasks have ended, and when that is. */
  function computeOffer(worker: WorkerRecord, job: JobRecord) {
    let free = worker.placerWorker.capacity;
    let readyMs = state.nowMs;
    for (const task of worker.tasks) {
      if (task.job.spec.policy === "service") {
        free = subtractResources(free, task.held);
      } else {
        readyMs = Math.max(readyMs, estimateEnd(task));
      }
    }
    return { worker, readyMs, tasks: countFittingTasks(free, job.size) };
  }

  function openReservation(job: JobRecord): boolean {
    const count = computeTaskCount(job);
    const offers = listCandidates(count)
      .map((worker) => computeOffer(worker, job))
      .filter((offer) => offer.tasks > 0)
      .sort((a, b) => a.readyMs - b.readyMs);
    const workers: WorkerRecord[] = [];
    let readyMs = state.nowMs;
    let tasks = 0;
    for (const offer of offers) {
      if (tasks >= count) break;
      workers.push(offer.worker);
      tasks += offer.tasks;
      readyMs = offer.readyMs;
    }
    if (tasks < count) return false;
    for (const worker of workers) {
      worker.isReserved = true;
      updateAccepting(state, worker);
    }
    reservation = {
      job,
      workers,
      readyMs,
      sinceMs: state.nowMs,
      isClearing: false,
    };
    return true;
  }

  function isCandidate(job: JobRecord): boolean {
    if (!isWaiting(job) || !fitsAllotment(job)) return false;
    if (job.spec.policy === "gang") return true;
    const blockedMs = state.nowMs - (job.blockedSinceMs ?? state.nowMs);
    return !job.spec.urgent && blockedMs >= SINGLE_TASK_RESERVE_AFTER_MS;
  }

  /** Preempts the batch tasks on reserved workers; for an urgent job, also gang tasks. */
  function removeBlockers(held: Reservation): void {
    const graceMs = held.job.spec.urgent ? URGENT_GRACE_MS : PREEMPT_GRACE_MS;
    for (const worker of held.workers) {
      for (const task of [...worker.tasks]) {
        const { spec } = task.job;
        const isPreemptible = spec.policy === "batch" ||
          (held.job.spec.urgent && spec.policy === "gang");
        if (!isPreemptible || spec.urgent || isEnding(task)) continue;
        if (task.stage === "proposed") continue;
        sendGracefulStopToGang(state, task, { reason: "gang", graceMs });
      }
    }
  }

  function stepReservation(held: Reservation): void {
    const { job } = held;
    const isValid = isWaiting(job) && fitsAllotment(job) &&
      held.workers.every(isUsable);
    if (!isValid) return closeReservation();
    if (placeWhole(job)) return closeReservation();
    const blockedMs = state.nowMs - (job.blockedSinceMs ?? held.sinceMs);
    const preemptAfterMs = job.spec.urgent
      ? 0
      : state.options.reservationPreemptAfterMs;
    if (blockedMs < preemptAfterMs) return;
    held.isClearing = true;
    removeBlockers(held);
  }

  return {
    placeWhole(job) {
      if (state.nowMs < job.nextTryMs) return false;
      if (placeWhole(job)) return true;
      job.nextTryMs = state.nowMs + GANG_RETRY_MS;
      return false;
    },
    propose(blocked) {
      const isReservedForUrgent = reservation?.job.spec.urgent === true;
      let left = MAX_RESERVATION_ATTEMPTS_PER_STEP;
      for (const job of blocked) {
        if (left <= 0) return;
        const mayReplace = job.spec.urgent && !isReservedForUrgent;
        if (reservation !== undefined && !mayReplace) continue;
        if (!isCandidate(job)) continue;
        left--;
        closeReservation();
        if (openReservation(job)) return;
      }
    },
    placeBackfill(job) {
      if (reservation === undefined || reservation.isClearing) return false;
      if (job === reservation.job) return false;
      const { expectedMs, policy } = job.spec;
      if (policy !== "batch" || expectedMs === undefined) return false;
      if (state.nowMs + expectedMs > reservation.readyMs) return false;
      for (const worker of reservation.workers) {
        if (backfillProbesLeft-- <= 0) return false;
        if (!isUsable(worker)) continue;
        if (!state.placer.commit(worker.placerWorker, job.size)) continue;
        assignTask(state, job.waiting.pop()!, worker);
        return true;
      }
      return false;
    },
    isBackfillAllowed: () =>
      reservation !== undefined && !reservation.isClearing &&
      backfillProbesLeft > 0,
    step() {
      backfillProbesLeft = MAX_BACKFILL_PROBES_PER_STEP;
      if (reservation !== undefined) stepReservation(reservation);
    },
    close: closeReservation,
  };
}
