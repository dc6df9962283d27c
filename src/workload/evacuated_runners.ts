/**
 * Keeps new tasks from the runners of evacuated data centres. Their runs go on until
 * they end, and they are polled as before: an evacuation takes away no work that would
 * have to run again elsewhere.
 */

import type { Clock, Logger } from "../common/mod.ts";
import type { Metrics } from "../report/metrics.ts";
import { isSuitable } from "./candidates.ts";
import type { Plan } from "./plan_types.ts";
import type { Runner } from "./runner_table.ts";
import type { WorkState } from "./work_state.ts";

/** Time between two log lines about the runs that are left in evacuated data centres, in milliseconds. */
const REPORT_PERIOD_MS = 5_000;

type RunnersByPool = ReadonlyMap<string, readonly Runner[]>;

/** Options of the selection. */
export interface EvacuatedRunnersOptions {
  clock: Pick<Clock, "now">;
  logger: Pick<Logger, "info">;
  metrics?: Pick<Metrics, "setGauge">;
  state: Pick<WorkState, "evacuations">;
  /** All runners of the leadership. */
  runnersByPool: RunnersByPool;
}

/** Selects the runners on which tasks may start. */
export interface EvacuatedRunners {
  isEvacuated(runner: Runner): boolean;
  /** Returns the runners outside of evacuated data centres. */
  getOpenRunners(): RunnersByPool;
  /** Replaces the reason of steps whose only suitable runners are in evacuated data centres. */
  updateReasons(waits: Plan["waits"]): Plan["waits"];
  /** Updates the metrics, and logs how many runs are left. */
  report(): void;
}

/** Creates the selection for one leadership. */
export function createEvacuatedRunners(
  options: EvacuatedRunnersOptions,
): EvacuatedRunners {
  const { clock, logger, metrics, runnersByPool } = options;
  const { evacuations } = options.state;
  const reported = new Set<string>();
  let reportedMs = -Infinity;

  function isEvacuated({ entry }: Runner): boolean {
    return evacuations.has(entry.dataCentre);
  }

  function countRuns(dataCentre: string): number {
    let count = 0;
    for (const runners of runnersByPool.values()) {
      for (const { entry, occupants } of runners) {
        if (entry.dataCentre === dataCentre) count += occupants.size;
      }
    }
    return count;
  }

  return {
    isEvacuated,
    getOpenRunners() {
      if (evacuations.list().length === 0) return runnersByPool;
      return new Map(
        [...runnersByPool].map(([pool, runners]) => [
          pool,
          runners.filter((runner) => !isEvacuated(runner)),
        ]),
      );
    },
    updateReasons(waits) {
      if (evacuations.list().length === 0) return waits;
      return waits.map((wait) => {
        const { step, reason } = wait;
        const runners = runnersByPool.get(step.pool) ?? [];
        const hasEvacuated = reason === "noRunner" &&
          runners.some((runner) =>
            isEvacuated(runner) && isSuitable(step, { runner })
          );
        return hasEvacuated ? { step, reason: "evacuated" } : wait;
      });
    },
    report() {
      const current = evacuations.list();
      for (const { dataCentre } of current) reported.add(dataCentre);
      for (const dataCentre of reported) {
        const found = current.find((other) => other.dataCentre === dataCentre);
        const labels = { dataCentre };
        const sinceS = Math.floor((found?.sinceMs ?? 0) / 1_000);
        metrics?.setGauge("evacuated_since_seconds", sinceS, labels);
        const runs = found === undefined ? 0 : countRuns(dataCentre);
        metrics?.setGauge("evacuated_runs", runs, labels);
        if (found === undefined) reported.delete(dataCentre);
      }
      const nowMs = clock.now();
      if (current.length === 0 || nowMs - reportedMs < REPORT_PERIOD_MS) return;
      reportedMs = nowMs;
      for (const { dataCentre, sinceMs } of current) {
        const runs = countRuns(dataCentre);
        logger.info("Runs in an evacuated data centre", {
          dataCentre,
          sinceMs,
          runs,
        });
      }
    },
  };
}
