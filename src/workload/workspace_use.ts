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
import { computeGangCap, isWithinCap } from "./workspace_caps.ts";

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
  /** Tells whether the bucket of a job's workspace has no token for it, without taking one. */
  isBeyondWeight(job: JobSpec): boolean;
  /** Tells whether the bucket was empty when the job was submitted. */
  isExcess(job: string): boolean;
  /** Tells whether a workspace uses more than its cap allows, which may have been lowered. */
  isOverCap(workspace: string | undefined): boolean;
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

  /** Returns the tokens of the job's workspace at its submission; undefined for no limit. */
  function findBucket(
    { workspace = "", submittedMs }: JobSpec,
  ): { name: string; left: number; atMs: number } | undefined {
    const settings = state.findWorkspace(workspace);
    if (settings === undefined || settings.weight <= 0) return undefined;
    const { name, weight } = settings;
    const most = weight * WEIGHT_BURST_S;
    const bucket = buckets.get(name) ?? { left: most, atMs: submittedMs };
    const passedS = (submittedMs - bucket.atMs) / MS_PER_SECOND;
    // After the clock was set back, the time that has passed is not known. The bucket
    // would otherwise get no token until the clock has caught up.
    if (passedS < -WEIGHT_BURST_S) {
      return { name, left: most, atMs: submittedMs };
    }
    return {
      name,
      left: Math.min(most, bucket.left + Math.max(0, passedS) * weight),
      atMs: Math.max(bucket.atMs, submittedMs),
    };
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
      const bucket = findBucket(job);
      if (bucket === undefined) return;
      const { name, left, atMs } = bucket;
      if (left < 1) excess.add(job.id);
      buckets.set(name, { left: Math.max(0, left - 1), atMs });
    },
    isBeyondWeight(job) {
      const bucket = findBucket(job);
      return bucket !== undefined && bucket.left < 1;
    },
    isExcess: (job) => excess.has(job),
    isOverCap(workspace) {
      const cap = workspace === undefined
        ? undefined
        : state.findWorkspace(workspace)?.cap;
      return workspace !== undefined && cap !== undefined &&
        !isWithinCap(getUsed(workspace), computeGangCap(cap));
    },
    list() {
      const uses = new Map<string, WorkspaceUsage>();
      for (const { name, cap } of state.listWorkspaces()) {
        uses.set(name, { used: getUsed(name), cap });
      }
      return uses;
    },
  };
}
