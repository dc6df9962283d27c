/** Calls to the model of a cell, for tests of the workload scheduler. */

import type { Test } from "tap";
import type {
  HoldOrder,
  RunnerEntry,
  RunnerTarget,
  StartOrder,
  StepSpec,
  WorkJobState,
} from "../src/workload/mod.ts";
import {
  createJob,
  createModelConfiguration,
  createWorkModel,
  type RunnerFaults,
  type WorkModel,
} from "../src/model/mod.ts";

/** Creates a model of a cell with the usual configuration. */
export function createModel(): WorkModel {
  return createWorkModel({ configuration: createModelConfiguration() });
}

/** Returns the address of a job in the model's first queue, with the key of its first workspace. */
export function createJobAddress(
  model: Pick<WorkModel, "state">,
  id: string,
) {
  const queue = model.state.getConfiguration()?.queues[0];
  return {
    host: queue?.host ?? "",
    path: `${queue?.pathPrefix}${id}`,
    key: "key-0",
  };
}

/** Returns the state of a job as a caller sees it. */
export function getJobState(
  model: WorkModel,
  id: string,
): WorkJobState | undefined {
  return model.getController().getState(createJobAddress(model, id));
}

/** Advances the model until a call has ended. */
export async function runCall<Value>(
  model: WorkModel,
  call: Promise<Value>,
): Promise<Value> {
  let isDone = false;
  const ended = call.finally(() => isDone = true);
  ended.catch(() => {});
  while (!isDone) await model.run(5);
  return await ended;
}

/** Advances the model to a time on its clock, in milliseconds. */
export async function runUntil(model: WorkModel, atMs: number): Promise<void> {
  while (model.clock.now() < atMs) await model.run(1);
}

/** Announces a runner to the leader without waiting for the record. */
export function announceRunner(
  model: WorkModel,
  entry: RunnerEntry,
  sequence = 1,
): void {
  const announcement = { entry, sequence, remainingMs: 0 };
  void model.getController().announceRunner(announcement);
}

/**
 * Lets a model keep its newest poll. Returns a function that takes that poll; the
 * returned call sends it once more, with some fields changed, as a late copy.
 */
export function recordPolls(
  model: WorkModel,
): (changes: Partial<HoldOrder>) => () => void {
  const { calls } = model.runners;
  const { hold } = calls;
  let newest: { target: RunnerTarget; order: HoldOrder } | undefined;
  calls.hold = (target, order, timeoutMs) => {
    newest = { target, order };
    return hold(target, order, timeoutMs);
  };
  return (changes) => {
    const late = newest;
    if (late === undefined) throw new Error("No poll was sent");
    const order = { ...late.order, ...changes, waitMs: 0 };
    return () => void hold(late.target, order, 500).catch(() => {});
  };
}

/** Submits a job with one step; resolves once it is accepted. */
export function submitJob(
  model: WorkModel,
  id: string,
  step: Partial<StepSpec>,
): Promise<void> {
  return runCall(model, model.submit(id, createJob([step])));
}

/** Lists the runs on all runners, as `JOB#RUN@RUNNER`. */
export function listRuns(model: WorkModel): string[] {
  return model.runners.listRunning().map(({ task, run, runner }) =>
    `${task.job}#${run}@${runner}`
  );
}

/** Lets a model keep the first start, and returns a function that sends a late copy of it. */
export function recordFirstStart(model: WorkModel): () => void {
  const { calls } = model.runners;
  const { start } = calls;
  let first: { target: RunnerTarget; order: StartOrder } | undefined;
  calls.start = (target, order, timeoutMs) => {
    first ??= { target, order };
    return start(target, order, timeoutMs);
  };
  return () => {
    if (first === undefined) throw new Error("No start was sent");
    void start(first.target, first.order, 500).catch(() => {});
  };
}

/** Starts a long task on runner `r1`, runs it for some time, adds `r2` and cuts `r1` off. */
export async function startTaskAndCut(
  t: Test,
  model: WorkModel,
  faults: RunnerFaults,
  runMs: number,
): Promise<void> {
  await submitJob(model, "job", { estimatedMs: 60_000 });
  await model.run(runMs);
  await model.addRunner("r2");
  t.strictSame(listRuns(model), ["job#1@r1"]);
  faults.isPartitioned = true;
}
