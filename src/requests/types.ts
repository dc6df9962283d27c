/**
 * The public interfaces of the request path: endpoint announcements, slot
 * requests from an entry instance to the leader of its data centre, and the
 * reports it sends back. They mirror the messages of the `Work` service, so
 * the leader can be this instance or a remote one.
 */

/** The state that an endpoint announces once a second. */
export interface EndpointAnnouncement {
  /** Name of the endpoint, unique in the fleet. */
  readonly endpoint: string;
  /** Base address, for example `http://10.0.0.7:8080`. */
  readonly address: string;
  readonly dataCentre: string;
  /** Increases with each start of the endpoint's process; lower values are ignored. */
  readonly incarnation: number;
  /** Names of the queues that the endpoint serves. */
  readonly queues: readonly string[];
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Maximum number of connections from all entry instances combined. */
  readonly connections: number;
  /** Number of requests currently running. */
  readonly inFlight: number;
  /**
   * `inFlight` by workspace, taken from the header of each request; absent if
   * the endpoint does not track it.
   */
  readonly inFlightByWorkspace?: Readonly<Record<string, number>> | undefined;
  /** True once the endpoint accepts no new work. */
  readonly departing: boolean;
}

/**
 * The result of an exchange with an endpoint. "answered" and "failed" (a status
 * of 500 or above): a complete response was received. "notSent": guaranteed that
 * no byte was sent. "unknown": anything else.
 */
export type RequestOutcome = "answered" | "failed" | "notSent" | "unknown";

/** A response stored for resends of a non-idempotent request. */
export interface RecordedAnswer {
  /** HTTP status returned by the endpoint. */
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** A request of an entry instance for a slot. */
export interface SlotRequest {
  readonly requestId: string;
  /** The workspace or open queue within which `requestId` is unique. */
  readonly scope: string;
  /** The workspace charged for the slot. */
  readonly workspace: string;
  readonly queue: string;
  readonly idempotent: boolean;
  /** Milliseconds left until the caller's deadline. */
  readonly remainingMs: number;
  /** SHA-256 of the body in hex. */
  readonly bodyHash: string;
  /** Name of the requesting entry instance. */
  readonly instance: string;
  /** Endpoints already tried for this request; used only if no other endpoint serves the queue. */
  readonly avoid: readonly string[];
  /** Retry number, from 0. */
  readonly attempt: number;
}

/** The right to send one request to one endpoint. */
export interface SlotGrant {
  readonly kind: "grant";
  readonly token: string;
  readonly endpoint: string;
  readonly address: string;
  /** Term of the leader that issued the grant. */
  readonly epoch: number;
  /**
   * Milliseconds within which the entry instance must start the exchange,
   * measured from when it sent the acquire call. The leader adds the time spent
   * in its queue, so a delayed reply never extends a grant.
   */
  readonly validForMs: number;
}

/** The stored response of an earlier run of the same non-idempotent request. */
export interface RecordedReply {
  readonly kind: "answer";
  readonly answer: RecordedAnswer;
}

/** Result of `acquire`. */
export type SlotReply = SlotGrant | RecordedReply;

/** The end of an exchange, reported to the leader that issued the grant. */
export interface SlotRelease {
  readonly token: string;
  readonly outcome: RequestOutcome;
  /** Duration of the exchange in milliseconds; 0 if not sent. */
  readonly durationMs: number;
  /** The complete response to a non-idempotent request, stored in its record. */
  readonly answer?: RecordedAnswer;
  readonly instance: string;
}

/** Client for the leader's slots, either local or over RPC. */
export interface SlotClient {
  /**
   * Waits for a slot. Rejects with a fault; if its `ran` is "no", no grant was
   * issued. Aborting `signal` cancels a queued request.
   */
  acquire(request: SlotRequest, signal?: AbortSignal): Promise<SlotReply>;
  /** Reports the end of an exchange; idempotent. */
  release(release: SlotRelease): Promise<void>;
}

/** Scheduling policy of a workspace at this data centre. */
export interface WorkspacePolicy {
  /** Weight in the fair queue, greater than 0. */
  readonly weight: number;
  /** Maximum number of concurrent requests here: the `slots` allotment of the workspace. */
  readonly slotLimit: number;
}

/** A request to be sent to an endpoint. */
export interface ForwardRequest {
  /** Base address of the endpoint. */
  readonly address: string;
  readonly requestId: string;
  readonly queue: string;
  /** The workspace charged for the slot. */
  readonly workspace: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** Timeout of the exchange in milliseconds. */
  readonly timeoutMs: number;
  /**
   * Remaining validity of the grant in milliseconds; the request is not sent
   * if it cannot be written within this time. Default: no limit.
   */
  readonly startWithinMs?: number;
  /**
   * True to send the request on a new connection. A reused connection may be
   * dead, which would leave the outcome of the request unknown.
   */
  readonly needsFreshConnection?: boolean;
  readonly signal?: AbortSignal;
}

/** A complete response from an endpoint. */
export interface EndpointResponse extends RecordedAnswer {
  /** Milliseconds from the start of the exchange to the end of the response. */
  readonly durationMs: number;
}

/** Why no usable response was received; "expired" means that `startWithinMs` has elapsed. */
export type ForwardFailure =
  | "refused"
  | "expired"
  | "connectionLost"
  | "deadline"
  | "aborted"
  | "tooLarge"
  | "malformed";

/** The result of an exchange, as known to the sender. */
export type ForwardResult =
  | { readonly kind: "answered"; readonly answer: EndpointResponse }
  | {
    /** "notSent": guaranteed that no byte was written. "unknown": a byte may have been written. */
    readonly kind: "notSent" | "unknown";
    readonly failure: ForwardFailure;
    readonly durationMs: number;
    readonly cause?: Error;
  };

/** Sends requests to endpoints. */
export interface Forwarder {
  /** Never rejects; failures are returned as results. */
  send(request: ForwardRequest): Promise<ForwardResult>;
  /** Closes the connections to all other endpoints. */
  setEndpoints(addresses: readonly string[]): void;
  /** Waits for running exchanges to end, then closes all connections. */
  close(): Promise<void>;
}

/** A request from a caller that has passed admission. */
export interface ExecuteRequest {
  readonly requestId: string;
  readonly scope: string;
  readonly workspace: string;
  readonly queue: string;
  readonly idempotent: boolean;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** SHA-256 of the body in hex. */
  readonly bodyHash: string;
  /** Milliseconds until the caller's deadline. */
  readonly remainingMs: number;
  /** Aborted when the caller cancels the request. */
  readonly signal?: AbortSignal;
}

/** Executes requests, from acquiring a slot to returning the response. */
export interface RequestExecutor {
  /** Resolves to the response of the endpoint or of the record; rejects with a fault. */
  run(request: ExecuteRequest): Promise<RecordedAnswer>;
}
