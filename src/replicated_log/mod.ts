/** A replicated log with a leader lease, for state that must survive the loss of instances. */

export { decodeLogMessage, encodeLogMessage } from "./codec.ts";
export { computeQuorum } from "./consensus_state.ts";
export { createDiskStorage, type DiskStorageOptions } from "./disk_storage.ts";
export { createLogFiles, type LogFile, type LogFiles } from "./log_files.ts";
export { createMemberId, parseMemberId } from "./member_id.ts";
export { createMemoryStorage } from "./memory_storage.ts";
export {
  readStoreSummary,
  RECOVERY_TERM_STEP,
  restoreGroup,
  type StoreSummary,
} from "./recover.ts";
export { createReplicatedLog } from "./replicated_log.ts";
export {
  computeBootstrapReplies,
  isEmptyStore,
  type LogStart,
  type LogStartOptions,
  type LogStartResolver,
  resolveLogStart,
} from "./start.ts";
export {
  computeLeaseMs,
  DEFAULT_LOG_TIMINGS,
  MAX_CLOCK_DRIFT_RATIO,
  resolveLogTimings,
} from "./timings.ts";
export * from "./types.ts";
