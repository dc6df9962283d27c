/**
 * Confines tasks that may crash their runners. While jobs of a queue crash one runner
 * after another, those of its jobs that are suspected start on a few runners of their
 * pool only, one job at a time on each. So their further crashes cost few other runs and
 * have one explanation, and everything else goes on on the other runners. Its jobs
 * without a suspicion are not confined: most are healthy, and they would wait for each
 * other on the few runners. All of it is derived from recorded crashes, so a new leader
 * begins without.
 */

import type { Clock, Logger } from "../common/mod.ts";
import type { OpenStep } from "./plan_types.ts";
import { isPlaceable, type Runner } from "./runner_table.ts";
import type { TaskRef, WorkRecord } from "./types.ts";
import { countCrashes, type WorkState } from "./work_state.ts";

/** Share of a pool's runners that execute confined steps. */
const PROBATION_SHARE = 0.25;

/**
 * Number of jobs with a task suspected of a second crash from which their queue is
 * confined, as a share of the pool's runners, and at least. Fewer of them cost less
 * than a confinement; independent crashes rarely meet the same task twice.
 */
const REPEATED_JOBS_SHARE = 0.25;
const MIN_REPEATED_JOBS = 2;

/** Time for which such a job counts, in milliseconds; its next crash takes about as long. */
const REPEATED_CRASH_MS = 4_000;

/** Time for which a queue stays confined after a crash, in milliseconds; a crash is known only once its runner is back. */
const PROBATION_MS = 10_000;

/** Options of the probation. */
export interface ProbationOptions {
  state: Pick<WorkState, "findQueue" | "getJob" | "getTask" | "listRunners">;
  clock: Pick<Clock, "now">;
  logger: Pick<Logger, "info">;
}

/** Decides which steps are confined, and to which runners. */
export interface Probation {
  /** Takes a crash into account that was recorded and applied. */
  recordCrash(record: WorkRecord & { kind: "crash" }): void;
  /** Returns the steps, with those marked that are confined. */
  assignSteps(steps: readonly OpenStep[]): readonly OpenStep[];
  /** Picks the runners for confined steps, by incarnation; none while no queue is confined. */
  pickRunners(
    runnersByPool: ReadonlyMap<string, readonly Runner[]>,
  ): ReadonlySet<string>;
}

/** What is known about the crashes of one queue's jobs. */
interface QueueCrashes {
  pool: string;
  /** Local time of the newest crash of each job suspected of several, in milliseconds. */
  readonly repeatedMs: Map<string, number>;
  /** Local time until which its suspects are confined, in milliseconds. */
  confinedUntilMs: number;
}

const NO_RUNNERS: ReadonlySet<string> = new Set();

/** Creates a probation without confined queues. */
export function createProbation(options: ProbationOptions): Probation {
  const { state, clock, logger } = options;
  const queues = new Map<string, QueueCrashes>();
  let picked = NO_RUNNERS;

  function listConfined(): [string, QueueCrashes][] {
    const nowMs = clock.now();
    return [...queues].filter(([, { confinedUntilMs }]) =>
      nowMs < confinedUntilMs
    );
  }

  function isWidespread({ pool, repeatedMs }: QueueCrashes): boolean {
    const runners =
      [...state.listRunners()].filter((runner) => runner.pool === pool).length;
    return repeatedMs.size >=
      Math.max(MIN_REPEATED_JOBS, runners * REPEATED_JOBS_SHARE);
  }

  function recordRepeats(
    queue: QueueCrashes,
    suspects: readonly TaskRef[],
  ): void {
    const nowMs = clock.now();
    for (const task of suspects) {
      // The tasks of a job that was given up are no longer known.
      const isRepeated = state.getJob(task.job)?.state === "failed" ||
        countCrashes(state.getTask(task)) > 1;
      if (isRepeated) queue.repeatedMs.set(task.job, nowMs);
    }
    for (const [job, atMs] of queue.repeatedMs) {
      if (nowMs - atMs > REPEATED_CRASH_MS) queue.repeatedMs.delete(job);
    }
  }

  /** Picks runners of one pool: those picked before, then the ones with the fewest runs. */
  function pickOfPool(runners: readonly Runner[]): string[] {
    const most = Math.max(1, Math.round(runners.length * PROBATION_SHARE));
    const isPicked = ({ life }: Runner) => picked.has(life);
    const others = runners
      .filter((runner) => !isPicked(runner) && isPlaceable(runner, clock.now()))
      .sort((a, b) => a.occupants.size - b.occupants.size);
    // Those that are away count as well, or crashes would reach all runners in turn.
    return [...runners.filter(isPicked), ...others].slice(0, most)
      .map(({ life }) => life);
  }

  return {
    recordCrash(record) {
      const nowMs = clock.now();
      const jobs = record.suspects.map(({ job }) => state.getJob(job)?.spec);
      const specs = new Map(jobs.map((spec) => [spec?.queue, spec]));
      for (const [name, spec] of specs) {
        if (name === undefined || spec === undefined) continue;
        const suspects = record.suspects.filter(({ job }) =>
          state.getJob(job)?.spec.queue === name
        );
        const queue = queues.get(name) ??
          { pool: "", repeatedMs: new Map(), confinedUntilMs: 0 };
        queues.set(name, queue);
        queue.pool = state.findQueue(name)?.pool ?? spec.pool;
        recordRepeats(queue, suspects);
        const isConfined = nowMs < queue.confinedUntilMs;
        if (!isConfined && !isWidespread(queue)) continue;
        queue.confinedUntilMs = nowMs + PROBATION_MS;
        if (!isConfined) logger.info("Queue confined", { queue: name });
      }
    },
    assignSteps(steps) {
      const names = new Set(listConfined().map(([name]) => name));
      if (names.size === 0) return steps;
      return steps.map((step) =>
        step.isSuspect && names.has(step.queue)
          ? { ...step, isConfined: true }
          : step
      );
    },
    pickRunners(runnersByPool) {
      const pools = new Set(listConfined().map(([, { pool }]) => pool));
      picked = pools.size === 0 ? NO_RUNNERS : new Set(
        [...pools].flatMap((pool) => pickOfPool(runnersByPool.get(pool) ?? [])),
      );
      return picked;
    },
  };
}
