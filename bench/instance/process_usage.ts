/** Reads the processor time and memory of a process from /proc. */

import { readdirSync, readFileSync } from "node:fs";

/** Resource usage of a process. */
export interface ProcessUsage {
  /** Processor time of all running threads since their start, in milliseconds. */
  readonly processorMs: number;
  /** Resident memory, in MiB. */
  readonly residentMb: number;
}

// /proc/PID/stat has a resolution of 10 ms, too coarse for an idle instance.
// The schedstat of each thread counts in nanoseconds.
function readThreadNs(pid: number, thread: string): number {
  try {
    const text = readFileSync(`/proc/${pid}/task/${thread}/schedstat`, "utf8");
    return Number(text.split(" ")[0]);
  } catch {
    // The thread ended after it was listed.
    return 0;
  }
}

/** Reads the usage of a running process. */
export function readProcessUsage(pid: number): ProcessUsage {
  const threads = readdirSync(`/proc/${pid}/task`);
  const ns = threads.reduce((sum, one) => sum + readThreadNs(pid, one), 0);
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const residentKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return { processorMs: ns / 1e6, residentMb: residentKb / 1_024 };
}
