/**
 * Gathers records into commands of the log, since a command costs a message to
 * each member and a share of a sync. A command waits for some milliseconds, and
 * as long as others are on their way: commands grow under load in place of
 * becoming more.
 */

import type { Clock } from "../common/mod.ts";
import { RECORD_GATHER_MS } from "./constants.ts";
import type { WorkRecord } from "./types.ts";

/** Commands that may be on their way; more would cost messages and bring no record to the disks much sooner. */
const MAX_OPEN_COMMANDS = 1;

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

interface Command {
  readonly records: WorkRecord[];
  readonly ended: Promise<void>;
  readonly resolve: () => void;
  readonly reject: (error: unknown) => void;
  /** True once it has waited for others to join it. */
  isDue: boolean;
}

function createCommand(): Command {
  let resolve = () => {};
  let reject: (error: unknown) => void = () => {};
  const ended = new Promise<void>((handleEnd, handleError) => {
    resolve = handleEnd;
    reject = handleError;
  });
  return { records: [], ended, resolve, reject, isDue: false };
}

/** Creates an empty queue. */
export function createRecordQueue(options: RecordQueueOptions): RecordQueue {
  const { clock } = options;
  let gathered: Command | undefined;
  let openCommands = 0;

  async function sendCommand(command: Command): Promise<void> {
    openCommands += 1;
    try {
      await options.propose(command.records);
      command.resolve();
    } catch (error) {
      command.reject(error);
    } finally {
      openCommands -= 1;
      sendDue();
    }
  }

  function sendDue(): void {
    if (gathered?.isDue !== true || openCommands >= MAX_OPEN_COMMANDS) return;
    const command = gathered;
    gathered = undefined;
    void sendCommand(command);
  }

  function startCommand(): Command {
    const command = createCommand();
    clock.setTimer(RECORD_GATHER_MS, () => {
      command.isDue = true;
      sendDue();
    });
    return command;
  }

  return {
    record(records) {
      gathered ??= startCommand();
      gathered.records.push(...records);
      return gathered.ended;
    },
  };
}
