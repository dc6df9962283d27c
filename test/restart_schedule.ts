/**
 * Runs random schedules in which runners crash and come back while calls to them and
 * their announcements are late, and in which their capacity changes. The faults come
 * in overlapping series: crashes in a row or of several runners, returns under the
 * same or another id and address, partitions around a return, leader changes, and if
 * asked for, runners that leave and come back, with late removals. After the last fault
 * every job must reach its expected state.
 */

import { createSeededRandom, type Random } from "../src/common/mod.ts";
import {
  createJob,
  createModelConfiguration,
  createRunnerEntry,
  createTaskFacts,
  createWorkModel,
  type RunnerFaults,
} from "../src/model/mod.ts";
import {
  formatTask,
  hasChanges,
  type RunnerEntry,
  type StepSpec,
} from "../src/workload/mod.ts";
import type { ScheduleOptions, ScheduleOutcome } from "./work_schedule.ts";
import { createJobAddress } from "./work_model_calls.ts";

/** Options of a schedule with restarts. */
export interface RestartOptions extends ScheduleOptions {
  /** True if runners also leave, and the leader pauses meanwhile. Default: false. */
  hasPauses?: boolean;
  /** True if runners also leave. Default: false. */
  hasLeaves?: boolean;
}

/** Outcome of a schedule with restarts. */
export interface RestartOutcome extends Omit<ScheduleOutcome, "lateStarts"> {
  /** Crashes of all kinds. */
  readonly crashes: number;
  /** Changes of a capacity. */
  readonly resizes: number;
  /** Removals that were sent when their runner left. */
  readonly leaves: number;
}

/** A place where a runner runs, and its current or last incarnation. */
interface Machine {
  readonly name: string;
  entry: RunnerEntry;
  faults: RunnerFaults;
  isUp: boolean;
  sequence: number;
  /** Number of its incarnations, which also tells ids and addresses apart. */
  incarnations: number;
  /** Time of its next announcement in milliseconds. */
  nextBeatMs: number;
  /** True if its newest announcement was lost. */
  hasLostBeat: boolean;
  /** Time of its last shrink in milliseconds. */
  shrunkMs: number;
  /** Time at which its partition ends, in milliseconds. */
  partitionedUntilMs: number;
  /** Time until which calls to it are late, in milliseconds, and which ones. */
  lateUntilMs: number;
  lateCalls: "orderDelayMs" | "callDelayMs";
  lateMaxMs: number;
}

/** What a schedule does at a time. */
interface Action {
  readonly atMs: number;
  readonly run: () => void;
}

const MACHINES = 6;
const TICK_MS = 20;

/** Share of the ticks in which a series of faults starts: about one in two seconds. */
const SERIES_SHARE = 0.01;

/** Number of crashes with a start of the same task on the runner after which its job may be given up. */
const MAX_CRASHES = 3;

const PROCESSORS = 4_000;

/** Time between two announcements of a runner, in milliseconds. */
const BEAT_PERIOD_MS = 1_000;

/** Longest delay of a call or an announcement, in milliseconds; the platform states 12 s. */
const MAX_DELAY_MS = 12_000;

/** Time on the way of a removal that is not late, and of its acknowledgement, in milliseconds. */
const REMOVAL_DELAY_MS = 2;

/** Longest time between a crash and the return, in milliseconds. */
const MAX_RETURN_MS = 3_000;

/** Time after a shrink during which its announcement is neither lost nor cut off, in milliseconds. */
const SHRINK_BEAT_MS = 5_000;

/** Time for all jobs to end after the last fault, in milliseconds; more than a lease, the longest delay and the longest job. */
const SETTLE_MS = 45_000;

/** Time of a commit in schedules with pauses, so that starts are often being recorded, in milliseconds. */
const SLOW_COMMIT_MS = 150;

/** Part of it after which lasting tasks must run and cancelled ones must not, in milliseconds. */
const CALM_AFTER_MS = 30_000;

/** Longest time for which a lasting task may be away, in milliseconds. */
const MAX_AWAY_MS = 9_000;

/** Time after a cancel from which no start may be sent, in milliseconds. */
const CANCEL_MS = 3_000;

function createRandomSteps(random: Random): Partial<StepSpec>[] {
  const resources = () => ({
    processors: 300 + random.nextInt(1_200),
    memoryMb: 100,
    accelerators: 0,
  });
  if (random.nextFloat() < 0.08) {
    return [{
      tasks: 1 + random.nextInt(2),
      longRunning: true,
      estimatedMs: 1_000,
      resources: resources(),
    }];
  }
  const steps: Partial<StepSpec>[] = [];
  const count = 1 + random.nextInt(3);
  for (let number = 0; number < count; number += 1) {
    steps.push({
      tasks: 1 + random.nextInt(4),
      gang: random.nextFloat() < 0.2,
      estimatedMs: 50 + random.nextInt(random.nextFloat() < 0.3 ? 8_000 : 900),
      after: number > 0 && random.nextFloat() < 0.7 ? [number - 1] : [],
      resources: resources(),
    });
  }
  return steps;
}

/** Runs one schedule. */
export async function runRestartSchedule(
  options: RestartOptions,
): Promise<RestartOutcome> {
  const random = createSeededRandom(options.seed);
  const hasEligibility = random.nextFloat() < 0.3;
  const clockRates = Array.from(
    { length: MACHINES },
    () => 0.98 + 0.02 * random.nextFloat(),
  );
  const failingJobs = new Set<string>();
  const deadlyJobs = new Set<string>();
  const lastingJobs = new Set<string>();
  /** Time at which the cancel was answered, by job. */
  const cancelledMs = new Map<string, number>();
  const jobs: string[] = [];
  const wrongJobs: string[] = [];
  const machines: Machine[] = [];
  let actions: Action[] = [];
  /** Crashes of the runner to which a task was last sent, by task. */
  const taskCrashes = new Map<string, { job: string; count: number }>();
  /** Id of the runner to which a task was last sent, by task. */
  const sentTo = new Map<string, string>();
  let crashes = 0;
  let resizes = 0;
  let leaves = 0;
  let isActive = true;
  let hasLease = true;

  const model = createWorkModel({
    configuration: createModelConfiguration({
      queues: [{
        priority: random.nextInt(2),
        maxAttempts: 3,
        ...(hasEligibility
          ? { eligibility: { baseMs: 30, perRunnerMs: 1, validMs: 1_000 } }
          : {}),
      }],
    }),
    getTaskFacts: (task, step) => ({
      ...createTaskFacts(step),
      ...(step.longRunning ? { durationMs: 3_000 + 4_000 * task.index } : {}),
      // Lasting tasks fail now and then, and start again.
      alwaysFails: failingJobs.has(task.job) || step.longRunning,
      crashesRunner: deadlyJobs.has(task.job),
    }),
    getClockRate: ({ address }) => clockRates[Number(address.slice(1, 2))] ?? 1,
    hasLease: () => hasLease,
    ...(options.hasPauses === true ? { commitMs: SLOW_COMMIT_MS } : {}),
    handleCrash,
  });
  const { clock } = model;

  function isLikely(share: number): boolean {
    return random.nextFloat() < share;
  }

  function addAction(delayMs: number, run: () => void): void {
    actions.push({ atMs: clock.now() + delayMs, run });
  }

  function deliverBeat(
    machine: Machine,
    delayMs: number,
    copy = {
      entry: machine.entry,
      sequence: machine.sequence,
      remainingMs: 0,
      clockMs: model.runners.readClock(machine.entry.id),
    },
  ): void {
    clock.setTimer(delayMs, () => {
      // A leader without its lease forwards nothing to its controller.
      if (!hasLease) return;
      // Like a log member, which answers an announcement without changes itself.
      const isKnown = !hasChanges(model.state, copy.entry);
      const answered = isKnown
        ? Promise.resolve()
        : model.getController().announceRunner(copy);
      // A leader that is replaced meanwhile records nothing; the next announcement
      // tells the same.
      answered.then(
        () => {
          if (copy.entry.isDraining) model.runners.recordDraining(copy.entry);
        },
        () => {},
      );
    });
  }

  function sendBeat(machine: Machine): void {
    machine.nextBeatMs = clock.now() + BEAT_PERIOD_MS;
    machine.sequence += 1;
    const hasJustShrunk = clock.now() - machine.shrunkMs < SHRINK_BEAT_MS;
    const isLost = isActive && !machine.hasLostBeat && !hasJustShrunk &&
      isLikely(0.1);
    machine.hasLostBeat = isLost;
    if (!isLost) {
      const isLate = isActive && isLikely(0.15);
      deliverBeat(machine, random.nextInt(isLate ? BEAT_PERIOD_MS : 10));
    }
    // A copy that was held up arrives out of order.
    if (isActive && isLikely(0.15)) {
      deliverBeat(machine, random.nextInt(MAX_DELAY_MS));
    }
  }

  function startPartition(machine: Machine, lastsMs: number): void {
    if (!machine.isUp) return;
    machine.faults.isPartitioned = true;
    machine.partitionedUntilMs = clock.now() + lastsMs;
  }

  function startDelays(machine: Machine): void {
    machine.lateUntilMs = clock.now() + 500 + random.nextInt(4_000);
    machine.lateCalls = isLikely(0.6) ? "orderDelayMs" : "callDelayMs";
    machine.lateMaxMs = isLikely(0.5) ? 1_500 : MAX_DELAY_MS;
  }

  function startLife(machine: Machine, keepsAddress: boolean): void {
    machine.incarnations += 1;
    const keepsId = isLikely(0.7);
    const count = machine.incarnations;
    const capacity = { ...machine.entry.capacity, processors: PROCESSORS };
    machine.entry = {
      ...machine.entry,
      id: keepsId ? machine.entry.id : `${machine.name}-${count}`,
      address: keepsAddress
        ? machine.entry.address
        : `${machine.name}:${count}`,
      startedMs: Math.round(clock.now()),
      capacity,
      isDraining: false,
    };
    machine.faults = model.runners.add(machine.entry);
    machine.isUp = true;
    machine.sequence = 0;
    machine.hasLostBeat = false;
    machine.partitionedUntilMs = 0;
    machine.shrunkMs = -Infinity;
    // Some announce themselves late, so that others notice the new incarnation first.
    machine.nextBeatMs = clock.now() +
      (isActive && isLikely(0.3) ? random.nextInt(1_500) : 0);
    if (!isActive) return;
    if (isLikely(0.25)) startPartition(machine, random.nextInt(4_000));
    if (isLikely(0.2)) {
      addAction(
        random.nextInt(2_500),
        () => startPartition(machine, 500 + random.nextInt(11_000)),
      );
    }
    if (isLikely(0.3)) startDelays(machine);
    if (isLikely(0.3)) {
      addAction(random.nextInt(1_500), () => crash(machine));
    }
  }

  function handleCrash({ id }: RunnerEntry): void {
    const machine = machines.find(({ entry }) => entry.id === id);
    if (machine === undefined || !machine.isUp) return;
    crashes += 1;
    machine.isUp = false;
    for (const [task, runner] of sentTo) {
      if (runner !== id) continue;
      const known = taskCrashes.get(task);
      if (known !== undefined) known.count += 1;
    }
    // A crash by a task counts only if its runner comes back at its address.
    const keepsAddress = deadlyJobs.size > 0 || isLikely(0.8);
    const isInstant = isLikely(0.2);
    addAction(
      isInstant ? 0 : random.nextInt(MAX_RETURN_MS),
      () => startLife(machine, keepsAddress),
    );
  }

  function crash(machine: Machine): void {
    if (machine.isUp) model.runners.crash(machine.entry.id);
  }

  function resize(machine: Machine, processors: number): void {
    if (!machine.isUp || machine.faults.isPartitioned) return;
    const { capacity } = machine.entry;
    if (processors === capacity.processors) return;
    resizes += 1;
    if (processors < capacity.processors) machine.shrunkMs = clock.now();
    const { isDraining } = machine.entry;
    const changed = { ...capacity, processors };
    machine.entry = {
      ...model.runners.changeCapacity(machine.entry.id, changed),
      isDraining,
    };
    if (isLikely(0.5)) sendBeat(machine);
  }

  function startResizes(machine: Machine): void {
    let delayMs = 0;
    const count = 2 + random.nextInt(5);
    for (let number = 0; number < count; number += 1) {
      const processors = 500 * (1 + random.nextInt(10));
      addAction(delayMs, () => resize(machine, processors));
      delayMs += random.nextInt(isLikely(0.5) ? 400 : 3_000);
    }
    addAction(delayMs + 2_000, () => resize(machine, PROCESSORS));
    if (isLikely(0.4)) addAction(random.nextInt(delayMs + 1), changeLeader);
  }

  function sendRemoval(id: string, delayMs: number, end: () => void): void {
    clock.setTimer(delayMs, () => {
      model.getController().removeRunner(id).then(
        () => clock.setTimer(REMOVAL_DELAY_MS, end),
        () => {},
      );
    });
  }

  /**
   * Lets a runner drain, and end once its removal is acknowledged or some time later; it
   * comes back like after a crash. Copies of its removal arrive late.
   */
  function startLeaving(machine: Machine): void {
    if (!machine.isUp) return;
    const { id } = machine.entry;
    const life = machine.incarnations;
    const isSameLife = () => machine.isUp && machine.incarnations === life;
    machine.entry = { ...machine.entry, isDraining: true };
    sendBeat(machine);
    addAction(300 + random.nextInt(3_000), () => {
      if (!isSameLife()) return;
      leaves += 1;
      const end = () => {
        if (isSameLife()) crash(machine);
      };
      const isAnswered = isLikely(0.8);
      sendRemoval(id, REMOVAL_DELAY_MS, isAnswered ? end : () => {});
      for (let copy = 0; copy < 2; copy += 1) {
        if (!isLikely(0.5)) continue;
        sendRemoval(id, random.nextInt(MAX_DELAY_MS), () => {});
      }
      addAction(1_000 + random.nextInt(4_000), end);
    });
  }

  function changeLeader(): void {
    hasLease = true;
    model.changeLeader();
  }

  /** Takes the lease from the leader for some time, in which it pauses. */
  function startPause(): void {
    hasLease = false;
    addAction(500 + random.nextInt(4_000), () => hasLease = true);
  }

  function countSeries(): number {
    if (options.hasPauses === true) return 12;
    return options.hasLeaves === true ? 9 : 6;
  }

  /** Starts a series of faults. */
  function startSeries(): void {
    const machine = machines[random.nextInt(MACHINES)];
    if (machine === undefined) return;
    switch (random.nextInt(countSeries())) {
      case 0:
      case 1:
        if (isLikely(0.8)) startDelays(machine);
        addAction(random.nextInt(2_000), () => crash(machine));
        if (isLikely(0.3)) addAction(random.nextInt(3_000), changeLeader);
        break;
      case 2: {
        const others = machines.filter(() => isLikely(0.4));
        for (const other of others) if (isLikely(0.6)) startDelays(other);
        addAction(random.nextInt(1_000), () => others.forEach(crash));
        if (isLikely(0.3)) addAction(random.nextInt(3_000), changeLeader);
        break;
      }
      case 3:
        startPartition(machine, 500 + random.nextInt(10_000));
        if (isLikely(0.5)) {
          addAction(random.nextInt(8_000), () => crash(machine));
        }
        break;
      case 4:
        startDelays(machine);
        break;
      case 6:
      case 7:
        startLeaving(machine);
        if (isLikely(0.3)) addAction(random.nextInt(4_000), changeLeader);
        break;
      case 8:
        for (const other of machines) if (isLikely(0.4)) startLeaving(other);
        if (isLikely(0.3)) addAction(random.nextInt(4_000), changeLeader);
        break;
      case 9:
      case 10:
      case 11:
        startLeaving(machine);
        addAction(random.nextInt(100), startPause);
        break;
      default:
        startResizes(machine);
    }
  }

  /** Makes a call of a user, which is sent again after a leader change. */
  async function runUserCall(call: () => Promise<unknown>): Promise<void> {
    for (;;) {
      try {
        await call();
        return;
      } catch {
        await new Promise<void>((resolve) =>
          void clock.setTimer(50, () => resolve())
        );
      }
    }
  }

  function submitJob(): void {
    const id = `job${jobs.length}`;
    jobs.push(id);
    const body = createJob(createRandomSteps(random));
    const isLasting = body.steps.some(({ longRunning }) => longRunning);
    if (isLasting) lastingJobs.add(id);
    else if (isLikely(0.04)) failingJobs.add(id);
    else if (deadlyJobs.size < 2 && isLikely(0.02)) deadlyJobs.add(id);
    const isCancelled = isLikely(isLasting ? 0.5 : 0.1);
    const cancelDelayMs = random.nextInt(isLasting ? 10_000 : 3_000);
    void runUserCall(() => model.submit(id, body)).then(() => {
      if (!isCancelled) return;
      addAction(
        cancelDelayMs,
        () =>
          void runUserCall(() =>
            model.getController().cancel(createJobAddress(model, id))
          ).then(() => cancelledMs.set(id, clock.now())),
      );
    });
  }

  const { calls } = model.runners;
  const { start } = calls;
  calls.start = (target, order, timeoutMs) => {
    const endMs = cancelledMs.get(order.task.job);
    if (endMs !== undefined && clock.now() > endMs + CANCEL_MS) {
      wrongJobs.push(`${order.task.job}: started after its cancel`);
    }
    const task = formatTask(order.task);
    sentTo.set(task, target.id);
    if (!taskCrashes.has(task)) {
      taskCrashes.set(task, { job: order.task.job, count: 0 });
    }
    return start(target, order, timeoutMs);
  };

  function stepMachine(machine: Machine): void {
    if (!machine.isUp) return;
    const nowMs = clock.now();
    const { faults } = machine;
    const isLate = isActive && nowMs < machine.lateUntilMs;
    faults.orderDelayMs = 0;
    faults.callDelayMs = 0;
    if (isLate) {
      faults[machine.lateCalls] = 1 + random.nextInt(machine.lateMaxMs);
    }
    if (nowMs >= machine.partitionedUntilMs) faults.isPartitioned = false;
    // Announcements have other ways than the leader's calls.
    if (nowMs >= machine.nextBeatMs) sendBeat(machine);
  }

  async function step(): Promise<void> {
    const due = actions.filter(({ atMs }) => atMs <= clock.now());
    actions = actions.filter((action) => !due.includes(action));
    for (const action of due) action.run();
    machines.forEach(stepMachine);
    await model.run(TICK_MS);
  }

  for (let number = 0; number < MACHINES; number += 1) {
    const name = `r${number}`;
    const entry = createRunnerEntry(name, {
      startedMs: Math.round(clock.now()),
    });
    machines.push({
      name,
      entry,
      faults: model.runners.add(entry),
      isUp: true,
      sequence: 0,
      incarnations: 1,
      nextBeatMs: 0,
      hasLostBeat: false,
      shrunkMs: -Infinity,
      partitionedUntilMs: 0,
      lateUntilMs: 0,
      lateCalls: "orderDelayMs",
      lateMaxMs: MAX_DELAY_MS,
    });
  }
  const endMs = clock.now() + options.activeMs;
  while (clock.now() < endMs) {
    if (isLikely(0.08)) submitJob();
    if (clock.now() > 2_000 && isLikely(SERIES_SHARE)) startSeries();
    await step();
  }
  isActive = false;
  hasLease = true;
  for (const machine of machines) {
    machine.partitionedUntilMs = 0;
    resize(machine, PROCESSORS);
  }
  // Returns and cancels are still due; crashes and partitions are not wanted any more.
  await runSettle();

  async function runSettle(): Promise<void> {
    const fromMs = clock.now();
    const seenMs = new Map<string, number>();
    while (clock.now() < fromMs + SETTLE_MS) {
      await step();
      if (clock.now() < fromMs + CALM_AFTER_MS) continue;
      checkLastingJobs(seenMs);
    }
  }

  function checkLastingJobs(seenMs: Map<string, number>): void {
    const nowMs = clock.now();
    const running = new Set(
      model.runners.listRunning().map(({ task }) => task.job),
    );
    for (const id of cancelledMs.keys()) {
      if (running.has(id)) wrongJobs.push(`${id}: runs after its cancel`);
    }
    for (const id of lastingJobs) {
      const isOver = model.state.getJob(id)?.state !== "running";
      if (isOver || running.has(id)) {
        seenMs.set(id, nowMs);
        continue;
      }
      const sinceMs = seenMs.get(id);
      if (sinceMs === undefined) seenMs.set(id, nowMs);
      else if (nowMs - sinceMs > MAX_AWAY_MS) wrongJobs.push(`${id}: is away`);
    }
  }

  const crashedJobs = new Set(
    [...taskCrashes.values()]
      .filter(({ count }) => count >= MAX_CRASHES)
      .map(({ job }) => job),
  );
  for (const id of jobs) {
    const state = model.state.getJob(id)?.state ?? "unknown";
    const expected = new Set<string>();
    if (deadlyJobs.has(id) || failingJobs.has(id)) expected.add("failed");
    else expected.add(lastingJobs.has(id) ? "running" : "completed");
    if (cancelledMs.has(id)) expected.add("cancelled");
    if (crashedJobs.has(id) && !lastingJobs.has(id)) expected.add("failed");
    if (!expected.has(state)) wrongJobs.push(`${id}: ${state}`);
  }
  return {
    violations: model.runners.violations,
    wrongJobs: [...new Set(wrongJobs)],
    jobs: jobs.length,
    starts: model.runners.countStarts(),
    crashes,
    resizes,
    leaves,
  };
}
