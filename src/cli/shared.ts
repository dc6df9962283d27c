/** Arguments, output and exit codes shared by the commands. */

import { readFileSync } from "node:fs";
import process from "node:process";
import { flag, option, optional, string } from "cmd-ts";
import { type Client, createClient } from "../client/mod.ts";
import { createFault, type FaultKind, toFault } from "../common/mod.ts";

const DEFAULT_ADDRESS = "http://127.0.0.1:8080";

/** Environment variable that contains the operator token; a flag would expose it in the process list. */
export const TOKEN_VARIABLE = "GOLDCRESTLUG_TOKEN";

/** Environment variable that contains the key of a workspace. */
export const KEY_VARIABLE = "GOLDCRESTLUG_KEY";

/** Environment variable that contains the path of the CA certificates. */
export const CA_VARIABLE = "GOLDCRESTLUG_CA";

/**
 * Exit codes. They let a script distinguish errors to retry, errors to correct,
 * and unknown outcomes to look up.
 */
export const EXIT_CODES = Object.freeze({
  success: 0,
  failure: 1,
  badInput: 2,
  refused: 3,
  notReachable: 4,
  outcomeUnknown: 5,
});

const EXIT_CODE_BY_KIND: Partial<Record<FaultKind, number>> = {
  badRequest: EXIT_CODES.badInput,
  notFound: EXIT_CODES.badInput,
  tooLarge: EXIT_CODES.badInput,
  unauthenticated: EXIT_CODES.refused,
  forbidden: EXIT_CODES.refused,
  versionConflict: EXIT_CODES.refused,
  requestIdConflict: EXIT_CODES.refused,
  limitReached: EXIT_CODES.refused,
  neverRunnable: EXIT_CODES.refused,
  overloaded: EXIT_CODES.notReachable,
  unavailable: EXIT_CODES.notReachable,
  deadlineExceeded: EXIT_CODES.outcomeUnknown,
  outcomeUnknown: EXIT_CODES.outcomeUnknown,
};

const HINT_BY_KIND: Partial<Record<FaultKind, string>> = {
  unauthenticated:
    `Set ${TOKEN_VARIABLE} (operators) or ${KEY_VARIABLE} (workspaces) and try again.`,
  versionConflict:
    "Check the current configuration with `goldcrestlug config` and try again.",
  unavailable:
    "Try another instance with --address, or check `goldcrestlug status`.",
  overloaded: "Try again later.",
  outcomeUnknown:
    "Repeat the command with the same identifier, or check the current state first.",
};

/** Options of all commands that call an instance. */
export const CONNECTION_OPTIONS = {
  address: option({
    type: string,
    long: "address",
    defaultValue: () => DEFAULT_ADDRESS,
    description: "base address of any instance",
  }),
  ca: option({
    type: optional(string),
    long: "ca",
    env: CA_VARIABLE,
    description:
      "PEM file with the CA certificates that verify an https address",
  }),
  json: flag({ long: "json", description: "print JSON" }),
};

/** Optional change identifier, for resending a change after a lost response. */
export const CHANGE_ID_OPTION = option({
  type: optional(string),
  long: "change-id",
  description: "identifier of the change; repeat it to resend safely",
});

/** Parsed values of `CONNECTION_OPTIONS`. */
export interface ConnectionArgs {
  address: string;
  ca?: string | undefined;
  json: boolean;
}

/** Creates a client with the operator token from the environment. */
export function createOperatorClient(args: ConnectionArgs): Client {
  return createClientFromArgs(args, process.env[TOKEN_VARIABLE]);
}

/** Creates a client with the given workspace key; default: the one from the environment. */
export function createWorkspaceClient(
  args: ConnectionArgs,
  key = process.env[KEY_VARIABLE],
): Client {
  return createClientFromArgs(args, key);
}

function readCaFile(path: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch (cause) {
    throw createFault("badRequest", `Cannot read CA file "${path}"`, {
      cause,
    });
  }
}

function createClientFromArgs(args: ConnectionArgs, token?: string): Client {
  return createClient({
    address: args.address.replace(/\/$/, ""),
    ...(token === undefined ? {} : { token }),
    ...(args.ca === undefined ? {} : { ca: readCaFile(args.ca) }),
  });
}

/** Prints `value` as JSON if `json` is set, otherwise the result of `text`. */
export function writeOutput(
  json: boolean,
  value: unknown,
  text: () => string,
): void {
  const output = json ? JSON.stringify(value, null, 2) : text();
  process.stdout.write(output.endsWith("\n") ? output : output + "\n");
}

/** Returns the exit code for an error kind. */
export function getExitCode(kind: FaultKind): number {
  return EXIT_CODE_BY_KIND[kind] ?? EXIT_CODES.failure;
}

/** Runs a command. On a fault, prints it with a hint and sets the exit code. */
export async function runCommand(action: () => Promise<void>): Promise<void> {
  try {
    await action();
  } catch (error) {
    const fault = toFault(error);
    const hint = HINT_BY_KIND[fault.kind];
    process.stderr.write(`${fault.kind}: ${fault.message}\n`);
    if (hint !== undefined) process.stderr.write(`${hint}\n`);
    process.exitCode = getExitCode(fault.kind);
  }
}

/** Parses the JSON text of a file; fault `badRequest` with the path if it is invalid. */
export function parseJsonText(text: string, path: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw createFault("badRequest", `Cannot parse file "${path}" as JSON`, {
      cause: error,
    });
  }
}

/** Renders a text table; each column is as wide as its longest cell. */
export function renderTable(
  headings: readonly string[],
  rows: readonly (readonly unknown[])[],
): string {
  const cells = [headings, ...rows].map((row) => row.map(String));
  const widths = headings.map((_, column) =>
    Math.max(...cells.map((row) => row[column]?.length ?? 0))
  );
  return cells
    .map((row) =>
      row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ")
        .trimEnd()
    )
    .join("\n");
}
