/**
 * The types of the scheduling library: what the data centre leader tells the
 * scheduler, what the scheduler decides, and what can be asked about it.
 */

import type { Resources } from "../common/mod.ts";

/** How the tasks of a job are placed and what may be done to them. */
export type JobPolicy = "service" | "batch" | "gang";

/** What a caller asks for. It does not change after submission. */
export interface JobSpec {
  readonly id: string;
  readonly workspace: string;
  readonly policy: JobPolicy;
  /** Number of tasks, at least 1. */
  readonly tasks: number;
  /** Resources of each task. */
  readonly resources: Resources;
  /** Urgent work may preempt other work and starts within 3 s. */
  readonly urgent: boolean;
  /** Declared run time of a task in milliseconds; it may be far off. */
  readonly expectedMs?: number;
  /** Opaque to the scheduler; handed back with each start. */
  readonly payload?: unknown;
  /** Failed attempts of one task after which the task has failed for good. */
  readonly maxAttempts: number;
  /** Submission time in milliseconds on the clock that is passed to `step`. */
  readonly submittedAt: number;
}

/**
 * The state of a task. `checkpointed` waits for a place like `queued`, but has
 * saved progress. `lost` is on a worker that is gone or silent, still holds its
 * resources, and waits until its lease has certainly ended.
 */
export type TaskState =
  | "queued"
  | "assigned"
  | "running"
  | "checkpointed"
  | "finished"
  | "failed"
  | "cancelled"
  | "lost";

/** Names one task of a job. */
export interface TaskName {
  readonly job: string;
  /** From 0 up to, but not including, the number of tasks of the job. */
  readonly index: number;
}

/** Names one attempt to run a task. */
export interface TaskAttempt extends TaskName {
  /** Rises by one with each assignment, also across takeovers; the first is 1. */
  readonly attempt: number;
}

/** A task as seen from outside. */
export interface TaskStatus extends TaskAttempt {
  readonly state: TaskState;
  /** Where the task holds resources. */
  readonly worker?: string;
  /** Attempts that ended in a failure. */
  readonly failures: number;
}

/** The state of a job: queued, running (some task placed or ended), or its end. */
export type JobState =
  | "queued"
  | "running"
  | "cancelling"
  | "finished"
  | "failed"
  | "cancelled";

/** A job as seen from outside. */
export interface Job {
  readonly spec: JobSpec;
  readonly state: JobState;
  /** Number of tasks in each state. */
  readonly counts: Readonly<Record<TaskState, number>>;
  readonly tasks: readonly TaskStatus[];
  /** Set while no worker of the fleet could hold a task or the job as a whole. */
  readonly neverRunnable?: readonly NeverRunnableReason[];
}

/** What a worker says about one of its tasks. */
export interface WorkerTaskReport extends TaskAttempt {
  readonly state:
    | "starting"
    | "running"
    | "finished"
    | "failed"
    | "stopped"
    | "checkpointed";
  /** Measured usage, with a lag. */
  readonly usage?: Resources;
  readonly exitCode?: number;
  /** The processor limit in force, in thousandths of a core, while throttled. */
  readonly processorLimit?: number;
}

/** The announcement of a worker, once a second. */
export interface WorkerReport {
  readonly worker: string;
  readonly rack: string;
  /** Rises with each restart of the worker. */
  readonly incarnation: number;
  /** Rises with each report of one incarnation, so that late and doubled reports are recognised. */
  readonly sequence: number;
  readonly capacity: Resources;
  readonly tasks: readonly WorkerTaskReport[];
  /** A draining worker gets no new task. */
  readonly draining: boolean;
}

/** The answer to a report. */
export interface WorkerReportReply {
  /**
   * The tasks whose leases are renewed. The worker counts each lease from the
   * moment when it sent the report, so that its lease ends before the leader's.
   */
  readonly renewed: readonly TaskAttempt[];
  readonly leaseMs: number;
}

/** What a workspace may use in this data centre. */
export interface WorkspaceSettings {
  readonly workspace: string;
  /** Share weight, above 0. */
  readonly weight: number;
  /** Bound on the resources of the workspace's tasks; it may shrink at any time, even below zero. */
  readonly allotment: Resources;
}

/** A recorded assignment that had not ended, for `restore`. */
export interface RestoredAssignment extends TaskAttempt {
  readonly worker: string;
}

/** A recorded job, for `restore`. */
export interface RestoredJob {
  readonly spec: JobSpec;
  /** True when the cancellation of the job was recorded. */
  readonly cancelled?: boolean;
  /** What was recorded about each task that was ever assigned; others are queued. */
  readonly tasks: readonly RestoredTask[];
}

/** The record of a task for `restore`: its last attempt, and its end if it has ended for good. */
export interface RestoredTask {
  readonly index: number;
  readonly attempt: number;
  readonly failures: number;
  readonly state?: "finished" | "failed" | "cancelled" | "checkpointed";
}

/** Why no worker can hold a task, for one resource. */
export interface NeverRunnableReason {
  readonly resource: keyof Resources;
  readonly requested: number;
  /** The most that any worker, or the workspace's allotment, or the whole fleet offers. */
  readonly available: number;
  /** Which bound is too small. */
  readonly bound: "worker" | "allotment" | "fleet" | "combination";
}

/**
 * Place the task: write this to the replicated log, then call
 * `confirmAssignment`, or `abandonAssignment` when the write failed for certain.
 */
export interface AssignAction extends TaskAttempt {
  readonly type: "assign";
  readonly worker: string;
}

/** Send the start command to the worker. Comes only after the confirmation. */
export interface StartAction extends TaskAttempt {
  readonly type: "start";
  readonly worker: string;
  readonly spec: JobSpec;
  /** True when the task continues from its checkpoint. */
  readonly fromCheckpoint: boolean;
  /**
   * The incarnation and report from whose sending the worker counts the first
   * lease. A start that arrives after that lease is refused by the worker, so a
   * delayed start cannot run next to a later attempt.
   */
  readonly incarnation: number;
  readonly sequence: number;
  readonly leaseMs: number;
}

/** Why a task is stopped, checkpointed or throttled. */
export type InterventionReason =
  | "cancelled"
  | "unknown"
  | "urgentWork"
  | "allotment"
  | "share"
  | "overrun"
  | "gang";

/**
 * Send the stop command. Send it only after the records of earlier actions are
 * durable. With the reason "unknown" the worker also forgets an attempt that
 * has ended; with any other it goes on reporting the end, so that a task that
 * finished just before is not taken for a stopped one.
 */
export interface StopAction extends TaskAttempt {
  readonly type: "stop";
  readonly worker: string;
  readonly reason: InterventionReason;
}

/** Send the checkpoint command: save the progress, then end the attempt. */
export interface CheckpointAction extends TaskAttempt {
  readonly type: "checkpoint";
  readonly worker: string;
  readonly reason: InterventionReason;
}

/** Send the throttle command. */
export interface ThrottleAction extends TaskAttempt {
  readonly type: "throttle";
  readonly worker: string;
  /** The new processor limit in thousandths of a core; absent, it ends throttling. */
  readonly processors?: number;
  readonly reason: InterventionReason;
}

/** An attempt has ended: write it to the replicated log. */
export interface EndTaskAction extends TaskAttempt {
  readonly type: "endTask";
  readonly outcome:
    | "finished"
    | "failed"
    | "cancelled"
    | "lost"
    | "stopped"
    | "checkpointed";
  /** True when the task is not placed again. Exactly one final end for each task. */
  readonly final: boolean;
  /** Attempts that ended in a failure, this one included. */
  readonly failures: number;
  readonly worker?: string;
  readonly exitCode?: number;
}

/** Every task of the job has ended for good: write it to the replicated log. */
export interface EndJobAction {
  readonly type: "endJob";
  readonly job: string;
  readonly state: "finished" | "failed" | "cancelled";
}

/** The job cannot run on the fleet as it is; reported at once and again when the fleet changes. */
export interface NeverRunnableAction {
  readonly type: "neverRunnable";
  readonly job: string;
  readonly reasons: readonly NeverRunnableReason[];
}

/** A decision. Actions are carried out in the order in which they are listed. */
export type SchedulerAction =
  | AssignAction
  | StartAction
  | StopAction
  | CheckpointAction
  | ThrottleAction
  | EndTaskAction
  | EndJobAction
  | NeverRunnableAction;

/** Which of the two aims comes first when they clash. */
export type SchedulingObjective = "share" | "waiting";

/** Figures of one workspace. */
export interface WorkspaceStatus {
  readonly workspace: string;
  readonly weight: number;
  readonly allotment: Resources;
  /** Resources of all tasks of the workspace that hold resources. */
  readonly committed: Resources;
  /** The largest part that the workspace holds of any resource of the fleet, from 0 to 1. */
  readonly dominantShare: number;
  readonly queuedTasks: number;
  /** What the queued tasks ask for. */
  readonly queuedResources: Resources;
}

/** Figures of the scheduler. */
export interface SchedulerStatus {
  readonly workers: number;
  readonly workersOutOfService: readonly string[];
  readonly capacity: Resources;
  readonly committed: Resources;
  readonly jobs: number;
  readonly queuedTasks: number;
  readonly placedTasks: number;
  readonly workspaces: readonly WorkspaceStatus[];
}

/** What a worker holds. */
export interface WorkerStatus {
  readonly worker: string;
  readonly rack: string;
  readonly capacity: Resources;
  readonly committed: Resources;
  /** Estimated usage with the safety margin. */
  readonly estimated: Resources;
  readonly tasks: number;
  readonly accepting: boolean;
}

/** The decision library of the data centre leader. It does no input or output. */
export interface Scheduler {
  /** Adds a job; doing it again with the same identifier has no effect. Throws a `badRequest` fault on an invalid spec. */
  addJob(spec: JobSpec): void;
  /** Cancels a job; returns false when the job is unknown or has ended. */
  cancelJob(job: string): boolean;
  /**
   * Takes in a report received at `nowMs`. The time is not taken from the last
   * `step`: a lease counted from an earlier time would end here before it ends
   * on the worker.
   */
  receiveWorkerReport(report: WorkerReport, nowMs: number): WorkerReportReply;
  /** Declares a worker gone; its tasks are placed again after their leases have ended. */
  removeWorker(worker: string): void;
  setWorkspace(settings: WorkspaceSettings): void;
  /** Takes over the recorded state; called once, before anything else but `setWorkspace`. */
  restore(
    jobs: readonly RestoredJob[],
    assignments: readonly RestoredAssignment[],
    nowMs: number,
  ): void;
  /** The assignment is in the replicated log; returns false when it is no longer wanted. */
  confirmAssignment(assignment: TaskAttempt): boolean;
  /** The assignment is certainly not in the replicated log and never will be. */
  abandonAssignment(assignment: TaskAttempt): void;
  /** Decides; returns the actions since the last call. */
  step(nowMs: number): SchedulerAction[];
  getJob(job: string): Job | undefined;
  listJobs(): Job[];
  getStatus(): SchedulerStatus;
  getWorker(worker: string): WorkerStatus | undefined;
}
