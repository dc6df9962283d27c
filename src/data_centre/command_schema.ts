/**
 * Validates commands of the data centre log before they are applied. A command
 * that is not fully readable, such as one of a later version, must not change
 * the state: a partial application would create records that no leader decided.
 */

import { z } from "zod";
import type { AllotmentCommand } from "../allotments/mod.ts";
import { createFault } from "../common/mod.ts";
import type { RecordCommand } from "../requests/mod.ts";
import type { JobCommand } from "./job_records.ts";

const countSchema = z.int().min(0);
const taskFields = {
  job: z.string(),
  index: countSchema,
  attempt: countSchema,
};

const resourcesSchema = z.looseObject({
  processors: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
});

const limitsSchema = z.strictObject({
  slots: z.int(),
  processors: z.int(),
  memoryMb: z.int(),
  accelerators: z.int(),
});

// Covers only what the records and the scheduler rely on; the values of a job
// are validated at submission.
const jobCommandsSchema = z.array(z.discriminatedUnion("type", [
  z.looseObject({
    type: z.literal("submitJob"),
    spec: z.looseObject({
      id: z.string(),
      workspace: z.string(),
      policy: z.enum(["service", "batch", "gang"]),
      tasks: z.int().min(1),
      resources: resourcesSchema,
      submittedWallMs: z.number(),
    }),
  }),
  z.looseObject({ type: z.literal("cancelJob"), job: z.string() }),
  z.looseObject({
    type: z.literal("assign"),
    ...taskFields,
    worker: z.string(),
  }),
  z.looseObject({
    type: z.literal("endTask"),
    ...taskFields,
    outcome: z.enum([
      "finished",
      "failed",
      "cancelled",
      "lost",
      "stopped",
      "checkpointed",
    ]),
    final: z.boolean(),
    failures: countSchema,
  }),
  z.looseObject({
    type: z.literal("endJob"),
    job: z.string(),
    state: z.enum(["finished", "failed", "cancelled"]),
  }),
]));

const allotmentCommandSchema = z.discriminatedUnion("type", [
  z.looseObject({
    type: z.literal("applyConfiguration"),
    fromVersion: z.int(),
    version: z.int(),
    changes: z.array(z.looseObject({
      workspace: z.string(),
      grant: limitsSchema,
      cut: limitsSchema,
    })),
    evacuated: z.literal(true).optional(),
  }),
  z.looseObject({
    type: z.literal("transferOut"),
    to: z.string(),
    workspace: z.string(),
    amount: limitsSchema,
  }),
  z.looseObject({
    type: z.literal("transferIn"),
    transfer: z.looseObject({
      id: z.string(),
      from: z.string(),
      to: z.string(),
      workspace: z.string(),
      amount: limitsSchema,
    }),
  }),
  z.looseObject({
    type: z.literal("transferAcknowledged"),
    transferId: z.string(),
  }),
]);

const runFields = {
  scope: z.string(),
  requestId: z.string(),
  runId: z.string(),
  // With a time that is not a number, every later time comparison would fail.
  atMs: z.number(),
};

const recordCommandSchema = z.discriminatedUnion("type", [
  z.looseObject({
    type: z.literal("start"),
    ...runFields,
    bodyHash: z.string(),
    endsAtMs: z.number(),
  }),
  z.looseObject({
    type: z.literal("finish"),
    ...runFields,
    answer: z.looseObject({
      status: z.int(),
      contentType: z.string(),
      body: z.instanceof(Uint8Array),
    }).optional(),
  }),
  z.looseObject({ type: z.literal("forget"), ...runFields }),
]);

function checkWithSchema(
  schema: z.ZodType,
  command: unknown,
  subject: string,
): void {
  const result = schema.safeParse(command);
  if (result.success) return;
  const faults = result.error.issues.map(({ path, message }) =>
    `"${path.join(".") || "(top level)"}": ${message}`
  );
  throw createFault(
    "internal",
    `Cannot read ${subject}: ${faults.join("; ")}`,
    {
      ran: "no",
    },
  );
}

/** Validates a value as job commands and returns it. Throws the fault `internal` if a command is not readable. */
export function readJobCommands(value: unknown): JobCommand[] {
  checkWithSchema(jobCommandsSchema, value, "job commands");
  return value as JobCommand[];
}

/** Validates a value as an allotment command and returns it. Throws the fault `internal` if it is not readable. */
export function readAllotmentCommand(value: unknown): AllotmentCommand {
  checkWithSchema(allotmentCommandSchema, value, "an allotment command");
  return value as AllotmentCommand;
}

/** Validates a value as a request record command and returns it. Throws the fault `internal` if it is not readable. */
export function readRecordCommand(value: unknown): RecordCommand {
  checkWithSchema(recordCommandSchema, value, "a request record command");
  return value as RecordCommand;
}
