/** Ranks tasks for preemption: by policy and by whether the workspace is over its share, then by the least lost work. */

import { PROCESSOR_UNITS_PER_CORE, type Resources } from "../common/mod.ts";
import { sendGracefulStop } from "./lifecycle.ts";
import type { TaskRecord, WorkspaceRecord } from "./records.ts";
import { computeWeightedShare, type SchedulerState } from "./state.ts";
import type { InterventionReason } from "./types.ts";

// The time of an accelerator counts as the time of several cores.
const CORES_PER_ACCELERATOR = 8;

/** The share to which each active workspace is entitled. */
export interface Entitlements {
  /** The weighted share of every active workspace if the cell is divided by weight. */
  readonly weightedShare: number;
}

/** Computes the entitlement over the active workspaces, which hold or request resources. */
export function computeEntitlements(state: SchedulerState): Entitlements {
  let weights = 0;
  for (const workspace of state.workspaces.values()) {
    if (workspace.queuedTasks > 0 || workspace.placed.size > 0) {
      weights += workspace.weight;
    }
  }
  return { weightedShare: weights === 0 ? 1 : 1 / weights };
}

/** Returns whether the workspace holds more than its share. */
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

/** Returns the core milliseconds lost if the task is stopped without a checkpoint. */
export function computeLoss(state: SchedulerState, task: TaskRecord): number {
  const ranMs = task.state === "running" ? state.nowMs - task.startedMs : 0;
  const affected = task.job.spec.policy === "gang" ? task.job.placed : 1;
  return ranMs * computeCores(task.held) * affected;
}

const POLICY_RANKS = Object.freeze({ batch: 0, gang: 1, service: 4 });
const UNDER_SHARE_RANK = 2;

/** A task that may be preempted. The lowest rank goes first, then the lowest loss. */
export interface Victim {
  readonly task: TaskRecord;
  /** Depends on the policy and on whether the workspace is over its share. */
  readonly rank: number;
  /** Lost work in core milliseconds. */
  readonly loss: number;
}

/** Computes the rank and loss of one task. */
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

/** Compares victims by rank, then by loss. */
export function compareVictims(a: Victim, b: Victim): number {
  return a.rank - b.rank || a.loss - b.loss;
}

/** Returns whether the task is already being stopped or checkpointed. */
export function isEnding(task: TaskRecord): boolean {
  const kind = task.intervention?.kind;
  return kind === "stop" || kind === "checkpoint";
}

/** Ends a task, or all tasks of its gang, with a checkpoint if possible. */
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
