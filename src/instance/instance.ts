/**
 * One instance of goldcrestlug: it connects the services to the listeners, and
 * stops them in the order that interrupts no request.
 */

import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { createSeededRandom, createSystemClock } from "../common/mod.ts";
import type { Clock, Logger, Random } from "../common/mod.ts";
import type { AllotmentAsk, AllotmentTransfer } from "../allotments/mod.ts";
import {
  createDataCentreState,
  type DataCentreState,
} from "../data_centre/state.ts";
import type { Limits } from "../fleet/mod.ts";
import {
  createAnnounceRoutes,
  createJobRoutes,
  createOperatorRoutes,
  createRequestRoutes,
  type HttpServer,
  type JobView,
  startHttpServer,
} from "../http/mod.ts";
import {
  createMembership,
  type InstanceState,
  type Membership,
} from "../membership/mod.ts";
import {
  createForwarder,
  createHomeFinder,
  createRetryBudget,
} from "../requests/mod.ts";
import type { LogMember } from "../replicated_log/mod.ts";
import {
  type AllotmentOffer,
  type AnnouncementReplies,
  createLogSender,
  createPeerSet,
  createRpcCredentials,
  type HeartbeatMessage,
  type JobReply,
  type JsonBody,
  type LogEnvelope,
  type RpcServer,
  startRpcServer,
} from "../rpc/mod.ts";
import type {
  Address,
  InstanceEntry,
  Settings,
  TlsFiles,
} from "../settings/mod.ts";
import { openCertificateFiles } from "../tls/mod.ts";
import { createAnnouncementBatches } from "./announcement_batches.ts";
import { checkAddress } from "./check_address.ts";
import { createFleetService, FLEET_GROUP } from "./fleet_service.ts";
import { readAllBurn } from "./burn_collection.ts";
import { createObserver } from "./observer.ts";
import { createLeaderCalls, type LeaderCalls } from "./leader_calls.ts";
import { type LogMemberHandle, startLogMember } from "./log_member.ts";
import { createRequestRouting } from "./request_routing.ts";
import { createWorkService, type WorkService } from "./work_service.ts";

/** Time that an announcement of a worker may take, in milliseconds. */
const WORKER_ANNOUNCE_TIMEOUT_MS = 1_000;

/**
 * Time that an announcement of an endpoint may take, in milliseconds. The
 * leader counts slots on the assumption that none is older when it arrives.
 */
const ENDPOINT_ANNOUNCE_TIMEOUT_MS = 500;

/** Time for handing a job or a question about it to a leader, in milliseconds. */
const JOB_TIMEOUT_MS = 5_000;

/** Time for an ask or a transfer of allotment, in milliseconds. */
const ALLOTMENT_TIMEOUT_MS = 1_000;

/** Time for the status of one data centre, in milliseconds. */
const STATUS_TIMEOUT_MS = 1_000;

/**
 * Time between the loss of readiness and the refusal of new work, in
 * milliseconds, so that the platform's balancer can turn away first.
 */
export const DRAIN_NOTICE_MS = 1_000;

/** Time between samples of the distance from share, in milliseconds. */
const SHARE_SAMPLE_MS = 10_000;

/** Time between looks at the open requests during a stop, in milliseconds. */
const DRAIN_POLL_MS = 20;

/**
 * Time for which a starting instance waits for a confirmed configuration, in
 * milliseconds. A cut-off data centre cannot get one, so after this time it
 * serves with what it has; the limit on the age of keys still applies.
 */
const CONFIRM_WAIT_MS = 10_000;

/** Options of an instance. */
export interface InstanceOptions {
  logger: Logger;
  clock?: Clock;
  random?: Random;
  /** Called when the instance cannot go on, for example after a disk failure. */
  handleFailure?: (error: unknown) => void;
}

/** A running instance. */
export interface Instance {
  readonly httpPort: number;
  readonly rpcPort: number;
  isReady(): boolean;
  /** Stops gracefully: finishes requests, hands over leadership and syncs. */
  stop(): Promise<void>;
}

function formatAddress({ host, port }: Address): string {
  return host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`;
}

/** Spreads seeds far apart, so that members that start together do not time out together. */
function computeSeed(name: string): number {
  return createHash("sha256").update(name).digest().readInt32BE(0);
}

/** Returns the name of the log group of a data centre. */
export function getDataCentreGroup(dataCentre: string): string {
  return `data-centre/${dataCentre}`;
}

/** Lists the members of a data centre's log at its first start. */
export function listGroupMembers(
  instances: readonly InstanceEntry[],
  dataCentre: string,
): LogMember[] {
  return instances.flatMap((entry): LogMember[] => {
    if (entry.scheduler && entry.dataCentre === dataCentre) {
      return [{ id: entry.instance, role: "voter" }];
    }
    if (entry.witnessFor.includes(dataCentre)) {
      return [{ id: entry.instance, role: "witness" }];
    }
    return [];
  });
}

/**
 * Starts an instance; rejects with a fault when it cannot listen, of kind
 * `badRequest` when the files of `tls` cannot be used.
 */
export async function startInstance(
  settings: Settings,
  options: InstanceOptions,
): Promise<Instance> {
  const { instance, dataCentre } = settings;
  const clock = options.clock ?? createSystemClock();
  const incarnation = clock.wallTime();
  const startedAtMs = clock.now();
  const random = options.random ??
    createSeededRandom(computeSeed(`${instance}#${incarnation}`));
  const logger = options.logger.with({ instance, dataCentre });
  const handleFailure = options.handleFailure ??
    ((error: unknown) => logger.error("Instance failed", { error }));
  let isStopping = false;
  let isRefusing = false;

  // Before anything else, so that unusable files leave nothing running.
  const openFiles = async (setting: string, files: TlsFiles | undefined) =>
    files === undefined ? undefined : await openCertificateFiles({
      setting,
      files,
      reloadMs: settings.tls.reloadMs,
      clock,
      logger,
    });
  const rpcFiles = await openFiles("tls.rpc", settings.tls.rpc);
  const httpFiles = await openFiles("tls.http", settings.tls.http).catch(
    (error) => {
      rpcFiles?.close();
      throw error;
    },
  );
  const credentials = rpcFiles && createRpcCredentials(rpcFiles);

  const others = settings.instances
    .filter((entry) => entry.instance !== instance);
  const peers = createPeerSet({
    peers: others.map((entry) => ({
      instance: entry.instance,
      address: formatAddress(entry.rpc),
    })),
    ...(credentials && { credentials: credentials.channel }),
  });
  const sender = createLogSender({ peers, clock });
  const members = new Map<string, LogMemberHandle>();

  await checkAddress(settings.listen.rpc);
  await checkAddress(settings.listen.http);

  // The services refer to each other; what is used before its creation is
  // reached through these functions.
  const fleet = await createFleetService({
    settings,
    peers,
    sender,
    clock,
    random,
    logger,
    getMembership: () => membership,
    handleFailure,
  });

  function startGroupMember(
    name: string,
    state: DataCentreState,
    work: WorkService | undefined,
  ): void {
    const group = getDataCentreGroup(name);
    members.set(
      group,
      startLogMember({
        group,
        instance,
        members: listGroupMembers(settings.instances, name),
        folder: settings.dataFolder,
        canLead: work !== undefined,
        stateMachine: state,
        timings: settings.log,
        sender,
        clock,
        random,
        logger,
        handleLeadership: (lease) => {
          if (lease !== undefined) observer.recordElection(group);
          work?.handleLeadership(lease);
        },
        handleFailure,
      }),
    );
  }

  function createState(name: string, handleApplied: () => void) {
    const { recordRetentionMs, maxRecords, recordedAnswerMaxBytes } =
      settings.requests;
    return createDataCentreState({
      dataCentre: name,
      requestRecords: {
        retentionMs: recordRetentionMs,
        maxRecords,
        recordedAnswerMaxBytes,
      },
      handleApplied: (part) => {
        if (part === "requests") handleApplied();
      },
    });
  }

  async function sendAsk(ask: AllotmentAsk): Promise<Limits> {
    const reply = await calls.call<AllotmentOffer>("askAllotment", {
      fromDataCentre: ask.from,
      team: ask.team,
      wanted: ask.wanted,
      entitled: ask.entitled,
      levelling: ask.levelling,
    }, {
      dataCentre: ask.to,
      timeoutMs: ALLOTMENT_TIMEOUT_MS,
      idempotent: false,
    });
    return reply.offered;
  }

  async function sendTransfer(transfer: AllotmentTransfer): Promise<void> {
    await calls.call("transferAllotment", {
      transferId: transfer.id,
      fromDataCentre: transfer.from,
      toDataCentre: transfer.to,
      team: transfer.team,
      amount: transfer.amount,
    }, {
      dataCentre: transfer.to,
      timeoutMs: ALLOTMENT_TIMEOUT_MS,
      idempotent: true,
    });
  }

  const ownGroup = getDataCentreGroup(dataCentre);
  const observer = createObserver({
    instance,
    dataCentre,
    clock,
    objectives: settings.objectives,
  });
  let work: WorkService | undefined;
  if (settings.roles.scheduler) {
    const state = createState(dataCentre, () => work?.handleApplied());
    work = createWorkService({
      settings,
      state,
      view: fleet.view,
      clock,
      random,
      logger,
      observer,
      getLog: () => members.get(ownGroup)?.getLog(),
      getLeader: () => members.get(ownGroup)?.getLeader(),
      sendAsk,
      sendTransfer,
    });
    startGroupMember(dataCentre, state, work);
  }
  for (const name of settings.roles.witnessFor) {
    startGroupMember(name, createState(name, () => {}), undefined);
  }

  function getOwnState(): InstanceState {
    const log = members.get(ownGroup)?.getLog();
    return {
      instance,
      dataCentre,
      incarnation,
      configVersion: fleet.view.getVersion(),
      dataCentreLeader: members.get(ownGroup)?.getLeader() ?? "",
      dataCentreEpoch: log?.getStatus().term ?? 0,
      fleetLeader: fleet.findLeader(),
      stopping: isStopping,
    };
  }

  const membership: Membership = createMembership({
    peers: others,
    dataCentre,
    clock,
    getOwnState,
    sendHeartbeat: (peer, state, timeoutMs) =>
      peers.get(peer).call<HeartbeatMessage, HeartbeatMessage>(
        "Membership.heartbeat",
        state,
        { timeoutMs },
      ),
  });

  const calls: LeaderCalls = createLeaderCalls({
    instance,
    clock,
    peers,
    membership,
    getLocalLeader: (name) =>
      name === dataCentre ? members.get(ownGroup)?.getLeader() : undefined,
    handlers: work?.handlers ?? {},
  });

  function receiveEnvelope(envelope: LogEnvelope): void {
    if (envelope.group === FLEET_GROUP) fleet.receive(envelope);
    else members.get(envelope.group)?.receive(envelope);
  }

  const rpc: RpcServer = await startRpcServer({
    ...settings.listen.rpc,
    ...(credentials && { credentials: credentials.server }),
    services: {
      Consensus: {
        writeStreams: {
          send: (stream) => {
            stream.on("data", receiveEnvelope);
            stream.on("error", () => {});
          },
        },
      },
      Fleet: fleet.handlers,
      Work: { unary: work?.handlers ?? {} },
      Membership: {
        unary: {
          heartbeat: (state: InstanceState) =>
            Promise.resolve(membership.receiveHeartbeat(state)),
          getBurn: async () => {
            const snapshot = await observer.burn.takeSnapshot();
            return { body: Buffer.from(JSON.stringify(snapshot)) };
          },
        },
      },
    },
  });
  fleet.start();

  const forwarder = createForwarder({
    clock,
    connectionsPerEndpoint: settings.requests.connectionsPerEndpoint,
    maxAnswerBytes: settings.requests.maxAnswerBytes,
  });
  const findHome = await createHomeFinder();
  const routing = createRequestRouting({
    instance,
    dataCentre,
    view: fleet.view,
    calls,
    forwarder,
    retryBudget: createRetryBudget({
      earnedPerRequest: settings.requests.retryBudgetRatio,
    }),
    findHome,
    listOthers: () =>
      fleet.view.getState().dataCentres.filter((name) => name !== dataCentre),
    clock,
    random,
    logger,
  });

  async function sendJobCall(
    method: string,
    request: { team: string; job?: Buffer; jobId?: string },
    jobId: string,
  ): Promise<JobView> {
    const home = findHome(
      { scope: `team:${request.team}`, requestId: jobId },
      fleet.view.getState().dataCentres,
    );
    // A job's identifier makes a repeated submission harmless.
    const reply = await calls.call<JobReply>(method, request, {
      dataCentre: home,
      timeoutMs: JOB_TIMEOUT_MS,
      idempotent: true,
    });
    return JSON.parse(Buffer.from(reply.job).toString());
  }

  async function announceEndpoint(name: string, body: Uint8Array) {
    const reply = await calls.call<JsonBody>("announceEndpoint", { body }, {
      dataCentre: name,
      timeoutMs: ENDPOINT_ANNOUNCE_TIMEOUT_MS,
      idempotent: true,
    });
    return JSON.parse(Buffer.from(reply.body).toString());
  }

  const announcements = createAnnouncementBatches({
    clock,
    sendBatch: (name, batch) =>
      calls.call<AnnouncementReplies>("announceWorkers", batch, {
        dataCentre: name,
        timeoutMs: WORKER_ANNOUNCE_TIMEOUT_MS,
        idempotent: true,
      }),
  });

  async function getDataCentreStatus(name: string): Promise<unknown> {
    try {
      const reply = await calls.call<JsonBody>("getStatus", {}, {
        dataCentre: name,
        timeoutMs: STATUS_TIMEOUT_MS,
        idempotent: true,
      });
      return JSON.parse(Buffer.from(reply.body).toString());
    } catch (error) {
      return { dataCentre: name, unreachable: String(error) };
    }
  }

  function renderMetrics(): Promise<string> {
    const { metrics } = observer;
    metrics.setGauge("config_version", fleet.view.getVersion());
    metrics.setGauge("requests_open", http.countOpen());
    for (const [group, handle] of members) {
      const log = handle.getLog();
      if (log === undefined) continue;
      const isLeading = log.getLease() !== undefined;
      metrics.setGauge("log_is_leader", isLeading ? 1 : 0, { group });
      metrics.setGauge("log_commit_index", log.getStatus().commitIndex, {
        group,
      });
    }
    const leadership = work?.getLeadership();
    if (leadership !== undefined) {
      const { queued, endpoints } = leadership.slots.controller.getStatus();
      const { workers, workersOutOfService } = leadership.scheduler.getStatus();
      metrics.setGauge("requests_waiting", queued);
      metrics.setGauge("endpoints", endpoints.length, { state: "known" });
      metrics.setGauge("workers", workers, { state: "known" });
      metrics.setGauge("workers", workersOutOfService.length, {
        state: "outOfService",
      });
    }
    return metrics.render();
  }

  function recordShares(): void {
    const leadership = work?.getLeadership();
    if (leadership !== undefined) {
      observer.recordShares(leadership.scheduler.getStatus());
    }
    shareTimer = clock.setTimer(SHARE_SAMPLE_MS, recordShares);
  }

  let shareTimer = clock.setTimer(SHARE_SAMPLE_MS, recordShares);

  async function getStatus(): Promise<unknown> {
    const names = fleet.view.getState().dataCentres;
    const logs = [...members].map(([group, handle]) => ({
      group,
      ...handle.getLog()?.getStatus(),
    }));
    return {
      self: getOwnState(),
      fleet: fleet.getStatus(),
      logs,
      peers: membership.list(),
      dataCentres: await Promise.all(names.map(getDataCentreStatus)),
    };
  }

  function hasConfiguration(): boolean {
    if (fleet.hasBeenConfirmed()) return true;
    const waitedMs = clock.now() - startedAtMs;
    return waitedMs > CONFIRM_WAIT_MS && fleet.view.getVersion() > 0;
  }

  function listUnreadyReasons(): string[] {
    const reasons: string[] = [];
    if (isStopping) reasons.push("the instance is stopping");
    if (!hasBeenReady && !hasConfiguration()) {
      reasons.push("the configuration has not been confirmed");
    }
    if (calls.findLeader(dataCentre) === undefined) {
      reasons.push(`data centre "${dataCentre}" has no known leader`);
    }
    return reasons;
  }

  let hasBeenReady = false;

  function getReadiness() {
    const reasons = listUnreadyReasons();
    const ready = reasons.length === 0;
    hasBeenReady ||= ready;
    return { ready, reasons };
  }

  /** A former configuration must not be served, so work waits for readiness. */
  function getRefusal(): string | undefined {
    if (isRefusing) return "the instance is stopping";
    if (!hasBeenReady && !getReadiness().ready) {
      return "the instance is starting";
    }
    return undefined;
  }

  const shared = {
    dataCentre,
    view: fleet.view,
    maxBodyBytes: settings.requests.maxBodyBytes,
    getRefusal,
  };
  const http: HttpServer = await startHttpServer({
    ...settings.listen.http,
    ...(httpFiles && { certificateFiles: httpFiles }),
    logger,
    handleAnswered: (context, status, durationMs) =>
      observer.recordHttpAnswer(context.route, status, durationMs),
    routes: [
      ...createRequestRoutes({
        ...shared,
        defaultDeadlineMs: settings.requests.defaultDeadlineMs,
        maxDeadlineMs: settings.requests.maxDeadlineMs,
        execute: (request) =>
          observer.runRequest(request.team, () => routing.execute(request)),
        findRequest: routing.findRequest,
      }),
      ...createJobRoutes({
        ...shared,
        submitJob: (team, job) =>
          sendJobCall(
            "submitJob",
            { team, job: Buffer.from(JSON.stringify(job)) },
            job.id,
          ),
        getJob: (team, jobId) => sendJobCall("getJob", { team, jobId }, jobId),
        cancelJob: (team, jobId) =>
          sendJobCall("cancelJob", { team, jobId }, jobId),
      }),
      ...createAnnounceRoutes({
        announceEndpoint,
        announceWorker: announcements.send,
      }),
      ...createOperatorRoutes({
        ...(settings.operatorTokenHash === undefined
          ? {}
          : { tokenHash: settings.operatorTokenHash }),
        submitChange: fleet.submitChange,
        getState: fleet.view.getState,
        getStatus,
        renderMetrics,
        getBurn: () =>
          readAllBurn({
            instance,
            instances: settings.instances.map((entry) => entry.instance),
            recorder: observer.burn,
            peers,
          }),
        getReadiness,
      }),
    ],
  });
  logger.info("Instance started", { http: http.port, rpc: rpc.port });

  function wait(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }

  async function waitForOpenRequests(): Promise<void> {
    const untilMs = clock.now() + settings.stop.graceMs;
    while (http.countOpen() > 0 && clock.now() < untilMs) {
      await wait(DRAIN_POLL_MS);
    }
    if (http.countOpen() > 0) {
      logger.warn("Stopping with open requests", { open: http.countOpen() });
    }
  }

  async function stop(): Promise<void> {
    if (isStopping) return;
    isStopping = true;
    logger.info("Stopping");
    await wait(DRAIN_NOTICE_MS);
    // Leadership moves first, so that requests queued here end as not run and
    // are taken up by the successor while this instance still forwards.
    await Promise.all([...members.values()].map((member) => member.stop()));
    await work?.stop();
    isRefusing = true;
    http.stopAccepting();
    await waitForOpenRequests();
    await forwarder.close();
    await fleet.stop();
    membership.stop();
    shareTimer.cancel();
    await http.close();
    rpc.close();
    sender.close();
    peers.close();
    rpcFiles?.close();
    httpFiles?.close();
    logger.info("Stopped");
  }

  return {
    httpPort: http.port,
    rpcPort: rpc.port,
    isReady: () => getReadiness().ready,
    stop,
  };
}
