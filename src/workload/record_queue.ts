/**
 * Gathers records for some milliseconds into one command of the log, since a
 * command costs a message to each member and a share of a sync.
 */

import type { Clock } from "../common/mod.ts";
import { RECORD_GATHER_MS } from "./constants.ts";
import type { WorkRecord } from "./types.ts";

/** Options of a queue. */
export interface RecordQueueOptions {
  clock: Clock;
  /** Writes records to the log; resolves once they are committed and applied. */
  propose: (records: readonly WorkRecord[]) => Promise<void>;
}

/** Records on their way into the log. */
export interface RecordQueue {
  /** Resolves once the records are committed and applied; rejects like `propose`. */
  record(records: readonly WorkRecord[]): Promise<void>;
}

/** Creates an empty queue. */
export function createRecordQueue(options: RecordQueueOptions): RecordQueue {
  const { clock } = options;
  let gathered: WorkRecord[] = [];
  let flushed: Promise<void> | undefined;

  function startFlush(): Promise<void> {
    return new Promise((resolve, reject) => {
      clock.setTimer(RECORD_GATHER_MS, () => {
        const records = gathered;
        gathered = [];
        flushed = undefined;
        options.propose(records).then(resolve, reject);
      });
    });
  }

  return {
    record(records) {
      gathered.push(...records);
      flushed ??= startFlush();
      return flushed;
    },
  };
}
