/** Member identities: `instance`, or `instance#incarnation` after a lost store. */

import type { Clock } from "../common/clock.ts";
import type { Random } from "../common/random.ts";
import type { LogMember } from "./types.ts";

const INCARNATION_RANDOM_BOUND = 2 ** 31;

/** Splits a member identity into its parts. */
export function parseMemberId(
  id: string,
): { instance: string; incarnation: string | undefined } {
  const at = id.indexOf("#");
  if (at < 0) return { instance: id, incarnation: undefined };
  return { instance: id.slice(0, at), incarnation: id.slice(at + 1) };
}

/** Returns whether two identities belong to the same instance. */
export function hasSameInstance(a: string, b: string): boolean {
  return parseMemberId(a).instance === parseMemberId(b).instance;
}

/**
 * Creates an identity that the instance has not used before. Wall time alone
 * could repeat after the clock is set back, so random digits are added. The
 * random source must not start from the same seed in each process.
 */
export function createMemberId(
  instance: string,
  sources: { clock: Clock; random: Random },
): string {
  const time = Math.floor(sources.clock.wallTime()).toString(36);
  const randomPart = sources.random.nextInt(INCARNATION_RANDOM_BOUND).toString(
    36,
  );
  return `${instance}#${time}-${randomPart}`;
}

/** Returns whether a member counts in quorums. */
export function hasVote(member: LogMember): boolean {
  return member.role !== "learner";
}

/** Finds a member by its identity. */
export function findMember(
  members: readonly LogMember[],
  id: string,
): LogMember | undefined {
  return members.find((member) => member.id === id);
}
