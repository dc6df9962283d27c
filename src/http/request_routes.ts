/** Routes of callers' requests to endpoints. */

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

/** Header that marks a non-idempotent request with "false". */
export const IDEMPOTENT_HEADER = "goldcrestlug-idempotent";

/** Header with the milliseconds that the caller will wait. */
export const DEADLINE_HEADER = "goldcrestlug-deadline-ms";

/** Workspace that requests without a key on an open queue are charged to. */
export const OPEN_WORKSPACE = "open";

const REQUEST_ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9:._-]{0,127}$/;

/** A request after admission, with what decides where it runs. */
export interface AdmittedRequest extends ExecuteRequest {
  /** Whether the caller chose the identifier, so that resends may come. */
  readonly isCallerNamed: boolean;
}

/** The state of a request as its home data centre knows it. */
export interface RequestState {
  state: string;
  answer?: RecordedAnswer;
}

/** Options of the routes. */
export interface RequestRoutesOptions {
  dataCentre: string;
  view: FleetView;
  maxBodyBytes: number;
  defaultDeadlineMs: number;
  maxDeadlineMs: number;
  /** Why new work is refused at present, if it is. */
  getRefusal: () => string | undefined;
  /** Runs a request to its answer. */
  execute: (request: AdmittedRequest) => Promise<RecordedAnswer>;
  /** Asks the home data centre of an identifier. */
  findRequest: (scope: string, requestId: string) => Promise<RequestState>;
}

/** Returns the scope within which a request identifier is unique. */
export function buildRequestScope(
  workspace: string | undefined,
  queue: string,
): string {
  return workspace === undefined ? `queue:${queue}` : `workspace:${workspace}`;
}

function getDeadlineMs(
  context: RequestContext,
  options: RequestRoutesOptions,
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

function getIdempotent(context: RequestContext): boolean {
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

function findQueue(view: FleetView, name: string): Queue {
  const queue = view.getState().queues.get(name);
  if (queue === undefined) {
    throw createFault("notFound", `Cannot find queue "${name}"`);
  }
  if (queue.policy === "requests") return queue;
  throw createFault(
    "badRequest",
    `Cannot send a request to queue "${name}": it takes jobs`,
  );
}

function createQueueFilter(options: RequestRoutesOptions): HttpFilter {
  return async (context, next) => {
    const queue = findQueue(options.view, context.params["queue"] ?? "");
    const token = getBearerToken(context);
    // A key that is presented must be valid, also where none is needed.
    if (token !== undefined || !queue.open) {
      context.workspace = options.view.checkKey(token).name;
    }
    context.logFields["queue"] = queue.name;
    context.logFields["workspace"] = context.workspace;
    await next();
  };
}

function createExecuteFilter(options: RequestRoutesOptions): HttpFilter {
  return async (context) => {
    const startMs = performance.now();
    const queue = context.params["queue"] ?? "";
    const named = getSingleHeader(context, REQUEST_ID_HEADER);
    if (named !== undefined) checkRequestId(named);
    // With its creation time the record can be forgotten safely after a while.
    const requestId = named ??
      `${options.dataCentre}:${
        createTimedRequestId(Date.now(), randomBytes(10))
      }`;
    context.logFields["requestId"] = requestId;
    const idempotent = getIdempotent(context);
    const contentType = getSingleHeader(context, "content-type") ??
      "application/octet-stream";
    const answer = await options.execute({
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
      isCallerNamed: named !== undefined,
      // The answer of a non-idempotent request is recorded for a resend, so a
      // caller that has gone away does not cancel it.
      ...(idempotent ? { signal: context.signal } : {}),
    });
    context.answer = toHttpAnswer(answer, requestId);
  };
}

function toHttpAnswer(answer: RecordedAnswer, requestId: string): HttpResponse {
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

function createFindFilter(options: RequestRoutesOptions): HttpFilter {
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

/** Creates the routes. */
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
      filters: [createFindFilter(options)],
    },
  ];
}
