/**
 * The interfaces of the request path that other modules code against: what
 * endpoints announce, what an entry instance asks of the leader of its data
 * centre, and what it reports back. They mirror the messages of the `Work`
 * service, so that the leader may be this instance or another one.
 */

/** What an endpoint says about itself, once a second. */
export interface EndpointAnnouncement {
  /** Name of the endpoint, unique in the fleet. */
  readonly endpoint: string;
  /** Base address, for example `http://10.0.0.7:8080`. */
  readonly address: string;
  readonly dataCentre: string;
  /** Rises with each start of the endpoint's process; an older one is ignored. */
  readonly incarnation: number;
  /** Names of the queues that it serves. */
  readonly queues: readonly string[];
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Connections that it accepts from all entry instances together. */
  readonly connections: number;
  /** Requests that it is running now. */
  readonly inFlight: number;
  /** The same by workspace, as named in the header of each request; absent when the endpoint does not count so. */
  readonly inFlightByWorkspace?: Readonly<Record<string, number>> | undefined;
  /** True once it wants no new work. */
  readonly departing: boolean;
}

/**
 * How an exchange with an endpoint ended: "answered" and "failed" (a status of
 * 500 or above) mean that a whole answer was received, "notSent" that
 * certainly no byte was sent, and "unknown" anything else.
 */
export type RequestOutcome = "answered" | "failed" | "notSent" | "unknown";

/** An answer as it is kept for resends of a non-idempotent request. */
export interface RecordedAnswer {
  /** HTTP status of the endpoint. */
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** An entry instance's wish for a slot. */
export interface SlotRequest {
  readonly requestId: string;
  /** The workspace, or the open queue, within which the identifier is unique. */
  readonly scope: string;
  /** The workspace that the slot is charged to. */
  readonly workspace: string;
  readonly queue: string;
  readonly idempotent: boolean;
  /** Milliseconds left until the caller's deadline. */
  readonly remainingMs: number;
  /** SHA-256 of the body in hex. */
  readonly bodyHash: string;
  /** The entry instance that asks. */
  readonly instance: string;
  /** Endpoints that have failed this request; used only when no other serves the queue. */
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
  /** Term of the leader that gave the grant. */
  readonly epoch: number;
  /**
   * Milliseconds, counted from the moment at which the entry instance sent
   * its acquire, within which it must start the exchange. The leader adds the
   * time spent in its queue, so that a delayed reply never extends a grant.
   */
  readonly validForMs: number;
}

/** The answer of an earlier run of the same non-idempotent request. */
export interface RecordedReply {
  readonly kind: "answer";
  readonly answer: RecordedAnswer;
}

/** What `acquire` resolves to. */
export type SlotReply = SlotGrant | RecordedReply;

/** The end of an exchange, reported to the leader that gave the grant. */
export interface SlotRelease {
  readonly token: string;
  readonly outcome: RequestOutcome;
  /** Milliseconds between the start and the end of the exchange; 0 when not sent. */
  readonly durationMs: number;
  /** The whole answer of a non-idempotent request, for its record. */
  readonly answer?: RecordedAnswer;
  readonly instance: string;
}

/** The leader as an entry instance sees it; local or over RPC. */
export interface SlotClient {
  /**
   * Waits for a slot. Rejects with a fault; a fault with `ran` "no" means
   * that no grant was given. Aborting `signal` cancels a queued request.
   */
  acquire(request: SlotRequest, signal?: AbortSignal): Promise<SlotReply>;
  /** Reports the end of an exchange; safe to repeat. */
  release(release: SlotRelease): Promise<void>;
}

/** What a request weighs for its workspace at this data centre. */
export interface WorkspacePolicy {
  /** Weight in the fair queue, above 0. */
  readonly weight: number;
  /** Requests that the workspace may run at once here: its `slots` allotment. */
  readonly slotLimit: number;
}

/** A request on its way to an endpoint. */
export interface ForwardRequest {
  /** Base address of the endpoint. */
  readonly address: string;
  readonly requestId: string;
  readonly queue: string;
  /** The workspace that the slot is charged to. */
  readonly workspace: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** Milliseconds until the exchange is given up. */
  readonly timeoutMs: number;
  /**
   * Milliseconds within which the request must be written, else it is not
   * sent: what is left of its grant. Default: no bound.
   */
  readonly startWithinMs?: number;
  /**
   * True for a request that must not end with an unknown outcome because its
   * connection had gone silent before: it gets a new connection.
   */
  readonly needsFreshConnection?: boolean;
  readonly signal?: AbortSignal;
}

/** A whole answer of an endpoint. */
export interface EndpointResponse extends RecordedAnswer {
  /** Milliseconds from the start of the exchange to the end of the answer. */
  readonly durationMs: number;
}

/** Why no usable answer was received; "expired" means after `startWithinMs`. */
export type ForwardFailure =
  | "refused"
  | "expired"
  | "connectionLost"
  | "deadline"
  | "aborted"
  | "tooLarge"
  | "malformed";

/** How an exchange ended, as the sender knows it. */
export type ForwardResult =
  | { readonly kind: "answered"; readonly answer: EndpointResponse }
  | {
    /** "notSent": certainly no byte was written. "unknown": one may have been. */
    readonly kind: "notSent" | "unknown";
    readonly failure: ForwardFailure;
    readonly durationMs: number;
    readonly cause?: Error;
  };

/** Sends requests to endpoints. */
export interface Forwarder {
  /** Never rejects; a failure is a result. */
  send(request: ForwardRequest): Promise<ForwardResult>;
  /** Drops the connections to endpoints that are not listed. */
  setEndpoints(addresses: readonly string[]): void;
  /** Lets running exchanges end, then closes every connection. */
  close(): Promise<void>;
}

/** A caller's request after admission. */
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
  /** Aborted when the caller cancels. */
  readonly signal?: AbortSignal;
}

/** Runs requests of callers from slot to answer. */
export interface RequestExecutor {
  /** Resolves to the endpoint's (or the recorded) answer, or rejects with a fault. */
  run(request: ExecuteRequest): Promise<RecordedAnswer>;
}
