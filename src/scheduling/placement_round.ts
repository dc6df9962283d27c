/** A placement round over the waiting jobs, and preemption for jobs that could not be placed. */

import { addResources, fitsWithin, type Resources } from "../common/mod.ts";
import { isWaiting } from "./job_queues.ts";
import { assignTask } from "./lifecycle.ts";
import { createServingOrder } from "./ordering.ts";
import type { Preemption } from "./preemption.ts";
import type { JobRecord } from "./records.ts";
import type { Reservations } from "./reservations.ts";
import { releaseAllotment } from "./shedding.ts";
import type { SchedulerState } from "./state.ts";
import {
  computeEntitlements,
  type Entitlements,
  isOverShare,
} from "./victims.ts";

// Task sizes that could not be placed in this round; equal or larger ones are not tried again.
const MAX_UNPLACEABLE_SIZES = 16;
// A plan examines 64 workers, so a step spends at most a few milliseconds on plans.
const MAX_PLANS_PER_STEP = 50;
const MAX_RECLAIM_PLANS_PER_STEP = 4;
// Held resources change with worker reports, which arrive once a second.
const RECLAIM_RETRY_MS = 500;

/** The result of one round. */
export interface PlacementRound {
  unplaceableSizes: Resources[];
  /** Jobs for which no worker had enough free capacity, in serving order. */
  readonly blocked: JobRecord[];
  /** Jobs that would exceed the allotment of their workspace. */
  readonly allotmentLimited: JobRecord[];
}

function fitsAllotment(job: JobRecord): boolean {
  const { workspace } = job;
  return workspace.isKnown &&
    fitsWithin(
      addResources(workspace.committed, job.size),
      workspace.allotment,
    );
}

function isUnplaceable(round: PlacementRound, size: Resources): boolean {
  return round.unplaceableSizes.some((failedSize) =>
    fitsWithin(failedSize, size)
  );
}

function placeOne(
  state: SchedulerState,
  job: JobRecord,
  withAvoid: boolean,
): boolean {
  const task = job.waiting[job.waiting.length - 1]!;
  const placerWorker = state.placer.place({
    resources: job.size,
    strategy: job.spec.policy === "service" ? "spread" : "pack",
    countInRack: (rack) => job.tasksInRack?.get(rack) ?? 0,
    ...(withAvoid && task.avoid !== undefined ? { avoid: task.avoid } : {}),
  });
  if (placerWorker === undefined) return false;
  if (!state.placer.commit(placerWorker, job.size)) return false;
  job.waiting.pop();
  assignTask(state, task, state.workers.get(placerWorker.id)!);
  return true;
}

/** Places one batch task on a worker that is being probed. */
function placeProbe(state: SchedulerState, job: JobRecord): boolean {
  if (job.spec.policy !== "batch" || job.spec.urgent) return false;
  const task = job.waiting[job.waiting.length - 1]!;
  for (const worker of state.probingWorkers) {
    const isUsable = !worker.isSilent && !worker.isDraining &&
      !worker.isReserved && worker.id !== task.avoid;
    if (!isUsable || !state.placer.commit(worker.placerWorker, job.size)) {
      continue;
    }
    job.waiting.pop();
    assignTask(state, task, worker);
    return true;
  }
  return false;
}

function placeSingle(
  state: SchedulerState,
  job: JobRecord,
  round: PlacementRound,
): boolean {
  const isProbe = state.probingWorkers.size > 0 && placeProbe(state, job);
  if (isProbe) return true;
  if (isUnplaceable(round, job.size)) return false;
  if (placeOne(state, job, true)) return true;
  const task = job.waiting[job.waiting.length - 1]!;
  // If only the worker of the failed attempt has free capacity, a retry there is better than none.
  if (task.avoid !== undefined && placeOne(state, job, false)) return true;
  addUnplaceableSize(round, job.size);
  return false;
}

function addUnplaceableSize(round: PlacementRound, size: Resources): void {
  const kept = round.unplaceableSizes.filter((failedSize) =>
    !fitsWithin(size, failedSize)
  );
  if (kept.length < MAX_UNPLACEABLE_SIZES) kept.push(size);
  round.unplaceableSizes = kept;
}

/** Places waiting tasks in serving order, without preemption. */
export function runRound(
  state: SchedulerState,
  reservations: Reservations,
): PlacementRound {
  const round: PlacementRound = {
    unplaceableSizes: [],
    blocked: [],
    allotmentLimited: [],
  };
  const order = createServingOrder(state);
  const limit = state.placedTasks + state.options.maxPlacementsPerStep;
  while (state.placedTasks < limit) {
    const job = order.takeNext();
    if (job === undefined) break;
    if (!fitsAllotment(job)) {
      round.allotmentLimited.push(job);
      continue;
    }
    const isPlaced = job.spec.policy === "gang"
      ? reservations.placeWhole(job)
      : placeSingle(state, job, round);
    if (isPlaced || reservations.placeBackfill(job)) {
      order.add();
      continue;
    }
    addBlocked(state, round, job);
    // In a full cell one failed placement is enough to end the round, however many tasks wait.
    const isFull = isUnplaceable(round, order.minSize) &&
      state.probingWorkers.size === 0 && !reservations.isBackfillAllowed();
    if (isFull) break;
  }
  for (const job of order.listRemaining()) {
    if (fitsAllotment(job)) addBlocked(state, round, job);
    else round.allotmentLimited.push(job);
  }
  return round;
}

function addBlocked(
  state: SchedulerState,
  round: PlacementRound,
  job: JobRecord,
): void {
  job.blockedSinceMs ??= state.nowMs;
  round.blocked.push(job);
}

/** Lists the waiting jobs of the same queue; a round examines only the first. */
function listPeers(job: JobRecord, limit: number): JobRecord[] {
  const { queue } = job;
  if (queue === undefined) return [job];
  const peers: JobRecord[] = [];
  for (const peer of queue.jobs.list()) {
    if (peers.length >= limit) break;
    if (peer.queue !== queue || !isWaiting(peer)) continue;
    if (peer.plans < peer.waiting.length) peers.push(peer);
  }
  return peers;
}

function planUrgent(
  state: SchedulerState,
  round: PlacementRound,
  preemption: Preemption,
  entitlements: Entitlements,
): void {
  let left = MAX_PLANS_PER_STEP;
  const urgent = round.blocked.filter(({ spec }) =>
    spec.urgent && spec.policy !== "gang"
  );
  for (const peer of urgent.flatMap((job) => listPeers(job, left))) {
    while (left > 0 && peer.plans < peer.waiting.length) {
      left--;
      if (!preemption.plan(peer, "urgent", entitlements)) break;
    }
  }
  for (const job of round.allotmentLimited) {
    const { workspace, spec } = job;
    if (!spec.urgent || !workspace.isKnown) continue;
    releaseAllotment(state, workspace, job.size);
  }
}

function planReclaim(
  state: SchedulerState,
  round: PlacementRound,
  preemption: Preemption,
  entitlements: Entitlements,
): void {
  const { nowMs, options } = state;
  const starved = new Set(round.blocked.map((job) => job.workspace));
  for (const workspace of state.workspaces.values()) {
    if (!starved.has(workspace)) workspace.starvedSinceMs = undefined;
  }
  let left = MAX_RECLAIM_PLANS_PER_STEP;
  for (const job of round.blocked) {
    const { workspace, spec } = job;
    if (isOverShare(state, workspace, entitlements)) continue;
    if (!preemption.isBelowShare(job, entitlements)) continue;
    workspace.starvedSinceMs ??= nowMs;
    if (spec.urgent || spec.policy === "gang") continue;
    if (nowMs - workspace.starvedSinceMs < options.reclaimAfterMs) continue;
    if (nowMs < workspace.nextReclaimMs) continue;
    for (const peer of listPeers(job, left)) {
      const isAllowed = left > 0 && preemption.isReclaimAllowed() &&
        preemption.isBelowShare(peer, entitlements);
      if (!isAllowed) break;
      left--;
      if (preemption.plan(peer, "reclaim", entitlements)) continue;
      workspace.nextReclaimMs = nowMs + RECLAIM_RETRY_MS;
      break;
    }
  }
}

/** Places waiting tasks, then plans preemption for jobs that could not be placed. */
export function runPlacements(
  state: SchedulerState,
  reservations: Reservations,
  preemption: Preemption,
): void {
  if (state.isPlacementSuspended) {
    // Plans and reservations keep ending tasks to make room for others.
    preemption.closePlans();
    reservations.close();
    preemption.step();
    return;
  }
  preemption.step();
  reservations.step();
  const round = runRound(state, reservations);
  reservations.propose(round.blocked);
  const entitlements = computeEntitlements(state);
  planUrgent(state, round, preemption, entitlements);
  planReclaim(state, round, preemption, entitlements);
}
