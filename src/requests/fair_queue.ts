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
  QueueStanding,
  QueueTurn,
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

/** One pass over the workspaces in the order of their turns. */
interface Walk<T> {
  readonly candidates: Iterable<WorkspaceState<T>>;
  isSkipped(workspace: WorkspaceState<T>): boolean;
  /** Called for a workspace at its slot limit; it must not be a candidate again. */
  handleLimit(workspace: WorkspaceState<T>): void;
  /** Called for a workspace none of whose requests can run; `isSkipped` must then return true. */
  handleUnserved(workspace: WorkspaceState<T>): void;
}

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

  function computeReturnTag(workspace: WorkspaceState<T>): number {
    // A workspace earns no credit while it has no requests or is at its limit.
    // Otherwise it would starve the others on its return.
    return Math.max(workspace.startTag, virtualTime);
  }

  function setEligible(workspace: WorkspaceState<T>): void {
    if (workspace.queued === 0 || eligible.has(workspace)) return;
    workspace.startTag = computeReturnTag(workspace);
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
    const neededMs = WAIT_MARGIN *
        estimateQueueWait(item.workspace, item.queue, options.getPool) +
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
   * Returns the newest request of the workspace with the most queued requests
   * relative to its weight. Throws `overloaded` if that workspace is the item's.
   */
  function findDisplaced(item: QueueItem<T>): EntryState<T> {
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
    return youngest;
  }

  function rejectDisplaced(displaced: EntryState<T>): void {
    removeQueued(displaced);
    onReject(
      displaced.item.value,
      createFault(
        "overloaded",
        `Cannot keep the request of workspace "${displaced.item.workspace}" queued: the queue is full and the workspace has the most requests for its weight`,
      ),
    );
  }

  /** Throws if the request cannot be queued; returns the request to reject in its favour. */
  function checkAdd(
    item: QueueItem<T>,
    addOptions: AddOptions,
  ): EntryState<T> | undefined {
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
    return queuedCount >= maxQueued ? findDisplaced(item) : undefined;
  }

  function createEntry(
    item: QueueItem<T>,
    workspace: WorkspaceState<T>,
    order: number,
  ): EntryState<T> {
    return {
      item,
      workspace,
      order,
      isQueued: true,
      isRunning: false,
      chargedMs: 0,
      weight: 1,
      previous: undefined,
      next: undefined,
      expiry: undefined as ExpiryEntry<EntryState<T>> | undefined,
    };
  }

  function add(
    item: QueueItem<T>,
    addOptions: AddOptions = {},
  ): QueueEntry<T> {
    const displaced = checkAdd(item, addOptions);
    if (displaced !== undefined) rejectDisplaced(displaced);
    const workspace = getWorkspace(item.workspace);
    const entry = createEntry(item, workspace, nextOrder++);
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

  function pickWorkspace(walk: Walk<T>): WorkspaceState<T> | undefined {
    let best: WorkspaceState<T> | undefined;
    for (const workspace of walk.candidates) {
      if (walk.isSkipped(workspace)) continue;
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

  const takeWalk: Walk<T> = {
    candidates: eligible,
    isSkipped: (workspace) => workspace.skippedInRound === round,
    handleLimit: (workspace) => void eligible.delete(workspace),
    handleUnserved(workspace) {
      workspace.skippedInRound = round;
      hasSkipped = true;
    },
  };

  /** Returns the first request in turn that can run, and the weight of its workspace. */
  function findNext(
    canRun: (value: T) => boolean,
    walk: Walk<T>,
  ): { entry: EntryState<T>; weight: number } | undefined {
    for (
      let workspace = pickWorkspace(walk);
      workspace !== undefined;
      workspace = pickWorkspace(walk)
    ) {
      const policy = getPolicy(workspace.name);
      if (workspace.running >= policy.slotLimit) {
        walk.handleLimit(workspace);
        continue;
      }
      const entry = pickEntry(workspace, canRun);
      if (entry !== undefined) return { entry, weight: policy.weight };
      walk.handleUnserved(workspace);
    }
    return undefined;
  }

  function take(canRun: (value: T) => boolean): QueueEntry<T> | undefined {
    round += 1;
    hasSkipped = false;
    const next = findNext(canRun, takeWalk);
    if (next === undefined) return undefined;
    startEntry(next.entry, next.weight);
    return next.entry;
  }

  /** Creates a copy of the item's workspace with the item queued. */
  function createCopyWith(item: QueueItem<T>): WorkspaceState<T> {
    const known = workspaces.get(item.workspace);
    const own = known ?? createNewWorkspace(item.workspace);
    const isEligible = known !== undefined && eligible.has(known);
    const copy: WorkspaceState<T> = {
      ...own,
      startTag: isEligible ? own.startTag : computeReturnTag(own),
      lanes: new Map(own.lanes),
    };
    if (!copy.lanes.has(item.lane)) {
      const entry = createEntry(item, copy, nextOrder);
      copy.lanes.set(item.lane, { first: entry, last: entry });
    }
    return copy;
  }

  function explainTurn(
    item: QueueItem<T>,
    canRun: (value: T) => boolean,
  ): QueueTurn {
    const own = createCopyWith(item);
    const known = workspaces.get(item.workspace);
    const candidates = [...eligible].map((other) =>
      other === known ? own : other
    );
    if (!candidates.includes(own)) candidates.push(own);
    const passed = new Set<WorkspaceState<T>>();
    let isAtLimit = false;
    const next = findNext(canRun, {
      candidates,
      isSkipped: (workspace) => passed.has(workspace),
      handleLimit(workspace) {
        passed.add(workspace);
        if (workspace === own) isAtLimit = true;
      },
      handleUnserved: (workspace) => void passed.add(workspace),
    });
    if (next?.entry.item === item) return "next";
    if (passed.has(own)) return isAtLimit ? "slotLimit" : "noSlot";
    return next?.entry.item.workspace === item.workspace
      ? "behindOwn"
      : "behindOthers";
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

  function estimateQueueWait(
    workspace: string,
    queue: string,
    findPool = getPool,
  ): number {
    const pool = findPool(queue);
    return estimateWait({
      workspace: workspaces.get(workspace) ?? createNewWorkspace(workspace),
      workspaces: workspaces.values(),
      pool,
      virtualTime,
      policy: getPolicy(workspace),
      isShared: isShared(pool),
    });
  }

  function getStanding(
    item: QueueItem<T>,
    addOptions: AddOptions = {},
  ): QueueStanding {
    const own = workspaces.get(item.workspace);
    return {
      queued: own?.queued ?? 0,
      running: own?.running ?? 0,
      queuedInQueue: countByQueue.get(item.queue) ?? 0,
      queuedInAll: queuedCount,
      maxQueued,
      maxQueuedPerWorkspace,
      estimatedWaitMs: estimateQueueWait(
        item.workspace,
        item.queue,
        addOptions.getPool,
      ),
    };
  }

  return {
    add,
    checkAdd: (item, addOptions = {}) =>
      checkAdd(item, addOptions) !== undefined,
    explainTurn,
    getStanding,
    remove(entry) {
      const state = entry as EntryState<T>;
      if (!state.isQueued) return false;
      removeQueued(state);
      return true;
    },
    take,
    release,
    estimateWait: (workspace, queue) => estimateQueueWait(workspace, queue),
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
