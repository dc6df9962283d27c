/**
 * Estimates the queueing time of a new request with a fluid model of slot time.
 * Until the turn of the new request, each workspace that competes for the same
 * endpoints receives its weighted share, or its backlog if that is smaller. Work
 * that arrives later is ignored, so the estimate errs towards admission; a
 * request that was wrongly admitted is rejected before its deadline.
 */

import type { QueuePool } from "./fair_queue_types.ts";
import type { WorkspaceState } from "./fair_queue_workspace.ts";
import type { WorkspacePolicy } from "./types.ts";

/** Input of the estimate. */
export interface WaitInput<T> {
  readonly workspace: WorkspaceState<T>;
  readonly workspaces: Iterable<WorkspaceState<T>>;
  readonly pool: QueuePool;
  readonly virtualTime: number;
  /** Policy of `workspace`; the weights of the others are part of their state. */
  readonly policy: WorkspacePolicy;
  /** True if all queued requests compete for the pool. */
  readonly isShared: boolean;
}

function getBacklogMs<T>(
  workspace: WorkspaceState<T>,
  input: WaitInput<T>,
): number {
  const { pool, isShared } = input;
  // Skip the count by queue; its cost is noticeable with 890 workspaces.
  if (isShared) return workspace.queued * workspace.durationMs;
  let count = 0;
  for (const [queue, queued] of workspace.queuedByQueue) {
    if (pool.queues.has(queue)) count += queued;
  }
  return count * workspace.durationMs;
}

/** Returns the estimated wait in milliseconds, `Infinity` if the pool has no slots. */
export function estimateWait<T>(input: WaitInput<T>): number {
  const { workspace, pool, virtualTime, policy } = input;
  if (pool.slots <= 0) return Infinity;
  const ownBacklogMs = getBacklogMs(workspace, input);
  const turn = Math.max(0, workspace.startTag - virtualTime) +
    ownBacklogMs / policy.weight;
  let aheadMs = ownBacklogMs;
  for (const other of input.workspaces) {
    if (other.queued === 0 || other.name === workspace.name) continue;
    const lead = turn - Math.max(0, other.startTag - virtualTime);
    if (lead <= 0) continue;
    aheadMs += Math.min(lead * other.weight, getBacklogMs(other, input));
  }
  // With all slots busy, the first becomes free after about duration / slots.
  const sharedWaitMs = (aheadMs + workspace.durationMs) / pool.slots;
  return Math.max(sharedWaitMs, estimateLimitWait(workspace, policy));
}

/** Estimates the wait caused by the slot limit of the workspace. */
function estimateLimitWait<T>(
  workspace: WorkspaceState<T>,
  policy: WorkspacePolicy,
): number {
  const excess = workspace.running + workspace.queued + 1 - policy.slotLimit;
  if (excess <= 0) return 0;
  // Without an allotment the wait is unknown: slots may be transferred at any time.
  if (policy.slotLimit <= 0) return 0;
  return excess * workspace.durationMs / policy.slotLimit;
}
