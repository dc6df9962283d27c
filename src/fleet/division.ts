/**
 * Division of a workspace's limits among data centres.
 *
 * The total granted to a data centre is a function of the configuration
 * alone, so every data centre computes the same value. For a fixed set of
 * data centres, raising a limit never lowers the part of any data centre.
 *
 * Data centres apply versions at different times. Whatever mixture of
 * versions they have applied, the sum of their grants is at most the highest
 * limit among these versions. If a change of configuration took units from
 * one data centre and granted them to another, both would hold them until the
 * first one applied the cut. Therefore only transfers move units between data
 * centres.
 *
 * - Each unit of a limit belongs to one data centre. Units up to the highest
 *   limit so far keep their data centre, even if the limit is lowered.
 * - An added data centre is granted a part of the units above that limit only.
 *   It gets the rest by transfers.
 * - A removed data centre ("leaving") keeps its units, and grants and cuts of
 *   them still apply to it. It returns what it holds by transfers out.
 * - It is closed once it has returned everything. Its granted amount is then
 *   frozen, and later grants and cuts go to the other data centres.
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

// FNV-1a hash. Spreads the remainders of small limits, such as one accelerator,
// over the data centres; otherwise the first one would get all of them.
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

// Each closing depends on the units of every data centre after the previous
// closing, so the units of all of them are computed.
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
    const reassigned = (units.get(closing.dataCentre) ?? 0) - granted;
    units.set(closing.dataCentre, granted);
    const heirs = sets[closing.heirs] ?? [];
    for (const heir of heirs) {
      const part = computePart(reassigned, heirs, heir, rotation);
      units.set(heir, (units.get(heir) ?? 0) + part);
    }
  }
  return units.get(dataCentre) ?? 0;
}

/** The parts of a state or a draft that `computeGranted` reads. */
export interface DivisionSource {
  readonly workspaces: { get(name: string): { limits: Limits } | undefined };
  readonly divisions: { get(name: string): Division | undefined };
  readonly dataCentreSets: DataCentreSets;
}

/**
 * Computes the grants of `workspace` to `dataCentre` minus the cuts, at the
 * version of `state`. An amount can be negative after closings and cuts.
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

/** Computes the sum of the grants to all data centres; equals the workspace's limits. */
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

/** Extends a division to cover `limits`; units above the tops go to the data centres of `currentSet`. */
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

/**
 * Freezes the amount granted to `dataCentre`; its later grants and cuts go to
 * the data centres of `currentSet`. Returns `undefined` when the division does
 * not include `dataCentre`.
 */
export function closeDivision(
  state: DivisionSource,
  workspace: string,
  dataCentre: string,
  currentSet: number,
): Division | undefined {
  const division = state.divisions.get(workspace);
  if (division === undefined) return undefined;
  const isIncluded = listUsedSets(division).some((set) =>
    state.dataCentreSets[set]?.includes(dataCentre)
  );
  if (!isIncluded) return undefined;
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
