/**
 * The replicated state machine for workloads: configuration, jobs with their
 * tasks, and runners. Every member applies the same records in the same order, so
 * applying a record must be deterministic.
 */

import { Buffer } from "node:buffer";
import type { StateMachine } from "../replicated_log/mod.ts";
import { createCallOrigins } from "./call_origins.ts";
import {
  createEarlyCancels,
  type EarlyCancel,
  isSameOwner,
} from "./early_cancels.ts";
import {
  createEvacuations,
  type Evacuation,
  type Evacuations,
} from "./evacuations.ts";
import {
  createRetainedSettings,
  type RemovedSettings,
} from "./retained_settings.ts";
import {
  type Configuration,
  formatIncarnation,
  getRunnerId,
  type JobSpec,
  type QueueSettings,
  type RunnerEntry,
  type RunOutcome,
  type TaskRef,
  type WorkJobState,
  type WorkRecord,
  type WorkspaceSettings,
} from "./types.ts";

/** Status of a task; numbers keep snapshots small. */
export const TASK_STATUS = Object.freeze({
  waiting: 0,
  active: 1,
  done: 2,
});

/**
 * Number of crashes of which a task is suspected after which its job ends as
 * failed; the platform tolerates two starts after three crashes. A long-running task
 * has no limit.
 */
const MAX_CRASHES = 4;

/**
 * The same if no other job can have caused the last crash. Two independent crashes
 * of runners that have just restarted a wide job are common.
 */
const MAX_CERTAIN_CRASHES = 3;

/**
 * Time for which the departure of a runner is kept, in milliseconds; longer than the
 * delay of an order, also if the wall clocks of two instances differ.
 */
const GONE_KEEP_MS = 60_000;

/** Number of late crashes from which they count. */
const MIN_LATE_CRASHES = 2;

/** Recorded state of one task. */
export interface TaskState {
  status: number;
  /** Highest run number recorded for the task. */
  run: number;
  /** Key of the runner incarnation of the newest run; see `formatIncarnation`. */
  life: string;
  /** Runs that ended in a failure. */
  failures: number;
  /** Number of the newest of these; absent for none. */
  failedRun?: number;
  /** Crashes of which the task is suspected, since its last run that outlived its start; absent for none. */
  crashes?: number;
  /** Keys of the incarnations whose crashes were counted last, oldest first; absent for none. */
  crashedLives?: string[];
  /** Keys of the incarnations that crashed some time after its start, oldest first; absent for none. */
  lateLives?: string[];
  /** Wall time before which it is not restarted after crashes, in milliseconds; absent for none. */
  restartMs?: number;
  /** Newest checkpoint; empty for none. */
  checkpoint: string;
}

/** Recorded state of one step of one occurrence. */
export interface StepState {
  tasks: TaskState[];
  /** Number of tasks that are done. */
  done: number;
  /** Failed runs of the step as a gang. */
  gangFailures: number;
  /** Newest gang run that was counted as failed. */
  lastFailedRun: number;
}

/** Recorded state of one occurrence of a job. */
export interface OccurrenceState {
  steps: StepState[];
  isDone: boolean;
}

/** An accepted job and its tasks. */
export interface JobState {
  /** The payload is empty once the job has ended. */
  spec: JobSpec;
  /** "running" once it is recorded that a runner has started one of its tasks; see also `BegunJobs`. */
  state: WorkJobState;
  /** Wall time of the end in milliseconds; 0 while the job is open. */
  endedMs: number;
  /** By occurrence number; created on first use and dropped when the job ends. */
  occurrences: Record<number, OccurrenceState>;
  doneOccurrences: number;
  /** Runs that were active when the job ended; absent for none. */
  leftRuns?: readonly LeftRun[];
}

/** A run that a job has left behind: it goes on until its runner has stopped it. */
export interface LeftRun {
  readonly task: TaskRef;
  readonly run: number;
  /** Key of the runner's incarnation; see `formatIncarnation`. */
  readonly life: string;
}

/** The replicated state and its accessors. */
export interface WorkState extends StateMachine {
  getConfiguration(): Configuration | undefined;
  /** Returns the settings of a queue, or its last ones if it was removed while jobs of it are open. */
  findQueue(name: string): QueueSettings | undefined;
  /** Returns the settings of a workspace like `findQueue`. */
  findWorkspace(name: string): WorkspaceSettings | undefined;
  /** Lists the workspaces, with those that were removed while jobs of them are open. */
  listWorkspaces(): WorkspaceSettings[];
  getJob(id: string): JobState | undefined;
  listJobs(): IterableIterator<JobState>;
  listRunners(): IterableIterator<RunnerEntry>;
  countRunners(): number;
  getRunner(id: string): RunnerEntry | undefined;
  /** Returns the wall time at which the last runner with this id was recorded as gone, in milliseconds; undefined if it is unknown or long ago. */
  getGoneMs(id: string): number | undefined;
  /** Tells whether an incarnation was draining when it was recorded as gone; false if that was long ago. */
  hasDrained(life: string): boolean;
  getOccurrence(job: JobState, occurrence: number): OccurrenceState;
  getTask(task: TaskRef): TaskState | undefined;
  /** Lists the tasks of the queued and running jobs whose occurrence has begun. */
  listOpenTasks(): IterableIterator<[TaskRef, TaskState]>;
  /** Lists the runs that were active when their jobs ended. */
  listLeftRuns(): IterableIterator<LeftRun>;
  /** Returns the job that an accepted submission or cancellation of this origin was about. */
  findRecordedCall(origin: string | undefined): string | undefined;
  /** Tells whether a job of a workspace was cancelled before it arrived. */
  hasEarlyCancel(job: string, workspace: string | undefined): boolean;
  /** Lists the cancellations of jobs that have not arrived. */
  listEarlyCancels(): EarlyCancel[];
  /** The evacuated data centres. */
  readonly evacuations: Pick<Evacuations, "has" | "list">;
  /** Sets the function to call with each record after it was applied; undefined removes it. */
  setListener(listener: ((record: WorkRecord) => void) | undefined): void;
}

interface StoredState {
  configuration: Configuration | undefined;
  jobs: JobState[];
  runners: RunnerEntry[];
  /** Id and wall time of each runner that has gone; absent in snapshots of older versions. */
  gone?: [string, number][];
  /** Incarnation and wall time of each of them that was draining; absent in snapshots of older versions. */
  drained?: [string, number][];
  /** Cancellations of jobs that have not arrived; absent in snapshots of older versions. */
  earlyCancels?: EarlyCancel[];
  /** Origins of recorded calls by job; absent in snapshots of older versions. */
  callOrigins?: [string, readonly string[]][];
  /** Evacuated data centres; absent in snapshots of older versions. */
  evacuations?: Evacuation[];
  /** Queues that the configuration no longer has; absent in snapshots of older versions. */
  removedQueues?: RemovedSettings<QueueSettings>[];
  /** Workspaces that the configuration no longer has; absent in snapshots of older versions. */
  removedWorkspaces?: RemovedSettings<WorkspaceSettings>[];
}

/** Encodes records as one command of the log. */
export function encodeRecords(records: readonly WorkRecord[]): Uint8Array {
  return Buffer.from(JSON.stringify(records));
}

function createOccurrence(spec: JobSpec): OccurrenceState {
  return {
    isDone: false,
    steps: spec.steps.map((step) => ({
      done: 0,
      gangFailures: 0,
      lastFailedRun: 0,
      tasks: Array.from({ length: step.tasks }, () => ({
        status: TASK_STATUS.waiting,
        run: 0,
        life: "",
        failures: 0,
        checkpoint: "",
      })),
    })),
  };
}

/** Returns the number of crashes of which a task is suspected. */
export function countCrashes(task: TaskState | undefined): number {
  const late = isLateSuspect(task) ? task?.lateLives?.length ?? 0 : 0;
  return (task?.crashes ?? 0) + late;
}

/** Tells whether a task may crash its runners some time after its start; one such crash is likely to have another cause. */
export function isLateSuspect(task: TaskState | undefined): boolean {
  return (task?.lateLives?.length ?? 0) >= MIN_LATE_CRASHES;
}

/** Tells whether a job is still queued or running. */
export function isOpenJob(job: JobState): boolean {
  return job.state === "queued" || job.state === "running";
}

/** Returns the number of occurrences of a job. */
export function countOccurrences(spec: JobSpec): number {
  return Math.max(1, spec.repetitions);
}

/**
 * Tells whether the end of a run still counts. A run that was given up may have been
 * done all the same: while its task waits, it need not run again. It may also have
 * failed, which counts once.
 */
export function isOpenEnd(
  task: TaskState,
  run: number,
  outcome: RunOutcome,
): boolean {
  if (task.run !== run) return false;
  if (task.status === TASK_STATUS.active) return true;
  return task.status === TASK_STATUS.waiting &&
    (outcome === "done" || (outcome === "failed" && task.failedRun !== run));
}

/** Creates an empty state. */
export function createWorkState(): WorkState {
  let configuration: Configuration | undefined;
  const queues = createRetainedSettings<QueueSettings>();
  const workspaces = createRetainedSettings<WorkspaceSettings>();
  const earlyCancels = createEarlyCancels();
  const callOrigins = createCallOrigins();
  const evacuations = createEvacuations();
  let jobs = new Map<string, JobState>();
  let runners = new Map<string, RunnerEntry>();
  let gone = new Map<string, number>();
  let drained = new Map<string, number>();
  let listener: ((record: WorkRecord) => void) | undefined;

  function setConfiguration(next: Configuration): void {
    const usedQueues = new Set<string>();
    const usedWorkspaces = new Set<string>();
    for (const job of jobs.values()) {
      if (!isOpenJob(job)) continue;
      usedQueues.add(job.spec.queue);
      if (job.spec.workspace !== undefined) {
        usedWorkspaces.add(job.spec.workspace);
      }
    }
    configuration = next;
    queues.set(next.queues, (name) => usedQueues.has(name));
    workspaces.set(next.workspaces, (name) => usedWorkspaces.has(name));
  }

  function getOccurrence(job: JobState, occurrence: number): OccurrenceState {
    return job.occurrences[occurrence] ??= createOccurrence(job.spec);
  }

  /** Reads nothing from retained settings, which a member that has restored an older snapshot lacks. */
  function getMaxAttempts({ spec }: JobState): number {
    return queues.findConfigured(spec.queue)?.maxAttempts ?? spec.maxAttempts;
  }

  function endJob(job: JobState, state: WorkJobState, atMs: number): void {
    if (!isOpenJob(job)) return;
    const leftRuns = [...listTasks(job)]
      .filter(([, { status }]) => status === TASK_STATUS.active)
      .map(([task, { run, life }]) => ({ task, run, life }));
    if (leftRuns.length > 0) job.leftRuns = leftRuns;
    job.state = state;
    job.endedMs = atMs;
    // Ended jobs are by far the most. Tasks and payload are dropped to keep
    // snapshots small; the rest is needed for state queries and to know the
    // resources of runs that have not stopped yet.
    job.occurrences = {};
    job.spec = { ...job.spec, payload: "" };
  }

  function setBegun(job: JobState | undefined): void {
    if (job?.state === "queued") job.state = "running";
  }

  function applyStart(record: WorkRecord & { kind: "start" }): void {
    const job = jobs.get(record.job);
    if (job === undefined || !isOpenJob(job)) return;
    const step = getOccurrence(job, record.occurrence).steps[record.step];
    for (const { index, life } of record.entries) {
      const task = step?.tasks[index];
      if (task === undefined || task.status === TASK_STATUS.done) continue;
      task.status = TASK_STATUS.active;
      task.run = Math.max(task.run, record.run);
      task.life = life;
    }
  }

  function setDone(step: StepState, task: TaskState): void {
    if (task.status === TASK_STATUS.done) return;
    task.status = TASK_STATUS.done;
    task.checkpoint = "";
    step.done += 1;
  }

  function applyDone(
    job: JobState,
    record: WorkRecord & { kind: "end" },
  ): void {
    const { task: ref, run } = record;
    const spec = job.spec.steps[ref.step];
    const occurrence = getOccurrence(job, ref.occurrence);
    const step = occurrence.steps[ref.step];
    const task = step?.tasks[ref.index];
    if (spec === undefined || step === undefined || task === undefined) return;
    if (spec.longRunning) {
      task.status = TASK_STATUS.waiting;
      return;
    }
    setDone(step, task);
    if (spec.gang) {
      // A gang ends as a whole: the end of one member completes the whole run.
      for (const member of step.tasks) {
        if (member.run === run) setDone(step, member);
      }
    }
    const isOccurrenceDone = occurrence.steps.every((other) =>
      other.done === other.tasks.length
    );
    if (!isOccurrenceDone || occurrence.isDone) return;
    occurrence.isDone = true;
    job.doneOccurrences += 1;
    if (job.doneOccurrences >= countOccurrences(job.spec)) {
      endJob(job, "completed", record.atMs);
    }
  }

  function applyFailure(
    job: JobState,
    record: WorkRecord & { kind: "end" },
    step: StepState,
    task: TaskState,
  ): void {
    const spec = job.spec.steps[record.task.step];
    if (spec === undefined || spec.longRunning) return;
    task.failures += 1;
    task.failedRun = record.run;
    let failures = task.failures;
    if (spec.gang) {
      if (step.lastFailedRun !== record.run) {
        step.lastFailedRun = record.run;
        step.gangFailures += 1;
      }
      failures = step.gangFailures;
    }
    if (failures >= getMaxAttempts(job)) endJob(job, "failed", record.atMs);
  }

  function applyEnd(record: WorkRecord & { kind: "end" }): void {
    const { task: ref, run, outcome } = record;
    const job = jobs.get(ref.job);
    if (job === undefined || !isOpenJob(job)) return;
    // A run that was lost may never have started.
    if (outcome !== "lost") setBegun(job);
    const step = getOccurrence(job, ref.occurrence).steps[ref.step];
    const task = step?.tasks[ref.index];
    if (step === undefined || task === undefined) return;
    if (!isOpenEnd(task, run, outcome)) return;
    if (record.checkpoint !== "") task.checkpoint = record.checkpoint;
    task.status = TASK_STATUS.waiting;
    // A runner lists only ends of runs that have not crashed it.
    if (outcome !== "lost") {
      delete task.crashes;
      delete task.crashedLives;
      delete task.lateLives;
    }
    if (outcome === "done") applyDone(job, record);
    else if (outcome === "failed") applyFailure(job, record, step, task);
  }

  function findTask(ref: TaskRef): TaskState | undefined {
    const job = jobs.get(ref.job);
    return job?.occurrences[ref.occurrence]?.steps[ref.step]?.tasks[ref.index];
  }

  function* listTasks(
    { spec, occurrences }: JobState,
  ): IterableIterator<[TaskRef, TaskState]> {
    for (const [number, { steps }] of Object.entries(occurrences)) {
      const occurrence = Number(number);
      for (const [step, { tasks }] of steps.entries()) {
        for (const [index, task] of tasks.entries()) {
          yield [{ job: spec.id, occurrence, step, index }, task];
        }
      }
    }
  }

  function* listOpenTasks(): IterableIterator<[TaskRef, TaskState]> {
    for (const job of jobs.values()) {
      if (isOpenJob(job)) yield* listTasks(job);
    }
  }

  function* listLeftRuns(): IterableIterator<LeftRun> {
    for (const { leftRuns } of jobs.values()) {
      if (leftRuns !== undefined) yield* leftRuns;
    }
  }

  /** Returns a task that is not done, of an open job. */
  function findOpenTask(ref: TaskRef): TaskState | undefined {
    const job = jobs.get(ref.job);
    if (job === undefined || !isOpenJob(job)) return undefined;
    const step = getOccurrence(job, ref.occurrence).steps[ref.step];
    const task = step?.tasks[ref.index];
    return task?.status === TASK_STATUS.done ? undefined : task;
  }

  /** Takes back the count of a crash that did not happen. */
  function withdrawCrash(
    task: TaskState | undefined,
    life: string | undefined,
  ): void {
    if (task === undefined || life === undefined) return;
    const lateLives = task.lateLives?.filter((other) => other !== life) ?? [];
    if (lateLives.length > 0) task.lateLives = lateLives;
    else delete task.lateLives;
    if (task.crashedLives?.includes(life) !== true) return;
    task.crashedLives = task.crashedLives.filter((other) => other !== life);
    if (task.crashedLives.length === 0) delete task.crashedLives;
    task.crashes = Math.max(0, (task.crashes ?? 0) - 1);
    if (task.crashes === 0) delete task.crashes;
  }

  function applyCrash(record: WorkRecord & { kind: "crash" }): void {
    for (const ref of record.cleared) {
      const task = findTask(ref);
      delete task?.crashes;
      delete task?.lateLives;
    }
    for (const ref of record.withdrawn ?? []) {
      withdrawCrash(findTask(ref), record.life);
    }
    for (const ref of record.suspects) {
      const job = jobs.get(ref.job);
      const task = findOpenTask(ref);
      if (job === undefined || task === undefined) continue;
      if (record.life !== undefined) {
        // Two leaders may record the crash of one incarnation, and one leader may
        // record it once its lease has ended and once the next one is there.
        const lives = task.crashedLives ?? [];
        if (lives.includes(record.life)) continue;
        task.crashedLives = [...lives, record.life].slice(-MAX_CRASHES);
      }
      task.crashes = (task.crashes ?? 0) + 1;
      const isCertain = record.isSingleJob && !isLateSuspect(task);
      const limit = isCertain ? MAX_CERTAIN_CRASHES : MAX_CRASHES;
      if (countCrashes(task) < limit) continue;
      if (job.spec.steps[ref.step]?.longRunning !== true) {
        endJob(job, "failed", record.atMs);
      } else if (record.restartMs !== undefined) {
        task.restartMs = record.restartMs;
      }
    }
    for (const ref of record.lateSuspects ?? []) {
      const task = findOpenTask(ref);
      if (task === undefined || record.life === undefined) continue;
      const lives = task.lateLives ?? [];
      if (lives.includes(record.life)) continue;
      task.lateLives = [...lives, record.life].slice(-MAX_CRASHES);
    }
  }

  function applyCancel(
    { job: id, workspace, atMs, origin }: WorkRecord & { kind: "cancel" },
  ): void {
    const job = jobs.get(id);
    if (job === undefined) {
      earlyCancels.add({
        job: id,
        ...(workspace === undefined ? {} : { workspace }),
        atMs,
      });
      if (earlyCancels.has(id, workspace)) callOrigins.add(origin, id);
    } else if (isSameOwner(job.spec.workspace, workspace)) {
      endJob(job, "cancelled", atMs);
      callOrigins.add(origin, id);
    }
  }

  function applyGone(
    { life, atMs }: WorkRecord & { kind: "runnerGone" },
  ): void {
    const id = getRunnerId(life);
    const runner = runners.get(id);
    if (runner === undefined || formatIncarnation(runner) !== life) return;
    runners.delete(id);
    if (atMs === undefined) return;
    for (const known of [gone, drained]) {
      for (const [other, goneMs] of known) {
        if (atMs - goneMs > GONE_KEEP_MS) known.delete(other);
      }
    }
    gone.set(id, atMs);
    // If its start is unknown, its next incarnation has the same key.
    if (runner.isDraining && runner.startedMs !== 0) drained.set(life, atMs);
  }

  function applyRecord(record: WorkRecord): void {
    switch (record.kind) {
      case "configuration": {
        const isNewer = configuration === undefined ||
          record.configuration.version > configuration.version;
        if (isNewer) setConfiguration(record.configuration);
        break;
      }
      case "job": {
        const { id, workspace } = record.job;
        if (!jobs.has(id) && earlyCancels.has(id, workspace)) break;
        callOrigins.add(record.origin, id);
        if (jobs.has(id)) break;
        jobs.set(id, {
          spec: record.job,
          state: "queued",
          endedMs: 0,
          occurrences: {},
          doneOccurrences: 0,
        });
        break;
      }
      case "cancel":
        applyCancel(record);
        break;
      case "begun":
        for (const id of record.jobs) setBegun(jobs.get(id));
        break;
      case "start":
        applyStart(record);
        break;
      case "end":
        applyEnd(record);
        break;
      case "crash":
        applyCrash(record);
        break;
      case "runner": {
        const known = runners.get(record.runner.id);
        // A delayed announcement must not replace one of a newer incarnation or
        // with a higher sequence number.
        const isOlder = known !== undefined &&
          (known.startedMs > record.runner.startedMs ||
            (known.startedMs === record.runner.startedMs &&
              (record.runner.sequence ?? Infinity) < (known.sequence ?? -1)));
        if (!isOlder) runners.set(record.runner.id, record.runner);
        break;
      }
      case "runnerGone":
        applyGone(record);
        break;
      case "evacuation":
        evacuations.apply(record);
        break;
      case "forget":
        for (const id of record.jobs) jobs.delete(id);
        earlyCancels.remove(record.earlyCancels ?? []);
        for (const id of record.jobs) callOrigins.remove(id);
        for (const { job } of record.earlyCancels ?? []) {
          callOrigins.remove(job);
        }
        break;
    }
  }

  return {
    getConfiguration: () => configuration,
    findQueue: queues.find,
    findWorkspace: workspaces.find,
    listWorkspaces: workspaces.list,
    getJob: (id) => jobs.get(id),
    findRecordedCall: callOrigins.find,
    listJobs: () => jobs.values(),
    countRunners: () => runners.size,
    listRunners: () => runners.values(),
    getRunner: (id) => runners.get(id),
    getGoneMs: (id) => gone.get(id),
    hasDrained: (life) => drained.has(life),
    getOccurrence,
    getTask: findTask,
    listOpenTasks,
    listLeftRuns,
    hasEarlyCancel: earlyCancels.has,
    listEarlyCancels: earlyCancels.list,
    evacuations,
    setListener(next) {
      listener = next;
    },
    apply(command) {
      const records = JSON.parse(
        Buffer.from(command).toString("utf8"),
      ) as WorkRecord[];
      for (const record of records) {
        applyRecord(record);
        listener?.(record);
      }
      return undefined;
    },
    takeSnapshot() {
      const stored: StoredState = {
        configuration,
        jobs: [...jobs.values()],
        runners: [...runners.values()],
        gone: [...gone],
        drained: [...drained],
        earlyCancels: earlyCancels.list(),
        callOrigins: callOrigins.list(),
        evacuations: evacuations.list(),
        removedQueues: queues.listRemoved(),
        removedWorkspaces: workspaces.listRemoved(),
      };
      return Buffer.from(JSON.stringify(stored));
    },
    restoreSnapshot(data) {
      const stored = JSON.parse(
        Buffer.from(data).toString("utf8"),
      ) as StoredState;
      configuration = stored.configuration;
      queues.restore(configuration?.queues ?? [], stored.removedQueues ?? []);
      workspaces.restore(
        configuration?.workspaces ?? [],
        stored.removedWorkspaces ?? [],
      );
      jobs = new Map(stored.jobs.map((job) => [job.spec.id, job]));
      runners = new Map(stored.runners.map((runner) => [runner.id, runner]));
      gone = new Map(stored.gone ?? []);
      drained = new Map(stored.drained ?? []);
      earlyCancels.restore(stored.earlyCancels ?? []);
      callOrigins.restore(stored.callOrigins ?? []);
      evacuations.restore(stored.evacuations ?? []);
    },
  };
}
