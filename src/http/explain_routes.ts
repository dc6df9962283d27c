/** Routes that tell where a request or a job would go now, without sending it. */

import { createFault, type FaultBody, type Resources } from "../common/mod.ts";
import type { FleetView, Queue, Workspace } from "../fleet/types.ts";
import { REQUEST_ID_HEADER } from "../requests/constants.ts";
import type { SlotExplanation } from "../requests/mod.ts";
import type { JobExplanation } from "../scheduling/types.ts";
import { parseJson } from "./body.ts";
import {
  checkOperatorToken,
  createBodyFilter,
  createRefusalFilter,
  type HttpFilter,
} from "./filters.ts";
import type { HttpRoute } from "./http_server.ts";
import { parseJob, type SubmittedJob } from "./job_routes.ts";
import {
  createJsonResponse,
  getBearerToken,
  getRetryAfterSeconds,
  getSingleHeader,
  type RequestContext,
} from "./request_context.ts";
import {
  type AdmissionOptions,
  type AdmittedRequest,
  buildAdmittedRequest,
  findQueue,
} from "./request_routes.ts";

/** The explanation of a slot request by the leader of a data centre. */
export interface LeaderExplanation extends SlotExplanation {
  /** Instance that answered. */
  readonly leader: string;
  readonly epoch: number;
}

/** Where a request without a chosen identifier would go now, and why. */
export interface RequestExplanation {
  /**
   * "elsewhere": this data centre does not serve it, and the next one is tried.
   * "unknown": the leader of this data centre cannot be asked now.
   */
  readonly outcome: "starts" | "waits" | "refused" | "elsewhere" | "unknown";
  /** The data centre of the instance that answered. */
  readonly dataCentre: string;
  /** The data centres in the order in which the request tries them. */
  readonly order: readonly string[];
  /** Data centres left out because they are evacuated. */
  readonly evacuated: readonly string[];
  readonly refusal?: FaultBody;
  /** What the leader of this data centre answered; absent if it was not asked. */
  readonly local?: LeaderExplanation;
  readonly unknown: readonly string[];
}

/** The answer of `GET /v1/explain/queues/:queue/requests`. */
export interface RenderedExplanation extends RequestExplanation {
  readonly queue: string;
  readonly workspace: string;
  readonly idempotent: boolean;
  readonly deadlineMs: number;
  /** `retryAfterMs` is absent if a retry does not help. */
  readonly refusal?: FaultBody & { readonly retryAfterMs?: number };
}

/** The explanation of a job by the leader of its home data centre. */
export interface LeaderJobExplanation extends JobExplanation {
  /** Instance that answered. */
  readonly leader: string;
  readonly epoch: number;
  /** Whether the same job was submitted before; a submission then returns that job. */
  readonly exists: boolean;
}

/** Where a job would go now, and why. */
export interface RoutedJobExplanation {
  /** "unknown": also if the leader of the home data centre cannot be asked now. */
  readonly outcome: JobExplanation["outcome"];
  /** The home data centre of the job's identifier, in which all its tasks run. */
  readonly dataCentre: string;
  /** What the leader answered; absent if it could not be asked. */
  readonly home?: LeaderJobExplanation;
  readonly unknown: readonly string[];
}

/** The answer of `POST /v1/explain/jobs`. */
export interface RenderedJobExplanation extends RoutedJobExplanation {
  readonly workspace: string;
  readonly policy: string;
  readonly tasks: number;
  readonly resources: Resources;
  readonly urgent: boolean;
}

/** Options of `createExplainRoutes`. */
export interface ExplainRoutesOptions extends AdmissionOptions {
  /** SHA-256 of the operator token in hex; absent: no token is required. */
  tokenHash?: string;
  /** Returns why new work is currently rejected; undefined if it is accepted. */
  getRefusal: () => string | undefined;
  explainRequest: (request: AdmittedRequest) => Promise<RequestExplanation>;
  explainJob: (
    workspace: string,
    job: SubmittedJob,
  ) => Promise<RoutedJobExplanation>;
  /** Maximum size and number of tasks of a job that a question is about. */
  maxBodyBytes: number;
  maxTasks: number;
}

function findWorkspace(view: FleetView, name: string): Workspace {
  const workspace = view.getState().workspaces.get(name);
  if (workspace !== undefined) return workspace;
  throw createFault("notFound", `Cannot find workspace "${name}"`);
}

/** Returns the workspace that an operator names in the query; undefined if none is named. */
function findNamedWorkspace(
  context: RequestContext,
  options: ExplainRoutesOptions,
): string | undefined {
  const { searchParams } = new URL(
    context.request.url ?? "/",
    "http://localhost",
  );
  const named = searchParams.get("workspace");
  if (named === null) return undefined;
  checkOperatorToken(context, options.tokenHash);
  return findWorkspace(options.view, named).name;
}

/**
 * Returns the workspace of the key. An operator names it in the query, or no
 * workspace for a request without a key to an open queue.
 */
function findCaller(
  context: RequestContext,
  queue: Queue,
  options: ExplainRoutesOptions,
): string | undefined {
  const named = findNamedWorkspace(context, options);
  if (named !== undefined) return named;
  const token = getBearerToken(context);
  if (token === undefined && queue.open) {
    checkOperatorToken(context, options.tokenHash);
    return undefined;
  }
  return options.view.checkKey(token).name;
}

function renderExplanation(
  request: AdmittedRequest,
  explanation: RequestExplanation,
): RenderedExplanation {
  const { refusal } = explanation;
  const retryAfter = refusal && getRetryAfterSeconds(refusal.kind);
  return {
    queue: request.queue,
    workspace: request.workspace,
    idempotent: request.idempotent,
    deadlineMs: Math.floor(request.remainingMs),
    ...explanation,
    ...(refusal === undefined ? {} : {
      refusal: {
        ...refusal,
        ...(retryAfter === undefined
          ? {}
          : { retryAfterMs: 1_000 * retryAfter }),
      },
    }),
  };
}

/** Creates the routes. */
export function createExplainRoutes(
  options: ExplainRoutesOptions,
): HttpRoute[] {
  const explainRequest: HttpFilter = async (context) => {
    const queue = findQueue(options.view, context.params["queue"] ?? "");
    const workspace = findCaller(context, queue, options);
    if (workspace !== undefined) context.workspace = workspace;
    if (getSingleHeader(context, REQUEST_ID_HEADER) !== undefined) {
      throw createFault(
        "badRequest",
        `Cannot explain a request with header "${REQUEST_ID_HEADER}": only its home data centre knows its record`,
      );
    }
    const request = buildAdmittedRequest(context, options);
    const explanation = await options.explainRequest(request);
    context.answer = createJsonResponse(
      renderExplanation(request, explanation),
    );
  };

  const authenticate: HttpFilter = async (context, next) => {
    context.workspace = findNamedWorkspace(context, options) ??
      options.view.checkKey(getBearerToken(context)).name;
    await next();
  };

  const explainJob: HttpFilter = async (context) => {
    const workspace = context.workspace ?? "";
    const job = parseJob(parseJson(context.body), options);
    const explanation = await options.explainJob(workspace, job);
    const { policy, tasks, resources, urgent } = job;
    const rendered: RenderedJobExplanation = {
      workspace,
      policy,
      tasks,
      resources,
      urgent,
      ...explanation,
    };
    context.answer = createJsonResponse(rendered);
  };

  return [
    {
      method: "POST",
      path: "/v1/explain/jobs",
      filters: [
        createRefusalFilter(options.getRefusal),
        authenticate,
        createBodyFilter(options.maxBodyBytes),
        explainJob,
      ],
    },
    {
      method: "GET",
      path: "/v1/explain/queues/:queue/requests",
      filters: [createRefusalFilter(options.getRefusal), explainRequest],
    },
  ];
}
