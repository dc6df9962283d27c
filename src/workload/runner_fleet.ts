/**
 * The runners during one leadership, and what occupies them. A look is always
 * open at each; what it lists is compared with what is recorded. A runner's life
 * ends when a newer one registers, when it leaves, or when its lease has ended
 * without contact.
 */

import type { Clock, Logger } from "../common/mod.ts";
import type { Metrics } from "../report/metrics.ts";
import { RUNNER_CLOCK_MIN_RATE, RUNNER_LEASE_MS } from "./constants.ts";
import type { RecordQueue } from "./record_queue.ts";
import type {
  HoldReply,
  ListedEnd,
  ListedRun,
  RunnerCalls,
} from "./runner_calls.ts";
import { type RunnerDriver, startRunnerDriver } from "./runner_driver.ts";
import type { RunnerHealth } from "./runner_health.ts";
import {
  addOccupant,
  createRunner,
  formatRun,
  type Occupant,
  removeOccupant,
  type Runner,
} from "./runner_table.ts";
import {
  formatLife,
  formatStep,
  isSameRunner,
  type RunnerEntry,
  type RunOutcome,
  type TaskRef,
  type WorkRecord,
} from "./types.ts";
import { isOpenJob, TASK_STATUS, type WorkState } from "./work_state.ts";
import type { WorkspaceUseBook } from "./workspace_use.ts";

/** Time without progress after which a run counts as stuck, in milliseconds; some three looks. */
const STALL_MS = 2_000;

/** The same for a member of a gang, which has to wait for the others. */
const GANG_STALL_MS = 4_000;

/** Time between two checks of the recorded runs, in milliseconds; longer than an end takes to be recorded. */
const AUDIT_PERIOD_MS = 2_000;

/**
 * Time between the first looks of a new leader, in milliseconds: the time that
 * one takes in a process that has just started. All looks at once would keep it
 * from its heartbeats for longer than an election takes.
 */
const RESTORE_LOOK_MS = 1;

/** Age beyond which an order without an answer is not carried out any more, in milliseconds; the platform states 12 s. */
const LATE_ORDER_MS = 13_000;

/** An announcement of a runner. */
export interface RunnerAnnouncement {
  readonly entry: RunnerEntry;
  /** Rises with each announcement of one life. */
  readonly sequence: number;
  /** Least time that a draining runner still has, in milliseconds. */
  readonly remainingMs: number;
}

/** Options of the fleet. */
export interface RunnerFleetOptions {
  clock: Clock;
  logger: Logger;
  metrics?: Pick<Metrics, "addCount">;
  state: WorkState;
  workspaces: WorkspaceUseBook;
  queue: RecordQueue;
  /** Creates the watch over runners, given the list of a pool's runners. */
  createHealth: (listPool: (pool: string) => Runner[]) => RunnerHealth;
  /** Records; resolves to false when the leadership has ended. */
  record: (records: readonly WorkRecord[]) => Promise<boolean>;
  calls: RunnerCalls;
  /** Fencing token of this leadership. */
  fence: number;
  maxLeaseMs: number;
  isLeading: () => boolean;
  handleStaleFence: () => void;
  /** Called when room or waiting tasks may have changed. */
  handleChange: () => void;
}

/** One life of a runner, and what drives it. */
export interface Lane {
  readonly runner: Runner;
  readonly driver: RunnerDriver;
}

/** A run and its newest saved progress. */
export interface RunView {
  readonly task: TaskRef;
  readonly run: number;
  readonly checkpoint: string;
}

/** The runners. */
export interface RunnerFleet {
  readonly runnersByPool: ReadonlyMap<string, readonly Runner[]>;
  readonly health: RunnerHealth;
  getLane(life: string): Lane | undefined;
  /** Lets a run occupy a runner; undefined when its job is not known. */
  assignRun(
    runner: Runner,
    task: TaskRef,
    run: number,
    occupantState: Occupant["state"],
  ): Occupant | undefined;
  release(runner: Runner, occupant: Occupant): void;
  /** Tells whether a run is the current one of a task that still has to be done. */
  isWanted(task: TaskRef, run: number): boolean;
  /** Records the end of those runs that are still the current ones. */
  endRuns(runs: readonly RunView[], outcome: RunOutcome): Promise<void>;
  stopRun(lane: Lane, occupant: Occupant): void;
  /** Stops all members of one run of a gang. */
  stopGang(task: TaskRef, run: number): void;
  /** Stops all runs of a job. */
  stopJob(id: string): void;
  announceRunner(announcement: RunnerAnnouncement): Promise<void>;
  removeRunner(id: string): Promise<void>;
  /** Takes over what is recorded; called once. */
  restore(): void;
  /** Ends the runs of runners whose lease has ended without contact, and those that no runner stands for. */
  checkRuns(): void;
  stop(): void;
}

/** Creates a fleet without runners. */
export function createRunnerFleet(options: RunnerFleetOptions): RunnerFleet {
  const { clock, logger, metrics, state, workspaces } = options;
  const lanes = new Map<string, Lane>();
  const runnersByPool = new Map<string, Runner[]>();
  const health = options.createHealth(listPool);
  let isStopped = false;

  function listPool(pool: string): Runner[] {
    let list = runnersByPool.get(pool);
    if (list === undefined) runnersByPool.set(pool, list = []);
    return list;
  }

  function findLaneById(id: string): Lane | undefined {
    for (const lane of lanes.values()) {
      if (lane.runner.entry.id === id) return lane;
    }
    return undefined;
  }

  function assignRun(
    runner: Runner,
    task: TaskRef,
    run: number,
    occupantState: Occupant["state"],
  ): Occupant | undefined {
    const job = state.getJob(task.job);
    const resources = job?.spec.steps[task.step]?.resources;
    if (job === undefined || resources === undefined) return undefined;
    const key = formatRun(task, run);
    const known = runner.occupants.get(key);
    if (known !== undefined) return known;
    workspaces.add(job.spec.workspace, resources);
    return addOccupant(
      runner,
      { task, run, resources },
      occupantState,
      clock.now(),
    );
  }

  function release(runner: Runner, occupant: Occupant): void {
    if (!removeOccupant(runner, occupant.key)) return;
    const job = state.getJob(occupant.task.job);
    workspaces.remove(job?.spec.workspace, occupant.resources);
  }

  function isRecordedActive(task: TaskRef, run: number): boolean {
    const recorded = state.getTask(task);
    return recorded !== undefined && recorded.run === run &&
      recorded.status === TASK_STATUS.active;
  }

  /** Tells whether a run is the current one of a task that still has to be done. */
  function isWanted(task: TaskRef, run: number): boolean {
    const job = state.getJob(task.job);
    return job !== undefined && isOpenJob(job) && isRecordedActive(task, run);
  }

  function createEnd(
    { task, run, checkpoint }: RunView,
    outcome: RunOutcome,
  ): WorkRecord {
    const atMs = clock.wallTime();
    return { kind: "end", task, run, outcome, checkpoint, atMs };
  }

  async function endRuns(
    runs: readonly RunView[],
    outcome: RunOutcome,
  ): Promise<void> {
    const records = runs
      .filter(({ task, run }) => isRecordedActive(task, run))
      .map((view) => createEnd(view, outcome));
    if (records.length === 0) return;
    await options.record(records);
    options.handleChange();
  }

  function stopRun(lane: Lane, occupant: Occupant): void {
    if (occupant.state === "stopping") return;
    occupant.state = "stopping";
    void lane.driver.runStop(occupant).then((isAnswered) => {
      if (!isAnswered) return;
      occupant.stoppedMs = clock.now();
      // A run that never began has no end that would answer the waiting look.
      const isOpen = !occupant.isListed &&
        lane.runner.occupants.has(occupant.key);
      if (isOpen) lane.driver.startLook();
    });
  }

  /** Stops the runs that have been ordered and that `fits` accepts. */
  function stopRuns(fits: (occupant: Occupant) => boolean): void {
    for (const lane of lanes.values()) {
      for (const occupant of [...lane.runner.occupants.values()]) {
        const isOrdered = occupant.state !== "planned";
        if (isOrdered && fits(occupant)) stopRun(lane, occupant);
      }
    }
  }

  function stopGang(task: TaskRef, run: number): void {
    const step = formatStep(task);
    stopRuns((other) => other.run === run && formatStep(other.task) === step);
  }

  function stopJob(id: string): void {
    stopRuns(({ task }) => task.job === id);
  }

  function startLane(
    entry: RunnerEntry,
    leaseEndMs: number,
    firstLookDelayMs = 0,
  ): Lane {
    const runner = createRunner(entry, leaseEndMs);
    const lane: Lane = {
      runner,
      driver: startRunnerDriver({
        runner,
        calls: options.calls,
        clock,
        logger,
        fence: options.fence,
        maxLeaseMs: options.maxLeaseMs,
        isLeading: options.isLeading,
        handleHold: (reply, sentAtMs) => handleHold(lane, reply, sentAtMs),
        handleOtherLife: () => void closeLife(lane, "another life answered"),
        handleStaleFence: options.handleStaleFence,
        firstLookDelayMs,
      }),
    };
    lanes.set(runner.life, lane);
    listPool(entry.pool).push(runner);
    return lane;
  }

  /** Ends a life: what ran there is lost, and goes on elsewhere. */
  async function closeLife(lane: Lane, reason: string): Promise<void> {
    const { runner } = lane;
    if (runner.isClosed) return;
    runner.isClosed = true;
    lane.driver.stop();
    lanes.delete(runner.life);
    const list = listPool(runner.entry.pool);
    list.splice(list.indexOf(runner), 1);
    options.calls.release(runner.entry.address);
    logger.info("Runner's life ended", {
      runner: runner.life,
      reason,
      runs: runner.occupants.size,
    });
    const successor = findLaneById(runner.entry.id);
    const lost: RunView[] = [];
    for (const occupant of [...runner.occupants.values()]) {
      release(runner, occupant);
      // A delayed order is addressed by id, so the next life could still carry it out.
      const mayArrive = successor !== undefined &&
        clock.now() - occupant.plannedMs < LATE_ORDER_MS;
      const moved = mayArrive
        ? assignRun(successor.runner, occupant.task, occupant.run, "running")
        : undefined;
      if (moved !== undefined && successor !== undefined) {
        moved.checkpoint = occupant.checkpoint;
        stopRun(successor, moved);
      } else {
        lost.push(occupant);
      }
    }
    await options.record([{ kind: "runnerGone", life: runner.life }]);
    await endRuns(lost, "lost");
  }

  /** Handles the end of a lease without contact: nothing runs there any more. */
  async function handleLapse(lane: Lane): Promise<void> {
    const { runner } = lane;
    runner.isLost = true;
    const lost = [...runner.occupants.values()];
    for (const occupant of lost) release(runner, occupant);
    logger.warn("Runner's lease ended without contact", {
      runner: runner.life,
      runs: lost.length,
      sinceContactMs: runner.contactMs === undefined
        ? undefined
        : Math.round(clock.now() - runner.contactMs),
    });
    await endRuns(lost, "lost");
  }

  function handleEnd(lane: Lane, end: ListedEnd): WorkRecord | undefined {
    const { runner } = lane;
    const { task, run, outcome } = end;
    const occupant = runner.occupants.get(formatRun(task, run));
    if (occupant !== undefined) release(runner, occupant);
    if (outcome === "done") {
      health.recordSuccess(runner, occupant);
    } else if (outcome === "failed") {
      health.recordFailure(runner, task.job);
    }
    const isCurrent = isRecordedActive(task, run);
    metrics?.addCount("run_ends_total", { outcome });
    // Most ends are as planned; their job's line follows from them.
    const level = isCurrent && outcome === "done" ? "debug" : "info";
    logger[level]("Run ended", {
      run: formatRun(task, run),
      runner: runner.life,
      outcome,
      isCurrent,
      ranMs: occupant === undefined
        ? undefined
        : Math.round(clock.now() - occupant.plannedMs),
    });
    return isCurrent ? createEnd(end, outcome) : undefined;
  }

  function handleListedRun(lane: Lane, listed: ListedRun): void {
    const { runner } = lane;
    const { task, run } = listed;
    const nowMs = clock.now();
    let occupant = runner.occupants.get(formatRun(task, run));
    if (occupant === undefined) {
      occupant = assignRun(runner, task, run, "running");
      if (occupant === undefined) return;
    }
    occupant.isListed = true;
    occupant.confirmedMs ??= nowMs;
    occupant.checkpoint = listed.checkpoint;
    if (listed.percent > occupant.progress) {
      occupant.progress = listed.percent;
      occupant.progressMs = nowMs;
    }
    if (occupant.state === "planned") return;
    if (!isWanted(task, run)) return stopRun(lane, occupant);
    if (occupant.state === "starting") occupant.state = "running";
    const step = state.getJob(task.job)?.spec.steps[task.step];
    const limitMs = step?.gang === true ? GANG_STALL_MS : STALL_MS;
    const isStuck = listed.percent < 100 && step?.longRunning !== true &&
      nowMs - Math.max(occupant.progressMs, occupant.confirmedMs) > limitMs;
    if (!isStuck || occupant.state === "stopping") return;
    logger.warn("Run makes no progress", {
      run: occupant.key,
      runner: runner.life,
      percent: listed.percent,
      sinceMs: Math.round(nowMs - occupant.progressMs),
    });
    // All of a gang stands still when one member does, so it does not tell which runner is at fault.
    if (step?.gang === true) return stopGang(task, run);
    health.suspendRunner(runner, "a run makes no progress");
    stopRun(lane, occupant);
  }

  async function handleHold(
    lane: Lane,
    reply: HoldReply & { outcome: "accepted" },
    sentAtMs: number,
  ): Promise<void> {
    const { runner } = lane;
    if (isStopped || !options.isLeading() || runner.isClosed) return;
    if (runner.isLost) {
      runner.isLost = false;
      logger.info("Runner answers again", { runner: runner.life });
    }
    const listedKeys = new Set<string>();
    const records: WorkRecord[] = [];
    let newest = runner.recordedEnds;
    for (const end of reply.ended) {
      listedKeys.add(formatRun(end.task, end.run));
      if (end.number <= runner.recordedEnds) continue;
      newest = Math.max(newest, end.number);
      const record = handleEnd(lane, end);
      if (record !== undefined) records.push(record);
    }
    // Answers on different connections may overtake each other.
    const isNewest = sentAtMs >= runner.lookSentMs;
    runner.lookSentMs = Math.max(runner.lookSentMs, sentAtMs);
    for (const listed of isNewest ? reply.running : []) {
      listedKeys.add(formatRun(listed.task, listed.run));
      handleListedRun(lane, listed);
    }
    for (const slow of isNewest ? health.checkSpeed(runner) : []) {
      stopRun(lane, slow);
    }
    const lost: Occupant[] = [];
    for (const occupant of isNewest ? [...runner.occupants.values()] : []) {
      if (listedKeys.has(occupant.key)) continue;
      const isOver = occupant.state === "stopping"
        ? occupant.stoppedMs !== undefined && occupant.stoppedMs <= sentAtMs
        : occupant.state === "running" && occupant.confirmedMs !== undefined &&
          occupant.confirmedMs <= sentAtMs;
      if (!isOver) continue;
      release(runner, occupant);
      lost.push(occupant);
    }
    if (lost.length > 0) {
      logger.info("Runs not on their runner", {
        runner: runner.life,
        runs: lost.map(({ key }) => key),
      });
      void endRuns(lost, "lost");
    }
    options.handleChange();
    if (newest === runner.recordedEnds) return;
    // An end may only be forgotten by the runner once it is recorded here.
    if (records.length > 0 && !await options.record(records)) return;
    runner.recordedEnds = Math.max(runner.recordedEnds, newest);
    options.handleChange();
  }

  async function announceRunner(
    announcement: RunnerAnnouncement,
  ): Promise<void> {
    const { entry, sequence } = announcement;
    const life = formatLife(entry);
    const announcedMs = clock.now();
    const known = findLaneById(entry.id);
    if (known !== undefined && known.runner.entry.startedMs > entry.startedMs) {
      return;
    }
    if (known !== undefined && known.runner.life === life) {
      const { runner } = known;
      if (sequence <= runner.sequence) return;
      runner.sequence = sequence;
      if (isSameRunner(runner.entry, entry)) return;
      runner.entry = entry;
      await options.queue.record([{ kind: "runner", runner: entry }]);
      logger.info("Runner changed", {
        runner: life,
        draining: entry.isDraining,
      });
      return;
    }
    await options.queue.record([{ kind: "runner", runner: entry }]);
    if (isStopped || lanes.has(life)) return;
    logger.info("Runner registered", {
      runner: life,
      address: entry.address,
      pool: entry.pool,
    });
    const lane = startLane(entry, announcedMs);
    lane.runner.sequence = sequence;
    for (const other of [...lanes.values()]) {
      const { runner } = other;
      const isFormer = runner !== lane.runner &&
        (runner.entry.id === entry.id ||
          runner.entry.address === entry.address) &&
        runner.entry.startedMs <= entry.startedMs;
      if (isFormer) void closeLife(other, "a newer life registered");
    }
  }

  async function removeRunner(id: string): Promise<void> {
    const lane = findLaneById(id);
    if (lane === undefined) return;
    const { runner } = lane;
    // A delayed departure of a former life must not end the present one.
    if (!runner.entry.isDraining) return;
    await closeLife(lane, "it left");
  }

  /** Lists the runs that are recorded as under way. */
  function listActiveRuns(): (RunView & { readonly life: string })[] {
    const runs: (RunView & { readonly life: string })[] = [];
    for (const job of state.listJobs()) {
      if (!isOpenJob(job)) continue;
      for (const [number, occurrence] of Object.entries(job.occurrences)) {
        occurrence.steps.forEach((step, stepNumber) => {
          step.tasks.forEach((recorded, index) => {
            if (recorded.status !== TASK_STATUS.active) return;
            const task = {
              job: job.spec.id,
              occurrence: Number(number),
              step: stepNumber,
              index,
            };
            const { run, checkpoint, life } = recorded;
            runs.push({ task, run, checkpoint, life });
          });
        });
      }
    }
    return runs;
  }

  function restoreRuns(): void {
    const leaseEndMs = clock.now() + RUNNER_LEASE_MS / RUNNER_CLOCK_MIN_RATE;
    let delayMs = 0;
    for (const entry of state.listRunners()) {
      startLane(entry, leaseEndMs, delayMs);
      delayMs += RESTORE_LOOK_MS;
    }
    const lost: RunView[] = [];
    for (const active of listActiveRuns()) {
      const lane = lanes.get(active.life);
      if (lane === undefined) lost.push(active);
      else assignRun(lane.runner, active.task, active.run, "running");
    }
    // A life that is not recorded any more had ended before its runs were.
    void endRuns(lost, "lost");
  }

  let nextAuditMs = 0;
  let suspects = new Set<string>();

  /**
   * Ends runs that are recorded as under way while nothing here stands for them,
   * as after a record that could not be written. Otherwise they would wait for
   * the next leader.
   */
  function checkRecordedRuns(): void {
    const nowMs = clock.now();
    if (nowMs < nextAuditMs) return;
    nextAuditMs = nowMs + AUDIT_PERIOD_MS;
    const found = new Set<string>();
    const lost: RunView[] = [];
    for (const active of listActiveRuns()) {
      const key = formatRun(active.task, active.run);
      const lane = lanes.get(active.life);
      if (lane?.runner.occupants.has(key) === true) continue;
      found.add(key);
      if (suspects.has(key)) lost.push(active);
    }
    suspects = found;
    if (lost.length === 0) return;
    logger.error("Recorded runs that no runner stands for", {
      runs: lost.map(({ task, run }) => formatRun(task, run)),
    });
    void endRuns(lost, "lost");
  }

  return {
    runnersByPool,
    health,
    getLane: (life) => lanes.get(life),
    assignRun,
    release,
    isWanted,
    endRuns,
    stopRun,
    stopGang,
    stopJob,
    announceRunner,
    removeRunner,
    restore: restoreRuns,
    checkRuns() {
      const nowMs = clock.now();
      for (const lane of [...lanes.values()]) {
        const { runner } = lane;
        const hasLapsed = !runner.isLost && nowMs > runner.leaseEndMs &&
          (runner.contactMs !== undefined || runner.occupants.size > 0);
        if (hasLapsed) void handleLapse(lane);
      }
      checkRecordedRuns();
    },
    stop() {
      isStopped = true;
      for (const lane of lanes.values()) {
        lane.driver.stop();
        options.calls.releaseOwn(lane.runner.entry.address);
      }
    },
  };
}
