/** The state of one team in the fair queue: its lanes, tags and counts. */

import type { ExpiryEntry } from "./expiry_queue.ts";
import type { QueueItem } from "./fair_queue_types.ts";

/** A request of the queue with its place in its lane. */
export interface EntryState<T> {
  readonly item: QueueItem<T>;
  readonly team: TeamState<T>;
  /** Order of arrival over all teams. */
  readonly order: number;
  isQueued: boolean;
  isRunning: boolean;
  /** Slot time charged when the request was taken, in milliseconds. */
  chargedMs: number;
  /** Weight of the team when it was charged, so that the correction is exact. */
  weight: number;
  previous: EntryState<T> | undefined;
  next: EntryState<T> | undefined;
  expiry: ExpiryEntry<EntryState<T>> | undefined;
}

/** A linked list: requests leave from the middle when cancelled or expired. */
export interface Lane<T> {
  first: EntryState<T>;
  last: EntryState<T>;
}

/** The state of one team. */
export interface TeamState<T> {
  readonly name: string;
  /** Weight when the policy was last read. */
  weight: number;
  /** Virtual start time of the team's next request. */
  startTag: number;
  /** Estimated slot time of one request, in milliseconds. */
  durationMs: number;
  /** Mean deviation from that estimate, in milliseconds. */
  deviationMs: number;
  queued: number;
  running: number;
  /** Order of the team's last turn; breaks ties between equal tags. */
  lastTaken: number;
  /** The round of `take` in which none of its requests could run. */
  skippedInRound: number;
  /** Lanes with at least one request. */
  readonly lanes: Map<string, Lane<T>>;
  readonly queuedByQueue: Map<string, number>;
}

/** Creates a team without requests whose tag is the current virtual time. */
export function createTeam<T>(
  name: string,
  startTag: number,
  durationMs: number,
): TeamState<T> {
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
  const { team, item } = entry;
  const lane = team.lanes.get(item.lane);
  if (lane === undefined) {
    team.lanes.set(item.lane, { first: entry, last: entry });
  } else {
    lane.last.next = entry;
    entry.previous = lane.last;
    lane.last = entry;
  }
  team.queued += 1;
  const count = team.queuedByQueue.get(item.queue) ?? 0;
  team.queuedByQueue.set(item.queue, count + 1);
}

/** Takes a request out of its lane. */
export function removeFromLane<T>(entry: EntryState<T>): void {
  const { team, item, previous, next } = entry;
  const lane = team.lanes.get(item.lane);
  if (lane === undefined) return;
  if (previous !== undefined) previous.next = next;
  if (next !== undefined) next.previous = previous;
  if (previous === undefined && next === undefined) {
    team.lanes.delete(item.lane);
  } else {
    if (previous === undefined && next !== undefined) lane.first = next;
    if (next === undefined && previous !== undefined) lane.last = previous;
  }
  entry.previous = undefined;
  entry.next = undefined;
  team.queued -= 1;
  const count = (team.queuedByQueue.get(item.queue) ?? 1) - 1;
  if (count === 0) team.queuedByQueue.delete(item.queue);
  else team.queuedByQueue.set(item.queue, count);
}

/** Returns the request of the team that arrived last. */
export function pickYoungest<T>(
  team: TeamState<T>,
): EntryState<T> | undefined {
  let youngest: EntryState<T> | undefined;
  for (const { last } of team.lanes.values()) {
    if (youngest === undefined || last.order > youngest.order) youngest = last;
  }
  return youngest;
}
