/**
 * Types of the scheduling library: the inputs from the data centre leader, the
 * actions that the scheduler returns, and its status.
 */

import type { Resources } from "../common/mod.ts";

/** How the tasks of a job are placed, and which interventions they may get. */
export type JobPolicy = "service" | "batch" | "gang";

/** The specification of a job. It does not change after submission. */
export interface JobSpec {
  readonly id: string;
  readonly workspace: string;
  readonly policy: JobPolicy;
  /** Number of tasks, at least 1. */
  readonly tasks: number;
  /** Resources of each task. */
  readonly resources: Resources;
  /** An urgent job may preempt others and starts within 3 s. */
  readonly urgent: boolean;
  /** Declared run time of a task in milliseconds; may be inaccurate. */
  readonly expectedMs?: number;
  /** Opaque to the scheduler; returned with each start action. */
  readonly payload?: unknown;
  /** Failed attempts of one task after which the task fails permanently. */
  readonly maxAttempts: number;
  /** Submission time in milliseconds, on the same clock as the argument of `step`. */
  readonly submittedAt: number;
}

/**
 * The state of a task. `checkpointed` waits for placement like `queued`, but
 * has saved progress. A `lost` task is on a removed or unresponsive worker; it
 * holds its resources until its lease has certainly expired.
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

/** Identifies one task of a job. */
export interface TaskName {
  readonly job: string;
  /** From 0 to the number of tasks of the job, exclusive. */
  readonly index: number;
}

/** Identifies one attempt to run a task. */
export interface TaskAttempt extends TaskName {
  /** Starts at 1 and increases by one with each assignment, also across leader changes. */
  readonly attempt: number;
}

/** The public view of a task. */
export interface TaskStatus extends TaskAttempt {
  readonly state: TaskState;
  /** The worker on which the task holds resources. */
  readonly worker?: string;
  /** Number of failed attempts. */
  readonly failures: number;
}

/** The state of a job. A job is running once a task is placed or has ended. */
export type JobState =
  | "queued"
  | "running"
  | "cancelling"
  | "finished"
  | "failed"
  | "cancelled";

/** The public view of a job. */
export interface Job {
  readonly spec: JobSpec;
  readonly state: JobState;
  /** Number of tasks in each state. */
  readonly counts: Readonly<Record<TaskState, number>>;
  readonly tasks: readonly TaskStatus[];
  /** Set while the current fleet cannot run a task of the job, or the whole gang. */
  readonly neverRunnable?: readonly NeverRunnableReason[];
}

/** A worker's report on one of its tasks. */
export interface WorkerTaskReport extends TaskAttempt {
  readonly state:
    | "starting"
    | "running"
    | "finished"
    | "failed"
    | "stopped"
    | "checkpointed";
  /** Measured usage; lags behind the actual usage. */
  readonly usage?: Resources;
  readonly exitCode?: number;
  /** The active processor limit in thousandths of a core; set while throttled. */
  readonly processorLimit?: number;
}

/** The announcement that a worker sends once a second. */
export interface WorkerReport {
  readonly worker: string;
  readonly rack: string;
  /** Increases with each restart of the worker. */
  readonly incarnation: number;
  /** Increases with each report of an incarnation; used to discard delayed and duplicate reports. */
  readonly sequence: number;
  readonly capacity: Resources;
  readonly tasks: readonly WorkerTaskReport[];
  /** A draining worker gets no new tasks. */
  readonly draining: boolean;
}

/** The reply to a worker report. */
export interface WorkerReportReply {
  /**
   * The tasks whose leases are renewed. On the worker each lease starts at the
   * time when it sent the report, so it expires there before it does on the leader.
   */
  readonly renewed: readonly TaskAttempt[];
  readonly leaseMs: number;
}

/** The share and the limits of a workspace in this data centre. */
export interface WorkspaceSettings {
  readonly workspace: string;
  /** Share weight, above 0. */
  readonly weight: number;
  /** Upper bound on the resources of the workspace's tasks; may shrink at any time, even below zero. */
  readonly allotment: Resources;
}

/** A recorded assignment that has not ended, for `restore`. */
export interface RestoredAssignment extends TaskAttempt {
  readonly worker: string;
}

/** A recorded job, for `restore`. */
export interface RestoredJob {
  readonly spec: JobSpec;
  /** True if the cancellation of the job was recorded. */
  readonly cancelled?: boolean;
  /** One record for each task that was ever assigned; all others are queued. */
  readonly tasks: readonly RestoredTask[];
}

/** The record of a task for `restore`: its last attempt, and its final state if it has one. */
export interface RestoredTask {
  readonly index: number;
  readonly attempt: number;
  readonly failures: number;
  readonly state?: "finished" | "failed" | "cancelled" | "checkpointed";
}

/** Why a job can never run, for one resource. */
export interface NeverRunnableReason {
  readonly resource: keyof Resources;
  readonly requested: number;
  /** The maximum that any worker, the workspace's allotment or the whole fleet provides. */
  readonly available: number;
  /** The limit that the request exceeds; "combination": no single worker has all resources. */
  readonly bound: "worker" | "allotment" | "fleet" | "combination";
}

/**
 * Assigns a task to a worker. Write it to the replicated log, then call
 * `confirmAssignment`, or `abandonAssignment` if the write has certainly failed.
 */
export interface AssignAction extends TaskAttempt {
  readonly type: "assign";
  readonly worker: string;
}

/** Requests the start command to the worker. Returned only after the assignment is confirmed. */
export interface StartAction extends TaskAttempt {
  readonly type: "start";
  readonly worker: string;
  readonly spec: JobSpec;
  /** True if the task resumes from its checkpoint. */
  readonly fromCheckpoint: boolean;
  /**
   * Identifies the report whose send time starts the first lease on the worker.
   * The worker refuses a start that arrives after this lease has expired, so a
   * delayed start cannot run concurrently with a later attempt.
   */
  readonly incarnation: number;
  readonly sequence: number;
  readonly leaseMs: number;
}

/** The reason for stopping, checkpointing or throttling a task. */
export type InterventionReason =
  | "cancelled"
  | "unknown"
  | "urgentWork"
  | "allotment"
  | "share"
  | "overrun"
  | "gang";

/**
 * Requests the stop command. Send it only after the records of earlier actions
 * are durable. With the reason "unknown" the worker also forgets an attempt
 * that has ended. With any other reason it keeps reporting the end, so a task
 * that finished just before the stop still counts as finished.
 */
export interface StopAction extends TaskAttempt {
  readonly type: "stop";
  readonly worker: string;
  readonly reason: InterventionReason;
}

/** Requests the checkpoint command: the task saves its progress, then the attempt ends. */
export interface CheckpointAction extends TaskAttempt {
  readonly type: "checkpoint";
  readonly worker: string;
  readonly reason: InterventionReason;
}

/** Requests the throttle command. */
export interface ThrottleAction extends TaskAttempt {
  readonly type: "throttle";
  readonly worker: string;
  /** The new processor limit in thousandths of a core; if absent, throttling ends. */
  readonly processors?: number;
  readonly reason: InterventionReason;
}

/** Reports the end of an attempt. Write it to the replicated log. */
export interface EndTaskAction extends TaskAttempt {
  readonly type: "endTask";
  readonly outcome:
    | "finished"
    | "failed"
    | "cancelled"
    | "lost"
    | "stopped"
    | "checkpointed";
  /** True if the task is not placed again. Each task has exactly one final end. */
  readonly final: boolean;
  /** Number of failed attempts, including this one. */
  readonly failures: number;
  readonly worker?: string;
  readonly exitCode?: number;
}

/** Reports that every task of the job has reached a final state. Write it to the replicated log. */
export interface EndJobAction {
  readonly type: "endJob";
  readonly job: string;
  readonly state: "finished" | "failed" | "cancelled";
}

/** Reports that the job cannot run on the current fleet; repeated when the fleet changes. */
export interface NeverRunnableAction {
  readonly type: "neverRunnable";
  readonly job: string;
  readonly reasons: readonly NeverRunnableReason[];
}

/** A scheduling decision. The caller executes actions in the order of the list. */
export type SchedulerAction =
  | AssignAction
  | StartAction
  | StopAction
  | CheckpointAction
  | ThrottleAction
  | EndTaskAction
  | EndJobAction
  | NeverRunnableAction;

/** The objective that takes precedence: fair shares or short waiting times. */
export type SchedulingObjective = "share" | "waiting";

/** Status of one workspace. */
export interface WorkspaceStatus {
  readonly workspace: string;
  readonly weight: number;
  readonly allotment: Resources;
  /** Total resources held by the tasks of the workspace. */
  readonly committed: Resources;
  /** The largest fraction of any fleet resource that the workspace holds, from 0 to 1. */
  readonly dominantShare: number;
  readonly queuedTasks: number;
  /** Total resources requested by the queued tasks. */
  readonly queuedResources: Resources;
}

/** Status of the scheduler. */
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

/** Status of one worker. */
export interface WorkerStatus {
  readonly worker: string;
  readonly rack: string;
  readonly capacity: Resources;
  readonly committed: Resources;
  /** Estimated usage, including the safety margin. */
  readonly estimated: Resources;
  readonly tasks: number;
  readonly accepting: boolean;
}

/** Why a worker takes no new work. */
export type WorkerObstacle = "gone" | "draining" | "silent" | "outOfService";

/** Why a worker gets no task of the job. */
export type WorkerPassReason =
  | WorkerObstacle
  /** Held for another job by a reservation or a preemption plan. */
  | "reserved"
  /** Its whole capacity is too small for a task. */
  | "resources"
  /** Its free capacity is too small for a task. */
  | "full"
  /** A task would fit, but another worker was picked. */
  | "notPicked";

/** Workers in an explanation; `names` is cut off. */
export interface ExplainedWorkers {
  readonly count: number;
  readonly names: readonly string[];
}

/** Where the tasks of a job would go now, and why. */
export interface JobExplanation {
  /**
   * "starts": all examined tasks; "startsInPart": some of them. "neverRunnable":
   * the job would wait until the fleet or the allotment changes. "unknown": the
   * gang is too large to be examined.
   */
  readonly outcome:
    | "starts"
    | "startsInPart"
    | "waits"
    | "neverRunnable"
    | "unknown";
  /** Why tasks would wait. */
  readonly waitsFor?: "allotment" | "capacity" | "evacuated";
  readonly neverRunnable?: readonly NeverRunnableReason[];
  readonly placedTasks: number;
  /** Tasks of the job; an explanation places only the first ones of a large job. */
  readonly tasks: number;
  readonly limit: {
    readonly weight: number;
    /** The workspace's allotment in this data centre; null if it has none. */
    readonly allotment: Resources | null;
    readonly committed: Resources;
    readonly left: Resources | null;
  };
  readonly waiting: {
    /** Queued tasks of the workspace. */
    readonly workspace: number;
    readonly all: number;
    /** Queues of equal jobs that would be served before this job. */
    readonly queuesAhead: number;
  };
  /** The first of the picked workers, with their numbers of tasks. */
  readonly chosen: readonly {
    readonly worker: string;
    readonly tasks: number;
  }[];
  readonly chosenWorkers: number;
  readonly passedOver: readonly (ExplainedWorkers & {
    readonly reason: WorkerPassReason;
  })[];
  /** What the leader does not know. */
  readonly unknown: readonly string[];
}

/** The scheduler of the data centre leader. It performs no I/O. */
export interface Scheduler {
  /** Adds a job; a known identifier is ignored. Throws a `badRequest` fault on an invalid spec. */
  addJob(spec: JobSpec): void;
  /**
   * Explains where the tasks of a new job would be placed at the time of the
   * last step; changes nothing. Throws a `badRequest` fault on an invalid spec.
   */
  explainJob(spec: JobSpec): JobExplanation;
  /** Cancels a job; returns false if the job is unknown or has ended. */
  cancelJob(job: string): boolean;
  /**
   * Processes a report received at `nowMs`. The time of the last `step` cannot
   * be used: a lease counted from an earlier time would expire here before it
   * expires on the worker.
   */
  receiveWorkerReport(report: WorkerReport, nowMs: number): WorkerReportReply;
  /** Removes a worker; its tasks are placed again after their leases have expired. */
  removeWorker(worker: string): void;
  setWorkspace(settings: WorkspaceSettings): void;
  /**
   * Suspends placement, or ends the suspension. While it lasts, no task is
   * assigned or started and none is preempted; started tasks go on.
   */
  setPlacementSuspended(isSuspended: boolean): void;
  /** Restores the recorded state. Call it once, before any other method except `setWorkspace` and `setPlacementSuspended`. */
  restore(
    jobs: readonly RestoredJob[],
    assignments: readonly RestoredAssignment[],
    nowMs: number,
  ): void;
  /** Confirms that the assignment is in the replicated log; returns false if it is no longer valid. */
  confirmAssignment(assignment: TaskAttempt): boolean;
  /** Drops an assignment that certainly is not, and never will be, in the replicated log. */
  abandonAssignment(assignment: TaskAttempt): void;
  /** Runs one scheduling step; returns the actions since the last call. */
  step(nowMs: number): SchedulerAction[];
  getJob(job: string): Job | undefined;
  listJobs(): Job[];
  getStatus(): SchedulerStatus;
  getWorker(worker: string): WorkerStatus | undefined;
}
