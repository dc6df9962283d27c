/** The calls to a runner, independent of their wire format. */

import type { TaskRef } from "./types.ts";

/**
 * Maximum number of ends in the reply to a poll. A runner lists the lowest numbers
 * first, and the others once these are acknowledged, so that a run which is in neither
 * list of a reply with so many may have ended.
 */
export const MAX_LISTED_ENDS = 500;

/** Result of an order to a runner. */
export type OrderOutcome =
  /** Executed, now or by an earlier copy of the order. */
  | "accepted"
  /** The runner has seen a higher fencing token. */
  | "staleFence"
  /** A run with this or a higher number has been stopped or has ended there. */
  | "staleRun"
  /** The lease in the order had expired when it arrived. */
  | "leaseEnded"
  /** The runner does not have enough free capacity. */
  | "noRoom"
  /** The eligibility ticket is missing, expired or for another incarnation. */
  | "ticketRefused"
  /** The runner could not parse the order. */
  | "invalid"
  /** The runner is unhealthy and did nothing. */
  | "unhealthy"
  /** Another incarnation of the runner answered. */
  | "otherLife";

/** Identity and address of the runner to call. */
export interface RunnerTarget {
  readonly id: string;
  /** `host:port` */
  readonly address: string;
}

/** An order to start a run. */
export interface StartOrder {
  readonly task: TaskRef;
  readonly run: number;
  readonly payload: string;
  /** End of the lease on the runner's clock in milliseconds. */
  readonly untilMs: number;
  readonly fence: number;
  /** Checkpoint to continue from; empty for none. */
  readonly checkpoint: string;
  /** Eligibility ticket; empty for none. */
  readonly ticket: string;
}

/** An order to stop a run. */
export interface StopOrder {
  readonly task: TaskRef;
  readonly run: number;
  readonly fence: number;
}

/** A poll of a runner; renews its lease. */
export interface HoldOrder {
  readonly fence: number;
  /** Number of the newest end that is recorded and need not be listed again. */
  readonly recordedEnds: number;
  /** End of the lease on the runner's clock in milliseconds; undefined keeps the current one. */
  readonly untilMs: number | undefined;
  /** Maximum time that the runner waits for the end of a run, in milliseconds. */
  readonly waitMs: number;
}

/** A run in progress on a runner. */
export interface ListedRun {
  readonly task: TaskRef;
  readonly run: number;
  readonly checkpoint: string;
  readonly percent: number;
}

/** A run that has ended on a runner. */
export interface ListedEnd {
  readonly number: number;
  readonly task: TaskRef;
  readonly run: number;
  readonly outcome:
    | "done"
    | "failed"
    | "stopped"
    | "lapsed"
    | "broken"
    | "alone";
  readonly checkpoint: string;
}

/** The reply to an order; `clockMs` is the runner's clock, undefined if not in the reply. */
export interface OrderReply {
  readonly outcome: OrderOutcome;
  readonly clockMs: number | undefined;
  /** Instance that made the call for the leader; undefined for a direct call. */
  readonly relay?: string;
}

/** The reply to a poll. */
export type HoldReply =
  | {
    readonly outcome: "accepted";
    readonly clockMs: number;
    /** Start of the replying incarnation as wall time in milliseconds; undefined if not in the reply. */
    readonly startedMs: number | undefined;
    readonly running: readonly ListedRun[];
    /** Up to `MAX_LISTED_ENDS` ends that are not acknowledged yet. */
    readonly ended: readonly ListedEnd[];
  }
  | { readonly outcome: "staleFence" | "otherLife" | "invalid" | "unhealthy" };

/** Creates a poll that acknowledges no ends, renews no lease and is answered at once. */
export function createProbe(fence: number): HoldOrder {
  return { fence, recordedEnds: 0, untilMs: undefined, waitMs: 0 };
}

/**
 * Calls to runners. Each rejects with a fault if no reply arrives within `timeoutMs`;
 * its `ran` is "no" only if the call was never sent and never will be.
 */
export interface RunnerCalls {
  start(
    target: RunnerTarget,
    order: StartOrder,
    timeoutMs: number,
  ): Promise<OrderReply>;
  stop(
    target: RunnerTarget,
    order: StopOrder,
    timeoutMs: number,
  ): Promise<OrderReply>;
  /** Polls a runner, which renews its lease and lists its runs. */
  hold(
    target: RunnerTarget,
    order: HoldOrder,
    timeoutMs: number,
  ): Promise<HoldReply>;
  /** Closes the connections to an address that is no longer used. */
  release(address: string): void;
  /**
   * Closes this instance's own connections to a runner. Other instances that relay
   * calls keep theirs for the next leader.
   */
  releaseOwn(address: string): void;
}
