/** The calls that a runner answers, in the scheduler's own words. */

import type { TaskRef } from "./types.ts";

/** How a runner answered an order. */
export type OrderOutcome =
  /** Carried out, now or before. */
  | "accepted"
  /** The runner has seen a higher fencing token. */
  | "staleFence"
  /** A run with this or a higher number was stopped or ended there. */
  | "staleRun"
  /** The lease of the order had ended when it arrived. */
  | "leaseEnded"
  /** The runner has no room for it. */
  | "noRoom"
  /** The eligibility ticket is missing, expired or of another life. */
  | "ticketRefused"
  /** The runner could not read the order. */
  | "invalid"
  /** The runner is unhealthy and has done nothing. */
  | "unhealthy"
  /** Another life of the runner answered. */
  | "otherLife";

/** Whom to call. */
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
  /** End of the lease on the runner's clock, in milliseconds. */
  readonly untilMs: number;
  readonly fence: number;
  /** Saved progress to go on from; empty for none. */
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

/** A look at a runner that renews its lease. */
export interface HoldOrder {
  readonly fence: number;
  /** Number of the newest end that need not be listed again. */
  readonly recordedEnds: number;
  /** End of the lease on the runner's clock; undefined leaves it as it is. */
  readonly untilMs: number | undefined;
  /** How long the runner may wait for an end, in milliseconds. */
  readonly waitMs: number;
}

/** A run that is at work on a runner. */
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

/** The answer to an order; `clockMs` is undefined when the answer named none. */
export interface OrderReply {
  readonly outcome: OrderOutcome;
  readonly clockMs: number | undefined;
}

/** The answer to a look. */
export type HoldReply =
  | {
    readonly outcome: "accepted";
    readonly clockMs: number;
    /** Start of the life that answered, as wall time; undefined when not named. */
    readonly startedMs: number | undefined;
    readonly running: readonly ListedRun[];
    readonly ended: readonly ListedEnd[];
  }
  | { readonly outcome: "staleFence" | "otherLife" | "invalid" | "unhealthy" };

/** Calls to runners. Each rejects with a fault when no answer came within `timeoutMs`. */
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
  hold(
    target: RunnerTarget,
    order: HoldOrder,
    timeoutMs: number,
  ): Promise<HoldReply>;
  /** Closes the connections to an address that is not used any more. */
  release(address: string): void;
  /**
   * Closes those connections to a runner that this instance holds itself; other
   * instances that call for it go on for the next leader.
   */
  releaseOwn(address: string): void;
}
