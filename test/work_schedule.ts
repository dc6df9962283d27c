/**
 * Random schedules for a whole cell without a network: jobs of all kinds, and
 * faults in series that overlap. At the end all faults are over, and every job
 * has to end as it must.
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

/** What came of a schedule. */
export interface ScheduleOutcome {
  readonly violations: readonly Violation[];
  /** Jobs that did not end as they must, with their states. */
  readonly wrongJobs: readonly string[];
  readonly jobs: number;
  readonly starts: number;
}

/** Options of a schedule. */
export interface ScheduleOptions {
  seed: number;
  /** Time with jobs and faults, in milliseconds. */
  busyMs: number;
}

const RUNNERS = 6;
const TICK_MS = 50;

/** Time for everything to end after the last fault; more than a lease and the longest job. */
const CALM_MS = 40_000;

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

/** Starts a random fault and returns what ends it. */
function startFault(
  random: Random,
  model: WorkModel,
  runners: Map<string, RunnerFaults>,
  lives: Map<string, number>,
): () => Promise<void> {
  const names = [...runners.keys()];
  const name = names[random.nextInt(names.length)] ?? "";
  const trouble = runners.get(name);
  if (trouble === undefined) return () => Promise.resolve();
  switch (random.nextInt(6)) {
    case 0:
      trouble.isPartitioned = true;
      return () => {
        trouble.isPartitioned = false;
        return Promise.resolve();
      };
    case 1:
      trouble.hangs = true;
      return () => {
        trouble.hangs = false;
        return Promise.resolve();
      };
    case 2:
      trouble.orderDelayMs = 500 + random.nextInt(6_000);
      return () => {
        trouble.orderDelayMs = 0;
        return Promise.resolve();
      };
    case 3:
      trouble.runTimeFactor = 2 + random.nextInt(4);
      return () => {
        trouble.runTimeFactor = 1;
        return Promise.resolve();
      };
    case 4: {
      model.runners.crash(name);
      return async () => {
        const life = (lives.get(name) ?? 1) + 1;
        lives.set(name, life);
        runners.set(name, await model.addRunner(name, { startedMs: life }));
      };
    }
    default:
      model.changeLeader();
      return () => Promise.resolve();
  }
}

/** Runs one schedule. */
export async function runWorkSchedule(
  options: ScheduleOptions,
): Promise<ScheduleOutcome> {
  const random = createSeededRandom(options.seed);
  const hopeless = new Set<string>();
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
      alwaysFails: hopeless.has(task.job),
    }),
  });
  const runners = new Map<string, RunnerFaults>();
  const lives = new Map<string, number>();
  for (let number = 0; number < RUNNERS; number += 1) {
    runners.set(`r${number}`, await model.addRunner(`r${number}`));
  }

  const jobs: string[] = [];
  let open: { untilMs: number; end: () => Promise<void> }[] = [];
  const endMs = model.clock.now() + options.busyMs;
  while (model.clock.now() < endMs || open.length > 0) {
    const nowMs = model.clock.now();
    const isBusy = nowMs < endMs;
    if (isBusy && random.nextFloat() < 0.25) {
      const id = `job${jobs.length}`;
      jobs.push(id);
      if (random.nextFloat() < 0.05) hopeless.add(id);
      const body = createJob(createRandomSteps(random));
      // A takeover may cut the call off; its caller sends it again.
      const submit = () => model.submit(id, body);
      submit().catch(() => submit().catch(() => submit()));
    }
    if (isBusy && random.nextFloat() < 0.04) {
      const end = startFault(random, model, runners, lives);
      open.push({ untilMs: nowMs + 500 + random.nextInt(7_000), end });
    }
    const due = open.filter(({ untilMs }) => untilMs <= nowMs || !isBusy);
    open = open.filter((fault) => !due.includes(fault));
    for (const { end } of due) await end();
    await model.run(TICK_MS);
  }
  await model.run(CALM_MS);

  const wrongJobs: string[] = [];
  for (const id of jobs) {
    const state = model.state.getJob(id)?.state ?? "unknown";
    // Runners that fail nothing leave only hopeless jobs to fail.
    const expected = hopeless.has(id) ? "failed" : "completed";
    if (state !== expected) wrongJobs.push(`${id}: ${state}`);
  }
  return {
    violations: model.runners.violations,
    wrongJobs,
    jobs: jobs.length,
    starts: model.runners.countStarts(),
  };
}
