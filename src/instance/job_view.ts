/** Renders a job for callers from its record and its state in the scheduler. */

import type { JobRecord } from "../data_centre/job_records.ts";
import type { JobView } from "../http/mod.ts";
import type { Job } from "../scheduling/mod.ts";

function getState(record: JobRecord, job: Job | undefined): string {
  if (record.end !== undefined) return record.end;
  if (record.cancelled) return "cancelling";
  return job?.state ?? "queued";
}

/**
 * Renders a job with all tasks that were ever assigned. `job` is undefined once
 * the scheduler has removed an ended job.
 */
export function renderJob(record: JobRecord, job: Job | undefined): JobView {
  const { spec } = record;
  const neverRunnable = job?.neverRunnable;
  const tasks = [...record.tasks].map(([index, task]) => ({
    index,
    attempt: task.attempt,
    failures: task.failures,
    ...(task.worker === undefined ? {} : { worker: task.worker }),
    ...(task.outcome === undefined ? {} : { outcome: task.outcome }),
    ...(task.exitCode === undefined ? {} : { exitCode: task.exitCode }),
  }));
  return {
    id: spec.id,
    workspace: spec.workspace,
    policy: spec.policy,
    state: getState(record, job),
    taskCount: spec.tasks,
    resources: spec.resources,
    urgent: spec.urgent,
    submittedAt: new Date(spec.submittedWallMs).toISOString(),
    ...(job === undefined ? {} : { counts: job.counts }),
    ...(neverRunnable === undefined ? {} : { neverRunnable }),
    tasks,
  };
}
