/** Running instances. */

export * from "./instance.ts";
export * from "./log_groups.ts";
