/** What the filters of the HTTP chain know about one request. */

import type { IncomingMessage } from "node:http";
import { Buffer } from "node:buffer";
import {
  createFault,
  type Fault,
  FAULT_ANSWERS,
  renderFault,
} from "../common/mod.ts";

/** An answer to a caller. */
export interface HttpResponse {
  status: number;
  headers: Record<string, string>;
  body: Uint8Array | string;
}

/** The context of one request. */
export interface RequestContext {
  /** Method and path pattern, for logs and metrics. */
  readonly route: string;
  readonly request: IncomingMessage;
  /** Parts of the path, by name. */
  readonly params: Readonly<Record<string, string>>;
  /** Aborted when the caller has gone away. */
  readonly signal: AbortSignal;
  /** Set by the filter that reads the body. */
  body: Buffer;
  /** Workspace of the presented key, once authenticated. */
  workspace?: string;
  /** Fields for the log line of the request. */
  readonly logFields: Record<string, unknown>;
  answer?: HttpResponse;
}

/** Returns a header that occurs at most once; fault `badRequest` when repeated. */
export function getSingleHeader(
  context: RequestContext,
  name: string,
): string | undefined {
  const values = context.request.headersDistinct[name];
  if (values === undefined) return undefined;
  if (values.length === 1) return values[0];
  throw createFault("badRequest", `Cannot accept header "${name}" twice`);
}

/** Returns the key of an `authorization: Bearer` header, if there is one. */
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

/** Creates a JSON answer. */
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

/** Creates the answer to a fault. */
export function createFaultResponse(fault: Fault): HttpResponse {
  const answer = createJsonResponse(
    renderFault(fault),
    FAULT_ANSWERS[fault.kind].httpStatus,
  );
  const isTransient = fault.kind === "overloaded" ||
    fault.kind === "unavailable" || fault.kind === "limitReached";
  if (isTransient) answer.headers["retry-after"] = "1";
  return answer;
}
