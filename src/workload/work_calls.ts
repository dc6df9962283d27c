/**
 * Handles calls of callers and operators on the leader: submitting, querying and
 * cancelling jobs, and replacing the configuration. A change is acknowledged only
 * once it is recorded.
 */

import { type Clock, createFault, type Logger } from "../common/mod.ts";
import {
  checkConfiguration,
  findQueueByPath,
  findWorkspaceByKey,
} from "./configuration.ts";
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

/** Options of the calls. */
export interface WorkCallsOptions {
  clock: Clock;
  logger: Logger;
  state: WorkState;
  queue: RecordQueue;
}

/** The calls for callers and operators. */
export interface WorkCalls {
  /** Submits a job; resolves once it is recorded. Rejects with a fault that tells whether the job may run. */
  submit(address: CallerAddress, body: JobBody): Promise<void>;
  /** Returns the state of a job; throws "notFound" (details.subject "job" or "queue") or "unauthenticated". */
  getState(address: CallerAddress): WorkJobState;
  /** Counts the jobs of a queue without a started task. */
  countPending(address: CallerAddress): number;
  cancel(address: CallerAddress): Promise<void>;
  changeConfiguration(configuration: Configuration): Promise<void>;
  /** Returns the document of the active configuration; undefined before the first. */
  readConfiguration(): string | undefined;
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
  const { clock, logger, state, queue } = options;
  const submissions = new Map<string, Promise<void>>();

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
    const owner = job?.spec.workspace;
    const isOther = owner !== undefined && workspace !== undefined &&
      owner !== workspace.name;
    if (job !== undefined && !isOther) return job;
    throw createFault("notFound", `Cannot find job "${id}"`, {
      details: { subject: "job" },
    });
  }

  async function submit(address: CallerAddress, body: JobBody): Promise<void> {
    const { queue: found, workspace, id } = findCaller(address);
    if (id === "" || id.includes("/")) {
      throw createFault("badRequest", `Cannot use "${id}" as a job identifier`);
    }
    if (state.getJob(id) !== undefined) return;
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
    const submission = queue.record([{ kind: "job", job }]);
    submissions.set(id, submission);
    try {
      await submission;
      logger.info("Job accepted", {
        job: id,
        queue: found.name,
        workspace: workspace?.name,
        configuration: state.getConfiguration()?.version,
        steps: body.steps.length,
        tookMs: clock.wallTime() - job.submittedMs,
      });
    } finally {
      submissions.delete(id);
    }
  }

  async function cancel(address: CallerAddress): Promise<void> {
    const job = findJob(address);
    if (!isOpenJob(job)) return;
    await queue.record([{
      kind: "cancel",
      job: job.spec.id,
      atMs: clock.wallTime(),
    }]);
    logger.info("Job cancelled", { job: job.spec.id });
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
      if (job.state === "queued" && isSuccessor(found, job.spec.queue)) {
        count += 1;
      }
    }
    return count;
  }

  return {
    submit,
    getState: (address) => findJob(address).state,
    countPending,
    cancel,
    changeConfiguration,
    readConfiguration: () => state.getConfiguration()?.document,
  };
}
