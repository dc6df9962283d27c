/**
 * Tracks the resources that each workspace uses, its cap, and whether it submits
 * more jobs than its weight allows.
 */

import {
  addResources,
  type Clock,
  NO_RESOURCES,
  type Resources,
  subtractResources,
} from "../common/mod.ts";
import type { WorkspaceUsage } from "./plan_types.ts";
import type { JobSpec } from "./types.ts";
import type { WorkState } from "./work_state.ts";

/** Token bucket size of a workspace, in seconds of its weight. */
const WEIGHT_BURST_S = 1;

const MS_PER_SECOND = 1_000;

/** Options of the tracker. */
export interface WorkspaceUsageOptions {
  state: WorkState;
  clock: Clock;
}

/** Tracks the resource usage and submissions of workspaces. */
export interface WorkspaceUsageTracker {
  add(workspace: string | undefined, amount: Resources): void;
  remove(workspace: string | undefined, amount: Resources): void;
  /** Takes one token for a job from the bucket of its workspace. */
  addJob(job: JobSpec): void;
  /** Tells whether the bucket was empty when the job was submitted. */
  isExcess(job: string): boolean;
  /** Returns usage and cap of each workspace that is configured or has open jobs; the copy may be modified. */
  list(): Map<string, WorkspaceUsage>;
}

/** Creates a tracker without usage. */
export function createWorkspaceUsageTracker(
  options: WorkspaceUsageOptions,
): WorkspaceUsageTracker {
  const { state } = options;
  const used = new Map<string, Resources>();
  const buckets = new Map<string, { left: number; atMs: number }>();
  const excess = new Set<string>();

  function getUsed(workspace: string): Resources {
    return used.get(workspace) ?? NO_RESOURCES;
  }

  return {
    add(workspace, amount) {
      if (workspace === undefined) return;
      used.set(workspace, addResources(getUsed(workspace), amount));
    },
    remove(workspace, amount) {
      if (workspace === undefined) return;
      used.set(workspace, subtractResources(getUsed(workspace), amount));
    },
    addJob(job) {
      const settings = state.findWorkspace(job.workspace ?? "");
      if (settings === undefined || settings.weight <= 0) return;
      const most = settings.weight * WEIGHT_BURST_S;
      const bucket = buckets.get(settings.name) ??
        { left: most, atMs: job.submittedMs };
      const passedS = Math.max(0, job.submittedMs - bucket.atMs) /
        MS_PER_SECOND;
      bucket.left = Math.min(most, bucket.left + passedS * settings.weight) - 1;
      bucket.atMs = Math.max(bucket.atMs, job.submittedMs);
      if (bucket.left < 0) {
        bucket.left = 0;
        excess.add(job.id);
      }
      buckets.set(settings.name, bucket);
    },
    isExcess: (job) => excess.has(job),
    list() {
      const uses = new Map<string, WorkspaceUsage>();
      for (const { name, cap } of state.listWorkspaces()) {
        uses.set(name, { used: getUsed(name), cap });
      }
      return uses;
    },
  };
}
