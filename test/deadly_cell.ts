/** A model of a cell in which the tasks of some jobs crash their runners. */

import type { Test } from "tap";
import {
  createJob,
  createModelConfiguration,
  createTaskFacts,
  createWorkModel,
  type RunnerFaults,
  type TaskFacts,
  type WorkModel,
  type WorkModelOptions,
} from "../src/model/mod.ts";
import type { StepSpec, TaskRef } from "../src/workload/mod.ts";
import { isOpenJob } from "../src/workload/work_state.ts";

/** Options of the cell. */
export interface DeadlyCellOptions extends Partial<WorkModelOptions> {
  /** Tells which tasks of the jobs named `deadly...` crash their runners. Default: all. */
  isDeadly?: (task: TaskRef) => boolean;
  /** Time from the start of such a task to the crash, in milliseconds. Default: that of the model. */
  crashDelayMs?: number;
  /** Filled with the faults of the first incarnations, by runner. */
  faults?: Map<string, RunnerFaults>;
}

function createFacts(
  task: TaskRef,
  step: StepSpec,
  { isDeadly, crashDelayMs }: DeadlyCellOptions,
): TaskFacts {
  return {
    ...createTaskFacts(step),
    crashesRunner: task.job.startsWith("deadly") && (isDeadly?.(task) ?? true),
    ...(crashDelayMs === undefined ? {} : { crashDelayMs }),
  };
}

/** Starts a cell whose crashed runners are back after 3 s under the same id. */
export async function startDeadlyCell(
  runners: number,
  options: DeadlyCellOptions = {},
): Promise<WorkModel> {
  const model = createWorkModel({
    configuration: createModelConfiguration(),
    getTaskFacts: (task, step) => createFacts(task, step, options),
    returnAs: "sameId",
    ...options,
  });
  for (let at = 0; at < runners; at += 1) {
    const id = `r${at}`;
    const faults = await model.addRunner(id);
    options.faults?.set(id, faults);
  }
  await model.run(1_500);
  return model;
}

/** Submits jobs `NAME-0` and so on, of two tasks unless stated; returns their ids. */
export function submitJobs(
  model: WorkModel,
  name: string,
  count: number,
  steps: readonly Partial<StepSpec>[] = [{ tasks: 2, estimatedMs: 2_500 }],
): string[] {
  const ids = Array.from({ length: count }, (_, at) => `${name}-${at}`);
  for (const id of ids) void model.submit(id, createJob(steps));
  return ids;
}

/** Returns the states of jobs, one entry per state. */
export function listStates(
  model: WorkModel,
  ids: readonly string[],
): string[] {
  return [...new Set(ids.map((id) => model.state.getJob(id)?.state ?? ""))];
}

/** Advances the model until jobs have ended, but for no longer than `mostMs`. */
export async function runUntilEnded(
  model: WorkModel,
  ids: readonly string[],
  mostMs: number,
): Promise<void> {
  const untilMs = model.clock.now() + mostMs;
  const isOpen = (id: string) => {
    const job = model.state.getJob(id);
    return job === undefined || isOpenJob(job);
  };
  while (model.clock.now() < untilMs && ids.some(isOpen)) await model.run(20);
}

/** Checks that the deadly jobs are given up and the healthy ones completed, and that no rule is broken. */
export function checkJobs(
  t: Test,
  model: WorkModel,
  { deadly, healthy }: {
    deadly: readonly string[];
    healthy: readonly string[];
  },
  name = "",
): void {
  const listOthers = (ids: readonly string[], state: string) =>
    listStates(model, ids).filter((other) => other !== state);
  t.strictSame(listOthers(deadly, "failed"), [], `${name} given up`);
  t.strictSame(listOthers(healthy, "completed"), [], `${name} completed`);
  t.strictSame(model.runners.violations, [], `${name} no rule broken`);
}
