/**
 * Batches records into log commands, since each command costs a message to every
 * member and part of a disk sync. A command waits for a few milliseconds, and
 * until the previous one is committed: under load, commands become larger rather
 * than more frequent.
 */

import type { Clock } from "../common/mod.ts";
import { RECORD_BATCH_MS } from "./constants.ts";
import type { WorkRecord } from "./types.ts";

/** Maximum commands in flight; more would cost messages but hardly make records durable sooner. */
const MAX_COMMANDS_IN_FLIGHT = 1;

/** Options of the queue. */
export interface RecordQueueOptions {
  clock: Clock;
  /** Writes records to the log; resolves once they are committed and applied. */
  propose: (records: readonly WorkRecord[]) => Promise<void>;
}

/** Queues records for the log. */
export interface RecordQueue {
  /** Resolves once the records are committed and applied; rejects like `propose`. */
  record(records: readonly WorkRecord[]): Promise<void>;
}

interface Command {
  readonly records: WorkRecord[];
  readonly ended: Promise<void>;
  readonly resolve: () => void;
  readonly reject: (error: unknown) => void;
  /** True once its batching time has passed. */
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
