/**
 * Simulates runners: their answers to orders, run times and faults. Follows the
 * rules of a runner (leases on its own clock, fencing tokens, run numbers,
 * gangs) on a given clock, without a network.
 */

import {
  type Clock,
  createFault,
  fitsWithin,
  type Resources,
  wait,
} from "../common/mod.ts";
import {
  formatTask,
  type HoldOrder,
  type HoldReply,
  type ListedEnd,
  MAX_LISTED_ENDS,
  type OrderReply,
  type RunnerCalls,
  type RunnerEntry,
  type RunnerTarget,
  type StartOrder,
  type StopOrder,
  type TaskRef,
} from "../workload/mod.ts";

/** Faults of a runner; each may be changed at any time. */
export interface RunnerFaults {
  /** Neither calls nor answers get through. */
  isPartitioned: boolean;
  /** New calls find no connection; the runs go on. */
  refusesConnections: boolean;
  /** Runs start and never make progress. */
  hangs: boolean;
  /** Every run fails. */
  fails: boolean;
  /** Delay before orders are executed, in milliseconds; such orders get no answer. 0 executes and answers at once. */
  orderDelayMs: number;
  /** The same for all calls: starts, stops and polls. */
  callDelayMs: number;
  /** Factor applied to each run time. */
  runTimeFactor: number;
}

/** A violation of a platform rule by a run. */
export interface Violation {
  readonly rule:
    | "capacity"
    | "quota"
    | "twice"
    | "afterDone"
    | "attempts"
    | "alone"
    | "crashes"
    | "draining";
  readonly detail: string;
}

interface Run {
  readonly order: StartOrder;
  readonly startMs: number;
  readonly endMs: number;
  readonly willFail: boolean;
  stopMs: number | undefined;
}

/** A run that ended by itself, kept to detect that its task is started again. */
interface KeptEnd {
  readonly task: TaskRef;
  readonly outcome: "done" | "failed";
  readonly runner: string;
  readonly number: number;
  /** True once the scheduler has acknowledged the end, so that the runner may drop it. */
  isAcknowledged: boolean;
  /** True once the runner's lease ended before the acknowledgement; the end then never counts. */
  hasLapsed: boolean;
  hasStartedAgain: boolean;
}

/** A capacity that still counts after the runner has shrunk. */
interface FormerCapacity {
  readonly capacity: Resources;
  readonly untilMs: number;
}

interface ModelRunner {
  entry: RunnerEntry;
  formerCapacities: FormerCapacity[];
  readonly faults: RunnerFaults;
  /** Time at which its own clock started, in milliseconds of the model's clock. */
  readonly clockStartMs: number;
  fence: number;
  /** End of its lease on its own clock, in milliseconds. */
  leaseUntilMs: number;
  runs: Map<string, Run>;
  /** Highest run number that was stopped or has ended, by task. */
  ended: Map<string, number>;
  ends: ListedEnd[];
  nextEnd: number;
  isGone: boolean;
  /** True if its process has ended while its machine goes on, which refuses connections. */
  hasLeft: boolean;
  /** Time at which the scheduler acknowledged that it drains, in milliseconds; undefined before. */
  drainingSinceMs: number | undefined;
  waiters: Set<() => void>;
}

/** Behaviour of a task in the model. */
export interface TaskFacts {
  /** Run time on a healthy runner in milliseconds. */
  readonly durationMs: number;
  readonly processors: number;
  readonly memoryMb: number;
  /** True when every run of the task fails. */
  readonly alwaysFails: boolean;
  /** True when the task crashes each runner that starts it. */
  readonly crashesRunner: boolean;
  /** Time from its start to the crash, in milliseconds. Default 10. */
  readonly crashDelayMs?: number;
  /** Number of tasks in the gang; 0 for a task outside of gangs. */
  readonly gangSize: number;
}

/** Workspace of a task and what it may have running on all runners. */
export interface TaskQuota {
  readonly workspace: string;
  /** Maximum resources in use at once; 0 for no limit. */
  readonly cap: Resources;
}

/** Options of the model. */
export interface RunnerModelOptions {
  clock: Clock;
  getTaskFacts: (task: TaskRef) => TaskFacts;
  /** Returns the quota of a task; undefined for none. Default: no task has one. */
  getQuota?: (task: TaskRef) => TaskQuota | undefined;
  /** Network delay of each call and of each answer, in milliseconds. Default 2. */
  delayMs?: number;
  /** Time from a stop order to the end of the run, in milliseconds. Default 100. */
  stopMs?: number;
  /** Returns the number of failed runs after which a task must not start again. Default: no limit. */
  getMaxAttempts?: (task: TaskRef) => number;
  /** Tells whether a start carries a ticket that its runner accepts. Default: each does. */
  hasTicket?: (entry: RunnerEntry, order: StartOrder) => boolean;
  /** Returns the rate of a runner's own clock; the platform states at least 0.98. Default 1. */
  getClockRate?: (entry: RunnerEntry) => number;
  /** Called after each crash; may add the next incarnation later. */
  handleCrash?: (entry: RunnerEntry) => void;
  /** Called when a run starts, also by an order that is executed late. */
  handleStart?: (entry: RunnerEntry, order: StartOrder) => void;
}

/** A model of all runners of a cell. */
export interface RunnerModel {
  readonly calls: RunnerCalls;
  readonly violations: Violation[];
  /** Returns the number of runs started so far. */
  countStarts(): number;
  /** Adds a runner without faults, or replaces its incarnation; returns its faults for changes. */
  add(entry: RunnerEntry): RunnerFaults;
  /** Changes the capacity of a runner while it runs; returns what it announces from now on. */
  changeCapacity(id: string, capacity: Resources): RunnerEntry;
  /** Makes a runner announce that it drains; returns what it announces from now on. */
  startDraining(id: string): RunnerEntry;
  /** Records that the scheduler has acknowledged that an incarnation drains, unless that is gone. */
  recordDraining(entry: RunnerEntry): void;
  /** Returns the current time of a runner's own clock in milliseconds. */
  readClock(id: string): number;
  /** Ends an incarnation at once; its runs and ends are lost, and calls get no answer. */
  crash(id: string): void;
  /** Ends an incarnation at once; its runs and ends are lost, and calls find no connection. */
  leave(id: string): void;
  /** Returns the number of runners that tasks have crashed so far. */
  countCrashes(): number;
  /** Returns the number of runs that were lost in crashes so far. */
  countLostRuns(): number;
  /** Lists the current runs. */
  listRunning(): { task: TaskRef; run: number; runner: string }[];
  /** Returns the processors of all current runs, in the unit of `TaskFacts`. */
  getProcessorsUsed(): number;
  /** Records a disruption outside of the runners, such as a leader change. */
  recordDisruption(): void;
}

/** Time after a disruption during which incomplete gangs are no violation, in milliseconds. */
const DISRUPTION_MS = 10_000;

/** Time for which a gang member waits for the others, in milliseconds. */
const GANG_WAIT_MS = 3_000;

/** Time after which a shrunk capacity counts, in milliseconds; the platform states its contact time and one heartbeat. */
const SHRINK_DELAY_MS = 3_000 + 1_500;

/** Time after the acknowledgement that a runner drains from which no task may start there, in milliseconds; the platform states 2 s or more. */
const DRAIN_NOTICE_MS = 2_000;

/** Share of a cap by which a workspace may exceed it; the platform allows one task more as well. */
const QUOTA_OVERAGE = 0.1;

/** Longest lease that a runner grants, in milliseconds. */
const MAX_LEASE_MS = 10_000;

/** Usual time from the start of a task to the crash that it causes, in milliseconds. */
const CRASH_DELAY_MS = 10;

/** Number of crashes after which further starts of a task are counted. */
const MAX_CRASHES = 3;

/** Number of starts after these crashes that is a violation. */
const MAX_STARTS_AFTER_CRASHES = 3;

/** Time between two updates of the simulated runs, in milliseconds. */
const TICK_MS = 5;

/** Reply of another incarnation than the one that an order names. */
const OTHER_LIFE: OrderReply = { outcome: "otherLife", clockMs: undefined };

/** Creates a model without runners. */
export function createRunnerModel(options: RunnerModelOptions): RunnerModel {
  const { clock } = options;
  const delayMs = options.delayMs ?? 2;
  const stopMs = options.stopMs ?? 100;
  const runners = new Map<string, ModelRunner>();
  const violations: Violation[] = [];
  const keptEnds = new Map<string, KeptEnd[]>();
  /** Crashes under each task that causes them, and its starts after the last one that is allowed. */
  const crashes = new Map<string, { count: number; startsAfter: number }>();
  let runnerCrashes = 0;
  let lostRuns = 0;
  let disruptedMs = -Infinity;
  let starts = 0;

  function findRunner(id: string): ModelRunner | undefined {
    const runner = runners.get(id);
    return runner === undefined || runner.isGone ? undefined : runner;
  }

  /** Finds the runner that listens at an address; its id may be another one than the caller expects. */
  function findListener(address: string): ModelRunner | undefined {
    for (const runner of runners.values()) {
      if (!runner.isGone && runner.entry.address === address) return runner;
    }
    return undefined;
  }

  /** Waits for the network delay; rejects after the timeout when the runner is unreachable. */
  async function findReachable(
    target: RunnerTarget,
    timeoutMs: number,
  ): Promise<ModelRunner> {
    await wait(clock, delayMs);
    const runner = findListener(target.address);
    const hasLeft = runner === undefined &&
      [...runners.values()].some((other) =>
        other.hasLeft && other.entry.address === target.address
      );
    if (hasLeft || runner?.faults.refusesConnections === true) {
      throw createFault("unavailable", `Cannot connect to "${target.id}"`);
    }
    if (runner !== undefined && !runner.faults.isPartitioned) return runner;
    await wait(clock, timeoutMs);
    throw createFault("outcomeUnknown", `Cannot reach runner "${target.id}"`);
  }

  /** Returns whether the token is not older than the newest one seen, and keeps it if so. */
  function checkFencingToken(runner: ModelRunner, fence: number): boolean {
    if (fence < runner.fence) return false;
    runner.fence = fence;
    return true;
  }

  function getRunner(id: string): ModelRunner {
    const runner = findRunner(id);
    if (runner === undefined) {
      throw createFault("notFound", `Cannot find runner "${id}"`);
    }
    return runner;
  }

  /** Returns the time on the runner's own clock, in whole milliseconds. */
  function readClock(runner: ModelRunner): number {
    const rate = options.getClockRate?.(runner.entry) ?? 1;
    return Math.floor(rate * (clock.now() - runner.clockStartMs));
  }

  function grantLease(runner: ModelRunner, untilMs: number): void {
    runner.leaseUntilMs = Math.max(
      runner.leaseUntilMs,
      Math.min(untilMs, readClock(runner) + MAX_LEASE_MS),
    );
  }

  /** Makes the runner refuse the runs of a task up to this one. */
  function closeRuns(runner: ModelRunner, key: string, run: number): void {
    runner.ended.set(key, Math.max(runner.ended.get(key) ?? 0, run));
  }

  function endRun(
    runner: ModelRunner,
    key: string,
    outcome: ListedEnd["outcome"],
  ): void {
    const run = runner.runs.get(key);
    if (run === undefined) return;
    runner.runs.delete(key);
    closeRuns(runner, key, run.order.run);
    if (outcome === "done" || outcome === "failed") {
      const ends = keptEnds.get(key) ?? [];
      keptEnds.set(key, ends);
      ends.push({
        task: run.order.task,
        outcome,
        runner: runner.entry.id,
        number: runner.nextEnd,
        isAcknowledged: false,
        hasLapsed: false,
        hasStartedAgain: false,
      });
    }
    runner.ends.push({
      number: runner.nextEnd++,
      task: run.order.task,
      run: run.order.run,
      outcome,
      checkpoint: "",
    });
    for (const wake of [...runner.waiters]) wake();
  }

  function listGang(task: TaskRef, runNumber: number) {
    const members: { runner: ModelRunner; key: string; run: Run }[] = [];
    for (const runner of runners.values()) {
      for (const [key, run] of runner.runs) {
        const other = run.order.task;
        const isMember = other.job === task.job && other.step === task.step &&
          other.occurrence === task.occurrence && run.order.run === runNumber;
        if (isMember) members.push({ runner, key, run });
      }
    }
    return members;
  }

  function checkCapacity(runner: ModelRunner): void {
    let processors = 0;
    let memoryMb = 0;
    for (const { order } of runner.runs.values()) {
      const facts = options.getTaskFacts(order.task);
      processors += facts.processors;
      memoryMb += facts.memoryMb;
    }
    const { capacity, id } = runner.entry;
    const nowMs = clock.now();
    const used = { processors, memoryMb, accelerators: 0 };
    const counting = [
      capacity,
      ...runner.formerCapacities
        .filter(({ untilMs }) => nowMs < untilMs)
        .map((former) => former.capacity),
    ];
    if (counting.some((amount) => fitsWithin(used, amount))) return;
    violations.push({
      rule: "capacity",
      detail: `${id}: ${processors} of ${capacity.processors}`,
    });
  }

  /** Reports a start that brings what its workspace has running over its quota. */
  function checkQuota({ task }: StartOrder): void {
    const quota = options.getQuota?.(task);
    if (quota === undefined) return;
    const { workspace, cap } = quota;
    if (cap.processors === 0 && cap.memoryMb === 0) return;
    let processors = 0;
    let memoryMb = 0;
    for (const { runs } of runners.values()) {
      for (const { order } of runs.values()) {
        if (options.getQuota?.(order.task)?.workspace !== workspace) continue;
        const facts = options.getTaskFacts(order.task);
        processors += facts.processors;
        memoryMb += facts.memoryMb;
      }
    }
    const started = options.getTaskFacts(task);
    const fitsCap = (used: number, limit: number, one: number) =>
      limit === 0 || used <= limit * (1 + QUOTA_OVERAGE) + one;
    const fits = fitsCap(processors, cap.processors, started.processors) &&
      fitsCap(memoryMb, cap.memoryMb, started.memoryMb);
    if (fits) return;
    violations.push({
      rule: "quota",
      detail: `${workspace}: ${processors} of ${cap.processors}`,
    });
  }

  /**
   * Reports a task that was started again after an end "done", or after too many ends
   * "failed", that are acknowledged; the start and the acknowledgement may come in
   * either order.
   */
  function checkEnds(task: TaskRef, ended: KeptEnd): void {
    const isCounted = (end: KeptEnd) =>
      end.isAcknowledged && !end.hasLapsed && end.hasStartedAgain;
    if (!isCounted(ended)) return;
    const key = formatTask(task);
    if (ended.outcome === "done") {
      violations.push({
        rule: "afterDone",
        detail: `${key} after ${ended.runner}`,
      });
      return;
    }
    const failures =
      (keptEnds.get(key) ?? []).filter((end) =>
        end.outcome === "failed" && isCounted(end)
      ).length;
    if (failures < (options.getMaxAttempts?.(task) ?? Infinity)) return;
    violations.push({
      rule: "attempts",
      detail: `${key} after ${failures} failed runs`,
    });
  }

  function recordAcknowledgedEnds(
    runner: ModelRunner,
    recordedEnds: number,
  ): void {
    for (const ends of keptEnds.values()) {
      for (const end of ends) {
        const isOwn = end.runner === runner.entry.id &&
          end.number <= recordedEnds;
        if (!isOwn || end.isAcknowledged || runner.isGone) continue;
        end.isAcknowledged = true;
        checkEnds(end.task, end);
      }
    }
  }

  function setEndsLapsed(runner: ModelRunner): void {
    for (const ends of keptEnds.values()) {
      for (const end of ends) {
        if (end.runner === runner.entry.id && !end.isAcknowledged) {
          end.hasLapsed = true;
        }
      }
    }
  }

  function hasFaults(runner: ModelRunner): boolean {
    const { faults } = runner;
    return runner.isGone || faults.isPartitioned ||
      faults.refusesConnections || faults.hangs ||
      faults.fails || faults.orderDelayMs > 0 ||
      faults.callDelayMs > 0 || faults.runTimeFactor !== 1;
  }

  function checkCrashes(task: TaskRef): void {
    // A task without a limit of attempts is restarted for ever.
    if (options.getMaxAttempts?.(task) === Infinity) return;
    const key = formatTask(task);
    const known = crashes.get(key);
    if (known === undefined || known.count < MAX_CRASHES) return;
    known.startsAfter += 1;
    if (known.startsAfter < MAX_STARTS_AFTER_CRASHES) return;
    violations.push({
      rule: "crashes",
      detail: `${key} started after ${known.count} crashes`,
    });
  }

  function endWithCrash(runner: ModelRunner): void {
    if (runner.isGone) return;
    lostRuns += runner.runs.size;
    endIncarnation(runner.entry.id);
    options.handleCrash?.(runner.entry);
  }

  /** Crashes the runner some time after the start of a run, if it is still there. */
  function startCrash(
    runner: ModelRunner,
    { task, run }: StartOrder,
    afterMs: number,
  ): void {
    clock.setTimer(afterMs, () => {
      const current = runner.runs.get(formatTask(task));
      if (runner.isGone || current?.order.run !== run) return;
      runnerCrashes += 1;
      for (const [running, { order }] of runner.runs) {
        if (!options.getTaskFacts(order.task).crashesRunner) continue;
        const known = crashes.get(running) ?? { count: 0, startsAfter: 0 };
        known.count += 1;
        crashes.set(running, known);
      }
      endWithCrash(runner);
    });
  }

  /** Reports a start on a runner that the scheduler knows to drain; not one that the runner itself has held up. */
  function checkDraining(
    { drainingSinceMs, entry }: ModelRunner,
    { task }: StartOrder,
    isHeldUp: boolean,
  ): void {
    if (drainingSinceMs === undefined || isHeldUp) return;
    const sinceMs = clock.now() - drainingSinceMs;
    if (sinceMs <= DRAIN_NOTICE_MS) return;
    violations.push({
      rule: "draining",
      detail: `${formatTask(task)} on ${entry.id} after ${sinceMs} ms`,
    });
  }

  function startRun(
    runner: ModelRunner,
    order: StartOrder,
    isHeldUp: boolean,
  ): void {
    checkDraining(runner, order, isHeldUp);
    const key = formatTask(order.task);
    const facts = options.getTaskFacts(order.task);
    const { faults, entry } = runner;
    for (const other of runners.values()) {
      if (other.runs.has(key)) {
        violations.push({ rule: "twice", detail: `${key} on ${entry.id}` });
      }
    }
    for (const end of keptEnds.get(key) ?? []) {
      if (end.hasStartedAgain) continue;
      end.hasStartedAgain = true;
      checkEnds(order.task, end);
    }
    checkCrashes(order.task);
    if (facts.crashesRunner) {
      startCrash(runner, order, facts.crashDelayMs ?? CRASH_DELAY_MS);
    }
    const nowMs = clock.now();
    const durationMs = faults.hangs
      ? Infinity
      : facts.durationMs * faults.runTimeFactor;
    starts += 1;
    runner.runs.set(key, {
      order,
      startMs: nowMs,
      endMs: nowMs + durationMs,
      willFail: faults.fails || facts.alwaysFails,
      stopMs: undefined,
    });
    checkCapacity(runner);
    checkQuota(order);
    options.handleStart?.(entry, order);
  }

  function start(
    runner: ModelRunner,
    order: StartOrder,
    isHeldUp: boolean,
  ): OrderReply {
    const clockMs = readClock(runner);
    if (!checkFencingToken(runner, order.fence)) {
      return { outcome: "staleFence", clockMs };
    }
    grantLease(runner, order.untilMs);
    const key = formatTask(order.task);
    if (runner.runs.get(key)?.order.run === order.run) {
      return { outcome: "accepted", clockMs };
    }
    if (order.untilMs <= clockMs) return { outcome: "leaseEnded", clockMs };
    if ((runner.ended.get(key) ?? 0) >= order.run) {
      return { outcome: "staleRun", clockMs };
    }
    if (options.hasTicket?.(runner.entry, order) === false) {
      return { outcome: "ticketRefused", clockMs };
    }
    startRun(runner, order, isHeldUp);
    return { outcome: "accepted", clockMs };
  }

  /**
   * Executes a call at once and answers it, or executes it later without an answer. It
   * names the id only, so the next incarnation at the address executes it as well.
   */
  async function runCall<Reply>(
    { target, timeoutMs, getFaultDelayMs, otherLife }: {
      target: RunnerTarget;
      timeoutMs: number;
      /** Returns the delay by the faults of the runner, in milliseconds. */
      getFaultDelayMs: (faults: RunnerFaults) => number;
      otherLife: Reply;
    },
    execute: (
      runner: ModelRunner,
      /** True if the runner has held the call up. */
      isHeldUp: boolean,
    ) => Reply | Promise<Reply>,
  ): Promise<Reply> {
    const runner = await findReachable(target, timeoutMs);
    const lateMs = getFaultDelayMs(runner.faults);
    if (lateMs === 0) {
      if (runner.entry.id !== target.id) {
        await wait(clock, delayMs);
        return otherLife;
      }
      const reply = await execute(runner, false);
      await wait(clock, delayMs);
      return reply;
    }
    clock.setTimer(lateMs, () => {
      const receiver = findListener(target.address);
      if (receiver?.entry.id !== target.id) return;
      Promise.resolve(execute(receiver, true)).catch(() => {});
    });
    await wait(clock, timeoutMs);
    throw createFault(
      "outcomeUnknown",
      `Cannot get an answer from runner "${target.id}"`,
    );
  }

  function createHoldReply(
    runner: ModelRunner,
  ): HoldReply & { outcome: "accepted" } {
    const nowMs = clock.now();
    return {
      outcome: "accepted",
      clockMs: readClock(runner),
      startedMs: runner.entry.startedMs,
      running: [...runner.runs.values()].map(({ order, startMs, endMs }) => ({
        task: order.task,
        run: order.run,
        checkpoint: "",
        percent: endMs === Infinity
          ? 0
          : Math.floor(100 * (nowMs - startMs) / (endMs - startMs)),
      })),
      ended: runner.ends.slice(0, MAX_LISTED_ENDS),
    };
  }

  /** Ends a member whose gang stays incomplete for too long; returns whether the run may finish. */
  function checkGang(runner: ModelRunner, key: string, run: Run): boolean {
    const { gangSize } = options.getTaskFacts(run.order.task);
    if (gangSize <= 1) return true;
    const members = listGang(run.order.task, run.order.run);
    if (members.length === gangSize) return true;
    const nowMs = clock.now();
    if (nowMs - run.startMs > GANG_WAIT_MS && nowMs < run.endMs) {
      if (nowMs - disruptedMs > DISRUPTION_MS) {
        violations.push({ rule: "alone", detail: `${key}#${run.order.run}` });
      }
      endRun(runner, key, "alone");
    }
    return nowMs >= run.endMs;
  }

  function step(runner: ModelRunner): void {
    const nowMs = clock.now();
    for (const [key, run] of [...runner.runs]) {
      if (!runner.runs.has(key)) continue;
      if (run.stopMs !== undefined && nowMs >= run.stopMs) {
        endRun(runner, key, "stopped");
        continue;
      }
      if (!checkGang(runner, key, run) || nowMs < run.endMs) continue;
      const { gangSize } = options.getTaskFacts(run.order.task);
      const outcome = run.willFail ? "failed" : "done";
      if (gangSize > 1) {
        for (const member of listGang(run.order.task, run.order.run)) {
          const isFirst = member.key === key;
          const other = run.willFail ? "broken" : "done";
          endRun(member.runner, member.key, isFirst ? outcome : other);
        }
      } else {
        endRun(runner, key, outcome);
      }
    }
    if (readClock(runner) < runner.leaseUntilMs) return;
    setEndsLapsed(runner);
    for (const key of [...runner.runs.keys()]) endRun(runner, key, "lapsed");
  }

  function stepRunners(): void {
    for (const runner of runners.values()) {
      if (hasFaults(runner)) disruptedMs = clock.now();
      if (!runner.isGone) step(runner);
    }
    clock.setTimer(TICK_MS, stepRunners);
  }
  stepRunners();

  function stop(runner: ModelRunner, order: StopOrder): OrderReply {
    const clockMs = readClock(runner);
    if (!checkFencingToken(runner, order.fence)) {
      return { outcome: "staleFence", clockMs };
    }
    const key = formatTask(order.task);
    const run = runner.runs.get(key);
    if (run !== undefined && run.order.run === order.run) {
      run.stopMs ??= clock.now() + stopMs;
    } else {
      closeRuns(runner, key, order.run);
    }
    return { outcome: "accepted", clockMs };
  }

  async function replyToPoll(
    runner: ModelRunner,
    order: HoldOrder,
    /** Time at which the caller gives up, in milliseconds. */
    timeoutAtMs: number,
  ): Promise<HoldReply> {
    if (!checkFencingToken(runner, order.fence)) {
      return { outcome: "staleFence" };
    }
    if (order.untilMs !== undefined) grantLease(runner, order.untilMs);
    recordAcknowledgedEnds(runner, order.recordedEnds);
    runner.ends = runner.ends.filter(({ number }) =>
      number > order.recordedEnds
    );
    if (runner.ends.length === 0 && order.waitMs > 0) {
      await new Promise<void>((resolve) => {
        const wake = () => {
          runner.waiters.delete(wake);
          resolve();
        };
        runner.waiters.add(wake);
        clock.setTimer(order.waitMs, wake);
      });
    }
    if (runner.faults.isPartitioned || runner.isGone) {
      await wait(clock, Math.max(0, timeoutAtMs - clock.now()));
      throw createFault(
        "outcomeUnknown",
        `Cannot get an answer from runner "${runner.entry.id}"`,
      );
    }
    return createHoldReply(runner);
  }

  const calls: RunnerCalls = {
    start: (target, order, timeoutMs) =>
      runCall(
        {
          target,
          timeoutMs,
          getFaultDelayMs: ({ orderDelayMs, callDelayMs }) =>
            Math.max(orderDelayMs, callDelayMs),
          otherLife: OTHER_LIFE,
        },
        (runner, isHeldUp) => start(runner, order, isHeldUp),
      ),
    stop: (target, order, timeoutMs) =>
      runCall(
        {
          target,
          timeoutMs,
          getFaultDelayMs: ({ callDelayMs }) => callDelayMs,
          otherLife: OTHER_LIFE,
        },
        (runner) => stop(runner, order),
      ),
    hold: (target, order, timeoutMs) => {
      const timeoutAtMs = clock.now() + timeoutMs;
      return runCall<HoldReply>(
        {
          target,
          timeoutMs,
          getFaultDelayMs: ({ callDelayMs }) => callDelayMs,
          otherLife: { outcome: "otherLife" },
        },
        // Nobody waits for the reply to a late poll.
        (runner) => replyToPoll(runner, order, timeoutAtMs),
      );
    },
    release: () => {},
    releaseOwn: () => {},
  };

  function endIncarnation(id: string): void {
    const runner = runners.get(id);
    if (runner === undefined) return;
    runner.isGone = true;
    runner.runs.clear();
    // Ends that were not acknowledged are lost with the incarnation.
    setEndsLapsed(runner);
  }

  return {
    calls,
    violations,
    countStarts: () => starts,
    add(entry) {
      endIncarnation(entry.id);
      const former = findListener(entry.address);
      if (former !== undefined) endIncarnation(former.entry.id);
      const faults: RunnerFaults = {
        isPartitioned: false,
        refusesConnections: false,
        hangs: false,
        fails: false,
        orderDelayMs: 0,
        callDelayMs: 0,
        runTimeFactor: 1,
      };
      runners.set(entry.id, {
        entry,
        formerCapacities: [],
        faults,
        clockStartMs: clock.now(),
        fence: 0,
        leaseUntilMs: 0,
        runs: new Map(),
        ended: new Map(),
        ends: [],
        nextEnd: 1,
        isGone: false,
        hasLeft: false,
        drainingSinceMs: undefined,
        waiters: new Set(),
      });
      return faults;
    },
    crash(id) {
      const runner = runners.get(id);
      if (runner !== undefined) endWithCrash(runner);
    },
    leave(id) {
      const runner = runners.get(id);
      if (runner === undefined) return;
      endIncarnation(id);
      runner.hasLeft = true;
    },
    countCrashes: () => runnerCrashes,
    countLostRuns: () => lostRuns,
    changeCapacity(id, capacity) {
      const runner = getRunner(id);
      runner.formerCapacities.push({
        capacity: runner.entry.capacity,
        untilMs: clock.now() + SHRINK_DELAY_MS,
      });
      runner.entry = { ...runner.entry, capacity };
      return runner.entry;
    },
    startDraining(id) {
      const runner = getRunner(id);
      runner.entry = { ...runner.entry, isDraining: true };
      return runner.entry;
    },
    recordDraining({ id, startedMs }) {
      const runner = findRunner(id);
      if (runner?.entry.startedMs === startedMs) {
        runner.drainingSinceMs ??= clock.now();
      }
    },
    readClock: (id) => readClock(getRunner(id)),
    listRunning() {
      return [...runners.values()].flatMap((runner) =>
        [...runner.runs.values()].map(({ order }) => ({
          task: order.task,
          run: order.run,
          runner: runner.entry.id,
        }))
      );
    },
    recordDisruption() {
      disruptedMs = clock.now();
    },
    getProcessorsUsed() {
      let sum = 0;
      for (const runner of runners.values()) {
        for (const { order } of runner.runs.values()) {
          sum += options.getTaskFacts(order.task).processors;
        }
      }
      return sum;
    },
  };
}
