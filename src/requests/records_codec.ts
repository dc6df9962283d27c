/** Encodes request record commands and snapshots as JSON, with bodies in base64. */

import { Buffer } from "node:buffer";
import { createFault } from "../common/mod.ts";
import type { RecordCommand, RequestRecord } from "./records_types.ts";
import type { RecordedAnswer } from "./types.ts";

/** The content of a snapshot; records are in order of start. */
export interface RecordSnapshot {
  readonly timeMs: number;
  readonly records: readonly RequestRecord[];
  readonly digests: Iterable<string>;
}

interface StoredAnswer {
  status: number;
  contentType: string;
  body: string;
}

const SNAPSHOT_VERSION = 1;

function encodeAnswer(answer: RecordedAnswer): StoredAnswer {
  const { status, contentType, body } = answer;
  return { status, contentType, body: Buffer.from(body).toString("base64") };
}

function decodeAnswer(stored: StoredAnswer): RecordedAnswer {
  const { status, contentType, body } = stored;
  return {
    status,
    contentType,
    body: new Uint8Array(Buffer.from(body, "base64")),
  };
}

function encodeJson(value: unknown): Uint8Array {
  return new Uint8Array(Buffer.from(JSON.stringify(value)));
}

function decodeJson(data: Uint8Array): unknown {
  return JSON.parse(Buffer.from(data).toString());
}

/** Encodes a command for the log. */
export function encodeRecordCommand(command: RecordCommand): Uint8Array {
  if (command.type !== "finish" || command.answer === undefined) {
    return encodeJson(command);
  }
  return encodeJson({ ...command, answer: encodeAnswer(command.answer) });
}

/** Decodes a command from the log. */
export function decodeRecordCommand(data: Uint8Array): RecordCommand {
  const command = decodeJson(data) as RecordCommand & { answer?: StoredAnswer };
  if (command.type !== "finish" || command.answer === undefined) return command;
  return { ...command, answer: decodeAnswer(command.answer) };
}

/** Encodes a snapshot. */
export function encodeRecordSnapshot(snapshot: RecordSnapshot): Uint8Array {
  return encodeJson({
    version: SNAPSHOT_VERSION,
    timeMs: snapshot.timeMs,
    records: snapshot.records.map((record) =>
      record.answer === undefined
        ? record
        : { ...record, answer: encodeAnswer(record.answer) }
    ),
    digests: [...snapshot.digests],
  });
}

/** Decodes a snapshot; throws `internal` for an unknown version. */
export function decodeRecordSnapshot(data: Uint8Array): RecordSnapshot {
  const stored = decodeJson(data) as {
    version: number;
    timeMs: number;
    records: (Omit<RequestRecord, "answer"> & { answer?: StoredAnswer })[];
    digests: string[];
  };
  if (stored.version !== SNAPSHOT_VERSION) {
    throw createFault(
      "internal",
      `Cannot restore request records: snapshot version ${stored.version} is not ${SNAPSHOT_VERSION}`,
    );
  }
  const records = stored.records.map(({ answer, ...record }) =>
    answer === undefined ? record : { ...record, answer: decodeAnswer(answer) }
  );
  return { timeMs: stored.timeMs, records, digests: stored.digests };
}
