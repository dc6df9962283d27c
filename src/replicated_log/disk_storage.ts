/**
 * Storage in one folder: the file "vote", the file "snapshot", and log
 * segments. A segment is a sequence of checksummed records. Each record is one
 * append, which was synced before the next was written. An incomplete record
 * at the end was therefore never acknowledged and is cut off; one with intact
 * records after it means that the disk lost acknowledged data.
 */

import { createFault, type Fault } from "../common/errors.ts";
import { createSilentLogger, type Logger } from "../common/logger.ts";
import { Buffer } from "node:buffer";
import {
  decodeEntriesRecord,
  decodeSnapshotRecord,
  encodeEntriesRecord,
  encodeSnapshotRecord,
  type EntriesRecord,
} from "./codec.ts";
import { createLogFiles, type LogFile, type LogFiles } from "./log_files.ts";
import { createRecordCodec, type RecordCodec } from "./record.ts";
import type {
  LogEntry,
  LogSnapshot,
  LogStorage,
  StoredLog,
  Vote,
} from "./types.ts";

const VOTE_FILE = "vote";
const SNAPSHOT_FILE = "snapshot";
const TEMPORARY_SUFFIX = ".tmp";
const SEGMENT_PATTERN = /^log-(\d{10})$/;
const SEGMENT_DIGITS = 10;

/** Size in bytes after which a new log segment is started. */
const DEFAULT_SEGMENT_BYTES = 4 * 1024 * 1024;

/** Options of `createDiskStorage`. */
export interface DiskStorageOptions {
  /** Folder of this group's files; it is created if it is missing. */
  folder: string;
  /** Bytes after which a new segment is started. Default 4 MiB. */
  segmentBytes?: number;
  /** File operations; by default those of the system on `folder`. */
  files?: LogFiles;
  logger?: Logger;
}

interface Segment {
  readonly name: string;
  readonly number: number;
  bytes: number;
  /** Highest index of an entry that was ever written to it. */
  maxIndex: number;
}

/** Terms of the stored entries from `first` on; tells whether a snapshot fits the log. */
interface StoredTerms {
  first: number;
  terms: number[];
}

function createSegment(number: number): Segment {
  const name = `log-${String(number).padStart(SEGMENT_DIGITS, "0")}`;
  return { name, number, bytes: 0, maxIndex: 0 };
}

/** Opens the storage of one folder. */
export async function createDiskStorage(
  options: DiskStorageOptions,
): Promise<LogStorage> {
  const codec = await createRecordCodec();
  return createStorage(options, codec);
}

function createStorage(
  options: DiskStorageOptions,
  codec: RecordCodec,
): LogStorage {
  const { folder, segmentBytes = DEFAULT_SEGMENT_BYTES } = options;
  const files = options.files ?? createLogFiles(folder);
  const logger = options.logger ?? createSilentLogger();

  let segments: Segment[] = [];
  let active: LogFile | undefined;
  let stored: StoredTerms = { first: 1, terms: [] };
  let failure: unknown;

  function createCorrupt(name: string, detail: string): Fault {
    return createFault(
      "internal",
      `Cannot open log storage: file "${folder}/${name}" is corrupt: ${detail}`,
    );
  }

  /** Refuses every call after a failed one, since it is not known what reached the disk. */
  async function runOnce<T>(work: () => Promise<T>): Promise<T> {
    if (failure !== undefined) {
      throw createFault(
        "internal",
        `Cannot use log storage "${folder}": an earlier write failed`,
        { cause: failure },
      );
    }
    try {
      return await work();
    } catch (error) {
      failure = error;
      throw error;
    }
  }

  async function saveFile(name: string, payload: Uint8Array): Promise<void> {
    const temporary = name + TEMPORARY_SUFFIX;
    await files.remove(temporary);
    const file = await files.open(temporary);
    try {
      await file.write(codec.encode(payload, 0));
      await file.sync();
    } finally {
      await file.close();
    }
    await files.rename(temporary, name);
    await files.syncFolder();
  }

  async function loadFile(name: string): Promise<Uint8Array> {
    const data = await files.read(name);
    const record = codec.decode(data, 0);
    if (record === undefined || record.nextOffset !== data.length) {
      throw createCorrupt(name, `checksum of ${data.length} bytes is wrong`);
    }
    return record.payload;
  }

  async function loadVote(names: readonly string[]): Promise<Vote | undefined> {
    if (!names.includes(VOTE_FILE)) return undefined;
    const payload = await loadFile(VOTE_FILE);
    return JSON.parse(Buffer.from(payload).toString()) as Vote;
  }

  async function loadSnapshot(
    names: readonly string[],
  ): Promise<LogSnapshot | undefined> {
    if (!names.includes(SNAPSHOT_FILE)) return undefined;
    return decodeSnapshotRecord(await loadFile(SNAPSHOT_FILE));
  }

  /** Reads the records of a segment; cuts off a torn tail if it is the last one. */
  async function loadSegment(
    segment: Segment,
    isLast: boolean,
  ): Promise<EntriesRecord[]> {
    const data = await files.read(segment.name);
    const records: EntriesRecord[] = [];
    let offset = 0;
    while (offset < data.length) {
      const record = codec.decode(data, offset);
      if (record === undefined) break;
      records.push(decodeEntriesRecord(record.payload));
      offset = record.nextOffset;
    }
    segment.bytes = offset;
    if (offset === data.length) return records;
    if (!isLast || codec.hasLater(data, offset)) {
      throw createCorrupt(
        segment.name,
        `the record at byte ${offset} is damaged and later records are intact; restore the disk or remove the folder and let the member join under a new identity`,
      );
    }
    await files.truncate(segment.name, offset);
    logger.warn("Cut off an incomplete record at the end of the log", {
      file: segment.name,
      offset,
      bytes: data.length - offset,
    });
    return records;
  }

  function mergeRecord(
    entries: LogEntry[],
    record: EntriesRecord,
    context: { segment: Segment; snapshotIndex: number },
  ): void {
    const { segment, snapshotIndex } = context;
    const { first, reset } = record;
    const last = entries.at(-1)?.index;
    if (reset) entries.length = 0;
    else if (
      last === undefined ? first > snapshotIndex + 1 : first > last + 1
    ) {
      throw createCorrupt(
        segment.name,
        `entry ${first} follows entry ${last ?? snapshotIndex}`,
      );
    }
    const start = entries[0]?.index ?? first;
    entries.length = Math.max(0, Math.min(entries.length, first - start));
    for (const entry of record.entries) {
      entries.push(entry);
      segment.maxIndex = Math.max(segment.maxIndex, entry.index);
    }
  }

  async function load(): Promise<StoredLog> {
    await active?.close();
    active = undefined;
    const names = await files.list();
    for (const name of names) {
      if (name.endsWith(TEMPORARY_SUFFIX)) await files.remove(name);
    }
    const vote = await loadVote(names);
    const snapshot = await loadSnapshot(names);
    const snapshotIndex = snapshot?.index ?? 0;
    segments = names.filter((name) => SEGMENT_PATTERN.test(name)).map((name) =>
      createSegment(Number(SEGMENT_PATTERN.exec(name)?.[1]))
    );
    const entries: LogEntry[] = [];
    for (const segment of segments) {
      const records = await loadSegment(segment, segment === segments.at(-1));
      for (const record of records) {
        mergeRecord(entries, record, { segment, snapshotIndex });
      }
    }
    if (vote === undefined && (entries.length > 0 || snapshot !== undefined)) {
      throw createCorrupt(VOTE_FILE, "it is missing beside a log");
    }
    return await loadRest({ vote, snapshot, entries });
  }

  async function loadRest(
    loaded: {
      vote: Vote | undefined;
      snapshot: LogSnapshot | undefined;
      entries: LogEntry[];
    },
  ): Promise<StoredLog> {
    const { vote, snapshot, entries } = loaded;
    stored = {
      first: entries[0]?.index ?? (snapshot?.index ?? 0) + 1,
      terms: entries.map((entry) => entry.term),
    };
    let kept = entries;
    if (snapshot !== undefined) {
      // The process may have ended between saving the snapshot and the rest.
      const fits = hasEntryOf(snapshot) || stored.first === snapshot.index + 1;
      if (!fits) await removeLog(snapshot.index);
      else await removeCovered(snapshot);
      kept = fits
        ? entries.filter((entry) => entry.index > snapshot.index)
        : [];
    }
    return {
      ...(vote === undefined ? {} : { vote }),
      ...(snapshot === undefined ? {} : { snapshot }),
      entries: kept,
    };
  }

  function hasEntryOf(snapshot: LogSnapshot): boolean {
    return stored.terms[snapshot.index - stored.first] === snapshot.term;
  }

  async function openSegment(): Promise<void> {
    await active?.close();
    active = undefined;
    const segment = createSegment((segments.at(-1)?.number ?? 0) + 1);
    segments.push(segment);
    active = await files.open(segment.name);
    await files.syncFolder();
  }

  async function appendRecord(record: EntriesRecord): Promise<void> {
    const last = segments.at(-1);
    if (last === undefined || last.bytes >= segmentBytes) await openSegment();
    else active ??= await files.open(last.name);
    const segment = segments.at(-1);
    if (segment === undefined || active === undefined) return;
    const bytes = codec.encode(encodeEntriesRecord(record), segment.bytes);
    await active.write(bytes);
    await active.sync();
    segment.bytes += bytes.length;
    const maxIndex = record.entries.at(-1)?.index ?? 0;
    segment.maxIndex = Math.max(segment.maxIndex, maxIndex);
  }

  /** Drops the whole log; the next entry follows `index`. */
  async function removeLog(index: number): Promise<void> {
    await openSegment();
    await appendRecord({ first: index + 1, reset: true, entries: [] });
    stored = { first: index + 1, terms: [] };
    await removeSegments(() => true);
  }

  /** Removes segments from the oldest on, while `isObsolete` and never the last. */
  async function removeSegments(
    isObsolete: (segment: Segment) => boolean,
  ): Promise<void> {
    let hasRemoved = false;
    for (const segment of segments.slice(0, -1)) {
      if (!isObsolete(segment)) break;
      await files.remove(segment.name);
      segments.shift();
      hasRemoved = true;
    }
    if (hasRemoved) await files.syncFolder();
  }

  /** Forgets entries that the snapshot covers. */
  async function removeCovered(snapshot: LogSnapshot): Promise<void> {
    const covered = Math.max(0, snapshot.index + 1 - stored.first);
    stored = {
      first: stored.first + covered,
      terms: stored.terms.slice(covered),
    };
    await removeSegments((segment) => segment.maxIndex <= snapshot.index);
  }

  function append(entries: LogEntry[], truncateFrom?: number): Promise<void> {
    return runOnce(async () => {
      const first = Math.min(
        truncateFrom ?? Infinity,
        entries[0]?.index ?? Infinity,
      );
      if (first === Infinity) return;
      await appendRecord({ first, reset: false, entries });
      stored.terms.length = Math.min(
        stored.terms.length,
        Math.max(0, first - stored.first),
      );
      for (const entry of entries) stored.terms.push(entry.term);
    });
  }

  function saveSnapshot(snapshot: LogSnapshot): Promise<void> {
    return runOnce(async () => {
      const fits = hasEntryOf(snapshot);
      await saveFile(SNAPSHOT_FILE, encodeSnapshotRecord(snapshot));
      if (fits) await removeCovered(snapshot);
      else await removeLog(snapshot.index);
    });
  }

  async function close(): Promise<void> {
    const file = active;
    active = undefined;
    await file?.close();
  }

  return {
    load: () => runOnce(load),
    saveVote: (vote) =>
      runOnce(() => saveFile(VOTE_FILE, Buffer.from(JSON.stringify(vote)))),
    append,
    saveSnapshot,
    close,
  };
}
