/**
 * The fixed set of error kinds, with the response status of each. Every error
 * that leaves a module is a fault of one of these kinds. The kind alone tells
 * a caller whether its work may have run.
 */

import VError from "verror";

/** Whether the work that failed with an error has run. */
export type Ran = "no" | "yes" | "unknown";

/** The response to an error kind. */
export interface FaultAnswer {
  /** HTTP status code. */
  readonly httpStatus: number;
  /** gRPC status code. */
  readonly rpcStatus: number;
  /** Whether the work has run, unless the fault sets its own `ran`. */
  readonly ran: Ran;
}

/** The response to each error kind. `rpcStatus` follows the gRPC specification. */
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

/** Options of a fault. */
export interface FaultOptions {
  /** The underlying error, kept in the cause chain. */
  cause?: unknown;
  /** Whether the work has run. Default: the value in `FAULT_ANSWERS`. */
  ran?: Ran;
  /** Additional data for logs and callers, such as the name of the leader. */
  details?: Readonly<Record<string, unknown>>;
}

/** An error with one of the kinds in `FAULT_ANSWERS`. */
export interface Fault extends Error {
  readonly kind: FaultKind;
  readonly ran: Ran;
  readonly details: Readonly<Record<string, unknown>>;
}

function toError(cause: unknown): Error | undefined {
  if (cause === undefined || cause instanceof Error) return cause;
  return new Error(String(cause));
}

/** Creates a fault. The message states what could not be done and the invalid value. */
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

/** Checks whether `kind` is a known error kind. */
export function isFaultKind(kind: unknown): kind is FaultKind {
  return typeof kind === "string" && Object.hasOwn(FAULT_ANSWERS, kind);
}

/** Checks whether `error` is a fault, and of kind `kind` if given. */
export function isFault(error: unknown, kind?: FaultKind): error is Fault {
  if (!(error instanceof Error)) return false;
  const found = (error as Partial<Fault>).kind;
  return isFaultKind(found) && (kind === undefined || found === kind);
}

/** Returns `error` if it is a fault; otherwise wraps it in an `internal` fault. */
export function toFault(error: unknown): Fault {
  if (isFault(error)) return error;
  const message = error instanceof Error ? error.message : String(error);
  return createFault("internal", `Cannot complete the operation: ${message}`, {
    cause: error,
  });
}

/** The body of an error response. */
export interface FaultBody {
  kind: FaultKind;
  message: string;
  ran: Ran;
}

/** Renders a fault as the body of an error response. */
export function renderFault(fault: Fault): FaultBody {
  return { kind: fault.kind, message: fault.message, ran: fault.ran };
}
