/**
 * Waiting jobs in one queue per set of placement requirements. A step examines
 * one job of each queue, so a long queue costs no more than a short one.
 */

import { createHeap } from "./heap.ts";
import type { JobQueue, JobRecord } from "./records.ts";

/** The queues of waiting jobs. */
export interface JobQueues {
  /** Adds a job with waiting tasks; a queued job is ignored. */
  add(job: JobRecord): void;
  /** Returns the first job that still waits, and drops the ones before it. */
  getFirst(queue: JobQueue): JobRecord | undefined;
  /** Lists the first job of each queue, without queues whose first job no longer waits; drops nothing. */
  listFirst(): JobRecord[];
  /** Removes the job that `getFirst` returned. */
  takeFirst(queue: JobQueue): void;
  /** Lists the queues; empty ones are deleted. */
  list(): JobQueue[];
}

/** Expected run time in milliseconds if none is declared. */
export const DEFAULT_EXPECTED_MS = 60_000;

function getKey(job: JobRecord): string {
  const { spec, size } = job;
  const expectedMs = spec.expectedMs ?? DEFAULT_EXPECTED_MS;
  return [
    spec.policy,
    spec.urgent ? 1 : 0,
    spec.policy === "gang" ? spec.tasks : 1,
    size.processors,
    size.memoryMb,
    size.accelerators,
    // Jobs whose run times round up to the same power of two are served in order of submission.
    Math.ceil(Math.log2(Math.max(1, expectedMs))),
    spec.workspace,
  ].join("/");
}

function compareJobs(a: JobRecord, b: JobRecord): number {
  return a.spec.submittedAt - b.spec.submittedAt;
}

/** Returns whether the job has a task that may be placed. A gang must have all its unfinished tasks waiting. */
export function isWaiting(job: JobRecord): boolean {
  if (job.hasEnded || job.isCancelled || job.isFailing) return false;
  if (job.neverRunnable !== undefined || job.waiting.length === 0) return false;
  const isWhole = job.waiting.length + job.ended === job.tasks.length;
  return job.spec.policy !== "gang" || isWhole;
}

/** Creates an empty set of queues. */
export function createJobQueues(): JobQueues {
  const queues = new Map<string, JobQueue>();

  function getFirst(queue: JobQueue): JobRecord | undefined {
    for (
      let job = queue.jobs.getFirst();
      job !== undefined;
      job = queue.jobs.getFirst()
    ) {
      if (job.queue === queue && isWaiting(job)) return job;
      queue.jobs.takeFirst();
      if (job.queue === queue) job.queue = undefined;
    }
    return undefined;
  }

  return {
    add(job) {
      if (job.queue !== undefined || !isWaiting(job)) return;
      const key = getKey(job);
      let queue = queues.get(key);
      if (queue === undefined) {
        queue = {
          key,
          workspace: job.workspace,
          jobs: createHeap(compareJobs),
        };
        queues.set(key, queue);
      }
      job.queue = queue;
      queue.jobs.add(job);
    },
    getFirst,
    listFirst: () =>
      [...queues.values()].flatMap((queue) => {
        const job = queue.jobs.getFirst();
        return job?.queue === queue && isWaiting(job) ? [job] : [];
      }),
    takeFirst(queue) {
      const job = queue.jobs.takeFirst();
      if (job?.queue === queue) job.queue = undefined;
    },
    list() {
      for (const [key, queue] of queues) {
        if (getFirst(queue) === undefined) queues.delete(key);
      }
      return [...queues.values()];
    },
  };
}
