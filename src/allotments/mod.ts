/** The parts of workspace limits that a data centre holds, and the policy that moves them. */

export * from "./allotments.ts";
export * from "./limit_status.ts";
export * from "./rebalancer.ts";
export * from "./types.ts";
