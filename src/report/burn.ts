/**
 * Computes error-budget burn rates of workspaces from the merged snapshots of all
 * instances. A burn rate of 1 uses up the error budget exactly by the end of its
 * period; a rate of 14.4 uses 2 % of a 30-day budget in one hour.
 */

import { createFault } from "../common/mod.ts";
import type {
  BurnSnapshot,
  ObjectiveSnapshot,
  WorkspaceSnapshot,
} from "./burn_recorder.ts";
import type { BurnSnapshots, UnreachedInstance } from "./burn_snapshots.ts";
import {
  createDurationHistogram,
  decodeDurationHistogram,
} from "./duration_histogram.ts";
import type { DurationSummary } from "./duration_histogram.ts";
import { OBJECTIVE_NAMES } from "./objectives.ts";
import type { ObjectiveName } from "./objectives.ts";
import { SERIES_STEP_MS, WINDOW_NAMES } from "./window_counts.ts";
import type { EventCounts, EventSeries, WindowName } from "./window_counts.ts";

/** A multi-window alert. It fires while the burn rates of both windows are at or above `rate`. */
export interface BurnAlert {
  readonly name: "fast" | "slow";
  readonly short: WindowName;
  readonly long: WindowName;
  readonly rate: number;
}

/**
 * Alert rules. The long window shows that the loss is significant, the short one
 * that it is ongoing. A rate of 14.4 uses 2 % of a 30-day budget in 1 h, 6 uses 5 % in 6 h.
 */
export const BURN_ALERTS: readonly BurnAlert[] = Object.freeze([
  Object.freeze({ name: "fast", short: "5m", long: "1h", rate: 14.4 }),
  Object.freeze({ name: "slow", short: "30m", long: "6h", rate: 6 }),
]);

/** Burn rates and remaining budget of one objective. */
export interface ObjectiveBurn {
  readonly name: ObjectiveName;
  readonly target: number;
  readonly limit?: number;
  /** Burn rate by window; `null` if the window has no events. */
  readonly rates: Readonly<Record<WindowName, number | null>>;
  /** Firing alerts. */
  readonly alerts: readonly BurnAlert["name"][];
  readonly budget: {
    readonly total: number;
    readonly bad: number;
    /** Remaining fraction of the budget; negative when overspent, `null` without events. */
    readonly left: number | null;
  };
  /** Burn rates of the last six hours in 5-minute steps. */
  readonly series: {
    readonly startMs: number;
    readonly stepMs: number;
    readonly rates: readonly (number | null)[];
  };
}

/** Burn report of one workspace. */
export interface WorkspaceBurn {
  readonly workspace: string;
  readonly objectives: readonly ObjectiveBurn[];
  readonly answerTimes: DurationSummary;
  readonly waitingTimes: DurationSummary;
}

/** An instance included in the report and the time range its data covers. */
export interface ReachedInstance {
  readonly instance: string;
  readonly sinceMs: number;
  readonly takenAtMs: number;
}

/** Burn report of all workspaces. */
export interface BurnReport {
  readonly reached: readonly ReachedInstance[];
  /** Instances whose data is missing from the report. */
  readonly unreached: readonly UnreachedInstance[];
  readonly workspaces: readonly WorkspaceBurn[];
}

/** Computes the burn rate; 1 uses up the budget by the end of its period, `null` without events. */
export function computeBurnRate(
  { good, bad }: EventCounts,
  target: number,
): number | null {
  const total = good + bad;
  if (total === 0) return null;
  return bad / total / (1 - target);
}

function addCounts(counts: readonly EventCounts[]): EventCounts {
  return counts.reduce(
    (sum, { good, bad }) => ({ good: sum.good + good, bad: sum.bad + bad }),
    { good: 0, bad: 0 },
  );
}

function mergeSeries(all: readonly EventSeries[]): Map<number, EventCounts> {
  const steps = new Map<number, EventCounts>();
  for (const { startMs, good, bad } of all) {
    for (const [offset, goodCount] of good.entries()) {
      const atMs = startMs + offset * SERIES_STEP_MS;
      const counts = { good: goodCount, bad: bad[offset] ?? 0 };
      const merged = steps.get(atMs);
      steps.set(
        atMs,
        merged === undefined ? counts : addCounts([merged, counts]),
      );
    }
  }
  return steps;
}

function buildSeries(all: readonly EventSeries[], target: number) {
  const steps = mergeSeries(all);
  const times = [...steps.keys()].sort((a, b) => a - b);
  return {
    startMs: times[0] ?? 0,
    stepMs: SERIES_STEP_MS,
    rates: times.map((atMs) =>
      computeBurnRate(steps.get(atMs) ?? { good: 0, bad: 0 }, target)
    ),
  };
}

function checkSameObjective(
  snapshots: readonly ObjectiveSnapshot[],
  subject: string,
): void {
  const [first] = snapshots;
  const isSame = snapshots.every(({ target, limit }) =>
    target === first?.target && limit === first.limit
  );
  if (isSame) return;
  // The instances classified events by different limits, so the sum would be meaningless.
  throw createFault(
    "badRequest",
    `Cannot merge ${subject}: the instances have different targets or limits`,
  );
}

function buildObjective(
  workspace: string,
  name: ObjectiveName,
  snapshots: readonly ObjectiveSnapshot[],
): ObjectiveBurn {
  checkSameObjective(
    snapshots,
    `objective "${name}" of workspace "${workspace}"`,
  );
  const target = snapshots[0]?.target ?? 0;
  const limit = snapshots[0]?.limit;
  const rates = Object.fromEntries(WINDOW_NAMES.map((window) => {
    const counts = addCounts(snapshots.map(({ windows }) => windows[window]));
    return [window, computeBurnRate(counts, target)];
  })) as Record<WindowName, number | null>;
  const alerts = BURN_ALERTS.filter(({ short, long, rate }) =>
    (rates[short] ?? 0) >= rate && (rates[long] ?? 0) >= rate
  );
  const budget = addCounts(snapshots.map((snapshot) => snapshot.budget));
  const used = computeBurnRate(budget, target);
  return {
    name,
    target,
    ...(limit === undefined ? {} : { limit }),
    rates,
    alerts: alerts.map((alert) => alert.name),
    budget: {
      total: budget.good + budget.bad,
      bad: budget.bad,
      left: used === null ? null : 1 - used,
    },
    series: buildSeries(snapshots.map(({ series }) => series), target),
  };
}

function mergeHistograms(encoded: readonly string[]): DurationSummary {
  const merged = createDurationHistogram();
  for (const text of encoded) merged.add(decodeDurationHistogram(text));
  return merged.getSummary();
}

function buildWorkspace(
  workspace: string,
  snapshots: readonly WorkspaceSnapshot[],
): WorkspaceBurn {
  const objectives = OBJECTIVE_NAMES.flatMap((name) => {
    const found = snapshots.flatMap((snapshot) =>
      snapshot.objectives[name] ?? []
    );
    return found.length === 0 ? [] : [buildObjective(workspace, name, found)];
  });
  return {
    workspace,
    objectives,
    answerTimes: mergeHistograms(
      snapshots.map(({ answerTimes }) => answerTimes),
    ),
    waitingTimes: mergeHistograms(
      snapshots.map(({ waitingTimes }) => waitingTimes),
    ),
  };
}

function listWorkspaces(snapshots: readonly BurnSnapshot[]): string[] {
  const names = snapshots.flatMap(({ workspaces }) => Object.keys(workspaces));
  return [...new Set(names)].sort();
}

// Uses Object.hasOwn because a workspace may be named like an inherited property, such as "constructor".
function listWorkspaceSnapshots(
  snapshots: readonly BurnSnapshot[],
  workspace: string,
): WorkspaceSnapshot[] {
  return snapshots.flatMap(({ workspaces }) =>
    Object.hasOwn(workspaces, workspace) ? workspaces[workspace] ?? [] : []
  );
}

/**
 * Builds the report. Fault `badRequest` if instances have different objectives or
 * a histogram cannot be decoded.
 */
export function buildBurnReport(input: BurnSnapshots): BurnReport {
  const { snapshots, unreached } = input;
  return {
    reached: snapshots.map(({ instance, sinceMs, takenAtMs }) => ({
      instance,
      sinceMs,
      takenAtMs,
    })),
    unreached,
    workspaces: listWorkspaces(snapshots).map((workspace) =>
      buildWorkspace(workspace, listWorkspaceSnapshots(snapshots, workspace))
    ),
  };
}
