/** Status for operators: where a limit is in force, and whether a removed data centre can be closed. */

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

/** Query of `isLimitInForce`. */
export interface LimitQuery {
  readonly workspace: string;
  /** The configuration version that set the limit. */
  readonly version: number;
}

/** Lists the data centres that may run work: the configured and the leaving ones. */
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
 * Returns whether a limit is in force: every data centre in use has applied its
 * version and runs no more than it holds. A data centre with a negative held
 * amount after a cut is pending until it has received the difference, even if it
 * runs nothing, since others hold the same amount in excess meanwhile.
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
 * Plans the operation that closes a removed data centre once it has returned
 * all allotment and runs nothing. This includes work above the held amount after
 * a cut: its units may be granted to others once the data centre is closed.
 * `state` is the newest configuration known to the data centre.
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
