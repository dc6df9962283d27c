/** The request path: endpoints, fair queue, slots, records, forwarding and retries. */

export * from "./announcement.ts";
export { computeConnectionShare } from "./connection_budget.ts";
export * from "./endpoints.ts";
export * from "./fair_queue.ts";
export * from "./fair_queue_types.ts";
export * from "./outliers.ts";
export * from "./slots.ts";
export * from "./types.ts";
