/**
 * Preemption plans. A plan reserves one worker for one waiting task while the
 * victims end. For urgent work, victims are checkpointed at once, throttled
 * after 1.05 s and stopped after 1.6 s. Borrowed resources are reclaimed more
 * slowly.
 */

import {
  addResources,
  fitsWithin,
  NO_RESOURCES,
  RESOURCE_NAMES,
  type Resources,
  subtractResources,
} from "../common/mod.ts";
import { isWaiting } from "./job_queues.ts";
import {
  assignTask,
  sendGracefulStop,
  sendStop,
  sendThrottle,
} from "./lifecycle.ts";
import { computeFreeResources } from "./placement.ts";
import type {
  JobRecord,
  TaskRecord,
  WorkerRecord,
  WorkspaceRecord,
} from "./records.ts";
import {
  addCommitted,
  isUsable,
  type SchedulerState,
  updateAccepting,
} from "./state.ts";
import { getShareFunction } from "./shares.ts";
import {
  compareVictims,
  computeVictim,
  type Entitlements,
  isEnding,
  isOverShare,
  sendGracefulStopToGang,
  type Victim,
} from "./victims.ts";

/** The purpose of a plan: to start urgent work, or to reclaim borrowed resources. */
export type PlanKind = "urgent" | "reclaim";

interface Plan {
  readonly kind: PlanKind;
  readonly job: JobRecord;
  readonly worker: WorkerRecord;
  readonly victims: readonly TaskRecord[];
  /** The size of the task when the plan was made. */
  readonly size: Resources;
  readonly untilMs: number;
}

/** Creates and executes preemption plans. */
export interface Preemption {
  /** Opens a plan for one more task of the job; returns false if no sampled worker is suitable. */
  plan(job: JobRecord, kind: PlanKind, entitlements: Entitlements): boolean;
  /** Escalates commands without effect, places tasks where plans have freed capacity, and ends throttling. */
  step(): void;
  /** Returns whether the workspace stays within its share with one more task of the job, including open plans. */
  isBelowShare(job: JobRecord, entitlements: Entitlements): boolean;
  /** Returns whether another plan to reclaim borrowed resources may be opened. */
  isReclaimAllowed(): boolean;
  /** Closes all plans. Commands that were sent to victims stay in effect. */
  closePlans(): void;
}

const SAMPLED_WORKERS = 64;
// Just over one report interval, enough for a fast checkpoint to be reported.
const THROTTLE_AFTER_MS = 1_050;
// Leaves time for a report interval of 1 s and the start within the 3 s limit of urgent work.
const URGENT_GRACE_MS = 1_600;
const RECLAIM_GRACE_MS = 10_000;
// Throttled tasks keep half of their processors, so that services still respond.
const THROTTLED_FRACTION = 0.5;
// A plan fails if it frees too little within the grace period, a lease and a report.
const PLAN_TIMEOUT_MS = 22_000;
const MAX_UNTHROTTLED_PER_STEP = 100;

function computeShortage(size: Resources, free: Resources): Resources {
  return {
    processors: Math.max(0, size.processors - free.processors),
    memoryMb: Math.max(0, size.memoryMb - free.memoryMb),
    accelerators: Math.max(0, size.accelerators - free.accelerators),
  };
}

function isCovered(shortage: Resources): boolean {
  return RESOURCE_NAMES.every((name) => shortage[name] <= 0);
}

function isReducedBy(shortage: Resources, held: Resources): boolean {
  return RESOURCE_NAMES.some((name) => shortage[name] > 0 && held[name] > 0);
}

/** Picks victims in order until the shortage is covered, then drops the ones that are not needed. */
function pickVictims(
  victims: readonly Victim[],
  shortage: Resources,
): Victim[] | undefined {
  const picked: Victim[] = [];
  let left = shortage;
  for (const victim of victims) {
    if (isCovered(left)) break;
    if (!isReducedBy(left, victim.task.held)) continue;
    picked.push(victim);
    left = subtractResources(left, victim.task.held);
  }
  if (!isCovered(left)) return undefined;
  return picked.reverse().filter((victim) => {
    const without = addResources(left, victim.task.held);
    if (!isCovered(without)) return true;
    left = without;
    return false;
  });
}

/** Creates the preemption module of a scheduler. */
export function createPreemption(state: SchedulerState): Preemption {
  const plans = new Set<Plan>();
  const planByWorker = new Map<WorkerRecord, Plan>();
  // Resources that victims of open plans still hold, by workspace.
  const leaving = new Map<WorkspaceRecord, Resources>();
  // Resources requested by open plans, by workspace.
  const planned = new Map<WorkspaceRecord, Resources>();
  let reclaimPlans = 0;

  function openPlan(plan: Plan): void {
    const { job, worker, kind } = plan;
    plans.add(plan);
    planByWorker.set(worker, plan);
    job.plans++;
    if (kind === "reclaim") reclaimPlans++;
    const sum = planned.get(job.workspace) ?? NO_RESOURCES;
    planned.set(job.workspace, addResources(sum, plan.size));
    worker.isReserved = true;
    updateAccepting(state, worker);
  }

  function closePlan(plan: Plan): void {
    plans.delete(plan);
    planByWorker.delete(plan.worker);
    plan.job.plans--;
    if (plan.kind === "reclaim") reclaimPlans--;
    const sum = planned.get(plan.job.workspace) ?? NO_RESOURCES;
    planned.set(plan.job.workspace, subtractResources(sum, plan.size));
    plan.worker.isReserved = false;
    updateAccepting(state, plan.worker);
  }

  function listSampledWorkers(): WorkerRecord[] {
    const { fleet } = state;
    if (fleet.length <= SAMPLED_WORKERS) return fleet;
    const sample: WorkerRecord[] = [];
    for (let count = 0; count < SAMPLED_WORKERS; count++) {
      sample.push(fleet[state.options.random.nextInt(fleet.length)]!);
    }
    return sample;
  }

  function updateLeaving(): void {
    leaving.clear();
    for (const plan of plans) {
      for (const task of plan.victims) {
        if (task.worker === undefined) continue;
        const { workspace } = task.job;
        const sum = leaving.get(workspace) ?? NO_RESOURCES;
        leaving.set(workspace, addResources(sum, task.held));
      }
    }
  }

  /** Returns whether the workspace stays at or above its share without the task. */
  function isBorrowed(task: TaskRecord, entitlements: Entitlements): boolean {
    const { workspace } = task.job;
    if (!isOverShare(state, workspace, entitlements)) return false;
    const computeShare = getShareFunction(state.options.shareRule);
    const kept = subtractResources(
      subtractResources(
        workspace.committed,
        leaving.get(workspace) ?? NO_RESOURCES,
      ),
      task.held,
    );
    const share = computeShare(kept, state.capacity) / workspace.weight;
    return share >= entitlements.weightedShare;
  }

  function listVictims(
    worker: WorkerRecord,
    job: JobRecord,
    kind: PlanKind,
    entitlements: Entitlements,
  ): Victim[] {
    const victims: Victim[] = [];
    for (const task of worker.tasks) {
      const { spec, workspace } = task.job;
      if (spec.urgent || isEnding(task) || task.stage === "proposed") continue;
      if (task.state === "lost" || task.isRestored) continue;
      if (kind === "reclaim") {
        if (spec.policy !== "batch" || workspace === job.workspace) continue;
        if (!isBorrowed(task, entitlements)) continue;
      }
      victims.push(computeVictim(state, task, entitlements));
    }
    return victims.sort(compareVictims);
  }

  function findVictims(
    worker: WorkerRecord,
    job: JobRecord,
    kind: PlanKind,
    entitlements: Entitlements,
  ): Victim[] | undefined {
    if (!fitsWithin(job.size, worker.placerWorker.capacity)) return undefined;
    let free = computeFreeResources(worker.placerWorker);
    for (const task of worker.tasks) {
      if (isEnding(task)) free = addResources(free, task.held);
    }
    const shortage = computeShortage(job.size, free);
    if (isCovered(shortage)) return [];
    return pickVictims(
      listVictims(worker, job, kind, entitlements),
      shortage,
    );
  }

  function sendPreemption(plan: Plan, task: TaskRecord): void {
    const { attempt } = task;
    if (plan.kind === "reclaim") {
      sendGracefulStop(state, task, "share", RECLAIM_GRACE_MS);
      return;
    }
    const throttled = { task, attempt, kind: "throttle" as const };
    const stopped = { task, attempt, kind: "stop" as const };
    if (task.job.spec.policy !== "service") {
      sendGracefulStopToGang(state, task, {
        reason: "urgentWork",
        graceMs: URGENT_GRACE_MS,
      });
      state.escalations.add(state.nowMs + THROTTLE_AFTER_MS, throttled);
      return;
    }
    sendPreemptionThrottle(task);
    state.escalations.add(state.nowMs + URGENT_GRACE_MS, stopped);
  }

  function sendPreemptionThrottle(task: TaskRecord): void {
    const processors = Math.floor(
      task.job.size.processors * THROTTLED_FRACTION,
    );
    if (processors >= task.held.processors || processors === 0) return;
    sendThrottle(state, task, processors, "urgentWork");
    state.throttled.add(task);
  }

  /** Sends the next command to tasks on which the previous one has had no effect in time. */
  function runEscalations(): void {
    for (const due of state.escalations.takeDue(state.nowMs)) {
      const { task, attempt, kind } = due;
      if (task.worker === undefined || task.attempt !== attempt) continue;
      const plan = planByWorker.get(task.worker);
      const isVictim = plan !== undefined && plan.victims.includes(task);
      if (kind === "throttle") {
        if (isVictim) sendPreemptionThrottle(task);
      } else if (isVictim || isEnding(task)) {
        sendEscalatedStop(task);
      }
    }
  }

  function sendEscalatedStop(task: TaskRecord): void {
    const reason = task.intervention?.reason ?? "urgentWork";
    if (task.intervention?.kind === "checkpoint") task.intervention = undefined;
    sendStop(state, task, reason);
  }

  function stepPlan(plan: Plan): void {
    const { job, worker } = plan;
    const isLate = state.nowMs >= plan.untilMs;
    if (isLate || !isWaiting(job) || !isUsable(worker)) return closePlan(plan);
    const wanted = addResources(job.workspace.committed, job.size);
    if (!fitsWithin(wanted, job.workspace.allotment)) return closePlan(plan);
    if (!state.placer.commit(worker.placerWorker, job.size)) {
      const isIneffective = plan.victims.every((task) =>
        task.worker !== worker || !isEnding(task) && !state.throttled.has(task)
      );
      if (isIneffective && ![...worker.tasks].some(isEnding)) closePlan(plan);
      return;
    }
    assignTask(state, job.waiting.pop()!, worker);
    closePlan(plan);
  }

  /** Restores the processors of tasks that were throttled for urgent work. */
  function endThrottling(): void {
    let left = MAX_UNTHROTTLED_PER_STEP;
    for (const task of state.throttled) {
      if (left-- <= 0) return;
      const { worker, job } = task;
      if (worker === undefined) {
        state.throttled.delete(task);
        continue;
      }
      if (planByWorker.has(worker) || isEnding(task)) continue;
      const { size, workspace } = job;
      const missing = {
        ...NO_RESOURCES,
        processors: size.processors - task.held.processors,
      };
      const wanted = addResources(workspace.committed, missing);
      if (!fitsWithin(wanted, workspace.allotment)) continue;
      if (!state.placer.commit(worker.placerWorker, missing)) continue;
      addCommitted(state, workspace, missing);
      task.held = addResources(task.held, missing);
      // Without a requested limit, a delayed report of the old limit does not lower the committed resources.
      sendThrottle(state, task, undefined, "urgentWork");
      state.throttled.delete(task);
    }
  }

  return {
    plan(job, kind, entitlements) {
      if (kind === "reclaim") updateLeaving();
      let best: { worker: WorkerRecord; victims: Victim[] } | undefined;
      let bestRank = Infinity;
      let bestLoss = Infinity;
      for (const worker of listSampledWorkers()) {
        if (worker.isReserved || !isUsable(worker)) continue;
        const victims = findVictims(worker, job, kind, entitlements);
        if (victims === undefined) continue;
        const rank = Math.max(-1, ...victims.map((victim) => victim.rank));
        const loss = victims.reduce((sum, victim) => sum + victim.loss, 0);
        const isBetter = rank < bestRank ||
          (rank === bestRank && loss < bestLoss);
        if (!isBetter) continue;
        best = { worker, victims };
        bestRank = rank;
        bestLoss = loss;
      }
      if (best === undefined) return false;
      const plan: Plan = {
        kind,
        job,
        worker: best.worker,
        victims: best.victims.map((victim) => victim.task),
        size: job.size,
        untilMs: state.nowMs + PLAN_TIMEOUT_MS,
      };
      openPlan(plan);
      for (const task of plan.victims) sendPreemption(plan, task);
      return true;
    },
    step() {
      runEscalations();
      for (const plan of [...plans]) stepPlan(plan);
      endThrottling();
    },
    closePlans() {
      for (const plan of [...plans]) closePlan(plan);
    },
    isBelowShare(job, entitlements) {
      const { workspace } = job;
      const computeShare = getShareFunction(state.options.shareRule);
      const wanted = addResources(
        addResources(workspace.committed, job.size),
        planned.get(workspace) ?? NO_RESOURCES,
      );
      const share = computeShare(wanted, state.capacity) / workspace.weight;
      return share <= entitlements.weightedShare;
    },
    isReclaimAllowed: () =>
      reclaimPlans < Math.max(2, Math.ceil(state.fleet.length / 20)),
  };
}
