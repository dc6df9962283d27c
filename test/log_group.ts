/** Runs a group of replicated logs in one process, with an in-memory transport and a manual clock. */

import { Buffer } from "node:buffer";
import { createManualClock } from "../src/common/clock.ts";
import { createSeededRandom } from "../src/common/random.ts";
import {
  decodeLogMessage,
  encodeLogMessage,
} from "../src/replicated_log/codec.ts";
import { parseMemberId } from "../src/replicated_log/member_id.ts";
import { createMemoryStorage } from "../src/replicated_log/memory_storage.ts";
import { createReplicatedLog } from "../src/replicated_log/replicated_log.ts";
import { resolveLogStart } from "../src/replicated_log/start.ts";
import type {
  LeaderLease,
  LogMember,
  LogMessage,
  LogStorage,
  LogTimings,
  ReplicatedLog,
  ReplicatedLogOptions,
  StateMachine,
} from "../src/replicated_log/types.ts";

const STEP_MS = 5;

/** A state machine that stores every command; its snapshot is JSON. */
export interface ListMachine extends StateMachine {
  readonly commands: string[];
}

/** Creates an empty list of commands; `apply` returns the number of commands. */
export function createListMachine(): ListMachine {
  const commands: string[] = [];
  return {
    commands,
    apply(command) {
      return commands.push(Buffer.from(command).toString());
    },
    takeSnapshot: () => Buffer.from(JSON.stringify(commands)),
    restoreSnapshot(data) {
      const found = JSON.parse(Buffer.from(data).toString()) as string[];
      commands.splice(0, commands.length, ...found);
    },
  };
}

/** One running member of a test group. */
export interface GroupMember {
  readonly log: ReplicatedLog;
  readonly machine: ListMachine;
  readonly storage: LogStorage;
  readonly leases: (LeaderLease | undefined)[];
  readonly failures: unknown[];
}

/** A group for tests. */
export interface TestGroup {
  readonly clock: ReturnType<typeof createManualClock>;
  /** Running members by instance. */
  readonly members: Map<string, GroupMember>;
  /** Messages for which this returns true are lost. */
  drop: (from: string, to: string, message: LogMessage) => boolean;
  start(
    self: string,
    options?: Partial<ReplicatedLogOptions>,
  ): Promise<GroupMember>;
  /** Determines how the instance starts, as the daemon does. */
  resolveStart(
    instance: string,
    options: { members: LogMember[]; storage: LogStorage },
  ): ReturnType<typeof resolveLogStart>;
  /** Removes a member without a clean shutdown. */
  kill(instance: string): void;
  runFor(ms: number): Promise<void>;
  /** Runs until `holds` returns true; throws after `limitMs`. */
  runUntil(holds: () => boolean, limitMs?: number): Promise<void>;
  findLeader(): GroupMember | undefined;
  waitForLeader(): Promise<GroupMember>;
}

/** Creates a group without members. */
export function createTestGroup(
  timings: Partial<LogTimings> = {},
): TestGroup {
  const clock = createManualClock();
  const members = new Map<string, GroupMember>();
  const receivers = new Map<
    string,
    (from: string, message: LogMessage) => void
  >();
  // Seeds are far apart: close ones give nearly equal first numbers, and so split votes.
  let nextSeed = 123_456_789;

  /** Number of times that an instance was killed. */
  const kills = new Map<string, number>();

  /** Creates the transport of a process, which sends nothing once it is killed. */
  function createTransport(from: string) {
    const instance = parseMemberId(from).instance;
    const startKills = kills.get(instance) ?? 0;
    return {
      send(to: string, message: LogMessage) {
        if ((kills.get(instance) ?? 0) !== startKills) return;
        const target = parseMemberId(to).instance;
        if (group.drop(instance, target, message)) return;
        const bytes = encodeLogMessage(message);
        clock.setTimer(1, () => {
          receivers.get(target)?.(from, decodeLogMessage(bytes));
        });
      },
    };
  }

  const group: TestGroup = {
    clock,
    members,
    drop: () => false,
    async start(self, options = {}) {
      const { instance } = parseMemberId(self);
      const machine = createListMachine();
      const storage = options.storage ?? createMemoryStorage();
      const leases: (LeaderLease | undefined)[] = [];
      const failures: unknown[] = [];
      const log = await createReplicatedLog({
        group: "test",
        self,
        transport: createTransport(self),
        clock,
        random: createSeededRandom(nextSeed += 98_765_432),
        stateMachine: machine,
        timings,
        onLeadership: (lease) => leases.push(lease),
        onFailure: (error) => failures.push(error),
        ...options,
        storage,
      });
      const member = { log, machine, storage, leases, failures };
      members.set(instance, member);
      receivers.set(instance, log.receive);
      return member;
    },
    resolveStart(instance, { members, storage }) {
      const resolver = resolveLogStart({
        group: "test",
        instance,
        members,
        storage,
        transport: createTransport(instance),
        clock,
        random: createSeededRandom(nextSeed += 98_765_432),
      });
      receivers.set(instance, resolver.receive);
      return resolver;
    },
    kill(instance) {
      members.delete(instance);
      receivers.delete(instance);
      kills.set(instance, (kills.get(instance) ?? 0) + 1);
    },
    async runFor(ms) {
      for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
        clock.advance(STEP_MS);
        // Storage in memory completes within one turn of the event loop.
        await new Promise((resolve) => setImmediate(resolve));
      }
    },
    async runUntil(holds, limitMs = 20_000) {
      const deadlineMs = clock.now() + limitMs;
      while (!holds()) {
        if (clock.now() >= deadlineMs) {
          const shown = [...members.values()].map(({ log }) => log.getStatus());
          throw new Error(
            `Cannot reach the state in ${limitMs} ms: ${JSON.stringify(shown)}`,
          );
        }
        await group.runFor(STEP_MS);
      }
    },
    findLeader: () =>
      [...members.values()].find(({ log }) => log.getLease() !== undefined),
    async waitForLeader() {
      await group.runUntil(() => group.findLeader() !== undefined);
      return group.findLeader() as GroupMember;
    },
  };
  return group;
}

/** Starts a new group with one member for each of `initialMembers`. */
export async function startTestGroup(
  initialMembers: LogMember[],
  options: {
    timings?: Partial<LogTimings>;
    storage?: (id: string) => LogStorage;
  } = {},
): Promise<TestGroup> {
  const group = createTestGroup(options.timings);
  for (const { id, role } of initialMembers) {
    await group.start(id, {
      bootstrap: true,
      members: initialMembers,
      canLead: role !== "witness",
      join: initialMembers.map((member) => member.id),
      ...(options.storage === undefined
        ? {}
        : { storage: options.storage(id) }),
    });
  }
  return group;
}
