/** In-memory part of a member's log: the entries after a base index. */

import { createFault } from "../common/errors.ts";
import type { LogEntry } from "./types.ts";

/** Entries without gaps, from `getBaseIndex() + 1` on. */
export interface EntryLog {
  getBaseIndex(): number;
  getLastIndex(): number;
  getLastTerm(): number;
  /** Returns the term at `index`, or undefined before the base or after the end. */
  getTerm(index: number): number | undefined;
  getEntry(index: number): LogEntry | undefined;
  /** Returns entries from `fromIndex` on, up to `maxBytes` but at least one if there is any. */
  getEntries(fromIndex: number, maxBytes: number): LogEntry[];
  append(entries: readonly LogEntry[]): void;
  /** Removes the entries from `index` on. */
  removeFrom(index: number): void;
  /** Removes the entries up to `index`, which becomes the base. */
  removeUpTo(index: number): void;
  /** Removes all entries and sets the base. */
  reset(baseIndex: number, baseTerm: number): void;
}

const ENTRY_OVERHEAD_BYTES = 24;

/** Estimates the encoded size of an entry in bytes. */
export function estimateEntryBytes(entry: LogEntry): number {
  return entry.data.length + ENTRY_OVERHEAD_BYTES;
}

/** Creates an empty in-memory log after the given base. */
export function createEntryLog(baseIndex: number, baseTerm: number): EntryLog {
  let base = { index: baseIndex, term: baseTerm };
  let entries: LogEntry[] = [];

  function getEntry(index: number): LogEntry | undefined {
    return entries[index - base.index - 1];
  }

  function getTerm(index: number): number | undefined {
    return index === base.index ? base.term : getEntry(index)?.term;
  }

  return {
    getBaseIndex: () => base.index,
    getLastIndex: () => base.index + entries.length,
    getLastTerm: () => entries.at(-1)?.term ?? base.term,
    getTerm,
    getEntry,
    getEntries(fromIndex, maxBytes) {
      const found: LogEntry[] = [];
      let bytes = 0;
      for (let index = fromIndex;; index++) {
        const entry = getEntry(index);
        if (entry === undefined) return found;
        bytes += estimateEntryBytes(entry);
        if (bytes > maxBytes && found.length > 0) return found;
        found.push(entry);
      }
    },
    append(added) {
      for (const entry of added) {
        const expected = base.index + entries.length + 1;
        if (entry.index !== expected) {
          throw createFault(
            "internal",
            `Cannot append log entry ${entry.index}: the next index is ${expected}`,
          );
        }
        entries.push(entry);
      }
    },
    removeFrom(index) {
      entries.length = Math.max(
        0,
        Math.min(entries.length, index - base.index - 1),
      );
    },
    removeUpTo(index) {
      const term = getTerm(index);
      if (index <= base.index || term === undefined) return;
      entries = entries.slice(index - base.index);
      base = { index, term };
    },
    reset(index, term) {
      base = { index, term };
      entries = [];
    },
  };
}
