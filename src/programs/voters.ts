/**
 * Decides which instances with a disk vote in the work log. A small odd number
 * of voters keeps a majority on one side when the instances are cut into two
 * halves; the others stand by and are invited when a voter is lost.
 */

/** A member that votes. */
export interface VoterView {
  /** Member identity. */
  readonly id: string;
  readonly instance: string;
  readonly dataCentre: string | undefined;
  /** Milliseconds since it last answered the leader. */
  readonly contactAgeMs: number;
}

/** A connected instance with a disk that is not a member. */
export interface StandbyView {
  readonly instance: string;
  readonly dataCentre: string;
  /** Milliseconds since it connected. */
  readonly connectedMs: number;
}

/** What the decision looks at. */
export interface VotersInput {
  /** Number of disks that may be lost at the same time. */
  readonly tolerance: number;
  readonly voters: readonly VoterView[];
  /** True while a member is being added. */
  readonly hasLearner: boolean;
  readonly standbys: readonly StandbyView[];
}

/** What to do next. */
export type VotersDecision =
  | { readonly kind: "invite"; readonly instance: string }
  | { readonly kind: "remove"; readonly id: string };

/** Silence after which a voter counts as lost, in milliseconds; longer than a restart. */
export const LOST_VOTER_MS = 5_000;

/** Silence after which a voter is replaced by an instance that came after it was lost, in milliseconds. */
export const REPLACED_VOTER_MS = 1_500;

/** Age of an answer up to which a voter counts as in contact, in milliseconds. */
const MAX_CONTACT_AGE_MS = 1_000;

/** Returns the number of voters of which `tolerance` may be lost. */
export function computeVoterTarget(tolerance: number): number {
  return 2 * tolerance + 1;
}

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

/** Returns the next change of the voters, if one is needed. */
export function planVoters(input: VotersInput): VotersDecision | undefined {
  const { voters } = input;
  if (input.hasLearner) return undefined;
  const target = computeVoterTarget(input.tolerance);
  // A store that was lost comes back empty under the same name.
  const returned = input.standbys.find(({ instance }) =>
    voters.some((voter) => voter.instance === instance)
  );
  if (returned !== undefined) {
    return { kind: "invite", instance: returned.instance };
  }
  const silent = voters.filter(({ contactAgeMs }) =>
    contactAgeMs > MAX_CONTACT_AGE_MS
  );
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
