/** The interface of the request records: bounds, commands and decisions. */

import type { FaultKind, Ran } from "../common/mod.ts";
import type { RequestKey } from "./home.ts";
import type { RecordedAnswer } from "./types.ts";

/** Bounds of the request records; the same on all members. */
export interface RequestRecordsOptions {
  /** Age up to which a record is kept, in milliseconds. Default 600,000. */
  retentionMs?: number;
  /** How far ahead of ours an identifier's clock may be. Default 60,000. */
  maxClockSkewMs?: number;
  /** Records of all scopes. Default 100,000. */
  maxRecords?: number;
  /** Records of one scope, so that one workspace cannot use up all. Default 25,000. */
  maxRecordsPerScope?: number;
  /** Digests of forgotten identifiers without a time. Default 250,000. */
  maxDigests?: number;
  /** Larger answers are not kept. Default 65,536. */
  recordedAnswerMaxBytes?: number;
  /** Bytes of all kept answers; the oldest are dropped first. Default 33,554,432. */
  maxAnswerBytes?: number;
}

/** Records that a request is about to run, before its grant is returned. */
export interface StartCommand extends RequestKey {
  readonly type: "start";
  /** Names this run; `finish` and `forget` of another run have no effect. */
  readonly runId: string;
  /** SHA-256 of the body in hex. */
  readonly bodyHash: string;
  /** Wall time of the proposer in milliseconds. */
  readonly atMs: number;
  /** Wall time after which the run has certainly ended or its outcome stays unknown. */
  readonly endsAtMs: number;
}

/** Records the end of a run; without an answer its outcome is unknown. */
export interface FinishCommand extends RequestKey {
  readonly type: "finish";
  readonly runId: string;
  readonly atMs: number;
  readonly answer?: RecordedAnswer;
}

/** Removes the record of a run of which no byte was sent. */
export interface ForgetCommand extends RequestKey {
  readonly type: "forget";
  readonly runId: string;
  readonly atMs: number;
}

/** A change of the request records. */
export type RecordCommand = StartCommand | FinishCommand | ForgetCommand;

/** What becomes of a request whose identifier may have been seen before. */
export type RecordDecision =
  /** It has not been seen: it may run, or just this run has been recorded. */
  | { readonly kind: "run" }
  /** Its first run is under way; ask again when that has finished. */
  | { readonly kind: "wait"; readonly endsAtMs: number }
  | { readonly kind: "answer"; readonly answer: RecordedAnswer }
  | {
    readonly kind: "refuse";
    readonly fault: FaultKind;
    readonly ran: Ran;
    readonly message: string;
  };

/** A record; `state` "tooLarge" has been answered, but the answer was not kept. */
export interface RequestRecord extends RequestKey {
  readonly runId: string;
  readonly bodyHash: string;
  readonly startedAtMs: number;
  readonly endsAtMs: number;
  /** Time until which the record is kept at least. */
  readonly keepUntilMs: number;
  state: "started" | "answered" | "tooLarge" | "unknown";
  answer?: RecordedAnswer;
  /** Order among all answers; kept in snapshots so that members drop the same ones. */
  answerOrder?: number;
}

/** A query for the decision, without a change. */
export interface RecordQuery extends RequestKey {
  readonly bodyHash: string;
  readonly nowMs: number;
}

/** Counts of the request records. */
export interface RecordStatus {
  readonly records: number;
  readonly digests: number;
  readonly answerBytes: number;
}

/** The replicated request records. */
export interface RequestRecords {
  /** Applies a command; `start` returns the decision, the others whether they took effect. */
  apply(command: RecordCommand): RecordDecision | boolean;
  /** The decision for an identifier now; "run" must be confirmed by a `start`. */
  getDecision(query: RecordQuery): RecordDecision;
  getRecord(key: RequestKey): Readonly<RequestRecord> | undefined;
  /** The record of a run, for the release of a grant that a former leader gave. */
  findByRun(runId: string): Readonly<RequestRecord> | undefined;
  getStatus(): RecordStatus;
  takeSnapshot(): Uint8Array;
  restoreSnapshot(data: Uint8Array): void;
}

/** Defaults of the bounds. */
export const DEFAULT_RECORDS_OPTIONS: Readonly<
  Required<RequestRecordsOptions>
> = Object.freeze({
  retentionMs: 600_000,
  maxClockSkewMs: 60_000,
  maxRecords: 100_000,
  maxRecordsPerScope: 25_000,
  maxDigests: 250_000,
  recordedAnswerMaxBytes: 65_536,
  maxAnswerBytes: 33_554_432,
});
