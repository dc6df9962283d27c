/**
 * Asks the connected instances for their kept answers once this instance is elected,
 * while its leadership is still being confirmed. Most reports have then arrived when
 * planning begins. The first planning rounds would otherwise query steps again whose
 * answers are on the way, and occupy the callers with these queries.
 */

import type { Clock } from "../common/mod.ts";
import {
  type KeptReport,
  RECALL_TIMEOUT_MS,
  type RecalledAnswer,
} from "../workload/mod.ts";

/** Options of the early reports. */
export interface EarlyReportsOptions {
  clock: Pick<Clock, "now">;
  /** Asks an instance; rejects when no reply arrives. */
  listKeptAnswers: (
    instance: string,
    timeoutMs: number,
  ) => Promise<readonly RecalledAnswer[]>;
}

/** Reports that were requested ahead of a leadership. */
export interface EarlyReports {
  /** Asks these instances; requests of an earlier election no longer count. */
  start(instances: readonly string[]): void;
  /** Returns the report of an instance, and asks it now unless that was done within `timeoutMs`. */
  take(instance: string, timeoutMs: number): Promise<KeptReport>;
}

/** A report that has been requested. */
interface RequestedReport {
  readonly sentMs: number;
  readonly report: Promise<KeptReport>;
}

/** Creates early reports without requests. */
export function createEarlyReports(
  { clock, listKeptAnswers }: EarlyReportsOptions,
): EarlyReports {
  const requested = new Map<string, RequestedReport>();

  async function ask(instance: string, timeoutMs: number): Promise<KeptReport> {
    const sentMs = clock.now();
    return { sentMs, answers: await listKeptAnswers(instance, timeoutMs) };
  }

  return {
    start(instances) {
      requested.clear();
      for (const instance of instances) {
        const sentMs = clock.now();
        const report = ask(instance, RECALL_TIMEOUT_MS);
        // The leadership may end before anyone takes the report.
        report.catch(() => {});
        requested.set(instance, { sentMs, report });
      }
    },
    take(instance, timeoutMs) {
      const early = requested.get(instance);
      requested.delete(instance);
      const isRecent = early !== undefined &&
        clock.now() - early.sentMs < timeoutMs;
      return isRecent ? early.report : ask(instance, timeoutMs);
    },
  };
}
