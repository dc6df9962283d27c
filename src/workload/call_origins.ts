/**
 * Origins of calls. A gateway sends an unanswered call again, to the next leader or
 * to the same one on another stream, always under the same origin. A leader that
 * finds the origin recorded knows that the call was accepted before. It must not
 * check the call again: the key may have been withdrawn since, and a refusal would
 * say that a job has not run which has.
 */

/** The recorded calls. */
export interface CallOrigins {
  /** Adds a recorded call about a job; without an origin it cannot be found. */
  add(origin: string | undefined, job: string): void;
  /** Returns the job that a recorded call was about. */
  find(origin: string | undefined): string | undefined;
  /** Removes the calls about a job that is no longer kept. */
  remove(job: string): void;
  /** Lists the calls by job, for a snapshot. */
  list(): [string, readonly string[]][];
  /** Replaces all by those of a snapshot. */
  restore(calls: readonly (readonly [string, readonly string[]])[]): void;
}

/** Creates an empty collection. */
export function createCallOrigins(): CallOrigins {
  const jobs = new Map<string, string>();
  const originsByJob = new Map<string, readonly string[]>();

  function add(origin: string | undefined, job: string): void {
    if (origin === undefined || jobs.has(origin)) return;
    jobs.set(origin, job);
    originsByJob.set(job, [...originsByJob.get(job) ?? [], origin]);
  }

  return {
    add,
    find: (origin) => origin === undefined ? undefined : jobs.get(origin),
    remove(job) {
      for (const origin of originsByJob.get(job) ?? []) jobs.delete(origin);
      originsByJob.delete(job);
    },
    list: () => [...originsByJob],
    restore(calls) {
      jobs.clear();
      originsByJob.clear();
      for (const [job, origins] of calls) {
        for (const origin of origins) add(origin, job);
      }
    },
  };
}

/** Runs a call unless one of the same origin is running, whose outcome is returned then. */
export type RunOnce = (
  origin: string | undefined,
  run: () => Promise<void>,
) => Promise<void>;

/** Creates a guard against two runs of one call, which a stream that breaks and opens again can cause. */
export function createRunOnce(): RunOnce {
  const open = new Map<string, Promise<void>>();
  return async function runOnce(origin, run) {
    if (origin === undefined) return await run();
    const known = open.get(origin);
    if (known !== undefined) return await known;
    const call = run();
    open.set(origin, call);
    try {
      await call;
    } finally {
      open.delete(origin);
    }
  };
}
