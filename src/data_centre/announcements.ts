/** Validation of worker announcements, sent as JSON over HTTP, and types of the replies to announcements. */

import { z } from "zod";
import { createFault } from "../common/mod.ts";
import type { WorkerReport } from "../scheduling/types.ts";
import { parseAttempt } from "./attempt_name.ts";

const nameSchema = z.string().min(1).max(128);
const countSchema = z.number().int().min(0);
const addressSchema = z.string().regex(
  /^https?:\/\/[^/\s]+$/,
  "expected an address such as http://192.0.2.1:8080",
);

const resourcesSchema = z.strictObject({
  processors: countSchema,
  memoryMb: countSchema,
  accelerators: countSchema,
});

const taskSchema = z.strictObject({
  task: z.string().min(1).max(256),
  epoch: countSchema,
  state: z.enum([
    "starting",
    "running",
    "finished",
    "failed",
    "stopped",
    "checkpointed",
  ]),
  usage: resourcesSchema.optional(),
  exitCode: z.number().int().optional(),
  processorLimit: countSchema.optional(),
});

const workerSchema = z.strictObject({
  worker: nameSchema,
  address: addressSchema,
  dataCentre: nameSchema,
  rack: nameSchema,
  incarnation: countSchema,
  sequence: countSchema,
  capacity: resourcesSchema,
  tasks: z.array(taskSchema).max(100_000),
  draining: z.boolean().default(false),
});

/** A validated worker announcement. */
export interface WorkerAnnouncement extends WorkerReport {
  readonly address: string;
  readonly dataCentre: string;
}

/** The reply to a worker's announcement. */
export interface WorkerAnnouncementReply {
  /** Epoch of the leader that replies. */
  epoch: number;
  /** Duration of the renewed leases from the time the announcement was sent, in milliseconds. */
  leaseMs: number;
  /** Task attempts with renewed leases. */
  renewed: string[];
}

/** The reply to an endpoint's announcement. */
export interface EndpointAnnouncementReply {
  epoch: number;
  /** Time without announcements after which the endpoint counts as unresponsive, in milliseconds. */
  leaseMs: number;
}

/** Parses a value with a schema. Throws the fault `badRequest`, which names each invalid field. */
export function parseWithSchema<T>(
  schema: z.ZodType<T>,
  input: unknown,
  subject: string,
): T {
  const result = schema.safeParse(input);
  if (result.success) return result.data;
  const faults = result.error.issues.map((issue) => {
    const path = issue.path.join(".") || "(top level)";
    return `"${path}": ${issue.message}`;
  });
  throw createFault(
    "badRequest",
    `Cannot accept ${subject}: ${faults.join("; ")}`,
  );
}

/** Validates a worker's announcement. Throws the fault `badRequest` if it is invalid. */
export function parseWorkerAnnouncement(input: unknown): WorkerAnnouncement {
  const parsed = parseWithSchema(
    workerSchema,
    input,
    "the worker announcement",
  );
  const tasks = parsed.tasks.map((task) => ({
    ...parseAttempt(task.task),
    state: task.state,
    ...(task.usage === undefined ? {} : { usage: task.usage }),
    ...(task.exitCode === undefined ? {} : { exitCode: task.exitCode }),
    ...(task.processorLimit === undefined
      ? {}
      : { processorLimit: task.processorLimit }),
  }));
  return { ...parsed, tasks };
}
