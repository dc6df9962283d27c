/**
 * Lists the steps with tasks that may start now: the job is open, the occurrence
 * is due, earlier steps are done, and tasks are waiting. A change only marks the
 * occurrence that it concerns; the next listing updates each marked one once. So a
 * planning round visits no unchanged jobs, and its cost grows with what has changed
 * rather than with the number of changes times the size of a job.
 */

import type { Clock } from "../common/mod.ts";
import { DEFAULT_JOB_LIMITS } from "./job_limits.ts";
import type { OpenStep } from "./plan_types.ts";
import type { RunTimes } from "./run_times.ts";
import {
  type EligibilityTimes,
  formatStep,
  type JobSpec,
  type QueueSettings,
} from "./types.ts";
import {
  countCrashes,
  countOccurrences,
  isOpenJob,
  type JobState,
  TASK_STATUS,
  type TaskState,
  type WorkState,
} from "./work_state.ts";
import type { WorkspaceUsageTracker } from "./workspace_use.ts";

/** Multiple of the objective after which a job has no value; from the platform's rules. */
const ZERO_VALUE_FACTOR = 3;

/** Slowdown factor below which a single slow run makes a job late. */
const TIGHT_SLOWDOWN_FACTOR = 2;

/** Settings of a queue that was removed before its settings were retained, by an older version. */
const REMOVED_QUEUE_DEFAULTS = Object.freeze({
  priority: 9,
  slowdownFactor: 10,
  targetMs: 0,
});

/** Options of the list. */
export interface OpenStepsOptions {
  state: WorkState;
  clock: Clock;
  workspaces: Pick<WorkspaceUsageTracker, "isExcess">;
  runTimes: Pick<RunTimes, "estimateMs">;
  /** Returns the assumed times of the eligibility service for a queue without settings of it; undefined if its starts need no tickets. */
  findAssumedEligibility: (queue: string) => EligibilityTimes | undefined;
  /**
   * Maximum occurrences of one job that are open at once. Others that are due follow in
   * their order as these start, so that a long overdue schedule does not fill the rounds.
   * Default: the one of `DEFAULT_JOB_LIMITS`.
   */
  maxOpenOccurrences?: number | undefined;
}

/** The open steps of all jobs. */
export interface OpenSteps {
  list(): OpenStep[];
  /** Counts the jobs that have open steps. */
  count(): number;
  /** Marks one occurrence of a job as changed, or all open ones. */
  refresh(job: string, occurrence?: number): void;
  refreshAll(): void;
  /** Updates the jobs with repetitions and with tasks that pause; returns whether a step has become open. */
  refreshTimed(): boolean;
  /** Hides tasks while their start is being recorded. */
  setPlanned(step: OpenStep, indexes: readonly number[]): void;
  clearPlanned(step: OpenStep, indexes: readonly number[]): void;
}

/** Estimated run times and work of a job. */
export interface JobEstimate {
  /** Length of the critical path in milliseconds. */
  readonly chainMs: number;
  /** Time from the start of a step to the end of the job, by step, in milliseconds. */
  readonly remainingMs: readonly number[];
  /** Work of one task, by step, in millicore-milliseconds. */
  readonly taskWork: readonly number[];
  /** Work of all tasks, in millicore-milliseconds. */
  readonly work: number;
}

/** Estimates a job from the estimated times of its tasks. */
export function estimateJob(
  spec: JobSpec,
  estimateMs: (declaredMs: number) => number,
): JobEstimate {
  const timesMs = spec.steps.map((step) => estimateMs(step.estimatedMs));
  const remainingMs = [...timesMs];
  // Steps only depend on earlier ones, so the last steps are processed first.
  for (let number = spec.steps.length - 1; number >= 0; number -= 1) {
    for (const before of spec.steps[number]?.after ?? []) {
      remainingMs[before] = Math.max(
        remainingMs[before] ?? 0,
        (timesMs[before] ?? 0) + (remainingMs[number] ?? 0),
      );
    }
  }
  const taskWork = spec.steps.map(({ resources }, number) =>
    resources.processors * (timesMs[number] ?? 0)
  );
  return {
    chainMs: Math.max(0, ...remainingMs),
    remainingMs,
    taskWork,
    work: spec.steps.reduce(
      (sum, { tasks }, number) => sum + tasks * (taskWork[number] ?? 0),
      0,
    ),
  };
}

/** Computes the wall times at which an occurrence of a job is late and without value, in milliseconds. */
export function computeTimes(
  spec: JobSpec,
  queue: QueueSettings | undefined,
  { occurrence, chainMs }: { occurrence: number; chainMs: number },
): { dueMs: number; zeroValueMs: number } {
  const { slowdownFactor, targetMs } = queue ?? REMOVED_QUEUE_DEFAULTS;
  const fromMs = spec.repetitions === 0
    ? spec.submittedMs
    : spec.firstRunMs + occurrence * spec.intervalMs;
  const objectiveMs = slowdownFactor * chainMs + targetMs;
  return {
    dueMs: fromMs + objectiveMs,
    zeroValueMs: fromMs + ZERO_VALUE_FACTOR * objectiveMs,
  };
}

/** Tells whether a task pauses after it has crashed several runners. */
function isPaused({ restartMs = 0 }: TaskState, wallMs: number): boolean {
  return restartMs > wallMs;
}

function countWaiting(tasks: readonly TaskState[]): number {
  let count = 0;
  for (const { status } of tasks) {
    if (status === TASK_STATUS.waiting) count += 1;
  }
  return count;
}

/** The open steps of one job. */
interface JobSteps {
  /** By occurrence; only those with open steps. */
  readonly open: Map<number, readonly OpenStep[]>;
  /** Occurrences with tasks that pause. */
  readonly paused: Set<number>;
  /** Occurrences to be listed anew. */
  readonly changed: Set<number>;
  /** First occurrence that has not been opened. */
  nextOccurrence: number;
}

function createJobSteps(): JobSteps {
  return {
    open: new Map(),
    paused: new Set(),
    changed: new Set(),
    nextOccurrence: 0,
  };
}

/** Creates an empty list. */
export function createOpenSteps(options: OpenStepsOptions): OpenSteps {
  const {
    state,
    clock,
    workspaces,
    runTimes,
    maxOpenOccurrences = DEFAULT_JOB_LIMITS.maxOpenOccurrences,
  } = options;
  const byJob = new Map<string, JobSteps>();
  /** Those with open steps. */
  const openJobs = new Map<string, JobSteps>();
  /** Jobs with steps that open without a record. */
  const timedJobs = new Set<string>();
  /** Jobs to be updated before the next listing. */
  const changedJobs = new Set<string>();
  const planned = new Map<string, Set<number>>();

  function countDue(job: JobState): number {
    const { repetitions, firstRunMs, intervalMs } = job.spec;
    if (repetitions === 0) return 1;
    const passedMs = clock.wallTime() - firstRunMs;
    if (passedMs < 0) return 0;
    const due = intervalMs > 0 ? Math.floor(passedMs / intervalMs) + 1 : 1;
    return Math.min(countOccurrences(job.spec), due);
  }

  function listOccurrence(
    job: JobState,
    occurrence: number,
    steps: JobSteps,
  ): OpenStep[] {
    const { spec } = job;
    steps.paused.delete(occurrence);
    if (job.occurrences[occurrence]?.isDone === true) return [];
    const queue = state.findQueue(spec.queue);
    const recorded = state.getOccurrence(job, occurrence);
    const wallMs = clock.wallTime();
    const estimate = estimateJob(
      spec,
      (declaredMs) => runTimes.estimateMs(spec.queue, declaredMs),
    );
    const remainingWork = recorded.steps.reduce(
      (sum, { tasks }, number) =>
        sum + countWaiting(tasks) * (estimate.taskWork[number] ?? 0),
      0,
    );
    const times = computeTimes(spec, queue, {
      occurrence,
      chainMs: estimate.chainMs,
    });
    const open: OpenStep[] = [];
    spec.steps.forEach((step, number) => {
      const stepState = recorded.steps[number];
      if (stepState === undefined) return;
      const isReady = step.after.every((before) => {
        const other = recorded.steps[before];
        return other !== undefined && other.done === other.tasks.length;
      });
      if (!isReady) return;
      const key = formatStep({ job: spec.id, occurrence, step: number });
      const hidden = planned.get(key);
      const waiting: number[] = [];
      stepState.tasks.forEach((task, index) => {
        const isWaiting = task.status === TASK_STATUS.waiting &&
          !hidden?.has(index);
        if (!isWaiting) return;
        if (isPaused(task, wallMs)) steps.paused.add(occurrence);
        else waiting.push(index);
      });
      // A gang starts as a whole, so it waits until its last run has ended on all
      // members.
      const isPartial = step.gang && waiting.length < stepState.tasks.length;
      if (waiting.length === 0 || isPartial) return;
      open.push({
        key,
        job: spec.id,
        occurrence,
        step: number,
        spec: step,
        pool: queue?.pool ?? spec.pool,
        workspace: spec.workspace,
        priority: queue?.priority ?? REMOVED_QUEUE_DEFAULTS.priority,
        isTight:
          (queue?.slowdownFactor ?? REMOVED_QUEUE_DEFAULTS.slowdownFactor) <
            TIGHT_SLOWDOWN_FACTOR,
        ...times,
        remainingMs: estimate.remainingMs[number] ?? 0,
        work: estimate.work,
        remainingWork,
        isExcess: workspaces.isExcess(spec.id),
        eligibility: queue?.eligibility ??
          options.findAssumedEligibility(spec.queue),
        isRestart: step.longRunning &&
          waiting.some((index) => (stepState.tasks[index]?.run ?? 0) > 0),
        isSuspect: waiting.some((index) =>
          countCrashes(stepState.tasks[index]) > 0
        ),
        queue: spec.queue,
        isConfined: false,
        waiting,
      });
    });
    return open;
  }

  function updateOccurrence(
    job: JobState,
    occurrence: number,
    steps: JobSteps,
  ): void {
    const open = listOccurrence(job, occurrence, steps);
    if (open.length === 0) steps.open.delete(occurrence);
    else steps.open.set(occurrence, open);
  }

  /** Opens occurrences that are due. */
  function openDue(job: JobState, steps: JobSteps): void {
    const due = countDue(job);
    while (
      steps.nextOccurrence < due && steps.open.size < maxOpenOccurrences
    ) {
      updateOccurrence(job, steps.nextOccurrence, steps);
      steps.nextOccurrence += 1;
    }
  }

  function updateJob(id: string): void {
    const job = state.getJob(id);
    if (job === undefined || !isOpenJob(job)) {
      for (const list of [byJob, openJobs, timedJobs]) list.delete(id);
      return;
    }
    const steps = byJob.get(id) ?? createJobSteps();
    byJob.set(id, steps);
    for (const occurrence of steps.changed) {
      updateOccurrence(job, occurrence, steps);
    }
    steps.changed.clear();
    openDue(job, steps);
    if (steps.open.size > 0) openJobs.set(id, steps);
    else openJobs.delete(id);
    const isTimed = job.spec.repetitions > 0 || steps.paused.size > 0;
    if (isTimed) timedJobs.add(id);
    else timedJobs.delete(id);
  }

  function updateChanged(): void {
    for (const id of changedJobs) updateJob(id);
    changedJobs.clear();
  }

  function setChanged(id: string, occurrence?: number): void {
    changedJobs.add(id);
    const steps = byJob.get(id);
    if (steps === undefined) return;
    if (occurrence === undefined) {
      for (const known of steps.open.keys()) steps.changed.add(known);
      for (const known of steps.paused) steps.changed.add(known);
    } else if (occurrence < steps.nextOccurrence) {
      steps.changed.add(occurrence);
    }
  }

  function countSteps(id: string): number {
    let count = 0;
    for (const open of openJobs.get(id)?.open.values() ?? []) {
      count += open.length;
    }
    return count;
  }

  return {
    list() {
      updateChanged();
      return [...openJobs.values()].flatMap(({ open }) =>
        [...open.values()].flat()
      );
    },
    count() {
      updateChanged();
      return openJobs.size;
    },
    refresh: setChanged,
    refreshAll() {
      for (const job of state.listJobs()) setChanged(job.spec.id);
    },
    refreshTimed() {
      updateChanged();
      let hasNew = false;
      for (const id of [...timedJobs]) {
        const before = countSteps(id);
        setChanged(id);
        updateJob(id);
        changedJobs.delete(id);
        if (countSteps(id) > before) hasNew = true;
      }
      return hasNew;
    },
    setPlanned(step, indexes) {
      let hidden = planned.get(step.key);
      if (hidden === undefined) planned.set(step.key, hidden = new Set());
      for (const index of indexes) hidden.add(index);
      setChanged(step.job, step.occurrence);
    },
    clearPlanned(step, indexes) {
      const hidden = planned.get(step.key);
      for (const index of indexes) hidden?.delete(index);
      if (hidden?.size === 0) planned.delete(step.key);
      setChanged(step.job, step.occurrence);
    },
  };
}
