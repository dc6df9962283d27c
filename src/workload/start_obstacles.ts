/**
 * Tells what has changed since a start was decided, so that it must not be sent any more.
 * Between the decision and each copy of the order lie the record, waits for the lease and
 * for the runner, and earlier copies without a reply. A runner that has turned unhealthy
 * is no obstacle, as it refuses the order itself; a cancelled job is none here, as its
 * runs are not wanted any more.
 */

import type { EvacuatedRunners } from "./evacuated_runners.ts";
import { isOverCapacity, type Runner } from "./runner_table.ts";
import type { TaskRef } from "./types.ts";
import type { WorkState } from "./work_state.ts";
import type { WorkspaceUsageTracker } from "./workspace_use.ts";

/** Why a decided start must not be sent. */
export type StartObstacle =
  /** The runner has announced that it drains. */
  | "draining"
  /** The data centre of the runner was evacuated. */
  | "evacuated"
  /** The runner's capacity has shrunk below what its runs use. */
  | "overCapacity"
  /** The cap of the workspace was lowered below what it uses. */
  | "overCap";

/** Options of the search. */
export interface StartObstaclesOptions {
  state: Pick<WorkState, "getJob">;
  evacuated: Pick<EvacuatedRunners, "isEvacuated">;
  workspaces: Pick<WorkspaceUsageTracker, "isOverCap">;
}

/** Finds the obstacle to a start that its runner has room for; undefined for none. */
export type FindStartObstacle = (
  runner: Runner,
  task: TaskRef,
) => StartObstacle | undefined;

/** Creates the search for one leadership. */
export function createStartObstacles(
  { state, evacuated, workspaces }: StartObstaclesOptions,
): FindStartObstacle {
  return function findObstacle(runner, { job }) {
    if (runner.entry.isDraining) return "draining";
    if (evacuated.isEvacuated(runner)) return "evacuated";
    if (isOverCapacity(runner)) return "overCapacity";
    const workspace = state.getJob(job)?.spec.workspace;
    return workspaces.isOverCap(workspace) ? "overCap" : undefined;
  };
}
