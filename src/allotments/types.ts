/** Types of the replicated allotments of one data centre and of the policy that moves them. */

import type { FleetState, Limits } from "../fleet/types.ts";

/** A grant and a cut of one team in one data centre, of which at most one is above 0 in each limit. */
export interface AllotmentChange {
  readonly team: string;
  readonly grant: Limits;
  readonly cut: Limits;
}

/** Commands of the data centre log that concern allotments. */
export type AllotmentCommand =
  | {
    readonly type: "applyConfiguration";
    /** The version that the changes start from; any other applied version ignores the command. */
    readonly fromVersion: number;
    readonly version: number;
    readonly changes: readonly AllotmentChange[];
  }
  | {
    /** Numbered when it is applied, so that several can be proposed at once. */
    readonly type: "transferOut";
    readonly to: string;
    readonly team: string;
    readonly amount: Limits;
  }
  | {
    readonly type: "transferIn";
    readonly transfer: AllotmentTransfer;
  }
  | {
    readonly type: "transferAcknowledged";
    readonly transferId: string;
  };

/** A part of a team's limit on its way from one data centre to another. */
export interface AllotmentTransfer {
  /** `<from>/<to>/<number>`, numbered without gaps for each pair of data centres. */
  readonly id: string;
  readonly from: string;
  readonly to: string;
  readonly team: string;
  /** Each part is at least 0, and one is above 0. */
  readonly amount: Limits;
}

/** What became of a command. */
export type AllotmentResult =
  | {
    readonly applied: true;
    /** The transfer that a `transferOut` began. */
    readonly transfer?: AllotmentTransfer;
  }
  /** Already applied; for `transferIn` this too is acknowledged. */
  | { readonly applied: false; readonly reason: "duplicate" }
  /** Refused without effect; a refused `transferIn` is not acknowledged. */
  | { readonly applied: false; readonly reason: "refused"; message: string };

/** The allotments of one data centre. */
export interface Allotments {
  readonly dataCentre: string;
  /** Applies a committed command; deterministic. */
  apply(command: AllotmentCommand): AllotmentResult;
  takeSnapshot(): Uint8Array;
  restoreSnapshot(data: Uint8Array): void;
  /** The configuration version that grants and cuts are applied up to. */
  getAppliedVersion(): number;
  /** Grants − cuts + transfers in − transfers out. Parts can be below 0 after a cut. */
  getHeld(team: string): Limits;
  /** Teams with an allotment or a transfer, in order of name. */
  listTeams(): string[];
  /** Transfers out that are not acknowledged, oldest first; the sender repeats them. */
  getTransfersInProgress(): readonly AllotmentTransfer[];
  /**
   * Builds the command that brings this data centre to the version of
   * `state`, or nothing when it is there already.
   */
  planConfiguration(state: FleetState): AllotmentCommand | undefined;
}

/** What a data centre reports about one team. */
export interface TeamAllotmentReport {
  readonly held: Limits;
  readonly running: Limits;
}

/** What a data centre reports for the operator's answer about a limit. */
export interface DataCentreReport {
  readonly appliedVersion: number;
  readonly teams: Readonly<Record<string, TeamAllotmentReport>>;
}

/** Whether a limit is in force in one data centre, and why not. */
export type LimitStatus =
  | { readonly inForce: true }
  | {
    readonly inForce: false;
    readonly reason: "notReported" | "notApplied" | "runningAboveHeld";
  };

/** The answer of `isLimitInForce`. */
export interface LimitInForce {
  readonly inForce: boolean;
  readonly pending: readonly string[];
  readonly byDataCentre: Readonly<Record<string, LimitStatus>>;
}

/** What the rebalancer knows about one team in its own data centre. */
export interface TeamLoad {
  readonly held: Limits;
  readonly running: Limits;
  /** What waits to run beyond `running`. */
  readonly waiting: Limits;
}

/** An ask for a part of a team's limit. */
export interface AllotmentAsk {
  readonly from: string;
  readonly to: string;
  readonly team: string;
  readonly wanted: Limits;
}

/** Options of `createRebalancer`. */
export interface RebalancerOptions {
  dataCentre: string;
  /** Monotonic milliseconds. */
  now: () => number;
  random: { nextFloat(): number };
  /** Least time between two rounds of asks for one team. Default 200 ms. */
  askIntervalMs?: number;
  /** Longest time between two asks of one peer that keeps offering nothing. Default 5,000 ms. */
  maxAskIntervalMs?: number;
  /** How long what was received is kept from other askers. Default 2,000 ms. */
  holdAfterReceiptMs?: number;
}

/** The pure policy that moves idle allotment to where it is needed. */
export interface Rebalancer {
  /** The asks to send now, given the loads by team and the reachable data centres. */
  planAsks(
    loads: ReadonlyMap<string, TeamLoad>,
    peers: readonly string[],
  ): AllotmentAsk[];
  /** What to offer to an ask; all zero when nothing can be given now. */
  computeOffer(ask: AllotmentAsk, load: TeamLoad): Limits;
  /** Records the answer to an ask, so that peers without idle allotment are asked less often. */
  recordOffer(ask: AllotmentAsk, offered: Limits): void;
  /** Records a transfer in, which is then kept for a while. */
  recordReceipt(team: string): void;
  /** For a data centre that is being removed: what to give back and to whom. */
  planReturns(
    loads: ReadonlyMap<string, TeamLoad>,
    configured: readonly string[],
  ): { team: string; to: string; amount: Limits }[];
}
