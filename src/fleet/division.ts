/**
 * Division of a workspace's limits among data centres.
 *
 * What a data centre has been granted in total is a function of the
 * configuration alone, so every data centre computes the same. For a fixed
 * set of data centres it never falls when the limit rises, for any data
 * centre. This matters because data centres apply versions at different
 * times: whatever mixture of versions they have applied, the sum of what they
 * have been granted is at most the highest limit among these versions. A
 * division that moved units from one data centre to another by a cut here and
 * a grant there would break this while the cut is not applied yet. Units move
 * between data centres by transfers only.
 *
 * - Each unit of a limit belongs to one data centre. The units up to the
 *   highest limit so far keep their data centre, also across a lowering.
 * - A data centre that is added gets its part of units above that limit only;
 *   the rest it gets by transfers.
 * - A data centre that is removed ("leaving") keeps its units and goes on
 *   taking grants and cuts of them; it gives back what it holds by its own
 *   transfers out.
 * - Once it has given back everything it is closed. What it had been granted
 *   then stays as it is, and the other data centres take its later grants
 *   and cuts.
 */

import { addLimits, buildLimits, mergeLimits, NO_LIMITS } from "./limits.ts";
import {
  type Division,
  LIMIT_NAMES,
  type LimitName,
  type Limits,
} from "./types.ts";

/** The sets of data centres that divisions refer to. */
export type DataCentreSets = readonly (readonly string[])[];

// FNV-1a. Spreads the remainders of small limits, such as one accelerator,
// over the data centres instead of giving all of them to the first.
function computeRotation(workspace: string, limit: LimitName): number {
  let hash = 0x811c9dc5;
  for (const character of `${workspace}/${limit}`) {
    hash = Math.imul(hash ^ character.codePointAt(0)!, 0x01000193) >>> 0;
  }
  return hash;
}

function computePart(
  amount: number,
  set: readonly string[],
  dataCentre: string,
  rotation: number,
): number {
  const index = set.indexOf(dataCentre);
  if (index < 0 || amount === 0) return 0;
  const size = Math.abs(amount);
  const rank = (index + rotation) % set.length;
  const part = Math.floor(size / set.length) +
    (rank < size % set.length ? 1 : 0);
  return amount < 0 ? -part : part;
}

interface UnitQuery {
  sets: DataCentreSets;
  division: Division;
  limit: LimitName;
  amount: number;
  rotation: number;
}

function computeSegmentUnits(query: UnitQuery, dataCentre: string): number {
  const { division, limit, amount, rotation } = query;
  let floor = 0;
  let units = 0;
  for (const segment of division.segments) {
    const top = segment.tops[limit];
    const covered = Math.max(0, Math.min(amount, top) - floor);
    const set = query.sets[segment.set] ?? [];
    units += computePart(covered, set, dataCentre, rotation);
    floor = top;
  }
  return units;
}

function listUsedSets(division: Division): number[] {
  return [
    ...division.segments.map((segment) => segment.set),
    ...division.closings.map((closing) => closing.heirs),
  ];
}

// Each closing builds on the function that was valid before it, so the units
// of all data centres are carried from one closing to the next.
function computeUnits(query: UnitQuery, dataCentre: string): number {
  const { division, limit, rotation, sets } = query;
  if (division.closings.length === 0) {
    return computeSegmentUnits(query, dataCentre);
  }
  const names = new Set(
    listUsedSets(division).flatMap((set) => sets[set] ?? []),
  );
  const units = new Map<string, number>();
  for (const name of names) units.set(name, computeSegmentUnits(query, name));
  for (const closing of division.closings) {
    const granted = closing.granted[limit];
    const orphaned = (units.get(closing.dataCentre) ?? 0) - granted;
    units.set(closing.dataCentre, granted);
    const heirs = sets[closing.heirs] ?? [];
    for (const heir of heirs) {
      const part = computePart(orphaned, heirs, heir, rotation);
      units.set(heir, (units.get(heir) ?? 0) + part);
    }
  }
  return units.get(dataCentre) ?? 0;
}

/** What `computeGranted` reads of a state or a draft. */
export interface DivisionSource {
  readonly workspaces: { get(name: string): { limits: Limits } | undefined };
  readonly divisions: { get(name: string): Division | undefined };
  readonly dataCentreSets: DataCentreSets;
}

/**
 * Computes the sum of grants minus cuts that `dataCentre` has for `workspace` at
 * the version of `state`. A part can be negative after closings and cuts.
 */
export function computeGranted(
  state: DivisionSource,
  workspace: string,
  dataCentre: string,
): Limits {
  const division = state.divisions.get(workspace);
  if (division === undefined) return NO_LIMITS;
  const limits = state.workspaces.get(workspace)?.limits ?? NO_LIMITS;
  return buildLimits((limit) =>
    computeUnits(
      {
        sets: state.dataCentreSets,
        division,
        limit,
        amount: limits[limit],
        rotation: computeRotation(workspace, limit),
      },
      dataCentre,
    )
  );
}

/** Computes what all data centres together have been granted; equals the workspace's limits. */
export function computeGrantedSum(
  state: DivisionSource,
  workspace: string,
): Limits {
  const names = new Set(state.dataCentreSets.flat());
  let sum = NO_LIMITS;
  for (const name of names) {
    sum = addLimits(sum, computeGranted(state, workspace, name));
  }
  return sum;
}

/** Extends a division so that it covers `limits`; units above the tops go to `currentSet`. */
export function updateDivision(
  division: Division | undefined,
  limits: Limits,
  currentSet: number,
): Division {
  const segments = division?.segments ?? [];
  const closings = division?.closings ?? [];
  const last = segments.at(-1);
  if (last === undefined) {
    return { segments: [{ set: currentSet, tops: limits }], closings };
  }
  const isCovered = LIMIT_NAMES.every((name) =>
    limits[name] <= last.tops[name]
  );
  if (division !== undefined && isCovered) return division;
  const segment = { set: currentSet, tops: mergeLimits(last.tops, limits) };
  const kept = last.set === currentSet ? segments.slice(0, -1) : segments;
  return { segments: [...kept, segment], closings };
}

/** Freezes what `dataCentre` has been granted; `currentSet` takes its later grants and cuts. */
export function closeDivision(
  state: DivisionSource,
  workspace: string,
  dataCentre: string,
  currentSet: number,
): Division | undefined {
  const division = state.divisions.get(workspace);
  if (division === undefined) return undefined;
  const takesPart = listUsedSets(division).some((set) =>
    state.dataCentreSets[set]?.includes(dataCentre)
  );
  if (!takesPart) return undefined;
  const granted = computeGranted(state, workspace, dataCentre);
  return {
    segments: division.segments,
    closings: [...division.closings, {
      dataCentre,
      granted,
      heirs: currentSet,
    }],
  };
}
