/** The calls of an instance to data centre leaders, each with its timeout. */

import { Buffer } from "node:buffer";
import type { AllotmentAsk, AllotmentTransfer } from "../allotments/mod.ts";
import { type Clock, isFault } from "../common/mod.ts";
import type {
  EndpointAnnouncementReply,
  WorkerAnnouncementReply,
} from "../data_centre/announcements.ts";
import type { FleetView, Limits } from "../fleet/mod.ts";
import type {
  JobView,
  LeaderJobExplanation,
  RoutedJobExplanation,
  SubmittedJob,
} from "../http/mod.ts";
import { ANNOUNCEMENT_DELAY_MS } from "../requests/constants.ts";
import type { HomeFinder } from "../requests/mod.ts";
import type {
  AllotmentOffer,
  AnnouncementReplies,
  JobReply,
  JsonBody,
} from "../rpc/mod.ts";
import { createAnnouncementBatches } from "./announcement_batches.ts";
import type { LeaderCalls } from "./leader_calls.ts";

/** Timeout of a batch of worker announcements, in milliseconds. */
const WORKER_ANNOUNCE_TIMEOUT_MS = 1_000;

/** Timeout for submitting, querying or cancelling a job, in milliseconds. */
const JOB_TIMEOUT_MS = 5_000;

/** Timeout of an allotment request or transfer, in milliseconds. */
const ALLOTMENT_TIMEOUT_MS = 1_000;

/** Timeout for the status of one data centre, in milliseconds. */
const STATUS_TIMEOUT_MS = 1_000;

/**
 * Time in which a leader is looked up for an explanation, in milliseconds: enough
 * to follow one redirect. An explanation does not wait for an election.
 */
export const EXPLAIN_LOOKUP_MS = 100;

/** Timeout of an explanation, in milliseconds; an unresponsive leader is reported as unknown. */
export const EXPLAIN_TIMEOUT_MS = 1_000;

/** Returns whether the fault means that the leader is changing or did not reply. */
export function isUnreachable(error: unknown): boolean {
  return isFault(error, "unavailable") || isFault(error, "outcomeUnknown") ||
    isFault(error, "deadlineExceeded");
}

/** Options of a leader client. */
export interface LeaderClientOptions {
  calls: LeaderCalls;
  findHome: HomeFinder;
  view: FleetView;
  clock: Clock;
}

/** Calls data centre leaders; the methods reject with the fault of the call. */
export interface LeaderClient {
  sendAsk(ask: AllotmentAsk): Promise<Limits>;
  sendTransfer(transfer: AllotmentTransfer): Promise<void>;
  submitJob(workspace: string, job: SubmittedJob): Promise<JobView>;
  /** Explains a job at the leader of its home data centre; changes nothing. */
  explainJob(
    workspace: string,
    job: SubmittedJob,
  ): Promise<RoutedJobExplanation>;
  getJob(workspace: string, id: string): Promise<JobView>;
  cancelJob(workspace: string, id: string): Promise<JobView>;
  announceEndpoint(
    dataCentre: string,
    body: Uint8Array,
  ): Promise<EndpointAnnouncementReply>;
  announceWorker(
    dataCentre: string,
    body: Uint8Array,
  ): Promise<WorkerAnnouncementReply>;
  /** Never rejects; for an unreachable data centre, the status holds the error text. */
  getStatus(dataCentre: string): Promise<unknown>;
}

function parseBody(body: Uint8Array) {
  return JSON.parse(Buffer.from(body).toString());
}

/** Creates a leader client. */
export function createLeaderClient(options: LeaderClientOptions): LeaderClient {
  const { calls, findHome, view, clock } = options;

  function findJobHome(workspace: string, jobId: string): string {
    return findHome(
      { scope: `workspace:${workspace}`, requestId: jobId },
      view.getState().dataCentres,
    );
  }

  async function explainJob(
    workspace: string,
    job: SubmittedJob,
  ): Promise<RoutedJobExplanation> {
    const dataCentre = findJobHome(workspace, job.id);
    const request = { workspace, job: Buffer.from(JSON.stringify(job)) };
    try {
      const reply = await calls.call<JsonBody>("explainJob", request, {
        dataCentre,
        timeoutMs: EXPLAIN_TIMEOUT_MS,
        lookupMs: EXPLAIN_LOOKUP_MS,
        idempotent: true,
      });
      const home: LeaderJobExplanation = parseBody(reply.body);
      return { dataCentre, outcome: home.outcome, home, unknown: home.unknown };
    } catch (error) {
      if (!isUnreachable(error)) throw error;
      const reason =
        `The leader of data centre "${dataCentre}" is changing or did not reply; a submission waits up to ${JOB_TIMEOUT_MS} ms for one`;
      return { dataCentre, outcome: "unknown", unknown: [reason] };
    }
  }

  async function callHome(
    method: string,
    request: { workspace: string; job?: Buffer; jobId?: string },
    jobId: string,
  ): Promise<JobView> {
    const home = findJobHome(request.workspace, jobId);
    const reply = await calls.call<JobReply>(method, request, {
      dataCentre: home,
      timeoutMs: JOB_TIMEOUT_MS,
      // The job's identifier makes a submission idempotent.
      idempotent: true,
    });
    return parseBody(reply.job);
  }

  const announcements = createAnnouncementBatches({
    clock,
    sendBatch: (dataCentre, batch) =>
      calls.call<AnnouncementReplies>("announceWorkers", batch, {
        dataCentre,
        timeoutMs: WORKER_ANNOUNCE_TIMEOUT_MS,
        idempotent: true,
      }),
  });

  return {
    async sendAsk(ask) {
      const { from, to, workspace, wanted, entitled, levelling } = ask;
      const reply = await calls.call<AllotmentOffer>(
        "askAllotment",
        { fromDataCentre: from, workspace, wanted, entitled, levelling },
        // If repeated, the other data centre would grant the allotment twice.
        { dataCentre: to, timeoutMs: ALLOTMENT_TIMEOUT_MS, idempotent: false },
      );
      return reply.offered;
    },
    async sendTransfer({ id, from, to, workspace, amount }) {
      await calls.call(
        "transferAllotment",
        {
          transferId: id,
          fromDataCentre: from,
          toDataCentre: to,
          workspace,
          amount,
        },
        { dataCentre: to, timeoutMs: ALLOTMENT_TIMEOUT_MS, idempotent: true },
      );
    },
    submitJob: (workspace, job) =>
      callHome(
        "submitJob",
        { workspace, job: Buffer.from(JSON.stringify(job)) },
        job.id,
      ),
    explainJob,
    getJob: (workspace, jobId) =>
      callHome("getJob", { workspace, jobId }, jobId),
    cancelJob: (workspace, jobId) =>
      callHome("cancelJob", { workspace, jobId }, jobId),
    async announceEndpoint(dataCentre, body) {
      const reply = await calls.call<JsonBody>("announceEndpoint", { body }, {
        dataCentre,
        timeoutMs: ANNOUNCEMENT_DELAY_MS,
        idempotent: true,
      });
      return parseBody(reply.body);
    },
    announceWorker: announcements.send,
    async getStatus(dataCentre) {
      try {
        const reply = await calls.call<JsonBody>("getStatus", {}, {
          dataCentre,
          timeoutMs: STATUS_TIMEOUT_MS,
          idempotent: true,
        });
        return parseBody(reply.body);
      } catch (error) {
        return { dataCentre, unreachable: String(error) };
      }
    },
  };
}
