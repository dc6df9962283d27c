/**
 * Cache of answers by change identifier. It makes it safe to retry a change
 * whose answer was lost.
 *
 * The last `maxCount` answers are kept in full. A retry of an older change
 * with an expected version fails the version check (`versionConflict`), and
 * withdrawals and grants are final by key identifier. Only an accepted change
 * without an expected version could be applied twice and so revert a later
 * change. Its identifier is kept as a fingerprint, and a retry is rejected as
 * `outcomeUnknown`.
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

/** Default number of answers kept in full; a day has 19,000 changes. */
export const CACHED_ANSWER_COUNT = 20_000;
/** Number of fingerprints kept of accepted changes without an expected version; 10 days of changes. */
export const EVICTED_CHANGE_COUNT = 200_000;

const faultSchema = z.strictObject({
  kind: z.custom<FaultKind>(isFaultKind),
  message: z.string(),
  ran: z.enum(["no", "yes", "unknown"]),
  details: z.record(z.string(), z.unknown()).optional(),
});

/** Schema of the encoded cache. */
export const answerCacheSchema = z.strictObject({
  answers: z.array(z.tuple([
    z.string(),
    z.number(),
    z.boolean(),
    z.union([z.int(), faultSchema]),
  ])),
  // Fingerprints of evicted changes that could revert a later one.
  forgotten: z.string(),
});

/** The encoded cache. */
export type AnswerCacheRows = z.infer<typeof answerCacheSchema>;

interface Entry {
  /** Fingerprint of the change without its identifier. */
  content: number;
  /** Whether applying the change again could revert a later change. */
  canRevert: boolean;
  answer: ChangeAnswer;
}

/** Answers to recent changes, by change identifier. */
export interface AnswerCache {
  /** Returns the answer to a retry; `undefined` if `change` is new. */
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

/** Creates an empty cache that keeps at most `maxCount` answers in full. */
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
