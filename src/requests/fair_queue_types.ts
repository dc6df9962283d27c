/** The interface of the fair queue. */

import type { Clock, Fault } from "../common/mod.ts";
import type { WorkspacePolicy } from "./types.ts";

/** What a request competes for. */
export interface QueuePool {
  /** Slots of the endpoints that serve the queue. */
  readonly slots: number;
  /** Queues that share at least one of these endpoints, the queue itself included. */
  readonly queues: ReadonlySet<string>;
}

/** Settings of a fair queue. */
export interface FairQueueOptions<T> {
  clock: Clock;
  /** The weight and the slot limit of a workspace; read at each decision. */
  getPolicy: (workspace: string) => WorkspacePolicy;
  /** What a request of a queue competes for; used to estimate its wait. */
  getPool: (queue: string) => QueuePool;
  /** Called when a queued request is refused: deadline, push-out or stop. */
  onReject: (value: T, fault: Fault) => void;
  /** Queued requests of all workspaces. Default 10,000. */
  maxQueued?: number;
  /** Queued requests of one workspace. Default 2,000. */
  maxQueuedPerWorkspace?: number;
  /** Slot time assumed before any request has ended, in milliseconds. Default 100. */
  defaultDurationMs?: number;
}

/** A request to queue. */
export interface QueueItem<T> {
  readonly workspace: string;
  readonly queue: string;
  /**
   * Requests of one lane are served in order of arrival. Lanes of one workspace are
   * independent, so that a request that cannot run now holds up only its lane.
   */
  readonly lane: string;
  /** Monotonic time after which the request must not start. */
  readonly deadlineMs: number;
  readonly value: T;
}

/** What the caller knows about a request to queue. */
export interface AddOptions {
  /** Tells whether a slot is free for it; asked before it is refused on an estimate. */
  canStartNow?: () => boolean;
}

/** A request in the queue, or taken from it. */
export interface QueueEntry<T> {
  readonly item: QueueItem<T>;
}

/** Counts of one workspace. */
export interface WorkspaceQueueStatus {
  readonly workspace: string;
  readonly queued: number;
  readonly running: number;
}

/** A queue that is fair between workspaces. */
export interface FairQueue<T> {
  /**
   * Queues a request. Throws `limitReached` past the workspace's bound,
   * `overloaded` when it cannot start in time or the queue is full, and
   * `deadlineExceeded` when its deadline has passed; all of them not run.
   */
  add(item: QueueItem<T>, options?: AddOptions): QueueEntry<T>;
  /** Takes a queued request out without a refusal; false when it is not queued. */
  remove(entry: QueueEntry<T>): boolean;
  /** Takes the next request for which `canRun` holds and counts it as running. */
  take(canRun: (value: T) => boolean): QueueEntry<T> | undefined;
  /** Ends a taken request; `heldMs` is the slot time, 0 when it never ran. */
  release(entry: QueueEntry<T>, heldMs: number): void;
  /** Estimated milliseconds until a new request of the workspace would start. */
  estimateWait(workspace: string, queue: string): number;
  /** Lets workspaces whose policy has changed be considered again. */
  updatePolicies(): void;
  getSize(): number;
  listWorkspaces(): WorkspaceQueueStatus[];
  /** Refuses all queued requests as `unavailable`, not run. */
  stop(): void;
}
