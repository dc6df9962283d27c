/**
 * Service-level burn of workspaces, merged from the snapshots of all instances. A
 * burn rate of 1 uses up the budget exactly within its period; a rate of 14.4
 * uses 2 % of a 30-day budget in one hour.
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

/** An alert is on while the rates of both windows are at or above its rate. */
export interface BurnAlert {
  readonly name: "fast" | "slow";
  readonly short: WindowName;
  readonly long: WindowName;
  readonly rate: number;
}

/**
 * The alerts. The long window shows that the loss is large, and the short one
 * that it still goes on. 14.4 uses 2 % of a 30-day budget in 1 h, 6 uses 5 % in 6 h.
 */
export const BURN_ALERTS: readonly BurnAlert[] = Object.freeze([
  Object.freeze({ name: "fast", short: "5m", long: "1h", rate: 14.4 }),
  Object.freeze({ name: "slow", short: "30m", long: "6h", rate: 6 }),
]);

/** The burn of one objective. */
export interface ObjectiveBurn {
  readonly name: ObjectiveName;
  readonly target: number;
  readonly limit?: number;
  /** Rate by window; `null` without an event. */
  readonly rates: Readonly<Record<WindowName, number | null>>;
  /** Alerts that are on. */
  readonly alerts: readonly BurnAlert["name"][];
  readonly budget: {
    readonly total: number;
    readonly bad: number;
    /** Part of the budget that is left; below 0 when it is overspent, `null` without an event. */
    readonly left: number | null;
  };
  /** Rates of the last six hours in steps of 5 minutes. */
  readonly series: {
    readonly startMs: number;
    readonly stepMs: number;
    readonly rates: readonly (number | null)[];
  };
}

/** The burn of one workspace. */
export interface WorkspaceBurn {
  readonly workspace: string;
  readonly objectives: readonly ObjectiveBurn[];
  readonly answerTimes: DurationSummary;
  readonly waitingTimes: DurationSummary;
}

/** A reached instance and the time that its figures cover. */
export interface ReachedInstance {
  readonly instance: string;
  readonly sinceMs: number;
  readonly takenAtMs: number;
}

/** The burn of all workspaces. */
export interface BurnReport {
  readonly reached: readonly ReachedInstance[];
  /** Instances whose part is missing in every figure. */
  readonly unreached: readonly UnreachedInstance[];
  readonly workspaces: readonly WorkspaceBurn[];
}

/** Computes how fast a budget is used; 1 uses it up within its period. */
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
      const own = { good: goodCount, bad: bad[offset] ?? 0 };
      const known = steps.get(atMs);
      steps.set(atMs, known === undefined ? own : addCounts([known, own]));
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
  parts: readonly ObjectiveSnapshot[],
  where: string,
): void {
  const [first] = parts;
  const isSame = parts.every(({ target, limit }) =>
    target === first?.target && limit === first.limit
  );
  if (isSame) return;
  // Good and bad were decided by different bounds, so a sum would mean nothing.
  throw createFault(
    "badRequest",
    `Cannot merge ${where}: the instances have different targets or limits`,
  );
}

function buildObjective(
  workspace: string,
  name: ObjectiveName,
  parts: readonly ObjectiveSnapshot[],
): ObjectiveBurn {
  checkSameObjective(parts, `objective "${name}" of workspace "${workspace}"`);
  const target = parts[0]?.target ?? 0;
  const limit = parts[0]?.limit;
  const rates = Object.fromEntries(WINDOW_NAMES.map((window) => {
    const counts = addCounts(parts.map(({ windows }) => windows[window]));
    return [window, computeBurnRate(counts, target)];
  })) as Record<WindowName, number | null>;
  const alerts = BURN_ALERTS.filter(({ short, long, rate }) =>
    (rates[short] ?? 0) >= rate && (rates[long] ?? 0) >= rate
  );
  const budget = addCounts(parts.map((part) => part.budget));
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
    series: buildSeries(parts.map(({ series }) => series), target),
  };
}

function mergeTimes(texts: readonly string[]): DurationSummary {
  const merged = createDurationHistogram();
  for (const text of texts) merged.add(decodeDurationHistogram(text));
  return merged.getSummary();
}

function buildWorkspace(
  workspace: string,
  parts: readonly WorkspaceSnapshot[],
): WorkspaceBurn {
  const objectives = OBJECTIVE_NAMES.flatMap((name) => {
    const found = parts.flatMap((part) => part.objectives[name] ?? []);
    return found.length === 0 ? [] : [buildObjective(workspace, name, found)];
  });
  return {
    workspace,
    objectives,
    answerTimes: mergeTimes(parts.map(({ answerTimes }) => answerTimes)),
    waitingTimes: mergeTimes(parts.map(({ waitingTimes }) => waitingTimes)),
  };
}

function listWorkspaces(snapshots: readonly BurnSnapshot[]): string[] {
  const names = snapshots.flatMap(({ workspaces }) => Object.keys(workspaces));
  return [...new Set(names)].sort();
}

// A workspace may have the name of a property that every object has.
function listWorkspaceParts(
  snapshots: readonly BurnSnapshot[],
  workspace: string,
): WorkspaceSnapshot[] {
  return snapshots.flatMap(({ workspaces }) =>
    Object.hasOwn(workspaces, workspace) ? workspaces[workspace] ?? [] : []
  );
}

/** Builds the report; fault `badRequest` when instances have different objectives. */
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
      buildWorkspace(workspace, listWorkspaceParts(snapshots, workspace))
    ),
  };
}
