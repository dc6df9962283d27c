/** The interface of the endpoint table. */

import type { Clock, Random } from "../common/mod.ts";
import type { QueuePool } from "./fair_queue_types.ts";
import type { EndpointHealth, OutlierOptions } from "./outliers.ts";
import type { WorkspaceCounts } from "./workspace_excess.ts";
import type { RequestOutcome } from "./types.ts";

/** Options of an endpoint table; times in milliseconds. */
export interface EndpointTableOptions {
  clock: Clock;
  /** Breaks ties between equally loaded endpoints. */
  random: Random;
  dataCentre: string;
  /**
   * Monotonic time before which announcements are ignored. They may have been
   * sent before the last request of the previous leader reached the endpoint.
   * Default: none are ignored.
   */
  acceptFromMs?: number;
  /** Default 1,000. */
  announcePeriodMs?: number;
  /** Maximum age of an announcement on arrival. Default 500. */
  announcementDelayMs?: number;
  /** Time within which a grant must be used. Default 1,000. */
  grantValidMs?: number;
  /** Idle timeout of connections from entry instances. Default 2,000. */
  connectionIdleMs?: number;
  /**
   * Maximum connections from one entry instance to one endpoint. Default 6: 60
   * connections divided by 9 instances.
   */
  connectionsPerEndpoint?: number;
  outliers?: OutlierOptions;
}

/** Requirements of a request for its endpoint. */
export interface EndpointRequirements {
  readonly queue: string;
  readonly instance: string;
  readonly idempotent: boolean;
  readonly avoid: readonly string[];
}

/** The entry instance and workspace that a grant is issued to. */
export interface GrantHolder {
  readonly instance: string;
  readonly workspace: string;
}

/** An open grant at an endpoint. */
export interface EndpointGrant {
  readonly endpoint: string;
  readonly address: string;
  readonly instance: string;
  readonly workspace: string;
}

/** The end of a grant at an endpoint; "expired" if it was not released in time. */
export interface EndpointGrantEnd {
  readonly outcome: RequestOutcome | "expired";
  readonly durationMs: number;
}

/** The state of an endpoint in status reports. */
export interface EndpointStatus {
  readonly endpoint: string;
  readonly address: string;
  readonly incarnation: number;
  readonly slots: number;
  /** Open grants. */
  readonly open: number;
  /** Requests that may be running without an open grant. */
  readonly excess: number;
  readonly connections: number;
  readonly health: EndpointHealth;
  readonly isAnnounced: boolean;
  readonly isDeparting: boolean;
  /** True while the endpoint gets no work so that its excess can be counted again. */
  readonly isRecounting: boolean;
}

/** The endpoint table. */
export interface EndpointTable {
  /**
   * Processes an announcement; returns false if it is from an older
   * incarnation or arrived before `acceptFromMs`. Throws `badRequest` if it is
   * malformed or belongs to another data centre.
   */
  receiveAnnouncement(input: unknown): boolean;
  /** Picks the least loaded usable endpoint; undefined if none has free capacity. */
  pick(requirements: EndpointRequirements): string | undefined;
  /** Reserves a slot at an endpoint returned by `pick`; throws `internal` if it is unknown. */
  openGrant(endpoint: string, holder: GrantHolder): EndpointGrant;
  closeGrant(grant: EndpointGrant, end: EndpointGrantEnd): void;
  /** Returns whether any usable endpoint has a free slot. */
  hasFreeSlot(): boolean;
  /**
   * Returns the total slots of the usable endpoints that serve a queue, and all
   * queues they serve.
   */
  getPool(queue: string): QueuePool;
  /** Returns the number of requests that may be running without an open grant, by workspace. */
  getWorkspaceExcess(): WorkspaceCounts;
  list(): EndpointStatus[];
}
