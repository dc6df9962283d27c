/**
 * Decides which waiting tasks start where. The most urgent steps come first; a
 * gang starts whole or not at all. Nothing is placed beyond a runner's
 * capacity, a workspace's cap, or the set of eligible runners.
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
import type { StepEligibility } from "./eligibility.ts";
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
  /** Tasks that wait, by index. */
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

/** A question that should be put to the eligibility service. */
export interface PlannedQuery {
  readonly step: OpenStep;
  readonly runners: readonly string[];
  /** Runners on which room is kept until the answer. */
  readonly reserve: readonly Runner[];
}

/** Use of one workspace and its cap. */
export interface WorkspaceUsage {
  used: Resources;
  readonly cap: Resources;
}

/** What the planner looks at. */
export interface PlanInput {
  readonly nowMs: number;
  readonly wallMs: number;
  /** Sorted, the first to be served first. */
  readonly steps: readonly OpenStep[];
  readonly runnersByPool: ReadonlyMap<string, readonly Runner[]>;
  readonly getEligibility: (stepKey: string) => StepEligibility | undefined;
  readonly workspaces: ReadonlyMap<string, WorkspaceUsage>;
  /** Room that is kept for steps whose tickets are on their way, by life and step. */
  readonly reservations: ReadonlyMap<string, ReadonlyMap<string, Resources>>;
  /** Gangs that wait for runners to empty, by life; from the round before. */
  readonly gangHolds: ReadonlyMap<string, string>;
}

/** Why tasks of a step do not start. */
export type WaitReason =
  | "noRunner"
  | "noRoom"
  | "noTicket"
  | "workspaceCap"
  | "keptForUrgent";

/** What the planner decided. */
export interface Plan {
  readonly starts: PlannedStart[];
  readonly queries: PlannedQuery[];
  /** Steps with tasks that go on waiting. */
  readonly waits: { readonly step: OpenStep; readonly reason: WaitReason }[];
  /** Gangs that wait for runners to empty, by life; for the next round. */
  readonly gangHolds: Map<string, string>;
}

/**
 * Share of a pool's processors that only the most urgent queue may use, so that
 * short jobs need not wait for the end of a long task.
 */
export const URGENT_HEADROOM = 0.04;

/**
 * Tasks that would fit on the runners that a waiting gang keeps others from, if
 * these were empty, as a multiple of its tasks. Some hold long runs, so that a
 * bare set would take as long as the longest of them.
 */
const GANG_HOLD_FACTOR = 1.5;

/** Share of a pool's runners that gangs may keep others from. */
const MAX_GANG_HELD_SHARE = 0.3;

/** Share of the runners that is taken as eligible before the service has answered; the strictest policy seen. */
const ASSUMED_ELIGIBLE_SHARE = 0.3;

/** Share of a cap up to which a gang that is wider than the cap may go; the platform allows 0.1 beyond it. */
const CAP_TOLERANCE = 0.05;

/** Difference of learned slowness, as a logarithm, below which runners count as equally fast. */
const SPEED_CLASS_WIDTH = 0.14;

function getSpeedClass(runner: Runner): number {
  return Math.round(runner.slowness / SPEED_CLASS_WIDTH);
}

/** Finds the rack among a runner's labels: the last one, the kind comes first. */
export function getRack(runner: Runner): string {
  return runner.entry.labels.at(-1) ?? "";
}

/** A runner that takes new work, with its room in this round. */
interface Candidate {
  readonly runner: Runner;
  /** What is free beside all that is kept for steps whose tickets are on their way. */
  free: Resources;
  /** What is kept, by step. */
  readonly reserved: ReadonlyMap<string, Resources> | undefined;
  /** Gang that waits for this runner to empty; undefined for none. */
  readonly heldFor: string | undefined;
}

/** The places of one pool, and how full it is. */
interface PoolCandidates {
  readonly candidates: readonly Candidate[];
  /** Room that no place exceeds in this round, by resource. */
  readonly largestFree: Resources;
  /** Processors in use, those that waiting gangs need, and all of them. */
  used: number;
  claimed: number;
  readonly capacity: number;
}

const NO_POOL: PoolCandidates = Object.freeze({
  candidates: [],
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

function listCandidates(
  runners: readonly Runner[],
  { nowMs, reservations, gangHolds }: PlanInput,
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
    candidates.push({ runner, free, reserved, heldFor });
    used += runner.used.processors;
    capacity += runner.entry.capacity.processors;
  }
  return { candidates, largestFree, used, claimed: 0, capacity };
}

/**
 * Counts the runs of a step that occupy a runner, with those whose start is
 * still being recorded and those that are being stopped.
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

/** Returns the room that a step may use on a place, with what is kept for it. */
function getFreeCapacity(step: OpenStep, candidate: Candidate): Resources {
  const own = candidate.reserved?.get(step.key);
  return own === undefined ? candidate.free : addResources(candidate.free, own);
}

/** Returns how many tasks of the step fit on the place, up to `most`. */
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

/** Returns how many tasks of the step an empty runner holds. */
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

/** Tells whether a gang keeps the step from a place; urgent steps only avoid it. */
function isBlocked(step: OpenStep, candidate: Candidate): boolean {
  return step.priority > 0 && isHeldForOther(step, candidate);
}

/** Tells whether a runner could run the step if it were idle. */
function isSuitable(step: OpenStep, { runner }: Candidate): boolean {
  const { requiredLabel, resources } = step.spec;
  const { labels, capacity } = runner.entry;
  return (requiredLabel === undefined || labels.includes(requiredLabel)) &&
    fitsWithin(resources, capacity);
}

function compareCandidates(step: OpenStep, a: Candidate, b: Candidate): number {
  const held = Number(isHeldForOther(step, a)) -
    Number(isHeldForOther(step, b));
  if (held !== 0) return held;
  const { preferredRack } = step.spec;
  if (preferredRack !== undefined) {
    const distanceA = getRack(a.runner) === preferredRack ? 0 : 1;
    const distanceB = getRack(b.runner) === preferredRack ? 0 : 1;
    if (distanceA !== distanceB) return distanceA - distanceB;
  }
  const failures = a.runner.failedJobs.size - b.runner.failedJobs.size;
  if (failures !== 0) return failures;
  if (step.isTight) {
    const speeds = getSpeedClass(a.runner) - getSpeedClass(b.runner);
    if (speeds !== 0) return speeds;
  }
  // Fuller runners first, so that room for wide tasks stays in one piece.
  return getFreeCapacity(step, a).processors -
    getFreeCapacity(step, b).processors;
}

/** The places with room for a task of one step, by what is known of them. */
interface StepCandidates {
  /** Best first. */
  readonly eligible: readonly Candidate[];
  readonly unknown: readonly Candidate[];
}

/**
 * Sorts out the places for a step. Those without room are left out first, since
 * in a full pool they are nearly all and the rest is looked at closely.
 */
function findCandidates(
  step: OpenStep,
  pool: PoolCandidates,
  eligibility: StepEligibility | undefined,
): StepCandidates {
  const eligible: Candidate[] = [];
  const unknown: Candidate[] = [];
  if (!fitsWithin(step.spec.resources, pool.largestFree)) {
    return { eligible, unknown };
  }
  for (const candidate of pool.candidates) {
    if (countFitting(step, candidate, 1) === 0) continue;
    if (isBlocked(step, candidate) || !isSuitable(step, candidate)) continue;
    const isEligible = step.eligibility === undefined ||
      eligibility?.isEligible.get(candidate.runner.entry.id);
    if (isEligible === true) eligible.push(candidate);
    else if (isEligible === undefined) unknown.push(candidate);
  }
  const compare = (a: Candidate, b: Candidate) => compareCandidates(step, a, b);
  return { eligible: eligible.sort(compare), unknown: unknown.sort(compare) };
}

/** Places all tasks of a gang, on one rack where that is asked for and possible. */
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

/** Plans one round. */
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
    // A step that could never pass the bound may still start on an idle pool.
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
    // A gang beyond the cap can only run in the tolerance, alone.
    if (count === 1 || used.processors > 0) return false;
    const wide = {
      processors: Math.floor(cap.processors * (1 + CAP_TOLERANCE)),
      memoryMb: Math.floor(cap.memoryMb * (1 + CAP_TOLERANCE)),
      accelerators: cap.accelerators,
    };
    return isWithinCap(wanted, wide);
  }

  function findBound(
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

  /** Asks about places, unless a question of the step is open. */
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
   * Asks about places with room. Unknown ones without room are named as well,
   * since the answer stays true and a question for each would take longer.
   */
  function addQueryAbout(
    step: OpenStep,
    pool: PoolCandidates,
    eligibility: StepEligibility | undefined,
    withCapacity: readonly Candidate[],
  ): void {
    const most = countRunnersToName(step, withCapacity);
    const named = new Set(withCapacity.slice(0, most));
    for (const candidate of pool.candidates) {
      if (named.size >= most) break;
      const isKnown = eligibility?.isEligible.has(candidate.runner.entry.id);
      if (isKnown !== true && isSuitable(step, candidate)) named.add(candidate);
    }
    addQuery(step, eligibility, [...named], []);
  }

  /** Returns how many runners one question names: a gang must find all of its places in few answers. */
  function countRunnersToName(
    step: OpenStep,
    candidates: readonly Candidate[],
  ): number {
    const [first] = candidates;
    if (!step.spec.gang || first === undefined) return ELIGIBILITY_RUNNERS;
    const runners = Math.ceil(
      step.waiting.length / Math.max(1, countCapacity(step, first)),
    );
    // Few answers of the service fit into a second, so a gang that needs many
    // runners learns of as many as one answer can name.
    return runners > 1 ? MAX_ELIGIBILITY_RUNNERS : ELIGIBILITY_RUNNERS;
  }

  /**
   * Keeps work that can wait from runners until the gang fits on them, and from
   * the processors that it needs; otherwise each freed slot is taken at once and
   * its room never comes in one piece. Tells whether enough eligible runners are
   * known.
   */
  function addGangHolds(
    step: OpenStep,
    pool: PoolCandidates,
    eligibility: StepEligibility | undefined,
  ): boolean {
    const found = pool.candidates.filter((candidate) =>
      isSuitable(step, candidate) &&
      (step.eligibility === undefined ||
        eligibility?.isEligible.get(candidate.runner.entry.id) === true)
    ).sort((a, b) => b.free.processors - a.free.processors);
    const known = found.reduce(
      (sum, candidate) => sum + countCapacity(step, candidate),
      0,
    );
    const wanted = step.waiting.length * GANG_HOLD_FACTOR;
    // Nothing waits for a gang that earns nothing any more or fits nowhere.
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

  /** Tells whether a gang would have room if as many of the unknown places were eligible as can be expected. */
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
    const bound = findBound(step, pool, step.waiting.length);
    if (bound === "workspaceCap") return addWait(step, bound);
    const { eligible, unknown } = findCandidates(step, pool, eligibility);
    const hasTicket = (candidate: Candidate) =>
      getTicket(step, eligibility, candidate) !== undefined;
    // The order of the places changes with their room, so those with tickets
    // come first: otherwise the gang asks for others again and again.
    const placed = bound === undefined
      ? placeGang(step, eligible.filter(hasTicket)) ?? placeGang(step, eligible)
      : undefined;
    if (placed === undefined) {
      const isEnough = addGangHolds(step, pool, eligibility);
      if (isEnough && bound !== undefined) return addWait(step, bound);
      // Once enough runners are known, others are worth a question only where
      // the gang could start at once.
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
    const bound = findBound(step, pool, 1);
    if (bound !== undefined) return addWait(step, bound);
    const { eligible, unknown } = findCandidates(step, pool, eligibility);
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
    const newBound = findBound(step, pool, 1);
    if (newBound !== undefined) return addWait(step, newBound);
    const asked = [...expired, ...unknown];
    if (asked.length === 0) return addCapacityWait(step, pool);
    addWait(step, "noTicket");
    addQueryAbout(step, pool, eligibility, asked);
  }

  for (const step of input.steps) {
    if (step.waiting.length === 0) continue;
    const pool = pools.get(step.pool) ?? NO_POOL;
    const eligibility = input.getEligibility(step.key);
    if (step.spec.gang) planGang(step, pool, eligibility);
    else planTasks(step, pool, eligibility);
  }
  return plan;
}
