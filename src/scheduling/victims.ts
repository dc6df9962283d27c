/** Which tasks make room for others: those that lose least, from workspaces over their share first. */

import { PROCESSOR_UNITS_PER_CORE, type Resources } from "../common/mod.ts";
import { sendGracefulStop } from "./lifecycle.ts";
import type { TaskRecord, WorkspaceRecord } from "./records.ts";
import { computeWeightedShare, type SchedulerState } from "./state.ts";
import type { InterventionReason } from "./types.ts";

// An accelerator's time is weighed like that of several cores.
const CORES_PER_ACCELERATOR = 8;

/** Shares of the workspaces that want something at the moment. */
export interface Entitlements {
  /** The weighted share of every active workspace when the cell is divided by weight. */
  readonly weightedShare: number;
}

/** Computes the entitlement over workspaces that hold or want resources. */
export function computeEntitlements(state: SchedulerState): Entitlements {
  let weights = 0;
  for (const workspace of state.workspaces.values()) {
    if (workspace.queuedTasks > 0 || workspace.placed.size > 0) {
      weights += workspace.weight;
    }
  }
  return { weightedShare: weights === 0 ? 1 : 1 / weights };
}

/** Tells whether the workspace holds more than its share. */
export function isOverShare(
  state: SchedulerState,
  workspace: WorkspaceRecord,
  entitlements: Entitlements,
): boolean {
  return computeWeightedShare(state, workspace) > entitlements.weightedShare;
}

function computeCores(amount: Resources): number {
  return amount.processors / PROCESSOR_UNITS_PER_CORE +
    CORES_PER_ACCELERATOR * amount.accelerators;
}

/** Core milliseconds that are lost when the task is stopped without a checkpoint. */
export function computeLoss(state: SchedulerState, task: TaskRecord): number {
  const ranMs = task.state === "running" ? state.nowMs - task.startedMs : 0;
  const affected = task.job.spec.policy === "gang" ? task.job.placed : 1;
  return ranMs * computeCores(task.held) * affected;
}

const POLICY_RANKS = Object.freeze({ batch: 0, gang: 1, service: 4 });
const UNDER_SHARE_RANK = 2;

/** A task that may be preempted, and how it compares to others; lower goes first. */
export interface Victim {
  readonly task: TaskRecord;
  /** Policy and share; it decides before the loss. */
  readonly rank: number;
  readonly loss: number;
}

/** Weighs one task as a victim. */
export function computeVictim(
  state: SchedulerState,
  task: TaskRecord,
  entitlements: Entitlements,
): Victim {
  const isOver = isOverShare(state, task.job.workspace, entitlements);
  const rank = POLICY_RANKS[task.job.spec.policy] +
    (isOver ? 0 : UNDER_SHARE_RANK);
  return { task, rank, loss: computeLoss(state, task) };
}

/** Orders victims, least rank and loss first. */
export function compareVictims(a: Victim, b: Victim): number {
  return a.rank - b.rank || a.loss - b.loss;
}

/** Tells whether the task is on its way out already. */
export function isEnding(task: TaskRecord): boolean {
  const kind = task.intervention?.kind;
  return kind === "stop" || kind === "checkpoint";
}

/** Ends a task, or all tasks of its gang, with a checkpoint where that is possible. */
export function sendGracefulStopToGang(
  state: SchedulerState,
  task: TaskRecord,
  options: { reason: InterventionReason; graceMs: number },
): void {
  const { reason, graceMs } = options;
  if (task.job.spec.policy !== "gang") {
    return sendGracefulStop(state, task, reason, graceMs);
  }
  for (const peer of task.job.tasks) {
    sendGracefulStop(state, peer, reason, graceMs);
  }
}
