/**
 * Remembers the incarnations of runners that a leader uses, by incarnation and by pool.
 * An incarnation stays here until it is closed, also while it is without contact.
 */

import type { RunnerDriver } from "./runner_driver.ts";
import type { Runner } from "./runner_table.ts";

/** One incarnation of a runner and its driver. */
export interface Session {
  readonly runner: Runner;
  readonly driver: RunnerDriver;
  /** Fencing token of the orders to this incarnation; a higher one follows after a refusal. */
  fence: number;
  /** Local time at which this leader began to use it, in milliseconds. */
  readonly openedMs: number;
  /** Keys of its listed ends that are not recorded yet; see `formatRun`. */
  readonly unrecordedEnds: Set<string>;
}

/** The incarnations in use. */
export interface RunnerSessions {
  /** The sessions by incarnation; the runner of each is also in the list of its pool. */
  readonly sessions: Map<string, Session>;
  readonly runnersByPool: ReadonlyMap<string, readonly Runner[]>;
  /** Returns the list of the runners of a pool, to be read or changed. */
  listPool(pool: string): Runner[];
  /** Finds the session of a runner id, of which there may be several incarnations. */
  findSessionById(id: string): Session | undefined;
}

/** Creates a store without sessions. */
export function createRunnerSessions(): RunnerSessions {
  const sessions = new Map<string, Session>();
  const runnersByPool = new Map<string, Runner[]>();

  function listPool(pool: string): Runner[] {
    let list = runnersByPool.get(pool);
    if (list === undefined) runnersByPool.set(pool, list = []);
    return list;
  }

  function findSessionById(id: string): Session | undefined {
    for (const session of sessions.values()) {
      if (session.runner.entry.id === id) return session;
    }
    return undefined;
  }

  return { sessions, runnersByPool, listPool, findSessionById };
}
