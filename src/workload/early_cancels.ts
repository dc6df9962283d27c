/**
 * Cancellations of jobs that have not arrived. A submission may be held up on its way while
 * its caller cancels the job through another instance; once that is acknowledged, the
 * submission must not be accepted any more. Both the number of these cancellations and the
 * time for which they are kept are limited.
 */

/** Maximum number for one workspace, so that one cannot use up what others need. */
const MAX_OF_WORKSPACE = 1_000;

/** Maximum number of all. */
const MAX_TOTAL = 10_000;

/** Workspace of callers without a key. */
const ANONYMOUS = "";

/** An identifier that was cancelled before a job with it arrived. */
export interface EarlyCancel {
  readonly job: string;
  /** Workspace of the caller; absent if a public queue was used without a valid key. */
  readonly workspace?: string;
  /** Wall time of the cancellation in milliseconds. */
  readonly atMs: number;
}

/** The cancelled identifiers. */
export interface EarlyCancels {
  /** Adds a cancellation unless the limits are reached. */
  add(cancel: EarlyCancel): void;
  /** Tells whether a job was cancelled by a caller who may cancel the jobs of its workspace. */
  has(job: string, workspace: string | undefined): boolean;
  list(): EarlyCancel[];
  remove(cancels: readonly EarlyCancel[]): void;
  /** Replaces all by those of a snapshot. */
  restore(cancels: readonly EarlyCancel[]): void;
}

/** Tells whether a caller may see and cancel a job; without a workspace on either side, there is nothing to compare. */
export function isSameOwner(
  owner: string | undefined,
  caller: string | undefined,
): boolean {
  return owner === undefined || caller === undefined || owner === caller;
}

/** Creates an empty collection. */
export function createEarlyCancels(): EarlyCancels {
  /** By workspace and job. */
  const cancels = new Map<string, Map<string, EarlyCancel>>();
  let count = 0;

  function add(cancel: EarlyCancel): void {
    const { job, workspace = ANONYMOUS } = cancel;
    const known = cancels.get(workspace) ?? new Map<string, EarlyCancel>();
    const isFull = count >= MAX_TOTAL || known.size >= MAX_OF_WORKSPACE;
    if (isFull || known.has(job)) return;
    known.set(job, cancel);
    cancels.set(workspace, known);
    count += 1;
  }

  function remove({ job, workspace = ANONYMOUS }: EarlyCancel): void {
    const known = cancels.get(workspace);
    if (known?.delete(job) !== true) return;
    if (known.size === 0) cancels.delete(workspace);
    count -= 1;
  }

  return {
    add,
    has(job, workspace) {
      const lists = workspace === undefined
        ? [...cancels.values()]
        : [cancels.get(workspace), cancels.get(ANONYMOUS)];
      return lists.some((known) => known?.has(job) === true);
    },
    list: () => [...cancels.values()].flatMap((known) => [...known.values()]),
    remove(removed) {
      for (const cancel of removed) remove(cancel);
    },
    restore(next) {
      cancels.clear();
      count = 0;
      for (const cancel of next) add(cancel);
    },
  };
}
