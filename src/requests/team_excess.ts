/**
 * Requests at one endpoint that may be running without an open grant, by team.
 *
 * A new leader knows of its predecessor's requests only what the endpoint
 * reports. Without this count it would let in a team's whole slot limit beside
 * them. Requests of unknown team count against every team: that is safe, and
 * ends when the endpoint reports less.
 */

import { ARRIVAL_MS } from "./constants.ts";

/** What an endpoint reports. */
export interface TeamReport {
  readonly inFlight: number;
  readonly inFlightByTeam?: Readonly<Record<string, number>> | undefined;
  /** True for the first report of an incarnation: former requests have died. */
  readonly hasRestarted: boolean;
  /** Most requests without an open grant, according to the slot ledger. */
  readonly mostExcess: number;
}

/** Counts by team; `shared` counts against every team. */
export interface TeamCounts {
  readonly byTeam: ReadonlyMap<string, number>;
  readonly shared: number;
}

/** The requests of one endpoint without an open grant. */
export interface TeamExcess {
  /** Counts a grant that ended without proof that its request did. */
  addUnproven(team: string, nowMs: number): void;
  receiveReport(report: TeamReport, nowMs: number): void;
  getCounts(): TeamCounts;
}

function computeSum(values: Iterable<number>): number {
  let sum = 0;
  for (const value of values) sum += value;
  return sum;
}

function countShared({ inFlight, inFlightByTeam = {} }: TeamReport): number {
  return Math.max(0, inFlight - computeSum(Object.values(inFlightByTeam)));
}

/** Creates the counts from the endpoint's first report. */
export function createTeamExcess(
  first: TeamReport,
  announcementDelayMs: number,
): TeamExcess {
  const byTeam = new Map(Object.entries(first.inFlightByTeam ?? {}));
  let shared = countShared(first);
  let unprovenAtMs = -Infinity;

  function setAtMost(team: string, most: number): void {
    const count = Math.min(byTeam.get(team) ?? 0, most);
    if (count > 0) byTeam.set(team, count);
    else byTeam.delete(team);
  }

  return {
    addUnproven(team, nowMs) {
      byTeam.set(team, (byTeam.get(team) ?? 0) + 1);
      unprovenAtMs = nowMs;
    },
    receiveReport(report, nowMs) {
      const { inFlight, inFlightByTeam, mostExcess, hasRestarted } = report;
      if (hasRestarted) {
        byTeam.clear();
        shared = 0;
      }
      // The last unproven request may reach the endpoint after this report.
      const settledMs = unprovenAtMs + announcementDelayMs + ARRIVAL_MS;
      if (nowMs < settledMs) return;
      shared = Math.min(shared, countShared(report), mostExcess);
      for (const team of [...byTeam.keys()]) {
        const reported = inFlightByTeam === undefined
          ? inFlight
          // Requests without a team may be this team's.
          : (inFlightByTeam[team] ?? 0) + countShared(report);
        setAtMost(team, Math.min(reported, mostExcess));
      }
    },
    getCounts: () => ({ byTeam, shared }),
  };
}

/** Adds up the counts of several endpoints. */
export function mergeTeamCounts(all: Iterable<TeamCounts>): TeamCounts {
  const byTeam = new Map<string, number>();
  let shared = 0;
  for (const counts of all) {
    shared += counts.shared;
    for (const [team, count] of counts.byTeam) {
      byTeam.set(team, (byTeam.get(team) ?? 0) + count);
    }
  }
  return { byTeam, shared };
}
