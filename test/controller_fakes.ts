/** Fakes of what the controllers depend on, for tests without sockets and processes. */

import type { ManualClock } from "../src/common/mod.ts";
import type { WorkerAnnouncement } from "../src/data_centre/announcements.ts";
import type { RecordedJobSpec } from "../src/data_centre/job_records.ts";

/** Waits one turn of the event loop, so that settled promises continue. */
export function waitForTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Advances the clock in steps and lets promises continue after each. */
export async function advanceBy(
  clock: ManualClock,
  ms: number,
  stepMs = 50,
): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += stepMs) {
    clock.advance(stepMs);
    await waitForTurn();
  }
}

/** A log whose proposals are applied or fail only when the test calls for it. */
export interface FakeLog<Command, Result> {
  propose(command: Command): Promise<Result>;
  /** Proposals without an outcome, oldest first. */
  readonly pending: Command[];
  /** Applies the oldest proposal and resolves its promise. */
  commitNext(): Promise<void>;
  commitAll(): Promise<void>;
  failNext(error: unknown): Promise<void>;
}

/** Creates a log that applies commands with `apply`. */
export function createFakeLog<Command, Result>(
  apply: (command: Command) => Result,
): FakeLog<Command, Result> {
  const pending: Command[] = [];
  const waiting: {
    resolve: (result: Result) => void;
    reject: (error: unknown) => void;
  }[] = [];

  async function commitNext(): Promise<void> {
    const result = apply(pending.shift()!);
    waiting.shift()!.resolve(result);
    await waitForTurn();
  }

  return {
    pending,
    propose: (command) =>
      new Promise((resolve, reject) => {
        pending.push(command);
        waiting.push({ resolve, reject });
      }),
    commitNext,
    async commitAll() {
      while (pending.length > 0) await commitNext();
    },
    async failNext(error) {
      pending.shift();
      waiting.shift()!.reject(error);
      await waitForTurn();
    },
  };
}

/** Builds a batch job of one task. */
export function buildJob(
  fields: Partial<RecordedJobSpec> = {},
): RecordedJobSpec {
  return {
    id: "j",
    workspace: "a",
    policy: "batch",
    tasks: 1,
    resources: { processors: 1_000, memoryMb: 1_000, accelerators: 0 },
    urgent: false,
    maxAttempts: 3,
    submittedWallMs: 0,
    ...fields,
  };
}

/** Builds the announcement of an idle worker with free capacity for one task of `buildJob`. */
export function buildAnnouncement(
  worker: string,
  fields: Partial<WorkerAnnouncement> = {},
): WorkerAnnouncement {
  return {
    worker,
    address: `http://${worker}`,
    dataCentre: "kochi",
    rack: "r",
    incarnation: 1,
    sequence: 1,
    capacity: { processors: 1_000, memoryMb: 1_000, accelerators: 0 },
    tasks: [],
    draining: false,
    ...fields,
  };
}
