/**
 * The signals that ask a process to stop. A process must listen before it loads
 * and starts its parts, since until then a signal ends it at once.
 */

import process from "node:process";

/** A received stop signal. */
export interface StopRequest {
  readonly signal: "SIGTERM" | "SIGINT";
  /** Time of its arrival on the clock of `performance.now()`, in milliseconds. */
  readonly receivedMs: number;
}

/** Listens for SIGTERM and SIGINT from now on; resolves with the first one. */
export function waitForStopSignal(): Promise<StopRequest> {
  return new Promise((resolve) => {
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
      process.once(signal, () => {
        resolve({ signal, receivedMs: performance.now() });
      });
    }
  });
}
