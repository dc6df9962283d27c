/**
 * The order in which job queues are served. Urgent jobs come first. With weights
 * "share" the workspace with the lowest weighted share is next. With "waiting"
 * the job with the least work in proportion to its waiting time is next: short
 * jobs first keeps the mean wait low, and aging prevents starvation of long jobs.
 */

import { PROCESSOR_UNITS_PER_CORE, type Resources } from "../common/mod.ts";
import { createHeap } from "./heap.ts";
import { DEFAULT_EXPECTED_MS } from "./job_queues.ts";
import type { JobQueue, JobRecord } from "./records.ts";
import { computeWeightedShare, type SchedulerState } from "./state.ts";

interface Candidate {
  readonly queue: JobQueue;
  isUrgent: boolean;
  /** The lowest score is served first. */
  score: number;
  tieBreakScore: number;
  submittedAt: number;
}

type Rank = Omit<Candidate, "queue">;

/** The queues that may still be served in this step. */
export interface ServingOrder {
  /** Takes the next job; its queue is served again only after `add`. */
  takeNext(): JobRecord | undefined;
  /** Adds back the queue of the last job taken. */
  add(): void;
  /** Lists the first job of each remaining queue: urgent jobs and gangs in order, then the others. */
  listRemaining(): JobRecord[];
  /** The minimum of each resource over the sizes of the waiting tasks. */
  readonly minSize: Resources;
}

// After a minute of waiting, a job ranks like a new one of half its length.
const AGING_MS = 60_000;

/** Returns the priority of a job for short waiting times: its waiting time divided by the core milliseconds of a task. */
export function computeAgingPriority(job: JobRecord, nowMs: number): number {
  const expectedMs = Math.max(1, job.spec.expectedMs ?? DEFAULT_EXPECTED_MS);
  const waitedMs = Math.max(0, nowMs - job.spec.submittedAt);
  const cores = Math.max(1, job.size.processors) / PROCESSOR_UNITS_PER_CORE;
  return (waitedMs + AGING_MS) / (expectedMs * cores);
}

function compareCandidates(a: Rank, b: Rank): number {
  if (a.isUrgent !== b.isUrgent) return a.isUrgent ? -1 : 1;
  return a.score - b.score || a.tieBreakScore - b.tieBreakScore ||
    a.submittedAt - b.submittedAt;
}

function computeRank(state: SchedulerState, job: JobRecord): Rank {
  const share = computeWeightedShare(state, job.workspace);
  const agingPriority = computeAgingPriority(job, state.nowMs);
  const isShareFirst = state.options.weights === "share";
  return {
    isUrgent: job.spec.urgent,
    score: isShareFirst ? share : -agingPriority,
    tieBreakScore: isShareFirst ? -agingPriority : share,
    submittedAt: job.spec.submittedAt,
  };
}

/** Returns the number of waiting queues whose first job is served before a job that is not queued. */
export function countServedBefore(
  state: SchedulerState,
  job: JobRecord,
): number {
  const rank = computeRank(state, job);
  return state.queues.listFirst()
    .filter((other) => compareCandidates(computeRank(state, other), rank) <= 0)
    .length;
}

/** Creates the order of one step. */
export function createServingOrder(state: SchedulerState): ServingOrder {
  const candidates: Candidate[] = [];
  const least = {
    processors: Infinity,
    memoryMb: Infinity,
    accelerators: Infinity,
  };
  let last: Candidate | undefined;

  function updateCandidate(candidate: Candidate, job: JobRecord): void {
    Object.assign(candidate, computeRank(state, job));
  }

  for (const queue of state.queues.list()) {
    const job = state.queues.getFirst(queue);
    if (job === undefined) continue;
    const candidate = {
      queue,
      isUrgent: false,
      score: 0,
      tieBreakScore: 0,
      submittedAt: 0,
    };
    updateCandidate(candidate, job);
    candidates.push(candidate);
    least.processors = Math.min(least.processors, job.size.processors);
    least.memoryMb = Math.min(least.memoryMb, job.size.memoryMb);
    least.accelerators = Math.min(least.accelerators, job.size.accelerators);
  }
  const heap = createHeap(compareCandidates, candidates);

  return {
    minSize: least,
    takeNext() {
      for (
        let candidate = heap.takeFirst();
        candidate !== undefined;
        candidate = heap.takeFirst()
      ) {
        const job = state.queues.getFirst(candidate.queue);
        if (job === undefined) continue;
        const { score } = candidate;
        updateCandidate(candidate, job);
        // Another queue of the workspace was served in the meantime, so this one may no longer be next.
        const next = heap.getFirst();
        const isOvertaken = candidate.score > score && next !== undefined &&
          compareCandidates(next, candidate) < 0;
        if (isOvertaken) {
          heap.add(candidate);
          continue;
        }
        last = candidate;
        return job;
      }
      return undefined;
    },
    add() {
      if (last === undefined) return;
      const job = state.queues.getFirst(last.queue);
      if (job === undefined) return;
      updateCandidate(last, job);
      heap.add(last);
      last = undefined;
    },
    listRemaining() {
      const ordered: Candidate[] = [];
      const others: JobRecord[] = [];
      for (const candidate of heap.list()) {
        const job = state.queues.getFirst(candidate.queue);
        if (job === undefined) continue;
        const needsOrder = job.spec.urgent || job.spec.policy === "gang";
        if (needsOrder) ordered.push(candidate);
        else others.push(job);
      }
      ordered.sort(compareCandidates);
      const first = ordered.map(({ queue }) => state.queues.getFirst(queue)!);
      return [...first, ...others];
    },
  };
}
