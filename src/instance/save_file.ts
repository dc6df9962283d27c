/** Replaces small files atomically: a crash leaves either the old or the new content. */

import { mkdir, open, rename } from "node:fs/promises";
import { dirname } from "node:path";

async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Writes, syncs and renames; the new content is durable once this resolves. */
export async function saveFile(path: string, data: Uint8Array): Promise<void> {
  const folder = dirname(path);
  await mkdir(folder, { recursive: true });
  const temporary = `${path}.new`;
  const handle = await open(temporary, "w");
  try {
    await handle.writeFile(data);
    await handle.sync();
  } finally {
    await handle.close();
  }
  await rename(temporary, path);
  await syncFolder(folder);
}
