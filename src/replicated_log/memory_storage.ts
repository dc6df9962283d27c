/**
 * In-memory storage for members without a disk. It is lost with the process;
 * the member must then take a new identity.
 */

import type { LogEntry, LogSnapshot, LogStorage, Vote } from "./types.ts";

/** Creates an empty store. Tests reopen it within the same process. */
export function createMemoryStorage(): LogStorage {
  let vote: Vote | undefined;
  let snapshot: LogSnapshot | undefined;
  let entries: LogEntry[] = [];

  function getFirstIndex(): number {
    return entries[0]?.index ?? 0;
  }

  return {
    load() {
      return Promise.resolve({
        ...(vote === undefined ? {} : { vote }),
        ...(snapshot === undefined ? {} : { snapshot }),
        entries: [...entries],
      });
    },
    saveVote(saved) {
      vote = saved;
      return Promise.resolve();
    },
    append(added, truncateFrom) {
      if (truncateFrom !== undefined && entries.length > 0) {
        entries.length = Math.max(0, truncateFrom - getFirstIndex());
      }
      for (const entry of added) entries.push(entry);
      return Promise.resolve();
    },
    saveSnapshot(saved) {
      const at = entries[saved.index - getFirstIndex()];
      entries = at?.term === saved.term
        ? entries.slice(saved.index - getFirstIndex() + 1)
        : [];
      snapshot = saved;
      return Promise.resolve();
    },
    close: () => Promise.resolve(),
  };
}
