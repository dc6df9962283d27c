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
import { computeRoom, isPlaceable, type Runner } from "./runner_table.ts";
import type { EligibilityTimes, StepSpec } from "./types.ts";
import type { UrgencyFacts } from "./urgency.ts";

/** A step with tasks that may start now. */
export interface OpenStep extends UrgencyFacts {
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
export interface PlannedQuestion {
  readonly step: OpenStep;
  readonly runners: readonly string[];
  /** Runners on which room is kept until the answer. */
  readonly reserve: readonly Runner[];
}

/** Use of one workspace and its cap. */
export interface WorkspaceUse {
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
  readonly workspaces: ReadonlyMap<string, WorkspaceUse>;
  /** Room that is kept for steps whose tickets are on their way, by life and step. */
  readonly reservations: ReadonlyMap<string, ReadonlyMap<string, Resources>>;
  /** Gangs that wait for runners to empty, by life; from the round before. */
  readonly holds: ReadonlyMap<string, string>;
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
  readonly questions: PlannedQuestion[];
  /** Steps with tasks that go on waiting. */
  readonly waits: { readonly step: OpenStep; readonly reason: WaitReason }[];
  /** Gangs that wait for runners to empty, by life; for the next round. */
  readonly holds: Map<string, string>;
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
const HOLD_FACTOR = 1.5;

/** Share of a pool's runners that gangs may keep others from. */
const MAX_HELD_SHARE = 0.3;

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
interface Place {
  readonly runner: Runner;
  /** What is free beside all that is kept for steps whose tickets are on their way. */
  room: Resources;
  /** What is kept, by step. */
  readonly reserved: ReadonlyMap<string, Resources> | undefined;
  /** Gang that waits for this runner to empty; undefined for none. */
  readonly heldFor: string | undefined;
}

/** The places of one pool, and how full it is. */
interface PoolPlaces {
  readonly places: readonly Place[];
  /** Room that no place exceeds in this round, by resource. */
  readonly largest: Resources;
  /** Processors in use, those that waiting gangs need, and all of them. */
  used: number;
  claimed: number;
  readonly capacity: number;
}

const NO_POOL: PoolPlaces = Object.freeze({
  places: [],
  largest: NO_RESOURCES,
  used: 0,
  claimed: 0,
  capacity: 0,
});

const NONE_PLACED: ReadonlyMap<Place, number> = new Map();

function takeLarger(a: Resources, b: Resources): Resources {
  return {
    processors: Math.max(a.processors, b.processors),
    memoryMb: Math.max(a.memoryMb, b.memoryMb),
    accelerators: Math.max(a.accelerators, b.accelerators),
  };
}

function listPlaces(
  runners: readonly Runner[],
  { nowMs, reservations, holds }: PlanInput,
): PoolPlaces {
  const places: Place[] = [];
  let largest = NO_RESOURCES;
  let used = 0;
  let capacity = 0;
  for (const runner of runners) {
    if (!isPlaceable(runner, nowMs)) continue;
    let room = computeRoom(runner);
    largest = takeLarger(largest, room);
    const reserved = reservations.get(runner.life);
    for (const amount of reserved?.values() ?? []) {
      room = subtractResources(room, amount);
    }
    const heldFor = holds.get(runner.life);
    places.push({ runner, room, reserved, heldFor });
    used += runner.used.processors;
    capacity += runner.entry.capacity.processors;
  }
  return { places, largest, used, claimed: 0, capacity };
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
function getRoom(step: OpenStep, place: Place): Resources {
  const own = place.reserved?.get(step.key);
  return own === undefined ? place.room : addResources(place.room, own);
}

/** Returns how many tasks of the step fit on the place, up to `most`. */
function countFitting(
  step: OpenStep,
  place: Place,
  most: number,
  placed: ReadonlyMap<Place, number> = NONE_PLACED,
): number {
  const { resources, maxPerRunner } = step.spec;
  let room = getRoom(step, place);
  if (!fitsWithin(resources, room)) return 0;
  let bound = most;
  if (maxPerRunner > 0) {
    bound = Math.min(
      bound,
      maxPerRunner - countRuns(step, place.runner) - (placed.get(place) ?? 0),
    );
  }
  let count = 0;
  while (count < bound && fitsWithin(resources, room)) {
    room = subtractResources(room, resources);
    count += 1;
  }
  return count;
}

/** Returns how many tasks of the step an empty runner holds. */
function countCapacity(step: OpenStep, { runner }: Place): number {
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

function isHeldForOther(step: OpenStep, { heldFor }: Place): boolean {
  return heldFor !== undefined && heldFor !== step.key;
}

/** Tells whether a gang keeps the step from a place; urgent steps only avoid it. */
function isKeptFrom(step: OpenStep, place: Place): boolean {
  return step.priority > 0 && isHeldForOther(step, place);
}

/** Tells whether a runner could run the step if it were idle. */
function isSuitable(step: OpenStep, { runner }: Place): boolean {
  const { requiredLabel, resources } = step.spec;
  const { labels, capacity } = runner.entry;
  return (requiredLabel === undefined || labels.includes(requiredLabel)) &&
    fitsWithin(resources, capacity);
}

function comparePlaces(step: OpenStep, a: Place, b: Place): number {
  const held = Number(isHeldForOther(step, a)) -
    Number(isHeldForOther(step, b));
  if (held !== 0) return held;
  const { preferredRack } = step.spec;
  if (preferredRack !== undefined) {
    const isNearA = getRack(a.runner) === preferredRack ? 0 : 1;
    const isNearB = getRack(b.runner) === preferredRack ? 0 : 1;
    if (isNearA !== isNearB) return isNearA - isNearB;
  }
  const failures = a.runner.failedJobs.size - b.runner.failedJobs.size;
  if (failures !== 0) return failures;
  if (step.isTight) {
    const speeds = getSpeedClass(a.runner) - getSpeedClass(b.runner);
    if (speeds !== 0) return speeds;
  }
  // Fuller runners first, so that room for wide tasks stays in one piece.
  return getRoom(step, a).processors - getRoom(step, b).processors;
}

/** The places with room for a task of one step, by what is known of them. */
interface StepPlaces {
  /** Best first. */
  readonly eligible: readonly Place[];
  readonly unknown: readonly Place[];
}

/**
 * Sorts out the places for a step. Those without room are left out first, since
 * in a full pool they are nearly all and the rest is looked at closely.
 */
function findPlaces(
  step: OpenStep,
  pool: PoolPlaces,
  eligibility: StepEligibility | undefined,
): StepPlaces {
  const eligible: Place[] = [];
  const unknown: Place[] = [];
  if (!fitsWithin(step.spec.resources, pool.largest)) {
    return { eligible, unknown };
  }
  for (const place of pool.places) {
    if (countFitting(step, place, 1) === 0) continue;
    if (isKeptFrom(step, place) || !isSuitable(step, place)) continue;
    const isEligible = step.eligibility === undefined ||
      eligibility?.isEligible.get(place.runner.entry.id);
    if (isEligible === true) eligible.push(place);
    else if (isEligible === undefined) unknown.push(place);
  }
  const compare = (a: Place, b: Place) => comparePlaces(step, a, b);
  return { eligible: eligible.sort(compare), unknown: unknown.sort(compare) };
}

/** Places all tasks of a gang, on one rack where that is asked for and possible. */
function placeGang(
  step: OpenStep,
  places: readonly Place[],
): Place[] | undefined {
  const count = step.waiting.length;
  const groups = new Map<string, Place[]>();
  if (step.spec.singleRack) {
    for (const place of places) {
      const rack = getRack(place.runner);
      groups.set(rack, [...groups.get(rack) ?? [], place]);
    }
  }
  for (const group of [...groups.values(), places]) {
    const placed: Place[] = [];
    for (const place of group) {
      const fitting = countFitting(step, place, count - placed.length);
      for (let index = 0; index < fitting; index += 1) placed.push(place);
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
    questions: [],
    waits: [],
    holds: new Map(),
  };
  const pools = new Map<string, PoolPlaces>();
  for (const [name, runners] of input.runnersByPool) {
    pools.set(name, listPlaces(runners, input));
  }

  function take(step: OpenStep, pool: PoolPlaces, place: Place): void {
    const { resources } = step.spec;
    place.room = subtractResources(place.room, resources);
    pool.used += resources.processors;
    if (step.workspace === undefined) return;
    const workspace = input.workspaces.get(step.workspace);
    if (workspace !== undefined) {
      workspace.used = addResources(workspace.used, resources);
    }
  }

  function hasHeadroom(
    step: OpenStep,
    pool: PoolPlaces,
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
    pool: PoolPlaces,
    count: number,
  ): WaitReason | undefined {
    if (!fitsCap(step, count)) return "workspaceCap";
    return hasHeadroom(step, pool, count) ? undefined : "keptForUrgent";
  }

  function getTicket(
    step: OpenStep,
    eligibility: StepEligibility | undefined,
    { runner }: Place,
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
  function addQuestion(
    step: OpenStep,
    eligibility: StepEligibility | undefined,
    places: readonly Place[],
    reserve: readonly Place[],
  ): void {
    const isOpen = eligibility !== undefined && eligibility.openQuestions > 0;
    if (isOpen || places.length === 0) return;
    const ids = [...new Set(places.map(({ runner }) => runner.entry.id))];
    plan.questions.push({
      step,
      runners: ids.slice(0, MAX_ELIGIBILITY_RUNNERS),
      reserve: reserve.map(({ runner }) => runner),
    });
  }

  /**
   * Asks about places with room. Unknown ones without room are named as well,
   * since the answer stays true and a question for each would take longer.
   */
  function addQuestionAbout(
    step: OpenStep,
    pool: PoolPlaces,
    eligibility: StepEligibility | undefined,
    withRoom: readonly Place[],
  ): void {
    const most = countRunnersToName(step, withRoom);
    const named = new Set(withRoom.slice(0, most));
    for (const place of pool.places) {
      if (named.size >= most) break;
      const isKnown = eligibility?.isEligible.has(place.runner.entry.id);
      if (isKnown !== true && isSuitable(step, place)) named.add(place);
    }
    addQuestion(step, eligibility, [...named], []);
  }

  /** Returns how many runners one question names: a gang must find all of its places in few answers. */
  function countRunnersToName(
    step: OpenStep,
    places: readonly Place[],
  ): number {
    const [first] = places;
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
  function addHolds(
    step: OpenStep,
    pool: PoolPlaces,
    eligibility: StepEligibility | undefined,
  ): boolean {
    const found = pool.places.filter((place) =>
      isSuitable(step, place) &&
      (step.eligibility === undefined ||
        eligibility?.isEligible.get(place.runner.entry.id) === true)
    ).sort((a, b) => b.room.processors - a.room.processors);
    const known = found.reduce(
      (sum, place) => sum + countCapacity(step, place),
      0,
    );
    const wanted = step.waiting.length * HOLD_FACTOR;
    // Nothing waits for a gang that earns nothing any more or fits nowhere.
    const isHolding = input.wallMs <= step.worthlessMs &&
      known >= step.waiting.length;
    if (!isHolding) return known >= wanted;
    let held = 0;
    for (const place of found) {
      const { life } = place.runner;
      if (held >= wanted || plan.holds.has(life)) continue;
      if (plan.holds.size >= pool.places.length * MAX_HELD_SHARE) continue;
      plan.holds.set(life, step.key);
      held += countCapacity(step, place);
    }
    const claim = step.waiting.length * step.spec.resources.processors;
    if (pool.claimed + claim <= pool.capacity * MAX_HELD_SHARE) {
      pool.claimed += claim;
    }
    return known >= wanted;
  }

  /** Tells whether a gang would have room if as many of the unknown places were eligible as can be expected. */
  function hasLikelyRoom(
    step: OpenStep,
    eligible: readonly Place[],
    unknown: readonly Place[],
  ): boolean {
    const count = step.waiting.length;
    const sumRoom = (places: readonly Place[]) =>
      places.reduce((sum, place) => sum + countFitting(step, place, count), 0);
    return unknown.length > 0 &&
      sumRoom(eligible) + ASSUMED_ELIGIBLE_SHARE * sumRoom(unknown) >= count;
  }

  function addRoomWait(step: OpenStep, pool: PoolPlaces): void {
    const hasRunner = pool.places.some((place) => isSuitable(step, place));
    addWait(step, hasRunner ? "noRoom" : "noRunner");
  }

  function planGang(
    step: OpenStep,
    pool: PoolPlaces,
    eligibility: StepEligibility | undefined,
  ): void {
    const bound = findBound(step, pool, step.waiting.length);
    if (bound === "workspaceCap") return addWait(step, bound);
    const { eligible, unknown } = findPlaces(step, pool, eligibility);
    const hasTicket = (place: Place) =>
      getTicket(step, eligibility, place) !== undefined;
    // The order of the places changes with their room, so those with tickets
    // come first: otherwise the gang asks for others again and again.
    const placed = bound === undefined
      ? placeGang(step, eligible.filter(hasTicket)) ?? placeGang(step, eligible)
      : undefined;
    if (placed === undefined) {
      const isEnough = addHolds(step, pool, eligibility);
      if (isEnough && bound !== undefined) return addWait(step, bound);
      // Once enough runners are known, others are worth a question only where
      // the gang could start at once.
      if (isEnough && !hasLikelyRoom(step, eligible, unknown)) {
        return addRoomWait(step, pool);
      }
      addWait(step, "noTicket");
      return addQuestionAbout(step, pool, eligibility, unknown);
    }
    const tickets = placed.map((place) => getTicket(step, eligibility, place));
    if (tickets.some((ticket) => ticket === undefined)) {
      addWait(step, "noTicket");
      const named = new Set(placed);
      const spare = Math.ceil(named.size * HOLD_FACTOR);
      for (const place of eligible) {
        if (named.size < spare) named.add(place);
      }
      return addQuestion(step, eligibility, [...named], placed);
    }
    plan.starts.push({
      step,
      placements: placed.map(({ runner }, at) => ({
        index: step.waiting[at] ?? 0,
        runner,
        ticket: tickets[at] ?? "",
      })),
    });
    for (const place of placed) take(step, pool, place);
  }

  function planTasks(
    step: OpenStep,
    pool: PoolPlaces,
    eligibility: StepEligibility | undefined,
  ): void {
    const bound = findBound(step, pool, 1);
    if (bound !== undefined) return addWait(step, bound);
    const { eligible, unknown } = findPlaces(step, pool, eligibility);
    const placements: Placement[] = [];
    const placedHere = new Map<Place, number>();
    const expired: Place[] = [];
    let at = 0;
    for (const place of eligible) {
      if (at >= step.waiting.length) break;
      const ticket = getTicket(step, eligibility, place);
      while (at < step.waiting.length) {
        if (!hasHeadroom(step, pool, 1) || !fitsCap(step, 1)) break;
        if (countFitting(step, place, 1, placedHere) === 0) break;
        if (ticket === undefined) {
          expired.push(place);
          break;
        }
        const { runner } = place;
        placements.push({ index: step.waiting[at] ?? 0, runner, ticket });
        placedHere.set(place, (placedHere.get(place) ?? 0) + 1);
        take(step, pool, place);
        at += 1;
      }
    }
    if (placements.length > 0) plan.starts.push({ step, placements });
    if (at >= step.waiting.length) return;
    const newBound = findBound(step, pool, 1);
    if (newBound !== undefined) return addWait(step, newBound);
    const asked = [...expired, ...unknown];
    if (asked.length === 0) return addRoomWait(step, pool);
    addWait(step, "noTicket");
    addQuestionAbout(step, pool, eligibility, asked);
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
