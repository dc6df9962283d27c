/**
 * The closed list of error kinds and the table from each kind to its answer.
 * Every error that leaves a module is a fault of one of these kinds, so that a
 * caller can tell from the kind alone whether its work may have run.
 */

import VError from "verror";

/** Whether the work that an error is about has run. */
export type Ran = "no" | "yes" | "unknown";

/** How an error kind is answered. */
export interface FaultAnswer {
  /** HTTP status code. */
  readonly httpStatus: number;
  /** gRPC status code. */
  readonly rpcStatus: number;
  /** What is claimed about the work when the thrower does not say otherwise. */
  readonly ran: Ran;
}

/** The answer to each error kind. The gRPC codes are those of the gRPC specification. */
export const FAULT_ANSWERS = Object.freeze(
  {
    badRequest: { httpStatus: 400, rpcStatus: 3, ran: "no" },
    unauthenticated: { httpStatus: 401, rpcStatus: 16, ran: "no" },
    forbidden: { httpStatus: 403, rpcStatus: 7, ran: "no" },
    notFound: { httpStatus: 404, rpcStatus: 5, ran: "no" },
    versionConflict: { httpStatus: 409, rpcStatus: 10, ran: "no" },
    requestIdConflict: { httpStatus: 422, rpcStatus: 6, ran: "no" },
    neverRunnable: { httpStatus: 422, rpcStatus: 9, ran: "no" },
    tooLarge: { httpStatus: 413, rpcStatus: 11, ran: "no" },
    limitReached: { httpStatus: 429, rpcStatus: 8, ran: "no" },
    overloaded: { httpStatus: 503, rpcStatus: 8, ran: "no" },
    unavailable: { httpStatus: 503, rpcStatus: 14, ran: "no" },
    notLeader: { httpStatus: 503, rpcStatus: 14, ran: "no" },
    deadlineExceeded: { httpStatus: 504, rpcStatus: 4, ran: "unknown" },
    endpointFailed: { httpStatus: 502, rpcStatus: 2, ran: "yes" },
    outcomeUnknown: { httpStatus: 502, rpcStatus: 2, ran: "unknown" },
    cancelled: { httpStatus: 409, rpcStatus: 1, ran: "unknown" },
    internal: { httpStatus: 500, rpcStatus: 13, ran: "unknown" },
  } as const satisfies Record<string, FaultAnswer>,
);

/** The kind of a fault. */
export type FaultKind = keyof typeof FAULT_ANSWERS;

/** Details of a fault. */
export interface FaultOptions {
  /** The error that led to this one; it is kept in the cause chain. */
  cause?: unknown;
  /** Whether the work has run; by default as the table says. */
  ran?: Ran;
  /** Further facts for logs and for callers, such as the name of the leader. */
  details?: Readonly<Record<string, unknown>>;
}

/** An error of the closed list. */
export interface Fault extends Error {
  readonly kind: FaultKind;
  readonly ran: Ran;
  readonly details: Readonly<Record<string, unknown>>;
}

function toError(cause: unknown): Error | undefined {
  if (cause === undefined || cause instanceof Error) return cause;
  return new Error(String(cause));
}

/** Creates a fault; the message says what could not be done and the value at fault. */
export function createFault(
  kind: FaultKind,
  message: string,
  options: FaultOptions = {},
): Fault {
  const cause = toError(options.cause);
  const error = new VError(
    { name: "Fault", ...(cause === undefined ? {} : { cause }) },
    "%s",
    message,
  );
  return Object.assign(error, {
    kind,
    ran: options.ran ?? FAULT_ANSWERS[kind].ran,
    details: options.details ?? {},
  });
}

/** Tells whether `kind` is in the closed list. */
export function isFaultKind(kind: unknown): kind is FaultKind {
  return typeof kind === "string" && Object.hasOwn(FAULT_ANSWERS, kind);
}

/** Tells whether `error` is a fault, of the given kind if one is named. */
export function isFault(error: unknown, kind?: FaultKind): error is Fault {
  if (!(error instanceof Error)) return false;
  const found = (error as Partial<Fault>).kind;
  return isFaultKind(found) && (kind === undefined || found === kind);
}

/** Returns `error` itself when it is a fault, else an `internal` fault caused by it. */
export function toFault(error: unknown): Fault {
  if (isFault(error)) return error;
  const message = error instanceof Error ? error.message : String(error);
  return createFault("internal", `Cannot complete the operation: ${message}`, {
    cause: error,
  });
}

/** The body of an error answer. */
export interface FaultBody {
  kind: FaultKind;
  message: string;
  ran: Ran;
}

/** Renders a fault as the body of an error answer. */
export function renderFault(fault: Fault): FaultBody {
  return { kind: fault.kind, message: fault.message, ran: fault.ran };
}
