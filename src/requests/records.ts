/**
 * Request records of non-idempotent requests: a pure state machine that the
 * data centre log replicates. It decides what becomes of an identifier that is
 * seen again, so that a request runs at most once.
 *
 * An identifier must not run again after its record has been forgotten:
 *
 * - An identifier that carries its creation time (UUID version 7) is refused
 *   as `outcomeUnknown` once it is older than `retentionMs`. Its record is kept
 *   at least until then, so a forgotten one is always too old to run. A time
 *   further ahead than `maxClockSkewMs` is refused, since its record would have
 *   to be kept longer.
 * - An identifier without a time keeps a digest after its record has been
 *   forgotten, and a resend is refused as `outcomeUnknown`. No digest is ever
 *   dropped; at the bound, new identifiers without a time are refused as not
 *   run, while identifiers with a time are not affected.
 * - At the count bound, new requests are refused as not run; a record younger
 *   than `retentionMs` is never dropped to make room.
 *
 * All members must use the same bounds. Time comes only from commands, and
 * only its highest value counts, so a leader whose clock is behind cannot run
 * what a former leader has already forgotten.
 */

import { createHash } from "node:crypto";
import type { RequestKey } from "./home.ts";
import {
  createRefusal,
  getKnownDecision,
  getTimedDecision,
  RUN_DECISION,
} from "./record_decisions.ts";
import { decodeRecordSnapshot, encodeRecordSnapshot } from "./records_codec.ts";
import {
  DEFAULT_RECORDS_OPTIONS,
  type FinishCommand,
  type ForgetCommand,
  type RecordDecision,
  type RecordQuery,
  type RequestRecord,
  type RequestRecords,
  type RequestRecordsOptions,
  type StartCommand,
} from "./records_types.ts";
import { parseCreationTime } from "./request_id.ts";

/** Digests of 128 bits: a chance match, which refuses a new request, is out of reach. */
const DIGEST_HEX_LENGTH = 32;

function buildKey(key: RequestKey): string {
  return JSON.stringify([key.scope, key.requestId]);
}

function computeDigest(key: string): string {
  return createHash("sha256").update(key).digest("hex")
    .slice(0, DIGEST_HEX_LENGTH);
}

/** Creates empty request records. */
export function createRequestRecords(
  options: RequestRecordsOptions = {},
): RequestRecords {
  const bounds = { ...DEFAULT_RECORDS_OPTIONS, ...options };
  let records = new Map<string, RequestRecord>();
  // Keys in order of start with the run they belong to; `orderHead` is the
  // first that has not been looked at.
  let order: { key: string; runId: string }[] = [];
  let orderHead = 0;
  // Records in order of their answers, the oldest of which are dropped first.
  let answered: RequestRecord[] = [];
  let answeredHead = 0;
  let nextAnswerOrder = 0;
  let digests = new Set<string>();
  const keyByRun = new Map<string, string>();
  const countByScope = new Map<string, number>();
  let answerBytes = 0;
  let timeMs = 0;

  function addCount(scope: string, change: number): void {
    const count = (countByScope.get(scope) ?? 0) + change;
    if (count === 0) countByScope.delete(scope);
    else countByScope.set(scope, count);
  }

  function removeRecord(key: string, record: RequestRecord): void {
    records.delete(key);
    keyByRun.delete(record.runId);
    addCount(record.scope, -1);
    answerBytes -= record.answer?.body.byteLength ?? 0;
  }

  function findInOrder(position: number): RequestRecord | undefined {
    const item = order[position];
    const record = item === undefined ? undefined : records.get(item.key);
    return record?.runId === item?.runId ? record : undefined;
  }

  function removeExpired(): void {
    while (orderHead < order.length) {
      const record = findInOrder(orderHead);
      if (record !== undefined) {
        if (record.keepUntilMs > timeMs) break;
        const key = buildKey(record);
        if (parseCreationTime(record.requestId) === undefined) {
          // The bound is held by refusing new identifiers, not here.
          digests.add(computeDigest(key));
        }
        removeRecord(key, record);
      }
      orderHead += 1;
    }
    if (orderHead < 1_024 || orderHead * 2 < order.length) return;
    order = order.slice(orderHead);
    orderHead = 0;
  }

  function removeAnswers(): void {
    while (answerBytes > bounds.maxAnswerBytes) {
      const oldest = answered[answeredHead];
      if (oldest === undefined) break;
      answeredHead += 1;
      if (records.get(buildKey(oldest)) === oldest) removeAnswer(oldest);
    }
    if (answeredHead < 1_024 || answeredHead * 2 < answered.length) return;
    answered = answered.slice(answeredHead);
    answeredHead = 0;
  }

  function removeAnswer(record: RequestRecord): void {
    answerBytes -= record.answer?.body.byteLength ?? 0;
    delete record.answer;
    record.state = "tooLarge";
  }

  function getUntimedDecision(key: RequestKey): RecordDecision {
    if (digests.has(computeDigest(buildKey(key)))) {
      return createRefusal(
        "outcomeUnknown",
        "unknown",
        `Request "${key.requestId}" was seen before and its record has been forgotten`,
      );
    }
    // Every record of an untimed identifier becomes a digest; counting all
    // records keeps the bound without a second count.
    if (digests.size + records.size < bounds.maxDigests) return RUN_DECISION;
    return createRefusal(
      "limitReached",
      "no",
      `Cannot run request "${key.requestId}": ${digests.size} identifiers without a creation time are kept; use UUIDs of version 7`,
    );
  }

  function getNewDecision(key: RequestKey, nowMs: number): RecordDecision {
    const createdAtMs = parseCreationTime(key.requestId);
    const decision = createdAtMs === undefined
      ? getUntimedDecision(key)
      : getTimedDecision(key, createdAtMs, nowMs, bounds);
    if (decision !== RUN_DECISION) return decision;
    if (records.size >= bounds.maxRecords) {
      return createRefusal(
        "overloaded",
        "no",
        `Cannot run request "${key.requestId}": ${records.size} requests are recorded`,
      );
    }
    const scopeCount = countByScope.get(key.scope) ?? 0;
    if (scopeCount < bounds.maxRecordsPerScope) return RUN_DECISION;
    return createRefusal(
      "limitReached",
      "no",
      `Cannot run request "${key.requestId}": ${scopeCount} requests of "${key.scope}" are recorded`,
    );
  }

  function getDecision(query: RecordQuery): RecordDecision {
    const nowMs = Math.max(timeMs, query.nowMs);
    const record = records.get(buildKey(query));
    if (record === undefined) return getNewDecision(query, nowMs);
    return getKnownDecision(record, query.bodyHash, nowMs);
  }

  function applyStart(command: StartCommand): RecordDecision {
    const { scope, requestId, runId, bodyHash, endsAtMs } = command;
    const decision = getDecision({ scope, requestId, bodyHash, nowMs: timeMs });
    if (decision !== RUN_DECISION) return decision;
    const createdAtMs = parseCreationTime(requestId) ?? 0;
    const key = buildKey(command);
    records.set(key, {
      scope,
      requestId,
      runId,
      bodyHash,
      startedAtMs: timeMs,
      endsAtMs,
      keepUntilMs: Math.max(timeMs, createdAtMs, endsAtMs) + bounds.retentionMs,
      state: "started",
    });
    order.push({ key, runId });
    keyByRun.set(runId, key);
    addCount(scope, 1);
    return RUN_DECISION;
  }

  function findRun(command: FinishCommand | ForgetCommand) {
    const record = records.get(buildKey(command));
    return record?.runId === command.runId ? record : undefined;
  }

  function applyFinish(command: FinishCommand): boolean {
    const record = findRun(command);
    if (record === undefined) return false;
    // A late answer replaces "unknown"; nothing replaces an answer.
    if (record.state === "answered" || record.state === "tooLarge") {
      return false;
    }
    const { answer } = command;
    if (answer === undefined) {
      record.state = "unknown";
    } else if (answer.body.byteLength > bounds.recordedAnswerMaxBytes) {
      record.state = "tooLarge";
    } else {
      record.state = "answered";
      record.answer = answer;
      record.answerOrder = nextAnswerOrder++;
      answered.push(record);
      answerBytes += answer.body.byteLength;
      removeAnswers();
    }
    return true;
  }

  function applyForget(command: ForgetCommand): boolean {
    const record = findRun(command);
    if (record === undefined || record.state !== "started") return false;
    removeRecord(buildKey(command), record);
    return true;
  }

  return {
    apply(command) {
      timeMs = Math.max(timeMs, command.atMs);
      removeExpired();
      if (command.type === "start") return applyStart(command);
      if (command.type === "finish") return applyFinish(command);
      return applyForget(command);
    },
    getDecision,
    getRecord: (key) => records.get(buildKey(key)),
    findByRun: (runId) => records.get(keyByRun.get(runId) ?? ""),
    getStatus: () => ({
      records: records.size,
      digests: digests.size,
      answerBytes,
    }),
    takeSnapshot() {
      const kept: RequestRecord[] = [];
      for (let position = orderHead; position < order.length; position++) {
        const record = findInOrder(position);
        if (record !== undefined) kept.push(record);
      }
      return encodeRecordSnapshot({ timeMs, records: kept, digests });
    },
    restoreSnapshot(data) {
      const snapshot = decodeRecordSnapshot(data);
      timeMs = snapshot.timeMs;
      records = new Map();
      order = [];
      orderHead = 0;
      answered = [];
      answeredHead = 0;
      nextAnswerOrder = 0;
      answerBytes = 0;
      countByScope.clear();
      keyByRun.clear();
      digests = new Set(snapshot.digests);
      for (const record of snapshot.records) {
        const key = buildKey(record);
        records.set(key, record);
        order.push({ key, runId: record.runId });
        keyByRun.set(record.runId, key);
        addCount(record.scope, 1);
        answerBytes += record.answer?.body.byteLength ?? 0;
        if (record.answer !== undefined) answered.push(record);
        nextAnswerOrder = Math.max(
          nextAnswerOrder,
          (record.answerOrder ?? -1) + 1,
        );
      }
      answered.sort((a, b) => (a.answerOrder ?? 0) - (b.answerOrder ?? 0));
    },
  };
}
