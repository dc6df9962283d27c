/**
 * The estimate of the time that a new request would wait. It treats slot time
 * as a fluid: until the new request's turn, every workspace that competes for the
 * same endpoints is served up to its weighted part, or up to its backlog when
 * that is less. Work that arrives later is not foreseen, so the estimate errs
 * towards admission; a request admitted too early is refused at its deadline.
 */

import type { QueuePool } from "./fair_queue_types.ts";
import type { WorkspaceState } from "./fair_queue_workspace.ts";
import type { WorkspacePolicy } from "./types.ts";

/** What the estimate is computed from. */
export interface WaitInput<T> {
  readonly workspace: WorkspaceState<T>;
  readonly workspaces: Iterable<WorkspaceState<T>>;
  readonly pool: QueuePool;
  readonly virtualTime: number;
  /** The policy of the workspace itself; the weights of others are kept in their state. */
  readonly policy: WorkspacePolicy;
  /** True when every queued request competes for the pool, as with shared endpoints. */
  readonly isShared: boolean;
}

function getBacklogMs<T>(
  workspace: WorkspaceState<T>,
  input: WaitInput<T>,
): number {
  const { pool, isShared } = input;
  // Spares a look into each workspace's queues, which shows with 890 workspaces.
  if (isShared) return workspace.queued * workspace.durationMs;
  let count = 0;
  for (const [queue, queued] of workspace.queuedByQueue) {
    if (pool.queues.has(queue)) count += queued;
  }
  return count * workspace.durationMs;
}

/** Returns the estimated wait in milliseconds, `Infinity` when no slot exists. */
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
  // All slots are busy: the first becomes free after about one part of a request.
  const sharedWaitMs = (aheadMs + workspace.durationMs) / pool.slots;
  return Math.max(sharedWaitMs, estimateLimitWait(workspace, policy));
}

/** The wait that the workspace's own slot limit imposes. */
function estimateLimitWait<T>(
  workspace: WorkspaceState<T>,
  policy: WorkspacePolicy,
): number {
  const excess = workspace.running + workspace.queued + 1 - policy.slotLimit;
  if (excess <= 0) return 0;
  // With no allotment the wait cannot be told: more may be transferred at any time.
  if (policy.slotLimit <= 0) return 0;
  return excess * workspace.durationMs / policy.slotLimit;
}
