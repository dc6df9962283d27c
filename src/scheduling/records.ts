/** The scheduler's own records of jobs, tasks, workers and workspaces. */

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
 * How far an assignment has come: in the caller's hands to be recorded,
 * recorded, start command sent, listed by its worker.
 */
export type AssignmentStage = "proposed" | "confirmed" | "started" | "seen";

/** A command that a task has been given and that has not yet taken effect. */
export interface Intervention {
  readonly kind: "stop" | "checkpoint" | "throttle";
  readonly reason: InterventionReason;
  readonly sinceMs: number;
  /** The last time the command was sent; it is repeated while reports show no effect. */
  sentMs: number;
}

/** One task. */
export interface TaskRecord {
  readonly job: JobRecord;
  readonly index: number;
  state: TaskState;
  attempt: number;
  failures: number;
  /** Where the task holds resources. */
  worker: WorkerRecord | undefined;
  /** What the task holds there; less than its size while throttled for other work. */
  held: Resources;
  stage: AssignmentStage;
  /** The assignment was recorded before a takeover, and its worker has not reported on it. */
  isRestored: boolean;
  /** The lease has certainly ended after this time. */
  holdUntilMs: number;
  sentMs: number;
  startsSent: number;
  startedMs: number;
  /** The attempt has run long enough to count as a success of its worker. */
  isProven: boolean;
  hasCheckpoint: boolean;
  intervention: Intervention | undefined;
  /** The processor limit that the worker was last asked to set. */
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
  /** What a task is given; above the declaration once a task has used more memory. */
  size: Resources;
  /** Tasks that can be placed now, the next one last. */
  readonly waiting: TaskRecord[];
  /** Tasks that hold resources. */
  placed: number;
  /** Tasks that have ended for good. */
  ended: number;
  isCancelled: boolean;
  /** A task of a gang has failed for good, so the others are stopped. */
  isFailing: boolean;
  hasEnded: boolean;
  neverRunnable: readonly NeverRunnableReason[] | undefined;
  queue: JobQueue | undefined;
  waitingSinceMs: number;
  /** Since when no worker had room; undefined when the last try succeeded. */
  blockedSinceMs: number | undefined;
  /** A gang that found no room is not tried again before this time. */
  nextTryMs: number;
  /** Confirmed assignments of a gang that has not started. */
  confirmed: number;
  /** Open preemption plans for the job. */
  plans: number;
  /** Tasks by rack, kept for services only. */
  readonly tasksInRack: Map<string, number> | undefined;
  readonly health: JobHealth;
}

/** One worker. */
export interface WorkerRecord {
  readonly id: string;
  placerWorker: PlacerWorker;
  readonly tasks: Set<TaskRecord>;
  /** False until the first report, for a worker known only from a restored assignment. */
  isKnown: boolean;
  isGone: boolean;
  isDraining: boolean;
  isSilent: boolean;
  /** Held for one job by a preemption plan or a reservation. */
  isReserved: boolean;
  /** A look at its silence is due. */
  hasSilenceCheck: boolean;
  incarnation: number;
  sequence: number;
  lastReportMs: number;
  /** Started tasks that the worker has not listed yet. */
  unseen: number;
  readonly health: WorkerHealth;
  probe: TaskRecord | undefined;
}

/** One workspace. */
export interface WorkspaceRecord {
  readonly name: string;
  weight: number;
  allotment: Resources;
  /** False until `setWorkspace`; nothing of the workspace starts before. */
  isKnown: boolean;
  committed: Resources;
  readonly placed: Set<TaskRecord>;
  queuedTasks: number;
  /** What the queued tasks ask for. */
  queuedResources: Resources;
  /** Since when the workspace has been below its share with work that found no room. */
  starvedSinceMs: number | undefined;
  /** No plan to reclaim lent resources is tried before this time. */
  nextReclaimMs: number;
  /** Set while the workspace has to shed work. */
  isOverAllotment: boolean;
}

/** Waiting jobs of one workspace that are alike for placement, in order of submission. */
export interface JobQueue {
  readonly key: string;
  readonly workspace: WorkspaceRecord;
  readonly jobs: Heap<JobRecord>;
}
