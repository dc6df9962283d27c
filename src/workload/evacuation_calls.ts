/**
 * Handles the operators' calls that evacuate a data centre or withdraw an evacuation. A
 * call is acknowledged once its record is committed. Calls for one data centre are
 * handled one after the other, so that a call that finds nothing to change does not
 * overtake one whose record is still being written.
 */

import { type Clock, createFault, type Logger } from "../common/mod.ts";
import type { RecordQueue } from "./record_queue.ts";
import type { WorkState } from "./work_state.ts";

/** Options of the calls. */
export interface EvacuationCallsOptions {
  clock: Pick<Clock, "wallTime">;
  logger: Pick<Logger, "info">;
  state: Pick<WorkState, "evacuations" | "listRunners">;
  queue: Pick<RecordQueue, "record">;
  /** Lists the configured data centres. Default: only those of registered runners are known. */
  listDataCentres?: (() => readonly string[]) | undefined;
}

/** Which data centre has been evacuated or taken back. */
export interface EvacuationChange {
  readonly dataCentre: string;
  readonly isEvacuated: boolean;
}

/** The calls of operators. */
export interface EvacuationCalls {
  /**
   * Evacuates a data centre or withdraws its evacuation; a repetition changes nothing.
   * Resolves with the change once it is recorded. Rejects with "notFound"
   * (details.subject "dataCentre") for an unknown data centre.
   */
  setEvacuation(change: EvacuationChange): Promise<EvacuationChange>;
}

/** Creates the calls for one leadership. */
export function createEvacuationCalls(
  options: EvacuationCallsOptions,
): EvacuationCalls {
  const { clock, logger, state, queue } = options;
  /** Newest call for each data centre. */
  const newest = new Map<string, Promise<void>>();

  function isKnown(dataCentre: string): boolean {
    if (state.evacuations.has(dataCentre)) return true;
    if (options.listDataCentres?.().includes(dataCentre) === true) return true;
    for (const runner of state.listRunners()) {
      if (runner.dataCentre === dataCentre) return true;
    }
    return false;
  }

  async function recordChange(change: EvacuationChange): Promise<void> {
    const { dataCentre, isEvacuated } = change;
    if (state.evacuations.has(dataCentre) === isEvacuated) return;
    const atMs = clock.wallTime();
    await queue.record([{ kind: "evacuation", ...change, atMs }]);
    logger.info(
      isEvacuated ? "Data centre evacuated" : "Evacuation withdrawn",
      { dataCentre },
    );
  }

  return {
    async setEvacuation(change) {
      const { dataCentre, isEvacuated } = change;
      if (!isKnown(dataCentre)) {
        throw createFault(
          "notFound",
          `Cannot find data centre "${dataCentre}"`,
          { details: { subject: "dataCentre" } },
        );
      }
      const before = newest.get(dataCentre) ?? Promise.resolve();
      // An earlier call that failed has told its own caller.
      const call = before.catch(() => {}).then(() => recordChange(change));
      newest.set(dataCentre, call);
      try {
        await call;
      } finally {
        if (newest.get(dataCentre) === call) newest.delete(dataCentre);
      }
      return { dataCentre, isEvacuated };
    },
  };
}
