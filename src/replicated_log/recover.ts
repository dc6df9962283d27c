/**
 * Restores a group from one surviving store after most members were permanently
 * lost. The survivor becomes the only member, and the others rejoin with empty
 * stores. Entries that only the lost members had are lost, so an operator must
 * decide this; it never happens automatically.
 */

import { createFault } from "../common/errors.ts";
import { isEmptyStore } from "./start.ts";
import type { LogMember, LogStorage, StoredLog } from "./types.ts";

/**
 * Added to the stored term. Workers refuse epochs below the highest that they
 * have seen, and the lost members may have reached terms unknown to the
 * survivor.
 */
export const RECOVERY_TERM_STEP = 1_000_000;

/** Summary of a store, for choosing the survivor. */
export interface StoreSummary {
  /** Identity that owns the store. */
  readonly member: string;
  readonly term: number;
  /** Of several survivors, the one with the highest last term, then index, has the most complete log. */
  readonly lastTerm: number;
  readonly lastIndex: number;
  readonly members: readonly LogMember[];
}

function findMembers(stored: StoredLog): readonly LogMember[] {
  const changes = stored.entries.flatMap(({ members }) =>
    members === undefined ? [] : [members]
  );
  return changes.at(-1) ?? stored.snapshot?.members ?? [];
}

/** Reads the summary of a store. Rejects with `notFound` if the store is empty. */
export async function readStoreSummary(
  storage: LogStorage,
): Promise<StoreSummary> {
  const stored = await storage.load();
  if (isEmptyStore(stored) || stored.vote === undefined) {
    throw createFault(
      "notFound",
      "Cannot find a log in the store: it is empty",
    );
  }
  const last = stored.entries.at(-1) ?? stored.snapshot;
  return {
    member: stored.vote.member,
    term: stored.vote.term,
    lastTerm: last?.term ?? 0,
    lastIndex: last?.index ?? 0,
    members: findMembers(stored),
  };
}

/**
 * Makes the member of the store the only voter of its group. The process that
 * uses the store must not be running. Entries that were not known to be
 * committed count as committed afterwards. Rejects with `notFound` for an empty
 * store and `badRequest` if the member is not a voter, since only a voter can lead.
 */
export async function restoreGroup(storage: LogStorage): Promise<StoreSummary> {
  const summary = await readStoreSummary(storage);
  const { member } = summary;
  const role = summary.members.find(({ id }) => id === member)?.role;
  if (role !== "voter") {
    throw createFault(
      "badRequest",
      `Cannot restore the group from member "${member}": its role is "${
        role ?? "none"
      }", and only a voter can lead`,
    );
  }
  const term = summary.term + RECOVERY_TERM_STEP;
  // Saves the vote first: no entry may have a term that its member has not stored.
  await storage.saveVote({ member, term });
  await storage.append([{
    index: summary.lastIndex + 1,
    term,
    kind: "members",
    data: new Uint8Array(0),
    members: [{ id: member, role: "voter" }],
  }]);
  return await readStoreSummary(storage);
}
