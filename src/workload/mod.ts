/** Schedules multi-step workloads on runners that the scheduler calls. */

export * from "./announcements.ts";
export * from "./configuration.ts";
export * from "./eligibility.ts";
export type { EvacuationChange } from "./evacuation_calls.ts";
export * from "./fencing_tokens.ts";
export * from "./runner_calls.ts";
export { RECALL_TIMEOUT_MS } from "./recalled_answers.ts";
export * from "./types.ts";
export type { RunnerAnnouncement } from "./runner_announcements.ts";
export type { CallerAddress } from "./work_calls.ts";
export {
  startWorkController,
  type WorkController,
  type WorkControllerOptions,
} from "./work_controller.ts";
export {
  createWorkState,
  encodeRecords,
  type WorkState,
} from "./work_state.ts";
