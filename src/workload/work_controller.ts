/**
 * Reconciles the recorded jobs with what the runners do, during one leadership.
 * Every decision that must survive a takeover is recorded before it is carried
 * out: accepted jobs, starts, ends, cancellations. What occupies the runners is
 * kept in memory and rebuilt from the records and from the runners' own lists.
 */

import {
  type Clock,
  createFault,
  type Logger,
  type Resources,
} from "../common/mod.ts";
import type { Metrics } from "../report/metrics.ts";
import {
  checkConfiguration,
  findQueueByPath,
  findWorkspaceByKey,
} from "./configuration.ts";
import {
  PLAN_PERIOD_MS,
  RUNNER_CLOCK_MIN_RATE,
  RUNNER_LEASE_MS,
  WATCH_PERIOD_MS,
} from "./constants.ts";
import {
  createEligibilityBook,
  type EligibilityAnswer,
  type EligibilityQuestion,
} from "./eligibility.ts";
import { createOpenSteps } from "./open_steps.ts";
import {
  compareSteps,
  type Plan,
  type PlannedStart,
  planStarts,
} from "./planning.ts";
import {
  createSpeedBook,
  estimateRemainingMs,
  type ProgressSample,
} from "./runner_speed.ts";
import { createRecordQueue } from "./record_queue.ts";
import type {
  HoldReply,
  ListedEnd,
  ListedRun,
  RunnerCalls,
} from "./runner_calls.ts";
import { type RunnerDriver, startRunnerDriver } from "./runner_driver.ts";
import {
  addOccupant,
  createRunner,
  formatRun,
  type Occupant,
  removeOccupant,
  type Runner,
} from "./runner_table.ts";
import {
  type Configuration,
  formatLife,
  formatStep,
  type JobBody,
  type JobSpec,
  type QueueSettings,
  type RunnerEntry,
  type RunOutcome,
  type TaskRef,
  type WorkJobState,
  type WorkRecord,
  type WorkspaceSettings,
} from "./types.ts";
import { createWorkspaceUse } from "./workspace_use.ts";
import {
  isOpenJob,
  type JobState,
  TASK_STATUS,
  type WorkState,
} from "./work_state.ts";

/** Time without progress after which a run counts as stuck, in milliseconds; some three looks. */
const STALL_MS = 2_000;

/** The same for a member of a gang, which has to wait for the others. */
const GANG_STALL_MS = 4_000;

/** Pause of a runner whose progress shows it to be slow, in milliseconds; each look renews it. */
const SLOW_PAUSE_MS = 1_500;

/** Remaining time of an urgent run on a slow runner from which it is worth starting anew, in milliseconds. */
const WORTH_MOVING_MS = 1_500;

/** Time for which a step waits before the log says why, and between two such lines, in milliseconds. */
const WAIT_LOG_MS = 2_000;

/** Lines about waiting steps in one planning round, so that a long queue does not fill the log. */
const MAX_WAIT_LINES = 5;

/** Different jobs whose runs fail in a row before a runner is suspended. */
const FAILED_JOBS_LIMIT = 3;

/** First suspension of a runner in milliseconds; each further one is twice as long. */
const SUSPENSION_MS = 2_000;

/** Longest suspension of a runner in milliseconds. */
const MAX_SUSPENSION_MS = 4_000;

/** Share of a pool that may be suspended at the same time. */
const MAX_SUSPENDED_SHARE = 0.34;

/** Age beyond which an order without an answer is not carried out any more, in milliseconds; the platform states 12 s. */
const LATE_ORDER_MS = 13_000;

/** Time after its end for which a job's state can be asked for, in milliseconds, beyond the stated one. */
const FORGET_SLACK_MS = 30_000;

/** Who calls, for which queue. */
export interface CallerAddress {
  readonly host: string;
  readonly path: string;
  /** Key that was presented; empty for none. */
  readonly key: string;
}

/** An announcement of a runner. */
export interface RunnerAnnouncement {
  readonly entry: RunnerEntry;
  /** Rises with each announcement of one life. */
  readonly sequence: number;
  /** Least time that a draining runner still has, in milliseconds. */
  readonly remainingMs: number;
}

/** Options of the controller. */
export interface WorkControllerOptions {
  clock: Clock;
  logger: Logger;
  metrics?: Pick<Metrics, "addCount" | "setGauge" | "recordDuration">;
  state: WorkState;
  /** Fencing token of this leadership. */
  fence: number;
  /** Whether this process may still decide and answer. */
  isLeading: () => boolean;
  propose: (records: readonly WorkRecord[]) => Promise<void>;
  calls: RunnerCalls;
  ask: (
    caller: string,
    question: EligibilityQuestion,
    timeoutMs: number,
  ) => Promise<EligibilityAnswer>;
  /** Longest lease that runners accept, in milliseconds. */
  maxLeaseMs: number;
  /** Time for which the state of an ended job can be asked for, in milliseconds. */
  keepMs: number;
  /** Called when a runner has seen a higher fencing token than ours. */
  handleStaleFence: () => void;
}

/** What callers, operators and runners can ask of the leader. */
export interface WorkController {
  /** Accepts a job; resolves once it is recorded. Rejects with a fault that says whether it may run. */
  submit(address: CallerAddress, body: JobBody): Promise<void>;
  /** Returns the state of a job; faults "notFound" (details.subject "job" or "queue") and "unauthenticated". */
  getState(address: CallerAddress): WorkJobState;
  /** Returns the number of jobs of a queue of which no task has started. */
  countPending(address: CallerAddress): number;
  cancel(address: CallerAddress): Promise<void>;
  changeConfiguration(configuration: Configuration): Promise<void>;
  /** Returns the document in force; undefined before the first. */
  readConfiguration(): string | undefined;
  announceRunner(announcement: RunnerAnnouncement): Promise<void>;
  removeRunner(id: string): Promise<void>;
  /** Names the instances that can ask the eligibility service. */
  setCallers(names: readonly string[]): void;
  stop(): void;
}

/** Throws "unavailable" for work that cannot be done yet, so that it is not accepted and lost. */
function checkSupported(body: JobBody): void {
  for (const step of body.steps) {
    if (!step.fillsIdle && step.targetMs === 0) continue;
    throw createFault(
      "unavailable",
      "Cannot accept tasks that fill idle room or serve users of their own",
      { ran: "no" },
    );
  }
}

interface Lane {
  readonly runner: Runner;
  readonly driver: RunnerDriver;
}

/** Starts the controller for one leadership. */
export function startWorkController(
  options: WorkControllerOptions,
): WorkController {
  const { clock, logger, metrics, state, isLeading } = options;
  const lanes = new Map<string, Lane>();
  const runnersByPool = new Map<string, Runner[]>();
  const submissions = new Map<string, Promise<void>>();
  const reservations = new Map<string, Map<string, Resources>>();
  const workspaces = createWorkspaceUse({ state, clock });
  const openSteps = createOpenSteps({ state, clock, workspaces });
  const speeds = createSpeedBook();
  const queue = createRecordQueue({ clock, propose: options.propose });
  const book = createEligibilityBook({
    clock,
    logger,
    ask: options.ask,
    handleAnswer: () => startPlan(),
  });
  let isStopped = false;
  let isPlanDue = false;
  let hasPlanTimer = false;

  function isActive(): boolean {
    return !isStopped && isLeading();
  }

  /** Records in the background; a failure means that the leadership has ended, and the next leader decides anew. */
  async function recordQuietly(
    records: readonly WorkRecord[],
  ): Promise<boolean> {
    try {
      await queue.record(records);
      return !isStopped;
    } catch (error) {
      logger.warn("Records not committed", { count: records.length, error });
      return false;
    }
  }

  // Runners and what occupies them

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

  /** Tells whether a run is the current one of a task that still has to be done. */
  function isWanted(task: TaskRef, run: number): boolean {
    const job = state.getJob(task.job);
    if (job === undefined || !isOpenJob(job)) return false;
    const recorded = state.getTask(task);
    return recorded !== undefined && recorded.run === run &&
      recorded.status === TASK_STATUS.active;
  }

  function isRecordedActive(task: TaskRef, run: number): boolean {
    const recorded = state.getTask(task);
    return recorded !== undefined && recorded.run === run &&
      recorded.status === TASK_STATUS.active;
  }

  async function endRuns(
    runs: readonly { task: TaskRef; run: number; checkpoint: string }[],
    outcome: RunOutcome,
  ): Promise<void> {
    const records: WorkRecord[] = runs
      .filter(({ task, run }) => isRecordedActive(task, run))
      .map(({ task, run, checkpoint }) => ({
        kind: "end",
        task,
        run,
        outcome,
        checkpoint,
        atMs: clock.wallTime(),
      }));
    if (records.length === 0) return;
    await recordQuietly(records);
    startPlan();
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

  function listPool(pool: string): Runner[] {
    let list = runnersByPool.get(pool);
    if (list === undefined) runnersByPool.set(pool, list = []);
    return list;
  }

  function startLane(entry: RunnerEntry, leaseEndMs: number): Lane {
    const runner = createRunner(entry, { leaseEndMs, nowMs: clock.now() });
    const lane: Lane = {
      runner,
      driver: startRunnerDriver({
        runner,
        calls: options.calls,
        clock,
        logger,
        fence: options.fence,
        maxLeaseMs: options.maxLeaseMs,
        isLeading: isActive,
        handleHold: (reply, sentAtMs) => handleHold(lane, reply, sentAtMs),
        handleOtherLife: () => void closeLife(lane, "another life answered"),
        handleStaleFence: options.handleStaleFence,
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
    const lost: { task: TaskRef; run: number; checkpoint: string }[] = [];
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
    await recordQuietly([{ kind: "runnerGone", life: runner.life }]);
    await endRuns(lost, "lost");
  }

  function findLaneById(id: string): Lane | undefined {
    for (const lane of lanes.values()) {
      if (lane.runner.entry.id === id) return lane;
    }
    return undefined;
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

  // Looks at runners

  function handleFailure(lane: Lane, end: ListedEnd): void {
    const { runner } = lane;
    runner.failedJobs.add(end.task.job);
    if (runner.failedJobs.size < FAILED_JOBS_LIMIT) return;
    suspendRunner(runner, "runs of several jobs failed in a row");
  }

  function suspendRunner(runner: Runner, reason: string): void {
    const pool = listPool(runner.entry.pool);
    const nowMs = clock.now();
    const suspended = pool.filter(({ suspendedUntilMs }) =>
      suspendedUntilMs > nowMs
    );
    // Where everything fails, the work is at fault and has to go on somewhere.
    if (suspended.length >= pool.length * MAX_SUSPENDED_SHARE) return;
    const pauseMs = Math.min(
      MAX_SUSPENSION_MS,
      SUSPENSION_MS * 2 ** runner.suspensions,
    );
    runner.suspensions += 1;
    runner.suspendedUntilMs = clock.now() + pauseMs;
    // One further failure after the pause suspends it again.
    while (runner.failedJobs.size >= FAILED_JOBS_LIMIT) {
      const [first] = runner.failedJobs;
      runner.failedJobs.delete(first ?? "");
    }
    metrics?.addCount("runners_suspended_total");
    logger.warn("Runner suspended", { runner: runner.life, reason, pauseMs });
  }

  /** Learns from a run that did all of its work here. */
  function recordSpeed(runner: Runner, occupant: Occupant): void {
    const { task, confirmedMs } = occupant;
    const job = state.getJob(task.job);
    const step = job?.spec.steps[task.step];
    const isWhole = step !== undefined && !step.gang &&
      state.getTask(task)?.checkpoint === "";
    if (job === undefined || !isWhole || confirmedMs === undefined) return;
    speeds.recordRun({
      step: formatStep(task),
      runner: runner.entry.id,
      durationMs: clock.now() - confirmedMs,
    });
    runner.slowness = speeds.getSlowness(runner.entry.id);
  }

  /** Moves urgent runs away from a runner whose progress shows it to be slow. */
  function checkSpeed(lane: Lane): void {
    const { runner } = lane;
    const nowMs = clock.now();
    const samples: ProgressSample[] = [];
    const urgent: Occupant[] = [];
    for (const occupant of runner.occupants.values()) {
      const { task, confirmedMs, progress } = occupant;
      const job = state.getJob(task.job);
      const step = job?.spec.steps[task.step];
      const isSample = job !== undefined && step !== undefined && !step.gang &&
        !step.longRunning && occupant.isListed && confirmedMs !== undefined &&
        occupant.state === "running" &&
        state.getTask(task)?.checkpoint === "";
      if (!isSample) continue;
      const elapsedMs = nowMs - confirmedMs;
      samples.push({
        queue: job.spec.queue,
        estimatedMs: step.estimatedMs,
        elapsedMs,
        percent: progress,
      });
      const isUrgent = state.findQueue(job.spec.queue)?.priority === 0;
      const remainingMs = estimateRemainingMs(elapsedMs, progress);
      if (isUrgent && remainingMs > WORTH_MOVING_MS) urgent.push(occupant);
    }
    if (!speeds.isSlowNow(samples)) return;
    const wasSuspended = nowMs < runner.suspendedUntilMs;
    runner.suspendedUntilMs = Math.max(
      runner.suspendedUntilMs,
      nowMs + SLOW_PAUSE_MS,
    );
    for (const occupant of urgent) stopRun(lane, occupant);
    if (wasSuspended && urgent.length === 0) return;
    logger.warn("Runner is slow", {
      runner: runner.life,
      runs: samples.length,
      moved: urgent.map(({ key }) => key),
    });
  }

  function handleEnd(lane: Lane, end: ListedEnd): WorkRecord | undefined {
    const { runner } = lane;
    const { task, run, outcome } = end;
    const occupant = runner.occupants.get(formatRun(task, run));
    if (occupant !== undefined) release(runner, occupant);
    if (outcome === "done") {
      if (occupant !== undefined) recordSpeed(runner, occupant);
      runner.failedJobs.clear();
      runner.suspensions = 0;
    } else if (outcome === "failed") {
      handleFailure(lane, end);
    }
    const isCurrent = isRecordedActive(task, run);
    metrics?.addCount("run_ends_total", { outcome });
    logger.info("Run ended", {
      run: formatRun(task, run),
      runner: runner.life,
      outcome,
      isCurrent,
      ranMs: occupant === undefined
        ? undefined
        : Math.round(clock.now() - occupant.plannedMs),
    });
    if (!isCurrent) return undefined;
    return {
      kind: "end",
      task,
      run,
      outcome,
      checkpoint: end.checkpoint,
      atMs: clock.wallTime(),
    };
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
    suspendRunner(runner, "a run makes no progress");
    stopRun(lane, occupant);
  }

  async function handleHold(
    lane: Lane,
    reply: HoldReply & { outcome: "accepted" },
    sentAtMs: number,
  ): Promise<void> {
    const { runner } = lane;
    if (!isActive() || runner.isClosed) return;
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
    if (isNewest) checkSpeed(lane);
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
    startPlan();
    if (newest === runner.recordedEnds) return;
    // An end may only be forgotten by the runner once it is recorded here.
    if (records.length > 0 && !await recordQuietly(records)) return;
    runner.recordedEnds = Math.max(runner.recordedEnds, newest);
    startPlan();
  }

  // Starts

  async function runOrder(
    lane: Lane,
    occupant: Occupant,
    ticket: string,
  ): Promise<void> {
    const { task, run } = occupant;
    const job = state.getJob(task.job);
    if (job === undefined) return;
    occupant.state = "starting";
    const result = await lane.driver.runStart(
      occupant,
      {
        task,
        run,
        payload: job.spec.payload,
        checkpoint: state.getTask(task)?.checkpoint ?? "",
        ticket,
      },
      () => isWanted(task, run),
    );
    const { runner } = lane;
    if (isStopped || !runner.occupants.has(occupant.key)) return;
    metrics?.addCount("run_starts_total", { result });
    logger.info("Start ordered", {
      run: occupant.key,
      runner: runner.life,
      result,
      tookMs: Math.round(clock.now() - occupant.plannedMs),
    });
    if (result === "accepted") {
      occupant.confirmedMs ??= clock.now();
      if (occupant.state === "starting") occupant.state = "running";
      if (!isWanted(task, run)) stopRun(lane, occupant);
      return;
    }
    if (result === "unanswered") {
      stopRun(lane, occupant);
    } else {
      release(runner, occupant);
      if (result === "unhealthy") {
        suspendRunner(runner, "it says that it is unhealthy");
      }
      if (result === "ticketRefused") {
        book.removeTicket(formatStep(task), runner.entry.id);
      }
      void endRuns([occupant], "lost");
    }
    const isGang = job.spec.steps[task.step]?.gang === true;
    // The others of a gang would only wait for this member.
    if (isGang && result !== "abandoned") stopGang(task, run);
  }

  function stopGang(task: TaskRef, run: number): void {
    for (const lane of lanes.values()) {
      for (const occupant of [...lane.runner.occupants.values()]) {
        const isMember = occupant.task.job === task.job &&
          occupant.task.occurrence === task.occurrence &&
          occupant.task.step === task.step && occupant.run === run;
        if (isMember && occupant.state !== "planned") stopRun(lane, occupant);
      }
    }
  }

  function computeRun(start: PlannedStart): number {
    const { step } = start;
    let highest = 0;
    for (const { index } of start.placements) {
      const task = state.getTask({ ...step, index });
      highest = Math.max(highest, task?.run ?? 0);
    }
    return highest + 1;
  }

  async function startPlanned(start: PlannedStart): Promise<void> {
    const { step } = start;
    const { job, occurrence } = step;
    const records: WorkRecord[] = [];
    const orders: { lane: Lane; occupant: Occupant; ticket: string }[] = [];
    // A gang shares one run number; other tasks are numbered by themselves.
    const groups = step.spec.gang
      ? [start.placements]
      : start.placements.map((placement) => [placement]);
    for (const placements of groups) {
      const run = computeRun({ step, placements });
      for (const { index, runner, ticket } of placements) {
        const task = { job, occurrence, step: step.step, index };
        const lane = lanes.get(runner.life);
        if (lane === undefined) continue;
        const occupant = assignRun(runner, task, run, "planned");
        if (occupant !== undefined) orders.push({ lane, occupant, ticket });
      }
      records.push({
        kind: "start",
        job,
        occurrence,
        step: step.step,
        run,
        entries: placements.map(({ index, runner }) => ({
          index,
          life: runner.life,
        })),
      });
    }
    openSteps.setPlanned(step, start.placements.map(({ index }) => index));
    const isRecorded = await recordQuietly(records);
    openSteps.clearPlanned(step, start.placements.map(({ index }) => index));
    if (!isRecorded) {
      for (const { lane, occupant } of orders) release(lane.runner, occupant);
      return;
    }
    for (const { lane, occupant, ticket } of orders) {
      if (lane.runner.isClosed) {
        void endRuns([occupant], "lost");
      } else if (!isWanted(occupant.task, occupant.run)) {
        release(lane.runner, occupant);
      } else {
        void runOrder(lane, occupant, ticket);
      }
    }
  }

  // Planning

  function startPlan(): void {
    isPlanDue = true;
    if (hasPlanTimer || isStopped) return;
    hasPlanTimer = true;
    clock.setTimer(PLAN_PERIOD_MS, () => {
      hasPlanTimer = false;
      if (isPlanDue && isActive()) plan();
    });
  }

  function recordReservation(
    stepKey: string,
    runners: readonly Runner[],
    resources: Resources,
  ): void {
    for (const runner of runners) {
      let reserved = reservations.get(runner.life);
      if (reserved === undefined) {
        reservations.set(runner.life, reserved = new Map());
      }
      const before = reserved.get(stepKey);
      reserved.set(
        stepKey,
        before === undefined ? resources : {
          processors: before.processors + resources.processors,
          memoryMb: before.memoryMb + resources.memoryMb,
          accelerators: before.accelerators + resources.accelerators,
        },
      );
    }
  }

  function removeReservation(stepKey: string): void {
    for (const reserved of reservations.values()) reserved.delete(stepKey);
  }

  const waitLoggedMs = new Map<string, number>();

  /** Says why work waits, for who asks later about one job. */
  function logWaits(waits: Plan["waits"]): void {
    const nowMs = clock.now();
    let lines = 0;
    for (const { step, reason } of waits) {
      if (lines >= MAX_WAIT_LINES) return;
      const lastMs = waitLoggedMs.get(step.key);
      if (lastMs === undefined) waitLoggedMs.set(step.key, nowMs);
      if (lastMs === undefined || nowMs - lastMs < WAIT_LOG_MS) continue;
      waitLoggedMs.set(step.key, nowMs);
      lines += 1;
      logger.info("Step waits", {
        step: step.key,
        reason,
        waiting: step.waiting.length,
        eligible: book.get(step.key)?.isEligible.size,
        untilDueMs: Math.round(step.dueMs - clock.wallTime()),
      });
    }
  }

  function plan(): void {
    isPlanDue = false;
    const wallMs = clock.wallTime();
    const steps = openSteps.list()
      .sort((a, b) => compareSteps(a, b, wallMs));
    if (steps.length === 0) return;
    // Room is kept only while the question that it is kept for is open.
    for (const reserved of reservations.values()) {
      for (const key of reserved.keys()) {
        if ((book.get(key)?.openQuestions ?? 0) === 0) reserved.delete(key);
      }
    }
    const decided = planStarts({
      nowMs: clock.now(),
      steps,
      runnersByPool,
      getEligibility: (key) => book.get(key),
      workspaces: workspaces.list(),
      reservations,
    });
    logWaits(decided.waits);
    for (const start of decided.starts) {
      removeReservation(start.step.key);
      void startPlanned(start);
    }
    for (const { step, runners, reserve: kept } of decided.questions) {
      if (step.eligibility === undefined) continue;
      const { job, occurrence } = step;
      const isAsked = book.startQuestion(
        step.key,
        { job, occurrence, step: step.step, runners },
        step.eligibility,
      );
      if (isAsked) recordReservation(step.key, kept, step.spec.resources);
    }
  }

  // Reactions to records

  function handleRecord(record: WorkRecord): void {
    if (isStopped) return;
    switch (record.kind) {
      case "configuration":
        openSteps.refreshAll();
        break;
      case "job":
        workspaces.addJob(record.job);
        openSteps.refresh(record.job.id);
        break;
      case "cancel":
        openSteps.refresh(record.job);
        stopJob(record.job);
        break;
      case "start":
        openSteps.refresh(record.job);
        break;
      case "end":
        openSteps.refresh(record.task.job);
        handleJobEnd(record.task.job);
        break;
    }
    startPlan();
  }

  function handleJobEnd(id: string): void {
    const job = state.getJob(id);
    if (job === undefined || isOpenJob(job)) return;
    job.spec.steps.forEach((_, step) => {
      for (const occurrence of Object.keys(job.occurrences)) {
        const key = formatStep({
          job: id,
          occurrence: Number(occurrence),
          step,
        });
        book.remove(key);
        speeds.removeStep(key);
        waitLoggedMs.delete(key);
      }
    });
    metrics?.recordDuration("job_ms", job.endedMs - job.spec.submittedMs, {
      queue: job.spec.queue,
    });
    logger.info("Job ended", {
      job: id,
      state: job.state,
      tookMs: job.endedMs - job.spec.submittedMs,
    });
    if (job.state !== "completed") stopJob(id);
  }

  function stopJob(id: string): void {
    for (const lane of lanes.values()) {
      for (const occupant of [...lane.runner.occupants.values()]) {
        const isSent = occupant.task.job === id && occupant.state !== "planned";
        if (isSent) stopRun(lane, occupant);
      }
    }
  }

  // Calls

  function getConfiguration(): Configuration {
    const configuration = state.getConfiguration();
    if (configuration !== undefined) return configuration;
    throw createFault("unavailable", "Cannot serve before a configuration", {
      ran: "no",
    });
  }

  function findCaller(
    address: CallerAddress,
  ): { queue: QueueSettings; workspace?: WorkspaceSettings; id: string } {
    const configuration = getConfiguration();
    const match = findQueueByPath(configuration, address.host, address.path);
    if (match === undefined) {
      throw createFault(
        "notFound",
        `Cannot find a queue at "${address.host}${address.path}"`,
        { details: { subject: "queue" } },
      );
    }
    const { queue: found, rest: id } = match;
    const workspace = findWorkspaceByKey(configuration, address.key);
    if (workspace !== undefined) return { queue: found, workspace, id };
    if (found.isPublic) return { queue: found, id };
    throw createFault(
      "unauthenticated",
      `Cannot accept the key on queue "${found.name}"`,
    );
  }

  function findJob(address: CallerAddress): JobState {
    const { id, workspace } = findCaller(address);
    const job = state.getJob(id);
    const owner = job?.spec.workspace;
    const isOther = owner !== undefined && workspace !== undefined &&
      owner !== workspace.name;
    if (job !== undefined && !isOther) return job;
    throw createFault("notFound", `Cannot find job "${id}"`, {
      details: { subject: "job" },
    });
  }

  async function submit(address: CallerAddress, body: JobBody): Promise<void> {
    const { queue: found, workspace, id } = findCaller(address);
    if (id === "" || id.includes("/")) {
      throw createFault("badRequest", `Cannot use "${id}" as a job identifier`);
    }
    if (state.getJob(id) !== undefined) return;
    checkSupported(body);
    const open = submissions.get(id);
    if (open !== undefined) return open;
    const job: JobSpec = {
      ...body,
      id,
      queue: found.name,
      pool: found.pool,
      maxAttempts: found.maxAttempts,
      ...(workspace === undefined ? {} : { workspace: workspace.name }),
      submittedMs: clock.wallTime(),
    };
    const submission = queue.record([{ kind: "job", job }]);
    submissions.set(id, submission);
    try {
      await submission;
      logger.info("Job accepted", {
        job: id,
        queue: found.name,
        workspace: workspace?.name,
        configuration: state.getConfiguration()?.version,
        steps: body.steps.length,
        tookMs: clock.wallTime() - job.submittedMs,
      });
    } finally {
      submissions.delete(id);
    }
  }

  async function cancel(address: CallerAddress): Promise<void> {
    const job = findJob(address);
    if (!isOpenJob(job)) return;
    await queue.record([{
      kind: "cancel",
      job: job.spec.id,
      atMs: clock.wallTime(),
    }]);
    logger.info("Job cancelled", { job: job.spec.id });
  }

  async function changeConfiguration(next: Configuration): Promise<void> {
    checkConfiguration(next);
    const held = state.getConfiguration();
    if (held !== undefined && held.version >= next.version) return;
    await queue.record([{ kind: "configuration", configuration: next }]);
    logger.info("Configuration recorded", {
      version: next.version,
      before: held?.version,
    });
  }

  async function announceRunner(
    announcement: RunnerAnnouncement,
  ): Promise<void> {
    const { entry, sequence, remainingMs } = announcement;
    const life = formatLife(entry);
    const nowMs = clock.now();
    const known = findLaneById(entry.id);
    if (known !== undefined && known.runner.entry.startedMs > entry.startedMs) {
      return;
    }
    if (known !== undefined && known.runner.life === life) {
      const { runner } = known;
      if (sequence <= runner.sequence) return;
      runner.sequence = sequence;
      runner.announcedMs = nowMs;
      if (entry.isDraining) runner.leavesMs = nowMs + remainingMs;
      const isSame = runner.entry.isDraining === entry.isDraining &&
        runner.entry.address === entry.address;
      if (isSame) return;
      runner.entry = entry;
      await queue.record([{ kind: "runner", runner: entry }]);
      logger.info("Runner changed", {
        runner: life,
        draining: entry.isDraining,
      });
      return;
    }
    await queue.record([{ kind: "runner", runner: entry }]);
    if (isStopped || lanes.has(life)) return;
    logger.info("Runner registered", {
      runner: life,
      address: entry.address,
      pool: entry.pool,
    });
    const lane = startLane(entry, nowMs);
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

  // Start

  function restoreRuns(): void {
    const leaseEndMs = clock.now() + RUNNER_LEASE_MS / RUNNER_CLOCK_MIN_RATE;
    for (const entry of state.listRunners()) startLane(entry, leaseEndMs);
    const lost: { task: TaskRef; run: number; checkpoint: string }[] = [];
    for (const job of state.listJobs()) {
      if (!isOpenJob(job)) continue;
      workspaces.addJob(job.spec);
      openSteps.refresh(job.spec.id);
      for (const [number, occurrence] of Object.entries(job.occurrences)) {
        occurrence.steps.forEach((step, stepNumber) => {
          step.tasks.forEach((task, index) => {
            if (task.status !== TASK_STATUS.active) return;
            const ref = {
              job: job.spec.id,
              occurrence: Number(number),
              step: stepNumber,
              index,
            };
            const lane = lanes.get(task.life);
            const { run, checkpoint } = task;
            if (lane === undefined) lost.push({ task: ref, run, checkpoint });
            else assignRun(lane.runner, ref, run, "running");
          });
        });
      }
    }
    // A life that is not recorded any more had ended before its runs were.
    void endRuns(lost, "lost");
  }

  function watch(): void {
    if (isStopped) return;
    const nowMs = clock.now();
    for (const lane of [...lanes.values()]) {
      const { runner } = lane;
      const hasLapsed = !runner.isLost && nowMs > runner.leaseEndMs &&
        (runner.contactMs !== undefined || runner.occupants.size > 0);
      if (hasLapsed) void handleLapse(lane);
    }
    if (openSteps.refreshTimed()) startPlan();
    else if (openSteps.count() > 0) startPlan();
    metrics?.setGauge("steps_waiting", openSteps.list().length);
    removeOldJobs();
    clock.setTimer(WATCH_PERIOD_MS, watch);
  }

  let nextForgetMs = 0;
  function removeOldJobs(): void {
    const nowMs = clock.now();
    if (nowMs < nextForgetMs) return;
    nextForgetMs = nowMs + FORGET_SLACK_MS;
    const limitMs = clock.wallTime() - options.keepMs - FORGET_SLACK_MS;
    const jobs = [...state.listJobs()]
      .filter((job) => !isOpenJob(job) && job.endedMs < limitMs)
      .map(({ spec }) => spec.id);
    if (jobs.length > 0) void recordQuietly([{ kind: "forget", jobs }]);
  }

  state.setListener(handleRecord);
  restoreRuns();
  watch();
  startPlan();

  return {
    submit,
    getState: (address) => findJob(address).state,
    countPending(address) {
      const { queue: found } = findCaller(address);
      let count = 0;
      for (const job of state.listJobs()) {
        if (job.spec.queue === found.name && job.state === "queued") count += 1;
      }
      return count;
    },
    cancel,
    changeConfiguration,
    readConfiguration: () => state.getConfiguration()?.document,
    announceRunner,
    removeRunner,
    setCallers(names) {
      book.setCallers(names);
      startPlan();
    },
    stop() {
      isStopped = true;
      state.setListener(undefined);
      for (const lane of lanes.values()) {
        lane.driver.stop();
        options.calls.release(lane.runner.entry.address);
      }
    },
  };
}
