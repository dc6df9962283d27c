/**
 * Replicated records of the jobs of one data centre: submissions, task
 * assignments and outcomes. A new leader rebuilds its scheduler from them, so
 * each assignment is recorded before the start command is sent to the worker.
 */

import type { JobSpec } from "../scheduling/types.ts";

/** A submitted job. Times are wall-clock time, since monotonic clocks differ between instances. */
export interface RecordedJobSpec extends Omit<JobSpec, "submittedAt"> {
  /** Wall-clock time of submission, in milliseconds. */
  readonly submittedWallMs: number;
}

/** Outcome of a task attempt. */
export type TaskOutcome =
  | "finished"
  | "failed"
  | "cancelled"
  | "lost"
  | "stopped"
  | "checkpointed";

/** The record of one task. */
export interface TaskRecord {
  attempt: number;
  failures: number;
  /** Worker of the current attempt; absent between attempts. */
  worker?: string;
  /** Outcome of the last attempt, if it has ended. */
  outcome?: TaskOutcome;
  /** True once the task will not be placed again. */
  final: boolean;
  exitCode?: number;
}

/** Final state of a job. */
export type JobEnd = "finished" | "failed" | "cancelled";

/** The record of one job. */
export interface JobRecord {
  readonly spec: RecordedJobSpec;
  cancelled: boolean;
  end?: JobEnd;
  readonly tasks: Map<number, TaskRecord>;
}

/** Commands that change the job records. */
export type JobCommand =
  | { type: "submitJob"; spec: RecordedJobSpec }
  | { type: "cancelJob"; job: string }
  | {
    type: "assign";
    job: string;
    index: number;
    attempt: number;
    worker: string;
  }
  | {
    type: "endTask";
    job: string;
    index: number;
    attempt: number;
    outcome: TaskOutcome;
    final: boolean;
    failures: number;
    exitCode?: number;
  }
  | { type: "endJob"; job: string; state: JobEnd };

/** Result of a job command. */
export type JobCommandResult =
  | "applied"
  /** The same job was submitted before. */
  | "exists"
  /** A different job has this identifier. */
  | "conflict"
  | "unknownJob"
  /** The job or task has ended, or the attempt is not the current one. */
  | "stale";

/** Number of ended jobs kept for queries and for resent submissions. */
export const ENDED_JOBS_KEPT_COUNT = 10_000;

/** The job records of a data centre. */
export interface JobRecords {
  apply(command: JobCommand): JobCommandResult;
  /** Returns the result that the submission of the job would have; changes nothing. */
  checkSubmission(spec: RecordedJobSpec): "applied" | "exists" | "conflict";
  get(job: string): JobRecord | undefined;
  /** Lists the jobs that have not ended. */
  listOpen(): JobRecord[];
  count(): number;
  toJson(): unknown;
  restoreJson(data: unknown): void;
}

type StoredJob = Omit<JobRecord, "tasks"> & { tasks: [number, TaskRecord][] };

function isSameSubmission(a: RecordedJobSpec, b: RecordedJobSpec): boolean {
  const normalize = (spec: RecordedJobSpec) =>
    JSON.stringify({ ...spec, submittedWallMs: 0 });
  return normalize(a) === normalize(b);
}

/** Creates empty job records. */
export function createJobRecords(): JobRecords {
  const jobs = new Map<string, JobRecord>();
  // In the order in which the jobs ended, which is also the order of removal.
  const ended = new Set<string>();

  function checkSubmission(
    spec: RecordedJobSpec,
  ): "applied" | "exists" | "conflict" {
    const known = jobs.get(spec.id);
    if (known === undefined) return "applied";
    return isSameSubmission(known.spec, spec) ? "exists" : "conflict";
  }

  function applySubmission(spec: RecordedJobSpec): JobCommandResult {
    const result = checkSubmission(spec);
    if (result !== "applied") return result;
    jobs.set(spec.id, { spec, cancelled: false, tasks: new Map() });
    return "applied";
  }

  function applyAssignment(
    job: JobRecord,
    command: JobCommand & { type: "assign" },
  ): JobCommandResult {
    const task = job.tasks.get(command.index);
    const isNewer = command.attempt > (task?.attempt ?? 0);
    if (job.end !== undefined || task?.final || !isNewer) return "stale";
    // The previous attempt may still be running on its worker.
    if (task?.worker !== undefined) return "stale";
    job.tasks.set(command.index, {
      attempt: command.attempt,
      failures: task?.failures ?? 0,
      worker: command.worker,
      final: false,
    });
    return "applied";
  }

  function applyTaskEnd(
    job: JobRecord,
    command: JobCommand & { type: "endTask" },
  ): JobCommandResult {
    const task = job.tasks.get(command.index);
    if (task?.final || command.attempt < (task?.attempt ?? 0)) return "stale";
    job.tasks.set(command.index, {
      attempt: command.attempt,
      failures: command.failures,
      outcome: command.outcome,
      final: command.final,
      ...(command.exitCode === undefined ? {} : { exitCode: command.exitCode }),
    });
    return "applied";
  }

  function applyJobEnd(job: JobRecord, state: JobEnd): JobCommandResult {
    if (job.end !== undefined) return "stale";
    job.end = state;
    ended.add(job.spec.id);
    for (const id of ended) {
      if (ended.size <= ENDED_JOBS_KEPT_COUNT) break;
      ended.delete(id);
      jobs.delete(id);
    }
    return "applied";
  }

  function apply(command: JobCommand): JobCommandResult {
    if (command.type === "submitJob") return applySubmission(command.spec);
    const job = jobs.get(command.job);
    if (job === undefined) return "unknownJob";
    switch (command.type) {
      case "cancelJob":
        if (job.end !== undefined) return "stale";
        job.cancelled = true;
        return "applied";
      case "assign":
        return applyAssignment(job, command);
      case "endTask":
        return applyTaskEnd(job, command);
      case "endJob":
        return applyJobEnd(job, command.state);
    }
  }

  return {
    apply,
    checkSubmission,
    get: (job) => jobs.get(job),
    listOpen: () => [...jobs.values()].filter((job) => job.end === undefined),
    count: () => jobs.size,
    toJson: () => ({
      jobs: [...jobs.values()].map((job) => ({
        ...job,
        tasks: [...job.tasks],
      })),
      ended: [...ended],
    }),
    restoreJson(data) {
      const stored = data as { jobs: StoredJob[]; ended: string[] };
      jobs.clear();
      ended.clear();
      for (const job of stored.jobs) {
        jobs.set(job.spec.id, { ...job, tasks: new Map(job.tasks) });
      }
      for (const id of stored.ended) ended.add(id);
    },
  };
}
