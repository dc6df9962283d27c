/**
 * Schema of a change as operators send it. Validation reports the path and the
 * value of every problem. It runs again when a replica applies a command, so
 * all replicas reject a malformed command with the same answer.
 */

import { Buffer } from "node:buffer";
import { z } from "zod";
import { createFault } from "../common/mod.ts";
import { formatValue } from "./format_value.ts";
import {
  type FleetChange,
  type FleetCommand,
  QUEUE_POLICIES,
} from "./types.ts";

/** The largest limit. Sums over 35 data centres stay far below 2^53, so they are exact. */
export const MAX_LIMIT = 1_000_000_000_000;
/** The largest share. */
export const MAX_SHARE = 1_000_000;
/** Maximum number of operations in one change; enough for a sheet with 890 workspaces, their keys and queues. */
export const MAX_OPERATION_COUNT = 20_000;
/** Maximum size of one encoded command, in bytes. */
export const MAX_COMMAND_BYTES = 4_194_304;
/** Maximum number of problems listed in one message; the rest are counted. */
const MAX_LISTED_PROBLEM_COUNT = 10;

// Names are part of transfer identifiers ("a/b/1") and request identifiers
// ("dc:rest"), so they must not contain "/" or ":".
const nameSchema = z.string().regex(
  /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/,
  "is not a name of 1 to 63 letters, digits, dots, dashes or underscores that starts with a letter or digit",
);

// No underscore: it separates the identifier from the random part of a secret.
const keyIdSchema = z.string().regex(
  /^[A-Za-z0-9][A-Za-z0-9-]{0,62}$/,
  "is not a key identifier of 1 to 63 letters, digits or dashes",
);

const hashSchema = z.string().regex(
  /^[0-9a-f]{64}$/,
  "is not a SHA-256 hash of 64 lower-case hex digits",
);

const limitMessage = `is not an integer from 0 to ${MAX_LIMIT}`;
const limitSchema = z.int(limitMessage).min(0, limitMessage).max(
  MAX_LIMIT,
  limitMessage,
);

const shareMessage = `is not a number above 0 and up to ${MAX_SHARE}`;
const shareSchema = z.number(shareMessage).gt(0, shareMessage).max(
  MAX_SHARE,
  shareMessage,
);

const versionMessage = "is not a version, an integer from 0";
const versionSchema = z.int(versionMessage).min(0, versionMessage);

const limitsSchema = z.strictObject({
  slots: limitSchema,
  processors: limitSchema,
  memoryMb: limitSchema,
  accelerators: limitSchema,
});

const policySchema = z.enum(
  QUEUE_POLICIES,
  `is not one of ${QUEUE_POLICIES.join(", ")}`,
);

const operationSchema = z.discriminatedUnion("type", [
  z.strictObject({
    type: z.literal("createWorkspace"),
    name: nameSchema,
    share: shareSchema,
    limits: limitsSchema,
  }),
  z.strictObject({
    type: z.literal("updateWorkspace"),
    name: nameSchema,
    share: shareSchema.optional(),
    limits: limitsSchema.partial().optional(),
  }),
  z.strictObject({ type: z.literal("removeWorkspace"), name: nameSchema }),
  z.strictObject({
    type: z.literal("grantKey"),
    id: keyIdSchema,
    workspace: nameSchema,
    hash: hashSchema,
  }),
  z.strictObject({ type: z.literal("withdrawKey"), id: keyIdSchema }),
  z.strictObject({
    type: z.literal("createQueue"),
    name: nameSchema,
    open: z.boolean(),
    policy: policySchema,
  }),
  z.strictObject({
    type: z.literal("updateQueue"),
    name: nameSchema,
    open: z.boolean().optional(),
    policy: policySchema.optional(),
  }),
  z.strictObject({ type: z.literal("removeQueue"), name: nameSchema }),
  z.strictObject({
    type: z.literal("setDataCentres"),
    names: z.array(nameSchema).min(1, "is empty").max(1_000),
  }),
  z.strictObject({
    type: z.literal("closeDataCentre"),
    name: nameSchema,
    appliedVersion: versionSchema,
  }),
  z.strictObject({ type: z.literal("evacuateDataCentre"), name: nameSchema }),
  z.strictObject({ type: z.literal("readmitDataCentre"), name: nameSchema }),
], "is not the name of an operation");

const changeSchema = z.strictObject({
  changeId: z.string().regex(
    /^[\x21-\x7e]{1,128}$/,
    "is not an identifier of 1 to 128 printable characters without spaces",
  ),
  expectedVersion: versionSchema.optional(),
  operations: z.array(operationSchema).min(1, "is empty").max(
    MAX_OPERATION_COUNT,
    `has more than ${MAX_OPERATION_COUNT} operations`,
  ),
});

/** One problem of a change. */
export interface ChangeProblem {
  /** Path of the field, such as `operations[2].limits.slots`. */
  readonly path: string;
  /** The value as JSON, truncated and with key secrets masked. */
  readonly value: string;
  readonly message: string;
}

function formatPath(path: readonly PropertyKey[]): string {
  let text = "";
  for (const part of path) {
    if (typeof part === "number") text += `[${part}]`;
    else text += (text === "" ? "" : ".") + String(part);
  }
  return text === "" ? "change" : text;
}

function findValue(input: unknown, path: readonly PropertyKey[]): unknown {
  let value = input;
  for (const part of path) {
    if (typeof value !== "object" || value === null) return undefined;
    if (!Object.hasOwn(value, part)) return undefined;
    value = (value as Record<PropertyKey, unknown>)[part];
  }
  return value;
}

// Replaces the default message of types without a custom one, such as objects
// and booleans.
function getMessage(issue: z.core.$ZodIssue): string {
  const isCustom = !issue.message.startsWith("Invalid input");
  if (isCustom || issue.code !== "invalid_type") return issue.message;
  return `is not of type ${issue.expected}`;
}

function listProblems(
  issues: readonly z.core.$ZodIssue[],
  input: unknown,
): ChangeProblem[] {
  return issues.flatMap((issue) => {
    if (issue.code === "unrecognized_keys") {
      return issue.keys.map((key) => {
        const path = [...issue.path, key];
        return {
          path: formatPath(path),
          value: formatValue(findValue(input, path)),
          message: "is an unknown field",
        };
      });
    }
    const value = findValue(input, issue.path);
    const message = value === undefined ? "is missing" : getMessage(issue);
    return [{
      path: formatPath(issue.path),
      value: formatValue(value),
      message,
    }];
  });
}

/** Validates a change against the schema. Throws `badRequest` with the path and value of each problem. */
export function parseChange(input: unknown): FleetChange {
  const result = changeSchema.safeParse(input);
  if (result.success) return result.data;
  const problems = listProblems(result.error.issues, input);
  const listed = problems.slice(0, MAX_LISTED_PROBLEM_COUNT);
  const texts = listed.map((problem) =>
    `${problem.path}: ${problem.value} ${problem.message}`
  );
  const restCount = problems.length - listed.length;
  if (restCount > 0) texts.push(`and ${restCount} more`);
  throw createFault("badRequest", `Cannot read change: ${texts.join("; ")}`, {
    details: { problems: listed },
  });
}

/** Encodes a command for the fleet log. Throws `tooLarge` above `MAX_COMMAND_BYTES`. */
export function encodeCommand(command: FleetCommand): Uint8Array {
  const data = Buffer.from(JSON.stringify(command));
  if (data.length > MAX_COMMAND_BYTES) {
    throw createFault(
      "tooLarge",
      `Cannot encode change: ${data.length} bytes are more than ${MAX_COMMAND_BYTES}`,
    );
  }
  return data;
}

/** Decodes and validates a command. Throws `badRequest`. */
export function decodeCommand(data: Uint8Array): FleetCommand {
  let input: unknown;
  try {
    input = JSON.parse(Buffer.from(data).toString("utf8"));
  } catch (error) {
    throw createFault("badRequest", "Cannot read command: it is not JSON", {
      cause: error,
    });
  }
  const at = findValue(input, ["at"]);
  if (typeof at !== "number" || !Number.isFinite(at)) {
    throw createFault(
      "badRequest",
      `Cannot read command: at: ${formatValue(at)} is not a time`,
    );
  }
  return { at, change: parseChange(findValue(input, ["change"])) };
}
