/**
 * Remembers where this leader has placed runs. A run that was given up may turn out to
 * be done while the next one is decided; that one need not start as long as no order
 * for it was sent.
 */

import type { Occupant, Runner } from "./runner_table.ts";
import { formatStep, formatTask, type TaskRef } from "./types.ts";

/** A run and its runner. */
export interface PlacedRun {
  readonly runner: Runner;
  readonly occupant: Occupant;
}

/** The runs that this leader has placed, until they are released. */
export interface PlacedRuns {
  add(placed: PlacedRun): void;
  remove(occupant: Occupant): void;
  /**
   * Returns the runs of a task, or of its whole gang, with a higher number than `run`;
   * none if one of them may have been sent, since no member of a gang can run alone.
   */
  findUnsent(task: TaskRef, run: number, isGang: boolean): PlacedRun[];
}

function isUnsent({ state, orderSentMs, isExecuted }: Occupant): boolean {
  const isDecided = state === "planned" || state === "starting";
  return isDecided && orderSentMs === undefined && !isExecuted;
}

/** Creates a store without runs. */
export function createPlacedRuns(): PlacedRuns {
  const steps = new Map<string, Map<Occupant, Runner>>();

  return {
    add({ runner, occupant }) {
      const step = formatStep(occupant.task);
      const runs = steps.get(step) ?? new Map<Occupant, Runner>();
      steps.set(step, runs.set(occupant, runner));
    },
    remove(occupant) {
      const step = formatStep(occupant.task);
      const runs = steps.get(step);
      if (runs?.delete(occupant) === true && runs.size === 0) {
        steps.delete(step);
      }
    },
    findUnsent(task, run, isGang) {
      const key = formatTask(task);
      const newer = [...steps.get(formatStep(task)) ?? []]
        .filter(([occupant]) =>
          occupant.run > run && (isGang || formatTask(occupant.task) === key)
        )
        .map(([occupant, runner]) => ({ runner, occupant }));
      return newer.every(({ occupant }) => isUnsent(occupant)) ? newer : [];
    },
  };
}
