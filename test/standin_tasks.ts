/** Tasks of a worker stub: timers that end with their lease at the latest. */

/** Amounts of resources, as announced. */
export interface StubResources {
  /** Thousandths of a core. */
  readonly processors: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** What a task of the worker stub does. */
export interface StubPayload {
  /** Run time at full speed, in milliseconds. Default 1000. */
  readonly runMs?: number;
  /** Exit code at the end; other than 0 means failed. Default 0. */
  readonly exitCode?: number;
  /** Ratio of used to requested resources. Default 1; above 1 the task overruns. */
  readonly usageRatio?: number;
}

/** The state of a task, as announced. */
export type StubTaskState =
  | "running"
  | "finished"
  | "failed"
  | "stopped"
  | "checkpointed";

/** A task as `GET /tasks` lists it; times are wall time in milliseconds. */
export interface StubTaskStatus {
  readonly task: string;
  readonly epoch: number;
  readonly state: StubTaskState;
  readonly startedAt: number;
  /** When the task ended; at the latest when its lease ended. */
  readonly endedAt: number | null;
  /** Why the task was stopped. */
  readonly reason: string | null;
  readonly exitCode: number | null;
  readonly processorLimit: number | null;
  readonly resources: StubResources;
}

/** Options for starting a task. */
export interface StubTaskOptions {
  readonly task: string;
  readonly epoch: number;
  readonly resources: StubResources;
  readonly payload: StubPayload;
  /** Work that a checkpoint has saved, in milliseconds at full speed. */
  readonly savedMs: number;
  /** End of the first lease on the monotonic clock, in milliseconds. */
  readonly leaseUntilMs: number;
}

/** A started task. */
export interface StubTask {
  isRunning(): boolean;
  getStatus(): StubTaskStatus;
  getUsage(): StubResources;
  /** Extends the lease, and never shortens it. */
  renew(leaseUntilMs: number, epoch: number): void;
  throttle(processors: number): void;
  /** Ends the task; returns the work done, in milliseconds at full speed. */
  stop(state: "stopped" | "checkpointed", reason: string): number;
}

const SLOWEST_SPEED = 0.01;

/** Starts a task as a timer. */
export function startStubTask(options: StubTaskOptions): StubTask {
  const { resources, payload } = options;
  const runMs = payload.runMs ?? 1_000;
  const exitCode = payload.exitCode ?? 0;
  const startedAt = Date.now();
  let epoch = options.epoch;
  let doneMs = options.savedMs;
  let speed = 1;
  let updatedAtMs = performance.now();
  let leaseUntilMs = options.leaseUntilMs;
  let processorLimit: number | null = null;
  let state: StubTaskState = "running";
  let reason: string | null = null;
  let endedAt: number | null = null;
  let timer: ReturnType<typeof setTimeout>;

  function updateDone(untilMs: number): void {
    doneMs += Math.max(0, untilMs - updatedAtMs) * speed;
    updatedAtMs = untilMs;
  }

  function end(newState: StubTaskState, why: string | null): void {
    clearTimeout(timer);
    const nowMs = performance.now();
    const lateMs = Math.max(0, nowMs - leaseUntilMs);
    updateDone(nowMs - lateMs);
    state = newState;
    reason = why;
    // A frozen process runs nothing, so the task ended with its lease, not when
    // the process resumed.
    endedAt = Date.now() - lateMs;
  }

  function check(): void {
    if (state !== "running") return;
    const nowMs = performance.now();
    updateDone(Math.min(nowMs, leaseUntilMs));
    if (doneMs >= runMs - 0.5) {
      return end(exitCode === 0 ? "finished" : "failed", null);
    }
    if (nowMs >= leaseUntilMs) return end("stopped", "lease ended");
    schedule();
  }

  function schedule(): void {
    clearTimeout(timer);
    const toFinishMs = (runMs - doneMs) / speed;
    const toLeaseEndMs = leaseUntilMs - performance.now();
    const delayMs = Math.ceil(Math.min(toFinishMs, toLeaseEndMs));
    timer = setTimeout(check, Math.max(0, Math.min(delayMs, 0x7fffffff)));
  }

  schedule();
  return {
    isRunning() {
      check();
      return state === "running";
    },
    getStatus: () => ({
      task: options.task,
      epoch,
      state,
      startedAt,
      endedAt,
      reason,
      exitCode: state === "finished" || state === "failed" ? exitCode : null,
      processorLimit,
      resources,
    }),
    getUsage() {
      const ratio = payload.usageRatio ?? 1;
      const processors = Math.round(resources.processors * ratio);
      return {
        processors: Math.min(processors, processorLimit ?? processors),
        memoryMb: Math.round(resources.memoryMb * ratio),
        accelerators: resources.accelerators,
      };
    },
    renew(untilMs, newEpoch) {
      check();
      if (state !== "running") return;
      leaseUntilMs = Math.max(leaseUntilMs, untilMs);
      epoch = Math.max(epoch, newEpoch);
      schedule();
    },
    throttle(processors) {
      check();
      if (state !== "running") return;
      const full = Math.max(1, resources.processors);
      const isFull = processors >= resources.processors;
      processorLimit = isFull ? null : processors;
      speed = isFull ? 1 : Math.max(SLOWEST_SPEED, processors / full);
      schedule();
    },
    stop(newState, why) {
      check();
      if (state === "running") end(newState, why);
      return doneMs;
    },
  };
}
