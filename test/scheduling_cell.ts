/**
 * A small simulated cell for tests of the scheduler: fake workers that measure
 * leases with their own clocks, a log that survives a leader change, and a
 * network that may delay or drop commands. It checks the invariants against the
 * tasks on the workers, not against the scheduler's own state.
 */

import {
  createSeededRandom,
  fitsWithin,
  type Random,
  type Resources,
} from "../src/common/mod.ts";
import {
  createScheduler,
  type JobSpec,
  type RestoredJob,
  type RestoredTask,
  type Scheduler,
  type SchedulerAction,
  type SchedulerOptions,
  type StartAction,
  type TaskAttempt,
  type WorkerReport,
} from "../src/scheduling/mod.ts";
import {
  buildReport,
  computeUsed,
  createFakeWorker,
  type FakeTask,
  type FakeWorker,
  getAttemptKey,
  getTaskKey,
  isLive,
  receiveCommand,
  receiveReply,
  receiveStart,
} from "./fake_worker.ts";

export type { FakeTask, FakeWorker };

const REPORT_INTERVAL_MS = 1_000;

/** Options of a cell. */
export interface CellOptions {
  readonly seed?: number;
  readonly scheduler?: Partial<SchedulerOptions>;
  /** Whether a fake task obeys a checkpoint command. Default true. */
  readonly obeysCheckpoint?: boolean;
  /** Called for each live task in every step; ends the task when it returns a state. */
  readonly runTask?: (
    task: FakeTask,
    worker: FakeWorker,
    nowMs: number,
  ) => "finished" | "failed" | undefined;
  /** Whether each assignment is confirmed in the step that proposes it. Default true. */
  readonly confirmsAtOnce?: boolean;
}

/** What the log has recorded about a task. */
interface TaskLog {
  attempt: number;
  failures: number;
  state?: "finished" | "failed" | "cancelled" | "checkpointed";
  worker?: string;
}

/** A simulated cell. */
export interface Cell {
  readonly random: Random;
  getScheduler(): Scheduler;
  readonly workers: Map<string, FakeWorker>;
  readonly actions: SchedulerAction[];
  /** Proposed assignments that are not confirmed. */
  readonly pending: TaskAttempt[];
  /** Violated invariants. */
  readonly errors: string[];
  getNowMs(): number;
  addWorker(id: string, capacity: Resources, rack?: string): FakeWorker;
  addJob(spec: Partial<JobSpec> & { id: string }): JobSpec;
  cancelJob(id: string): boolean;
  setWorkspace(workspace: string, allotment: Resources, weight?: number): void;
  confirm(attempt: TaskAttempt): void;
  abandon(attempt: TaskAttempt): void;
  /** Replaces the scheduler by a new one restored from the log, as after a leader change. */
  restore(): void;
  /** Sends a report of the worker now. */
  sendReport(worker: FakeWorker): void;
  /** Delivers an earlier report again. */
  sendOldReport(report: WorkerReport): void;
  /** Advances time in steps of `stepMs`. */
  advance(ms: number, stepMs?: number): void;
  setNetwork(network: { dropEvery?: number; delayMs?: number }): void;
  listRunning(): { worker: FakeWorker; task: FakeTask }[];
  end(task: FakeTask, state: "finished" | "failed"): void;
}

/** Builds an amount of whole cores, gibibytes and accelerators. */
export function buildResources(
  cores: number,
  memoryGb = cores,
  accelerators = 0,
): Resources {
  return {
    processors: cores * 1_000,
    memoryMb: memoryGb * 1_024,
    accelerators,
  };
}

/** More than any test uses. */
export const AMPLE_RESOURCES: Resources = buildResources(1e6, 1e6, 1e6);

/** Creates an empty cell at time 1,000,000 ms. */
export function createCell(options: CellOptions = {}): Cell {
  const random = createSeededRandom(options.seed ?? 1);
  let nowMs = 1_000_000;
  let scheduler = build();
  const workers = new Map<string, FakeWorker>();
  const jobs = new Map<
    string,
    { spec: JobSpec; cancelled: boolean; ended: boolean }
  >();
  const log = new Map<string, TaskLog>();
  const workspaces = new Map<
    string,
    { allotment: Resources; weight: number }
  >();
  const actions: SchedulerAction[] = [];
  const pending: TaskAttempt[] = [];
  const proposals = new Map<string, { attempt: number; worker: string }>();
  const errors: string[] = [];
  /** Attempts whose start was sent and whose end is not recorded. */
  const started = new Map<string, StartAction>();
  const inFlight: { dueMs: number; deliver: () => void }[] = [];
  let network: { dropEvery?: number; delayMs?: number } = {};
  let sent = 0;

  function build(): Scheduler {
    return createScheduler({ random, ...options.scheduler });
  }

  function send(deliver: () => void): void {
    sent++;
    if (network.dropEvery !== undefined && sent % network.dropEvery === 0) {
      return;
    }
    const delayMs = network.delayMs ?? 0;
    if (delayMs === 0) return deliver();
    inFlight.push({ dueMs: nowMs + random.nextInt(delayMs), deliver });
  }

  function checkRunning(where: string): void {
    const seen = new Map<string, string>();
    for (const { id, tasks, capacity } of workers.values()) {
      const live = [...tasks.values()].filter(isLive);
      for (const task of live) {
        const key = getTaskKey(task);
        const other = seen.get(key);
        if (other !== undefined) {
          errors.push(`${where}: task ${key} runs on ${other} and ${id}`);
        }
        seen.set(key, id);
      }
      if (fitsWithin(computeUsed(live), capacity)) continue;
      errors.push(`${where}: worker ${id} runs more than its capacity`);
    }
  }

  function checkAllotment({ spec }: StartAction): void {
    const workspace = workspaces.get(spec.workspace);
    const peers = [...started.values()].filter((other) =>
      other.spec.workspace === spec.workspace
    );
    const used = computeUsed(peers.map((other) => {
      const task = workers.get(other.worker)?.tasks.get(getAttemptKey(other));
      return { spec: other.spec, limit: task?.limit };
    }));
    if (workspace !== undefined && fitsWithin(used, workspace.allotment)) {
      return;
    }
    errors.push(
      `a start takes workspace ${spec.workspace} above its allotment`,
    );
  }

  function sendCommand(action: SchedulerAction): void {
    if (!("worker" in action) || action.worker === undefined) return;
    const worker = workers.get(action.worker);
    send(() => {
      if (worker === undefined || !worker.isReachable) return;
      if (action.type === "start") receiveStart(worker, action, nowMs);
      else receiveCommand(worker, action, options.obeysCheckpoint ?? true);
      checkRunning("command");
    });
  }

  function recordEnd(action: SchedulerAction): void {
    if (action.type !== "endTask") return;
    const key = getTaskKey(action);
    const known = log.get(key);
    if (known?.state !== undefined && known.state !== "checkpointed") {
      errors.push(`task ${key} ended twice`);
    }
    const entry: TaskLog = {
      attempt: action.attempt,
      failures: action.failures,
    };
    if (action.final) {
      const { outcome } = action;
      if (
        outcome !== "finished" && outcome !== "failed" &&
        outcome !== "cancelled"
      ) {
        errors.push(`task ${key} has the final outcome ${outcome}`);
      } else entry.state = outcome;
    } else if (
      action.outcome === "checkpointed" || known?.state === "checkpointed"
    ) {
      entry.state = "checkpointed";
    }
    log.set(key, entry);
    proposals.delete(key);
    started.delete(key);
  }

  function confirm(attempt: TaskAttempt): void {
    const key = getTaskKey(attempt);
    const proposal = proposals.get(key);
    if (proposal?.attempt === attempt.attempt) {
      const known = log.get(key);
      log.set(key, {
        attempt: attempt.attempt,
        failures: known?.failures ?? 0,
        worker: proposal.worker,
        ...(known?.state === "checkpointed" ? { state: known.state } : {}),
      });
      proposals.delete(key);
    }
    scheduler.confirmAssignment(attempt);
  }

  /** Checks, after the last start of a gang in a step, that each task has been started or has ended for good. */
  function checkGang(job: string): void {
    const { spec } = jobs.get(job)!;
    for (let index = 0; index < spec.tasks; index++) {
      const key = getTaskKey({ job, index });
      const known = log.get(key);
      const hasEnded = known?.state !== undefined &&
        known.state !== "checkpointed";
      if (hasEnded || started.has(key)) continue;
      errors.push(`gang ${job} started without task ${index}`);
    }
  }

  function isLastStart(
    emitted: readonly SchedulerAction[],
    start: StartAction,
  ): boolean {
    const last = emitted.findLast((action) =>
      action.type === "start" && action.job === start.job
    );
    return start.spec.policy === "gang" && last === start;
  }

  function handle(emitted: readonly SchedulerAction[]): void {
    for (const action of emitted) {
      actions.push(action);
      if (action.type === "assign") {
        proposals.set(getTaskKey(action), {
          attempt: action.attempt,
          worker: action.worker,
        });
        pending.push(action);
      } else if (action.type === "start") {
        const known = log.get(getTaskKey(action));
        if (
          known?.worker !== action.worker || known.attempt !== action.attempt
        ) {
          errors.push(`start of ${getTaskKey(action)} was not recorded`);
        }
        started.set(getTaskKey(action), action);
        checkAllotment(action);
        if (isLastStart(emitted, action)) checkGang(action.job);
        sendCommand(action);
      } else if (action.type === "endJob") {
        const job = jobs.get(action.job)!;
        if (job.ended) errors.push(`job ${action.job} ended twice`);
        job.ended = true;
      } else if (action.type === "endTask") recordEnd(action);
      else sendCommand(action);
    }
    if (options.confirmsAtOnce === false) return;
    for (const attempt of pending.splice(0)) confirm(attempt);
  }

  function checkCommitments(): void {
    for (const id of workers.keys()) {
      const status = scheduler.getWorker(id);
      if (status === undefined) continue;
      const { committed, capacity } = status;
      // After a leader change the capacity is unknown until the first report.
      if (capacity.processors === 0) continue;
      if (fitsWithin(committed, capacity)) continue;
      errors.push(`worker ${id} is committed beyond its capacity`);
    }
  }

  function sendReport(worker: FakeWorker): void {
    worker.nextReportMs = nowMs + REPORT_INTERVAL_MS;
    const sentAtMs = nowMs;
    const report = buildReport(worker, nowMs);
    if (!worker.isReachable) return;
    send(() => {
      const reply = scheduler.receiveWorkerReport(report, nowMs);
      send(() => {
        if (worker.isReachable) receiveReply(worker, reply, sentAtMs);
      });
    });
  }

  function runWorkers(): void {
    for (const worker of workers.values()) {
      for (const task of worker.tasks.values()) {
        if (!isLive(task)) continue;
        if (nowMs >= task.leaseUntilMs) task.state = "stopped";
        else task.state = options.runTask?.(task, worker, nowMs) ?? task.state;
      }
      if (nowMs >= worker.nextReportMs) sendReport(worker);
    }
  }

  function deliverDue(): void {
    const due = inFlight.filter((message) => message.dueMs <= nowMs);
    const later = inFlight.filter((message) => message.dueMs > nowMs);
    inFlight.splice(0, inFlight.length, ...later);
    for (const message of due) message.deliver();
  }

  return {
    random,
    getScheduler: () => scheduler,
    workers,
    actions,
    pending,
    errors,
    getNowMs: () => nowMs,
    addWorker(id, capacity, rack = "r0") {
      const worker = createFakeWorker({ id, rack, capacity });
      workers.set(id, worker);
      sendReport(worker);
      return worker;
    },
    addJob(partial) {
      const spec: JobSpec = {
        workspace: "a",
        policy: "batch",
        tasks: 1,
        resources: buildResources(1),
        urgent: false,
        maxAttempts: 3,
        submittedAt: nowMs,
        ...partial,
      };
      jobs.set(spec.id, { spec, cancelled: false, ended: false });
      scheduler.addJob(spec);
      return spec;
    },
    cancelJob(id) {
      const job = jobs.get(id);
      if (job !== undefined) job.cancelled = true;
      return scheduler.cancelJob(id);
    },
    setWorkspace(workspace, allotment, weight = 1) {
      workspaces.set(workspace, { allotment, weight });
      scheduler.setWorkspace({ workspace, allotment, weight });
    },
    confirm,
    abandon(attempt) {
      proposals.delete(getTaskKey(attempt));
      scheduler.abandonAssignment(attempt);
    },
    restore() {
      scheduler = build();
      proposals.clear();
      pending.length = 0;
      for (const [workspace, settings] of workspaces) {
        scheduler.setWorkspace({ workspace, ...settings });
      }
      const assignments = [];
      const restored: RestoredJob[] = [];
      for (const [id, { spec, cancelled }] of jobs) {
        const tasks: RestoredTask[] = [];
        for (let index = 0; index < spec.tasks; index++) {
          const known = log.get(getTaskKey({ job: id, index }));
          if (known === undefined) continue;
          const { attempt, failures, state, worker } = known;
          tasks.push({
            index,
            attempt,
            failures,
            ...(state === undefined ? {} : { state }),
          });
          if (worker !== undefined) {
            assignments.push({ job: id, index, attempt, worker });
          }
        }
        restored.push({ spec, cancelled, tasks });
      }
      scheduler.restore(restored, assignments, nowMs);
    },
    sendReport,
    sendOldReport: (report) =>
      void scheduler.receiveWorkerReport(report, nowMs),
    advance(ms, stepMs = 100) {
      for (const untilMs = nowMs + ms; nowMs < untilMs;) {
        nowMs = Math.min(untilMs, nowMs + stepMs);
        deliverDue();
        runWorkers();
        handle(scheduler.step(nowMs));
        checkCommitments();
        checkRunning("step");
      }
    },
    setNetwork: (value) => void (network = value),
    listRunning: () =>
      [...workers.values()].flatMap((worker) =>
        [...worker.tasks.values()].filter(isLive).map((task) => ({
          worker,
          task,
        }))
      ),
    end: (task, state) => void (task.state = state),
  };
}
