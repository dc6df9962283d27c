/**
 * A fake worker for tests of the scheduler. It implements the worker's side of
 * the protocol: leases start when a report is sent and are measured by a slow
 * clock, late start commands are ignored, and ended tasks are reported until a
 * stop command with the reason "unknown" removes them.
 */

import type { Resources } from "../src/common/mod.ts";
import type {
  JobSpec,
  SchedulerAction,
  StartAction,
  TaskAttempt,
  WorkerReport,
  WorkerReportReply,
  WorkerTaskReport,
} from "../src/scheduling/mod.ts";

// Workers' clocks are slow by almost the allowed error, so their leases last longer.
const SLOW_CLOCK_FACTOR = 1.0099;

/** A task on a fake worker. */
export interface FakeTask extends TaskAttempt {
  readonly spec: JobSpec;
  state: WorkerTaskReport["state"];
  leaseUntilMs: number;
  limit: number | undefined;
  usage: Resources | undefined;
  readonly startedMs: number;
}

/** A fake worker. */
export interface FakeWorker {
  readonly id: string;
  readonly rack: string;
  readonly capacity: Resources;
  incarnation: number;
  sequence: number;
  /** Whether reports and commands get through. */
  isReachable: boolean;
  isDraining: boolean;
  readonly tasks: Map<string, FakeTask>;
  /** Keys of attempts that got a stop command; they are never started. */
  readonly stopped: Set<string>;
  /** Send times of the reports by sequence number, in milliseconds. */
  readonly sentAt: Map<number, number>;
  nextReportMs: number;
  lastReport: WorkerReport | undefined;
}

/** Creates a reachable worker without tasks. */
export function createFakeWorker(
  fields: Pick<FakeWorker, "id" | "rack" | "capacity">,
): FakeWorker {
  return {
    ...fields,
    incarnation: 1,
    sequence: 0,
    isReachable: true,
    isDraining: false,
    tasks: new Map(),
    stopped: new Set(),
    sentAt: new Map(),
    nextReportMs: 0,
    lastReport: undefined,
  };
}

/** Returns the key of a task. */
export function getTaskKey(
  { job, index }: { job: string; index: number },
): string {
  return `${job}#${index}`;
}

/** Returns the key of an attempt. */
export function getAttemptKey(attempt: TaskAttempt): string {
  return `${getTaskKey(attempt)}@${attempt.attempt}`;
}

/** Returns whether the task uses resources. */
export function isLive(task: FakeTask): boolean {
  return task.state === "running" || task.state === "starting";
}

/** Sums the resources that tasks use; a throttled task counts with its limit. */
export function computeUsed(
  tasks: Iterable<{ spec: JobSpec; limit: number | undefined }>,
): Resources {
  const used = { processors: 0, memoryMb: 0, accelerators: 0 };
  for (const { spec, limit } of tasks) {
    const { resources } = spec;
    used.processors += Math.min(resources.processors, limit ?? Infinity);
    used.memoryMb += resources.memoryMb;
    used.accelerators += resources.accelerators;
  }
  return used;
}

/** Starts a task, unless the command is late, duplicated or for an earlier incarnation. */
export function receiveStart(
  worker: FakeWorker,
  start: StartAction,
  nowMs: number,
): void {
  const key = getAttemptKey(start);
  if (worker.stopped.has(key) || worker.tasks.has(key)) return;
  if (worker.incarnation !== start.incarnation) return;
  const sentAt = worker.sentAt.get(start.sequence) ?? -Infinity;
  const leaseUntilMs = sentAt + start.leaseMs * SLOW_CLOCK_FACTOR;
  if (nowMs >= leaseUntilMs) return;
  worker.tasks.set(key, {
    job: start.job,
    index: start.index,
    attempt: start.attempt,
    spec: start.spec,
    state: "running",
    leaseUntilMs,
    limit: undefined,
    usage: undefined,
    startedMs: nowMs,
  });
}

/** Executes a stop, checkpoint or throttle command. */
export function receiveCommand(
  worker: FakeWorker,
  action: SchedulerAction,
  obeysCheckpoint: boolean,
): void {
  if (!("attempt" in action)) return;
  const key = getAttemptKey(action);
  const task = worker.tasks.get(key);
  if (action.type === "stop") {
    worker.stopped.add(key);
    if (task === undefined) return;
    if (isLive(task)) task.state = "stopped";
    else if (action.reason === "unknown") worker.tasks.delete(key);
  } else if (action.type === "checkpoint") {
    if (!obeysCheckpoint) return;
    if (task !== undefined && isLive(task)) task.state = "checkpointed";
  } else if (action.type === "throttle" && task !== undefined) {
    task.limit = action.processors;
  }
}

/** Builds the next report. */
export function buildReport(worker: FakeWorker, nowMs: number): WorkerReport {
  worker.sequence++;
  worker.sentAt.set(worker.sequence, nowMs);
  const tasks = [...worker.tasks.values()].map((task): WorkerTaskReport => ({
    job: task.job,
    index: task.index,
    attempt: task.attempt,
    state: task.state,
    ...(task.usage === undefined ? {} : { usage: task.usage }),
    ...(task.limit === undefined ? {} : { processorLimit: task.limit }),
  }));
  const { id, rack, incarnation, sequence, capacity, isDraining } = worker;
  worker.lastReport = {
    worker: id,
    rack,
    incarnation,
    sequence,
    capacity,
    tasks,
    draining: isDraining,
  };
  return worker.lastReport;
}

/** Renews leases, counted from the time at which the report was sent. */
export function receiveReply(
  worker: FakeWorker,
  reply: WorkerReportReply,
  sentAtMs: number,
): void {
  for (const attempt of reply.renewed) {
    const task = worker.tasks.get(getAttemptKey(attempt));
    if (task === undefined) continue;
    const untilMs = sentAtMs + reply.leaseMs * SLOW_CLOCK_FACTOR;
    task.leaseUntilMs = Math.max(task.leaseUntilMs, untilMs);
  }
}

/** Restarts the worker, which loses its tasks and all records of them. */
export function restartWorker(worker: FakeWorker): void {
  worker.incarnation++;
  worker.sequence = 0;
  worker.tasks.clear();
  worker.stopped.clear();
  worker.sentAt.clear();
}
