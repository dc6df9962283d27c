/** The interface of the endpoint table. */

import type { Clock, Random } from "../common/mod.ts";
import type { QueuePool } from "./fair_queue_types.ts";
import type { EndpointHealth, OutlierOptions } from "./outliers.ts";
import type { WorkspaceCounts } from "./workspace_excess.ts";
import type { RequestOutcome } from "./types.ts";

/** Settings of an endpoint table; times in milliseconds. */
export interface EndpointTableOptions {
  clock: Clock;
  /** Breaks ties between equally loaded endpoints. */
  random: Random;
  dataCentre: string;
  /**
   * Monotonic time from which announcements count. Earlier ones may have been
   * taken before the last request of a former leader reached the endpoint.
   * Default: at once.
   */
  acceptFromMs?: number;
  /** Default 1,000. */
  announcePeriodMs?: number;
  /** Longest age of an announcement when it arrives. Default 500. */
  announcementDelayMs?: number;
  /** How long a grant may be unused. Default 1,000. */
  grantValidMs?: number;
  /** Time after which an entry instance closes an idle connection. Default 2,000. */
  connectionIdleMs?: number;
  /** Connections of one entry instance to one endpoint. Default 6: 60 over 9. */
  connectionsPerEndpoint?: number;
  outliers?: OutlierOptions;
}

/** What a request needs from an endpoint. */
export interface EndpointRequirements {
  readonly queue: string;
  readonly instance: string;
  readonly idempotent: boolean;
  readonly avoid: readonly string[];
}

/** For whom a grant is opened. */
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

/** How a grant at an endpoint ended; "expired" when nobody released it. */
export interface EndpointGrantEnd {
  readonly outcome: RequestOutcome | "expired";
  readonly durationMs: number;
}

/** The state of an endpoint as operators see it. */
export interface EndpointStatus {
  readonly endpoint: string;
  readonly address: string;
  readonly incarnation: number;
  readonly slots: number;
  readonly open: number;
  /** Requests that may be running without an open grant. */
  readonly excess: number;
  readonly connections: number;
  readonly health: EndpointHealth;
  readonly isAnnounced: boolean;
  readonly isDeparting: boolean;
  readonly isRecounting: boolean;
}

/** The endpoint table. */
export interface EndpointTable {
  /**
   * Takes an announcement; false when it is of an older incarnation or came
   * too early to count. Throws `badRequest` when it is malformed or is meant
   * for another data centre.
   */
  receiveAnnouncement(input: unknown): boolean;
  /** Picks the least loaded usable endpoint; undefined when none has room. */
  pick(need: EndpointRequirements): string | undefined;
  /** Takes a slot at an endpoint that `pick` returned. */
  openGrant(endpoint: string, holder: GrantHolder): EndpointGrant;
  closeGrant(grant: EndpointGrant, end: EndpointGrantEnd): void;
  /** Tells whether some usable endpoint has a free slot. */
  hasFreeSlot(): boolean;
  /** Slots of the usable endpoints that serve a queue, and the queues they share. */
  getPool(queue: string): QueuePool;
  /** Counts requests that may be running without an open grant, by workspace. */
  getWorkspaceExcess(): WorkspaceCounts;
  list(): EndpointStatus[];
}
