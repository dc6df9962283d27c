/**
 * Counts the requests at one endpoint that may be running without an open grant,
 * by workspace.
 *
 * A new leader knows the requests of its predecessor only from endpoint reports.
 * Without this count it would admit the full slot limit of a workspace in
 * addition to them. Requests of unknown workspaces count against every
 * workspace; this is safe and ends once the endpoint reports fewer.
 */

import { REQUEST_TRANSIT_MS } from "./constants.ts";

/** The part of an endpoint report used by these counts. */
export interface WorkspaceReport {
  readonly inFlight: number;
  readonly inFlightByWorkspace?: Readonly<Record<string, number>> | undefined;
  /** Maximum number of requests without an open grant, from the slot ledger. */
  readonly maxExcess: number;
}

/** Request counts by workspace; `shared` counts against every workspace. */
export interface WorkspaceCounts {
  readonly byWorkspace: ReadonlyMap<string, number>;
  readonly shared: number;
}

/** The requests without an open grant at one endpoint. */
export interface WorkspaceExcess {
  /** Counts a grant whose request is not confirmed to have ended. */
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

/** Creates the counts from the first report of the endpoint. */
export function createWorkspaceExcess(
  first: WorkspaceReport,
  announcementDelayMs: number,
): WorkspaceExcess {
  const byWorkspace = new Map(Object.entries(first.inFlightByWorkspace ?? {}));
  let shared = countShared(first);
  // Ends of grants whose request may still be in transit and missing from reports.
  let unconfirmed: { workspace: string; atMs: number }[] = [];

  function setAtMost(workspace: string, max: number): void {
    const count = Math.min(byWorkspace.get(workspace) ?? 0, max);
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
          // Requests of unknown workspaces may belong to this one.
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
