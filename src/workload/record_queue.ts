/**
 * Gathers records into commands of the log, since a command costs a message to
 * each member and a share of a sync. A command waits for some milliseconds, and
 * as long as others are on their way: commands grow under load in place of
 * becoming more.
 */

import type { Clock } from "../common/mod.ts";
import { RECORD_BATCH_MS } from "./constants.ts";
import type { WorkRecord } from "./types.ts";

/** Commands that may be on their way; more would cost messages and bring no record to the disks much sooner. */
const MAX_COMMANDS_IN_FLIGHT = 1;

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
  let nextCommand: Command | undefined;
  let commandsInFlight = 0;

  async function sendCommand(command: Command): Promise<void> {
    commandsInFlight += 1;
    try {
      await options.propose(command.records);
      command.resolve();
    } catch (error) {
      command.reject(error);
    } finally {
      commandsInFlight -= 1;
      sendDue();
    }
  }

  function sendDue(): void {
    if (
      nextCommand?.isDue !== true || commandsInFlight >= MAX_COMMANDS_IN_FLIGHT
    ) return;
    const command = nextCommand;
    nextCommand = undefined;
    void sendCommand(command);
  }

  function startCommand(): Command {
    const command = createCommand();
    clock.setTimer(RECORD_BATCH_MS, () => {
      command.isDue = true;
      sendDue();
    });
    return command;
  }

  return {
    record(records) {
      nextCommand ??= startCommand();
      nextCommand.records.push(...records);
      return nextCommand.ended;
    },
  };
}
