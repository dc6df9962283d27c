/** The state of one workspace in the fair queue: its lanes, tags and counts. */

import type { ExpiryEntry } from "./expiry_queue.ts";
import type { QueueItem } from "./fair_queue_types.ts";

/** A request in the queue and its links in its lane. */
export interface EntryState<T> {
  readonly item: QueueItem<T>;
  readonly workspace: WorkspaceState<T>;
  /** Order of arrival across all workspaces. */
  readonly order: number;
  isQueued: boolean;
  isRunning: boolean;
  /** Slot time charged when the request was taken, in milliseconds. */
  chargedMs: number;
  /** Weight of the workspace at the time of the charge, so that the correction is exact. */
  weight: number;
  previous: EntryState<T> | undefined;
  next: EntryState<T> | undefined;
  expiry: ExpiryEntry<EntryState<T>> | undefined;
}

/** A doubly linked list, since cancelled and expired requests are removed from the middle. */
export interface Lane<T> {
  first: EntryState<T>;
  last: EntryState<T>;
}

/** The state of one workspace. */
export interface WorkspaceState<T> {
  readonly name: string;
  /** Weight from the last policy read. */
  weight: number;
  /** Virtual start time of the workspace's next request. */
  startTag: number;
  /** Estimated slot time of one request, in milliseconds. */
  durationMs: number;
  /** Mean absolute deviation from `durationMs`, in milliseconds. */
  deviationMs: number;
  queued: number;
  running: number;
  /** Sequence number of the last request taken; breaks ties between equal tags. */
  lastTaken: number;
  /** The last round of `take` in which none of its requests could run. */
  skippedInRound: number;
  /** Non-empty lanes by name. */
  readonly lanes: Map<string, Lane<T>>;
  readonly queuedByQueue: Map<string, number>;
}

/** Creates the state of a workspace without requests. */
export function createWorkspace<T>(
  name: string,
  startTag: number,
  durationMs: number,
): WorkspaceState<T> {
  return {
    name,
    weight: 1,
    startTag,
    durationMs,
    deviationMs: 0,
    queued: 0,
    running: 0,
    lastTaken: -1,
    skippedInRound: 0,
    lanes: new Map(),
    queuedByQueue: new Map(),
  };
}

/** Appends a request to its lane. */
export function addToLane<T>(entry: EntryState<T>): void {
  const { workspace, item } = entry;
  const lane = workspace.lanes.get(item.lane);
  if (lane === undefined) {
    workspace.lanes.set(item.lane, { first: entry, last: entry });
  } else {
    lane.last.next = entry;
    entry.previous = lane.last;
    lane.last = entry;
  }
  workspace.queued += 1;
  const count = workspace.queuedByQueue.get(item.queue) ?? 0;
  workspace.queuedByQueue.set(item.queue, count + 1);
}

/** Removes a request from its lane. */
export function removeFromLane<T>(entry: EntryState<T>): void {
  const { workspace, item, previous, next } = entry;
  const lane = workspace.lanes.get(item.lane);
  if (lane === undefined) return;
  if (previous !== undefined) previous.next = next;
  if (next !== undefined) next.previous = previous;
  if (previous === undefined && next === undefined) {
    workspace.lanes.delete(item.lane);
  } else {
    if (previous === undefined && next !== undefined) lane.first = next;
    if (next === undefined && previous !== undefined) lane.last = previous;
  }
  entry.previous = undefined;
  entry.next = undefined;
  workspace.queued -= 1;
  const count = (workspace.queuedByQueue.get(item.queue) ?? 1) - 1;
  if (count === 0) workspace.queuedByQueue.delete(item.queue);
  else workspace.queuedByQueue.set(item.queue, count);
}

/** Returns the newest queued request of the workspace. */
export function pickYoungest<T>(
  workspace: WorkspaceState<T>,
): EntryState<T> | undefined {
  let youngest: EntryState<T> | undefined;
  for (const { last } of workspace.lanes.values()) {
    if (youngest === undefined || last.order > youngest.order) youngest = last;
  }
  return youngest;
}
