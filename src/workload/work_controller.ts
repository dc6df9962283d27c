/**
 * Reconciles the recorded jobs with the runs on the runners, during one
 * leadership. Every decision that must survive a leader change is recorded before
 * it takes effect: accepted jobs, starts, ends and cancellations. The usage of
 * runners is kept in memory and rebuilt from the records and the runners' lists.
 */

import {
  addResources,
  type Clock,
  type Logger,
  type Resources,
} from "../common/mod.ts";
import type { Metrics } from "../report/metrics.ts";
import {
  type MeasureTime,
  runUnmeasured,
  type TimeUse,
} from "../report/time_use.ts";
import { createAdmission } from "./admission.ts";
import { createBegunJobs } from "./begun_jobs.ts";
import {
  PLAN_PERIOD_MS,
  URGENT_PLAN_PERIOD_MS,
  WATCH_PERIOD_MS,
} from "./constants.ts";
import {
  createEligibilityCache,
  type EligibilityAnswer,
  type EligibilityQuery,
  type KeptReport,
} from "./eligibility.ts";
import { createEvacuatedRunners } from "./evacuated_runners.ts";
import {
  createEvacuationCalls,
  type EvacuationCalls,
} from "./evacuation_calls.ts";
import { createLeaderLoad } from "./leader_load.ts";
import { createOpenSteps } from "./open_steps.ts";
import type { OpenStep, Plan } from "./plan_types.ts";
import { planStarts } from "./planning.ts";
import { createProbation } from "./probation.ts";
import { createRecordQueue } from "./record_queue.ts";
import { createPacedRounds } from "./paced_rounds.ts";
import { startAnswerRecall } from "./recalled_answers.ts";
import type { RunnerCalls } from "./runner_calls.ts";
import type { RunnerAnnouncement } from "./runner_announcements.ts";
import { createRunnerFleet } from "./runner_fleet.ts";
import { createRunnerHealth } from "./runner_health.ts";
import type { Runner } from "./runner_table.ts";
import { createRunTimes } from "./run_times.ts";
import { createStartOrders } from "./start_orders.ts";
import { computeStartValidity, DRAIN_NOTICE_MS } from "./start_validity.ts";
import { type EligibilityTimes, formatStep, type WorkRecord } from "./types.ts";
import { sortSteps } from "./urgency.ts";
import { createWorkCalls, type WorkCalls } from "./work_calls.ts";
import { countOccurrences, isOpenJob, type WorkState } from "./work_state.ts";
import { createWorkspaceUsageTracker } from "./workspace_use.ts";

/** Time for which a step waits before the reason is logged, and between repetitions, in milliseconds. */
const WAIT_LOG_MS = 2_000;

/** Maximum number of log lines about waiting steps in one round, so that a long queue does not flood the log. */
const MAX_WAIT_LOG_LINES = 5;

/** Time for which ended jobs are kept beyond `keepMs`, and between two cleanups, in milliseconds. */
const RETENTION_SLACK_MS = 30_000;

/**
 * Times of the eligibility service for a queue without settings of it, whose runners
 * reject starts without a ticket all the same.
 */
const ASSUMED_ELIGIBILITY: EligibilityTimes = Object.freeze({
  baseMs: 1_000,
  perRunnerMs: 10,
  validMs: 1_500,
});

/** Options of the controller. */
export interface WorkControllerOptions {
  clock: Clock;
  logger: Logger;
  metrics?: Pick<Metrics, "addCount" | "setGauge" | "recordDuration">;
  state: WorkState;
  /** Creates a fencing token that is higher than all earlier ones. */
  createFencingToken: () => number;
  /** Returns whether this process still holds the leadership. */
  isLeading: () => boolean;
  /** Writes records to the log; resolves once they are committed and applied. */
  propose: (records: readonly WorkRecord[]) => Promise<void>;
  calls: RunnerCalls;
  /** Sends a query through the instance `caller`; rejects when no answer arrives. */
  ask: (
    caller: string,
    question: EligibilityQuery,
    timeoutMs: number,
  ) => Promise<EligibilityAnswer>;
  /** Asks an instance for the eligibility answers that it has kept. Default: none is asked. */
  getReport?: (instance: string, timeoutMs: number) => Promise<KeptReport>;
  /** Longest lease that runners accept, in milliseconds. */
  maxLeaseMs: number;
  /** Time for which a draining runner may still be started on, in milliseconds; 0 for no limit. Default `DRAIN_NOTICE_MS`. */
  drainNoticeMs?: number | undefined;
  /** Time for which the state of an ended job remains available, in milliseconds. */
  keepMs: number;
  /** Lists the configured data centres. Default: only those of registered runners are known. */
  listDataCentres?: (() => readonly string[]) | undefined;
  /** True if jobs are refused that cannot end before they lose their value. Default false. */
  admission?: boolean | undefined;
  /** Maximum occurrences of one job that are open at once; see `JobLimits`. */
  maxOpenOccurrences?: number | undefined;
  /** Called when a runner has seen a higher fencing token than this leadership's. */
  handleStaleFence: () => void;
  /** Waits until the messages that have arrived are read. Default: does not wait. */
  waitForTurn?: () => Promise<void>;
  /** Sums of the time that the leader's process takes. Default: none are kept. */
  timeUse?: TimeUse;
  /** Sorts the open steps for a planning round. Default `sortSteps`. */
  sortSteps?: (steps: readonly OpenStep[], wallMs: number) => OpenStep[];
  /** Decides which steps are confined while runners crash. Default `createProbation`. */
  createProbation?: typeof createProbation;
}

/** The leader's interface for callers, operators and runners. */
export interface WorkController extends WorkCalls, EvacuationCalls {
  announceRunner(announcement: RunnerAnnouncement): Promise<void>;
  removeRunner(id: string): Promise<void>;
  /** Sets the instances that can send queries to the eligibility service. */
  setCallers(names: readonly string[]): void;
  stop(): void;
}

/** Lists the jobs of whose tasks a crash changes a count. */
function listCrashJobs(
  { suspects, lateSuspects = [], withdrawn = [] }: WorkRecord & {
    kind: "crash";
  },
): ReadonlySet<string> {
  const tasks = [...suspects, ...lateSuspects, ...withdrawn];
  return new Set(tasks.map(({ job }) => job));
}

/** Measures the time that it takes to send the calls to runners. */
function measureCalls(calls: RunnerCalls, measure: MeasureTime): RunnerCalls {
  return {
    start: (...order) => measure("orders", () => calls.start(...order)),
    stop: (...order) => measure("orders", () => calls.stop(...order)),
    hold: (...order) => measure("orders", () => calls.hold(...order)),
    release: (address) => calls.release(address),
    releaseOwn: (address) => calls.releaseOwn(address),
  };
}

/** Starts the controller for one leadership. */
export function startWorkController(
  options: WorkControllerOptions,
): WorkController {
  const { clock, logger, metrics, state, isLeading, timeUse } = options;
  const measure = timeUse?.measure ?? runUnmeasured;
  const reservations = new Map<string, Map<string, Resources>>();
  let gangHolds: ReadonlyMap<string, string> = new Map();
  const waitLoggedMs = new Map<string, number>();
  /** Ended jobs that are kept; each member of a gang has an end, and the first one ends the job. */
  const endedJobs = new Set<string>();
  const sortOpenSteps = options.sortSteps ?? sortSteps;
  const workspaces = createWorkspaceUsageTracker({ state, clock });
  const runTimes = createRunTimes();
  /** Queues without eligibility settings of which a start was rejected for lack of a ticket. */
  const ticketedQueues = new Set<string>();
  const openSteps = createOpenSteps({
    state,
    clock,
    workspaces,
    runTimes,
    findAssumedEligibility: (name) =>
      ticketedQueues.has(name) ? ASSUMED_ELIGIBILITY : undefined,
    maxOpenOccurrences: options.maxOpenOccurrences,
  });
  const probation = (options.createProbation ?? createProbation)({
    state,
    clock,
    logger,
  });
  const queue = createRecordQueue({ clock, propose: options.propose });
  const begunJobs = createBegunJobs({ clock, state, record: recordSafely });
  const metricsOptions = metrics === undefined ? {} : { metrics };
  const admission = createAdmission({
    state,
    runTimes,
    workspaces,
    listSteps: openSteps.list,
    listRunners: (pool) => fleet.runnersByPool.get(pool) ?? [],
    listOpenRunners: (pool) => evacuated.getOpenRunners().get(pool) ?? [],
  });
  const calls = createWorkCalls({
    clock,
    logger,
    ...metricsOptions,
    state,
    queue,
    begunJobs,
    keepMs: options.keepMs,
    admit: options.admission === true
      ? (job) => admission.checkJob(job, clock.now(), clock.wallTime())
      : undefined,
  });
  const { setEvacuation } = createEvacuationCalls({
    clock,
    logger,
    state,
    queue,
    listDataCentres: options.listDataCentres,
  });
  const eligibility = createEligibilityCache({
    clock,
    logger,
    ask: options.ask,
    handleAnswer: () => startPlan(),
  });
  const recall = options.getReport && startAnswerRecall({
    clock,
    logger,
    ...metricsOptions,
    state,
    eligibility,
    getReport: options.getReport,
    getValidMs: (name) =>
      (state.findQueue(name)?.eligibility ?? ASSUMED_ELIGIBILITY).validMs,
    handleAnswers: () => startPlan(),
  });
  const leaderLoad = createLeaderLoad({ clock, logger });
  const { recordLateness } = leaderLoad;
  const fleet = createRunnerFleet({
    clock,
    logger,
    ...metricsOptions,
    state,
    workspaces,
    queue,
    begunJobs,
    createHealth: (listPool) =>
      createRunnerHealth({
        clock,
        logger,
        ...metricsOptions,
        state,
        runTimes,
        listPool,
      }),
    record: recordSafely,
    calls: measureCalls(options.calls, measure),
    measure,
    createFencingToken: options.createFencingToken,
    maxLeaseMs: options.maxLeaseMs,
    startValidityMs: computeStartValidity(
      options.drainNoticeMs ?? DRAIN_NOTICE_MS,
    ),
    isLeading: isActive,
    waitForTurn: options.waitForTurn,
    isBusy: leaderLoad.isBusy,
    handleStaleFence: options.handleStaleFence,
    handleChange: () => startPlan(),
  });
  const evacuated = createEvacuatedRunners({
    clock,
    logger,
    ...metricsOptions,
    state,
    runnersByPool: fleet.runnersByPool,
  });
  const { startPlanned } = createStartOrders({
    clock,
    logger,
    ...metricsOptions,
    state,
    fleet,
    begunJobs,
    eligibility,
    openSteps,
    evacuated,
    workspaces,
    record: recordSafely,
    isStopped: () => isStopped,
    handleTicketRefusal: addTicketedQueue,
  });
  const planning = createPacedRounds({
    clock,
    periodMs: PLAN_PERIOD_MS,
    runRound: () => measure("planning", planAll),
    recordLateness,
  });
  // In a full pool many steps wait and a round over all of them takes long, so
  // urgent steps have their own rounds.
  const urgentPlanning = createPacedRounds({
    clock,
    periodMs: URGENT_PLAN_PERIOD_MS,
    runRound: () => measure("planning", planUrgent),
    recordLateness,
  });
  let isStopped = false;
  let nextCleanupMs = 0;

  function isActive(): boolean {
    return !isStopped && isLeading();
  }

  /**
   * Writes records to the log and returns whether this succeeded. A failure
   * usually means that the leadership has ended; the next leader decides anew.
   */
  async function recordSafely(
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

  /**
   * Makes steps of a queue wait for tickets if it has no eligibility settings. Otherwise
   * its starts would be repeated without a ticket, and rejected, for ever.
   */
  function addTicketedQueue(queueName: string): void {
    const isKnown = ticketedQueues.has(queueName) ||
      state.findQueue(queueName)?.eligibility !== undefined;
    if (isKnown) return;
    logger.warn("Runners require tickets of a queue without eligibility", {
      queue: queueName,
    });
    ticketedQueues.add(queueName);
    openSteps.refreshAll();
  }

  function startPlan(): void {
    urgentPlanning.request();
    planning.request();
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
        before === undefined ? resources : addResources(before, resources),
      );
    }
  }

  function removeReservation(stepKey: string): void {
    for (const reserved of reservations.values()) reserved.delete(stepKey);
  }

  /** Logs why steps wait, so that delays of a job can be explained later. */
  function logWaits(waits: Plan["waits"]): void {
    const nowMs = clock.now();
    let lines = 0;
    for (const { step, reason } of waits) {
      if (lines >= MAX_WAIT_LOG_LINES) return;
      const lastMs = waitLoggedMs.get(step.key);
      if (lastMs === undefined) waitLoggedMs.set(step.key, nowMs);
      if (lastMs === undefined || nowMs - lastMs < WAIT_LOG_MS) continue;
      waitLoggedMs.set(step.key, nowMs);
      lines += 1;
      logger.info("Step waits", {
        step: step.key,
        reason,
        waiting: step.waiting.length,
        eligible: eligibility.get(step.key)?.isEligible.size,
        untilDueMs: Math.round(step.dueMs - clock.wallTime()),
      });
    }
  }

  function planUrgent(): void {
    if (!isActive()) return;
    const wallMs = clock.wallTime();
    const urgent = openSteps.list().filter(({ priority, dueMs }) =>
      priority === 0 && dueMs >= wallMs
    );
    if (urgent.length === 0) return;
    const keys = new Set(urgent.map(({ key }) => key));
    plan(urgent, wallMs, (key) => keys.has(key));
  }

  function planAll(): void {
    if (!isActive()) return;
    const open = openSteps.list();
    if (open.length === 0) {
      gangHolds = new Map();
      return;
    }
    const decided = plan(open, clock.wallTime(), () => true);
    gangHolds = decided.gangHolds;
    logWaits(evacuated.updateReasons(decided.waits));
  }

  /** Plans a round over some steps and executes it; `isCovered` tells whether the round includes a step. */
  function plan(
    open: readonly OpenStep[],
    wallMs: number,
    isCovered: (stepKey: string) => boolean,
  ): Plan {
    // Asked for each waiting step, but the same for all steps of a queue in a round.
    const freeCallers = new Map<EligibilityTimes, boolean>();
    const runnersByPool = evacuated.getOpenRunners();
    const decided = planStarts({
      nowMs: clock.now(),
      wallMs,
      steps: sortOpenSteps(probation.assignSteps(open), wallMs),
      runnersByPool,
      getEligibility: (key) => eligibility.get(key),
      workspaces: workspaces.list(),
      reservations,
      gangHolds,
      probation: probation.pickRunners(runnersByPool),
      patientStarts: leaderLoad.getPatientStarts(),
      mayQuery(times) {
        const isFree = freeCallers.get(times) ??
          eligibility.hasFreeCaller(times);
        freeCallers.set(times, isFree);
        return isFree;
      },
    });
    // A reservation lasts while its query is in progress, and for the next round
    // after the answer, in which the step may start.
    for (const reserved of reservations.values()) {
      for (const key of reserved.keys()) {
        const isOpen = (eligibility.get(key)?.openQueries ?? 0) > 0;
        if (isCovered(key) && !isOpen) reserved.delete(key);
      }
    }
    for (const start of decided.starts) {
      removeReservation(start.step.key);
      void startPlanned(start);
    }
    for (const { step, runners, reserve: reservedRunners } of decided.queries) {
      if (step.eligibility === undefined) continue;
      const { job, occurrence } = step;
      const isSent = eligibility.startQuery(
        step.key,
        { job, occurrence, step: step.step, runners },
        step.eligibility,
      );
      if (isSent) {
        recordReservation(step.key, reservedRunners, step.spec.resources);
      }
    }
    return decided;
  }

  function handleRecord(record: WorkRecord): void {
    if (isStopped) return;
    switch (record.kind) {
      case "configuration":
        ticketedQueues.clear();
        openSteps.refreshAll();
        break;
      case "job":
        if (state.getJob(record.job.id) === undefined) break;
        workspaces.addJob(record.job);
        openSteps.refresh(record.job.id);
        break;
      case "cancel":
        openSteps.refresh(record.job);
        fleet.stopJob(record.job);
        break;
      case "start":
        openSteps.refresh(record.job, record.occurrence);
        break;
      case "end":
        openSteps.refresh(record.task.job, record.task.occurrence);
        handleJobEnd(record.task.job);
        break;
      case "crash":
        probation.recordCrash(record);
        for (const job of listCrashJobs(record)) {
          openSteps.refresh(job);
          handleJobEnd(job);
        }
        break;
      case "forget":
        for (const job of record.jobs) endedJobs.delete(job);
        break;
      case "runner":
        fleet.applyRunner(record.runner.id);
        break;
    }
    startPlan();
  }

  function handleJobEnd(id: string): void {
    const job = state.getJob(id);
    if (job === undefined || isOpenJob(job) || endedJobs.has(id)) return;
    endedJobs.add(id);
    job.spec.steps.forEach((_, step) => {
      const count = countOccurrences(job.spec);
      for (let occurrence = 0; occurrence < count; occurrence += 1) {
        const key = formatStep({ job: id, occurrence, step });
        eligibility.remove(key);
        fleet.health.removeStep(key);
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
    if (job.state !== "completed") fleet.stopJob(id);
  }

  function restore(): void {
    for (const job of state.listJobs()) {
      if (!isOpenJob(job)) continue;
      workspaces.addJob(job.spec);
      openSteps.refresh(job.spec.id);
    }
    fleet.restore();
  }

  function watch(): void {
    if (isStopped) return;
    fleet.checkRuns();
    if (openSteps.refreshTimed() || openSteps.count() > 0) startPlan();
    metrics?.setGauge("steps_waiting", openSteps.list().length);
    metrics?.setGauge("leader_lateness_ms", leaderLoad.getLatenessMs());
    timeUse?.report(leaderLoad.isBusy());
    evacuated.report();
    removeOldJobs();
    clock.setTimer(WATCH_PERIOD_MS, watch);
  }

  function removeOldJobs(): void {
    const nowMs = clock.now();
    if (nowMs < nextCleanupMs) return;
    nextCleanupMs = nowMs + RETENTION_SLACK_MS;
    const limitMs = clock.wallTime() - options.keepMs - RETENTION_SLACK_MS;
    const jobs = [...state.listJobs()]
      .filter((job) => !isOpenJob(job) && job.endedMs < limitMs)
      .map(({ spec }) => spec.id);
    const earlyCancels = state.listEarlyCancels()
      .filter(({ atMs }) => atMs < limitMs);
    if (jobs.length + earlyCancels.length === 0) return;
    void recordSafely([{ kind: "forget", jobs, earlyCancels }]);
  }

  state.setListener((record) => measure("records", () => handleRecord(record)));
  restore();
  watch();
  startPlan();

  return {
    ...calls,
    setEvacuation,
    announceRunner: fleet.announceRunner,
    removeRunner: fleet.removeRunner,
    setCallers(names) {
      eligibility.setCallers(names);
      recall?.askInstances(names);
      startPlan();
    },
    stop() {
      isStopped = true;
      planning.stop();
      begunJobs.stop();
      recall?.stop();
      urgentPlanning.stop();
      state.setListener(undefined);
      fleet.stop();
    },
  };
}
