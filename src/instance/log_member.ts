/**
 * Runs this instance's member of one replicated log group. It decides how the
 * member starts (restart, first start or new identity) and connects it to the
 * transport.
 */

import { join } from "node:path";
import type { Clock, Logger, Random } from "../common/mod.ts";
import {
  createDiskStorage,
  createMemoryStorage,
  createReplicatedLog,
  decodeLogMessage,
  encodeLogMessage,
  type LeaderLease,
  type LogMember,
  type LogMessage,
  type LogStartResolver,
  type LogStorage,
  type LogTimings,
  type LogTransport,
  parseMemberId,
  type ReplicatedLog,
  resolveLogStart,
  type StateMachine,
} from "../replicated_log/mod.ts";
import type { LogEnvelope, LogSender } from "../rpc/mod.ts";

/** Options of a member. */
export interface LogMemberOptions {
  group: string;
  instance: string;
  /** Initial members of the group; their identities are instance names. */
  members: readonly LogMember[];
  /** Data folder that holds the log; without it the log is kept in memory. */
  folder?: string | undefined;
  canLead: boolean;
  /** True if this is the first start of the whole system. Default false. */
  isFirstStart?: boolean;
  stateMachine: StateMachine;
  timings: Partial<LogTimings>;
  sender: LogSender;
  clock: Clock;
  random: Random;
  logger: Logger;
  handleLeadership: (lease: LeaderLease | undefined) => void;
  handleFailure: (error: unknown) => void;
}

/** A member of a group in this process. */
export interface LogMemberHandle {
  /** Returns the log; undefined until it has started. */
  getLog(): ReplicatedLog | undefined;
  /** Returns the group's leader as known to this member. */
  getLeader(): string | undefined;
  receive(envelope: LogEnvelope): void;
  stop(): Promise<void>;
}

const MS_PER_SECOND = 1_000;

function createTransport(
  options: LogMemberOptions,
  getSelf: () => string,
): LogTransport {
  return {
    send(to, message) {
      options.sender.send({
        group: options.group,
        from: getSelf(),
        to,
        message: encodeLogMessage(message),
      });
    },
  };
}

/** Returns the folder of a group's store within the data folder. */
export function getStoreFolder(dataFolder: string, group: string): string {
  return join(dataFolder, group.replaceAll("/", "-"));
}

/** Starts the member in the background. */
export function startLogMember(options: LogMemberOptions): LogMemberHandle {
  const { group, instance, clock, random } = options;
  const logger = options.logger.with({ group });
  let self = instance;
  let resolver: LogStartResolver | undefined;
  let log: ReplicatedLog | undefined;
  let isStopped = false;
  const transport = createTransport(options, () => self);

  async function openStorage(): Promise<LogStorage> {
    if (options.folder === undefined) return createMemoryStorage();
    const folder = getStoreFolder(options.folder, group);
    return await createDiskStorage({ folder, logger });
  }

  async function start(): Promise<void> {
    const storage = await openStorage();
    resolver = resolveLogStart({
      group,
      instance,
      members: options.members,
      isFirstStart: options.isFirstStart,
      storage,
      transport,
      clock,
      random,
    });
    const decision = await resolver.decision;
    self = decision.self;
    logger.info("Starting log member", { member: self, mode: decision.mode });
    const others = options.members.map(({ id }) => id)
      .filter((id) => id !== instance);
    const created = await createReplicatedLog({
      group,
      self,
      members: options.members,
      bootstrap: decision.mode === "bootstrap",
      join: others,
      canLead: options.canLead,
      // A group without disks starts empty again and must not reuse epochs.
      ...(options.folder === undefined
        ? { minTerm: Math.floor(clock.wallTime() / MS_PER_SECOND) }
        : {}),
      storage,
      transport,
      clock,
      random,
      stateMachine: options.stateMachine,
      timings: options.timings,
      onLeadership: options.handleLeadership,
      onFailure: options.handleFailure,
      logger,
    });
    log = created;
    if (isStopped) await created.stop();
  }

  const started = start().catch((error) => {
    if (!isStopped) options.handleFailure(error);
  });

  function receiveMessage(from: string, message: LogMessage): void {
    if (log === undefined) resolver?.receive(from, message);
    else log.receive(from, message);
  }

  return {
    getLog: () => log,
    getLeader() {
      const status = log?.getStatus();
      if (status?.leader === undefined || status.role === "stopped") {
        return undefined;
      }
      return parseMemberId(status.leader).instance;
    },
    receive(envelope) {
      const isForSelf = envelope.to === self || envelope.to === instance;
      if (!isForSelf) return;
      try {
        receiveMessage(envelope.from, decodeLogMessage(envelope.message));
      } catch (error) {
        logger.warn("Cannot decode a log message", {
          from: envelope.from,
          error,
        });
      }
    },
    async stop() {
      isStopped = true;
      resolver?.stop();
      await log?.stop();
      await started;
    },
  };
}
