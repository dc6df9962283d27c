/**
 * Knows which jobs have begun: a runner has started one of their tasks. A start is recorded
 * when it is decided, which is earlier and may be in vain, so what runners reply counts. The
 * leader knows at once; the record for the next leader follows, for many jobs together.
 */

import type { Clock } from "../common/mod.ts";
import type { WorkRecord } from "./types.ts";
import type { WorkState } from "./work_state.ts";

/** Time for which jobs are gathered for one record, in milliseconds; the platform allows a count that is 2 s old. */
const GATHER_MS = 500;

/** Options of the begun jobs. */
export interface BegunJobsOptions {
  clock: Clock;
  state: Pick<WorkState, "getJob">;
  /** Writes records to the log; resolves to false if they were not committed or the leadership has ended. */
  record: (records: readonly WorkRecord[]) => Promise<boolean>;
}

/** The begun jobs of one leadership. */
export interface BegunJobs {
  /** Adds a job of which a runner has started a task. */
  add(job: string): void;
  has(job: string): boolean;
  /** Records nothing any more. */
  stop(): void;
}

/** Creates the begun jobs, which are those of the recorded state. */
export function createBegunJobs(options: BegunJobsOptions): BegunJobs {
  const { clock, state } = options;
  /** Jobs that have begun, but are not recorded as such. */
  const unrecorded = new Set<string>();
  let hasTimer = false;
  let isStopped = false;

  function isQueued(id: string): boolean {
    return state.getJob(id)?.state === "queued";
  }

  function startTimer(): void {
    if (hasTimer) return;
    hasTimer = true;
    clock.setTimer(GATHER_MS, () => void recordGathered());
  }

  async function recordGathered(): Promise<void> {
    if (isStopped) return;
    // Most short jobs have ended, or have a recorded end, by now.
    const jobs = [...unrecorded].filter(isQueued);
    if (jobs.length > 0) await options.record([{ kind: "begun", jobs }]);
    hasTimer = false;
    for (const job of unrecorded) {
      if (!isQueued(job)) unrecorded.delete(job);
    }
    if (unrecorded.size > 0 && !isStopped) startTimer();
  }

  return {
    add(job) {
      if (!isQueued(job) || unrecorded.has(job)) return;
      unrecorded.add(job);
      startTimer();
    },
    has(job) {
      const known = state.getJob(job);
      return known !== undefined &&
        (known.state !== "queued" || unrecorded.has(job));
    },
    stop() {
      isStopped = true;
    },
  };
}
