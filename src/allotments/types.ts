/** Types of the replicated allotments of one data centre and of the policy that moves them. */

import type { Clock, Random } from "../common/mod.ts";
import type { FleetState, Limits } from "../fleet/types.ts";

/** A grant and a cut of one workspace in one data centre, of which at most one is above 0 in each limit. */
export interface AllotmentChange {
  readonly workspace: string;
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
    readonly workspace: string;
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

/** A part of a workspace's limit on its way from one data centre to another. */
export interface AllotmentTransfer {
  /** `<from>/<to>/<number>`, numbered without gaps for each pair of data centres. */
  readonly id: string;
  readonly from: string;
  readonly to: string;
  readonly workspace: string;
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
  getHeld(workspace: string): Limits;
  /** Workspaces with an allotment or a transfer, in order of name. */
  listWorkspaces(): string[];
  /** Transfers out that are not acknowledged, oldest first; the sender repeats them. */
  getTransfersInProgress(): readonly AllotmentTransfer[];
  /**
   * Builds the command that brings this data centre to the version of
   * `state`, or nothing when it is there already.
   */
  planConfiguration(state: FleetState): AllotmentCommand | undefined;
}

/** What a data centre reports about one workspace. */
export interface WorkspaceAllotmentReport {
  readonly held: Limits;
  readonly running: Limits;
}

/** What a data centre reports for the operator's answer about a limit. */
export interface DataCentreReport {
  readonly appliedVersion: number;
  readonly workspaces: ReadonlyMap<string, WorkspaceAllotmentReport>;
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
  readonly byDataCentre: ReadonlyMap<string, LimitStatus>;
}

/** What the rebalancer knows about one workspace in its own data centre. */
export interface WorkspaceLoad {
  readonly held: Limits;
  readonly running: Limits;
  /** What waits to run beyond `running`. */
  readonly waiting: Limits;
  /** The even part of the workspace's limits, from `computeFairPart`. */
  readonly fair: Limits;
}

/** An ask for a part of a workspace's limit. */
export interface AllotmentAsk {
  readonly from: string;
  readonly to: string;
  readonly workspace: string;
  readonly wanted: Limits;
  /**
   * The part of `wanted` that brings the asker up to its fair part. A giver
   * above its own fair part owes this even while it is busy.
   */
  readonly entitled: Limits;
  /** Whether nothing waits: the asker has little left and restores its fair part. */
  readonly levelling: boolean;
}

/** A part of a held allotment that is to be given to another data centre. */
export interface AllotmentReturn {
  readonly workspace: string;
  readonly to: string;
  readonly amount: Limits;
}

/** Options of `createRebalancer`. Times are in milliseconds. */
export interface RebalancerOptions {
  dataCentre: string;
  clock: Pick<Clock, "now">;
  random: Random;
  /** First wait before a peer that had too little is asked again. Default 200. */
  minAskIntervalMs?: number;
  /** Longest such wait. Default 5,000. */
  maxAskIntervalMs?: number;
  /** Wait for the answer to an ask. Default 1,000. */
  askTimeoutMs?: number;
  /** What was in use or waited this recently is not given away. Default 2,000. */
  keepMs?: number;
  /** How long idle allotment that is too small for the own work is kept. Default 2,000. */
  stuckMs?: number;
  /** Least time between two rounds of asks for one workspace. Default 20. */
  minRoundMs?: number;
  /** First and longest time between two rounds of levelling asks for one workspace. Defaults 5,000 and 60,000. */
  minLevelIntervalMs?: number;
  maxLevelIntervalMs?: number;
  /** Bound on the asks of all workspaces together. Default 1,000. */
  maxAsksPerSecond?: number;
}

/** The pure policy that moves idle allotment to where it is needed. */
export interface Rebalancer {
  /**
   * The asks to send now, given the loads by workspace and the reachable configured
   * data centres. To be called every 100 ms or so, and when work arrives that
   * does not fit. A data centre that is not configured any more passes no
   * waiting work, and then asks only for what it holds below zero.
   */
  planAsks(
    loads: ReadonlyMap<string, WorkspaceLoad>,
    peers: readonly string[],
  ): AllotmentAsk[];
  /**
   * What to give for an ask; all zero when nothing can be given now. The
   * caller commits it as a `transferOut` and starts no work on it meanwhile.
   */
  computeOffer(ask: AllotmentAsk, load: WorkspaceLoad): Limits;
  /** Records the answer to an ask. */
  recordOffer(ask: AllotmentAsk, offered: Limits): void;
  /** Records a transfer that was committed for the first time. */
  recordReceipt(transfer: AllotmentTransfer): void;
  /**
   * What is owed to askers below their fair part: new work starts only while
   * `running + size <= held - owed`.
   */
  getReserved(workspace: string, load: WorkspaceLoad): Limits;
  /** For a data centre that is not configured any more: what to give back now, and to whom. */
  planReturns(
    loads: ReadonlyMap<string, WorkspaceLoad>,
    configured: readonly string[],
  ): AllotmentReturn[];
}
