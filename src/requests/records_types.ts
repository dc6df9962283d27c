/** Types of the request records: limits, commands and decisions. */

import type { FaultKind, Ran } from "../common/mod.ts";
import type { RequestKey } from "./home.ts";
import type { RecordedAnswer } from "./types.ts";

/** Limits of the request records; must be the same on all members. */
export interface RequestRecordsOptions {
  /** Minimum retention of a record in milliseconds. Default 600,000. */
  retentionMs?: number;
  /**
   * How far in the future the creation time of an identifier may be, in
   * milliseconds. Default 60,000.
   */
  maxClockSkewMs?: number;
  /** Maximum records of all scopes. Default 100,000. */
  maxRecords?: number;
  /** Maximum records of one scope, so that one workspace cannot use up all. Default 25,000. */
  maxRecordsPerScope?: number;
  /** Maximum digests of removed identifiers without a creation time. Default 250,000. */
  maxDigests?: number;
  /** Maximum size of a stored response body. Default 65,536. */
  recordedAnswerMaxBytes?: number;
  /**
   * Maximum total size of stored response bodies; the oldest are removed first.
   * Default 33,554,432.
   */
  maxAnswerBytes?: number;
}

/** Records that a request is about to run, before its grant is returned. */
export interface StartCommand extends RequestKey {
  readonly type: "start";
  /** Identifies this run; `finish` and `forget` of another run have no effect. */
  readonly runId: string;
  /** SHA-256 of the body in hex. */
  readonly bodyHash: string;
  /** Wall time of the proposer in milliseconds. */
  readonly atMs: number;
  /** Wall time by which the run has ended or its outcome is considered unknown. */
  readonly endsAtMs: number;
}

/** Records the end of a run; without `answer` its outcome is unknown. */
export interface FinishCommand extends RequestKey {
  readonly type: "finish";
  readonly runId: string;
  readonly atMs: number;
  readonly answer?: RecordedAnswer;
}

/** Removes the record of a run for which no byte was sent. */
export interface ForgetCommand extends RequestKey {
  readonly type: "forget";
  readonly runId: string;
  readonly atMs: number;
}

/** A change of the request records. */
export type RecordCommand = StartCommand | FinishCommand | ForgetCommand;

/** How to handle a request whose identifier may have been seen before. */
export type RecordDecision =
  /** The identifier is new and may run, or this run has just been recorded. */
  | { readonly kind: "run" }
  /** The first run is in progress; query again once it has ended. */
  | { readonly kind: "wait"; readonly endsAtMs: number }
  | { readonly kind: "answer"; readonly answer: RecordedAnswer }
  | {
    readonly kind: "refuse";
    readonly fault: FaultKind;
    readonly ran: Ran;
    readonly message: string;
  };

/** A record; in state "tooLarge" a response was received but is not stored. */
export interface RequestRecord extends RequestKey {
  readonly runId: string;
  readonly bodyHash: string;
  readonly startedAtMs: number;
  readonly endsAtMs: number;
  /** Time until which the record must be kept. */
  readonly keepUntilMs: number;
  state: "started" | "answered" | "tooLarge" | "unknown";
  answer?: RecordedAnswer;
  /** Order among all responses; part of snapshots so that all members remove the same ones. */
  answerOrder?: number;
}

/** A read-only query for a decision. */
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
  /** Applies a command; returns the decision for `start`, otherwise whether it had an effect. */
  apply(command: RecordCommand): RecordDecision | boolean;
  /** Returns the current decision for an identifier; "run" must be confirmed by a `start`. */
  getDecision(query: RecordQuery): RecordDecision;
  getRecord(key: RequestKey): Readonly<RequestRecord> | undefined;
  /** Finds the record of a run, also for a grant issued by a previous leader. */
  findByRun(runId: string): Readonly<RequestRecord> | undefined;
  getStatus(): RecordStatus;
  takeSnapshot(): Uint8Array;
  restoreSnapshot(data: Uint8Array): void;
}

/** Default limits. */
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
