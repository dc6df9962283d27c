/**
 * Handles calls of callers and operators on the leader: submitting, querying and
 * cancelling jobs, and replacing the configuration. A change is acknowledged only
 * once it is recorded.
 */

import { type Clock, createFault, type Logger } from "../common/mod.ts";
import type { Metrics } from "../report/metrics.ts";
import type { Refusal } from "./admission.ts";
import {
  checkConfiguration,
  findQueueByPath,
  findWorkspaceByKey,
} from "./configuration.ts";
import type { BegunJobs } from "./begun_jobs.ts";
import { createRunOnce } from "./call_origins.ts";
import { isSameOwner } from "./early_cancels.ts";
import type { RecordQueue } from "./record_queue.ts";
import type {
  Configuration,
  JobBody,
  JobSpec,
  QueueSettings,
  WorkJobState,
  WorkspaceSettings,
} from "./types.ts";
import { isOpenJob, type JobState, type WorkState } from "./work_state.ts";

/** Address and credentials of a call; they identify its queue and workspace. */
export interface CallerAddress {
  readonly host: string;
  readonly path: string;
  /** API key of the caller; empty for none. */
  readonly key: string;
}

/** Options of one call. */
export interface CallOptions {
  /** Identifies the call over all its sends. Default: it is sent once. */
  readonly origin?: string | undefined;
}

/** Options of the calls. */
export interface WorkCallsOptions {
  clock: Clock;
  logger: Logger;
  state: WorkState;
  queue: RecordQueue;
  begunJobs: Pick<BegunJobs, "has">;
  /** Time for which the cancellation of a job that has not arrived is kept, in milliseconds. */
  keepMs: number;
  metrics?: Pick<Metrics, "addCount">;
  /** Returns why a new job is refused. Default: all are accepted. */
  admit?: ((job: JobSpec) => Refusal | undefined) | undefined;
}

/** The calls for callers and operators. */
export interface WorkCalls {
  /** Submits a job; resolves once it is recorded. Rejects with a fault that tells whether the job may run. */
  submit(
    address: CallerAddress,
    body: JobBody,
    options?: CallOptions,
  ): Promise<void>;
  /** Returns the state of a job; throws "notFound" (details.subject "job" or "queue") or "unauthenticated". */
  getState(address: CallerAddress): WorkJobState;
  /** Counts the jobs of a queue without a started task. */
  countPending(address: CallerAddress): number;
  /**
   * Cancels a job, also one that has not arrived: throws "notFound" for it, like
   * `getState`, once its submission will be refused.
   */
  cancel(address: CallerAddress, options?: CallOptions): Promise<void>;
  changeConfiguration(configuration: Configuration): Promise<void>;
  /** Returns the document of the active configuration; undefined before the first. */
  readConfiguration(): string | undefined;
}

/** Maximum length of a job's identifier. */
const MAX_ID_LENGTH = 200;

/** Delay suggested to callers when too many jobs were cancelled that have not arrived, in milliseconds. */
const CANCEL_RETRY_AFTER_MS = 5_000;

/** Tells whether an identifier may be used for a job. */
function isJobId(id: string): boolean {
  return id !== "" && id.length <= MAX_ID_LENGTH && !id.includes("/");
}

function createUnknownJobFault(id: string): Error {
  return createFault("notFound", `Cannot find job "${id}"`, {
    details: { subject: "job" },
  });
}

/** Throws "unavailable" for tasks that are not supported yet, so that a job is not accepted and then lost. */
function checkSupported(body: JobBody): void {
  for (const step of body.steps) {
    if (!step.fillsIdle && step.targetMs === 0) continue;
    throw createFault(
      "unavailable",
      "Cannot accept tasks that only use idle capacity or have a response time target",
      { ran: "no" },
    );
  }
}

/** Creates the calls for one leadership. */
export function createWorkCalls(options: WorkCallsOptions): WorkCalls {
  const { clock, logger, state, queue, begunJobs } = options;
  const submissions = new Map<string, Promise<void>>();
  const runOnce = createRunOnce();

  function getConfiguration(): Configuration {
    const configuration = state.getConfiguration();
    if (configuration !== undefined) return configuration;
    throw createFault("unavailable", "Cannot serve without a configuration", {
      ran: "no",
    });
  }

  function findCaller(
    address: CallerAddress,
  ): { queue: QueueSettings; workspace?: WorkspaceSettings; id: string } {
    const configuration = getConfiguration();
    const match = findQueueByPath(configuration, address.host, address.path);
    if (match === undefined) {
      throw createFault(
        "notFound",
        `Cannot find a queue at "${address.host}${address.path}"`,
        { details: { subject: "queue" } },
      );
    }
    const { queue: found, rest: id } = match;
    const workspace = findWorkspaceByKey(configuration, address.key);
    if (workspace !== undefined) return { queue: found, workspace, id };
    if (found.isPublic) return { queue: found, id };
    throw createFault(
      "unauthenticated",
      `Cannot accept the key on queue "${found.name}"`,
    );
  }

  function findJob(address: CallerAddress): JobState {
    const { id, workspace } = findCaller(address);
    const job = state.getJob(id);
    const isFound = job !== undefined &&
      isSameOwner(job.spec.workspace, workspace?.name);
    if (isFound) return job;
    throw createUnknownJobFault(id);
  }

  /** Throws "unavailable" if a job was cancelled before it arrived. */
  function checkNotCancelled(id: string, workspace: string | undefined): void {
    if (!state.hasEarlyCancel(id, workspace)) return;
    throw createFault(
      "unavailable",
      `Cannot accept job "${id}": it was cancelled before it arrived`,
      { ran: "no", details: { retryAfterMs: options.keepMs } },
    );
  }

  /** Throws "overloaded" if a new job cannot be served in time; nothing of it is kept. */
  function checkAdmitted(job: JobSpec): void {
    const refusal = options.admit?.(job);
    if (refusal === undefined) return;
    const { reason, retryAfterMs, figures } = refusal;
    const { id, queue: name, workspace } = job;
    options.metrics?.addCount("jobs_refused_total", { reason });
    logger.info("Job refused", {
      job: id,
      queue: name,
      workspace,
      reason,
      retryAfterMs,
      ...Object.fromEntries(
        Object.entries(figures).map(([key, value]) => [key, Math.round(value)]),
      ),
    });
    throw createFault(
      "overloaded",
      `Cannot accept job "${id}": it cannot end before it loses its value`,
      { ran: "no", details: { retryAfterMs } },
    );
  }

  async function submit(
    address: CallerAddress,
    body: JobBody,
    { origin }: CallOptions,
  ): Promise<void> {
    if (state.findRecordedCall(origin) !== undefined) return;
    const { queue: found, workspace, id } = findCaller(address);
    if (!isJobId(id)) {
      throw createFault("badRequest", `Cannot use "${id}" as a job identifier`);
    }
    if (state.getJob(id) !== undefined) return;
    checkNotCancelled(id, workspace?.name);
    checkSupported(body);
    const open = submissions.get(id);
    if (open !== undefined) return open;
    const job: JobSpec = {
      ...body,
      id,
      queue: found.name,
      pool: found.pool,
      maxAttempts: found.maxAttempts,
      ...(workspace === undefined ? {} : { workspace: workspace.name }),
      submittedMs: clock.wallTime(),
    };
    checkAdmitted(job);
    const submission = recordJob(job, origin);
    submissions.set(id, submission);
    try {
      await submission;
    } finally {
      submissions.delete(id);
    }
  }

  /** Records an accepted job; rejects with "unavailable" if its cancellation was recorded first. */
  async function recordJob(
    job: JobSpec,
    origin: string | undefined,
  ): Promise<void> {
    const { id, workspace } = job;
    await queue.record([{
      kind: "job",
      job,
      ...(origin === undefined ? {} : { origin }),
    }]);
    if (state.getJob(id) === undefined) checkNotCancelled(id, workspace);
    logger.info("Job accepted", {
      job: id,
      queue: job.queue,
      workspace,
      configuration: state.getConfiguration()?.version,
      steps: job.steps.length,
      tookMs: clock.wallTime() - job.submittedMs,
    });
  }

  /** Records the cancellation of a job that has not arrived, so that its submission is refused. */
  async function cancelEarly(
    id: string,
    workspace: WorkspaceSettings | undefined,
    { origin }: CallOptions,
  ): Promise<void> {
    if (state.hasEarlyCancel(id, workspace?.name)) return;
    await recordCancel(id, workspace, { origin });
    // Its submission was recorded first, and so was cancelled as well.
    if (state.getJob(id) !== undefined) return;
    if (state.hasEarlyCancel(id, workspace?.name)) {
      logger.info("Job cancelled before it arrived", { job: id });
      return;
    }
    throw createFault(
      "limitReached",
      `Cannot cancel job "${id}": too many jobs were cancelled that have not arrived`,
      { ran: "no", details: { retryAfterMs: CANCEL_RETRY_AFTER_MS } },
    );
  }

  async function recordCancel(
    id: string,
    workspace: WorkspaceSettings | undefined,
    { origin }: CallOptions,
  ): Promise<void> {
    await queue.record([{
      kind: "cancel",
      job: id,
      ...(workspace === undefined ? {} : { workspace: workspace.name }),
      atMs: clock.wallTime(),
      ...(origin === undefined ? {} : { origin }),
    }]);
  }

  async function cancel(
    address: CallerAddress,
    options: CallOptions,
  ): Promise<void> {
    const recorded = state.findRecordedCall(options.origin);
    if (recorded !== undefined) {
      if (state.getJob(recorded) !== undefined) return;
      throw createUnknownJobFault(recorded);
    }
    const { id, workspace } = findCaller(address);
    if (state.getJob(id) === undefined && isJobId(id)) {
      await cancelEarly(id, workspace, options);
    }
    const job = findJob(address);
    if (!isOpenJob(job)) return;
    await recordCancel(id, workspace, options);
    logger.info("Job cancelled", { job: id });
  }

  async function changeConfiguration(next: Configuration): Promise<void> {
    checkConfiguration(next);
    const held = state.getConfiguration();
    if (held !== undefined && held.version >= next.version) return;
    await queue.record([{ kind: "configuration", configuration: next }]);
    logger.info("Configuration recorded", {
      version: next.version,
      before: held?.version,
    });
  }

  /** Tells whether a queue is the one that callers find at the place of another, which it may have replaced. */
  function isSuccessor(queue: QueueSettings, former: string): boolean {
    if (queue.name === former) return true;
    const settings = state.findQueue(former);
    return settings?.host === queue.host &&
      settings.pathPrefix === queue.pathPrefix;
  }

  function countPending(address: CallerAddress): number {
    const { queue: found } = findCaller(address);
    let count = 0;
    for (const job of state.listJobs()) {
      const { id, queue: name } = job.spec;
      const isPending = job.state === "queued" && !begunJobs.has(id) &&
        isSuccessor(found, name);
      if (isPending) count += 1;
    }
    return count;
  }

  function getState(address: CallerAddress): WorkJobState {
    const job = findJob(address);
    return isOpenJob(job) && begunJobs.has(job.spec.id) ? "running" : job.state;
  }

  return {
    submit: (address, body, call = {}) =>
      runOnce(call.origin, () => submit(address, body, call)),
    getState,
    countPending,
    cancel: (address, call = {}) =>
      runOnce(call.origin, () => cancel(address, call)),
    changeConfiguration,
    readConfiguration: () => state.getConfiguration()?.document,
  };
}
