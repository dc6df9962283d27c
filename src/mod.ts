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
/** Forwards calls to the leader. */
export * as gateway from "./gateway/mod.ts";
/** Simulated runners and cells, for tests and experiments. */
export * as model from "./model/mod.ts";
/** Multi-step jobs on runners that the scheduler calls. */
export * as workload from "./workload/mod.ts";
