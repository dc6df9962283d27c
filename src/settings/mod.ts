/** The settings of one instance: their types, defaults and checks. */

export * from "./resolve.ts";
export * from "./settings.ts";
export { SETTINGS_SCHEMA } from "./schema.ts";
