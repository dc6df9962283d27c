/**
 * Limits the connections from all entry instances to one endpoint.
 *
 * An entry instance opens a connection only for a grant, reuses idle
 * connections, and closes them after a short idle timeout. The leader issues
 * every grant, so it can count the connections that may be open: one per open
 * grant, and one per ended grant until its connection is guaranteed to be
 * closed. A static share per instance alone would not work: with more entry
 * instances than connections it is less than one connection.
 */

/** Settings of a connection budget. */
export interface ConnectionBudgetOptions {
  /** Milliseconds after the end of a grant until its connection is closed. */
  readonly idleMs: number;
  /** Maximum number of connections of one entry instance. */
  readonly maxPerInstance: number;
}

/** The connection budget of one endpoint. */
export interface ConnectionBudget {
  /** Returns whether `instance` may use another connection, given a limit of `connections`. */
  hasFreeConnection(
    instance: string,
    connections: number,
    nowMs: number,
  ): boolean;
  openGrant(instance: string): void;
  closeGrant(instance: string, nowMs: number): void;
  /** Number of connections that may be open. */
  getCount(nowMs: number): number;
}

interface InstanceConnections {
  busy: number;
  /** Times by which idle connections are closed, earliest first. */
  idleUntilMs: number[];
}

/** Returns an equal share of `connections` for each of `instances`, at least 1. */
export function computeConnectionShare(
  connections: number,
  instances: number,
): number {
  return Math.max(1, Math.floor(connections / Math.max(1, instances)));
}

/** Creates the budget of one endpoint. */
export function createConnectionBudget(
  options: ConnectionBudgetOptions,
): ConnectionBudget {
  const { idleMs, maxPerInstance } = options;
  const holdings = new Map<string, InstanceConnections>();
  let count = 0;
  // Earliest time at which an idle connection is closed.
  let nextCloseMs = Infinity;

  function removeClosed(nowMs: number): void {
    if (nowMs < nextCloseMs) return;
    nextCloseMs = Infinity;
    for (const [instance, { busy, idleUntilMs }] of holdings) {
      while (idleUntilMs[0] !== undefined && idleUntilMs[0] <= nowMs) {
        idleUntilMs.shift();
        count -= 1;
      }
      if (busy + idleUntilMs.length === 0) holdings.delete(instance);
      nextCloseMs = Math.min(nextCloseMs, idleUntilMs[0] ?? Infinity);
    }
  }

  return {
    hasFreeConnection(instance, connections, nowMs) {
      removeClosed(nowMs);
      const holding = holdings.get(instance);
      if (holding === undefined) return count < connections;
      if (holding.idleUntilMs.length > 0) return true;
      return count < connections && holding.busy < maxPerInstance;
    },
    openGrant(instance) {
      const holding = holdings.get(instance) ?? { busy: 0, idleUntilMs: [] };
      holdings.set(instance, holding);
      holding.busy += 1;
      // The entry instance chooses which idle connection to reuse. Assuming the
      // one that closes first never underestimates the count.
      if (holding.idleUntilMs.shift() === undefined) count += 1;
    },
    closeGrant(instance, nowMs) {
      const holding = holdings.get(instance);
      if (holding === undefined) return;
      holding.busy -= 1;
      holding.idleUntilMs.push(nowMs + idleMs);
      nextCloseMs = Math.min(nextCloseMs, nowMs + idleMs);
    },
    getCount(nowMs) {
      removeClosed(nowMs);
      return count;
    },
  };
}
