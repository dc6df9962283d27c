/** Loads settings, validates them and fills in the defaults. */

import { readFile } from "node:fs/promises";
import { dirname, resolve } from "node:path";
import { z } from "zod";
import { createFault } from "../common/mod.ts";
import { checkSettingCombinations, isLoopback } from "./cross_checks.ts";
import { findNearestName } from "./nearest_name.ts";
import { SETTINGS_SCHEMA } from "./schema.ts";
import type { ParsedSettings, SettingName } from "./schema.ts";
import { computeConnectionsPerEndpoint, toFrozen } from "./settings.ts";
import type { Settings, TlsFiles, TlsSettings } from "./settings.ts";

/** One problem of a settings file. */
export interface SettingFault {
  /** Path of the setting, such as `instances[2].http.port`. */
  readonly path: string;
  /** The invalid value; `undefined` when the setting is missing. */
  readonly value: unknown;
  /** Description of the allowed values. */
  readonly allowed: string;
  /** The most similar known name, when the name is unknown. */
  readonly suggestion?: string;
}

type Path = readonly PropertyKey[];

const VALUE_MAX_CHARACTERS = 80;
const HIDDEN_VALUE = "(hidden)";

function formatPath(path: Path): string {
  let text = "";
  for (const part of path) {
    const separator = text === "" ? "" : ".";
    text += typeof part === "number"
      ? `[${part}]`
      : `${separator}${String(part)}`;
  }
  return text === "" ? "(settings)" : text;
}

function findValue(input: unknown, path: Path): unknown {
  let value = input;
  for (const part of path) {
    if (typeof value !== "object" || value === null) return undefined;
    value = (value as Record<PropertyKey, unknown>)[part];
  }
  return value;
}

// Hides the token hash: an operator may have pasted the token itself, which
// must not be logged.
function getDisplayValue(input: unknown, path: Path): unknown {
  const value = findValue(input, path);
  const isSecret = path[0] === "operatorTokenHash" && value !== undefined;
  return isSecret ? HIDDEN_VALUE : value;
}

function listKnownNames(path: Path): string[] {
  let schema: z.core.$ZodType = SETTINGS_SCHEMA;
  for (const part of path) {
    schema = findInner(schema);
    if (schema instanceof z.ZodArray) schema = schema.element;
    else if (schema instanceof z.ZodObject) {
      schema = schema.shape[String(part)] ?? schema;
    }
  }
  schema = findInner(schema);
  return schema instanceof z.ZodObject ? Object.keys(schema.shape) : [];
}

function findInner(schema: z.core.$ZodType): z.core.$ZodType {
  let inner = schema;
  while (
    inner instanceof z.ZodOptional || inner instanceof z.ZodDefault ||
    inner instanceof z.ZodPrefault
  ) inner = inner.unwrap();
  return inner;
}

function createNameFault(
  input: unknown,
  parent: Path,
  name: string,
): SettingFault {
  const known = listKnownNames(parent);
  const suggestion = findNearestName(name, known);
  return {
    path: formatPath([...parent, name]),
    value: getDisplayValue(input, [...parent, name]),
    allowed: `one of the names ${known.join(", ")}`,
    ...(suggestion === undefined ? {} : { suggestion }),
  };
}

function createIssueFaults(
  input: unknown,
  issue: z.core.$ZodIssue,
): SettingFault[] {
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) => createNameFault(input, issue.path, key));
  }
  return [{
    path: formatPath(issue.path),
    value: getDisplayValue(input, issue.path),
    allowed: issue.message,
  }];
}

interface ValidSettings {
  readonly names: ReadonlySet<SettingName>;
  readonly values: Partial<ParsedSettings>;
}

/** Parses each top-level setting separately, so that rules can run on the valid ones. */
function parseValidSettings(input: unknown): ValidSettings {
  const names = new Set<SettingName>();
  const values: Record<string, unknown> = {};
  for (const [name, schema] of Object.entries(SETTINGS_SCHEMA.shape)) {
    const result = schema.safeParse(findValue(input, [name]));
    if (!result.success) continue;
    names.add(name as SettingName);
    values[name] = result.data;
  }
  return { names, values };
}

/** Validates all settings and lists every fault; the list is empty when they are valid. */
export function checkSettings(input: unknown): SettingFault[] {
  const parsed = SETTINGS_SCHEMA.safeParse(input);
  const issues = parsed.success ? [] : parsed.error.issues;
  const faults = issues.flatMap((issue) => createIssueFaults(input, issue));
  if (typeof input !== "object" || input === null || Array.isArray(input)) {
    return faults;
  }
  const valid = parseValidSettings(input);
  const violations = checkSettingCombinations(valid.values, valid.names);
  for (const { path, allowed } of violations) {
    faults.push({
      path: formatPath(path),
      value: getDisplayValue(valid.values, path),
      allowed,
    });
  }
  return faults;
}

function formatValue(value: unknown): string {
  if (value === HIDDEN_VALUE) return value;
  const text = JSON.stringify(value) ?? String(value);
  if (text.length <= VALUE_MAX_CHARACTERS) return text;
  return `${text.slice(0, VALUE_MAX_CHARACTERS)}…`;
}

/** Formats one fault as one line. */
export function formatSettingFault(fault: SettingFault): string {
  const { path, value, allowed, suggestion } = fault;
  if (suggestion !== undefined) {
    return `${path}: unknown name, did you mean "${suggestion}"? (value ${
      formatValue(value)
    }; allowed: ${allowed})`;
  }
  const found = value === undefined ? "missing" : formatValue(value);
  return `${path}: ${found}; allowed: ${allowed}`;
}

/**
 * Validates settings and fills in the defaults. The result is frozen. Throws
 * `badRequest` with one line for each fault in the message and the list of
 * faults in `details.faults`.
 */
export function resolveSettings(input: unknown): Settings {
  const faults = checkSettings(input);
  if (faults.length > 0) {
    const lines = faults.map((fault) => `\n  ${formatSettingFault(fault)}`);
    throw createFault(
      "badRequest",
      `Cannot accept settings (faults: ${faults.length}):${lines.join("")}`,
      { details: { faults } },
    );
  }
  const parsed = SETTINGS_SCHEMA.parse(input);
  const connectionsPerEndpoint = parsed.requests.connectionsPerEndpoint ??
    computeConnectionsPerEndpoint(parsed.instances.length);
  return toFrozen({
    ...parsed,
    advertise: parsed.advertise ?? parsed.listen,
    requests: { ...parsed.requests, connectionsPerEndpoint },
  });
}

function parseJson(text: string, path: string): unknown {
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw createFault(
      "badRequest",
      `Cannot parse settings file "${path}" as JSON`,
      { cause },
    );
  }
}

function resolveTlsFiles<Files extends TlsFiles>(
  folder: string,
  files: Files,
): Files {
  const paths = Object.entries(files) as [string, string][];
  return Object.fromEntries(
    paths.map(([name, path]) => [name, resolve(folder, path)]),
  ) as unknown as Files;
}

function resolveTls(folder: string, tls: TlsSettings): TlsSettings {
  const { rpc, http, reloadMs } = tls;
  return {
    reloadMs,
    ...(rpc === undefined ? {} : { rpc: resolveTlsFiles(folder, rpc) }),
    ...(http === undefined ? {} : { http: resolveTlsFiles(folder, http) }),
  };
}

/**
 * Loads a settings file. Relative paths in `dataFolder` and `tls` are resolved
 * against the folder of the file, so they do not depend on the working
 * directory. Throws `badRequest` when the file cannot be read or is invalid.
 */
export async function loadSettings(path: string): Promise<Settings> {
  const text = await readFile(path, "utf8").catch((cause) => {
    throw createFault("badRequest", `Cannot read settings file "${path}"`, {
      cause,
    });
  });
  const settings = resolveSettings(parseJson(text, path));
  const folder = dirname(path);
  const { dataFolder } = settings;
  return toFrozen({
    ...settings,
    ...(dataFolder === undefined
      ? {}
      : { dataFolder: resolve(folder, dataFolder) }),
    tls: resolveTls(folder, settings.tls),
  });
}

/** Tells whether the operators' interface accepts calls without a token; callers should log this. */
export function isOperatorInterfaceOpen(settings: Settings): boolean {
  return settings.operatorTokenHash === undefined &&
    isLoopback(settings.listen.http.host);
}
