/** Allotments: the parts of workspace limits held by each data centre, and the policy that rebalances them. */

export * from "./allotments.ts";
export * from "./limit_status.ts";
export * from "./rebalancer.ts";
export * from "./types.ts";
