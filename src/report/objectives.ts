/** Service-level objectives of workspaces. */

import { createFault } from "../common/mod.ts";

/** What an objective is about. */
export const OBJECTIVE_NAMES = Object.freeze(
  ["answeredOnTime", "answered", "waiting", "share"] as const,
);

/** The name of an objective. */
export type ObjectiveName = (typeof OBJECTIVE_NAMES)[number];

/** One objective. */
export interface Objective {
  /** Part of all events that must be good: above 0 and below 1. */
  readonly target: number;
  /**
   * Bound of a good event: milliseconds for `waiting`, distance from share
   * (0 to 1) for `share`; not used by the others.
   */
  readonly limit?: number;
}

/** The objectives of one workspace. */
export type ObjectiveSet = Readonly<Record<ObjectiveName, Objective>>;

/** The objectives of all workspaces. */
export interface Objectives {
  readonly default: ObjectiveSet;
  /** Deviations by workspace. */
  readonly workspaces: Readonly<Record<string, Partial<ObjectiveSet>>>;
}

/** Objectives of a workspace that has none of its own. The targets are a starting point for operators. */
export const DEFAULT_OBJECTIVES: ObjectiveSet = Object.freeze({
  answeredOnTime: Object.freeze({ target: 0.99 }),
  answered: Object.freeze({ target: 0.999 }),
  waiting: Object.freeze({ target: 0.99, limit: 1_000 }),
  share: Object.freeze({ target: 0.95, limit: 0.1 }),
});

function checkObjectiveSet(set: Partial<ObjectiveSet>, owner: string): void {
  for (const [name, { target, limit }] of Object.entries(set)) {
    // A target of 1 has no budget, and a burn rate could not be computed.
    if (!(target > 0 && target < 1)) {
      throw createFault(
        "badRequest",
        `Cannot use objective "${name}" of ${owner}: target ${target} is not above 0 and below 1`,
      );
    }
    if (limit !== undefined && !(limit >= 0)) {
      throw createFault(
        "badRequest",
        `Cannot use objective "${name}" of ${owner}: limit ${limit} is not 0 or more`,
      );
    }
  }
}

/** Fills in and checks objectives; fault `badRequest`. */
export function resolveObjectives(
  input: {
    default?: Partial<ObjectiveSet>;
    workspaces?: Objectives["workspaces"];
  } = {},
): Objectives {
  const workspaces = input.workspaces ?? {};
  checkObjectiveSet(input.default ?? {}, "the default");
  for (const [workspace, set] of Object.entries(workspaces)) {
    checkObjectiveSet(set, `workspace "${workspace}"`);
  }
  return { default: { ...DEFAULT_OBJECTIVES, ...input.default }, workspaces };
}

/** Returns one objective of a workspace. */
export function getObjective(
  objectives: Objectives,
  workspace: string,
  name: ObjectiveName,
): Objective {
  const own = Object.hasOwn(objectives.workspaces, workspace)
    ? objectives.workspaces[workspace]?.[name]
    : undefined;
  return own ?? objectives.default[name];
}
