/** Per-request context shared by HTTP filters, and helpers to read headers and create responses. */

import type { IncomingMessage } from "node:http";
import { Buffer } from "node:buffer";
import {
  createFault,
  type Fault,
  FAULT_ANSWERS,
  type FaultKind,
  renderFault,
} from "../common/mod.ts";

/** HTTP response to a caller. */
export interface HttpResponse {
  status: number;
  headers: Record<string, string>;
  body: Uint8Array | string;
}

/** Context of one request. */
export interface RequestContext {
  /** Method and path pattern, used in logs and metrics. */
  readonly route: string;
  readonly request: IncomingMessage;
  /** Path parameters by name. */
  readonly params: Readonly<Record<string, string>>;
  /** Aborted when the connection of the caller closes. */
  readonly signal: AbortSignal;
  /** Request body; empty until the body filter has read it. */
  body: Buffer;
  /** Workspace of the API key, set after authentication. */
  workspace?: string;
  /** Additional fields for the log entry of the request. */
  readonly logFields: Record<string, unknown>;
  /** Response, set by the last filter of the chain. */
  answer?: HttpResponse;
}

/** Returns a header; undefined if absent. Fault `badRequest` if it occurs more than once. */
export function getSingleHeader(
  context: RequestContext,
  name: string,
): string | undefined {
  const values = context.request.headersDistinct[name];
  if (values === undefined) return undefined;
  if (values.length === 1) return values[0];
  throw createFault("badRequest", `Cannot accept header "${name}" twice`);
}

/**
 * Returns the token of the `authorization: Bearer` header; undefined if absent.
 * Fault `unauthenticated` if the header is malformed, `badRequest` if it is repeated.
 */
export function getBearerToken(context: RequestContext): string | undefined {
  const header = getSingleHeader(context, "authorization");
  if (header === undefined) return undefined;
  const match = /^Bearer +(\S+)$/i.exec(header);
  if (match !== null) return match[1];
  throw createFault(
    "unauthenticated",
    'Cannot read the authorization header: expected "Bearer <key>"',
  );
}

/** Creates a JSON response. */
export function createJsonResponse(
  value: unknown,
  status = 200,
): HttpResponse {
  return {
    status,
    headers: { "content-type": "application/json" },
    body: JSON.stringify(value) + "\n",
  };
}

/** Returns after how many seconds a call refused with this kind may be retried; undefined if a retry does not help. */
export function getRetryAfterSeconds(kind: FaultKind): number | undefined {
  const isTransient = kind === "overloaded" || kind === "unavailable" ||
    kind === "limitReached";
  return isTransient ? 1 : undefined;
}

/** Creates the response for a fault. Adds `retry-after: 1` if a retry may succeed. */
export function createFaultResponse(fault: Fault): HttpResponse {
  const answer = createJsonResponse(
    renderFault(fault),
    FAULT_ANSWERS[fault.kind].httpStatus,
  );
  const retryAfter = getRetryAfterSeconds(fault.kind);
  if (retryAfter !== undefined) {
    answer.headers["retry-after"] = String(retryAfter);
  }
  return answer;
}
