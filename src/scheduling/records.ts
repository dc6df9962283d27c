/** The scheduler's internal records of jobs, tasks, workers and workspaces. */

import type { Resources } from "../common/mod.ts";
import type { Heap } from "./heap.ts";
import type { PlacerWorker } from "./placement.ts";
import type {
  InterventionReason,
  JobSpec,
  NeverRunnableReason,
  TaskState,
} from "./types.ts";
import type { UsageSample } from "./usage.ts";
import type { JobHealth, WorkerHealth } from "./worker_health.ts";

/**
 * The progress of an assignment: being written to the log by the caller,
 * recorded, start command sent, contained in a report of its worker.
 */
export type AssignmentStage = "proposed" | "confirmed" | "started" | "seen";

/** A command that was sent to a task and has not taken effect yet. */
export interface Intervention {
  readonly kind: "stop" | "checkpoint" | "throttle";
  readonly reason: InterventionReason;
  readonly sinceMs: number;
  /** When the command was last sent; it is resent while reports show no effect. */
  sentMs: number;
}

/** One task. */
export interface TaskRecord {
  readonly job: JobRecord;
  readonly index: number;
  state: TaskState;
  attempt: number;
  failures: number;
  /** The worker on which the task holds resources. */
  worker: WorkerRecord | undefined;
  /** The resources held there; less than the task's size while it is throttled for urgent work. */
  held: Resources;
  stage: AssignmentStage;
  /** The assignment comes from `restore`, and its worker has not reported on it yet. */
  isRestored: boolean;
  /** After this time the lease has certainly expired. */
  holdUntilMs: number;
  /** When the start command was last sent. */
  sentMs: number;
  startsSent: number;
  startedMs: number;
  /** The attempt has run long enough to count as a success for its worker. */
  isProven: boolean;
  hasCheckpoint: boolean;
  intervention: Intervention | undefined;
  /** The processor limit last requested from the worker. */
  processorLimit: number | undefined;
  usage: UsageSample | undefined;
  /** The worker where the last attempt failed. */
  avoid: string | undefined;
}

/** One job. */
export interface JobRecord {
  readonly spec: JobSpec;
  readonly workspace: WorkspaceRecord;
  readonly tasks: TaskRecord[];
  /** Resources committed for each task; exceeds the declaration once a task has used more memory. */
  size: Resources;
  /** Tasks that can be placed now; the next one is the last. */
  readonly waiting: TaskRecord[];
  /** Tasks that hold resources. */
  placed: number;
  /** Tasks in a final state. */
  ended: number;
  isCancelled: boolean;
  /** A task of the gang has failed permanently, so the others are stopped. */
  isFailing: boolean;
  hasEnded: boolean;
  neverRunnable: readonly NeverRunnableReason[] | undefined;
  queue: JobQueue | undefined;
  waitingSinceMs: number;
  /** Since when no worker has had enough free capacity; undefined after a successful placement. */
  blockedSinceMs: number | undefined;
  /** Earliest time of the next attempt to place a gang that did not fit. */
  nextTryMs: number;
  /** Number of confirmed assignments that have not started. */
  confirmed: number;
  /** Number of open preemption plans for the job. */
  plans: number;
  /** Number of tasks per rack; kept only for services. */
  readonly tasksInRack: Map<string, number> | undefined;
  readonly health: JobHealth;
}

/** One worker. */
export interface WorkerRecord {
  readonly id: string;
  placerWorker: PlacerWorker;
  readonly tasks: Set<TaskRecord>;
  /** False until the first report; such a worker is known only from a restored assignment. */
  isKnown: boolean;
  /** The worker was removed, or has not reported for a full lease. */
  isGone: boolean;
  isDraining: boolean;
  /** The worker is unresponsive: no report was received recently. */
  isSilent: boolean;
  /** Reserved for one job by a preemption plan or a reservation. */
  isReserved: boolean;
  /** A check for missing reports is scheduled. */
  hasSilenceCheck: boolean;
  incarnation: number;
  sequence: number;
  lastReportMs: number;
  /** Number of started tasks that the worker has not reported yet. */
  unseen: number;
  readonly health: WorkerHealth;
  probe: TaskRecord | undefined;
}

/** One workspace. */
export interface WorkspaceRecord {
  readonly name: string;
  weight: number;
  allotment: Resources;
  /** False until `setWorkspace`; until then no task of the workspace starts. */
  isKnown: boolean;
  committed: Resources;
  readonly placed: Set<TaskRecord>;
  queuedTasks: number;
  /** Total resources requested by the queued tasks. */
  queuedResources: Resources;
  /** Since when the workspace has been below its share with blocked work. */
  starvedSinceMs: number | undefined;
  /** Earliest time of the next plan to reclaim borrowed resources. */
  nextReclaimMs: number;
  /** The workspace holds more than its allotment and must shed work. */
  isOverAllotment: boolean;
}

/** Waiting jobs of one workspace with equivalent placement requirements, in order of submission. */
export interface JobQueue {
  readonly key: string;
  readonly workspace: WorkspaceRecord;
  readonly jobs: Heap<JobRecord>;
}
