/** Service-level objectives of workspaces. */

import { createFault } from "../common/mod.ts";

/** Names of the objectives: answers within the deadline, all answers, waiting time, fair share. */
export const OBJECTIVE_NAMES = Object.freeze(
  ["answeredOnTime", "answered", "waiting", "share"] as const,
);

/** Name of an objective. */
export type ObjectiveName = (typeof OBJECTIVE_NAMES)[number];

/** Service-level objective. */
export interface Objective {
  /** Fraction of events that must be good, above 0 and below 1. */
  readonly target: number;
  /**
   * Largest value of a good event: milliseconds for `waiting`, shortfall from the
   * fair share (0 to 1) for `share`. Not used by the other objectives.
   */
  readonly limit?: number;
}

/** The objectives of one workspace. */
export type ObjectiveSet = Readonly<Record<ObjectiveName, Objective>>;

/** The objectives of all workspaces. */
export interface Objectives {
  readonly default: ObjectiveSet;
  /** Overrides by workspace. */
  readonly workspaces: Readonly<Record<string, Partial<ObjectiveSet>>>;
}

/** Objectives of workspaces without overrides; a starting point for operators. */
export const DEFAULT_OBJECTIVES: ObjectiveSet = Object.freeze({
  answeredOnTime: Object.freeze({ target: 0.99 }),
  answered: Object.freeze({ target: 0.999 }),
  waiting: Object.freeze({ target: 0.99, limit: 1_000 }),
  share: Object.freeze({ target: 0.95, limit: 0.1 }),
});

function checkObjectiveSet(set: Partial<ObjectiveSet>, owner: string): void {
  for (const [name, { target, limit }] of Object.entries(set)) {
    // A target of 1 leaves no error budget, so a burn rate cannot be computed.
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

/** Validates objectives and fills in the defaults. Fault `badRequest` if one is invalid. */
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

/** Returns an objective of a workspace, falling back to the default. */
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
