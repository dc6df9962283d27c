/**
 * The leader's in-memory state of runners: their runs, leases and health. A run
 * occupies its runner from the decision to start it until its end is listed or it
 * certainly no longer runs there.
 */

import {
  addResources,
  fitsWithin,
  NO_RESOURCES,
  type Resources,
  subtractResources,
} from "../common/mod.ts";
import { MAX_ORDER_DELAY_MS, RUNNER_CLOCK_MIN_RATE } from "./constants.ts";
import { START_CRASH_WINDOW_MS } from "./crash_suspects.ts";
import {
  formatIncarnation,
  formatTask,
  type RunnerEntry,
  type TaskRef,
} from "./types.ts";

/** Phase of a run on its runner. */
export type OccupantState = "planned" | "starting" | "running" | "stopping";

/** A run that occupies a runner. */
export interface Occupant {
  /** Key of the run; see `formatRun`. */
  readonly key: string;
  readonly task: TaskRef;
  readonly run: number;
  readonly resources: Resources;
  state: OccupantState;
  /** Local time of the decision to start it in milliseconds. */
  readonly plannedMs: number;
  /** Local time of the reply to its start in milliseconds; undefined before. */
  confirmedMs: number | undefined;
  /** Local time of the reply to its stop in milliseconds; undefined before. */
  stoppedMs: number | undefined;
  /** True once a poll has listed it. */
  isListed: boolean;
  /** Local time at which its start was last sent, or at which it was restored, in milliseconds; undefined before. */
  orderSentMs: number | undefined;
  /** Local time at which the newest start without a reply was sent in milliseconds; undefined for none. */
  openStartMs: number | undefined;
  /** True if a former leader started it, which may have left starts without a reply. */
  isRestored: boolean;
  /** True once this incarnation of the runner seems to have started it. */
  isExecuted: boolean;
  /** True once a start got no reply, so that it may still be executed. */
  isUncertain: boolean;
  /** True if its start was sent to a former incarnation of the runner. */
  isInherited: boolean;
  /** True if its task is suspected of crashes. */
  readonly isSuspect: boolean;
  /** Time after its start in which it may crash its runner, in milliseconds; longer for tasks suspected of a late crash. */
  readonly crashWindowMs: number;
  /** Last listed progress in percent. */
  progress: number;
  /** Local time of the last increase of the progress in milliseconds. */
  progressMs: number;
  checkpoint: string;
}

/** One incarnation of a runner. */
export interface Runner {
  /** What counts of it: a growth only once it is recorded. */
  entry: RunnerEntry;
  /** Its newest announcement that this leader has received. */
  announced: RunnerEntry;
  /** Key of this incarnation; see `formatIncarnation`. */
  readonly life: string;
  used: Resources;
  readonly occupants: Map<string, Occupant>;
  /** Number of its runs whose task is suspected of crashes. */
  suspects: number;
  /** Runs that were released when its lease ended without contact; needed if it turns out to have crashed. */
  lostOccupants: Occupant[];
  /** A reading of the runner's clock and the local time of its arrival. */
  clockSample: { clockMs: number; atMs: number } | undefined;
  /** Local time after which its lease has certainly ended, in milliseconds. */
  leaseEndMs: number;
  /**
   * True until the first accepted poll of an incarnation that may have executed orders
   * for a former one before.
   */
  mayHoldFormerLease: boolean;
  /** Local time of the last accepted poll in milliseconds; undefined before the first. */
  contactMs: number | undefined;
  /** Local time of the last reply of this incarnation in milliseconds; undefined before the first. */
  lastReplyMs: number | undefined;
  /** True after an unanswered poll or order, until the next accepted poll. */
  isUnresponsive: boolean;
  /** Local time at which the newest answered poll was sent, in milliseconds. */
  pollSentMs: number;
  /** Number of the newest end that is recorded. */
  recordedEnds: number;
  /** True once this incarnation is closed. */
  isClosed: boolean;
  /** True after its lease ended without contact, until it responds again. */
  isLost: boolean;
  /** Highest sequence number of its announcements. */
  sequence: number;
  /** Local time at which this leader learned that it drains, in milliseconds; undefined if it has not announced that since. */
  drainingSinceMs: number | undefined;
  /** Natural logarithm of its learned slowness; 0 is the mean of all runners. */
  slowness: number;
  /** Jobs with failed runs since the last successful run. */
  failedJobs: Set<string>;
  /** Local time until which it is slow, in milliseconds; see `cold_runners.ts`. */
  coldUntilMs: number;
  /** Local time until which no task is started on it, in milliseconds. */
  suspendedUntilMs: number;
  /** Number of consecutive suspensions; each doubles the next. */
  suspensions: number;
}

/** Creates a runner without runs. */
export function createRunner(
  entry: RunnerEntry,
  leaseEndMs: number,
): Runner {
  return {
    entry,
    announced: entry,
    life: formatIncarnation(entry),
    used: NO_RESOURCES,
    occupants: new Map(),
    suspects: 0,
    lostOccupants: [],
    clockSample: undefined,
    leaseEndMs,
    mayHoldFormerLease: false,
    contactMs: undefined,
    lastReplyMs: undefined,
    isUnresponsive: false,
    pollSentMs: 0,
    recordedEnds: 0,
    isClosed: false,
    isLost: false,
    sequence: entry.sequence ?? -1,
    drainingSinceMs: undefined,
    slowness: 0,
    failedJobs: new Set(),
    coldUntilMs: -Infinity,
    suspendedUntilMs: 0,
    suspensions: 0,
  };
}

/**
 * Tells whether an incarnation that started at wall time `startedMs` is another one than
 * the runner; not if one of the starts is unknown.
 */
export function isOtherIncarnation(
  { entry }: Runner,
  startedMs: number | undefined,
): boolean {
  return startedMs !== undefined && entry.startedMs !== 0 &&
    startedMs !== entry.startedMs;
}

/** Returns the key of a run. */
export function formatRun(task: TaskRef, run: number): string {
  return `${formatTask(task)}#${run}`;
}

/** Adds a run to a runner, or returns it if it is there already. */
export function addOccupant(
  runner: Runner,
  run: {
    task: TaskRef;
    run: number;
    resources: Resources;
    isSuspect?: boolean;
    crashWindowMs?: number;
  },
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
    orderSentMs: undefined,
    openStartMs: undefined,
    isRestored: false,
    isExecuted: false,
    isUncertain: false,
    isInherited: false,
    isSuspect: run.isSuspect ?? false,
    crashWindowMs: run.crashWindowMs ?? START_CRASH_WINDOW_MS,
    progress: 0,
    progressMs: nowMs,
    checkpoint: "",
  };
  runner.occupants.set(key, occupant);
  runner.used = addResources(runner.used, run.resources);
  if (occupant.isSuspect) runner.suspects += 1;
  return occupant;
}

/** Removes a run from a runner; returns whether it was there. */
export function removeOccupant(runner: Runner, key: string): boolean {
  const occupant = runner.occupants.get(key);
  if (occupant === undefined) return false;
  runner.occupants.delete(key);
  runner.used = subtractResources(runner.used, occupant.resources);
  if (occupant.isSuspect) runner.suspects -= 1;
  return true;
}

/** Tells whether an order sent at local time `sentMs` may still arrive at its runner. */
export function isInFlight(
  sentMs: number | undefined,
  nowMs: number,
): boolean {
  return sentMs !== undefined && nowMs - sentMs < MAX_ORDER_DELAY_MS;
}

/** Tells whether a start of the run is known to have got no reply and may still be executed. */
export function hasOpenStart(occupant: Occupant, nowMs: number): boolean {
  return isInFlight(occupant.openStartMs, nowMs);
}

/**
 * Tells whether another incarnation with the same runner id may have executed a
 * start of the run, or may still do so. A start counts as executed by this one once
 * it has listed the run; the reply to a start does not name its incarnation.
 */
export function isStartPending(occupant: Occupant, nowMs: number): boolean {
  const { orderSentMs, isListed, isRestored } = occupant;
  return hasOpenStart(occupant, nowMs) ||
    ((!isListed || isRestored) && isInFlight(orderSentMs, nowMs));
}

/** Time by which replies on different connections may overtake each other, in milliseconds; longer than the timeout of each call. */
export const MAX_REPLY_OVERTAKING_MS = 3_000;

/**
 * Records a reading of the runner's clock that arrived at `nowMs`; undefined for none. A
 * reading that took long to arrive is behind what earlier ones tell, and is replaced by
 * that. One that is far behind is of the next incarnation, and any that is behind may be
 * if the start of the runner is unknown, as nothing else tells the two apart.
 */
export function recordClock(
  runner: Runner,
  clockMs: number | undefined,
  nowMs: number,
): void {
  if (clockMs === undefined) return;
  const former = runner.clockSample;
  const leastMs = former === undefined ? clockMs : Math.floor(
    former.clockMs + RUNNER_CLOCK_MIN_RATE * (nowMs - former.atMs),
  );
  const isDelayed = runner.entry.startedMs !== 0 && clockMs < leastMs &&
    clockMs > leastMs - MAX_REPLY_OVERTAKING_MS;
  runner.clockSample = { clockMs: isDelayed ? leastMs : clockMs, atMs: nowMs };
}

/** Estimates the current time of the runner's clock in milliseconds; undefined before the first reading. */
export function estimateRunnerClock(
  runner: Runner,
  nowMs: number,
): number | undefined {
  const sample = runner.clockSample;
  if (sample === undefined) return undefined;
  return Math.floor(sample.clockMs + (nowMs - sample.atMs));
}

/**
 * Records that the runner may hold a lease until `untilMs` on its own clock. The
 * clock was read before the reading arrived, so it is at least that far by now.
 */
export function recordGrant(runner: Runner, untilMs: number): void {
  const sample = runner.clockSample;
  if (sample === undefined) return;
  recordLease(runner, sample.atMs, Math.max(0, untilMs - sample.clockMs));
}

/** Records that the runner may hold a lease of `leaseMs`, on its own clock, from local time `fromMs`. */
export function recordLease(
  runner: Runner,
  fromMs: number,
  leaseMs: number,
): void {
  const endMs = fromMs + leaseMs / RUNNER_CLOCK_MIN_RATE;
  runner.leaseEndMs = Math.max(runner.leaseEndMs, endMs);
}

/** Computes the free capacity of a runner. */
export function computeFreeCapacity(runner: Runner): Resources {
  return subtractResources(runner.entry.capacity, runner.used);
}

/** Tells whether the runs of a runner use more than its capacity, which may have shrunk. */
export function isOverCapacity(runner: Runner): boolean {
  return !fitsWithin(runner.used, runner.entry.capacity);
}

/** Tells whether new tasks may be placed on the runner. */
export function isPlaceable(runner: Runner, nowMs: number): boolean {
  return !runner.isClosed && !runner.isLost && !runner.entry.isDraining &&
    runner.contactMs !== undefined && nowMs >= runner.suspendedUntilMs &&
    // An unresponsive runner may be partitioned, and its lease may end soon.
    !runner.isUnresponsive && nowMs - runner.contactMs < CONTACT_TIMEOUT_MS;
}

/** Time since the last accepted poll after which no new task is placed, in milliseconds; an unhealthy runner replies, but accepts none. */
const CONTACT_TIMEOUT_MS = 4_500;
