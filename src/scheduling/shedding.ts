/** Ends tasks of a workspace that exceeds its allotment, or whose own urgent work needs the allotment. */

import {
  addResources,
  fitsWithin,
  NO_RESOURCES,
  RESOURCE_NAMES,
  type Resources,
  subtractResources,
} from "../common/mod.ts";
import type { TaskRecord, WorkspaceRecord } from "./records.ts";
import type { SchedulerState } from "./state.ts";
import type { InterventionReason } from "./types.ts";
import {
  compareVictims,
  computeEntitlements,
  computeVictim,
  isEnding,
  sendGracefulStopToGang,
} from "./victims.ts";

const ALLOTMENT_GRACE_MS = 2_000;
// Leaves time for the stop, its report and the start within the 3 s limit of urgent work.
const URGENT_GRACE_MS = 1_500;

function hasPositiveAmount(amount: Resources): boolean {
  return RESOURCE_NAMES.some((name) => amount[name] > 0);
}

function hasOverlap(held: Resources, excess: Resources): boolean {
  return RESOURCE_NAMES.some((name) => held[name] > 0 && excess[name] > 0);
}

function computeEndingResources(workspace: WorkspaceRecord): Resources {
  let ending = NO_RESOURCES;
  for (const task of workspace.placed) {
    if (isEnding(task)) ending = addResources(ending, task.held);
  }
  return ending;
}

function listVictims(
  state: SchedulerState,
  workspace: WorkspaceRecord,
  withUrgent: boolean,
) {
  const entitlements = computeEntitlements(state);
  const tasks: TaskRecord[] = [];
  for (const task of workspace.placed) {
    if (isEnding(task)) continue;
    if (task.job.spec.urgent && !withUrgent) continue;
    tasks.push(task);
  }
  return tasks.map((task) => {
    const victim = computeVictim(state, task, entitlements);
    // Urgent tasks are the last victims.
    return task.job.spec.urgent
      ? { ...victim, rank: victim.rank + 100 }
      : victim;
  }).sort(compareVictims);
}

function endTasks(
  state: SchedulerState,
  workspace: WorkspaceRecord,
  options: {
    excess: Resources;
    reason: InterventionReason;
    graceMs: number;
    withUrgent: boolean;
  },
): void {
  let excess = subtractResources(
    options.excess,
    computeEndingResources(workspace),
  );
  if (!hasPositiveAmount(excess)) return;
  for (const { task } of listVictims(state, workspace, options.withUrgent)) {
    if (!hasPositiveAmount(excess)) return;
    if (task.worker === undefined || isEnding(task)) continue;
    if (!hasOverlap(task.held, excess)) continue;
    const peers = task.job.spec.policy === "gang"
      ? task.job.tasks.filter((peer) => peer.worker !== undefined)
      : [task];
    for (const peer of peers) {
      excess = subtractResources(excess, peer.held);
    }
    sendGracefulStopToGang(state, task, options);
  }
}

/** Sheds work of workspaces that hold more than their allotment, such as after it has shrunk. */
export function checkAllotments(state: SchedulerState): void {
  for (const workspace of state.workspaces.values()) {
    if (!workspace.isOverAllotment) continue;
    if (fitsWithin(workspace.committed, workspace.allotment)) {
      workspace.isOverAllotment = false;
      continue;
    }
    // Holding nothing of a resource is within limits even if its allotment is negative.
    const excess = subtractResources(workspace.committed, workspace.allotment);
    endTasks(state, workspace, {
      excess: {
        processors: Math.min(excess.processors, workspace.committed.processors),
        memoryMb: Math.min(excess.memoryMb, workspace.committed.memoryMb),
        accelerators: Math.min(
          excess.accelerators,
          workspace.committed.accelerators,
        ),
      },
      reason: "allotment",
      graceMs: ALLOTMENT_GRACE_MS,
      withUrgent: true,
    });
  }
}

/** Ends tasks of the workspace so that one of its urgent tasks fits its allotment. */
export function releaseAllotment(
  state: SchedulerState,
  workspace: WorkspaceRecord,
  size: Resources,
): void {
  const wanted = addResources(workspace.committed, size);
  endTasks(state, workspace, {
    excess: subtractResources(wanted, workspace.allotment),
    reason: "urgentWork",
    graceMs: URGENT_GRACE_MS,
    withUrgent: false,
  });
}
