/** The fleet configuration: state machine, distribution, read-only copy, key secrets and the planners' sheet. */

export { CACHED_ANSWER_COUNT } from "./answer_cache.ts";
export {
  computeRolloutStatus,
  createUpdateHistory,
  UNCONFIRMED_AGE_MS,
} from "./distribution.ts";
export {
  computeGranted,
  computeGrantedSum,
  type DivisionSource,
} from "./division.ts";
export { createFleetState } from "./fleet_state.ts";
export {
  createFleetView,
  DEFAULT_KEY_STALENESS_LIMIT_MS,
  KEY_CONFIRMATION_GRACE_MS,
} from "./fleet_view.ts";
export * from "./key_secret.ts";
export * from "./limits.ts";
export { decodeCommand, encodeCommand, parseChange } from "./schema.ts";
export {
  decodeDelta,
  decodeJson,
  decodeState,
  encodeState,
} from "./state_codec.ts";
export * from "./types.ts";
export {
  type KeyRow,
  parseSheet,
  type QueueRow,
  SHEET_COLUMNS,
  type SheetColumn,
  type SheetProblem,
  type SheetRow,
  type WorkspaceRow,
} from "./sheet.ts";
export { planSheet, type SheetPlan } from "./sheet_plan.ts";
export { buildWithdrawalChange } from "./withdrawal.ts";
