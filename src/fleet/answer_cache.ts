/**
 * Answers to change identifiers, for resends after a lost answer.
 *
 * The last `maxCount` answers are kept whole. Past that, a resend with an
 * expected version is refused as `versionConflict` by the version itself, and
 * withdrawals and grants are final by their key identifier. Only an accepted
 * change without an expected version could be applied twice and thereby
 * revert a later change; its identifier is kept as a fingerprint, and a
 * resend is refused as `outcomeUnknown`.
 */

import { z } from "zod";
import {
  createFault,
  type FaultKind,
  isFaultKind,
  renderFault,
} from "../common/mod.ts";
import { computeFingerprint, createFingerprintSet } from "./fingerprints.ts";
import { formatValue } from "./format_value.ts";
import type { ChangeAnswer, FleetChange } from "./types.ts";

/** Answers kept whole by default; a day has 19,000 changes. */
export const CACHED_ANSWER_COUNT = 20_000;
/** Fingerprints of accepted changes without an expected version; 10 days of changes. */
export const EVICTED_CHANGE_COUNT = 200_000;

const faultSchema = z.strictObject({
  kind: z.custom<FaultKind>(isFaultKind),
  message: z.string(),
  ran: z.enum(["no", "yes", "unknown"]),
  details: z.record(z.string(), z.unknown()).optional(),
});

/** The form of encoded answers. */
export const answerCacheSchema = z.strictObject({
  answers: z.array(z.tuple([
    z.string(),
    z.number(),
    z.boolean(),
    z.union([z.int(), faultSchema]),
  ])),
  forgotten: z.string(),
});

/** Encoded answers. */
export type AnswerCacheRows = z.infer<typeof answerCacheSchema>;

interface Entry {
  /** Fingerprint of everything but the identifier. */
  content: number;
  /** Whether a second application could revert a later change. */
  canRevert: boolean;
  answer: ChangeAnswer;
}

/** Answers to recent changes. */
export interface AnswerCache {
  /** The answer to a resend, if `change` is one. */
  findRetryAnswer(change: FleetChange): ChangeAnswer | undefined;
  find(changeId: string): ChangeAnswer | undefined;
  record(change: FleetChange, answer: ChangeAnswer): void;
  toRows(): AnswerCacheRows;
  restore(rows: AnswerCacheRows): void;
}

function computeContent(change: FleetChange): number {
  const { expectedVersion, operations } = change;
  return computeFingerprint(JSON.stringify([expectedVersion, operations]));
}

function isRevertible(change: FleetChange, answer: ChangeAnswer): boolean {
  return answer.accepted && change.expectedVersion === undefined &&
    change.operations.some((operation) =>
      operation.type !== "withdrawKey" && operation.type !== "grantKey"
    );
}

/** Creates an empty memory of at most `maxCount` whole answers. */
export function createAnswerCache(maxCount: number): AnswerCache {
  const entries = new Map<string, Entry>();
  const forgotten = createFingerprintSet(EVICTED_CHANGE_COUNT);

  function removeOldest(): void {
    const [oldest] = entries;
    if (oldest === undefined) return;
    const [changeId, entry] = oldest;
    entries.delete(changeId);
    if (entry.canRevert) forgotten.add(changeId);
  }

  return {
    findRetryAnswer(change) {
      const entry = entries.get(change.changeId);
      const id = formatValue(change.changeId);
      if (entry === undefined) {
        if (!forgotten.has(change.changeId)) return undefined;
        const fault = createFault(
          "outcomeUnknown",
          `Cannot apply change: changeId: ${id} may have been applied, and its answer is no longer kept`,
        );
        return { accepted: false, fault: renderFault(fault) };
      }
      if (entry.content === computeContent(change)) return entry.answer;
      const fault = createFault(
        "requestIdConflict",
        `Cannot apply change: changeId: ${id} was used for a change with other content`,
      );
      return { accepted: false, fault: renderFault(fault) };
    },
    find: (changeId) => entries.get(changeId)?.answer,
    record(change, answer) {
      entries.set(change.changeId, {
        content: computeContent(change),
        canRevert: isRevertible(change, answer),
        answer,
      });
      while (entries.size > maxCount) removeOldest();
    },
    toRows: () => ({
      answers: [...entries].map(([changeId, entry]) => [
        changeId,
        entry.content,
        entry.canRevert,
        entry.answer.accepted ? entry.answer.version : entry.answer.fault,
      ]) as AnswerCacheRows["answers"],
      forgotten: forgotten.encode(),
    }),
    restore(rows) {
      entries.clear();
      for (const [changeId, content, reverts, outcome] of rows.answers) {
        const answer = typeof outcome === "number"
          ? { accepted: true as const, version: outcome }
          : { accepted: false as const, fault: outcome as never };
        entries.set(changeId, { content, canRevert: reverts, answer });
      }
      forgotten.restore(rows.forgotten);
    },
  };
}
