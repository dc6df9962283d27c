/**
 * The types of multi-step workloads: submitted jobs, records of the replicated
 * log, and runners. A runner is a worker that the scheduler calls; it keeps no
 * connection to the scheduler of its own.
 */

import { isSameAmount, type Resources } from "../common/mod.ts";
import type { EarlyCancel } from "./early_cancels.ts";
import type { EvacuationRecord } from "./evacuations.ts";

/** One step of a job: a group of identical tasks that may start together. */
export interface StepSpec {
  /** Number of tasks, at least 1. */
  readonly tasks: number;
  /** Resources of each task. */
  readonly resources: Resources;
  /** Declared run time of a task in milliseconds; often inaccurate. */
  readonly estimatedMs: number;
  /** Numbers of the earlier steps that must complete first. */
  readonly after: readonly number[];
  /** True if tasks save checkpoints while they run. */
  readonly checkpointing: boolean;
  /** True if the tasks must all run at the same time, as one run. */
  readonly gang: boolean;
  /** True if the tasks run slower when spread over several racks. */
  readonly singleRack: boolean;
  /** Label that a runner must have. */
  readonly requiredLabel?: string;
  /** Rack that holds the data; tasks run slower on other racks. */
  readonly preferredRack?: string;
  /** Maximum number of tasks of the step on one runner; 0 for no limit. */
  readonly maxPerRunner: number;
  /** True if the tasks run until the job is cancelled. */
  readonly longRunning: boolean;
  /** True if the tasks only use capacity that other tasks leave idle. */
  readonly fillsIdle: boolean;
  /** Maximum number of tasks of a long-running step that the scheduler may stop at the same time. */
  readonly allowedAbsences: number;
  /** Image that the tasks run; tasks of one image behave alike. */
  readonly image?: string;
  /** Maximum response time of a long-running task in milliseconds; 0 for no limit. */
  readonly targetMs: number;
}

/** A job as submitted; its id and queue come from the request. */
export interface JobBody {
  /** Opaque text passed to each task. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  /** Wall time of the first occurrence in milliseconds; 0 for a job that runs once, immediately. */
  readonly firstRunMs: number;
  /** Time between occurrences in milliseconds. */
  readonly intervalMs: number;
  /** Number of occurrences; 0 for a job that runs once, immediately. */
  readonly repetitions: number;
}

/** An accepted job. */
export interface JobSpec extends JobBody {
  readonly id: string;
  /** Name of the queue to which it was submitted. */
  readonly queue: string;
  /** Pool of the queue at submission; used if the queue is no longer configured. */
  readonly pool: string;
  /** Maximum attempts at submission; used if the queue is no longer configured. */
  readonly maxAttempts: number;
  /** Workspace of the key; absent if a public queue was used without a valid key. */
  readonly workspace?: string;
  /** Wall time of acceptance in milliseconds. */
  readonly submittedMs: number;
}

/** Response times of the eligibility service for one queue. */
export interface EligibilityTimes {
  /** Time for each answer in milliseconds. */
  readonly baseMs: number;
  /** Additional time for each runner in the query, in milliseconds. */
  readonly perRunnerMs: number;
  /** How long a ticket is valid, in milliseconds. */
  readonly validMs: number;
}

/** A queue to which callers submit jobs. */
export interface QueueSettings {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly pool: string;
  /** True if no key is required. */
  readonly isPublic: boolean;
  /** Priority; 0 is the highest. */
  readonly priority: number;
  readonly maxAttempts: number;
  /** Multiple of the critical path within which a job is on time. */
  readonly slowdownFactor: number;
  /** Time added to that multiple, in milliseconds. */
  readonly targetMs: number;
  /** Maximum time for answering a call, in milliseconds. */
  readonly timeoutMs: number;
  readonly eligibility?: EligibilityTimes;
}

/** A pool of runners. */
export interface PoolSettings {
  readonly name: string;
  /** True if the runners refuse tasks that do not fit; otherwise only the scheduler tracks capacity. */
  readonly checksAdmission: boolean;
}

/** A workspace: its keys, weight and resource cap. */
export interface WorkspaceSettings {
  readonly name: string;
  readonly keys: readonly string[];
  /** Share of a full cell, as jobs per second; jobs beyond it have a lower priority. */
  readonly weight: number;
  /** Maximum resources in use at once; 0 for no limit. */
  readonly cap: Resources;
}

/** The whole configuration. The highest version is active. */
export interface Configuration {
  readonly version: number;
  readonly queues: readonly QueueSettings[];
  readonly pools: readonly PoolSettings[];
  readonly workspaces: readonly WorkspaceSettings[];
  /** The document as the operator sent it; returned unchanged. */
  readonly document: string;
}

/** One incarnation of a runner as it announced itself. */
export interface RunnerEntry {
  readonly id: string;
  /** Wall time of its start in milliseconds; identifies the incarnation. */
  readonly startedMs: number;
  /** `host:port` */
  readonly address: string;
  readonly pool: string;
  readonly dataCentre: string;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  readonly isDraining: boolean;
  /** Sequence number of the recorded announcement; only set in records. */
  readonly sequence?: number;
  /**
   * Wall time of its registration in milliseconds, if it may have replaced an
   * incarnation with its id; absent if it has not or if that is not known, as in records
   * of older versions. Only set in records.
   */
  readonly returnedMs?: number;
}

/** Identifies one task. */
export interface TaskRef {
  readonly job: string;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** How a run ended. */
export type RunOutcome =
  /** Completed successfully. */
  | "done"
  /** Failed because of the task or its runner. */
  | "failed"
  /** Stopped by order. */
  | "stopped"
  /** Killed because the runner's lease expired. */
  | "lapsed"
  /** Another member of the gang ended. */
  | "broken"
  /** The other members of the gang did not start. */
  | "alone"
  /** The runner is gone, or never started it. */
  | "lost";

/** The start of one task, recorded before the order is sent. */
export interface StartEntry {
  readonly index: number;
  /** Key of the runner's incarnation; see `formatIncarnation`. */
  readonly life: string;
}

/** A record of the replicated log. Every member applies all records in order. */
export type WorkRecord =
  | { readonly kind: "configuration"; readonly configuration: Configuration }
  | {
    readonly kind: "job";
    readonly job: JobSpec;
    /** Origin of the submission; see `CallOrigins`. Absent in records of older versions. */
    readonly origin?: string;
  }
  | {
    readonly kind: "cancel";
    /** The job, which may not have arrived yet. */
    readonly job: string;
    /** Workspace of the caller; absent without a valid key, and in records of older versions. */
    readonly workspace?: string;
    readonly atMs: number;
    /** Origin of the call; see `CallOrigins`. Absent in records of older versions. */
    readonly origin?: string;
  }
  | {
    /** Jobs of which a runner has started a task; written some time after that. */
    readonly kind: "begun";
    readonly jobs: readonly string[];
  }
  | {
    readonly kind: "start";
    readonly job: string;
    readonly occurrence: number;
    readonly step: number;
    readonly run: number;
    readonly entries: readonly StartEntry[];
  }
  | {
    readonly kind: "end";
    readonly task: TaskRef;
    readonly run: number;
    readonly outcome: RunOutcome;
    /** Newest checkpoint; empty for none. */
    readonly checkpoint: string;
    readonly atMs: number;
  }
  | {
    readonly kind: "crash";
    /** Key of the incarnation that crashed; absent in records of older versions. */
    readonly life?: string;
    /** Tasks that may have caused the crash of a runner. */
    readonly suspects: readonly TaskRef[];
    /** Long-running tasks suspected of earlier crashes that had outlived their start on this runner. */
    readonly cleared: readonly TaskRef[];
    /** Tasks that were suspected of its crash, although it has not crashed; absent for none. */
    readonly withdrawn?: readonly TaskRef[];
    /** Tasks that may have caused it only if they crash their runner later after a start than usual; absent for none. */
    readonly lateSuspects?: readonly TaskRef[];
    /** True if only runs of one job can have caused it. */
    readonly isSingleJob: boolean;
    /** Wall time before which long-running suspects of several crashes are not restarted, in milliseconds; absent for none. */
    readonly restartMs?: number;
    readonly atMs: number;
  }
  | EvacuationRecord
  | { readonly kind: "runner"; readonly runner: RunnerEntry }
  | {
    readonly kind: "runnerGone";
    readonly life: string;
    /** Wall time of the record in milliseconds; absent in records of older versions. */
    readonly atMs?: number;
  }
  | {
    readonly kind: "forget";
    readonly jobs: readonly string[];
    /** Cancellations of jobs that have not arrived; absent for none. */
    readonly earlyCancels?: readonly EarlyCancel[];
  };

/** The state of a job as reported to callers. */
export type WorkJobState =
  | "queued"
  | "running"
  | "completed"
  | "failed"
  | "cancelled";

/** Tells whether two entries have the same incarnation, address, capacity and draining flag. */
export function isSameRunner(a: RunnerEntry, b: RunnerEntry): boolean {
  return formatIncarnation(a) === formatIncarnation(b) &&
    a.isDraining === b.isDraining &&
    a.address === b.address &&
    isSameAmount(a.capacity, b.capacity);
}

/** Returns the key of a runner's incarnation. */
export function formatIncarnation(
  runner: Pick<RunnerEntry, "id" | "startedMs">,
): string {
  return `${runner.id}@${runner.startedMs}`;
}

/** Returns the runner id in the key of an incarnation. */
export function getRunnerId(life: string): string {
  return life.slice(0, life.lastIndexOf("@"));
}

/** Returns the key of a task. */
export function formatTask(task: TaskRef): string {
  return `${task.job}/${task.occurrence}/${task.step}/${task.index}`;
}

/** Returns the key of a step of one occurrence. */
export function formatStep(task: Omit<TaskRef, "index">): string {
  return `${task.job}/${task.occurrence}/${task.step}`;
}
