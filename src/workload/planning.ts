/**
 * Decides which waiting tasks start on which runners. The most urgent steps are
 * planned first, and a gang starts as a whole or not at all. A placement never
 * exceeds a runner's capacity or a workspace's cap, and only uses eligible
 * runners.
 */

import {
  addResources,
  multiplyResources,
  subtractResources,
} from "../common/mod.ts";
import {
  type Candidate,
  countCapacity,
  countFitting,
  findCandidates,
  getRack,
  isPartedByProbation,
  isSuitable,
  isUrgent,
  listCandidates,
  NO_POOL,
  type PoolCandidates,
} from "./candidates.ts";
import {
  ELIGIBILITY_RUNNERS,
  MAX_ELIGIBILITY_RUNNERS,
  TICKET_MARGIN_MS,
} from "./constants.ts";
import type { StepEligibility, Ticket } from "./eligibility.ts";
import type {
  OpenStep,
  Placement,
  Plan,
  PlanInput,
  WaitReason,
} from "./plan_types.ts";
import { createStartBudget } from "./start_budget.ts";
import { computeGangCap, isWithinCap } from "./workspace_caps.ts";

/**
 * Share of a pool's processors reserved for the most urgent queue and for restarts of
 * long-running tasks, so that they do not wait for long tasks to end.
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

  /** Returns the candidates of a pool, listed for the first step that may start there. */
  function getPool(name: string): PoolCandidates {
    const known = pools.get(name);
    if (known !== undefined) return known;
    const runners = input.runnersByPool.get(name);
    const pool = runners === undefined
      ? NO_POOL
      : listCandidates(runners, input);
    pools.set(name, pool);
    return pool;
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
    if (isUrgent(step) || pool.used === 0) return true;
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
    return isWithinCap(wanted, computeGangCap(cap));
  }

  function findExceededLimit(
    step: OpenStep,
    pool: PoolCandidates,
    count: number,
  ): WaitReason | undefined {
    if (!fitsCap(step, count)) return "workspaceCap";
    return hasHeadroom(step, pool, count) ? undefined : "keptForUrgent";
  }

  function isUsable({ expiresMs }: Ticket): boolean {
    return expiresMs >= nowMs + TICKET_MARGIN_MS;
  }

  function getTicket(
    step: OpenStep,
    eligibility: StepEligibility | undefined,
    { runner }: Candidate,
  ): string | undefined {
    if (step.eligibility === undefined) return "";
    const ticket = eligibility?.tickets.get(runner.entry.id);
    return ticket !== undefined && isUsable(ticket) ? ticket.value : undefined;
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
      for (const ticket of eligibility.tickets.values()) {
        if (isUsable(ticket)) return false;
      }
      if (eligibility.openQueries > 0) return true;
    }
    return input.mayQuery?.(step.eligibility) === false;
  }

  function planStep(step: OpenStep): void {
    const eligibility = input.getEligibility(step.key);
    // This holds for most urgent steps, and the search would be in vain.
    if (isWaitingForAnswer(step, eligibility)) return addWait(step, "noTicket");
    const pool = getPool(step.pool);
    if (step.spec.gang) planGang(step, pool, eligibility);
    else planTasks(step, pool, eligibility);
  }

  const budget = createStartBudget(input);
  for (const step of input.steps) {
    if (step.waiting.length === 0) continue;
    const share = budget.getShare(step);
    if ("reason" in share) {
      addWait(step, share.reason);
      continue;
    }
    planStep(share.step);
    const last = plan.starts.at(-1);
    if (last?.step.key !== step.key) continue;
    budget.subtract(step, last.placements.length);
  }
  return plan;
}
