/**
 * Selects the instances with a disk that vote in the work log. A small odd
 * number of voters leaves a majority on one side of a network partition. The
 * other instances are standbys, invited when a voter is lost or about to stop. A
 * stopping voter keeps its vote until a standby has taken its place, since
 * another voter may be lost right after it has exited.
 */

import { computeQuorum } from "../replicated_log/mod.ts";

/** A voting member as seen by the leader. */
export interface VoterView {
  /** Member identity. */
  readonly id: string;
  readonly instance: string;
  readonly dataCentre: string | undefined;
  /** Time since its last reply to the leader, in milliseconds. */
  readonly contactAgeMs: number;
  /** True while it waits for a standby to take its place. */
  readonly isStopping: boolean;
}

/** A member that catches up before it votes. */
export interface LearnerView {
  readonly id: string;
  readonly instance: string;
  /** Time since its last reply to the leader, or since it was added, in milliseconds. */
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
  /** Member identity of the leader. */
  readonly self: string;
  readonly voters: readonly VoterView[];
  /** Members that are being added. */
  readonly learners: readonly LearnerView[];
  /** Those that are not stopping. */
  readonly standbys: readonly StandbyView[];
}

/** Next change of the voters. */
export type VotersDecision =
  | { readonly kind: "invite"; readonly instance: string }
  | {
    readonly kind: "remove";
    readonly id: string;
    readonly memberRole: "voter" | "learner";
    readonly reason: "lost" | "stopping";
  }
  /** The leader is stopping; only another leader can remove it without interrupting calls. */
  | { readonly kind: "releaseLeadership" };

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
  for (const { dataCentre, contactAgeMs, isStopping } of input.voters) {
    if (dataCentre === undefined || contactAgeMs > LOST_VOTER_MS) continue;
    if (isStopping) continue;
    counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1);
  }
  const getCount = (standby: StandbyView) =>
    counts.get(standby.dataCentre) ?? 0;
  return input.standbys.filter(fits).sort((a, b) =>
    getCount(a) - getCount(b) || (a.instance < b.instance ? -1 : 1)
  )[0];
}

/** Returns whether the voters other than `id` have a responsive majority among themselves. */
function hasMajorityWithout(voters: readonly VoterView[], id: string): boolean {
  const others = voters.filter((voter) => voter.id !== id);
  const responsive = others.filter(({ contactAgeMs }) =>
    contactAgeMs <= MAX_CONTACT_AGE_MS
  );
  return responsive.length >= computeQuorum(others.length);
}

/** Returns the next step to remove a stopping voter once a standby has taken its place. */
function planStoppingVoter(input: VotersInput): VotersDecision | undefined {
  const { self, voters } = input;
  const stopping = voters.filter(({ isStopping }) => isStopping);
  const other = stopping.find(({ id }) =>
    id !== self && hasMajorityWithout(voters, id)
  );
  if (other !== undefined) {
    return {
      kind: "remove",
      id: other.id,
      memberRole: "voter",
      reason: "stopping",
    };
  }
  const isLeaderStopping = stopping.some(({ id }) => id === self) &&
    hasMajorityWithout(voters, self);
  return isLeaderStopping ? { kind: "releaseLeadership" } : undefined;
}

/**
 * Returns whether a stopping instance may exit: it has no vote, or no standby can
 * take its place. Its vote is worth keeping in the second case, as it may return.
 */
export function isReleasable(input: VotersInput, instance: string): boolean {
  const { voters } = input;
  if (!voters.some((voter) => voter.instance === instance)) return true;
  return input.learners.length === 0 && input.standbys.length === 0 &&
    voters.length <= computeVoterTarget(input.tolerance);
}

/** Returns the next change of the voters, or undefined if none is needed. */
export function planVoters(input: VotersInput): VotersDecision | undefined {
  const { learners, voters } = input;
  // One that is gone would keep its place, and with it all further changes, for good.
  const lostLearner = learners.find(({ instance, contactAgeMs }) =>
    contactAgeMs > LOST_VOTER_MS ||
    input.standbys.some((standby) => standby.instance === instance)
  );
  if (lostLearner !== undefined) {
    return {
      kind: "remove",
      id: lostLearner.id,
      memberRole: "learner",
      reason: "lost",
    };
  }
  if (learners.length > 0) return undefined;
  const target = computeVoterTarget(input.tolerance);
  // A voter that lost its store reconnects as a standby under the same name.
  const returned = input.standbys.find(({ instance }) =>
    voters.some((voter) => voter.instance === instance)
  );
  if (returned !== undefined) {
    return { kind: "invite", instance: returned.instance };
  }
  if (voters.length > target) {
    const decision = planStoppingVoter(input);
    if (decision !== undefined) return decision;
  }
  const silent = voters.filter(({ contactAgeMs }) =>
    contactAgeMs > MAX_CONTACT_AGE_MS
  );
  // The voter without contact for the longest time is replaced first.
  const [lost] = [...silent].sort((a, b) => b.contactAgeMs - a.contactAgeMs);
  const hasSpareVoter = voters.length > target && lost !== undefined &&
    lost.contactAgeMs > REPLACED_VOTER_MS && silent.length === 1;
  if (hasSpareVoter) {
    return { kind: "remove", id: lost.id, memberRole: "voter", reason: "lost" };
  }
  const needsVoter = voters.length < target ||
    (voters.length === target && voters.some(({ isStopping }) => isStopping));
  const standby = needsVoter
    ? pickBalancedStandby(input, () => true)
    : voters.length > target || lost === undefined
    ? undefined
    : pickBalancedStandby(input, ({ connectedMs }) =>
      lost.contactAgeMs > LOST_VOTER_MS ||
      lost.contactAgeMs > Math.max(REPLACED_VOTER_MS, connectedMs));
  if (standby === undefined) return undefined;
  return { kind: "invite", instance: standby.instance };
}
