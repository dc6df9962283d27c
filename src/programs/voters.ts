/**
 * Selects the instances with a disk that vote in the work log. A small odd
 * number of voters leaves a majority on one side of a network partition. The
 * other instances are standbys, invited when a voter is lost.
 */

/** A voting member as seen by the leader. */
export interface VoterView {
  /** Member identity. */
  readonly id: string;
  readonly instance: string;
  readonly dataCentre: string | undefined;
  /** Time since its last reply to the leader, in milliseconds. */
  readonly contactAgeMs: number;
}

/** A connected instance with a disk that is not a member. */
export interface StandbyView {
  readonly instance: string;
  readonly dataCentre: string;
  /** Time since it connected, in milliseconds. */
  readonly connectedMs: number;
}

/** Input of `planVoters`. */
export interface VotersInput {
  /** Number of disks that may be lost at the same time. */
  readonly tolerance: number;
  readonly voters: readonly VoterView[];
  /** True while a member is being added. */
  readonly hasLearner: boolean;
  readonly standbys: readonly StandbyView[];
}

/** Next change of the voters. */
export type VotersDecision =
  | { readonly kind: "invite"; readonly instance: string }
  | { readonly kind: "remove"; readonly id: string };

/** Time without contact after which a voter counts as lost, in milliseconds; longer than a restart. */
export const LOST_VOTER_MS = 5_000;

/** Time without contact after which a standby that connected later may replace a voter, in milliseconds. */
export const REPLACED_VOTER_MS = 1_500;

/** Age of the last reply up to which a voter counts as responsive, in milliseconds. */
const MAX_CONTACT_AGE_MS = 1_000;

/** Returns the number of voters needed to tolerate the loss of `tolerance` of them. */
export function computeVoterTarget(tolerance: number): number {
  return 2 * tolerance + 1;
}

/** Picks a standby from the data centre with the fewest voters. */
function pickBalancedStandby(
  input: VotersInput,
  fits: (standby: StandbyView) => boolean,
): StandbyView | undefined {
  const counts = new Map<string, number>();
  for (const { dataCentre, contactAgeMs } of input.voters) {
    if (dataCentre === undefined || contactAgeMs > LOST_VOTER_MS) continue;
    counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1);
  }
  const getCount = (standby: StandbyView) =>
    counts.get(standby.dataCentre) ?? 0;
  return input.standbys.filter(fits).sort((a, b) =>
    getCount(a) - getCount(b) || (a.instance < b.instance ? -1 : 1)
  )[0];
}

/** Returns the next change of the voters, or undefined if none is needed. */
export function planVoters(input: VotersInput): VotersDecision | undefined {
  const { voters } = input;
  if (input.hasLearner) return undefined;
  const target = computeVoterTarget(input.tolerance);
  // A voter that lost its store reconnects as a standby under the same name.
  const returned = input.standbys.find(({ instance }) =>
    voters.some((voter) => voter.instance === instance)
  );
  if (returned !== undefined) {
    return { kind: "invite", instance: returned.instance };
  }
  const silent = voters.filter(({ contactAgeMs }) =>
    contactAgeMs > MAX_CONTACT_AGE_MS
  );
  // The voter without contact for the longest time is replaced first.
  const [lost] = [...silent].sort((a, b) => b.contactAgeMs - a.contactAgeMs);
  const hasSpareVoter = voters.length > target && lost !== undefined &&
    lost.contactAgeMs > REPLACED_VOTER_MS && silent.length === 1;
  if (hasSpareVoter) return { kind: "remove", id: lost.id };
  const isBelowTarget = voters.length < target;
  const standby = isBelowTarget
    ? pickBalancedStandby(input, () => true)
    : voters.length > target || lost === undefined
    ? undefined
    : pickBalancedStandby(input, ({ connectedMs }) =>
      lost.contactAgeMs > LOST_VOTER_MS ||
      lost.contactAgeMs > Math.max(REPLACED_VOTER_MS, connectedMs));
  if (standby === undefined) return undefined;
  return { kind: "invite", instance: standby.instance };
}
