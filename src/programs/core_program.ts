/**
 * Program of an instance with a disk. It is a member of the work log and acts
 * as leader while it holds the lease. Like any other instance, it also forwards
 * calls to the leader.
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
  createEarlyReports,
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
import { readBusyMs, waitForImmediate } from "../report/event_loop.ts";
import type { LazyMetrics } from "../report/lazy_metrics.ts";
import { createTimeUse } from "../report/time_use.ts";
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
  createFencingTokens,
  createWorkState,
  type EligibilityAnswer,
  type EligibilityQuery,
  encodeRecords,
  formatIncarnation,
  isForLeader,
  type RunnerCalls,
  startWorkController,
  type WorkController,
  type WorkRecord,
} from "../workload/mod.ts";
import { createLeadershipTracker } from "./leadership_tracker.ts";
import { createLeadershipGuard } from "./leadership_guard.ts";
import { createVoteRelease } from "./vote_release.ts";
import { startVoterChanges } from "./voter_changes.ts";

/** Name of the replicated log that records all work. */
const WORK_GROUP = "work";

/** Time without being listed by a leader after which a member assumes its removal, in milliseconds; longer than joining takes. */
const REMOVED_AFTER_MS = 8_000;

/** Time without messages from a member after which a sender reconnects to it, in milliseconds; several heartbeats. */
const RECONNECT_AFTER_MS = 1_000;

/** Delay before an unconfirmed leadership is confirmed again, in milliseconds. */
const CONFIRM_RETRY_DELAY_MS = 50;

/** Options of the core program. */
export interface CoreProgramOptions {
  /** Address of this instance, which is also its name. */
  instance: string;
  dataCentre: string;
  /** Port on which instances reach each other; the same everywhere. */
  rpcPort: number;
  /** Initial members of the log on the first start of the whole system. */
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
    question: EligibilityQuery,
    timeoutMs: number,
  ) => Promise<EligibilityAnswer>;
  maxLeaseMs: number;
  /** Time for which a draining runner may still be started on, in milliseconds. Default: that of the controller. */
  drainNoticeMs?: number;
  keepMs: number;
  /** Lists the configured data centres. Default: only those of registered runners are known. */
  listDataCentres?: () => readonly string[];
  /** True if jobs are refused that cannot end before they lose their value. Default false. */
  admission?: boolean;
  /** Maximum occurrences of one job that are open at once; see `JobLimits`. */
  maxOpenOccurrences?: number;
  logTimings: Partial<LogTimings>;
  /** Called when the log has failed; the process must exit. */
  handleFailure: (error: unknown) => void;
}

/** A running core program. */
export interface CoreProgram {
  /** Answers an announcement without changes from the local state, and forwards all other calls to the leader. */
  readonly call: GatewayClient["call"];
  isLeading(): boolean;
  /** Adds instances that may lead, after a settings change. */
  addCores(names: readonly string[]): void;
  /**
   * Prepares a planned stop: resolves once a standby has taken over this
   * instance's vote, or with false when none can or `timeoutMs` has passed. The
   * program runs as before meanwhile.
   */
  releaseVote(timeoutMs: number): Promise<boolean>;
  /** Transfers leadership and stops the program. */
  stop(): Promise<void>;
}

/** Starts the core program. */
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
    unresponsiveAfterMs: RECONNECT_AFTER_MS,
  });
  const fencingTokens = createFencingTokens();
  const timeUse = createTimeUse({ clock, logger, readBusyMs });
  let ledTerm = 0;
  let controller: WorkController | undefined;

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
    handleStopping: () => voterChanges.checkSoon(),
    measure: timeUse.measure,
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
  let lastListedMs = clock.now();

  async function hasStore(): Promise<boolean> {
    try {
      return (await readdir(getStoreFolder(logFolder, WORK_GROUP))).length > 0;
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === "ENOENT") return false;
      throw error;
    }
  }

  function startMember(members: readonly string[]): void {
    lastListedMs = clock.now();
    member = startLogMember({
      group: WORK_GROUP,
      instance,
      members: members.map((id) => ({ id, role: "voter" })),
      folder: logFolder,
      canLead: true,
      isFirstStart: options.isFirstStart,
      stateMachine: state,
      timings: options.logTimings,
      sender,
      clock,
      random: options.random,
      logger,
      handleLeadership: (lease) => leadershipTracker.handleLease(lease),
      handleFailure: options.handleFailure,
    });
  }

  /** Joins with an empty store; data of an earlier membership is no longer valid. */
  async function startJoin(): Promise<void> {
    if (member !== undefined || voteRelease.isStopping()) return;
    logger.info("Joining the work log", { cores: gateway.listCores() });
    await rm(getStoreFolder(logFolder, WORK_GROUP), {
      recursive: true,
      force: true,
    });
    state.restoreSnapshot(createWorkState().takeSnapshot());
    startMember(gateway.listCores().filter((name) => name !== instance));
    gateway.sendHello();
  }

  /** Becomes a standby once leaders have not listed this member for `REMOVED_AFTER_MS`. */
  async function handleMembers(
    listedMembers: readonly string[],
  ): Promise<void> {
    const nowMs = clock.now();
    if (listedMembers.includes(instance) || member === undefined) {
      lastListedMs = nowMs;
      return;
    }
    if (nowMs - lastListedMs < REMOVED_AFTER_MS) return;
    logger.warn("No longer a member of the work log; becoming a standby", {
      members: listedMembers,
    });
    const previousMember = member;
    member = undefined;
    await previousMember.stop();
    gateway.sendHello();
  }

  const voteRelease = createVoteRelease({
    clock,
    logger,
    isMember: () => member?.getLog() !== undefined,
    sendHello: () => gateway.sendHello(),
  });

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
    isStandby: () => member === undefined && !voteRelease.isStopping(),
    isStopping: () => voteRelease.isStopping(),
    handleRelease: () => voteRelease.handleRelease(),
    handleMembers: (listedMembers) => void handleMembers(listedMembers),
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
    countRunners: () => state.countRunners(),
    listRelays: () => server.listRelays().filter((name) => name !== instance),
    isStandby: (relay) => server.isStandby(relay),
    callViaRelay: (relay, call, timeoutMs) =>
      server.callRunner(relay, call, timeoutMs),
  });

  const earlyReports = createEarlyReports({
    clock,
    listKeptAnswers: (name, timeoutMs) =>
      server.listKeptAnswers(name, timeoutMs),
  });

  const voterChanges = startVoterChanges({
    clock,
    logger,
    tolerance: options.tolerance,
    getLog: () =>
      controller !== undefined && guard.isLeading()
        ? member?.getLog()
        : undefined,
    server,
  });

  async function propose(records: readonly WorkRecord[]): Promise<void> {
    const log = member?.getLog();
    if (log === undefined) {
      throw createFault(
        "notLeader",
        "Cannot propose records: the log has not started",
      );
    }
    await log.propose(encodeRecords(records));
  }

  const leadershipTracker = createLeadershipTracker({
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
    logger.info("Elected leader", { term });
    earlyReports.start(server.listCallers());
    while (leadershipTracker.isCurrent(lease)) {
      try {
        // All entries committed by earlier leaders must be applied first.
        await member?.getLog()?.confirmLeadership();
        break;
      } catch (error) {
        logger.info("Leadership not confirmed yet", { term, error });
        await wait(clock, CONFIRM_RETRY_DELAY_MS);
      }
    }
    if (!leadershipTracker.isCurrent(lease)) return;
    ledTerm = term;
    metrics?.addCount("log_elections_total", { group: WORK_GROUP });
    controller = startWorkController({
      clock,
      logger,
      ...(metrics === undefined ? {} : { metrics }),
      state,
      createFencingToken: () => fencingTokens.create(term),
      isLeading: () => guard.isLeading(),
      propose,
      calls: relayedCalls,
      ask: (caller, question, timeoutMs) =>
        server.ask(caller, question, timeoutMs),
      getReport: earlyReports.take,
      maxLeaseMs: options.maxLeaseMs,
      drainNoticeMs: options.drainNoticeMs,
      keepMs: options.keepMs,
      listDataCentres: options.listDataCentres,
      admission: options.admission,
      maxOpenOccurrences: options.maxOpenOccurrences,
      waitForTurn: waitForImmediate,
      timeUse,
      handleStaleFence() {
        logger.warn("Runner has seen a newer fencing token", { term });
        member?.getLog()?.confirmLeadership().catch((error: unknown) =>
          logger.info("Leadership not confirmed", { error })
        );
      },
    });
    controller.setCallers(server.listCallers());
    logger.info("Leading", { term });
    server.sendPulses();
  }

  function createNotLeaderFault(): Error {
    return createFault(
      "notLeader",
      `Cannot run the call: instance "${instance}" is not the leader`,
    );
  }

  async function runCall(call: WorkCall, origin: string): Promise<unknown> {
    const active = controller;
    if (active === undefined || !guard.isLeading()) {
      throw createNotLeaderFault();
    }
    switch (call.kind) {
      case "submit":
        return await active.submit(call.address, call.body, { origin });
      case "state":
        return active.getState(call.address);
      case "pending":
        return active.countPending(call.address);
      case "cancel":
        return await active.cancel(call.address, { origin });
      case "configure":
        return await active.changeConfiguration(call.configuration);
      case "readConfiguration":
        // The reply must not be older than the last acknowledged version.
        await member?.getLog()?.confirmLeadership();
        return active.readConfiguration();
      case "announce":
        return await active.announceRunner(call.announcement);
      case "depart":
        return await active.removeRunner(call.runner);
      case "evacuate":
        return await active.setEvacuation(call.change);
    }
  }

  return {
    async call(call, timeoutMs) {
      if (call.kind !== "announce") return await gateway.call(call, timeoutMs);
      const { announcement } = call;
      const isKnown = !isForLeader(state, announcement);
      if (!isKnown) await gateway.call(call, timeoutMs);
      if (announcement.entry.isDraining) {
        logger.info("Draining runner acknowledged", {
          runner: formatIncarnation(announcement.entry),
          sequence: announcement.sequence,
          isKnown,
        });
      }
      return undefined;
    },
    isLeading: () => guard.isLeading(),
    addCores: (names) => gateway.addCores(names),
    releaseVote: voteRelease.releaseVote,
    async stop() {
      voterChanges.close();
      leadershipTracker.close();
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
