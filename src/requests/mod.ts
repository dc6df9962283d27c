/** The request path: endpoints, fair queue, slots, records, forwarding and retries. */

export * from "./announcement.ts";
export { buildSlotRequest } from "./attempt.ts";
export { computeConnectionShare } from "./connection_budget.ts";
export * from "./endpoints.ts";
export * from "./endpoints_types.ts";
export {
  createRequestExecutor,
  type RequestExecutorOptions,
} from "./execute.ts";
export * from "./fair_queue.ts";
export * from "./fair_queue_types.ts";
export * from "./forward.ts";
export * from "./home.ts";
export * from "./outliers.ts";
export * from "./recorded_slots.ts";
export * from "./records.ts";
export { decodeRecordCommand, encodeRecordCommand } from "./records_codec.ts";
export * from "./records_types.ts";
export * from "./request_id.ts";
export * from "./retry_budget.ts";
export * from "./slot_explanation.ts";
export { createSlotController } from "./slots.ts";
export * from "./slots_types.ts";
export * from "./types.ts";
