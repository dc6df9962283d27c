/**
 * The program of an instance with a disk: a member of the work log, which leads
 * while it holds the lease. It also forwards calls like any other instance.
 */

import { readdir, rm } from "node:fs/promises";
import { join } from "node:path";
import {
  type Clock,
  createFault,
  type Logger,
  type Random,
  wait,
} from "../common/mod.ts";
import {
  createGatewayClient,
  createGatewayServer,
  createRelayedCalls,
  type GatewayClient,
  runRelayedCall,
  type WorkCall,
} from "../gateway/mod.ts";
import {
  getStoreFolder,
  type LogMemberHandle,
  startLogMember,
} from "../instance/log_member.ts";
import type { LazyMetrics } from "../report/lazy_metrics.ts";
import {
  type LeaderLease,
  type LogTimings,
  parseMemberId,
} from "../replicated_log/mod.ts";
import {
  createLogSender,
  createPeerSet,
  type LogEnvelope,
  startRpcServer,
} from "../rpc/mod.ts";
import {
  createWorkState,
  type EligibilityAnswer,
  type EligibilityQuestion,
  encodeRecords,
  hasNews,
  type RunnerCalls,
  startWorkController,
  type WorkController,
  type WorkRecord,
} from "../workload/mod.ts";
import { createLeaderTenure } from "./leader_tenure.ts";
import { createLeadershipGuard } from "./leadership_guard.ts";
import { planVoters } from "./voters.ts";

/** Name of the log that records all work. */
const WORK_GROUP = "work";

/** Time between two looks of the leader at the members, in milliseconds. */
const VOTERS_PERIOD_MS = 500;

/** Time that an invited instance gets to join before another invitation, in milliseconds. */
const INVITE_PAUSE_MS = 3_000;

/** Time for which leaders must not have named a member before it takes itself for removed, in milliseconds; longer than joining takes. */
const REMOVED_MS = 8_000;

/** Silence of a member that is sent to after which its connection is opened anew, in milliseconds; several heartbeats. */
const SILENT_MS = 1_000;

/** Pause before a leadership that could not be confirmed is tried again, in milliseconds. */
const CONFIRM_PAUSE_MS = 50;

/**
 * Runners that the leader calls by itself. With 246 runners and 500 starts a
 * second, relays take a quarter off its processor time and add a quarter to that
 * of all instances with a disk (docs/platform.md).
 */
const DIRECT_RUNNERS = 300;

/** Instances through which it calls more runners; each carries 250 starts a second with half of a core. */
const MOST_RELAYS = 2;

/** Options of the program. */
export interface CoreProgramOptions {
  /** Address of this instance, which is also its name. */
  instance: string;
  dataCentre: string;
  /** Port on which instances reach each other; the same everywhere. */
  rpcPort: number;
  /** Instances that found the group on the first start of the whole system. */
  founders: readonly string[];
  /** True only on the first start of the whole system. */
  isFirstStart: boolean;
  /** Number of disks that may be lost at the same time. */
  tolerance: number;
  dataFolder: string;
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics?: LazyMetrics;
  calls: RunnerCalls;
  ask: (
    question: EligibilityQuestion,
    timeoutMs: number,
  ) => Promise<EligibilityAnswer>;
  maxLeaseMs: number;
  keepMs: number;
  logTimings: Partial<LogTimings>;
  /** Called when the log cannot go on; the process has to end. */
  handleFailure: (error: unknown) => void;
}

/** A running core program. */
export interface CoreProgram {
  /** Answers a call from what is recorded here if that is enough, and otherwise by the leader. */
  readonly call: GatewayClient["call"];
  isLeading(): boolean;
  /** Adds instances that may lead, after a change of the settings. */
  addCores(names: readonly string[]): void;
  /** Hands over leadership and ends. */
  stop(): Promise<void>;
}

/** Starts the program. */
export async function startCoreProgram(
  options: CoreProgramOptions,
): Promise<CoreProgram> {
  const { clock, logger, metrics, instance } = options;
  const state = createWorkState();
  const peers = createPeerSet({
    findAddress: (name) => `${name}:${options.rpcPort}`,
  });
  const sender = createLogSender({
    peers,
    clock,
    unresponsiveAfterMs: SILENT_MS,
  });
  let ledTerm = 0;
  let controller: WorkController | undefined;
  let isStopped = false;

  const guard = createLeadershipGuard({
    clock,
    logger,
    getLog: () => member?.getLog(),
  });

  const server = createGatewayServer({
    clock,
    logger,
    runCall,
    getLeadership: () => ({
      isLeading: controller !== undefined && guard.isLeading(),
      term: ledTerm,
    }),
    listCores() {
      const members = member?.getLog()?.getStatus().members;
      if (members === undefined) return gateway.listCores();
      return [...new Set(members.map(({ id }) => parseMemberId(id).instance))];
    },
    handleCallers: (names) => controller?.setCallers(names),
  });

  function handleEnvelope(envelope: LogEnvelope): void {
    sender.recordReceived(envelope.from);
    member?.receive(envelope);
  }

  const rpcServer = await startRpcServer({
    host: instance,
    port: options.rpcPort,
    services: {
      Consensus: {
        writeStreams: {
          send(stream) {
            stream.on("data", handleEnvelope);
            stream.on("error", () => {});
          },
        },
      },
      Gateway: {
        duplexStreams: { exchange: (stream) => server.handleStream(stream) },
      },
    },
  });

  const logFolder = join(options.dataFolder, "log");
  let member: LogMemberHandle | undefined;
  let namedMs = clock.now();

  async function hasStore(): Promise<boolean> {
    try {
      return (await readdir(getStoreFolder(logFolder, WORK_GROUP))).length > 0;
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === "ENOENT") return false;
      throw error;
    }
  }

  function startMember(members: readonly string[]): void {
    namedMs = clock.now();
    member = startLogMember({
      group: WORK_GROUP,
      instance,
      members: members.map((id) => ({ id, role: "voter" })),
      folder: logFolder,
      canLead: true,
      stateMachine: state,
      timings: options.logTimings,
      sender,
      clock,
      random: options.random,
      logger,
      handleLeadership: (lease) => tenure.handleLease(lease),
      handleFailure: options.handleFailure,
    });
  }

  /** Joins with an empty store; what a former membership left is not valid any more. */
  async function startJoin(): Promise<void> {
    if (member !== undefined) return;
    logger.info("Joining the work log", { cores: gateway.listCores() });
    await rm(getStoreFolder(logFolder, WORK_GROUP), {
      recursive: true,
      force: true,
    });
    state.restoreSnapshot(createWorkState().takeSnapshot());
    startMember(gateway.listCores().filter((name) => name !== instance));
    gateway.sendHello();
  }

  /** Stands by once the leaders have not named this member for a while. */
  async function handleMembers(named: readonly string[]): Promise<void> {
    const nowMs = clock.now();
    if (named.includes(instance) || member === undefined) {
      namedMs = nowMs;
      return;
    }
    if (nowMs - namedMs < REMOVED_MS) return;
    logger.warn("Not a member of the work log any more; standing by", {
      members: named,
    });
    const former = member;
    member = undefined;
    await former.stop();
    gateway.sendHello();
  }

  const gateway = createGatewayClient({
    instance,
    dataCentre: options.dataCentre,
    cores: [...new Set([instance, ...options.founders])],
    getAddress: (name) => `${name}:${options.rpcPort}`,
    clock,
    logger,
    ...(metrics === undefined ? {} : { metrics }),
    ask: options.ask,
    callRunner: (call) => runRelayedCall(options.calls, call),
    isStandby: () => member === undefined,
    handleMembers: (named) => void handleMembers(named),
    handleInvite: () => void startJoin().catch(options.handleFailure),
  });

  const isFounder = options.isFirstStart &&
    options.founders.includes(instance);
  if (isFounder) startMember(options.founders);
  else if (await hasStore()) {
    startMember(options.founders.filter((name) => name !== instance));
  }
  gateway.sendHello();

  const relayedCalls = createRelayedCalls({
    clock,
    logger,
    calls: options.calls,
    directRunners: DIRECT_RUNNERS,
    mostRelays: MOST_RELAYS,
    countRunners: () => state.countRunners(),
    listRelays: () => server.listRelays().filter((name) => name !== instance),
    callThrough: (relay, call, timeoutMs) =>
      server.callRunner(relay, call, timeoutMs),
  });

  let invitedMs = -Infinity;
  function reconcileVoters(): void {
    if (isStopped) return;
    clock.setTimer(VOTERS_PERIOD_MS, reconcileVoters);
    const log = member?.getLog();
    if (log === undefined || controller === undefined) return;
    if (!guard.isLeading()) return;
    const nowMs = clock.now();
    const { members, lag, self } = log.getStatus();
    const decision = planVoters({
      tolerance: options.tolerance,
      voters: members.filter(({ role }) => role === "voter").map(({ id }) => ({
        id,
        instance: parseMemberId(id).instance,
        dataCentre: server.getDataCentre(parseMemberId(id).instance),
        contactAgeMs: id === self ? 0 : lag[id]?.ageMs ?? 0,
      })),
      hasLearner: members.some(({ role }) => role === "learner"),
      standbys: server.listStandbys().map((standby) => ({
        instance: standby.instance,
        dataCentre: standby.dataCentre,
        connectedMs: nowMs - standby.sinceMs,
      })),
    });
    if (decision === undefined) return;
    if (decision.kind === "invite") {
      if (nowMs - invitedMs < INVITE_PAUSE_MS) return;
      invitedMs = nowMs;
      logger.info("Inviting a stand-by into the work log", decision);
      return server.invite(decision.instance);
    }
    logger.warn("Removing a lost voter from the work log", decision);
    log.removeMember(decision.id).catch((error: unknown) =>
      logger.warn("Lost voter not removed", { id: decision.id, error })
    );
  }
  reconcileVoters();

  async function propose(records: readonly WorkRecord[]): Promise<void> {
    const log = member?.getLog();
    if (log === undefined) {
      throw createFault(
        "notLeader",
        "Cannot record before the log has started",
      );
    }
    await log.propose(encodeRecords(records));
  }

  const tenure = createLeaderTenure({
    clock,
    getLedTerm() {
      const status = member?.getLog()?.getStatus();
      return status?.role === "leader" ? status.term : undefined;
    },
    start: (lease) => void startLeading(lease),
    stop: stopController,
    handleChange: () => server.sendPulses(),
  });

  function stopController(): void {
    if (controller === undefined) return;
    controller.stop();
    controller = undefined;
    logger.info("Stopped leading", { term: ledTerm });
  }

  async function startLeading(lease: LeaderLease): Promise<void> {
    const { term } = lease;
    logger.info("Won the leadership", { term });
    while (tenure.isCurrent(lease)) {
      try {
        // Everything that former leaders have recorded must be applied first.
        await member?.getLog()?.confirmLeadership();
        break;
      } catch (error) {
        logger.info("Leadership not confirmed yet", { term, error });
        await wait(clock, CONFIRM_PAUSE_MS);
      }
    }
    if (!tenure.isCurrent(lease)) return;
    ledTerm = term;
    metrics?.addCount("log_elections_total", { group: WORK_GROUP });
    controller = startWorkController({
      clock,
      logger,
      ...(metrics === undefined ? {} : { metrics }),
      state,
      fence: term,
      isLeading: () => guard.isLeading(),
      propose,
      calls: relayedCalls,
      ask: (caller, question, timeoutMs) =>
        server.ask(caller, question, timeoutMs),
      maxLeaseMs: options.maxLeaseMs,
      keepMs: options.keepMs,
      handleStaleFence() {
        logger.warn("A runner has seen a newer leader", { term });
        member?.getLog()?.confirmLeadership().catch((error: unknown) =>
          logger.info("Leadership not confirmed", { error })
        );
      },
    });
    controller.setCallers(server.listCallers());
    logger.info("Leading", { term });
    server.sendPulses();
  }

  function createNotLeader(): Error {
    return createFault("notLeader", `Cannot decide on instance "${instance}"`);
  }

  async function runCall(call: WorkCall): Promise<unknown> {
    const active = controller;
    if (active === undefined || !guard.isLeading()) throw createNotLeader();
    switch (call.kind) {
      case "submit":
        return await active.submit(call.address, call.body);
      case "state":
        return active.getState(call.address);
      case "pending":
        return active.countPending(call.address);
      case "cancel":
        return await active.cancel(call.address);
      case "configure":
        return await active.changeConfiguration(call.configuration);
      case "readConfiguration":
        // An operator must never be shown an older version than was acknowledged.
        await member?.getLog()?.confirmLeadership();
        return active.readConfiguration();
      case "announce":
        return await active.announceRunner(call.announcement);
      case "depart":
        return await active.removeRunner(call.runner);
    }
  }

  return {
    async call(call, timeoutMs) {
      const isKnown = call.kind === "announce" &&
        !hasNews(state, call.announcement.entry);
      return isKnown ? undefined : await gateway.call(call, timeoutMs);
    },
    isLeading: () => guard.isLeading(),
    addCores: (names) => gateway.addCores(names),
    async stop() {
      isStopped = true;
      tenure.close();
      server.sendPulses();
      await member?.stop();
      server.close();
      gateway.close();
      sender.close();
      rpcServer.close();
      peers.close();
    },
  };
}
