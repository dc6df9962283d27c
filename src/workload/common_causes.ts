/**
 * Tells whether many runners of a pool have gone away together. Then a fault of their
 * machines or the network is more likely the cause than the tasks on one of them.
 */

import type { Occupant, Runner } from "./runner_table.ts";

/** Time between the last replies of runners within which they went away together, in milliseconds; longer than a long poll. */
const COMMON_CAUSE_MS = 2_000;

/** Time for which a crash may belong to that of another runner, in milliseconds; runners are back at different times. */
const RECENT_CRASH_MS = 15_000;

/** Share of a pool's runners that may be away with a runner, without a common cause. */
const COMMON_CAUSE_SHARE = 0.1;

/** A crash of which this leader has learned. */
export interface RecentCrash {
  readonly life: string;
  readonly pool: string;
  readonly atMs: number;
  readonly lastReplyMs: number | undefined;
  readonly occupants: readonly Occupant[];
}

/** Options of the common causes. */
export interface CommonCausesOptions {
  /** Returns the runners of this leadership that are not closed. */
  listRunners: () => readonly Runner[];
}

/** The recent crashes, which may have a common cause. */
export interface CommonCauses {
  add(crash: RecentCrash): void;
  /** Removes the crashes that no longer belong to another. */
  removeExpired(nowMs: number): void;
  /** Tells whether there is a common cause for a runner with these runs to be away. */
  hasCommonCause(runner: Runner, occupants: readonly Occupant[]): boolean;
}

/** Creates a store without crashes. */
export function createCommonCauses(options: CommonCausesOptions): CommonCauses {
  let recent: RecentCrash[] = [];

  /**
   * Tells whether so many other runners have gone away as well that there is a common
   * cause; without those on which a job of this one was, which may crash several.
   */
  function hasCommonCause(
    runner: Runner,
    occupants: readonly Occupant[],
  ): boolean {
    const { pool, address } = runner.entry;
    const jobs = new Set(occupants.map(({ task }) => task.job));
    const isRelated = (
      { lastReplyMs }: Pick<Runner, "lastReplyMs">,
      others: Iterable<Occupant>,
    ) =>
      lastReplyMs !== undefined && runner.lastReplyMs !== undefined &&
      Math.abs(lastReplyMs - runner.lastReplyMs) < COMMON_CAUSE_MS &&
      ![...others].some(({ task }) => jobs.has(task.job));
    const runners = options.listRunners().filter(({ entry }) =>
      entry.pool === pool && entry.address !== address
    );
    const away = runners.filter((other) =>
      (other.isUnresponsive || other.isLost) &&
      isRelated(other, [...other.occupants.values(), ...other.lostOccupants])
    );
    const crashed = recent.filter((other) =>
      other.pool === pool && other.life !== runner.life &&
      isRelated(other, other.occupants)
    );
    return away.length + crashed.length > runners.length * COMMON_CAUSE_SHARE;
  }

  return {
    hasCommonCause,
    add: (crash) => void recent.push(crash),
    removeExpired(nowMs) {
      recent = recent.filter(({ atMs }) => nowMs - atMs < RECENT_CRASH_MS);
    },
  };
}
