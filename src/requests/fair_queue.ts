/**
 * A bounded queue with weighted fairness between workspaces, using start-time
 * fair queueing over slot time.
 *
 * Each workspace has a virtual start tag. The eligible workspace with the lowest
 * tag is served next, and its tag increases by cost / weight. The cost is the
 * time a slot is held, estimated when the request is taken and corrected when
 * the slot is released. Virtual time is the tag of the last request taken. A
 * workspace that becomes active starts at virtual time, so it neither saves
 * credit while idle nor waits for the backlog of others.
 *
 * Deficit round robin does not fit: it needs the cost in advance, while here it
 * is known only at release, and a returning workspace waits for a whole round.
 * Weighted fair queueing by finish tags has the same problem: a wrong estimate
 * affects the order before it can be corrected.
 */

import { createFault } from "../common/mod.ts";
import { createExpiryQueue, type ExpiryEntry } from "./expiry_queue.ts";
import type {
  AddOptions,
  FairQueue,
  FairQueueOptions,
  QueueEntry,
  QueueItem,
  QueuePool,
} from "./fair_queue_types.ts";
import { estimateWait } from "./fair_queue_wait.ts";
import {
  addToLane,
  createWorkspace,
  type EntryState,
  pickYoungest,
  removeFromLane,
  type WorkspaceState,
} from "./fair_queue_workspace.ts";

const DEFAULT_MAX_QUEUED = 10_000;
const DEFAULT_MAX_QUEUED_PER_WORKSPACE = 2_000;
const DEFAULT_DURATION_MS = 100;

/** Weight of a new sample in the moving average of the slot time. */
const DURATION_SAMPLE_WEIGHT = 0.1;

/** Number of mean deviations added to the mean slot time; 2 covers a uniform distribution fully. */
const DEVIATION_FACTOR = 2;

/** Safety factor for the estimated wait, which ignores work that arrives later. */
const WAIT_MARGIN = 1.1;

/** Maximum number of idle workspaces whose history is kept. */
const MAX_IDLE_WORKSPACES = 4_096;

/** Creates an empty fair queue. */
export function createFairQueue<T>(
  options: FairQueueOptions<T>,
): FairQueue<T> {
  const { clock, getPolicy, getPool, onReject } = options;
  const maxQueued = options.maxQueued ?? DEFAULT_MAX_QUEUED;
  const maxQueuedPerWorkspace = options.maxQueuedPerWorkspace ??
    DEFAULT_MAX_QUEUED_PER_WORKSPACE;
  const defaultDurationMs = options.defaultDurationMs ?? DEFAULT_DURATION_MS;
  const workspaces = new Map<string, WorkspaceState<T>>();
  // Workspaces with queued requests; `take` removes those at their slot limit.
  const eligible = new Set<WorkspaceState<T>>();
  const deadlines = createExpiryQueue<EntryState<T>>({
    clock,
    onExpire: handleDeadline,
  });
  const countByQueue = new Map<string, number>();
  let virtualTime = 0;
  let nextOrder = 0;
  // Mean over all workspaces; initial estimate for a workspace without history.
  let meanDurationMs = defaultDurationMs;
  let queuedCount = 0;
  let runningCount = 0;
  let maxTag = 0;
  let isStopped = false;

  function createNewWorkspace(name: string): WorkspaceState<T> {
    return createWorkspace(name, virtualTime, meanDurationMs);
  }

  function getWorkspace(name: string): WorkspaceState<T> {
    let workspace = workspaces.get(name);
    if (workspace === undefined) {
      workspace = createNewWorkspace(name);
      workspaces.set(name, workspace);
    }
    return workspace;
  }

  /**
   * Estimates the slot time of a request from mean and deviation, like a TCP
   * retransmission timeout.
   */
  function estimateSlotTime(
    workspace: WorkspaceState<T>,
    remainingMs: number,
  ): number {
    const neededMs = workspace.durationMs +
      DEVIATION_FACTOR * workspace.deviationMs;
    // The limit keeps a wrong estimate from blocking a workspace permanently.
    return Math.min(neededMs, remainingMs / 2);
  }

  function setEligible(workspace: WorkspaceState<T>): void {
    if (workspace.queued === 0 || eligible.has(workspace)) return;
    // A workspace earns no credit while it has no requests or is at its limit.
    // Otherwise it would starve the others on its return.
    workspace.startTag = Math.max(workspace.startTag, virtualTime);
    eligible.add(workspace);
  }

  function handleIdle(): void {
    if (queuedCount > 0 || runningCount > 0) return;
    // Reset credits and debts when the queue is idle. Otherwise a long request
    // run without competition would delay its workspace hours later.
    virtualTime = Math.max(virtualTime, maxTag);
    if (workspaces.size > MAX_IDLE_WORKSPACES) workspaces.clear();
  }

  function setStartTag(workspace: WorkspaceState<T>, tag: number): void {
    workspace.startTag = tag;
    maxTag = Math.max(maxTag, tag);
  }

  function addQueueCount(queue: string, change: number): void {
    const count = (countByQueue.get(queue) ?? 0) + change;
    if (count === 0) countByQueue.delete(queue);
    else countByQueue.set(queue, count);
  }

  function isShared(pool: QueuePool): boolean {
    for (const queue of countByQueue.keys()) {
      if (!pool.queues.has(queue)) return false;
    }
    return true;
  }

  function removeQueued(entry: EntryState<T>): void {
    const workspace = entry.workspace;
    removeFromLane(entry);
    addQueueCount(entry.item.queue, -1);
    entry.isQueued = false;
    queuedCount -= 1;
    if (entry.expiry !== undefined) deadlines.remove(entry.expiry);
    if (workspace.queued === 0) eligible.delete(workspace);
  }

  function handleDeadline(entry: EntryState<T>): void {
    removeQueued(entry);
    const { workspace, queue, value } = entry.item;
    onReject(
      value,
      createFault(
        "overloaded",
        `Cannot answer the request of workspace "${workspace}" on queue "${queue}" in time: it was queued for too long`,
      ),
    );
  }

  function checkDeadline(item: QueueItem<T>, options: AddOptions): void {
    const remainingMs = item.deadlineMs - clock.now();
    if (remainingMs <= 0) {
      throw createFault(
        "deadlineExceeded",
        `Cannot queue the request of workspace "${item.workspace}": its deadline has passed`,
        { ran: "no" },
      );
    }
    const own = workspaces.get(item.workspace) ??
      createNewWorkspace(item.workspace);
    const neededMs =
      WAIT_MARGIN * estimateQueueWait(item.workspace, item.queue) +
      estimateSlotTime(own, remainingMs);
    if (neededMs <= remainingMs) return;
    // Never reject a request that can start immediately. Otherwise a workspace
    // whose estimate is too high could never correct it.
    const used = own.running + own.queued;
    const isBelowLimit = used < getPolicy(item.workspace).slotLimit;
    if (isBelowLimit && options.canStartNow?.() === true) return;
    throw createFault(
      "overloaded",
      `Cannot answer the request of workspace "${item.workspace}" in time: ` +
        `${Math.ceil(neededMs)} ms needed, ${
          Math.floor(remainingMs)
        } ms remain`,
    );
  }

  /**
   * Rejects the newest request of the workspace with the most queued requests
   * relative to its weight.
   */
  function rejectFromLongest(item: QueueItem<T>): void {
    let longest: WorkspaceState<T> | undefined;
    let longestLoad = 0;
    for (const workspace of workspaces.values()) {
      const load = workspace.queued / getPolicy(workspace.name).weight;
      if (load > longestLoad) {
        longest = workspace;
        longestLoad = load;
      }
    }
    const ownLoad = ((workspaces.get(item.workspace)?.queued ?? 0) + 1) /
      getPolicy(item.workspace).weight;
    const youngest = longest === undefined ? undefined : pickYoungest(longest);
    if (youngest === undefined || ownLoad >= longestLoad) {
      throw createFault(
        "overloaded",
        `Cannot queue the request of workspace "${item.workspace}": the queue is full with ${queuedCount} requests`,
      );
    }
    removeQueued(youngest);
    onReject(
      youngest.item.value,
      createFault(
        "overloaded",
        `Cannot keep the request of workspace "${youngest.item.workspace}" queued: the queue is full and the workspace has the most requests for its weight`,
      ),
    );
  }

  function add(
    item: QueueItem<T>,
    addOptions: AddOptions = {},
  ): QueueEntry<T> {
    if (isStopped) {
      throw createFault(
        "unavailable",
        "Cannot queue the request: the queue has been stopped",
      );
    }
    checkDeadline(item, addOptions);
    if (
      (workspaces.get(item.workspace)?.queued ?? 0) >= maxQueuedPerWorkspace
    ) {
      throw createFault(
        "limitReached",
        `Cannot queue the request of workspace "${item.workspace}": ${maxQueuedPerWorkspace} of its requests are queued`,
      );
    }
    if (queuedCount >= maxQueued) rejectFromLongest(item);
    const workspace = getWorkspace(item.workspace);
    const entry: EntryState<T> = {
      item,
      workspace,
      order: nextOrder++,
      isQueued: true,
      isRunning: false,
      chargedMs: 0,
      weight: 1,
      previous: undefined,
      next: undefined,
      expiry: undefined as ExpiryEntry<EntryState<T>> | undefined,
    };
    workspace.weight = getPolicy(workspace.name).weight;
    addToLane(entry);
    addQueueCount(item.queue, 1);
    queuedCount += 1;
    // A request that starts too late for its deadline wastes a slot. At a load of
    // twice the capacity, this cost a fifth of the useful work.
    const neededMs = estimateSlotTime(workspace, item.deadlineMs - clock.now());
    entry.expiry = deadlines.add(item.deadlineMs - neededMs, entry);
    setEligible(workspace);
    return entry;
  }

  function pickWorkspace(round: number): WorkspaceState<T> | undefined {
    let best: WorkspaceState<T> | undefined;
    for (const workspace of eligible) {
      if (workspace.skippedInRound === round) continue;
      const isBetter = best === undefined ||
        workspace.startTag < best.startTag ||
        (workspace.startTag === best.startTag &&
          workspace.lastTaken < best.lastTaken);
      if (isBetter) best = workspace;
    }
    return best;
  }

  function pickEntry(
    workspace: WorkspaceState<T>,
    canRun: (value: T) => boolean,
  ): EntryState<T> | undefined {
    const heads = [...workspace.lanes.values()].map((lane) => lane.first);
    if (heads.length > 1) heads.sort((a, b) => a.order - b.order);
    return heads.find((entry) => canRun(entry.item.value));
  }

  let round = 0;
  let hasSkipped = false;

  function startEntry(entry: EntryState<T>, weight: number): void {
    const workspace = entry.workspace;
    removeQueued(entry);
    virtualTime = Math.max(virtualTime, workspace.startTag);
    entry.isRunning = true;
    entry.chargedMs = workspace.durationMs;
    entry.weight = weight;
    setStartTag(workspace, workspace.startTag + entry.chargedMs / weight);
    workspace.running += 1;
    runningCount += 1;
    workspace.lastTaken = nextOrder++;
    // A workspace skipped because no endpoint could run its requests keeps its
    // turn but earns no credit.
    for (const other of hasSkipped ? eligible : []) {
      if (other.skippedInRound !== round) continue;
      other.startTag = Math.max(other.startTag, virtualTime);
    }
  }

  function take(canRun: (value: T) => boolean): QueueEntry<T> | undefined {
    round += 1;
    hasSkipped = false;
    for (
      let workspace = pickWorkspace(round);
      workspace !== undefined;
      workspace = pickWorkspace(round)
    ) {
      const policy = getPolicy(workspace.name);
      if (workspace.running >= policy.slotLimit) {
        eligible.delete(workspace);
        continue;
      }
      const entry = pickEntry(workspace, canRun);
      if (entry !== undefined) {
        startEntry(entry, policy.weight);
        return entry;
      }
      workspace.skippedInRound = round;
      hasSkipped = true;
    }
    return undefined;
  }

  function release(taken: QueueEntry<T>, heldMs: number): void {
    const entry = taken as EntryState<T>;
    if (!entry.isRunning) return;
    entry.isRunning = false;
    const workspace = entry.workspace;
    workspace.running -= 1;
    runningCount -= 1;
    setStartTag(
      workspace,
      workspace.startTag + (heldMs - entry.chargedMs) / entry.weight,
    );
    if (heldMs > 0) {
      meanDurationMs += (heldMs - meanDurationMs) * DURATION_SAMPLE_WEIGHT;
      const errorMs = heldMs - workspace.durationMs;
      workspace.durationMs += errorMs * DURATION_SAMPLE_WEIGHT;
      workspace.deviationMs += (Math.abs(errorMs) - workspace.deviationMs) *
        DURATION_SAMPLE_WEIGHT;
    }
    setEligible(workspace);
    handleIdle();
  }

  function estimateQueueWait(workspace: string, queue: string): number {
    const pool = getPool(queue);
    return estimateWait({
      workspace: workspaces.get(workspace) ?? createNewWorkspace(workspace),
      workspaces: workspaces.values(),
      pool,
      virtualTime,
      policy: getPolicy(workspace),
      isShared: isShared(pool),
    });
  }

  return {
    add,
    remove(entry) {
      const state = entry as EntryState<T>;
      if (!state.isQueued) return false;
      removeQueued(state);
      return true;
    },
    take,
    release,
    estimateWait: estimateQueueWait,
    updatePolicies() {
      for (const workspace of workspaces.values()) {
        workspace.weight = getPolicy(workspace.name).weight;
        setEligible(workspace);
      }
    },
    getSize: () => queuedCount,
    listWorkspaces: () =>
      [...workspaces.values()].map(({ name, queued, running }) => ({
        workspace: name,
        queued,
        running,
      })),
    stop() {
      isStopped = true;
      for (const workspace of [...workspaces.values()]) {
        for (
          let entry = pickYoungest(workspace);
          entry !== undefined;
          entry = pickYoungest(workspace)
        ) {
          removeQueued(entry);
          onReject(
            entry.item.value,
            createFault(
              "unavailable",
              "Cannot run the request: the queue has been stopped",
            ),
          );
        }
      }
      deadlines.stop();
    },
  };
}
