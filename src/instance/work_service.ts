/**
 * The `Work` service of this instance. It serves calls while the instance leads
 * the log of its data centre, and otherwise refuses them with the known leader's
 * name.
 */

import { Buffer } from "node:buffer";
import type { AllotmentAsk, AllotmentTransfer } from "../allotments/mod.ts";
import {
  type Clock,
  createFault,
  isFault,
  type Logger,
  type Random,
  renderFault,
  toFault,
} from "../common/mod.ts";
import {
  type EndpointAnnouncementReply,
  parseWorkerAnnouncement,
} from "../data_centre/announcements.ts";
import { isEvacuated } from "../data_centre/evacuation.ts";
import type { RecordedJobSpec } from "../data_centre/job_records.ts";
import {
  type Leadership,
  type LeadershipOptions,
  startLeadership,
} from "../data_centre/leadership.ts";
import {
  type DataCentreCommand,
  type DataCentreResult,
  type DataCentreState,
  encodeDataCentreCommand,
} from "../data_centre/state.ts";
import type { FleetView, Limits } from "../fleet/mod.ts";
import {
  type LeaderExplanation,
  type LeaderJobExplanation,
  parseJson,
} from "../http/mod.ts";
import type { LeaderLease, ReplicatedLog } from "../replicated_log/mod.ts";
import type {
  AllotmentAsk as AskMessage,
  AllotmentTransfer as TransferMessage,
  AnnouncementBatch,
  AnnouncementReplies,
  AnnouncementReply,
  JobQuery,
  JobReply,
  JobRequest,
  JsonBody,
  RequestQuery,
  RequestReply,
  SlotReply,
} from "../rpc/mod.ts";
import { MAX_MISSED_ANNOUNCEMENTS } from "../requests/constants.ts";
import type { SlotRelease, SlotRequest } from "../requests/mod.ts";
import type { Settings } from "../settings/mod.ts";
import { createCallRateLimit } from "./call_rate_limit.ts";
import { renderJob } from "./job_view.ts";
import type { WorkHandlers } from "./leader_calls.ts";
import type { Observer } from "./observer.ts";

/** Options of the service. */
export interface WorkServiceOptions {
  settings: Settings;
  state: DataCentreState;
  view: FleetView;
  clock: Clock;
  random: Random;
  logger: Logger;
  observer: Observer;
  getLog: () => ReplicatedLog | undefined;
  getLeader: () => string | undefined;
  /** Requests allotment from the leader of another data centre. */
  sendAsk: (ask: AllotmentAsk) => Promise<Limits>;
  sendTransfer: (transfer: AllotmentTransfer) => Promise<void>;
  createCommandSender?: LeadershipOptions["createCommandSender"];
}

/** The service and its connection to the log. */
export interface WorkService {
  readonly handlers: WorkHandlers;
  /** Starts leading with a lease; stops leading without one. */
  handleLeadership(lease: LeaderLease | undefined): void;
  /** Updates the waiting slot requests after an applied command. */
  handleApplied(): void;
  getLeadership(): Leadership | undefined;
  stop(): Promise<void>;
}

const NO_BYTES = new Uint8Array(0);

/** Explanations that a leader answers in a second, as docs/design/hard_load.md states. */
const EXPLANATIONS_PER_SECOND = 5;

function encodeJson(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}

/** Creates the service. */
export function createWorkService(options: WorkServiceOptions): WorkService {
  const { settings, state, clock, logger, view, observer } = options;
  const { dataCentre } = settings;
  let leadership: Leadership | undefined;
  let leaseEpoch: number | undefined;
  const explanations = createCallRateLimit({
    clock,
    callsPerSecond: EXPLANATIONS_PER_SECOND,
    subject: "explanation",
  });

  function hasLease(epoch: number): boolean {
    const lease = options.getLog()?.getLease();
    return lease !== undefined && lease.term === epoch &&
      lease.validUntilMs > clock.now();
  }

  async function propose(
    command: DataCentreCommand,
  ): Promise<DataCentreResult> {
    const log = options.getLog();
    if (log === undefined) throw createNotLeaderFault();
    const startMs = clock.now();
    const { result } = await log.propose(encodeDataCentreCommand(command));
    observer.metrics.recordDuration("log_propose_ms", clock.now() - startMs, {
      group: "data centre",
    });
    if (isFault(result)) throw result;
    return result as DataCentreResult;
  }

  function createNotLeaderFault() {
    const leader = options.getLeader();
    return createFault(
      "notLeader",
      `Instance "${settings.instance}" does not lead data centre "${dataCentre}"`,
      leader === undefined || leader === settings.instance
        ? {}
        : { details: { leader } },
    );
  }

  function getLeadership(): Leadership {
    if (leadership === undefined || !hasLease(leadership.epoch)) {
      throw createNotLeaderFault();
    }
    return leadership;
  }

  async function startEpoch(epoch: number): Promise<void> {
    // Applies the entries of earlier terms before the controllers read the state.
    await options.getLog()?.confirmLeadership();
    // This empty proposal waits for earlier proposals by stopped controllers of
    // the same epoch. The new controllers would miss a transfer or assignment
    // applied after they have read the state.
    await propose({ part: "jobs", commands: [] });
    if (leaseEpoch !== epoch || !hasLease(epoch)) return;
    logger.info("Leading the data centre", { epoch });
    leadership = startLeadership({
      dataCentre,
      epoch,
      clock,
      random: options.random,
      logger: logger.with({ epoch }),
      state,
      view,
      weights: settings.scheduling.weights,
      taskLeaseMs: settings.tasks.leaseMs,
      queueLength: settings.requests.queueLength,
      grantValidMs: settings.requests.grantValidMs,
      connectionsPerEndpoint: settings.requests.connectionsPerEndpoint,
      usageMargin: settings.scheduling.usageSafetyMargin,
      announcePeriodMs: settings.tasks.announcePeriodMs,
      holdsLease: () => hasLease(epoch),
      propose,
      sendAsk: options.sendAsk,
      sendTransfer: options.sendTransfer,
      ...(options.createCommandSender === undefined
        ? {}
        : { createCommandSender: options.createCommandSender }),
      handleTaskStart: observer.recordTaskStart,
      handleTaskEnd: observer.recordTaskEnd,
      handlePlacement: (durationMs) =>
        observer.metrics.recordDuration("placement_ms", durationMs),
      handleFailure: (error) => restart(epoch, error),
    });
  }

  function stopLeadership(): void {
    const ended = leadership;
    leadership = undefined;
    if (ended === undefined) return;
    logger.info("No longer leading the data centre", { epoch: ended.epoch });
    void ended.stop();
  }

  /** Rebuilds the controllers from the log after a proposal failed. */
  function restart(epoch: number, error: unknown): void {
    logger.warn("Rebuilding the controllers of the data centre", {
      epoch,
      error,
    });
    stopLeadership();
    if (leaseEpoch === epoch && hasLease(epoch)) start(epoch);
  }

  function start(epoch: number): void {
    startEpoch(epoch).catch((error) => {
      logger.warn("Cannot start leading the data centre", { epoch, error });
      if (leaseEpoch === epoch && hasLease(epoch)) {
        clock.setTimer(100, () => start(epoch));
      }
    });
  }

  function findJob(query: JobQuery) {
    const record = state.jobs.get(query.jobId);
    if (record !== undefined && record.spec.workspace === query.workspace) {
      return record;
    }
    throw createFault("notFound", `Cannot find job "${query.jobId}"`);
  }

  function renderReply(query: JobQuery): JobReply {
    const { scheduler } = getLeadership();
    const record = findJob(query);
    return {
      job: encodeJson(renderJob(record, scheduler.getJob(query.jobId))),
    };
  }

  function buildSpec(request: JobRequest): RecordedJobSpec {
    const job = JSON.parse(Buffer.from(request.job).toString());
    return {
      ...job,
      workspace: request.workspace,
      submittedWallMs: clock.wallTime(),
    };
  }

  function createConflictFault(jobId: string) {
    return createFault(
      "requestIdConflict",
      `Cannot submit job "${jobId}": another job has this identifier`,
    );
  }

  function explainJob(request: JobRequest): Promise<JsonBody> {
    const { workers, epoch } = getLeadership();
    explanations.addCall();
    const spec = buildSpec(request);
    const result = state.jobs.checkSubmission(spec);
    if (result === "conflict") throw createConflictFault(spec.id);
    const explanation: LeaderJobExplanation = {
      leader: settings.instance,
      epoch,
      exists: result === "exists",
      ...workers.explainJob(spec),
    };
    return Promise.resolve({ body: encodeJson(explanation) });
  }

  async function submitJob(request: JobRequest): Promise<JobReply> {
    const { workers } = getLeadership();
    const spec = buildSpec(request);
    const results = await propose({
      part: "jobs",
      commands: [{ type: "submitJob", spec }],
    }) as string[];
    if (results[0] === "conflict") throw createConflictFault(spec.id);
    if (results[0] === "applied") workers.addJob(spec);
    return renderReply({ workspace: request.workspace, jobId: spec.id });
  }

  async function cancelJob(query: JobQuery): Promise<JobReply> {
    const { workers } = getLeadership();
    findJob(query);
    await propose({
      part: "jobs",
      commands: [{ type: "cancelJob", job: query.jobId }],
    });
    workers.cancelJob(query.jobId);
    return renderReply(query);
  }

  /** Marks a refusal as final if this instance still leads; otherwise returns a "notLeader" fault. */
  function toFinalRefusal(asked: Leadership, error: unknown): unknown {
    if (!isFault(error, "unavailable")) return error;
    if (leadership !== asked || !hasLease(asked.epoch)) {
      return createNotLeaderFault();
    }
    return createFault(error.kind, error.message, {
      ran: error.ran,
      details: { ...error.details, final: true },
    });
  }

  async function acquireSlot(
    request: SlotRequest,
    context: { signal: AbortSignal },
  ): Promise<SlotReply> {
    const current = getLeadership();
    const startMs = clock.now();
    const reply = await current.slots.acquire(request, context.signal)
      .catch((error) => {
        throw toFinalRefusal(current, error);
      });
    if (reply.kind === "answer") {
      return { outcome: "answer", answer: reply.answer };
    }
    const waitedMs = clock.now() - startMs;
    observer.recordSlot(request.workspace, waitedMs, request.attempt);
    return { outcome: "grant", grant: reply };
  }

  function explainSlot(request: SlotRequest): Promise<JsonBody> {
    const { slots, epoch } = getLeadership();
    explanations.addCall();
    const explanation: LeaderExplanation = {
      leader: settings.instance,
      epoch,
      ...slots.explain(request),
    };
    return Promise.resolve({ body: encodeJson(explanation) });
  }

  function getRequest(query: RequestQuery): Promise<RequestReply> {
    getLeadership();
    const { scope, requestId } = query;
    const record = state.requests.getRecord({ scope, requestId });
    if (record === undefined) {
      throw createFault("notFound", `Cannot find request "${requestId}"`);
    }
    return Promise.resolve({
      state: record.state,
      ...(record.answer === undefined ? {} : { answer: record.answer }),
    });
  }

  function announceEndpoint(message: JsonBody): Promise<JsonBody> {
    const { slots, epoch } = getLeadership();
    slots.controller.receiveAnnouncement(parseJson(message.body));
    const reply: EndpointAnnouncementReply = {
      epoch,
      leaseMs: settings.tasks.announcePeriodMs * MAX_MISSED_ANNOUNCEMENTS,
    };
    return Promise.resolve({ body: encodeJson(reply) });
  }

  function announceWorkers(
    batch: AnnouncementBatch,
  ): Promise<AnnouncementReplies> {
    const { workers } = getLeadership();
    const replies = batch.bodies.map((body): AnnouncementReply => {
      try {
        const announcement = parseWorkerAnnouncement(parseJson(body));
        const reply = workers.receiveAnnouncement(announcement);
        return { body: encodeJson(reply), fault: NO_BYTES };
      } catch (error) {
        // A malformed announcement must not cost the other workers of the batch
        // their leases.
        return {
          body: NO_BYTES,
          fault: encodeJson(renderFault(toFault(error))),
        };
      }
    });
    return Promise.resolve({ replies });
  }

  async function transferAllotment(message: TransferMessage) {
    const { allotments } = getLeadership();
    await allotments.receiveTransfer({
      id: message.transferId,
      from: message.fromDataCentre,
      to: message.toDataCentre,
      workspace: message.workspace,
      amount: message.amount,
    });
    return {};
  }

  async function askAllotment(message: AskMessage) {
    const { allotments } = getLeadership();
    const offered = await allotments.receiveAsk({
      from: message.fromDataCentre,
      to: dataCentre,
      workspace: message.workspace,
      wanted: message.wanted,
      entitled: message.entitled,
      levelling: message.levelling,
    });
    return { offered };
  }

  function getStatus(): Promise<JsonBody> {
    const { scheduler, slots, epoch, workers } = getLeadership();
    const { allotments } = state;
    const workspaces = allotments.listWorkspaces().map((workspace) => ({
      workspace,
      held: allotments.getHeld(workspace),
    }));
    return Promise.resolve({
      body: encodeJson({
        dataCentre,
        leader: settings.instance,
        epoch,
        evacuated: isEvacuated(view, allotments),
        scheduler: scheduler.getStatus(),
        workers: workers.listWorkers(),
        slots: slots.controller.getStatus(),
        allotments: {
          appliedVersion: allotments.getAppliedVersion(),
          workspaces,
          transfersInProgress: allotments.getTransfersInProgress().length,
        },
        requestRecords: state.requests.getStatus(),
        jobs: state.jobs.count(),
      }),
    });
  }

  return {
    handlers: {
      acquireSlot,
      explainSlot,
      releaseSlot: async (release: SlotRelease) => {
        await getLeadership().slots.release(release);
        return {};
      },
      announceEndpoint,
      announceWorkers,
      submitJob,
      explainJob,
      getJob: (query: JobQuery) => Promise.resolve(renderReply(query)),
      cancelJob,
      getRequest,
      transferAllotment,
      askAllotment,
      getStatus,
    },
    handleLeadership(lease) {
      leaseEpoch = lease?.term;
      stopLeadership();
      if (lease !== undefined) start(lease.term);
    },
    handleApplied: () => leadership?.slots.updateWaiting(),
    getLeadership: () => leadership,
    async stop() {
      leaseEpoch = undefined;
      const ended = leadership;
      leadership = undefined;
      await ended?.stop();
    },
  };
}
