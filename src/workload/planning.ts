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
import { ELIGIBILITY_RUNNERS, TICKET_MARGIN_MS } from "./constants.ts";
import type { StepEligibility } from "./eligibility.ts";
import { computeRoom, isPlaceable, type Runner } from "./runner_table.ts";
import type { EligibilityTimes, StepSpec } from "./types.ts";

/** A step with tasks that may start now. */
export interface OpenStep {
  readonly key: string;
  readonly job: string;
  readonly occurrence: number;
  readonly step: number;
  readonly spec: StepSpec;
  readonly pool: string;
  readonly workspace: string | undefined;
  /** 0 is served first. */
  readonly priority: number;
  /** True when the objective leaves little time beyond the work itself. */
  readonly isTight: boolean;
  /** Wall time by which the job is on time, in milliseconds. */
  readonly dueMs: number;
  /** Wall time after which the job earns nothing more, in milliseconds. */
  readonly worthlessMs: number;
  /** True when the workspace has handed in more than its weight allows. */
  readonly isExcess: boolean;
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
  /** Sorted by `compareSteps`. */
  readonly steps: readonly OpenStep[];
  readonly runnersByPool: ReadonlyMap<string, readonly Runner[]>;
  readonly getEligibility: (stepKey: string) => StepEligibility | undefined;
  readonly workspaces: ReadonlyMap<string, WorkspaceUse>;
  /** Room that is kept for steps whose tickets are on their way, by life and step. */
  readonly reservations: ReadonlyMap<string, ReadonlyMap<string, Resources>>;
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
}

/**
 * Share of a pool's processors that only the most urgent queue may use, so that
 * short jobs need not wait for the end of a long task.
 */
export const URGENT_HEADROOM = 0.04;

/** Share of a cap up to which a gang that is wider than the cap may go; the platform allows 0.1 beyond it. */
const CAP_TOLERANCE = 0.05;

function getTier(step: OpenStep, wallMs: number): number {
  if (wallMs > step.worthlessMs) return 2;
  return step.isExcess ? 1 : 0;
}

/** Orders steps: those that still earn first, then by priority, then by due time. */
export function compareSteps(
  a: OpenStep,
  b: OpenStep,
  wallMs: number,
): number {
  return getTier(a, wallMs) - getTier(b, wallMs) || a.priority - b.priority ||
    a.dueMs - b.dueMs || (a.key < b.key ? -1 : 1);
}

/** Difference of learned slowness, as a logarithm, below which runners count as equally fast. */
const SPEED_CLASS_WIDTH = 0.14;

function getSpeedClass(runner: Runner): number {
  return Math.round(runner.slowness / SPEED_CLASS_WIDTH);
}

/** Finds the rack among a runner's labels: the last one, the kind comes first. */
export function getRack(runner: Runner): string {
  return runner.entry.labels.at(-1) ?? "";
}

const NONE_PLACED: ReadonlyMap<Runner, number> = new Map();

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

/** Plans one round. */
export function planStarts(input: PlanInput): Plan {
  const { nowMs } = input;
  const plan: Plan = { starts: [], questions: [], waits: [] };
  const rooms = new Map<Runner, Resources>();
  const poolUse = new Map<string, { used: number; capacity: number }>();

  for (const [pool, runners] of input.runnersByPool) {
    const use = { used: 0, capacity: 0 };
    for (const runner of runners) {
      if (!isPlaceable(runner, nowMs)) continue;
      rooms.set(runner, computeRoom(runner));
      use.used += runner.used.processors;
      use.capacity += runner.entry.capacity.processors;
    }
    poolUse.set(pool, use);
  }

  function getRoom(step: OpenStep, runner: Runner): Resources {
    let room = rooms.get(runner) ?? NO_RESOURCES;
    const reserved = input.reservations.get(runner.life);
    if (reserved === undefined) return room;
    for (const [key, amount] of reserved) {
      if (key !== step.key) room = subtractResources(room, amount);
    }
    return room;
  }

  function listCandidates(step: OpenStep): Runner[] {
    const { requiredLabel, resources } = step.spec;
    const found: Runner[] = [];
    for (const runner of input.runnersByPool.get(step.pool) ?? []) {
      if (!rooms.has(runner)) continue;
      const { labels, capacity } = runner.entry;
      if (requiredLabel !== undefined && !labels.includes(requiredLabel)) {
        continue;
      }
      if (fitsWithin(resources, capacity)) found.push(runner);
    }
    return found;
  }

  /** Returns how many tasks of the step fit on the runner, up to `most`. */
  function countFitting(
    step: OpenStep,
    runner: Runner,
    most: number,
    placed: ReadonlyMap<Runner, number> = NONE_PLACED,
  ): number {
    const { resources, maxPerRunner } = step.spec;
    let bound = most;
    if (maxPerRunner > 0) {
      bound = Math.min(
        bound,
        maxPerRunner - countRuns(step, runner) - (placed.get(runner) ?? 0),
      );
    }
    let room = getRoom(step, runner);
    let count = 0;
    while (count < bound && fitsWithin(resources, room)) {
      room = subtractResources(room, resources);
      count += 1;
    }
    return count;
  }

  function compareRunners(step: OpenStep, a: Runner, b: Runner): number {
    const { preferredRack } = step.spec;
    if (preferredRack !== undefined) {
      const isNearA = getRack(a) === preferredRack ? 0 : 1;
      const isNearB = getRack(b) === preferredRack ? 0 : 1;
      if (isNearA !== isNearB) return isNearA - isNearB;
    }
    const failures = a.failedJobs.size - b.failedJobs.size;
    if (failures !== 0) return failures;
    if (step.isTight) {
      const speeds = getSpeedClass(a) - getSpeedClass(b);
      if (speeds !== 0) return speeds;
    }
    // Fuller runners first, so that room for wide tasks stays in one piece.
    return getRoom(step, a).processors - getRoom(step, b).processors;
  }

  function take(step: OpenStep, runner: Runner): void {
    const room = rooms.get(runner) ?? NO_RESOURCES;
    rooms.set(runner, subtractResources(room, step.spec.resources));
    const use = poolUse.get(step.pool);
    if (use !== undefined) use.used += step.spec.resources.processors;
    if (step.workspace === undefined) return;
    const workspace = input.workspaces.get(step.workspace);
    if (workspace !== undefined) {
      workspace.used = addResources(workspace.used, step.spec.resources);
    }
  }

  function hasHeadroom(step: OpenStep, count: number): boolean {
    if (step.priority === 0) return true;
    const use = poolUse.get(step.pool);
    if (use === undefined) return false;
    // A step that could never pass the bound may still start on an idle pool.
    if (use.used === 0) return true;
    return use.used + count * step.spec.resources.processors <=
      use.capacity * (1 - URGENT_HEADROOM);
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

  function getTicket(step: OpenStep, runner: Runner): string | undefined {
    if (step.eligibility === undefined) return "";
    const ticket = input.getEligibility(step.key)?.tickets.get(runner.entry.id);
    const isValid = ticket !== undefined &&
      ticket.expiresMs >= nowMs + TICKET_MARGIN_MS;
    return isValid ? ticket.value : undefined;
  }

  function isKnownEligible(step: OpenStep, runner: Runner): boolean {
    if (step.eligibility === undefined) return true;
    return input.getEligibility(step.key)?.isEligible.get(runner.entry.id) ===
      true;
  }

  /** Places all tasks of a gang, on one rack where that is asked for and possible. */
  function placeGang(
    step: OpenStep,
    candidates: readonly Runner[],
  ): Runner[] | undefined {
    const count = step.waiting.length;
    const groups = new Map<string, Runner[]>();
    if (step.spec.singleRack) {
      for (const runner of candidates) {
        const rack = getRack(runner);
        groups.set(rack, [...groups.get(rack) ?? [], runner]);
      }
    }
    for (const group of [...groups.values(), candidates]) {
      const placed: Runner[] = [];
      for (const runner of group) {
        const fitting = countFitting(step, runner, count - placed.length);
        for (let index = 0; index < fitting; index += 1) placed.push(runner);
        if (placed.length === count) return placed;
      }
    }
    return undefined;
  }

  /**
   * Picks the runners of which it is not known whether they may run the step,
   * if one of them has room. Those without room are named as well, since the
   * answer stays true and a question of its own for each would take longer.
   */
  function pickUnknown(
    step: OpenStep,
    candidates: readonly Runner[],
  ): Runner[] {
    const known = input.getEligibility(step.key)?.isEligible;
    const unknown = candidates.filter((runner) =>
      known?.has(runner.entry.id) !== true
    );
    const withRoom = unknown.filter((runner) =>
      countFitting(step, runner, 1) > 0
    );
    if (withRoom.length === 0) return [];
    return [...new Set([...withRoom, ...unknown])];
  }

  function addWait(step: OpenStep, reason: WaitReason): void {
    plan.waits.push({ step, reason });
  }

  function findBound(step: OpenStep, count: number): WaitReason | undefined {
    if (!fitsCap(step, count)) return "workspaceCap";
    return hasHeadroom(step, count) ? undefined : "keptForUrgent";
  }

  function addQuestion(
    step: OpenStep,
    runners: readonly Runner[],
    reserve: readonly Runner[],
  ): void {
    const eligibility = input.getEligibility(step.key);
    if (eligibility !== undefined && eligibility.openQuestions > 0) return;
    const ids = [...new Set(runners.map(({ entry }) => entry.id))];
    if (ids.length === 0) return;
    plan.questions.push({
      step,
      runners: ids.slice(0, ELIGIBILITY_RUNNERS),
      reserve,
    });
  }

  function planGang(step: OpenStep, candidates: Runner[]): void {
    const count = step.waiting.length;
    const bound = findBound(step, count);
    if (bound !== undefined) return addWait(step, bound);
    const eligible = candidates.filter((runner) =>
      isKnownEligible(step, runner)
    );
    const placed = placeGang(step, eligible);
    if (placed === undefined) {
      const unknown = pickUnknown(step, candidates);
      addWait(step, unknown.length > 0 ? "noTicket" : "noRoom");
      return addQuestion(step, unknown, []);
    }
    const tickets = placed.map((runner) => getTicket(step, runner));
    if (tickets.some((ticket) => ticket === undefined)) {
      addWait(step, "noTicket");
      return addQuestion(step, placed, placed);
    }
    plan.starts.push({
      step,
      placements: placed.map((runner, at) => ({
        index: step.waiting[at] ?? 0,
        runner,
        ticket: tickets[at] ?? "",
      })),
    });
    for (const runner of placed) take(step, runner);
  }

  function planTasks(step: OpenStep, candidates: Runner[]): void {
    const placements: Placement[] = [];
    const placedHere = new Map<Runner, number>();
    const isExpired: Runner[] = [];
    let at = 0;
    for (const runner of candidates) {
      if (at >= step.waiting.length) break;
      if (!isKnownEligible(step, runner)) continue;
      const ticket = getTicket(step, runner);
      while (at < step.waiting.length) {
        if (!hasHeadroom(step, 1) || !fitsCap(step, 1)) break;
        if (countFitting(step, runner, 1, placedHere) === 0) break;
        if (ticket === undefined) {
          isExpired.push(runner);
          break;
        }
        placements.push({ index: step.waiting[at] ?? 0, runner, ticket });
        placedHere.set(runner, (placedHere.get(runner) ?? 0) + 1);
        take(step, runner);
        at += 1;
      }
    }
    if (placements.length > 0) plan.starts.push({ step, placements });
    if (at >= step.waiting.length) return;
    const bound = findBound(step, 1);
    if (bound !== undefined) return addWait(step, bound);
    const unknown = step.eligibility === undefined
      ? []
      : pickUnknown(step, candidates);
    const isAsking = isExpired.length + unknown.length > 0;
    addWait(step, isAsking ? "noTicket" : "noRoom");
    addQuestion(step, [...isExpired, ...unknown], []);
  }

  for (const step of input.steps) {
    if (step.waiting.length === 0) continue;
    const candidates = listCandidates(step)
      .sort((a, b) => compareRunners(step, a, b));
    if (candidates.length === 0) addWait(step, "noRunner");
    else if (step.spec.gang) planGang(step, candidates);
    else planTasks(step, candidates);
  }
  return plan;
}
