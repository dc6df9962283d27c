/** Routes for jobs. */

import { randomUUID } from "node:crypto";
import { z } from "zod";
import { createFault } from "../common/mod.ts";
import { parseWithSchema } from "../data_centre/announcements.ts";
import { JOB_ID_PATTERN } from "../data_centre/attempt_name.ts";
import type { FleetView } from "../fleet/types.ts";
import type { JobPolicy, JobSpec } from "../scheduling/types.ts";
import { parseJson } from "./body.ts";
import {
  createApiKeyFilter,
  createBodyFilter,
  createRefusalFilter,
  type HttpFilter,
} from "./filters.ts";
import type { HttpRoute } from "./http_server.ts";
import { createJsonResponse } from "./request_context.ts";

/** Default number of attempts before a task fails; `service` jobs have their own default. */
export const DEFAULT_MAX_ATTEMPTS_COUNT = 3;

const amountSchema = z.number().int().min(0);

const jobSchema = z.strictObject({
  id: z.string().regex(JOB_ID_PATTERN).optional(),
  queue: z.string().min(1).max(128).optional(),
  policy: z.enum(["service", "batch", "gang"]).optional(),
  tasks: z.number().int().min(1).default(1),
  resources: z.strictObject({
    processors: amountSchema.default(0),
    memoryMb: amountSchema.default(0),
    accelerators: amountSchema.default(0),
  }),
  urgent: z.boolean().default(false),
  expectedMs: z.number().int().min(1).optional(),
  maxAttempts: z.number().int().min(1).max(1_000_000).optional(),
  payload: z.unknown().optional(),
});

/** A validated job as submitted by a caller, with defaults filled in. */
export type SubmittedJob = Omit<JobSpec, "submittedAt" | "workspace">;

/** A job and its state as returned to callers; docs/http.md describes the fields. */
export type JobView = Readonly<Record<string, unknown>>;

/** Options of `createJobRoutes`. */
export interface JobRoutesOptions {
  dataCentre: string;
  view: FleetView;
  maxBodyBytes: number;
  /** Maximum number of tasks of a job. */
  maxTasks: number;
  /** Returns why new work is currently rejected; undefined if it is accepted. */
  getRefusal: () => string | undefined;
  submitJob: (workspace: string, job: SubmittedJob) => Promise<JobView>;
  getJob: (workspace: string, id: string) => Promise<JobView>;
  cancelJob: (workspace: string, id: string) => Promise<JobView>;
}

function resolvePolicy(
  view: FleetView,
  queueName: string | undefined,
  requested: JobPolicy | undefined,
): JobPolicy {
  if (queueName === undefined) return requested ?? "batch";
  const queue = view.getState().queues.get(queueName);
  if (queue === undefined) {
    throw createFault("notFound", `Cannot find queue "${queueName}"`);
  }
  if (queue.policy === "requests") {
    throw createFault(
      "badRequest",
      `Cannot submit a job to queue "${queueName}": it accepts only requests`,
    );
  }
  const policy = queue.policy === "services" ? "service" : queue.policy;
  if (requested === undefined || requested === policy) return policy;
  throw createFault(
    "badRequest",
    `Cannot submit a job with policy "${requested}" to queue "${queueName}": its policy is "${policy}"`,
  );
}

/**
 * Validates a submitted job and fills in its defaults. Fault `badRequest` if it is
 * invalid or exceeds a limit, `notFound` if its queue does not exist.
 */
export function parseJob(
  input: unknown,
  options: Pick<JobRoutesOptions, "dataCentre" | "view" | "maxTasks">,
): SubmittedJob {
  const job = parseWithSchema(jobSchema, input, "the job");
  const { maxTasks } = options;
  if (job.tasks > maxTasks) {
    throw createFault(
      "badRequest",
      `Cannot accept a job of ${job.tasks} tasks: the limit "jobs.maxTasks" is ${maxTasks}`,
    );
  }
  const policy = resolvePolicy(options.view, job.queue, job.policy);
  const defaultAttempts = policy === "service"
    ? 1_000_000
    : DEFAULT_MAX_ATTEMPTS_COUNT;
  return {
    id: job.id ?? `${options.dataCentre}:${randomUUID()}`,
    policy,
    tasks: job.tasks,
    resources: job.resources,
    urgent: job.urgent,
    ...(job.expectedMs === undefined ? {} : { expectedMs: job.expectedMs }),
    maxAttempts: job.maxAttempts ?? defaultAttempts,
    payload: job.payload ?? null,
  };
}

/** Creates the job routes. */
export function createJobRoutes(options: JobRoutesOptions): HttpRoute[] {
  const authenticate = createApiKeyFilter(options.view);

  const submit: HttpFilter = async (context) => {
    const job = parseJob(parseJson(context.body), options);
    context.logFields["job"] = job.id;
    const view = await options.submitJob(context.workspace ?? "", job);
    context.answer = createJsonResponse(view, 202);
  };

  const get: HttpFilter = async (context) => {
    const id = context.params["id"] ?? "";
    context.answer = createJsonResponse(
      await options.getJob(context.workspace ?? "", id),
    );
  };

  const cancel: HttpFilter = async (context) => {
    const id = context.params["id"] ?? "";
    context.answer = createJsonResponse(
      await options.cancelJob(context.workspace ?? "", id),
      202,
    );
  };

  return [
    {
      method: "POST",
      path: "/v1/jobs",
      filters: [
        createRefusalFilter(options.getRefusal),
        authenticate,
        createBodyFilter(options.maxBodyBytes),
        submit,
      ],
    },
    { method: "GET", path: "/v1/jobs/:id", filters: [authenticate, get] },
    { method: "DELETE", path: "/v1/jobs/:id", filters: [authenticate, cancel] },
  ];
}
