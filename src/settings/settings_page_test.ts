import { readFile } from "node:fs/promises";
import t from "tap";
import { z } from "zod";
import { SETTINGS_SCHEMA } from "./schema.ts";

const PAGE = new URL("../../../docs/settings.md", import.meta.url);

interface Row {
  readonly name: string;
  readonly type: string;
  readonly default: string;
  readonly allowed: string;
}

interface Unwrapped {
  readonly schema: z.core.$ZodType;
  readonly default?: string;
}

function getInner(schema: z.core.$ZodType): Unwrapped {
  if (schema instanceof z.ZodDefault) {
    const value = JSON.stringify(schema.def.defaultValue);
    return { ...getInner(schema.unwrap()), default: value };
  }
  if (schema instanceof z.ZodOptional) {
    return { ...getInner(schema.unwrap()), default: "none" };
  }
  if (schema instanceof z.ZodPrefault) return getInner(schema.unwrap());
  return { schema };
}

function getType(schema: z.core.$ZodType): string {
  if (schema instanceof z.ZodArray) return "list";
  if (schema instanceof z.ZodBoolean) return "boolean";
  if (schema instanceof z.ZodNumber) return "number";
  return "string";
}

function listRows(
  name: string,
  wrapped: z.core.$ZodType,
  inherited?: string,
): Row[] {
  const { schema, default: found } = getInner(wrapped);
  if (schema instanceof z.ZodObject) {
    const prefix = name === "" ? "" : `${name}.`;
    return Object.entries(schema.shape).flatMap(([key, inner]) =>
      listRows(`${prefix}${key}`, inner as z.core.$ZodType, found ?? inherited)
    );
  }
  const { error } = z.safeParse(schema, Symbol("never allowed"));
  const row: Row = {
    name,
    type: getType(schema),
    default: found ?? inherited ?? "required",
    allowed: error?.issues[0]?.message ?? "",
  };
  const element = schema instanceof z.ZodArray ? schema.element : undefined;
  if (!(element instanceof z.ZodObject)) return [row];
  return [row, ...listRows(`${name}[]`, element)];
}

// Defaults that are derived from other settings, in the wording of the page.
const DERIVED_DEFAULTS: Readonly<Record<string, string>> = {
  "advertise.http.host": "as `listen`",
  "advertise.http.port": "as `listen`",
  "advertise.rpc.host": "as `listen`",
  "advertise.rpc.port": "as `listen`",
  "requests.connectionsPerEndpoint": "computed",
};

function readRows(page: string): Row[] {
  return page.split("\n")
    .filter((line) => line.startsWith("| `"))
    .map((line) => {
      const cells = line.split("|").map((cell) => cell.trim());
      const [, name = "", type = "", fallback = "", , allowed = ""] = cells;
      const isValue = !(name.replaceAll("`", "") in DERIVED_DEFAULTS);
      return {
        name: name.replaceAll("`", ""),
        type,
        default: isValue ? fallback.replaceAll("`", "") : fallback,
        allowed,
      };
    });
}

// Guards against a reference page that lacks a setting or documents a wrong default, type or range.
t.test("the settings page matches the schema", async (t) => {
  const expected = listRows("", SETTINGS_SCHEMA).map((row) => ({
    ...row,
    default: DERIVED_DEFAULTS[row.name] ?? row.default,
  }));
  t.strictSame(readRows(await readFile(PAGE, "utf8")), expected);
});
