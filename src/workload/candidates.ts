/**
 * Finds the runners on which the tasks of a step may start in one planning round, in
 * the order of preference. Runners that are held for gangs, on probation, or next to
 * a task suspected of crashes are left to the steps that may use them.
 */

import {
  addResources,
  fitsWithin,
  NO_RESOURCES,
  type Resources,
  subtractResources,
} from "../common/mod.ts";
import { isCold, isWarmingUp } from "./cold_runners.ts";
import { hasSurvivedStart } from "./crash_suspects.ts";
import type { StepEligibility } from "./eligibility.ts";
import type { OpenStep, PlanInput } from "./plan_types.ts";
import {
  computeFreeCapacity,
  isPlaceable,
  type Runner,
} from "./runner_table.ts";

/**
 * Share of a pool's processors, in use or claimed by gangs, up to which late confined
 * steps use runners outside of the probation. The platform's rules ask for a start
 * while less than half of a service is in use.
 */
const MAX_OVERFLOW_SHARE = 0.5;

/** Width of a speed class in units of logarithmic slowness; runners in one class count as equally fast. */
const SPEED_CLASS_WIDTH = 0.14;

function getSpeedClass(runner: Runner): number {
  return Math.round(runner.slowness / SPEED_CLASS_WIDTH);
}

/** Returns the rack of a runner: its last label. The first label is its kind. */
export function getRack(runner: Runner): string {
  return runner.entry.labels.at(-1) ?? "";
}

/** A runner that accepts new tasks, with its free capacity in this round. */
export interface Candidate {
  readonly runner: Runner;
  /** Position in the list of the pool's runners; decides between equal ones. */
  readonly position: number;
  readonly speedClass: number;
  /** True while the runner is slow as it has just started. */
  readonly isCold: boolean;
  /** Free capacity after subtracting all reservations. */
  free: Resources;
  /** Reserved capacity, by step. */
  readonly reserved: ReadonlyMap<string, Resources> | undefined;
  /** Key of the gang that this runner is held for; undefined for none. */
  readonly heldFor: string | undefined;
  /** Job of a suspect on this runner that has not outlived its start; undefined for none. */
  suspectJob: string | undefined;
  /** True if only confined steps may use it. */
  readonly isOnProbation: boolean;
  /** Number of tasks placed on it in this round. */
  placed: number;
}

/**
 * Candidates in the order that most steps prefer. It is kept from step to step: a
 * round over many steps would otherwise sort all runners for each of them.
 */
interface CandidateOrder {
  readonly candidates: Candidate[];
  /** False after a placement has changed a free capacity. */
  isSorted: boolean;
}

/** The candidates of one pool and its utilization. */
export interface PoolCandidates {
  readonly candidates: readonly Candidate[];
  /** For steps with time to spare, and for tight ones. */
  readonly orders: {
    readonly usual: CandidateOrder;
    readonly tight: CandidateOrder;
  };
  /** True if runners are held for gangs. */
  readonly hasHolds: boolean;
  /** All its runners, also those that accept no tasks at the moment. */
  readonly runners: readonly Runner[];
  /** Largest free capacity of any candidate, per resource, including reservations. */
  readonly largestFree: Resources;
  /** Processors in use, claimed by waiting gangs, and in total. */
  used: number;
  claimed: number;
  readonly capacity: number;
}

function createOrder(candidates: readonly Candidate[]): CandidateOrder {
  return { candidates: [...candidates], isSorted: false };
}

/** A pool without runners. */
export const NO_POOL: PoolCandidates = Object.freeze({
  candidates: [],
  orders: { usual: createOrder([]), tight: createOrder([]) },
  hasHolds: false,
  runners: [],
  largestFree: NO_RESOURCES,
  used: 0,
  claimed: 0,
  capacity: 0,
});

const NONE_PLACED: ReadonlyMap<Candidate, number> = new Map();

function computeMaximum(a: Resources, b: Resources): Resources {
  return {
    processors: Math.max(a.processors, b.processors),
    memoryMb: Math.max(a.memoryMb, b.memoryMb),
    accelerators: Math.max(a.accelerators, b.accelerators),
  };
}

/** Finds the job of a suspect that may still crash the runner. */
function findSuspectJob(runner: Runner): string | undefined {
  if (runner.suspects === 0) return undefined;
  for (const occupant of runner.occupants.values()) {
    const mayCrash = occupant.isSuspect &&
      !hasSurvivedStart(occupant, runner.lastReplyMs);
    if (mayCrash) return occupant.task.job;
  }
  return undefined;
}

/** Lists the runners of a pool that accept new tasks, and sums up the pool's use. */
export function listCandidates(
  runners: readonly Runner[],
  { nowMs, reservations, gangHolds, probation }: PlanInput,
): PoolCandidates {
  const candidates: Candidate[] = [];
  let largestFree = NO_RESOURCES;
  let used = 0;
  let capacity = 0;
  for (const runner of runners) {
    if (!isPlaceable(runner, nowMs) || isWarmingUp(runner, nowMs)) continue;
    let free = computeFreeCapacity(runner);
    largestFree = computeMaximum(largestFree, free);
    const reserved = reservations.get(runner.life);
    for (const amount of reserved?.values() ?? []) {
      free = subtractResources(free, amount);
    }
    const heldFor = gangHolds.get(runner.life);
    const isOnProbation = probation.has(runner.life);
    const suspectJob = findSuspectJob(runner);
    candidates.push({
      runner,
      position: candidates.length,
      speedClass: getSpeedClass(runner),
      isCold: isCold(runner, nowMs),
      free,
      reserved,
      heldFor,
      suspectJob,
      isOnProbation,
      placed: 0,
    });
    const { processors } = runner.entry.capacity;
    // What a shrunk runner uses beyond its capacity takes nothing from the others.
    used += Math.min(runner.used.processors, processors);
    capacity += processors;
  }
  return {
    candidates,
    orders: { usual: createOrder(candidates), tight: createOrder(candidates) },
    hasHolds: candidates.some(({ heldFor }) => heldFor !== undefined),
    runners,
    largestFree,
    used,
    claimed: 0,
    capacity,
  };
}

/**
 * Counts the runs of a step on a runner, including those whose start is still
 * being recorded and those that are stopping.
 */
function countRuns(step: OpenStep, runner: Runner): number {
  let count = 0;
  for (const { task } of runner.occupants.values()) {
    const isSame = task.job === step.job && task.step === step.step &&
      task.occurrence === step.occurrence;
    if (isSame) count += 1;
  }
  return count;
}

/** Returns the capacity that a step may use on a candidate, including its own reservation. */
function getFreeCapacity(step: OpenStep, candidate: Candidate): Resources {
  const own = candidate.reserved?.get(step.key);
  return own === undefined ? candidate.free : addResources(candidate.free, own);
}

/** Counts the tasks of the step that fit on the candidate, up to `most`. */
export function countFitting(
  step: OpenStep,
  candidate: Candidate,
  most: number,
  placed: ReadonlyMap<Candidate, number> = NONE_PLACED,
): number {
  const { resources, maxPerRunner } = step.spec;
  let free = getFreeCapacity(step, candidate);
  if (!fitsWithin(resources, free)) return 0;
  let bound = most;
  if (maxPerRunner > 0) {
    bound = Math.min(
      bound,
      maxPerRunner - countRuns(step, candidate.runner) -
        (placed.get(candidate) ?? 0),
    );
  }
  let count = 0;
  while (count < bound && fitsWithin(resources, free)) {
    free = subtractResources(free, resources);
    count += 1;
  }
  return count;
}

/** Counts the tasks of the step that would fit on the runner if it were idle. */
export function countCapacity(
  step: Pick<OpenStep, "spec" | "waiting">,
  { runner }: Pick<Candidate, "runner">,
): number {
  const { processors, memoryMb, accelerators } = step.spec.resources;
  const { capacity } = runner.entry;
  const most = Math.min(
    processors > 0 ? capacity.processors / processors : Infinity,
    memoryMb > 0 ? capacity.memoryMb / memoryMb : Infinity,
    accelerators > 0 ? capacity.accelerators / accelerators : Infinity,
    step.spec.maxPerRunner > 0 ? step.spec.maxPerRunner : Infinity,
    step.waiting.length,
  );
  return Math.floor(most);
}

function isHeldForOther(step: OpenStep, { heldFor }: Candidate): boolean {
  return heldFor !== undefined && heldFor !== step.key;
}

/**
 * Tells whether a step may use what is kept for urgent work and waiting gangs. A
 * long-running task may if it has run before: its users miss it, and urgent work that
 * goes on could keep it from its room for ever.
 */
export function isUrgent(
  { priority, isRestart }: Pick<OpenStep, "priority" | "isRestart">,
): boolean {
  return priority === 0 || isRestart;
}

/** Tells whether the candidate is held for another gang; urgent steps may still use it, as a last choice. */
function isBlocked(step: OpenStep, candidate: Candidate): boolean {
  return !isUrgent(step) && isHeldForOther(step, candidate);
}

/**
 * Tells whether a suspect of another job may crash the candidate. Its neighbours
 * would lose their runs, and the crash would have several explanations.
 */
function isNearSuspect(step: OpenStep, { suspectJob }: Candidate): boolean {
  return suspectJob !== undefined && suspectJob !== step.job;
}

/** Tells whether an idle runner could execute the step's tasks. */
export function isSuitable(
  step: Pick<OpenStep, "spec">,
  { runner }: Pick<Candidate, "runner">,
): boolean {
  const { requiredLabel, resources } = step.spec;
  const { labels, capacity } = runner.entry;
  return (requiredLabel === undefined || labels.includes(requiredLabel)) &&
    fitsWithin(resources, capacity);
}

/** Counts the runs on the candidate that may still crash it, including those placed in this round. */
function countFreshRuns({ runner, placed }: Candidate): number {
  let count = placed;
  for (const occupant of runner.occupants.values()) {
    if (!hasSurvivedStart(occupant, runner.lastReplyMs)) count += 1;
  }
  return count;
}

/**
 * Compares candidates for a suspect: its crash should have one explanation, and as
 * few runs as possible should be lost in it.
 */
function compareCrashCosts(a: Candidate, b: Candidate): number {
  const fresh = countFreshRuns(a) - countFreshRuns(b);
  if (fresh !== 0) return fresh;
  return a.runner.occupants.size - b.runner.occupants.size;
}

/** Compares candidates by what counts for each step. */
function compareForAny(
  isTight: boolean,
  a: Candidate,
  b: Candidate,
): number {
  const failures = a.runner.failedJobs.size - b.runner.failedJobs.size;
  if (failures !== 0) return failures;
  if (a.isCold !== b.isCold) return a.isCold ? 1 : -1;
  if (isTight && a.speedClass !== b.speedClass) {
    return a.speedClass - b.speedClass;
  }
  // Best fit: fuller runners first, so that free capacity for wide tasks is not
  // fragmented.
  return a.free.processors - b.free.processors || a.position - b.position;
}

/** Returns the candidates in the order of `compareForAny`; little is to be done after few placements. */
function sortCandidates(
  { orders }: PoolCandidates,
  isTight: boolean,
): readonly Candidate[] {
  const order = isTight ? orders.tight : orders.usual;
  if (!order.isSorted) {
    order.candidates.sort((a, b) => compareForAny(isTight, a, b));
    order.isSorted = true;
  }
  return order.candidates;
}

/** Compares candidates by what counts for one step and comes before the rest. */
function compareForStep(step: OpenStep, a: Candidate, b: Candidate): number {
  const held = Number(isHeldForOther(step, a)) -
    Number(isHeldForOther(step, b));
  if (held !== 0) return held;
  if (step.isConfined && a.isOnProbation !== b.isOnProbation) {
    return a.isOnProbation ? -1 : 1;
  }
  if (step.isSuspect) {
    const difference = compareCrashCosts(a, b);
    if (difference !== 0) return difference;
  }
  const { preferredRack } = step.spec;
  if (preferredRack === undefined) return 0;
  return Number(getRack(a.runner) !== preferredRack) -
    Number(getRack(b.runner) !== preferredRack);
}

/** Tells whether `compareForStep` makes a difference for a step. */
function hasOwnOrder(step: OpenStep, pool: PoolCandidates): boolean {
  return pool.hasHolds || step.isConfined || step.isSuspect ||
    step.spec.preferredRack !== undefined;
}

/** Candidates with capacity for a task of one step, grouped by eligibility. */
interface StepCandidates {
  /** Sorted, best first. */
  readonly eligible: readonly Candidate[];
  readonly unknown: readonly Candidate[];
}

/**
 * Tells whether the step has to keep to its side of the probation: confined steps on
 * its runners, all others elsewhere. Not where that side has no runner for it, nor if
 * the job of an unconfined step has no value left, so that no step waits for ever.
 */
export function isPartedByProbation(
  step: OpenStep,
  { runners }: PoolCandidates,
  eligibility: StepEligibility | undefined,
  { probation, wallMs }: PlanInput,
): boolean {
  if (probation.size === 0) return false;
  if (!step.isConfined && wallMs > step.zeroValueMs) return false;
  return runners.some((runner) =>
    probation.has(runner.life) === step.isConfined &&
    isSuitable(step, { runner }) &&
    eligibility?.isEligible.get(runner.entry.id) !== false
  );
}

/**
 * Tells whether a late confined step may use a runner outside of the probation: an
 * empty one that is held for no gang, while much of the pool is idle. Its crash costs
 * no other run, and healthy jobs of its queue do not wait beside idle runners.
 */
function isSpare(
  step: OpenStep,
  candidate: Candidate,
  { used, claimed, capacity }: PoolCandidates,
  { wallMs }: PlanInput,
): boolean {
  return step.isConfined && wallMs > step.dueMs &&
    used + claimed < capacity * MAX_OVERFLOW_SHARE &&
    candidate.runner.occupants.size === 0 && candidate.placed === 0 &&
    !isHeldForOther(step, candidate);
}

/**
 * Finds the candidates for a step. Capacity is checked first: it is a cheap test
 * and rules out nearly all runners of a full pool.
 */
export function findCandidates(
  step: OpenStep,
  pool: PoolCandidates,
  eligibility: StepEligibility | undefined,
  input: PlanInput,
): StepCandidates {
  const eligible: Candidate[] = [];
  const unknown: Candidate[] = [];
  if (!fitsWithin(step.spec.resources, pool.largestFree)) {
    return { eligible, unknown };
  }
  const isParted = isPartedByProbation(step, pool, eligibility, input);
  for (const candidate of sortCandidates(pool, step.isTight)) {
    if (countFitting(step, candidate, 1) === 0) continue;
    const isOtherSide = isParted &&
      step.isConfined !== candidate.isOnProbation;
    if (isOtherSide && !isSpare(step, candidate, pool, input)) continue;
    if (isNearSuspect(step, candidate)) continue;
    if (isBlocked(step, candidate) || !isSuitable(step, candidate)) continue;
    const isEligible = step.eligibility === undefined ||
      eligibility?.isEligible.get(candidate.runner.entry.id);
    if (isEligible === true) eligible.push(candidate);
    else if (isEligible === undefined) unknown.push(candidate);
  }
  if (hasOwnOrder(step, pool)) {
    const compare = (a: Candidate, b: Candidate) => compareForStep(step, a, b);
    eligible.sort(compare);
    unknown.sort(compare);
  }
  return { eligible, unknown };
}
