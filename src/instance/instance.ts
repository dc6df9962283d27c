/**
 * Starts an instance of goldcrestlug and connects its services to the
 * listeners. The services stop in an order that interrupts no request.
 */

import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { createSeededRandom, createSystemClock } from "../common/mod.ts";
import type { Clock, Logger, Random } from "../common/mod.ts";
import {
  createDataCentreState,
  type DataCentreState,
} from "../data_centre/state.ts";
import {
  createAnnounceRoutes,
  createExplainRoutes,
  createJobRoutes,
  createOperatorRoutes,
  createRequestRoutes,
  type HttpServer,
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
import {
  createLogSender,
  createPeerSet,
  createRpcCredentials,
  type HeartbeatMessage,
  type LogEnvelope,
  type RpcServer,
  startRpcServer,
} from "../rpc/mod.ts";
import type { Address, Settings, TlsFiles } from "../settings/mod.ts";
import { openCertificateFiles } from "../tls/mod.ts";
import { checkAddress } from "./check_address.ts";
import { readAllBurnSnapshots } from "./burn_collection.ts";
import { createFleetService, FLEET_GROUP } from "./fleet_service.ts";
import { createInstanceStatus } from "./instance_status.ts";
import { createLeaderCalls, type LeaderCalls } from "./leader_calls.ts";
import { createLeaderClient, type LeaderClient } from "./leader_client.ts";
import { getDataCentreGroup, listGroupMembers } from "./log_groups.ts";
import { type LogMemberHandle, startLogMember } from "./log_member.ts";
import { createObserver } from "./observer.ts";
import { createReadiness, type InstanceReadiness } from "./readiness.ts";
import { createRequestRouting } from "./request_routing.ts";
import { createWorkService, type WorkService } from "./work_service.ts";

/**
 * Time between the loss of readiness and the refusal of new work, in
 * milliseconds, so that the platform's load balancer can stop routing here first.
 */
export const DRAIN_NOTICE_MS = 1_000;

/** Time after closing the listener in which requests may still arrive on accepted connections, in milliseconds. */
const ARRIVAL_GRACE_MS = 500;

/**
 * Further wait for the first request on accepted connections, in milliseconds; a
 * caller on a busy machine may take seconds to send it.
 */
const FIRST_REQUEST_WAIT_MS = 3_000;

/** Interval between checks of the open requests during a stop, in milliseconds. */
const DRAIN_POLL_MS = 20;

/** Options of an instance. */
export interface InstanceOptions {
  logger: Logger;
  clock?: Clock;
  random?: Random;
  /** Called on an unrecoverable error, for example a disk failure. */
  handleFailure?: (error: unknown) => void;
}

/** A running instance. */
export interface Instance {
  readonly httpPort: number;
  readonly rpcPort: number;
  isReady(): boolean;
  /** Stops gracefully: transfers leadership, finishes requests and syncs. */
  stop(): Promise<void>;
}

function formatAddress({ host, port }: Address): string {
  return host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`;
}

/** Computes a seed by hashing, so that members that start together do not time out together. */
function computeSeed(name: string): number {
  return createHash("sha256").update(name).digest().readInt32BE(0);
}

/**
 * Starts an instance. Rejects with `unavailable` when it cannot listen, and with
 * `badRequest` when the files of `tls` cannot be used.
 */
export async function startInstance(
  settings: Settings,
  options: InstanceOptions,
): Promise<Instance> {
  const { instance, dataCentre } = settings;
  const clock = options.clock ?? createSystemClock();
  const incarnation = clock.wallTime();
  const random = options.random ??
    createSeededRandom(computeSeed(`${instance}#${incarnation}`));
  const logger = options.logger.with({ instance, dataCentre });
  const handleFailure = options.handleFailure ??
    ((error: unknown) => logger.error("Instance failed", { error }));

  // Opened first, so that unusable files leave nothing running.
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
  const addresses = new Map(
    others.map((entry) => [entry.instance, formatAddress(entry.rpc)]),
  );
  const peers = createPeerSet({
    findAddress: (name) => addresses.get(name),
    ...(credentials && { credentials: credentials.channel }),
  });
  const sender = createLogSender({ peers, clock });
  const members = new Map<string, LogMemberHandle>();

  const findHome = await createHomeFinder();
  await checkAddress(settings.listen.rpc);
  await checkAddress(settings.listen.http);

  // The services refer to each other. Functions give access to services that are
  // created later.
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
      sendAsk: (ask) => leaders.sendAsk(ask),
      sendTransfer: (transfer) => leaders.sendTransfer(transfer),
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
      stopping: readiness.isStopping(),
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

  const leaders: LeaderClient = createLeaderClient({
    calls,
    findHome,
    view: fleet.view,
    clock,
  });

  const readiness: InstanceReadiness = createReadiness({
    dataCentre,
    clock,
    fleet,
    hasLeader: () => calls.findLeader(dataCentre) !== undefined,
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

  const status = createInstanceStatus({
    fleet,
    members,
    membership,
    work,
    observer,
    clock,
    getOwnState,
    getDataCentreStatus: leaders.getStatus,
    countOpenRequests: () => http.countOpenRequests(),
  });

  const shared = {
    dataCentre,
    view: fleet.view,
    getRefusal: readiness.getRefusal,
  };
  const deadlines = {
    defaultDeadlineMs: settings.requests.defaultDeadlineMs,
    maxDeadlineMs: settings.requests.maxDeadlineMs,
  };
  const operators = settings.operatorTokenHash === undefined
    ? {}
    : { tokenHash: settings.operatorTokenHash };
  const http: HttpServer = await startHttpServer({
    ...settings.listen.http,
    ...(httpFiles && { certificateFiles: httpFiles }),
    logger,
    handleResponse: (context, status, durationMs) =>
      observer.recordHttpAnswer(context.route, status, durationMs),
    routes: [
      ...createRequestRoutes({
        ...shared,
        ...deadlines,
        maxBodyBytes: settings.requests.maxBodyBytes,
        execute: (request) =>
          observer.runRequest(
            request.workspace,
            () => routing.execute(request),
          ),
        findRequest: routing.findRequest,
      }),
      ...createExplainRoutes({
        ...shared,
        ...deadlines,
        ...operators,
        ...settings.jobs,
        explainRequest: routing.explain,
        explainJob: leaders.explainJob,
      }),
      ...createJobRoutes({
        ...shared,
        ...settings.jobs,
        submitJob: leaders.submitJob,
        getJob: leaders.getJob,
        cancelJob: leaders.cancelJob,
      }),
      ...createAnnounceRoutes({
        announceEndpoint: leaders.announceEndpoint,
        announceWorker: leaders.announceWorker,
      }),
      ...createOperatorRoutes({
        ...operators,
        submitChange: fleet.submitChange,
        getState: fleet.view.getState,
        getStatus: status.getStatus,
        renderMetrics: status.renderMetrics,
        getBurn: () =>
          readAllBurnSnapshots({
            instance,
            instances: settings.instances.map((entry) => entry.instance),
            recorder: observer.burn,
            peers,
          }),
        getReadiness: readiness.get,
      }),
    ],
  });
  logger.info("Instance started", { http: http.port, rpc: rpc.port });

  function wait(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }

  async function waitForOpenRequests(): Promise<void> {
    const untilMs = clock.now() + settings.stop.graceMs;
    const unreadUntilMs = clock.now() +
      Math.min(FIRST_REQUEST_WAIT_MS, settings.stop.graceMs);
    while (
      (http.countOpenRequests() > 0 && clock.now() < untilMs) ||
      (http.countUnusedConnections() > 0 && clock.now() < unreadUntilMs)
    ) {
      await wait(DRAIN_POLL_MS);
    }
    if (http.countOpenRequests() > 0) {
      logger.warn("Stopping with open requests", {
        open: http.countOpenRequests(),
      });
    }
  }

  async function stop(): Promise<void> {
    if (readiness.isStopping()) return;
    readiness.setStopping();
    logger.info("Stopping");
    await wait(DRAIN_NOTICE_MS);
    // Leadership moves first: requests queued here end as not run, and the next
    // leader accepts them while this instance still forwards.
    await Promise.all([...members.values()].map((member) => member.stop()));
    await work?.stop();
    readiness.setRefusing();
    await http.stopAccepting();
    // Requests in transit on accepted connections are answered with a refusal.
    await wait(ARRIVAL_GRACE_MS);
    await waitForOpenRequests();
    await forwarder.close();
    await fleet.stop();
    membership.stop();
    status.stop();
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
    isReady: () => readiness.get().ready,
    stop,
  };
}
