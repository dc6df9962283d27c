/** Types of the replicated allotments of one data centre and of the rebalancing policy. */

import type { Clock, Random } from "../common/mod.ts";
import type { FleetState, Limits } from "../fleet/types.ts";

/** A grant and a cut of one workspace in one data centre. For each limit, at most one of them is above 0. */
export interface AllotmentChange {
  readonly workspace: string;
  readonly grant: Limits;
  readonly cut: Limits;
}

/** Allotment commands of the data centre log. */
export type AllotmentCommand =
  | {
    readonly type: "applyConfiguration";
    /** The version that the changes are based on; the command is ignored if another version is applied. */
    readonly fromVersion: number;
    readonly version: number;
    readonly changes: readonly AllotmentChange[];
    /** Present if this version evacuates the data centre. */
    readonly evacuated?: true | undefined;
  }
  | {
    /** Numbered when applied, so that several can be proposed concurrently. */
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

/** A transfer of a part of a workspace's limit from one data centre to another. */
export interface AllotmentTransfer {
  /** `<from>/<to>/<number>`, numbered consecutively for each pair of data centres. */
  readonly id: string;
  readonly from: string;
  readonly to: string;
  readonly workspace: string;
  /** Each limit is at least 0, and at least one is above 0. */
  readonly amount: Limits;
}

/** Result of an allotment command. */
export type AllotmentResult =
  | {
    readonly applied: true;
    /** The transfer started by a `transferOut`. */
    readonly transfer?: AllotmentTransfer;
  }
  /** Already applied; a duplicate `transferIn` is acknowledged as well. */
  | { readonly applied: false; readonly reason: "duplicate" }
  /** Refused without effect; a refused `transferIn` is not acknowledged. */
  | { readonly applied: false; readonly reason: "refused"; message: string };

/** The allotments of one data centre. */
export interface Allotments {
  readonly dataCentre: string;
  /** Applies a committed command; must be deterministic. */
  apply(command: AllotmentCommand): AllotmentResult;
  takeSnapshot(): Uint8Array;
  restoreSnapshot(data: Uint8Array): void;
  /** Returns the configuration version up to which grants and cuts are applied. */
  getAppliedVersion(): number;
  /** Returns whether the applied version evacuates the data centre. */
  isEvacuated(): boolean;
  /** Returns grants − cuts + transfers in − transfers out. A limit can be below 0 after a cut. */
  getHeld(workspace: string): Limits;
  /** Lists workspaces with an allotment or an outgoing transfer, sorted by name. */
  listWorkspaces(): string[];
  /** Returns the unacknowledged outgoing transfers, oldest first; the sender resends them. */
  getTransfersInProgress(): readonly AllotmentTransfer[];
  /**
   * Builds the command that updates this data centre to the version of `state`.
   * Returns undefined if that version is already applied.
   */
  planConfiguration(state: FleetState): AllotmentCommand | undefined;
}

/** Report of a data centre about one workspace. */
export interface WorkspaceAllotmentReport {
  readonly held: Limits;
  readonly running: Limits;
}

/** Report of a data centre from which `isLimitInForce` is answered. */
export interface DataCentreReport {
  readonly appliedVersion: number;
  readonly workspaces: ReadonlyMap<string, WorkspaceAllotmentReport>;
}

/** Whether a limit is in force in one data centre, with the reason if not. */
export type LimitStatus =
  | { readonly inForce: true }
  | {
    readonly inForce: false;
    readonly reason: "notReported" | "notApplied" | "runningAboveHeld";
  };

/** Result of `isLimitInForce`. */
export interface LimitInForce {
  readonly inForce: boolean;
  readonly pending: readonly string[];
  readonly byDataCentre: ReadonlyMap<string, LimitStatus>;
}

/** Load of one workspace in the rebalancer's own data centre. */
export interface WorkspaceLoad {
  readonly held: Limits;
  readonly running: Limits;
  /** Waiting work, in addition to `running`. */
  readonly waiting: Limits;
  /** The even share of the workspace's limits, from `computeFairShare`. */
  readonly fair: Limits;
}

/** An ask: a request to another data centre for a part of a workspace's limit. */
export interface AllotmentAsk {
  readonly from: string;
  readonly to: string;
  readonly workspace: string;
  readonly wanted: Limits;
  /**
   * The part of `wanted` up to the requester's fair share. A peer above its own
   * fair share must provide it even while busy.
   */
  readonly entitled: Limits;
  /** True for rebalancing without waiting work: the requester holds little and restores its fair share. */
  readonly levelling: boolean;
}

/** A part of the held allotment to return to another data centre. */
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
  /** Initial interval before a peer that offered too little is asked again. Default 200. */
  minAskIntervalMs?: number;
  /** Maximum of that interval. Default 5,000. */
  maxAskIntervalMs?: number;
  /** Timeout for the answer to an ask. Default 1,000. */
  askTimeoutMs?: number;
  /** Time for which recently needed allotment is not offered. Default 2,000. */
  keepMs?: number;
  /** Time for which idle allotment too small for the local waiting work is kept. Default 2,000. */
  stuckMs?: number;
  /** Minimum time between two rounds of asks for one workspace while asks are unanswered. Default 20. */
  minRoundMs?: number;
  /** Initial and maximum interval between two rounds of rebalancing asks for one workspace. Defaults 5,000 and 60,000. */
  minLevelIntervalMs?: number;
  maxLevelIntervalMs?: number;
  /** Rate limit for the asks of all workspaces together. Default 1,000. */
  maxAsksPerSecond?: number;
}

/** Policy that moves idle allotment to the data centres that need it. Performs no I/O. */
export interface Rebalancer {
  /**
   * Plans the asks to send now, from the loads by workspace and the reachable
   * configured data centres. To be called about every 100 ms, and when new work
   * does not fit. A data centre that is no longer configured passes no waiting
   * work, and then only asks for what it holds below zero.
   */
  planAsks(
    loads: ReadonlyMap<string, WorkspaceLoad>,
    peers: readonly string[],
  ): AllotmentAsk[];
  /**
   * Computes the offer for an ask, zero if nothing is available now. The caller
   * commits it as a `transferOut` and must not start work on it meanwhile.
   */
  computeOffer(ask: AllotmentAsk, load: WorkspaceLoad): Limits;
  /** Records the answer to an ask. */
  recordOffer(ask: AllotmentAsk, offered: Limits): void;
  /** Records a received transfer, when it is committed for the first time. */
  recordReceipt(transfer: AllotmentTransfer): void;
  /**
   * Returns the amount reserved for requesters below their fair share. New work
   * may start only while `running + size <= held - reserved`.
   */
  getReserved(workspace: string, load: WorkspaceLoad): Limits;
  /** Plans what to return now, and to which data centre, after this one was removed from the configuration. */
  planReturns(
    loads: ReadonlyMap<string, WorkspaceLoad>,
    configured: readonly string[],
  ): AllotmentReturn[];
}
