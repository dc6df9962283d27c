/** Answers for operators: where a limit is in force, and when a removed data centre can be closed. */

import {
  fitsLimits,
  type FleetOperation,
  type FleetState,
  isZeroLimits,
} from "../fleet/mod.ts";
import type {
  Allotments,
  DataCentreReport,
  LimitInForce,
  LimitStatus,
} from "./types.ts";

/** What `isLimitInForce` is asked about. */
export interface LimitQuery {
  readonly workspace: string;
  /** The configuration version that set the limit. */
  readonly version: number;
}

/** Lists the data centres that may run work: configured ones and those that are leaving. */
export function listDataCentresInUse(state: FleetState): string[] {
  return [...state.dataCentres, ...state.leavingDataCentres].sort();
}

function getLimitStatus(
  report: DataCentreReport | undefined,
  query: LimitQuery,
): LimitStatus {
  if (report === undefined) return { inForce: false, reason: "notReported" };
  if (report.appliedVersion < query.version) {
    return { inForce: false, reason: "notApplied" };
  }
  const workspace = report.workspaces.get(query.workspace);
  if (
    workspace === undefined || fitsLimits(workspace.running, workspace.held)
  ) {
    return { inForce: true };
  }
  return { inForce: false, reason: "runningAboveHeld" };
}

/**
 * Tells whether a limit is in force: every data centre in use has applied its
 * version and runs no more than it holds. A data centre that holds less than
 * nothing after a cut is pending until it has got its difference back, even
 * when it runs nothing: others hold the same amount too much meanwhile.
 */
export function isLimitInForce(
  dataCentres: readonly string[],
  reports: ReadonlyMap<string, DataCentreReport>,
  query: LimitQuery,
): LimitInForce {
  const byDataCentre = new Map<string, LimitStatus>();
  for (const name of dataCentres) {
    byDataCentre.set(name, getLimitStatus(reports.get(name), query));
  }
  const pending = dataCentres.filter((name) =>
    !byDataCentre.get(name)?.inForce
  );
  return { inForce: pending.length === 0, pending, byDataCentre };
}

/**
 * Plans the operation that closes a removed data centre, once it has given
 * back everything and runs nothing. Work that runs above what is held after a
 * cut counts too: its units may be granted to others once it is closed.
 * `state` is the newest configuration it knows.
 */
export function planClose(
  allotments: Allotments,
  state: FleetState,
  hasRunningWork: boolean,
): FleetOperation | undefined {
  const name = allotments.dataCentre;
  const appliedVersion = allotments.getAppliedVersion();
  if (hasRunningWork) return undefined;
  if (!state.leavingDataCentres.includes(name)) return undefined;
  if (appliedVersion < state.divisionVersion) return undefined;
  const isEmpty = allotments.getTransfersInProgress().length === 0 &&
    allotments.listWorkspaces().every((workspace) =>
      isZeroLimits(allotments.getHeld(workspace))
    );
  if (!isEmpty) return undefined;
  return { type: "closeDataCentre", name, appliedVersion };
}
