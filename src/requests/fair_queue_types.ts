/** The interface of the fair queue. */

import type { Clock, Fault } from "../common/mod.ts";
import type { TeamPolicy } from "./types.ts";

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
  /** The weight and the slot limit of a team; read at each decision. */
  getPolicy: (team: string) => TeamPolicy;
  /** What a request of a queue competes for; used to estimate its wait. */
  getPool: (queue: string) => QueuePool;
  /** Called when a queued request is refused: deadline, push-out or stop. */
  onRefuse: (value: T, fault: Fault) => void;
  /** Queued requests of all teams. Default 10,000. */
  maxQueued?: number;
  /** Queued requests of one team. Default 2,000. */
  maxQueuedPerTeam?: number;
  /** Slot time assumed before any request has ended, in milliseconds. Default 100. */
  defaultDurationMs?: number;
}

/** A request to queue. */
export interface QueueItem<T> {
  readonly team: string;
  readonly queue: string;
  /**
   * Requests of one lane are served in order of arrival. Lanes of one team are
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

/** Counts of one team. */
export interface TeamQueueStatus {
  readonly team: string;
  readonly queued: number;
  readonly running: number;
}

/** A queue that is fair between teams. */
export interface FairQueue<T> {
  /**
   * Queues a request. Throws `limitReached` past the team's bound,
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
  /** Estimated milliseconds until a new request of the team would start. */
  estimateWait(team: string, queue: string): number;
  /** Lets teams whose policy has changed be considered again. */
  updatePolicies(): void;
  getSize(): number;
  listTeams(): TeamQueueStatus[];
  /** Refuses all queued requests as `unavailable`, not run. */
  stop(): void;
}
