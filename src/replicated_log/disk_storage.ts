/**
 * Log storage in one folder: the file "vote", the file "snapshot", and log
 * segments. A segment is a sequence of checksummed records. Each record is one
 * append and was synced before the next was written. An incomplete record at the
 * end was therefore never acknowledged and is truncated. A damaged record before
 * intact ones means that the disk lost acknowledged data.
 *
 * A full disk is not a failure: nothing was synced, so the write is undone and
 * repeated until there is room. Until then the call is open, and the member votes and
 * acknowledges nothing. After a failed sync it is unknown what the disk holds.
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

/** Size of a log segment in bytes after which a new one is started. */
const DEFAULT_SEGMENT_BYTES = 4 * 1024 * 1024;

/** Time until a write to a full disk is repeated, in milliseconds. */
const FULL_DISK_RETRY_MS = 200;

function waitBeforeRetry(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, FULL_DISK_RETRY_MS));
}

/** Tells whether an error says that the disk has no room. */
function isFullDisk(error: unknown): boolean {
  const { code } = error as NodeJS.ErrnoException;
  return code === "ENOSPC" || code === "EDQUOT";
}

/** Options of `createDiskStorage`. */
export interface DiskStorageOptions {
  /** Folder of this group's files; created if it is missing. */
  folder: string;
  /** Bytes after which a new segment is started. Default 4 MiB. */
  segmentBytes?: number;
  /** File operations; by default those of the file system on `folder`. */
  files?: LogFiles;
  logger?: Logger;
  /** Waits before a write to a full disk is repeated. Default: 200 ms. */
  waitForRoom?: () => Promise<void>;
}

interface Segment {
  readonly name: string;
  readonly number: number;
  bytes: number;
  /** Highest index of an entry ever written to the segment. */
  maxIndex: number;
}

/** Terms of the stored entries from `first` on, to check whether a snapshot matches the log. */
interface StoredTerms {
  first: number;
  terms: number[];
}

function createSegment(number: number): Segment {
  const name = `log-${String(number).padStart(SEGMENT_DIGITS, "0")}`;
  return { name, number, bytes: 0, maxIndex: 0 };
}

/** Creates the storage of one folder. Its calls reject with "internal" on corrupt files. */
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
  let activeFile: LogFile | undefined;
  let stored: StoredTerms = { first: 1, terms: [] };
  let failure: unknown;
  let isClosed = false;

  /** Repeats `write` while the disk is full; `undo` removes what a failed attempt has left. */
  async function writeWithRoom(
    write: () => Promise<void>,
    undo: () => Promise<void>,
  ): Promise<void> {
    let attempts = 0;
    for (;;) {
      try {
        await write();
        break;
      } catch (error) {
        if (!isFullDisk(error)) throw error;
        if (attempts === 0) {
          logger.error("Disk is full; storing nothing until it has room", {
            folder,
            error,
          });
        }
        attempts += 1;
        await undo();
        await (options.waitForRoom ?? waitBeforeRetry)();
        if (isClosed) throw error;
      }
    }
    if (attempts > 0) {
      logger.info("Disk has room again", { folder, attempts });
    }
  }

  function createCorruptFault(name: string, detail: string): Fault {
    return createFault(
      "internal",
      `Cannot open log storage: file "${folder}/${name}" is corrupt: ${detail}`,
    );
  }

  /** Runs `work` unless an earlier call failed, since it is unknown what reached the disk then. */
  async function runUnlessFailed<T>(work: () => Promise<T>): Promise<T> {
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
    const temporaryName = name + TEMPORARY_SUFFIX;
    const remove = () => files.remove(temporaryName);
    await remove();
    const data = codec.encode(payload, 0);
    await writeWithRoom(async () => {
      const file = await files.open(temporaryName);
      try {
        await file.write(data);
        await file.sync();
      } finally {
        await file.close();
      }
    }, remove);
    await files.rename(temporaryName, name);
    await files.syncFolder();
  }

  async function loadFile(name: string): Promise<Uint8Array> {
    const data = await files.read(name);
    const record = codec.decode(data, 0);
    if (record === undefined || record.nextOffset !== data.length) {
      throw createCorruptFault(
        name,
        `the checksum of its ${data.length} bytes does not match`,
      );
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

  /** Reads the records of a segment; truncates an incomplete record at the end of the last one. */
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
    if (!isLast || codec.hasRecordAfter(data, offset)) {
      throw createCorruptFault(
        segment.name,
        `the record at byte ${offset} is damaged and later records are intact; restore the disk or remove the folder and let the member join under a new identity`,
      );
    }
    await files.truncate(segment.name, offset);
    logger.warn("Truncated an incomplete record at the end of the log", {
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
      throw createCorruptFault(
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
    await activeFile?.close();
    activeFile = undefined;
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
      throw createCorruptFault(
        VOTE_FILE,
        "it is missing although a log exists",
      );
    }
    return await reconcileLog({ vote, snapshot, entries });
  }

  async function reconcileLog(
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
      // The process may have stopped after saving the snapshot but before updating the log.
      const matchesLog = hasSnapshotEntry(snapshot) ||
        stored.first === snapshot.index + 1;
      if (!matchesLog) await removeLog(snapshot.index);
      else await removeCoveredEntries(snapshot);
      kept = matchesLog
        ? entries.filter((entry) => entry.index > snapshot.index)
        : [];
    }
    return {
      ...(vote === undefined ? {} : { vote }),
      ...(snapshot === undefined ? {} : { snapshot }),
      entries: kept,
    };
  }

  function hasSnapshotEntry(snapshot: LogSnapshot): boolean {
    return stored.terms[snapshot.index - stored.first] === snapshot.term;
  }

  async function openNextSegment(): Promise<void> {
    await activeFile?.close();
    activeFile = undefined;
    const segment = createSegment((segments.at(-1)?.number ?? 0) + 1);
    await writeWithRoom(async () => {
      activeFile = await files.open(segment.name);
    }, () => Promise.resolve());
    segments.push(segment);
    await files.syncFolder();
  }

  async function appendRecord(record: EntriesRecord): Promise<void> {
    const last = segments.at(-1);
    if (last === undefined || last.bytes >= segmentBytes) {
      await openNextSegment();
    } else activeFile ??= await files.open(last.name);
    const segment = segments.at(-1);
    if (segment === undefined || activeFile === undefined) return;
    const bytes = codec.encode(encodeEntriesRecord(record), segment.bytes);
    const file = activeFile;
    await writeWithRoom(
      () => file.write(bytes),
      () => files.truncate(segment.name, segment.bytes),
    );
    await file.sync();
    segment.bytes += bytes.length;
    const maxIndex = record.entries.at(-1)?.index ?? 0;
    segment.maxIndex = Math.max(segment.maxIndex, maxIndex);
  }

  /** Removes all entries; the next one follows `index`. */
  async function removeLog(index: number): Promise<void> {
    await openNextSegment();
    await appendRecord({ first: index + 1, reset: true, entries: [] });
    stored = { first: index + 1, terms: [] };
    await removeSegments(() => true);
  }

  /** Removes the oldest segments while `isObsolete` holds, but never the last one. */
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

  /** Removes entries that the snapshot covers. */
  async function removeCoveredEntries(snapshot: LogSnapshot): Promise<void> {
    const covered = Math.max(0, snapshot.index + 1 - stored.first);
    stored = {
      first: stored.first + covered,
      terms: stored.terms.slice(covered),
    };
    await removeSegments((segment) => segment.maxIndex <= snapshot.index);
  }

  function append(entries: LogEntry[], truncateFrom?: number): Promise<void> {
    return runUnlessFailed(async () => {
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
    return runUnlessFailed(async () => {
      const matchesLog = hasSnapshotEntry(snapshot);
      await saveFile(SNAPSHOT_FILE, encodeSnapshotRecord(snapshot));
      if (matchesLog) await removeCoveredEntries(snapshot);
      else await removeLog(snapshot.index);
    });
  }

  async function close(): Promise<void> {
    isClosed = true;
    const file = activeFile;
    activeFile = undefined;
    await file?.close();
  }

  return {
    load: () => runUnlessFailed(load),
    saveVote: (vote) =>
      runUnlessFailed(() =>
        saveFile(VOTE_FILE, Buffer.from(JSON.stringify(vote)))
      ),
    append,
    saveSnapshot,
    close,
  };
}
