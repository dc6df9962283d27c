/**
 * Requests at one endpoint that may be running without an open grant, by workspace.
 *
 * A new leader knows of its predecessor's requests only what the endpoint
 * reports. Without this count it would let in a workspace's whole slot limit beside
 * them. Requests of unknown workspace count against every workspace: that is safe, and
 * ends when the endpoint reports less.
 */

import { REQUEST_TRANSIT_MS } from "./constants.ts";

/** What an endpoint reports. */
export interface WorkspaceReport {
  readonly inFlight: number;
  readonly inFlightByWorkspace?: Readonly<Record<string, number>> | undefined;
  /** Most requests without an open grant, according to the slot ledger. */
  readonly maxExcess: number;
}

/** Counts by workspace; `shared` counts against every workspace. */
export interface WorkspaceCounts {
  readonly byWorkspace: ReadonlyMap<string, number>;
  readonly shared: number;
}

/** The requests of one endpoint without an open grant. */
export interface WorkspaceExcess {
  /** Counts a grant that ended without proof that its request did. */
  addUnconfirmed(workspace: string, nowMs: number): void;
  receiveReport(report: WorkspaceReport, nowMs: number): void;
  getCounts(): WorkspaceCounts;
}

function computeSum(values: Iterable<number>): number {
  let sum = 0;
  for (const value of values) sum += value;
  return sum;
}

function countShared(
  { inFlight, inFlightByWorkspace = {} }: WorkspaceReport,
): number {
  return Math.max(0, inFlight - computeSum(Object.values(inFlightByWorkspace)));
}

/** Creates the counts from the endpoint's first report. */
export function createWorkspaceExcess(
  first: WorkspaceReport,
  announcementDelayMs: number,
): WorkspaceExcess {
  const byWorkspace = new Map(Object.entries(first.inFlightByWorkspace ?? {}));
  let shared = countShared(first);
  // Ends of grants whose request may still be on its way: reports miss it.
  let unconfirmed: { workspace: string; atMs: number }[] = [];

  function setAtMost(workspace: string, most: number): void {
    const count = Math.min(byWorkspace.get(workspace) ?? 0, most);
    if (count > 0) byWorkspace.set(workspace, count);
    else byWorkspace.delete(workspace);
  }

  return {
    addUnconfirmed(workspace, nowMs) {
      byWorkspace.set(workspace, (byWorkspace.get(workspace) ?? 0) + 1);
      unconfirmed.push({ workspace, atMs: nowMs });
    },
    receiveReport(report, nowMs) {
      const { inFlight, inFlightByWorkspace, maxExcess } = report;
      unconfirmed = unconfirmed.filter(({ atMs }) =>
        atMs > nowMs - announcementDelayMs - REQUEST_TRANSIT_MS
      );
      shared = Math.min(shared, countShared(report), maxExcess);
      for (const workspace of [...byWorkspace.keys()]) {
        const reported = inFlightByWorkspace === undefined
          ? inFlight
          // Requests without a workspace may be this workspace's.
          : (inFlightByWorkspace[workspace] ?? 0) + countShared(report);
        const missed = unconfirmed.filter((one) =>
          one.workspace === workspace
        ).length;
        setAtMost(workspace, Math.min(reported + missed, maxExcess));
      }
    },
    getCounts: () => ({ byWorkspace, shared }),
  };
}

/** Adds up the counts of several endpoints. */
export function mergeWorkspaceCounts(
  all: Iterable<WorkspaceCounts>,
): WorkspaceCounts {
  const byWorkspace = new Map<string, number>();
  let shared = 0;
  for (const counts of all) {
    shared += counts.shared;
    for (const [workspace, count] of counts.byWorkspace) {
      byWorkspace.set(workspace, (byWorkspace.get(workspace) ?? 0) + count);
    }
  }
  return { byWorkspace, shared };
}
