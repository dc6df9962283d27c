/**
 * Runs the workload scheduler on a whole group of replicated logs, with disks that keep
 * only what is synced. All instances can lose power at the same moment, and some of them
 * their disks. Runners and clock are simulated.
 */

import {
  type Clock,
  createSilentLogger,
  type ManualClock,
  wait,
} from "../src/common/mod.ts";
import {
  createModelConfiguration,
  createRunnerEntry,
  createRunnerModel,
  createStep,
  createTaskFacts,
  type RunnerModel,
} from "../src/model/mod.ts";
import { createMemoryStorage } from "../src/replicated_log/memory_storage.ts";
import type { LogMember, LogStorage } from "../src/replicated_log/types.ts";
import {
  createFencingTokens,
  createWorkState,
  encodeRecords,
  type RunnerCalls,
  startWorkController,
  type WorkController,
  type WorkState,
} from "../src/workload/mod.ts";
import { createTestGroup, type TestGroup } from "./log_group.ts";

/** Instances that vote; two of their disks may be lost at once. */
export const POWER_VOTERS = Object.freeze(["a", "b", "c", "d", "e"]);

/** Id of the only runner. */
export const POWER_RUNNER = "r";

/** Bytes of log after which a snapshot is taken, so that most runs restart from one. */
const SNAPSHOT_BYTES = 4_000;

/** A disk on which what is being written is lost with the power. */
interface PowerDisk {
  /** Opens the store for one process. */
  open(): LogStorage;
  /** Ends the process that has opened the store, and drops its writes in progress. */
  losePower(): void;
}

function createPowerDisk(clock: Clock, syncMs: number): PowerDisk {
  const synced = createMemoryStorage();
  let owner = {};

  return {
    open() {
      const process = owner;

      /** Makes a write durable once it is synced; without power it never ends. */
      async function sync(write: () => Promise<void>): Promise<void> {
        await wait(clock, syncMs);
        if (owner !== process) return await new Promise<never>(() => {});
        await write();
      }

      return {
        ...synced,
        saveVote: (vote) => sync(() => synced.saveVote(vote)),
        append: (entries, truncateFrom) =>
          sync(() => synced.append(entries, truncateFrom)),
        saveSnapshot: (snapshot) => sync(() => synced.saveSnapshot(snapshot)),
      };
    },
    losePower() {
      owner = {};
    },
  };
}

/** Options of a cell. */
export interface PowerCellOptions {
  /** Time of a disk sync by instance, in milliseconds. */
  getSyncMs: (instance: string) => number;
}

/** A leader's view of the cell. */
export interface PowerLeader {
  readonly instance: string;
  readonly controller: WorkController;
  readonly state: WorkState;
}

/** A running cell. */
export interface PowerCell {
  readonly clock: ManualClock;
  readonly runners: RunnerModel;
  readonly group: TestGroup;
  /** Highest number of an end that the scheduler has acknowledged to the runner. */
  getAcknowledgedEnds(): number;
  /** Waits until an instance leads and its controller runs. */
  waitForLeader(): Promise<PowerLeader>;
  /** Starts an instance that the log does not list, and its admission as a voter; does not wait for it. */
  startAddVoter(instance: string): Promise<void>;
  /** Runs until a call is answered; nothing more happens after that. */
  runCall<Value>(call: Promise<Value>): Promise<Value>;
  /** Takes the power from all instances, and the disks from some, which do not return. */
  restartWithout(lost: readonly string[]): Promise<void>;
}

/** Starts a cell whose log has all `POWER_VOTERS`, with a configuration and a runner. */
export async function startPowerCell(
  options: PowerCellOptions,
): Promise<PowerCell> {
  const group = createTestGroup({ snapshotLogBytes: SNAPSHOT_BYTES });
  const { clock } = group;
  const disks = new Map<string, PowerDisk>();
  const controllers = new Map<string, WorkController>();
  const states = new Map<string, WorkState>();
  const fencingTokens = createFencingTokens();
  const runners = createRunnerModel({
    clock,
    getTaskFacts: () => createTaskFacts(createStep()),
  });
  let acknowledgedEnds = 0;
  const calls: RunnerCalls = {
    ...runners.calls,
    hold(target, order, timeoutMs) {
      acknowledgedEnds = Math.max(acknowledgedEnds, order.recordedEnds);
      return runners.calls.hold(target, order, timeoutMs);
    },
  };

  function stopController(instance: string): void {
    controllers.get(instance)?.stop();
    controllers.delete(instance);
  }

  /** Starts the controller of an instance that has been elected. */
  async function startController(
    instance: string,
    term: number,
  ): Promise<void> {
    const log = group.members.get(instance)?.log;
    const state = states.get(instance);
    if (log === undefined || state === undefined) return;
    await log.confirmLeadership();
    const isCurrent = group.members.get(instance)?.log === log;
    if (!isCurrent || log.getLease()?.term !== term) return;
    controllers.set(
      instance,
      startWorkController({
        clock,
        logger: createSilentLogger(),
        state,
        createFencingToken: () => fencingTokens.create(term),
        isLeading: () => log.getLease()?.term === term,
        propose: async (records) => {
          await log.propose(encodeRecords(records));
        },
        calls,
        ask: () => Promise.reject(new Error("No eligibility service")),
        maxLeaseMs: 10_000,
        keepMs: 120_000,
        handleStaleFence: () => {},
      }),
    );
  }

  async function startInstance(
    instance: string,
    start: { members?: LogMember[]; join?: readonly string[] } = {},
  ): Promise<void> {
    const disk = disks.get(instance) ??
      createPowerDisk(clock, options.getSyncMs(instance));
    disks.set(instance, disk);
    const state = createWorkState();
    states.set(instance, state);
    const started = group.start(instance, {
      ...start,
      bootstrap: start.members !== undefined,
      stateMachine: state,
      storage: disk.open(),
      onLeadership(lease) {
        stopController(instance);
        if (lease === undefined) return;
        startController(instance, lease.term).catch(() => {});
      },
    });
    await runCall(started);
  }

  async function runCall<Value>(call: Promise<Value>): Promise<Value> {
    let isEnded = false;
    call.then(() => isEnded = true, () => isEnded = true);
    while (!isEnded) await group.runFor(5);
    return await call;
  }

  async function waitForLeader(): Promise<PowerLeader> {
    let found: PowerLeader | undefined;
    await group.runUntil(() => {
      for (const [instance, controller] of controllers) {
        const isLeading =
          group.members.get(instance)?.log.getLease() !== undefined;
        const state = states.get(instance);
        if (!isLeading || state === undefined) continue;
        found = { instance, controller, state };
      }
      return found !== undefined;
    });
    if (found === undefined) throw new Error("No leader");
    return found;
  }

  function losePower(): void {
    for (const disk of disks.values()) disk.losePower();
    for (const instance of [...group.members.keys()]) {
      stopController(instance);
      group.kill(instance);
    }
  }

  const members: LogMember[] = POWER_VOTERS.map((id) => ({
    id,
    role: "voter",
  }));
  for (const { id } of members) {
    await startInstance(id, { members, join: POWER_VOTERS });
  }
  const { controller } = await waitForLeader();
  await runCall(controller.changeConfiguration(createModelConfiguration()));
  const entry = createRunnerEntry(POWER_RUNNER);
  runners.add(entry);
  await runCall(
    controller.announceRunner({ entry, sequence: 1, remainingMs: 0 }),
  );

  return {
    clock,
    runners,
    group,
    getAcknowledgedEnds: () => acknowledgedEnds,
    waitForLeader,
    async startAddVoter(instance) {
      await startInstance(instance, { join: POWER_VOTERS });
      const leader = await waitForLeader();
      const log = group.members.get(leader.instance)?.log;
      log?.addMember({ id: instance, role: "voter" }).catch(() => {});
    },
    runCall,
    async restartWithout(lost) {
      losePower();
      const intact = [...disks.keys()].filter((name) => !lost.includes(name));
      await Promise.all(intact.map((instance) => startInstance(instance)));
    },
  };
}
