/** What can be asked about the scheduler. */

import { computeJobState } from "./lifecycle.ts";
import type { JobRecord } from "./records.ts";
import { estimateWorker } from "./reports.ts";
import { computeDominantShare } from "./shares.ts";
import type { SchedulerState } from "./state.ts";
import type {
  Job,
  SchedulerStatus,
  TaskState,
  TaskStatus,
  WorkerStatus,
} from "./types.ts";

/** Builds the outside view of a job. */
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

/** Builds the figures of the scheduler. */
export function buildStatus(state: SchedulerState): SchedulerStatus {
  const teams = [...state.teams.values()];
  return {
    workers: state.fleet.length,
    workersOutOfService: [...state.ejectedWorkers].map(({ id }) => id),
    capacity: state.capacity,
    committed: state.committed,
    jobs: state.jobs.size,
    queuedTasks: teams.reduce((sum, team) => sum + team.queuedTasks, 0),
    placedTasks: state.placedTasks,
    teams: teams.map((team) => ({
      team: team.name,
      weight: team.weight,
      allotment: team.allotment,
      committed: team.committed,
      dominantShare: computeDominantShare(team.committed, state.capacity),
      queuedTasks: team.queuedTasks,
      queuedResources: team.queuedResources,
    })),
  };
}

/** Builds the figures of one worker. */
export function buildWorkerStatus(
  state: SchedulerState,
  id: string,
): WorkerStatus | undefined {
  const worker = state.workers.get(id);
  if (worker === undefined) return undefined;
  const { rack, capacity, committed, accepting } = worker.place;
  return {
    worker: id,
    rack,
    capacity,
    committed,
    estimated: estimateWorker(state, worker).usage,
    tasks: worker.tasks.size,
    accepting,
  };
}
