/** The public library of goldcrestlug. */

export * from "./allotments/mod.ts";
export * from "./client/mod.ts";
export * from "./common/mod.ts";
export * from "./fleet/mod.ts";
export * from "./instance/mod.ts";
export * from "./membership/mod.ts";
export * from "./replicated_log/mod.ts";
export * from "./report/mod.ts";
export * from "./requests/mod.ts";
export * from "./scheduling/mod.ts";
export * from "./settings/mod.ts";
