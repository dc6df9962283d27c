/** Processor time and memory of a child process, as the kernel reports them. */

import { readdirSync, readFileSync } from "node:fs";

/** Usage of a process since its start. */
export interface ProcessUsage {
  /** Processor time of all threads, in milliseconds. */
  readonly processorMs: number;
  /** Resident memory, in MiB. */
  readonly residentMb: number;
}

// The clock of /proc/PID/stat ticks every 10 ms, which is too coarse for an
// idle instance, so the times of the threads are added up in nanoseconds.
function readThreadNs(pid: number, thread: string): number {
  try {
    const text = readFileSync(`/proc/${pid}/task/${thread}/schedstat`, "utf8");
    return Number(text.split(" ")[0]);
  } catch {
    // The thread ended between the listing and the reading.
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
