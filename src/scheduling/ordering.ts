/**
 * The order in which waiting groups are served. Urgent work comes first. With
 * weights "share" the team with the lowest weighted share goes next; with
 * "waiting" the job that has waited longest in proportion to its run time, as
 * that keeps both the median and the tail of waiting times low.
 */

import { createHeap } from "./heap.ts";
import { DEFAULT_EXPECTED_MS } from "./job_queues.ts";
import type { JobQueue, JobRecord } from "./records.ts";
import { computeWeightedShare, type SchedulerState } from "./state.ts";

interface Candidate {
  readonly queue: JobQueue;
  isUrgent: boolean;
  /** Lower goes first. */
  score: number;
  tieScore: number;
  submittedAt: number;
}

/** The groups that may still be served in this step. */
export interface ServingOrder {
  /** Takes the next job; its group is served again only after `add`. */
  takeNext(): JobRecord | undefined;
  /** Puts the group of the job that was taken last back in. */
  add(): void;
}

/** Waiting time and run time together, as a multiple of the run time. */
export function computeResponseRatio(job: JobRecord, nowMs: number): number {
  const expectedMs = Math.max(1, job.spec.expectedMs ?? DEFAULT_EXPECTED_MS);
  const waitedMs = Math.max(0, nowMs - job.spec.submittedAt);
  return (waitedMs + expectedMs) / expectedMs;
}

function compareCandidates(a: Candidate, b: Candidate): number {
  if (a.isUrgent !== b.isUrgent) return a.isUrgent ? -1 : 1;
  return a.score - b.score || a.tieScore - b.tieScore ||
    a.submittedAt - b.submittedAt;
}

/** Creates the order of one step. */
export function createServingOrder(state: SchedulerState): ServingOrder {
  const heap = createHeap<Candidate>(compareCandidates);
  const isShareFirst = state.options.weights === "share";
  let last: Candidate | undefined;

  function updateCandidate(candidate: Candidate, job: JobRecord): void {
    const share = computeWeightedShare(state, candidate.queue.team);
    const ratio = computeResponseRatio(job, state.nowMs);
    candidate.isUrgent = job.spec.urgent;
    candidate.score = isShareFirst ? share : -ratio;
    candidate.tieScore = isShareFirst ? -ratio : share;
    candidate.submittedAt = job.spec.submittedAt;
  }

  function addCandidate(candidate: Candidate): void {
    const job = state.queues.getFirst(candidate.queue);
    if (job === undefined) return;
    updateCandidate(candidate, job);
    heap.add(candidate);
  }

  for (const queue of state.queues.list()) {
    addCandidate({
      queue,
      isUrgent: false,
      score: 0,
      tieScore: 0,
      submittedAt: 0,
    });
  }

  return {
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
        // Another group of the team was served meanwhile, so this one may have to wait.
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
      if (last !== undefined) addCandidate(last);
      last = undefined;
    },
  };
}
