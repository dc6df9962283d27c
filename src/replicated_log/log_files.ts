/** File operations of the disk storage; tests replace them to inject failures. */

import * as fs from "node:fs/promises";
import * as path from "node:path";

/** A file opened for appending. */
export interface LogFile {
  write(data: Uint8Array): Promise<void>;
  /** Resolves once everything written is durable. */
  sync(): Promise<void>;
  close(): Promise<void>;
}

/** Files of one folder. */
export interface LogFiles {
  /** Creates the folder if it is missing and returns the names in it, sorted. */
  list(): Promise<string[]>;
  read(name: string): Promise<Uint8Array>;
  /** Opens a file for appending; creates it if it is missing. */
  open(name: string): Promise<LogFile>;
  /** Truncates a file to `size` bytes and syncs it. */
  truncate(name: string, size: number): Promise<void>;
  rename(from: string, to: string): Promise<void>;
  remove(name: string): Promise<void>;
  /** Makes created, renamed and removed names durable. */
  syncFolder(): Promise<void>;
}

async function syncPath(target: string): Promise<void> {
  const handle = await fs.open(target, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Creates access to the files of `folder`. */
export function createLogFiles(folder: string): LogFiles {
  const resolve = (name: string) => path.join(folder, name);
  return {
    async list() {
      await fs.mkdir(folder, { recursive: true });
      // A new folder is durable only once its parent is synced.
      await syncPath(path.dirname(path.resolve(folder)));
      return (await fs.readdir(folder)).sort();
    },
    read: (name) => fs.readFile(resolve(name)),
    async open(name) {
      const handle = await fs.open(resolve(name), "a");
      return {
        async write(data) {
          await handle.appendFile(data);
        },
        sync: () => handle.datasync(),
        close: () => handle.close(),
      };
    },
    async truncate(name, size) {
      const handle = await fs.open(resolve(name), "r+");
      try {
        await handle.truncate(size);
        await handle.sync();
      } finally {
        await handle.close();
      }
    },
    rename: (from, to) => fs.rename(resolve(from), resolve(to)),
    remove: (name) => fs.rm(resolve(name), { force: true }),
    syncFolder: () => syncPath(folder),
  };
}
