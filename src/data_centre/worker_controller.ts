/**
 * Controller of the workers of a data centre for one leadership. It passes
 * worker reports to the scheduler, commits the scheduler's decisions to the data
 * centre log and only then executes them. One reconciliation runs at a time.
 */

import {
  type Clock,
  createFault,
  type Logger,
  type Timer,
} from "../common/mod.ts";
import type {
  JobExplanation,
  JobSpec,
  RestoredJob,
  RestoredTask,
  Scheduler,
  SchedulerAction,
  TaskAttempt,
} from "../scheduling/types.ts";
import type {
  WorkerAnnouncement,
  WorkerAnnouncementReply,
} from "./announcements.ts";
import { formatAttempt } from "./attempt_name.ts";
import type {
  JobCommand,
  JobCommandResult,
  JobRecord,
  JobRecords,
  RecordedJobSpec,
  TaskOutcome,
} from "./job_records.ts";
import type { WorkerCommand } from "./worker_commands.ts";

/** Time between reconciliations without events, in milliseconds. */
const IDLE_STEP_MS = 50;

/** Time without announcements after which a worker is removed, in milliseconds. */
export const WORKER_REMOVAL_MS = 30_000;

/** Options of the controller. */
export interface WorkerControllerOptions {
  /** Term of the leadership. */
  epoch: number;
  scheduler: Scheduler;
  records: JobRecords;
  clock: Clock;
  logger: Logger;
  /** Appends commands to the data centre log; resolves to their results once they are applied. */
  propose: (
    commands: readonly JobCommand[],
  ) => Promise<readonly JobCommandResult[]>;
  /** Returns whether this instance may still act as the leader. */
  holdsLease: () => boolean;
  sendCommand: (address: string, command: WorkerCommand) => void;
  /** Called for each start command, with the time since submission in milliseconds. */
  handleStart?: (spec: JobSpec, waitedMs: number) => void;
  /** Called with the mean duration of a placement decision, in milliseconds. */
  handlePlacement?: (durationMs: number) => void;
  /** Called for each recorded end of an attempt. */
  handleEnd?: (outcome: TaskOutcome) => void;
  /**
   * Called when a proposal fails, since its outcome may be unknown, or when the
   * records reject an assignment. The controllers must then be rebuilt.
   */
  handleFailure: (error: unknown) => void;
}

/** Controller of the workers of a data centre. */
export interface WorkerController {
  /** Processes a worker's announcement and returns the renewed leases. */
  receiveAnnouncement(
    announcement: WorkerAnnouncement,
  ): WorkerAnnouncementReply;
  /** Passes a recorded job to the scheduler. */
  addJob(spec: RecordedJobSpec): void;
  /** Explains where a new job would be placed; see `Scheduler.explainJob`. */
  explainJob(spec: RecordedJobSpec): JobExplanation;
  /** Passes a recorded cancellation to the scheduler. */
  cancelJob(job: string): void;
  /** Returns the known workers; `silentMs` is the time since the last announcement. */
  listWorkers(): { worker: string; address: string; silentMs: number }[];
  stop(): void;
}

interface WorkerEntry {
  address: string;
  lastSeenMs: number;
}

/** Converts the recorded tasks of a job to the form that restores a scheduler. */
export function toRestoredTasks(record: JobRecord): RestoredTask[] {
  return [...record.tasks].map(([index, task]) => {
    const isWaiting = task.outcome === "checkpointed";
    const state = task.final || isWaiting ? task.outcome : undefined;
    const isKept = state === "finished" || state === "failed" ||
      state === "cancelled" || state === "checkpointed";
    return {
      index,
      attempt: task.attempt,
      failures: task.failures,
      ...(isKept ? { state } : {}),
    };
  });
}

function toCommand(action: SchedulerAction): JobCommand | undefined {
  switch (action.type) {
    case "assign":
      return {
        type: "assign",
        job: action.job,
        index: action.index,
        attempt: action.attempt,
        worker: action.worker,
      };
    case "endTask":
      return {
        type: "endTask",
        job: action.job,
        index: action.index,
        attempt: action.attempt,
        outcome: action.outcome,
        final: action.final,
        failures: action.failures,
        ...(action.exitCode === undefined ? {} : { exitCode: action.exitCode }),
      };
    case "endJob":
      return { type: "endJob", job: action.job, state: action.state };
    default:
      return undefined;
  }
}

/**
 * Throws if the records rejected an assignment. The task is then assigned to
 * another worker or has ended, and starting it would run it a second time.
 */
function checkAssignments(
  commands: readonly JobCommand[],
  results: readonly JobCommandResult[],
): void {
  for (const [at, command] of commands.entries()) {
    if (command.type !== "assign" || results[at] === "applied") continue;
    const { job, index, attempt, worker } = command;
    const name = formatAttempt({ job, index, attempt });
    throw createFault(
      "internal",
      `Cannot assign task "${name}" to worker "${worker}": the command result is "${
        results[at]
      }"`,
    );
  }
}

/** Creates the controller and restores the scheduler state from the records. */
export function createWorkerController(
  options: WorkerControllerOptions,
): WorkerController {
  const { clock, scheduler, epoch } = options;
  const workers = new Map<string, WorkerEntry>();
  let isRunning = false;
  let isRequested = false;
  let isStopped = false;
  let timer: Timer | undefined;

  function toMonotonic(wallMs: number): number {
    return clock.now() - Math.max(0, clock.wallTime() - wallMs);
  }

  function toSpec(spec: RecordedJobSpec) {
    const { submittedWallMs, ...rest } = spec;
    return { ...rest, submittedAt: toMonotonic(submittedWallMs) };
  }

  function restore(): void {
    const jobs: RestoredJob[] = [];
    const assignments: (TaskAttempt & { worker: string })[] = [];
    for (const record of options.records.listOpen()) {
      const job = record.spec.id;
      jobs.push({
        spec: toSpec(record.spec),
        ...(record.cancelled ? { cancelled: true } : {}),
        tasks: toRestoredTasks(record),
      });
      for (const [index, { attempt, worker }] of record.tasks) {
        if (worker !== undefined) {
          assignments.push({ job, index, attempt, worker });
        }
      }
    }
    scheduler.restore(jobs, assignments, clock.now());
  }

  function sendAction(action: SchedulerAction): void {
    if (!("worker" in action) || action.worker === undefined) return;
    const address = workers.get(action.worker)?.address;
    if (address === undefined) return;
    const send = (name: WorkerCommand["name"], body: object) =>
      options.sendCommand(address, {
        name,
        body: { task: formatAttempt(action), epoch, ...body },
      });
    switch (action.type) {
      case "start":
        options.handleStart?.(
          action.spec,
          clock.now() - action.spec.submittedAt,
        );
        return send("start", {
          workspace: action.spec.workspace,
          policy: action.spec.policy,
          resources: action.spec.resources,
          payload: action.spec.payload ?? null,
          fromCheckpoint: action.fromCheckpoint,
          incarnation: action.incarnation,
          sequence: action.sequence,
          leaseMs: action.leaseMs,
        });
      case "stop":
      case "checkpoint":
        return send(action.type, { reason: action.reason });
      case "throttle":
        return send("throttle", {
          processors: action.processors,
          reason: action.reason,
        });
    }
  }

  function logNeverRunnable(actions: readonly SchedulerAction[]): void {
    for (const action of actions) {
      if (action.type !== "neverRunnable") continue;
      options.logger.warn("Job cannot run on any worker of the fleet", {
        job: action.job,
        reasons: action.reasons,
      });
    }
  }

  /** Commits the changes of the actions to the log, then executes them. */
  async function runActions(
    actions: readonly SchedulerAction[],
  ): Promise<void> {
    logNeverRunnable(actions);
    const commands = actions.map(toCommand).filter((c) => c !== undefined);
    if (commands.length > 0) {
      checkAssignments(commands, await options.propose(commands));
    }
    for (const command of commands) {
      if (command.type === "endTask") options.handleEnd?.(command.outcome);
    }
    // The lease check is not enough: the lease stays valid when the controllers
    // are rebuilt in the same epoch, from records that may lack this proposal.
    if (isStopped || !options.holdsLease()) return;
    for (const action of actions) {
      if (action.type === "assign") scheduler.confirmAssignment(action);
      else sendAction(action);
    }
    if (commands.length > 0) isRequested = true;
  }

  function removeUnresponsiveWorkers(): void {
    const nowMs = clock.now();
    for (const [worker, entry] of workers) {
      if (nowMs - entry.lastSeenMs <= WORKER_REMOVAL_MS) continue;
      workers.delete(worker);
      scheduler.removeWorker(worker);
      options.logger.warn("Removed an unresponsive worker", { worker });
    }
  }

  function runStep(): SchedulerAction[] {
    const startMs = clock.now();
    const actions = scheduler.step(startMs);
    const placed = actions.filter(({ type }) => type === "assign").length;
    if (placed > 0) {
      options.handlePlacement?.((clock.now() - startMs) / placed);
    }
    return actions;
  }

  async function reconcile(): Promise<void> {
    isRunning = true;
    try {
      do {
        isRequested = false;
        if (isStopped || !options.holdsLease()) break;
        removeUnresponsiveWorkers();
        await runActions(runStep());
      } while (isRequested);
    } catch (error) {
      stop();
      options.handleFailure(error);
    } finally {
      isRunning = false;
      setStepTimer();
    }
  }

  function setStepTimer(): void {
    timer?.cancel();
    if (isStopped) return;
    timer = clock.setTimer(IDLE_STEP_MS, startStep);
  }

  function startStep(): void {
    isRequested = true;
    if (!isRunning && !isStopped) void reconcile();
  }

  function stop(): void {
    isStopped = true;
    timer?.cancel();
  }

  restore();
  setStepTimer();

  return {
    receiveAnnouncement(announcement) {
      workers.set(announcement.worker, {
        address: announcement.address,
        lastSeenMs: clock.now(),
      });
      const reply = scheduler.receiveWorkerReport(announcement, clock.now());
      startStep();
      return {
        epoch,
        leaseMs: reply.leaseMs,
        renewed: reply.renewed.map(formatAttempt),
      };
    },
    addJob(spec) {
      scheduler.addJob(toSpec(spec));
      startStep();
    },
    explainJob: (spec) => scheduler.explainJob(toSpec(spec)),
    cancelJob(job) {
      scheduler.cancelJob(job);
      startStep();
    },
    listWorkers: () =>
      [...workers].map(([worker, entry]) => ({
        worker,
        address: entry.address,
        silentMs: clock.now() - entry.lastSeenMs,
      })),
    stop,
  };
}
