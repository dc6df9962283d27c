/**
 * Decides which waiting tasks start on which runners. The most urgent steps are
 * planned first, and a gang starts as a whole or not at all. A placement never
 * exceeds a runner's capacity or a workspace's cap, and only uses eligible
 * runners.
 */

import {
  addResources,
  fitsWithin,
  multiplyResources,
  NO_RESOURCES,
  type Resources,
  subtractResources,
} from "../common/mod.ts";
import {
  ELIGIBILITY_RUNNERS,
  MAX_ELIGIBILITY_RUNNERS,
  TICKET_MARGIN_MS,
} from "./constants.ts";
import { hasSurvivedStart } from "./crash_suspects.ts";
import type { StepEligibility } from "./eligibility.ts";
import { isPatient } from "./leader_load.ts";
import {
  computeFreeCapacity,
  isPlaceable,
  type Runner,
} from "./runner_table.ts";
import type { EligibilityTimes, StepSpec } from "./types.ts";
import type { UrgencyInput } from "./urgency.ts";

/** A step with tasks that may start now. */
export interface OpenStep extends UrgencyInput {
  readonly job: string;
  readonly occurrence: number;
  readonly step: number;
  readonly spec: StepSpec;
  readonly pool: string;
  readonly workspace: string | undefined;
  /** True when the objective leaves little time beyond the work itself. */
  readonly isTight: boolean;
  readonly eligibility: EligibilityTimes | undefined;
  /** True if a waiting task is suspected of crashes. */
  readonly isSuspect: boolean;
  /** Name of the job's queue. */
  readonly queue: string;
  /** True if it starts only on the runners for confined steps. */
  readonly isConfined: boolean;
  /** Indexes of the waiting tasks. */
  waiting: number[];
}

/** A task placed on a runner. */
export interface Placement {
  readonly index: number;
  readonly runner: Runner;
  readonly ticket: string;
}

/** Tasks of one step that start together. */
export interface PlannedStart {
  readonly step: OpenStep;
  readonly placements: readonly Placement[];
}

/** A query to send to the eligibility service. */
export interface PlannedQuery {
  readonly step: OpenStep;
  readonly runners: readonly string[];
  /** Runners whose capacity is reserved until the answer, one entry per task. */
  readonly reserve: readonly Runner[];
}

/** Resources in use by one workspace, and its cap. */
export interface WorkspaceUsage {
  used: Resources;
  readonly cap: Resources;
}

/** Input of one planning round. */
export interface PlanInput {
  readonly nowMs: number;
  readonly wallMs: number;
  /** Open steps in the order in which they are planned. */
  readonly steps: readonly OpenStep[];
  readonly runnersByPool: ReadonlyMap<string, readonly Runner[]>;
  readonly getEligibility: (stepKey: string) => StepEligibility | undefined;
  readonly workspaces: ReadonlyMap<string, WorkspaceUsage>;
  /** Capacity reserved for steps with a query in progress, by incarnation and step. */
  readonly reservations: ReadonlyMap<string, ReadonlyMap<string, Resources>>;
  /** Key of the gang that each runner is held for, by incarnation; from the last round. */
  readonly gangHolds: ReadonlyMap<string, string>;
  /** Runners for confined steps only, by incarnation. */
  readonly probation: ReadonlySet<string>;
  /** Tells whether a query to a service with these times could be sent now. Default: it could. */
  readonly mayQuery?: (times: EligibilityTimes) => boolean;
  /** Tasks of steps that can wait which may start in this round. Default: any number. */
  readonly patientStarts?: number;
}

/** Why tasks of a step do not start. */
export type WaitReason =
  /** No runner of the pool could execute the tasks, even when idle. */
  | "noRunner"
  /** No suitable runner has enough free capacity. */
  | "noRoom"
  /** Eligibility or a valid ticket is missing. */
  | "noTicket"
  /** The workspace has reached its cap. */
  | "workspaceCap"
  /** The remaining processors are reserved for urgent steps or waiting gangs. */
  | "keptForUrgent"
  /** The leader has no processor time to spare, and the step can wait. */
  | "leaderBusy";

/** Result of one planning round. */
export interface Plan {
  readonly starts: PlannedStart[];
  readonly queries: PlannedQuery[];
  /** Steps whose tasks keep waiting, with the reason. */
  readonly waits: { readonly step: OpenStep; readonly reason: WaitReason }[];
  /** Key of the gang that each runner is held for, by incarnation; for the next round. */
  readonly gangHolds: Map<string, string>;
}

/**
 * Share of a pool's processors reserved for the most urgent queue, so that short
 * jobs do not wait for long tasks to end.
 */
export const URGENT_HEADROOM = 0.04;

/**
 * Capacity of the runners held for a waiting gang, as a multiple of its tasks.
 * Some of these runners execute long runs; holding only as many as needed would
 * make the gang wait for the longest of them.
 */
const GANG_HOLD_FACTOR = 1.5;

/** Maximum share of a pool's runners, and of its processors, held for gangs. */
const MAX_GANG_HELD_SHARE = 0.3;

/** Share of runners assumed eligible before the service answers; matches the strictest policy seen. */
const ASSUMED_ELIGIBLE_SHARE = 0.3;

/** Share of the cap by which a gang wider than the cap may exceed it; the platform tolerates 0.1. */
const CAP_TOLERANCE = 0.05;

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
interface Candidate {
  readonly runner: Runner;
  /** Position in the list of the pool's runners; decides between equal ones. */
  readonly position: number;
  readonly speedClass: number;
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
interface PoolCandidates {
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

const NO_POOL: PoolCandidates = Object.freeze({
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

function listCandidates(
  runners: readonly Runner[],
  { nowMs, reservations, gangHolds, probation }: PlanInput,
): PoolCandidates {
  const candidates: Candidate[] = [];
  let largestFree = NO_RESOURCES;
  let used = 0;
  let capacity = 0;
  for (const runner of runners) {
    if (!isPlaceable(runner, nowMs)) continue;
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

function isWithinCap(used: Resources, cap: Resources): boolean {
  return (cap.processors === 0 || used.processors <= cap.processors) &&
    (cap.memoryMb === 0 || used.memoryMb <= cap.memoryMb) &&
    (cap.accelerators === 0 || used.accelerators <= cap.accelerators);
}

/** Returns the capacity that a step may use on a candidate, including its own reservation. */
function getFreeCapacity(step: OpenStep, candidate: Candidate): Resources {
  const own = candidate.reserved?.get(step.key);
  return own === undefined ? candidate.free : addResources(candidate.free, own);
}

/** Counts the tasks of the step that fit on the candidate, up to `most`. */
function countFitting(
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
function countCapacity(step: OpenStep, { runner }: Candidate): number {
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

/** Tells whether the candidate is held for another gang; urgent steps may still use it, as a last choice. */
function isBlocked(step: OpenStep, candidate: Candidate): boolean {
  return step.priority > 0 && isHeldForOther(step, candidate);
}

/**
 * Tells whether a suspect of another job may crash the candidate. Its neighbours
 * would lose their runs, and the crash would have several explanations.
 */
function isNearSuspect(step: OpenStep, { suspectJob }: Candidate): boolean {
  return suspectJob !== undefined && suspectJob !== step.job;
}

/** Tells whether an idle runner could execute the step's tasks. */
function isSuitable(
  step: OpenStep,
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
function isPartedByProbation(
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
function findCandidates(
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

/** Places all tasks of a gang, on a single rack if requested and possible; undefined if they do not fit. */
function placeGang(
  step: OpenStep,
  candidates: readonly Candidate[],
): Candidate[] | undefined {
  const count = step.waiting.length;
  const groups = new Map<string, Candidate[]>();
  if (step.spec.singleRack) {
    for (const candidate of candidates) {
      const rack = getRack(candidate.runner);
      groups.set(rack, [...groups.get(rack) ?? [], candidate]);
    }
  }
  for (const group of [...groups.values(), candidates]) {
    const placed: Candidate[] = [];
    for (const candidate of group) {
      const fitting = countFitting(step, candidate, count - placed.length);
      for (let index = 0; index < fitting; index += 1) placed.push(candidate);
      if (placed.length === count) return placed;
    }
  }
  return undefined;
}

/** Plans one round and updates the workspace usage of `input`. */
export function planStarts(input: PlanInput): Plan {
  const { nowMs } = input;
  const plan: Plan = {
    starts: [],
    queries: [],
    waits: [],
    gangHolds: new Map(),
  };
  const pools = new Map<string, PoolCandidates>();
  for (const [name, runners] of input.runnersByPool) {
    pools.set(name, listCandidates(runners, input));
  }

  function assignCapacity(
    step: OpenStep,
    pool: PoolCandidates,
    candidate: Candidate,
  ): void {
    const { resources } = step.spec;
    candidate.free = subtractResources(candidate.free, resources);
    candidate.placed += 1;
    pool.orders.usual.isSorted = false;
    pool.orders.tight.isSorted = false;
    if (step.isSuspect) candidate.suspectJob ??= step.job;
    pool.used += resources.processors;
    if (step.workspace === undefined) return;
    const workspace = input.workspaces.get(step.workspace);
    if (workspace !== undefined) {
      workspace.used = addResources(workspace.used, resources);
    }
  }

  function hasHeadroom(
    step: OpenStep,
    pool: PoolCandidates,
    count: number,
  ): boolean {
    // On an idle pool even a step that exceeds the limit by itself may start.
    if (step.priority === 0 || pool.used === 0) return true;
    return pool.used + pool.claimed + count * step.spec.resources.processors <=
      pool.capacity * (1 - URGENT_HEADROOM);
  }

  function fitsCap(step: OpenStep, count: number): boolean {
    const workspace = step.workspace === undefined
      ? undefined
      : input.workspaces.get(step.workspace);
    if (workspace === undefined) return true;
    const { used, cap } = workspace;
    const wanted = multiplyResources(step.spec.resources, count);
    if (isWithinCap(addResources(used, wanted), cap)) return true;
    // A gang wider than the cap may use the tolerance if nothing else is running.
    if (count === 1 || used.processors > 0) return false;
    const wide = {
      processors: Math.floor(cap.processors * (1 + CAP_TOLERANCE)),
      memoryMb: Math.floor(cap.memoryMb * (1 + CAP_TOLERANCE)),
      accelerators: cap.accelerators,
    };
    return isWithinCap(wanted, wide);
  }

  function findExceededLimit(
    step: OpenStep,
    pool: PoolCandidates,
    count: number,
  ): WaitReason | undefined {
    if (!fitsCap(step, count)) return "workspaceCap";
    return hasHeadroom(step, pool, count) ? undefined : "keptForUrgent";
  }

  function getTicket(
    step: OpenStep,
    eligibility: StepEligibility | undefined,
    { runner }: Candidate,
  ): string | undefined {
    if (step.eligibility === undefined) return "";
    const ticket = eligibility?.tickets.get(runner.entry.id);
    const isValid = ticket !== undefined &&
      ticket.expiresMs >= nowMs + TICKET_MARGIN_MS;
    return isValid ? ticket.value : undefined;
  }

  function addWait(step: OpenStep, reason: WaitReason): void {
    plan.waits.push({ step, reason });
  }

  /** Adds a query about candidates unless one for the step is in progress. */
  function addQuery(
    step: OpenStep,
    eligibility: StepEligibility | undefined,
    candidates: readonly Candidate[],
    reserve: readonly Candidate[],
  ): void {
    const isOpen = eligibility !== undefined && eligibility.openQueries > 0;
    if (isOpen || candidates.length === 0) return;
    const ids = [...new Set(candidates.map(({ runner }) => runner.entry.id))];
    plan.queries.push({
      step,
      runners: ids.slice(0, MAX_ELIGIBILITY_RUNNERS),
      reserve: reserve.map(({ runner }) => runner),
    });
  }

  /**
   * Adds a query about candidates with capacity. Runners of unknown eligibility
   * without capacity are included, since eligibility does not change and separate
   * queries would take longer.
   */
  function addQueryAbout(
    step: OpenStep,
    pool: PoolCandidates,
    eligibility: StepEligibility | undefined,
    withCapacity: readonly Candidate[],
  ): void {
    const most = countRunnersToQuery(step, withCapacity);
    const named = new Set(withCapacity.slice(0, most));
    for (const candidate of pool.candidates) {
      if (named.size >= most) break;
      const isKnown = eligibility?.isEligible.has(candidate.runner.entry.id);
      if (isKnown !== true && isSuitable(step, candidate)) named.add(candidate);
    }
    addQuery(step, eligibility, [...named], []);
  }

  /** Returns the number of runners for one query; a gang has to find all its runners with few queries. */
  function countRunnersToQuery(
    step: OpenStep,
    candidates: readonly Candidate[],
  ): number {
    const [first] = candidates;
    if (!step.spec.gang || first === undefined) return ELIGIBILITY_RUNNERS;
    const runners = Math.ceil(
      step.waiting.length / Math.max(1, countCapacity(step, first)),
    );
    // The service answers only a few queries a second, so a gang on several
    // runners asks about as many as one query may name.
    return runners > 1 ? MAX_ELIGIBILITY_RUNNERS : ELIGIBILITY_RUNNERS;
  }

  /**
   * Holds runners for a gang, and claims the processors that it needs, so that
   * less urgent tasks do not use them. Otherwise each freed slot would be reused
   * at once and the gang would never fit. Returns whether enough eligible runners
   * are known.
   */
  function addGangHolds(
    step: OpenStep,
    pool: PoolCandidates,
    eligibility: StepEligibility | undefined,
  ): boolean {
    const isParted = isPartedByProbation(step, pool, eligibility, input);
    const found = pool.candidates.filter((candidate) =>
      isSuitable(step, candidate) &&
      (!isParted || step.isConfined === candidate.isOnProbation) &&
      (step.eligibility === undefined ||
        eligibility?.isEligible.get(candidate.runner.entry.id) === true)
    ).sort((a, b) => b.free.processors - a.free.processors);
    const known = found.reduce(
      (sum, candidate) => sum + countCapacity(step, candidate),
      0,
    );
    const wanted = step.waiting.length * GANG_HOLD_FACTOR;
    // Runners are not held for a gang that has no value left or cannot fit.
    const isHolding = input.wallMs <= step.zeroValueMs &&
      known >= step.waiting.length;
    if (!isHolding) return known >= wanted;
    let held = 0;
    for (const candidate of found) {
      const { life } = candidate.runner;
      if (held >= wanted || plan.gangHolds.has(life)) continue;
      if (plan.gangHolds.size >= pool.candidates.length * MAX_GANG_HELD_SHARE) {
        continue;
      }
      plan.gangHolds.set(life, step.key);
      held += countCapacity(step, candidate);
    }
    const claim = step.waiting.length * step.spec.resources.processors;
    if (pool.claimed + claim <= pool.capacity * MAX_GANG_HELD_SHARE) {
      pool.claimed += claim;
    }
    return known >= wanted;
  }

  /** Tells whether a gang would fit if the assumed share of the unknown candidates were eligible. */
  function hasLikelyCapacity(
    step: OpenStep,
    eligible: readonly Candidate[],
    unknown: readonly Candidate[],
  ): boolean {
    const count = step.waiting.length;
    const sumFitting = (candidates: readonly Candidate[]) =>
      candidates.reduce(
        (sum, candidate) => sum + countFitting(step, candidate, count),
        0,
      );
    return unknown.length > 0 &&
      sumFitting(eligible) + ASSUMED_ELIGIBLE_SHARE * sumFitting(unknown) >=
        count;
  }

  function addCapacityWait(step: OpenStep, pool: PoolCandidates): void {
    const hasRunner = pool.candidates.some((candidate) =>
      isSuitable(step, candidate)
    );
    addWait(step, hasRunner ? "noRoom" : "noRunner");
  }

  function planGang(
    step: OpenStep,
    pool: PoolCandidates,
    eligibility: StepEligibility | undefined,
  ): void {
    const bound = findExceededLimit(step, pool, step.waiting.length);
    if (bound === "workspaceCap") return addWait(step, bound);
    const { eligible, unknown } = findCandidates(
      step,
      pool,
      eligibility,
      input,
    );
    const hasTicket = (candidate: Candidate) =>
      getTicket(step, eligibility, candidate) !== undefined;
    // The order of candidates changes with their free capacity. Those with a
    // ticket are tried first, otherwise the gang would keep requesting tickets
    // for other runners.
    const placed = bound === undefined
      ? placeGang(step, eligible.filter(hasTicket)) ?? placeGang(step, eligible)
      : undefined;
    if (placed === undefined) {
      const isEnough = addGangHolds(step, pool, eligibility);
      if (isEnough && bound !== undefined) return addWait(step, bound);
      // Once enough runners are known, a query about others pays off only if the
      // gang could start right away.
      if (isEnough && !hasLikelyCapacity(step, eligible, unknown)) {
        return addCapacityWait(step, pool);
      }
      addWait(step, "noTicket");
      return addQueryAbout(step, pool, eligibility, unknown);
    }
    const tickets = placed.map((candidate) =>
      getTicket(step, eligibility, candidate)
    );
    if (tickets.some((ticket) => ticket === undefined)) {
      addWait(step, "noTicket");
      const named = new Set(placed);
      const spare = Math.ceil(named.size * GANG_HOLD_FACTOR);
      for (const candidate of eligible) {
        if (named.size < spare) named.add(candidate);
      }
      return addQuery(step, eligibility, [...named], placed);
    }
    plan.starts.push({
      step,
      placements: placed.map(({ runner }, at) => ({
        index: step.waiting[at] ?? 0,
        runner,
        ticket: tickets[at] ?? "",
      })),
    });
    for (const candidate of placed) assignCapacity(step, pool, candidate);
  }

  function planTasks(
    step: OpenStep,
    pool: PoolCandidates,
    eligibility: StepEligibility | undefined,
  ): void {
    const bound = findExceededLimit(step, pool, 1);
    if (bound !== undefined) return addWait(step, bound);
    const { eligible, unknown } = findCandidates(
      step,
      pool,
      eligibility,
      input,
    );
    const placements: Placement[] = [];
    const placedHere = new Map<Candidate, number>();
    const expired: Candidate[] = [];
    let at = 0;
    for (const candidate of eligible) {
      if (at >= step.waiting.length) break;
      const ticket = getTicket(step, eligibility, candidate);
      while (at < step.waiting.length) {
        if (!hasHeadroom(step, pool, 1) || !fitsCap(step, 1)) break;
        if (countFitting(step, candidate, 1, placedHere) === 0) break;
        if (ticket === undefined) {
          expired.push(candidate);
          break;
        }
        const { runner } = candidate;
        placements.push({ index: step.waiting[at] ?? 0, runner, ticket });
        placedHere.set(candidate, (placedHere.get(candidate) ?? 0) + 1);
        assignCapacity(step, pool, candidate);
        at += 1;
      }
    }
    if (placements.length > 0) plan.starts.push({ step, placements });
    if (at >= step.waiting.length) return;
    const newBound = findExceededLimit(step, pool, 1);
    if (newBound !== undefined) return addWait(step, newBound);
    const asked = [...expired, ...unknown];
    if (asked.length === 0) return addCapacityWait(step, pool);
    addWait(step, "noTicket");
    addQueryAbout(step, pool, eligibility, asked);
  }

  /** Tells whether a step can neither start nor be asked about in this round. */
  function isWaitingForAnswer(
    step: OpenStep,
    eligibility: StepEligibility | undefined,
  ): boolean {
    if (step.eligibility === undefined) return false;
    if (eligibility !== undefined) {
      // A gang of which some runners are known holds them while it waits.
      if (step.spec.gang && eligibility.isEligible.size > 0) return false;
      for (const { expiresMs } of eligibility.tickets.values()) {
        if (expiresMs >= nowMs + TICKET_MARGIN_MS) return false;
      }
      if (eligibility.openQueries > 0) return true;
    }
    return input.mayQuery?.(step.eligibility) === false;
  }

  function planStep(step: OpenStep): void {
    const pool = pools.get(step.pool) ?? NO_POOL;
    const eligibility = input.getEligibility(step.key);
    // After a takeover this holds for most steps, and the search would be in vain.
    if (isWaitingForAnswer(step, eligibility)) return addWait(step, "noTicket");
    if (step.spec.gang) planGang(step, pool, eligibility);
    else planTasks(step, pool, eligibility);
  }

  let patientStarts = input.patientStarts ?? Infinity;
  for (const step of input.steps) {
    if (step.waiting.length === 0) continue;
    if (patientStarts === Infinity || !isPatient(step, input.wallMs)) {
      planStep(step);
    } else if (patientStarts <= 0) {
      addWait(step, "leaderBusy");
    } else {
      planStep({ ...step, waiting: step.waiting.slice(0, patientStarts) });
      const last = plan.starts.at(-1);
      if (last?.step.key === step.key) patientStarts -= last.placements.length;
    }
  }
  return plan;
}
