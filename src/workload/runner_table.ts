/**
 * What the leader keeps in memory about runners: what occupies them, until
 * when their leases may last, and how well they work. A task occupies its
 * runner from the decision to start it until its end is listed or its life on
 * the runner is certainly over.
 */

import {
  addResources,
  NO_RESOURCES,
  type Resources,
  subtractResources,
} from "../common/mod.ts";
import { RUNNER_CLOCK_MIN_RATE } from "./constants.ts";
import {
  formatIncarnation,
  formatTask,
  type RunnerEntry,
  type TaskRef,
} from "./types.ts";

/** Where a run stands on its runner. */
export type OccupantState = "planned" | "starting" | "running" | "stopping";

/** A run that occupies a runner. */
export interface Occupant {
  /** Task and run. */
  readonly key: string;
  readonly task: TaskRef;
  readonly run: number;
  readonly resources: Resources;
  state: OccupantState;
  /** Local time of the decision in milliseconds. */
  readonly plannedMs: number;
  /** Local time of the answer to its start; undefined before. */
  confirmedMs: number | undefined;
  /** Local time of the answer to its stop; undefined before. */
  stoppedMs: number | undefined;
  /** True once a look has listed it. */
  isListed: boolean;
  /** True once an order got no answer, so that it may still be carried out. */
  isUncertain: boolean;
  /** Percent of the work, as last listed. */
  progress: number;
  /** Local time at which the progress last rose. */
  progressMs: number;
  checkpoint: string;
}

/** One life of a runner. */
export interface Runner {
  entry: RunnerEntry;
  readonly life: string;
  used: Resources;
  readonly occupants: Map<string, Occupant>;
  /** A reading of the runner's clock and when it arrived here. */
  clockSample: { clockMs: number; atMs: number } | undefined;
  /** Local time after which its lease has certainly ended. */
  leaseEndMs: number;
  /** Local time of the last answered look; undefined before the first. */
  contactMs: number | undefined;
  /** Local time at which the newest answered look was sent. */
  pollSentMs: number;
  /** Number of the newest end that is recorded. */
  recordedEnds: number;
  /** True once this life is over. */
  isClosed: boolean;
  /** True after its lease ended without contact, until it answers again. */
  isLost: boolean;
  /** Highest sequence of its announcements. */
  sequence: number;
  /** Logarithm of its learned slowness; 0 is the mean. */
  slowness: number;
  /** Failures in a row of different jobs. */
  failedJobs: Set<string>;
  /** Local time until which nothing is started on it. */
  suspendedUntilMs: number;
  /** Suspensions in a row; each doubles the next. */
  suspensions: number;
}

/** Creates a runner's life without occupants. */
export function createRunner(
  entry: RunnerEntry,
  leaseEndMs: number,
): Runner {
  return {
    entry,
    life: formatIncarnation(entry),
    used: NO_RESOURCES,
    occupants: new Map(),
    clockSample: undefined,
    leaseEndMs,
    contactMs: undefined,
    pollSentMs: 0,
    recordedEnds: 0,
    isClosed: false,
    isLost: false,
    sequence: -1,
    slowness: 0,
    failedJobs: new Set(),
    suspendedUntilMs: 0,
    suspensions: 0,
  };
}

/** Returns the key of a run. */
export function formatRun(task: TaskRef, run: number): string {
  return `${formatTask(task)}#${run}`;
}

/** Adds a run to a runner. */
export function addOccupant(
  runner: Runner,
  run: { task: TaskRef; run: number; resources: Resources },
  state: OccupantState,
  nowMs: number,
): Occupant {
  const key = formatRun(run.task, run.run);
  const known = runner.occupants.get(key);
  if (known !== undefined) return known;
  const occupant: Occupant = {
    key,
    task: run.task,
    run: run.run,
    resources: run.resources,
    state,
    plannedMs: nowMs,
    confirmedMs: state === "running" ? nowMs : undefined,
    stoppedMs: undefined,
    isListed: false,
    isUncertain: false,
    progress: 0,
    progressMs: nowMs,
    checkpoint: "",
  };
  runner.occupants.set(key, occupant);
  runner.used = addResources(runner.used, run.resources);
  return occupant;
}

/** Removes a run from a runner; tells whether it was there. */
export function removeOccupant(runner: Runner, key: string): boolean {
  const occupant = runner.occupants.get(key);
  if (occupant === undefined) return false;
  runner.occupants.delete(key);
  runner.used = subtractResources(runner.used, occupant.resources);
  return true;
}

/** Estimates the runner's clock in milliseconds; undefined before the first reading. */
export function estimateRunnerClock(
  runner: Runner,
  nowMs: number,
): number | undefined {
  const sample = runner.clockSample;
  if (sample === undefined) return undefined;
  return Math.floor(sample.clockMs + (nowMs - sample.atMs));
}

/**
 * Notes that the runner may hold a lease up to `untilMs` of its own clock. The
 * reading was taken before it arrived, so the clock is at least that far on.
 */
export function recordGrant(runner: Runner, untilMs: number): void {
  const sample = runner.clockSample;
  if (sample === undefined) return;
  const endMs = sample.atMs +
    Math.max(0, untilMs - sample.clockMs) / RUNNER_CLOCK_MIN_RATE;
  runner.leaseEndMs = Math.max(runner.leaseEndMs, endMs);
}

/** Returns what is free on a runner. */
export function computeFreeCapacity(runner: Runner): Resources {
  return subtractResources(runner.entry.capacity, runner.used);
}

/** Tells whether new work may be placed on the runner. */
export function isPlaceable(runner: Runner, nowMs: number): boolean {
  return !runner.isClosed && !runner.isLost && !runner.entry.isDraining &&
    runner.contactMs !== undefined && nowMs >= runner.suspendedUntilMs &&
    // A runner that answers no looks may be cut off; its lease may soon end.
    nowMs - runner.contactMs < CONTACT_TIMEOUT_MS;
}

/** Age of the last contact beyond which nothing new is placed, in milliseconds; two unanswered looks. */
const CONTACT_TIMEOUT_MS = 4_500;
