/** Decides whether a request may run, given the record of its identifier. */

import type { FaultKind, Ran } from "../common/mod.ts";
import type { RequestKey } from "./home.ts";
import type {
  RecordDecision,
  RequestRecord,
  RequestRecordsOptions,
} from "./records_types.ts";

/** The decision that a request may run. */
export const RUN_DECISION: RecordDecision = Object.freeze({ kind: "run" });

/** Creates the decision to reject a request. */
export function createRefusal(
  fault: FaultKind,
  ran: Ran,
  message: string,
): RecordDecision {
  return { kind: "refuse", fault, ran, message };
}

/** Returns the decision for an identifier with a record. */
export function getKnownDecision(
  record: RequestRecord,
  bodyHash: string,
  nowMs: number,
): RecordDecision {
  const { requestId } = record;
  if (record.bodyHash !== bodyHash) {
    return createRefusal(
      "requestIdConflict",
      "no",
      `Cannot run request "${requestId}": its identifier was already used with a different body`,
    );
  }
  if (record.answer !== undefined) {
    return { kind: "answer", answer: record.answer };
  }
  if (record.state === "tooLarge") {
    return createRefusal(
      "outcomeUnknown",
      "yes",
      `Request "${requestId}" was answered, but its answer is too large to record`,
    );
  }
  if (record.state === "started" && nowMs < record.endsAtMs) {
    return { kind: "wait", endsAtMs: record.endsAtMs };
  }
  return createRefusal(
    "outcomeUnknown",
    "unknown",
    `Request "${requestId}" was started and its outcome is unknown`,
  );
}

/** Returns the decision for an identifier without a record that contains its creation time. */
export function getTimedDecision(
  key: RequestKey,
  createdAtMs: number,
  nowMs: number,
  bounds: Readonly<Required<RequestRecordsOptions>>,
): RecordDecision {
  if (createdAtMs > nowMs + bounds.maxClockSkewMs) {
    return createRefusal(
      "badRequest",
      "no",
      `Cannot run request "${key.requestId}": its identifier was created ${
        createdAtMs - nowMs
      } ms ahead of the current time`,
    );
  }
  if (createdAtMs + bounds.retentionMs <= nowMs) {
    return createRefusal(
      "outcomeUnknown",
      "unknown",
      `Cannot run request "${key.requestId}": its identifier is older than the ${bounds.retentionMs} ms for which records are kept`,
    );
  }
  return RUN_DECISION;
}
