/** The interface of the slot controller. */

import type { Clock, Logger, Random } from "../common/mod.ts";
import type {
  EndpointStatus,
  EndpointTableOptions,
} from "./endpoints_types.ts";
import type {
  FairQueueOptions,
  WorkspaceQueueStatus,
} from "./fair_queue_types.ts";
import type {
  RequestOutcome,
  SlotGrant,
  SlotRequest,
  WorkspacePolicy,
} from "./types.ts";

/** Settings of a slot controller; times in milliseconds. */
export interface SlotControllerOptions {
  clock: Clock;
  random: Random;
  logger: Logger;
  dataCentre: string;
  /** Term of this leader; part of each grant. */
  epoch: number;
  /** The weight and the slot allotment of a workspace at this data centre. */
  getPolicy: (workspace: string) => WorkspacePolicy;
  /** False once the leader lease has ended; asked before each grant. */
  canGrant?: () => boolean;
  /**
   * Runs with the slot reserved, before the grant is returned, for example to
   * record the start of a non-idempotent request. Its fault frees the slot and
   * becomes the answer.
   */
  beforeGrant?: (request: SlotRequest, token: string) => Promise<void>;
  /** Default: `grantValidMs` and the clock rate bound, that is 1,020. */
  failoverWaitMs?: number;
  /** How long a grant may be unused. Default 1,000. */
  grantValidMs?: number;
  /** Time after the deadline at which a grant ends. Default 500. */
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

/** Counts of a slot controller. */
export interface SlotStatus {
  readonly epoch: number;
  readonly isReady: boolean;
  /** True until the endpoints have had time to announce to a new leader. */
  readonly isRebuilding: boolean;
  /** Requests of unknown workspace that count against every workspace. */
  readonly sharedExcess: number;
  readonly queued: number;
  readonly granted: number;
  readonly workspaces: readonly WorkspaceQueueStatus[];
  readonly endpoints: readonly EndpointStatus[];
}

/** Which queued requests to cancel. */
export interface CancelOptions {
  /** Only those of this scope. */
  scope?: string;
  /** Only those of this entry instance. */
  instance?: string;
}

/** Gives slots to requests. */
export interface SlotController {
  /**
   * Waits for a slot; rejects with a fault that is not run. Aborting `signal`
   * cancels this request alone while it is queued.
   */
  acquire(request: SlotRequest, signal?: AbortSignal): Promise<SlotGrant>;
  /** Ends a grant; false when the token is unknown, ended or of another epoch. */
  release(token: string, outcome: RequestOutcome, durationMs: number): boolean;
  /** Refuses queued requests of the identifier as cancelled, not run; returns their number. */
  cancel(requestId: string, options?: CancelOptions): number;
  /** Takes an endpoint's announcement; see `EndpointTable`. */
  receiveAnnouncement(input: unknown): boolean;
  /** Considers workspaces again whose weight or allotment has changed. */
  updatePolicies(): void;
  getStatus(): SlotStatus;
  /** Refuses all queued work as not run. Grants that were given stay valid. */
  stop(): void;
}
