/** Status of the scheduler, its jobs and its workers. */

import { computeJobState } from "./lifecycle.ts";
import type { JobRecord } from "./records.ts";
import { estimateWorkerUsage } from "./reports.ts";
import { computeDominantShare } from "./shares.ts";
import type { SchedulerState } from "./state.ts";
import type {
  Job,
  SchedulerStatus,
  TaskState,
  TaskStatus,
  WorkerStatus,
} from "./types.ts";

/** Builds the public view of a job. */
export function buildJobView(job: JobRecord): Job {
  const counts: Record<TaskState, number> = {
    queued: 0,
    assigned: 0,
    running: 0,
    checkpointed: 0,
    finished: 0,
    failed: 0,
    cancelled: 0,
    lost: 0,
  };
  const tasks = job.tasks.map((task): TaskStatus => {
    counts[task.state]++;
    return {
      job: job.spec.id,
      index: task.index,
      attempt: task.attempt,
      state: task.state,
      failures: task.failures,
      ...(task.worker === undefined ? {} : { worker: task.worker.id }),
    };
  });
  const { neverRunnable } = job;
  return {
    spec: job.spec,
    state: computeJobState(job),
    counts,
    tasks,
    ...(neverRunnable === undefined ? {} : { neverRunnable }),
  };
}

/** Builds the status of the scheduler. */
export function buildStatus(state: SchedulerState): SchedulerStatus {
  const workspaces = [...state.workspaces.values()];
  return {
    workers: state.fleet.length,
    workersOutOfService: [...state.ejectedWorkers].map(({ id }) => id),
    capacity: state.capacity,
    committed: state.committed,
    jobs: state.jobs.size,
    queuedTasks: workspaces.reduce(
      (sum, workspace) => sum + workspace.queuedTasks,
      0,
    ),
    placedTasks: state.placedTasks,
    workspaces: workspaces.map((workspace) => ({
      workspace: workspace.name,
      weight: workspace.weight,
      allotment: workspace.allotment,
      committed: workspace.committed,
      dominantShare: computeDominantShare(workspace.committed, state.capacity),
      queuedTasks: workspace.queuedTasks,
      queuedResources: workspace.queuedResources,
    })),
  };
}

/** Builds the status of one worker; undefined if it is unknown. */
export function buildWorkerStatus(
  state: SchedulerState,
  id: string,
): WorkerStatus | undefined {
  const worker = state.workers.get(id);
  if (worker === undefined) return undefined;
  const { rack, capacity, committed, accepting } = worker.placerWorker;
  return {
    worker: id,
    rack,
    capacity,
    committed,
    estimated: estimateWorkerUsage(state, worker).usage,
    tasks: worker.tasks.size,
    accepting,
  };
}
