/**
 * Runs random schedules on a whole simulated cell without a network: jobs of
 * all kinds and overlapping series of faults. After the last fault every job
 * must reach its expected state.
 */

import { createSeededRandom, type Random } from "../src/common/mod.ts";
import {
  createJob,
  createModelConfiguration,
  createTaskFacts,
  createWorkModel,
  type RunnerFaults,
  type Violation,
  type WorkModel,
} from "../src/model/mod.ts";
import type { StepSpec } from "../src/workload/mod.ts";

/** Outcome of a schedule. */
export interface ScheduleOutcome {
  readonly violations: readonly Violation[];
  /** Jobs that did not end in their expected state, with their states. */
  readonly wrongJobs: readonly string[];
  readonly jobs: number;
  readonly starts: number;
  /** Starts that were sent to an evacuated data centre too late. */
  readonly lateStarts: readonly string[];
}

/** Options of a schedule. */
export interface ScheduleOptions {
  seed: number;
  /** Time with jobs and faults, in milliseconds. */
  activeMs: number;
  /** True to evacuate data centres as well; two runners are in each. Default: false. */
  evacuations?: boolean;
}

const RUNNERS = 6;
const TICK_MS = 50;

/** Time for all jobs to end after the last fault, in milliseconds; more than a lease and the longest job. */
const SETTLE_MS = 40_000;

function createRandomSteps(random: Random): Partial<StepSpec>[] {
  const steps: Partial<StepSpec>[] = [];
  const count = 1 + random.nextInt(3);
  for (let number = 0; number < count; number += 1) {
    const isGang = random.nextFloat() < 0.3;
    steps.push({
      tasks: 1 + random.nextInt(5),
      gang: isGang,
      estimatedMs: 50 + random.nextInt(1_500),
      maxPerRunner: !isGang && random.nextFloat() < 0.2 ? 1 : 0,
      after: number > 0 && random.nextFloat() < 0.7 ? [number - 1] : [],
      resources: {
        processors: 500 + random.nextInt(1_500),
        memoryMb: 100,
        accelerators: 0,
      },
    });
  }
  return steps;
}

/** Starts a random fault and returns a function that ends it. */
function startFault(
  random: Random,
  model: WorkModel,
  runners: Map<string, RunnerFaults>,
  incarnations: Map<string, number>,
): () => Promise<void> {
  const names = [...runners.keys()];
  const name = names[random.nextInt(names.length)] ?? "";
  const faults = runners.get(name);
  if (faults === undefined) return () => Promise.resolve();
  switch (random.nextInt(6)) {
    case 0:
      faults.isPartitioned = true;
      return () => {
        faults.isPartitioned = false;
        return Promise.resolve();
      };
    case 1:
      faults.hangs = true;
      return () => {
        faults.hangs = false;
        return Promise.resolve();
      };
    case 2:
      faults.orderDelayMs = 500 + random.nextInt(6_000);
      return () => {
        faults.orderDelayMs = 0;
        return Promise.resolve();
      };
    case 3:
      faults.runTimeFactor = 2 + random.nextInt(4);
      return () => {
        faults.runTimeFactor = 1;
        return Promise.resolve();
      };
    case 4: {
      const dataCentre = model.state.getRunner(name)?.dataCentre ?? "one";
      model.runners.crash(name);
      return async () => {
        const incarnation = (incarnations.get(name) ?? 1) + 1;
        incarnations.set(name, incarnation);
        runners.set(
          name,
          await model.addRunner(name, { startedMs: incarnation, dataCentre }),
        );
      };
    }
    default:
      model.changeLeader();
      return () => Promise.resolve();
  }
}

/** Time from an acknowledged evacuation after which the leader sends no start there, in milliseconds; the platform allows 5 s. */
const EVACUATION_MS = 5_000;

const DATA_CENTRES = 3;

/** Evacuates and takes back random data centres, and records starts that are sent to evacuated ones. */
function createEvacuations(random: Random, model: WorkModel) {
  /** Time of the acknowledgement in milliseconds; undefined while an order is open. */
  const evacuatedMs = new Map<string, number | undefined>();
  const lateStarts: string[] = [];
  const { calls } = model.runners;
  const { start } = calls;
  calls.start = (target, order, timeoutMs) => {
    const dataCentre = model.state.getRunner(target.id)?.dataCentre ?? "";
    const sinceMs = model.clock.now() -
      (evacuatedMs.get(dataCentre) ?? Infinity);
    if (sinceMs > EVACUATION_MS) lateStarts.push(`${target.id}: ${sinceMs} ms`);
    return start(target, order, timeoutMs);
  };

  /** Sends an order until it is acknowledged, like an operator. */
  function sendOrder(dataCentre: string, isEvacuated: boolean): void {
    model.getController().setEvacuation({ dataCentre, isEvacuated }).then(
      () => {
        if (isEvacuated) evacuatedMs.set(dataCentre, model.clock.now());
        else evacuatedMs.delete(dataCentre);
      },
      () =>
        void model.clock.setTimer(
          TICK_MS,
          () => sendOrder(dataCentre, isEvacuated),
        ),
    );
  }

  return {
    lateStarts,
    changeOne(): void {
      const dataCentre = `dc-${random.nextInt(DATA_CENTRES)}`;
      const isOpen = evacuatedMs.has(dataCentre) &&
        evacuatedMs.get(dataCentre) === undefined;
      if (isOpen) return;
      const isEvacuated = !evacuatedMs.has(dataCentre);
      evacuatedMs.set(dataCentre, undefined);
      sendOrder(dataCentre, isEvacuated);
    },
    endAll(): void {
      for (const dataCentre of [...evacuatedMs.keys()]) {
        evacuatedMs.set(dataCentre, undefined);
        sendOrder(dataCentre, false);
      }
    },
  };
}

/** Runs one schedule. */
export async function runWorkSchedule(
  options: ScheduleOptions,
): Promise<ScheduleOutcome> {
  const random = createSeededRandom(options.seed);
  const failingJobs = new Set<string>();
  const hasEligibility = random.nextFloat() < 0.5;
  const model = createWorkModel({
    configuration: createModelConfiguration({
      queues: [{
        priority: 0,
        maxAttempts: 3,
        ...(hasEligibility
          ? { eligibility: { baseMs: 30, perRunnerMs: 1, validMs: 1_000 } }
          : {}),
      }],
    }),
    isEligible: (runner) => runner !== "r5",
    getTaskFacts: (task, step) => ({
      ...createTaskFacts(step),
      alwaysFails: failingJobs.has(task.job),
      crashesRunner: false,
    }),
  });
  const runners = new Map<string, RunnerFaults>();
  const incarnations = new Map<string, number>();
  for (let number = 0; number < RUNNERS; number += 1) {
    const dataCentre = `dc-${number % DATA_CENTRES}`;
    runners.set(
      `r${number}`,
      await model.addRunner(
        `r${number}`,
        options.evacuations === true ? { dataCentre } : {},
      ),
    );
  }
  const evacuations = options.evacuations === true
    ? createEvacuations(random, model)
    : undefined;

  const jobs: string[] = [];
  let activeFaults: { untilMs: number; end: () => Promise<void> }[] = [];
  const endMs = model.clock.now() + options.activeMs;
  while (model.clock.now() < endMs || activeFaults.length > 0) {
    const nowMs = model.clock.now();
    const isActive = nowMs < endMs;
    if (isActive && random.nextFloat() < 0.25) {
      const id = `job${jobs.length}`;
      jobs.push(id);
      if (random.nextFloat() < 0.05) failingJobs.add(id);
      const body = createJob(createRandomSteps(random));
      // A leader change may interrupt the call; its caller sends it again.
      const submit = () => model.submit(id, body);
      submit().catch(() => submit().catch(() => submit()));
    }
    if (isActive && random.nextFloat() < 0.04) {
      const end = startFault(random, model, runners, incarnations);
      activeFaults.push({ untilMs: nowMs + 500 + random.nextInt(7_000), end });
    }
    if (isActive && evacuations !== undefined && random.nextFloat() < 0.02) {
      evacuations.changeOne();
    }
    const due = activeFaults.filter(({ untilMs }) =>
      untilMs <= nowMs || !isActive
    );
    activeFaults = activeFaults.filter((fault) => !due.includes(fault));
    for (const { end } of due) await end();
    await model.run(TICK_MS);
  }
  evacuations?.endAll();
  await model.run(SETTLE_MS);

  const wrongJobs: string[] = [];
  for (const id of jobs) {
    const state = model.state.getJob(id)?.state ?? "unknown";
    // Runners fail no tasks by themselves, so only jobs in `failingJobs` may fail.
    const expected = failingJobs.has(id) ? "failed" : "completed";
    if (state !== expected) wrongJobs.push(`${id}: ${state}`);
  }
  return {
    violations: model.runners.violations,
    wrongJobs,
    jobs: jobs.length,
    starts: model.runners.countStarts(),
    lateStarts: evacuations?.lateStarts ?? [],
  };
}
