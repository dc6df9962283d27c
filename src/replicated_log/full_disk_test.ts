import { Buffer } from "node:buffer";
import t from "tap";
import { createDiskStorage } from "./disk_storage.ts";
import { createLogFiles, type LogFiles } from "./log_files.ts";
import type { LogEntry, LogStorage } from "./types.ts";

// Scenario: a disk without room refuses writes for some seconds. A member that ends
// then starts again into the same refusal.

function createEntry(index: number): LogEntry {
  const data = Buffer.from(`entry ${index}`.padEnd(200, "."));
  return { index, term: 1, kind: "command", data };
}

function createFullError(): Error {
  return Object.assign(new Error("ENOSPC: no space left on device, write"), {
    code: "ENOSPC",
  });
}

/** Creates access to files on a disk that can be full; a refused write leaves half of its data. */
function createDisk(folder: string) {
  const disk = { isFull: false, refusals: 0, failsSync: false };
  const real = createLogFiles(folder);
  const files: LogFiles = {
    ...real,
    async open(name) {
      const file = await real.open(name);
      return {
        ...file,
        async write(data) {
          if (!disk.isFull) return await file.write(data);
          disk.refusals += 1;
          await file.write(data.subarray(0, data.length / 2));
          throw createFullError();
        },
        sync() {
          if (disk.failsSync) return Promise.reject(createFullError());
          return file.sync();
        },
      };
    },
  };
  return { disk, files };
}

async function openStorage(folder: string) {
  const { disk, files } = createDisk(folder);
  const waits: (() => void)[] = [];
  const storage = await createDiskStorage({
    folder,
    files,
    segmentBytes: 500,
    waitForRoom: () => new Promise((resolve) => void waits.push(resolve)),
  });
  await storage.load();
  return { disk, storage, waits };
}

async function listIndexes(folder: string): Promise<number[]> {
  const storage = await createDiskStorage({ folder });
  const { entries } = await storage.load();
  await storage.close();
  return entries.map(({ index }) => index);
}

/** Waits until a call has met the full disk `times` times, and lets it try again each time but the last. */
async function runRefusals(
  waits: (() => void)[],
  times: number,
): Promise<void> {
  for (let at = 1; at <= times; at += 1) {
    while (waits.length === 0) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    if (at < times) waits.shift()?.();
  }
}

async function isOpen(call: Promise<void>): Promise<boolean> {
  const open = Symbol("open");
  const first = await Promise.race([call, Promise.resolve(open)]);
  return first === open;
}

type Write = (storage: LogStorage) => Promise<void>;

const WRITES: Readonly<Record<string, Write>> = Object.freeze({
  append: (storage) => storage.append([createEntry(2), createEntry(3)]),
  vote: (storage) => storage.saveVote({ term: 2, member: "b" }),
  snapshot: (storage) =>
    storage.saveSnapshot({
      index: 1,
      term: 1,
      members: [{ id: "a", role: "voter" }],
      data: Buffer.from("state"),
    }),
});

for (const [name, write] of Object.entries(WRITES)) {
  t.test(`a full disk holds the ${name} back and loses nothing`, async (t) => {
    const folder = t.testdir();
    const { disk, storage, waits } = await openStorage(folder);
    await storage.saveVote({ term: 1, member: "a" });
    await storage.append([createEntry(1)]);
    disk.isFull = true;
    const call = write(storage);
    await runRefusals(waits, 3);
    t.equal(disk.refusals, 3);
    t.ok(await isOpen(call), "nothing is acknowledged");
    disk.isFull = false;
    waits.shift()?.();
    await call;
    await storage.append([createEntry(name === "append" ? 4 : 2)]);
    await storage.close();
    const expected = { append: [1, 2, 3, 4], vote: [1, 2], snapshot: [2] };
    t.strictSame(
      await listIndexes(folder),
      expected[name as keyof typeof expected],
    );
  });
}

t.test("a failed sync ends the use of the disk", async (t) => {
  const { disk, storage } = await openStorage(t.testdir());
  await storage.saveVote({ term: 1, member: "a" });
  disk.failsSync = true;
  await t.rejects(storage.append([createEntry(1)]), { message: /ENOSPC/ });
  disk.failsSync = false;
  await t.rejects(storage.append([createEntry(1)]), { message: /earlier/ });
});

t.test("a storage that is closed while its disk is full stops waiting", async (t) => {
  const { disk, storage, waits } = await openStorage(t.testdir());
  await storage.saveVote({ term: 1, member: "a" });
  disk.isFull = true;
  const call = storage.append([createEntry(1)]);
  await runRefusals(waits, 1);
  await storage.close();
  waits.shift()?.();
  await t.rejects(call, { message: /ENOSPC/ });
});
