/**
 * Records of non-idempotent requests: a pure state machine replicated by the
 * data centre log. It decides how to handle a repeated identifier, so that a
 * request runs at most once.
 *
 * An identifier must not run again after its record has been removed:
 *
 * - An identifier with a creation time (UUID version 7) is rejected as
 *   `outcomeUnknown` once it is older than `retentionMs`. Its record is kept at
 *   least until then, so an identifier whose record was removed is always too
 *   old to run. A creation time more than `maxClockSkewMs` ahead is rejected,
 *   since its record would have to be kept longer.
 * - For an identifier without a creation time, a digest remains after its record
 *   is removed, and a resend is rejected as `outcomeUnknown`. Digests are never
 *   removed. At their limit, new identifiers without a creation time are
 *   rejected as not run; identifiers with a creation time are not affected.
 * - At the limit of records, new requests are rejected as not run. A record
 *   younger than `retentionMs` is never removed to free capacity.
 *
 * All members must use the same limits. Time comes only from commands, and only
 * the highest value counts, so a leader whose clock is behind cannot run a
 * request whose record was already removed under a previous leader.
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

/** 128 bits make a collision, which would reject a new request, practically impossible. */
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
  // Keys and runs in order of start; `orderHead` is the position of the first
  // item that has not been processed by `removeExpired`.
  let order: { key: string; runId: string }[] = [];
  let orderHead = 0;
  // Records in order of their responses; the oldest response is removed first.
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
          // The limit is enforced when new identifiers arrive, not here.
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
        `Request "${key.requestId}" was seen before and its record has been removed`,
      );
    }
    // Every record of an identifier without a time becomes a digest. Counting
    // all records enforces the limit without a separate counter.
    if (digests.size + records.size < bounds.maxDigests) return RUN_DECISION;
    return createRefusal(
      "limitReached",
      "no",
      `Cannot run request "${key.requestId}": ${digests.size} identifiers without a creation time are stored; use version 7 UUIDs`,
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
    // A late response replaces "unknown"; a response is never replaced.
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
