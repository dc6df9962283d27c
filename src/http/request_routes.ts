/** Routes for requests from callers to endpoints. */

import { Buffer } from "node:buffer";
import { createHash, randomBytes } from "node:crypto";
import { createFault } from "../common/mod.ts";
import type { FleetView, Queue } from "../fleet/types.ts";
import { REQUEST_ID_HEADER } from "../requests/constants.ts";
import { createTimedRequestId } from "../requests/mod.ts";
import type { ExecuteRequest, RecordedAnswer } from "../requests/types.ts";
import {
  createBodyFilter,
  createRefusalFilter,
  type HttpFilter,
} from "./filters.ts";
import type { HttpRoute } from "./http_server.ts";
import {
  createJsonResponse,
  getBearerToken,
  getSingleHeader,
  type HttpResponse,
  type RequestContext,
} from "./request_context.ts";

/** Header with the value "false" for a non-idempotent request. */
export const IDEMPOTENT_HEADER = "goldcrestlug-idempotent";

/** Header with the time the caller waits for a response, in milliseconds. */
export const DEADLINE_HEADER = "goldcrestlug-deadline-ms";

/** Workspace to which requests without an API key on an open queue are charged. */
export const OPEN_WORKSPACE = "open";

const REQUEST_ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9:._-]{0,127}$/;

/** An admitted request, with the information that decides where it runs. */
export interface AdmittedRequest extends ExecuteRequest {
  /** Whether the caller chose the request identifier and can therefore resend the request. */
  readonly isCallerNamed: boolean;
}

/** State of a request, as recorded in its home data centre. */
export interface RequestState {
  state: string;
  answer?: RecordedAnswer;
}

/** Options of `createRequestRoutes`. */
export interface RequestRoutesOptions {
  dataCentre: string;
  view: FleetView;
  maxBodyBytes: number;
  defaultDeadlineMs: number;
  maxDeadlineMs: number;
  /** Returns why new work is currently rejected; undefined if it is accepted. */
  getRefusal: () => string | undefined;
  /** Runs a request and returns its answer. */
  execute: (request: AdmittedRequest) => Promise<RecordedAnswer>;
  /** Queries the home data centre of the request identifier. */
  findRequest: (scope: string, requestId: string) => Promise<RequestState>;
}

/** Returns the scope in which a request identifier is unique: the workspace or, without one, the queue. */
export function buildRequestScope(
  workspace: string | undefined,
  queue: string,
): string {
  return workspace === undefined ? `queue:${queue}` : `workspace:${workspace}`;
}

/** The part of `RequestRoutesOptions` that the admission of a request needs. */
export type AdmissionOptions = Pick<
  RequestRoutesOptions,
  "dataCentre" | "view" | "defaultDeadlineMs" | "maxDeadlineMs"
>;

function getDeadlineMs(
  context: RequestContext,
  options: AdmissionOptions,
): number {
  const header = getSingleHeader(context, DEADLINE_HEADER);
  if (header === undefined) return options.defaultDeadlineMs;
  const deadlineMs = Number(header);
  const isInRange = /^\d+$/.test(header) && deadlineMs >= 1 &&
    deadlineMs <= options.maxDeadlineMs;
  if (isInRange) return deadlineMs;
  throw createFault(
    "badRequest",
    `Cannot accept header "${DEADLINE_HEADER}": "${header}" is not an integer from 1 to ${options.maxDeadlineMs}`,
  );
}

function isIdempotent(context: RequestContext): boolean {
  const header = getSingleHeader(context, IDEMPOTENT_HEADER) ?? "true";
  if (header === "true" || header === "false") return header === "true";
  throw createFault(
    "badRequest",
    `Cannot accept header "${IDEMPOTENT_HEADER}": "${header}" is neither "true" nor "false"`,
  );
}

function checkRequestId(requestId: string): void {
  if (REQUEST_ID_PATTERN.test(requestId)) return;
  throw createFault(
    "badRequest",
    `Cannot accept request identifier "${requestId}": expected up to 128 letters, digits, ":", ".", "_" or "-"`,
  );
}

/** Finds a queue for requests. Fault `notFound` if it is unknown, `badRequest` if it accepts only jobs. */
export function findQueue(view: FleetView, name: string): Queue {
  const queue = view.getState().queues.get(name);
  if (queue === undefined) {
    throw createFault("notFound", `Cannot find queue "${name}"`);
  }
  if (queue.policy === "requests") return queue;
  throw createFault(
    "badRequest",
    `Cannot send a request to queue "${name}": it accepts only jobs`,
  );
}

function createQueueFilter(options: RequestRoutesOptions): HttpFilter {
  return async (context, next) => {
    const queue = findQueue(options.view, context.params["queue"] ?? "");
    const token = getBearerToken(context);
    // A key must be valid even if the queue does not require one.
    if (token !== undefined || !queue.open) {
      context.workspace = options.view.checkKey(token).name;
    }
    context.logFields["queue"] = queue.name;
    context.logFields["workspace"] = context.workspace;
    await next();
  };
}

/** Builds the request of an authenticated caller. Fault `badRequest` if a header is invalid. */
export function buildAdmittedRequest(
  context: RequestContext,
  options: AdmissionOptions,
): AdmittedRequest {
  const startMs = performance.now();
  const queue = context.params["queue"] ?? "";
  const callerRequestId = getSingleHeader(context, REQUEST_ID_HEADER);
  if (callerRequestId !== undefined) checkRequestId(callerRequestId);
  // The creation time in the identifier allows its record to be deleted safely later.
  const requestId = callerRequestId ??
    `${options.dataCentre}:${
      createTimedRequestId(Date.now(), randomBytes(10))
    }`;
  context.logFields["requestId"] = requestId;
  const idempotent = isIdempotent(context);
  const contentType = getSingleHeader(context, "content-type") ??
    "application/octet-stream";
  return {
    requestId,
    scope: buildRequestScope(context.workspace, queue),
    workspace: context.workspace ?? OPEN_WORKSPACE,
    queue,
    idempotent,
    contentType,
    body: context.body,
    bodyHash: createHash("sha256").update(context.body).digest("hex"),
    remainingMs: getDeadlineMs(context, options) -
      (performance.now() - startMs),
    isCallerNamed: callerRequestId !== undefined,
    // A disconnected caller does not cancel a non-idempotent request: its answer
    // is recorded for a later resend.
    ...(idempotent ? { signal: context.signal } : {}),
  };
}

function createExecuteFilter(options: RequestRoutesOptions): HttpFilter {
  return async (context) => {
    const request = buildAdmittedRequest(context, options);
    const answer = await options.execute(request);
    context.answer = toHttpResponse(answer, request.requestId);
  };
}

function toHttpResponse(
  answer: RecordedAnswer,
  requestId: string,
): HttpResponse {
  return {
    status: answer.status,
    headers: {
      ...(answer.contentType === ""
        ? {}
        : { "content-type": answer.contentType }),
      [REQUEST_ID_HEADER]: requestId,
    },
    body: answer.body,
  };
}

function createRequestStateFilter(options: RequestRoutesOptions): HttpFilter {
  return async (context) => {
    const token = getBearerToken(context);
    const queue = new URL(context.request.url ?? "/", "http://localhost")
      .searchParams.get("queue");
    const workspace = token === undefined && queue !== null
      ? undefined
      : options.view.checkKey(token).name;
    const scope = buildRequestScope(workspace, queue ?? "");
    const requestId = context.params["id"] ?? "";
    checkRequestId(requestId);
    const found = await options.findRequest(scope, requestId);
    context.answer = createJsonResponse({
      requestId,
      state: found.state,
      ...(found.answer === undefined ? {} : {
        answer: {
          status: found.answer.status,
          contentType: found.answer.contentType,
          body: Buffer.from(found.answer.body).toString("base64"),
        },
      }),
    });
  };
}

/** Creates the request routes. */
export function createRequestRoutes(
  options: RequestRoutesOptions,
): HttpRoute[] {
  return [
    {
      method: "POST",
      path: "/v1/queues/:queue/requests",
      filters: [
        createRefusalFilter(options.getRefusal),
        createQueueFilter(options),
        createBodyFilter(options.maxBodyBytes),
        createExecuteFilter(options),
      ],
    },
    {
      method: "GET",
      path: "/v1/requests/:id",
      filters: [createRequestStateFilter(options)],
    },
  ];
}
