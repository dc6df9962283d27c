/** The interface of the fair queue. */

import type { Clock, Fault } from "../common/mod.ts";
import type { WorkspacePolicy } from "./types.ts";

/** The endpoint capacity that a request competes for. */
export interface QueuePool {
  /** Total slots of the endpoints that serve the queue. */
  readonly slots: number;
  /** All queues served by these endpoints, including the queue itself. */
  readonly queues: ReadonlySet<string>;
}

/** Options of a fair queue. */
export interface FairQueueOptions<T> {
  clock: Clock;
  /** Returns the weight and slot limit of a workspace; called for each decision. */
  getPolicy: (workspace: string) => WorkspacePolicy;
  /** Returns the capacity that requests of a queue compete for; used to estimate the wait. */
  getPool: (queue: string) => QueuePool;
  /** Called when a queued request is rejected because of its deadline, a full queue or a stop. */
  onReject: (value: T, fault: Fault) => void;
  /** Maximum queued requests of all workspaces. Default 10,000. */
  maxQueued?: number;
  /** Maximum queued requests of one workspace. Default 2,000. */
  maxQueuedPerWorkspace?: number;
  /** Initial estimate of the slot time, in milliseconds. Default 100. */
  defaultDurationMs?: number;
}

/** A request to queue. */
export interface QueueItem<T> {
  readonly workspace: string;
  readonly queue: string;
  /**
   * Requests of one lane are served in order of arrival. Lanes of one workspace
   * are independent: a request that cannot run yet blocks only its own lane.
   */
  readonly lane: string;
  /** Monotonic time after which the request must not start. */
  readonly deadlineMs: number;
  readonly value: T;
}

/** Options for adding a request. */
export interface AddOptions {
  /** Returns whether a slot is free for the request; checked before rejecting it on an estimate. */
  canStartNow?: () => boolean;
  /** Replaces the `getPool` of the queue, for a check that must not renew a cache. */
  getPool?: (queue: string) => QueuePool;
}

/** A request in the queue or taken from it. */
export interface QueueEntry<T> {
  readonly item: QueueItem<T>;
}

/** Request counts of one workspace. */
export interface WorkspaceQueueStatus {
  readonly workspace: string;
  readonly queued: number;
  readonly running: number;
}

/**
 * What a new request would get from `take`: "next": it would be taken;
 * "slotLimit": its workspace is at its limit; "noSlot": no endpoint can run it;
 * "behindOwn" and "behindOthers": an earlier request of the same or of another
 * workspace would be taken first.
 */
export type QueueTurn =
  | "next"
  | "slotLimit"
  | "noSlot"
  | "behindOwn"
  | "behindOthers";

/** What waits and runs from the point of view of one workspace. */
export interface QueueStanding {
  /** Requests of the workspace. */
  readonly queued: number;
  readonly running: number;
  /** Requests of all workspaces for the same queue. */
  readonly queuedInQueue: number;
  /** Requests of all workspaces. */
  readonly queuedInAll: number;
  readonly maxQueued: number;
  readonly maxQueuedPerWorkspace: number;
  /** Estimated wait of a new request, in milliseconds; `Infinity` without slots. */
  readonly estimatedWaitMs: number;
}

/** A queue with weighted fairness between workspaces. */
export interface FairQueue<T> {
  /**
   * Queues a request. Throws `limitReached` if the workspace has too many queued
   * requests, `overloaded` if the request cannot start in time or the queue is
   * full, `deadlineExceeded` if its deadline has passed, and `unavailable` after
   * `stop`; always as not run.
   */
  add(item: QueueItem<T>, options?: AddOptions): QueueEntry<T>;
  /**
   * Throws the fault with which `add` would refuse the request. Returns whether
   * `add` would reject a queued request in its favour. Changes nothing.
   */
  checkAdd(item: QueueItem<T>, options?: AddOptions): boolean;
  /** Returns what `take` would do after `add`; changes nothing. */
  explainTurn(item: QueueItem<T>, canRun: (value: T) => boolean): QueueTurn;
  /** Returns the counts that a new request of the workspace meets; changes nothing. */
  getStanding(item: QueueItem<T>, options?: AddOptions): QueueStanding;
  /** Removes a queued request without rejecting it; returns false if it is not queued. */
  remove(entry: QueueEntry<T>): boolean;
  /** Takes the next request for which `canRun` returns true and counts it as running. */
  take(canRun: (value: T) => boolean): QueueEntry<T> | undefined;
  /** Ends a taken request; `heldMs` is the slot time in milliseconds, 0 if it never ran. */
  release(entry: QueueEntry<T>, heldMs: number): void;
  /** Estimates the milliseconds until a new request of the workspace would start. */
  estimateWait(workspace: string, queue: string): number;
  /** Reads the policies again and makes waiting workspaces eligible. */
  updatePolicies(): void;
  getSize(): number;
  listWorkspaces(): WorkspaceQueueStatus[];
  /** Rejects all queued requests as `unavailable`, not run. */
  stop(): void;
}
