/** Starts instances, and names and lists the log groups they belong to. */

export * from "./instance.ts";
export * from "./log_groups.ts";
