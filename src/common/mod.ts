/** Shared building blocks: clocks, random numbers, errors, logging and resource amounts. */

export * from "./clock.ts";
export * from "./errors.ts";
export * from "./logger.ts";
export * from "./random.ts";
export { type StopRequest, waitForStopSignal } from "./stop_signal.ts";
export * from "./resources.ts";
