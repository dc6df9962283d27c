/**
 * The connections that all entry instances together may hold to one endpoint.
 *
 * An entry instance opens a connection only for a grant, reuses an idle one
 * when it has one, and closes it after a short idle time. The leader, which
 * gives every grant, can therefore count the connections that may be open: one
 * for each grant in use, and one for each ended grant until its connection has
 * certainly been closed. A static part for each instance alone was ruled out:
 * with more entry instances than connections it is below one connection.
 */

/** Settings of a connection budget. */
export interface ConnectionBudgetOptions {
  /** Milliseconds after the end of a grant at which its connection is closed. */
  readonly idleMs: number;
  /** Connections that one entry instance may hold to one endpoint. */
  readonly maxPerInstance: number;
}

/** The connections to one endpoint. */
export interface ConnectionBudget {
  /** Tells whether `instance` may use one more connection. */
  hasFreeConnection(
    instance: string,
    connections: number,
    nowMs: number,
  ): boolean;
  openGrant(instance: string): void;
  closeGrant(instance: string, nowMs: number): void;
  /** Connections that may be open now. */
  getCount(nowMs: number): number;
}

interface InstanceConnections {
  busy: number;
  /** Times at which idle connections are closed, earliest first. */
  idleUntilMs: number[];
}

/** Returns the part of `connections` that each of `instances` may hold, at least 1. */
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
  // No idle connection is closed before this time.
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
      // Which idle connection is reused is not known; assuming the one that
      // closes first never counts too few.
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
