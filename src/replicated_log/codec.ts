/**
 * Binary encoding of messages and stored records: a JSON header, which is easy
 * to inspect and extend, followed by the raw bytes of commands and snapshots,
 * which JSON would inflate.
 */

import { Buffer } from "node:buffer";
import { z } from "zod";
import { createFault } from "../common/errors.ts";
import type {
  LogEntry,
  LogEntryKind,
  LogMember,
  LogMessage,
  LogSnapshot,
} from "./types.ts";

const LENGTH_BYTES = 4;

const CODES_BY_KIND: Readonly<Record<LogEntryKind, string>> = Object.freeze({
  command: "c",
  members: "m",
  noop: "n",
});

const KINDS_BY_CODE: Readonly<Record<string, LogEntryKind>> = Object.freeze({
  c: "command",
  m: "members",
  n: "noop",
});

const integer = z.number().int().nonnegative();
const role = z.enum(["voter", "witness"]);
const member = z.strictObject({
  id: z.string(),
  role: z.enum(["voter", "witness", "learner"]),
  promoteTo: role.optional(),
});
const members = z.array(member);
/** Term, kind code, data length, and the members if there are any. */
const entry = z.tuple([integer, z.enum(["c", "m", "n"]), integer, members])
  .or(z.tuple([integer, z.enum(["c", "m", "n"]), integer]));
const entries = z.array(entry);

const to = z.string();
const term = integer;
const echoedFields = { round: integer, sentAtMs: z.number() };

const messageHeader = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("voteRequest"),
    to,
    term,
    preVote: z.boolean(),
    handover: z.boolean(),
    witness: z.boolean(),
    lastIndex: integer,
    lastTerm: integer,
  }),
  z.strictObject({
    kind: z.literal("voteReply"),
    to,
    term,
    preVote: z.boolean(),
    granted: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal("append"),
    to,
    term,
    prevIndex: integer,
    prevTerm: integer,
    entries,
    commitIndex: integer,
    ...echoedFields,
  }),
  z.strictObject({
    kind: z.literal("appendReply"),
    to,
    term,
    matched: z.boolean(),
    matchIndex: integer,
    ...echoedFields,
  }),
  z.strictObject({
    kind: z.literal("snapshot"),
    to,
    term,
    index: integer,
    snapshotTerm: integer,
    members,
    offset: integer,
    totalBytes: integer,
    ...echoedFields,
  }),
  z.strictObject({
    kind: z.literal("snapshotReply"),
    to,
    term,
    index: integer,
    receivedBytes: integer,
    installed: z.boolean(),
    ...echoedFields,
  }),
  z.strictObject({ kind: z.literal("timeoutNow"), to, term }),
  z.strictObject({ kind: z.literal("joinRequest"), to, role }),
  z.strictObject({
    kind: z.literal("joinReply"),
    to,
    leader: z.string().optional(),
  }),
  z.strictObject({
    kind: z.literal("historyRequest"),
    to,
    nonce: z.string(),
  }),
  z.strictObject({
    kind: z.literal("historyReply"),
    to,
    nonce: z.string(),
    hasHistory: z.boolean(),
    isIntact: z.boolean().optional(),
  }),
]);

const entriesHeader = z.strictObject({
  first: integer,
  reset: z.boolean().optional(),
  entries,
});

const snapshotHeader = z.strictObject({ index: integer, term, members });

type EncodedEntry = z.infer<typeof entry>;

function encodeParts(
  header: unknown,
  blobs: readonly Uint8Array[],
): Uint8Array {
  const text = Buffer.from(JSON.stringify(header));
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32LE(text.length);
  return Buffer.concat([length, text, ...blobs]);
}

function decodeParts<T>(
  bytes: Uint8Array,
  schema: z.ZodType<T>,
): { header: T; blob: Uint8Array } {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
  const headerEnd = buffer.length < LENGTH_BYTES
    ? Infinity
    : LENGTH_BYTES + buffer.readUInt32LE(0);
  if (headerEnd > buffer.length) {
    throw createFault(
      "badRequest",
      `Cannot decode a log record of ${buffer.length} bytes: its header is truncated`,
    );
  }
  try {
    const text = buffer.toString("utf8", LENGTH_BYTES, headerEnd);
    const header = schema.parse(JSON.parse(text));
    return { header, blob: buffer.subarray(headerEnd) };
  } catch (cause) {
    throw createFault(
      "badRequest",
      "Cannot decode the header of a log record",
      {
        cause,
      },
    );
  }
}

function toEncodedEntry(source: LogEntry): EncodedEntry {
  const code = CODES_BY_KIND[source.kind] as "c" | "m" | "n";
  const { term, data, members } = source;
  if (members === undefined) return [term, code, data.length];
  return [term, code, data.length, [...members]];
}

function toEntries(
  encoded: readonly EncodedEntry[],
  firstIndex: number,
  blob: Uint8Array,
): LogEntry[] {
  let offset = 0;
  const decoded = encoded.map(([term, code, length, members], position) => {
    const data = blob.subarray(offset, offset + length);
    offset += length;
    const kind = KINDS_BY_CODE[code] ?? "noop";
    const index = firstIndex + position;
    return members === undefined
      ? { index, term, kind, data }
      : { index, term, kind, data, members: members as LogMember[] };
  });
  if (offset !== blob.length) {
    throw createFault(
      "badRequest",
      `Cannot decode log entries: ${blob.length} bytes of data instead of ${offset}`,
    );
  }
  return decoded;
}

/** Encodes a message for the transport. */
export function encodeLogMessage(message: LogMessage): Uint8Array {
  if (message.kind === "append") {
    const encoded = message.entries.map(toEncodedEntry);
    const blobs = message.entries.map((source) => source.data);
    return encodeParts({ ...message, entries: encoded }, blobs);
  }
  if (message.kind === "snapshot") {
    const { data, ...header } = message;
    return encodeParts(header, [data]);
  }
  return encodeParts(message, []);
}

/** Decodes a message. Throws "badRequest" if the bytes are not a valid message. */
export function decodeLogMessage(bytes: Uint8Array): LogMessage {
  const { header, blob } = decodeParts(bytes, messageHeader);
  if (header.kind === "append") {
    const decoded = toEntries(header.entries, header.prevIndex + 1, blob);
    return { ...header, entries: decoded };
  }
  if (header.kind === "snapshot") {
    return { ...header, members: header.members as LogMember[], data: blob };
  }
  return header as LogMessage;
}

/** A stored append: its entries replace all stored entries from `first` on. */
export interface EntriesRecord {
  readonly first: number;
  /** True if all entries before `first` are removed too. */
  readonly reset: boolean;
  readonly entries: LogEntry[];
}

/** Encodes a stored append. */
export function encodeEntriesRecord(record: EntriesRecord): Uint8Array {
  const { first, reset } = record;
  const encoded = record.entries.map(toEncodedEntry);
  const header = reset
    ? { first, reset, entries: encoded }
    : { first, entries: encoded };
  return encodeParts(header, record.entries.map((source) => source.data));
}

/** Decodes a stored append. Throws "badRequest" if the bytes are not a valid append. */
export function decodeEntriesRecord(bytes: Uint8Array): EntriesRecord {
  const { header, blob } = decodeParts(bytes, entriesHeader);
  const { first, reset = false } = header;
  return { first, reset, entries: toEntries(header.entries, first, blob) };
}

/** Encodes a stored snapshot. */
export function encodeSnapshotRecord(snapshot: LogSnapshot): Uint8Array {
  const { data, ...header } = snapshot;
  return encodeParts(header, [data]);
}

/** Decodes a stored snapshot. Throws "badRequest" if the bytes are not a valid snapshot. */
export function decodeSnapshotRecord(bytes: Uint8Array): LogSnapshot {
  const { header, blob } = decodeParts(bytes, snapshotHeader);
  return { ...header, members: header.members as LogMember[], data: blob };
}
