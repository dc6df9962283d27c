/** Types of the slot controller. */

import type { Clock, Logger, Random } from "../common/mod.ts";
import type {
  EndpointStatus,
  EndpointTableOptions,
} from "./endpoints_types.ts";
import type {
  FairQueueOptions,
  WorkspaceQueueStatus,
} from "./fair_queue_types.ts";
import type { SlotExplanation } from "./slot_explanation.ts";
import type {
  RequestOutcome,
  SlotGrant,
  SlotRequest,
  WorkspacePolicy,
} from "./types.ts";

/** Options of a slot controller; times in milliseconds. */
export interface SlotControllerOptions {
  clock: Clock;
  random: Random;
  logger: Logger;
  dataCentre: string;
  /** Term of this leader; part of each grant. */
  epoch: number;
  /** Returns the weight and the slot allotment of a workspace at this data centre. */
  getPolicy: (workspace: string) => WorkspacePolicy;
  /** Returns false once the leader lease has ended; checked before each grant. */
  canGrant?: () => boolean;
  /**
   * Returns whether the data centre is evacuated: no request may start there.
   * Call `updatePolicies` when it changes. Default: never.
   */
  isEvacuated?: () => boolean;
  /**
   * Hook that runs after the slot is reserved and before the grant is returned,
   * for example to record the start of a non-idempotent request. If it rejects,
   * the slot is released and `acquire` rejects with the same fault.
   */
  beforeGrant?: (request: SlotRequest, token: string) => Promise<void>;
  /**
   * How long a new leader waits before it issues grants. Default:
   * `grantValidMs` plus the maximum clock drift, that is 1,020.
   */
  failoverWaitMs?: number;
  /** Time within which a grant must be used. Default 1,000. */
  grantValidMs?: number;
  /** Time after the deadline of a request until its grant expires. Default 500. */
  grantGraceMs?: number;
  queue?: Pick<
    FairQueueOptions<unknown>,
    "maxQueued" | "maxQueuedPerWorkspace" | "defaultDurationMs"
  >;
  endpoints?: Omit<
    EndpointTableOptions,
    "clock" | "random" | "dataCentre" | "acceptFromMs" | "grantValidMs"
  >;
}

/** The state of a slot controller in status reports. */
export interface SlotStatus {
  readonly epoch: number;
  readonly isReady: boolean;
  /** True while a new leader waits for the announcements of the endpoints. */
  readonly isRebuilding: boolean;
  /** Requests of unknown workspaces, which count against every workspace. */
  readonly sharedExcess: number;
  readonly queued: number;
  readonly granted: number;
  readonly workspaces: readonly WorkspaceQueueStatus[];
  readonly endpoints: readonly EndpointStatus[];
}

/** Filter for queued requests to cancel. */
export interface CancelOptions {
  /** Cancels only requests of this scope. */
  scope?: string;
  /** Cancels only requests of this entry instance. */
  instance?: string;
}

/** Grants slots to requests. */
export interface SlotController {
  /**
   * Waits for a slot; rejects with a fault that reports "not run". Aborting
   * `signal` cancels only this call, while it is queued.
   */
  acquire(request: SlotRequest, signal?: AbortSignal): Promise<SlotGrant>;
  /** Returns what `acquire` would do with the request now, and why; changes nothing. */
  explain(request: SlotRequest): SlotExplanation;
  /** Ends a grant; returns false if the token is unknown, already released or of another epoch. */
  release(token: string, outcome: RequestOutcome, durationMs: number): boolean;
  /** Rejects queued requests with this identifier as cancelled, not run; returns their number. */
  cancel(requestId: string, options?: CancelOptions): number;
  /** Processes an endpoint announcement; see `EndpointTable`. */
  receiveAnnouncement(input: unknown): boolean;
  /** Applies changed weights and allotments to queued requests; rejects them if the data centre is evacuated. */
  updatePolicies(): void;
  getStatus(): SlotStatus;
  /** Rejects all queued requests as not run. Issued grants stay valid. */
  stop(): void;
}
