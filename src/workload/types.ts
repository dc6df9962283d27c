/**
 * The types of workloads of several steps: what is submitted, what is recorded
 * in the replicated log, and what is known about runners. A runner is a worker
 * that is called; it keeps no connection to the scheduler by itself.
 */

import type { Resources } from "../common/mod.ts";

/** One step of a job: tasks of one kind that may start together. */
export interface StepSpec {
  /** Number of tasks, at least 1. */
  readonly tasks: number;
  /** Resources of each task. */
  readonly resources: Resources;
  /** Declared run time of a task in milliseconds; it may be far off. */
  readonly estimatedMs: number;
  /** Numbers of earlier steps whose tasks must all be done first. */
  readonly after: readonly number[];
  /** True when tasks save their progress while they run. */
  readonly checkpointing: boolean;
  /** True when the tasks only work all together, in one run. */
  readonly gang: boolean;
  /** True when the tasks are slower on more than one rack. */
  readonly singleRack: boolean;
  /** Label that the runner must have. */
  readonly requiredLabel?: string;
  /** Rack that holds the data; tasks are slower on others. */
  readonly preferredRack?: string;
  /** Most tasks of the step on one runner; 0 is no bound. */
  readonly maxPerRunner: number;
  /** True when the tasks run until the job is cancelled. */
  readonly longRunning: boolean;
  /** True when the tasks use only what others leave unused. */
  readonly fillsIdle: boolean;
  /** Tasks of a long-running step that may be away at once by our own actions. */
  readonly allowedAbsences: number;
  /** What the tasks run; tasks of one image behave alike. */
  readonly image?: string;
  /** Bound on the response times of a long-running task, in milliseconds; 0 is none. */
  readonly targetMs: number;
}

/** What a caller hands in, without the identity that the call gives it. */
export interface JobBody {
  /** Opaque text that is handed to each task. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  /** Wall time of the first occurrence in milliseconds; 0 for a job that runs once, at once. */
  readonly firstRunMs: number;
  /** Milliseconds between occurrences. */
  readonly intervalMs: number;
  /** Number of occurrences; 0 for a job that runs once, at once. */
  readonly repetitions: number;
}

/** An accepted job. */
export interface JobSpec extends JobBody {
  readonly id: string;
  /** Name of the queue that it was submitted to. */
  readonly queue: string;
  /** Pool of the queue at submission; used while no configuration names the queue. */
  readonly pool: string;
  /** Attempts allowed at submission; used while no configuration names the queue. */
  readonly maxAttempts: number;
  /** Workspace of the key; absent on public queues. */
  readonly workspace?: string;
  /** Wall time of acceptance in milliseconds. */
  readonly submittedMs: number;
}

/** How the eligibility service answers for one queue. */
export interface EligibilityTimes {
  /** Time of each answer in milliseconds. */
  readonly baseMs: number;
  /** Further time for each runner that is named, in milliseconds. */
  readonly perRunnerMs: number;
  /** How long a ticket is valid, in milliseconds. */
  readonly validMs: number;
}

/** A queue: where callers hand in jobs. */
export interface QueueSettings {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly pool: string;
  /** True when no key is needed. */
  readonly isPublic: boolean;
  /** 0 is served first. */
  readonly priority: number;
  readonly maxAttempts: number;
  /** A job is on time within this multiple of its longest chain of work. */
  readonly slowdownFactor: number;
  /** Allowance on top of the multiple, in milliseconds. */
  readonly targetMs: number;
  /** Longest time for an answer to a call, in milliseconds. */
  readonly timeoutMs: number;
  readonly eligibility?: EligibilityTimes;
}

/** A pool of runners. */
export interface PoolSettings {
  readonly name: string;
  /** True when the runners refuse what does not fit; otherwise only the scheduler counts. */
  readonly checksAdmission: boolean;
}

/** A workspace: who submits, with which keys, and how much. */
export interface WorkspaceSettings {
  readonly name: string;
  readonly keys: readonly string[];
  /** Share when everything is full; jobs a second beyond it have no claim. */
  readonly weight: number;
  /** Most that may run at once; 0 is no bound. */
  readonly cap: Resources;
}

/** The whole configuration. The highest version is in force. */
export interface Configuration {
  readonly version: number;
  readonly queues: readonly QueueSettings[];
  readonly pools: readonly PoolSettings[];
  readonly workspaces: readonly WorkspaceSettings[];
  /** The document as the operator sent it, handed back unchanged. */
  readonly document: string;
}

/** One life of a runner as it announced itself. */
export interface RunnerEntry {
  readonly id: string;
  /** Wall time of its start in milliseconds; tells lives of one id apart. */
  readonly startedMs: number;
  /** `host:port` */
  readonly address: string;
  readonly pool: string;
  readonly dataCentre: string;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  readonly isDraining: boolean;
}

/** Names one task. */
export interface TaskRef {
  readonly job: string;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** How a run ended. */
export type RunOutcome =
  /** Finished its work. */
  | "done"
  /** Failed by its own fault or the runner's. */
  | "failed"
  /** Stopped by order. */
  | "stopped"
  /** Killed when the runner's lease ended. */
  | "lapsed"
  /** Another member of the gang ended. */
  | "broken"
  /** The other members of the gang did not come. */
  | "alone"
  /** The runner is gone, or never started it. */
  | "lost";

/** A start of one task, as recorded before the order is sent. */
export interface StartEntry {
  readonly index: number;
  /** Key of the runner's life; see `formatIncarnation`. */
  readonly life: string;
}

/** What the log records. Records are applied in order on every member. */
export type WorkRecord =
  | { readonly kind: "configuration"; readonly configuration: Configuration }
  | { readonly kind: "job"; readonly job: JobSpec }
  | { readonly kind: "cancel"; readonly job: string; readonly atMs: number }
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
    /** Newest saved progress; empty for none. */
    readonly checkpoint: string;
    readonly atMs: number;
  }
  | { readonly kind: "runner"; readonly runner: RunnerEntry }
  | { readonly kind: "runnerGone"; readonly life: string }
  | { readonly kind: "forget"; readonly jobs: readonly string[] };

/** The state of a job as callers see it. */
export type WorkJobState =
  | "queued"
  | "running"
  | "completed"
  | "failed"
  | "cancelled";

/** Tells whether two announcements of runners say the same about where and how they can be used. */
export function isSameRunner(a: RunnerEntry, b: RunnerEntry): boolean {
  return formatIncarnation(a) === formatIncarnation(b) &&
    a.isDraining === b.isDraining &&
    a.address === b.address;
}

/** Returns the key of a runner's life. */
export function formatIncarnation(
  runner: Pick<RunnerEntry, "id" | "startedMs">,
): string {
  return `${runner.id}@${runner.startedMs}`;
}

/** Returns the key of a task. */
export function formatTask(task: TaskRef): string {
  return `${task.job}/${task.occurrence}/${task.step}/${task.index}`;
}

/** Returns the key of a step of one occurrence. */
export function formatStep(task: Omit<TaskRef, "index">): string {
  return `${task.job}/${task.occurrence}/${task.step}`;
}
