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

/** Why an endpoint gets no request now, or not this request. */
export type EndpointObstacle =
  /** Its announcements are missing. */
  | "silent"
  /** It accepts no new work. */
  | "draining"
  | "ejected"
  /** It gets no work until its running requests are counted again. */
  | "recounting"
  | "full"
  /** After an ejection it gets one request at a time, and that one is running. */
  | "probing"
  /** It is probed with idempotent requests only. */
  | "probedByIdempotent"
  | "noConnection"
  /** Another endpoint has a lower load. */
  | "busier";

/** Which endpoints a request would get, and why not the others. */
export interface EndpointChoice {
  /** The least loaded endpoints; one of them is picked at random. */
  readonly chosen: readonly string[];
  /** The other endpoints that serve the queue, by reason. */
  readonly passedOver: ReadonlyMap<EndpointObstacle, readonly string[]>;
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
  /** Returns whether `pick` would return an endpoint; changes nothing. */
  isPickable(requirements: EndpointRequirements): boolean;
  /** Explains what `pick` would return for a first attempt; changes nothing. */
  explainPick(requirements: EndpointRequirements): EndpointChoice;
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
  /** Returns what `getPool` would return, without renewing its cache. */
  findPool(queue: string): QueuePool;
  /** Returns the number of requests that may be running without an open grant, by workspace. */
  getWorkspaceExcess(): WorkspaceCounts;
  list(): EndpointStatus[];
}
