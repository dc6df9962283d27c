/**
 * The order in which waiting groups are served. Urgent work comes first. With
 * weights "share" the workspace with the lowest weighted share goes next; with
 * "waiting" the job with the least work in proportion to its waiting time, as
 * short work first keeps the mean low and aging keeps long work from starving.
 */

import { PROCESSOR_UNITS_PER_CORE, type Resources } from "../common/mod.ts";
import { createHeap } from "./heap.ts";
import { DEFAULT_EXPECTED_MS } from "./job_queues.ts";
import type { JobQueue, JobRecord } from "./records.ts";
import { computeWeightedShare, type SchedulerState } from "./state.ts";

interface Candidate {
  readonly queue: JobQueue;
  isUrgent: boolean;
  /** Lower goes first. */
  score: number;
  tieBreakScore: number;
  submittedAt: number;
}

/** The groups that may still be served in this step. */
export interface ServingOrder {
  /** Takes the next job; its group is served again only after `add`. */
  takeNext(): JobRecord | undefined;
  /** Puts the group of the job that was taken last back in. */
  add(): void;
  /** The first jobs of the groups that were not taken: urgent ones and gangs in order, then the others. */
  listRemaining(): JobRecord[];
  /** No waiting task is smaller than this in any resource. */
  readonly minSize: Resources;
}

// After a minute of waiting a job counts as if it were half as long.
const AGING_MS = 60_000;

/** Returns how soon a job should go to keep waiting short: its waiting time against the core milliseconds of a task. */
export function computeAgingPriority(job: JobRecord, nowMs: number): number {
  const expectedMs = Math.max(1, job.spec.expectedMs ?? DEFAULT_EXPECTED_MS);
  const waitedMs = Math.max(0, nowMs - job.spec.submittedAt);
  const cores = Math.max(1, job.size.processors) / PROCESSOR_UNITS_PER_CORE;
  return (waitedMs + AGING_MS) / (expectedMs * cores);
}

function compareCandidates(a: Candidate, b: Candidate): number {
  if (a.isUrgent !== b.isUrgent) return a.isUrgent ? -1 : 1;
  return a.score - b.score || a.tieBreakScore - b.tieBreakScore ||
    a.submittedAt - b.submittedAt;
}

/** Creates the order of one step. */
export function createServingOrder(state: SchedulerState): ServingOrder {
  const isShareFirst = state.options.weights === "share";
  const candidates: Candidate[] = [];
  const least = {
    processors: Infinity,
    memoryMb: Infinity,
    accelerators: Infinity,
  };
  let last: Candidate | undefined;

  function updateCandidate(candidate: Candidate, job: JobRecord): void {
    const share = computeWeightedShare(state, candidate.queue.workspace);
    const agingPriority = computeAgingPriority(job, state.nowMs);
    candidate.isUrgent = job.spec.urgent;
    candidate.score = isShareFirst ? share : -agingPriority;
    candidate.tieBreakScore = isShareFirst ? -agingPriority : share;
    candidate.submittedAt = job.spec.submittedAt;
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
        // Another group of the workspace was served meanwhile, so this one may have to wait.
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
