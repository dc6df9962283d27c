/**
 * Sends commands to workers over HTTP. Commands to the same worker are sent one
 * at a time, so that a stop never overtakes the start of the same task.
 */

import { Agent, request } from "undici";
import type { Logger } from "../common/mod.ts";

/** Timeout of a command, in milliseconds. */
export const WORKER_COMMAND_TIMEOUT_MS = 2_000;

/** The commands that a worker accepts. */
export type WorkerCommandName = "start" | "stop" | "throttle" | "checkpoint";

/** A command to a worker. */
export interface WorkerCommand {
  readonly name: WorkerCommandName;
  /** Sent as JSON. */
  readonly body: Readonly<Record<string, unknown>>;
}

/** Sends commands to workers. */
export interface WorkerCommandSender {
  /**
   * Queues a command. A failure is only logged: the worker's next report lists
   * its running tasks, and the scheduler then decides again.
   */
  send(address: string, command: WorkerCommand): void;
  close(): Promise<void>;
}

/** Options of a command sender. */
export interface WorkerCommandSenderOptions {
  logger: Logger;
  /** Checked before each command, as a leader without a lease must not send any. */
  holdsLease: () => boolean;
  /**
   * Checked before each start command, which may have waited for several
   * commands that timed out. Default: never evacuated.
   */
  isEvacuated?: () => boolean;
}

/** Creates a command sender. */
export function createWorkerCommandSender(
  options: WorkerCommandSenderOptions,
): WorkerCommandSender {
  const agent = new Agent({
    connections: 1,
    pipelining: 1,
    keepAliveTimeout: 4_000,
    connect: { timeout: WORKER_COMMAND_TIMEOUT_MS },
  });
  const queues = new Map<string, Promise<void>>();

  async function sendNow(
    address: string,
    command: WorkerCommand,
  ): Promise<void> {
    if (!options.holdsLease()) return;
    // The attempt ends as lost when its first lease has expired.
    if (command.name === "start" && options.isEvacuated?.()) return;
    try {
      const reply = await request(`${address}/v1/tasks/${command.name}`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(command.body),
        dispatcher: agent,
        headersTimeout: WORKER_COMMAND_TIMEOUT_MS,
        bodyTimeout: WORKER_COMMAND_TIMEOUT_MS,
      });
      await reply.body.dump();
      if (reply.statusCode < 300) return;
      options.logger.warn("Worker rejected a command", {
        address,
        command: command.name,
        task: command.body["task"],
        status: reply.statusCode,
      });
    } catch (error) {
      options.logger.warn("Cannot send a command to a worker", {
        address,
        command: command.name,
        task: command.body["task"],
        error,
      });
    }
  }

  return {
    send(address, command) {
      const previous = queues.get(address) ?? Promise.resolve();
      const current = previous.then(() => sendNow(address, command));
      queues.set(address, current);
      void current.then(() => {
        if (queues.get(address) === current) queues.delete(address);
      });
    },
    close: () => agent.destroy(),
  };
}
