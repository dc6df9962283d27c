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
/** Forwarding of calls to the leader. */
export * as gateway from "./gateway/mod.ts";
/** Models of runners and of a whole cell, for tests and experiments. */
export * as model from "./model/mod.ts";
/** Jobs of several steps on runners that are called. */
export * as workload from "./workload/mod.ts";
