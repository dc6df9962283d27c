import { Buffer } from "node:buffer";
import * as fs from "node:fs";
import * as path from "node:path";
import fc from "fast-check";
import t from "tap";
import { createDiskStorage } from "./disk_storage.ts";
import { createLogFiles, type LogFiles } from "./log_files.ts";
import type { LogEntry, LogMember, StoredLog } from "./types.ts";

const MEMBERS: LogMember[] = [{ id: "a", role: "voter" }];
const SEED = 20_261_204;

function createEntry(
  index: number,
  term = 1,
  text = `entry ${index}`,
): LogEntry {
  return { index, term, kind: "command", data: Buffer.from(text) };
}

function createEntries(from: number, to: number, term = 1): LogEntry[] {
  return Array.from(
    { length: to - from + 1 },
    (_, at) => createEntry(from + at, term),
  );
}

function createSnapshot(index: number, term = 1) {
  const data = Buffer.from(`state ${index} ${term}`);
  return { index, term, members: MEMBERS, data };
}

/** Converts the contents of a store to a comparable form. */
function toComparable(stored: StoredLog) {
  const { vote, snapshot, entries } = stored;
  return {
    vote: vote === undefined ? undefined : { ...vote },
    snapshot: snapshot === undefined
      ? undefined
      : `${snapshot.index} ${Buffer.from(snapshot.data)}`,
    entries: entries.map(({ index, term, data }) =>
      `${index} ${term} ${Buffer.from(data)}`
    ),
  };
}

function findLastSegment(folder: string): string {
  const name = fs.readdirSync(folder).filter((name) => name.startsWith("log-"))
    .sort().at(-1);
  return path.join(folder, name ?? "");
}

function changeByte(file: string, at: number): void {
  const data = fs.readFileSync(file);
  data[at] = (data[at] ?? 0) ^ 0xff;
  fs.writeFileSync(file, data);
}

interface DamageCase {
  name: string;
  damage: (folder: string) => void;
  /** Last index after reopening, or a pattern of the error message. */
  expected: number | RegExp;
}

const DAMAGE_CASES: DamageCase[] = [
  { name: "no damage", damage: () => {}, expected: 6 },
  {
    name: "half of the last record is missing",
    damage: (folder) => {
      const file = findLastSegment(folder);
      fs.truncateSync(file, fs.statSync(file).size - 10);
    },
    expected: 5,
  },
  {
    name: "only the start of a header follows the last record",
    damage: (folder) => fs.appendFileSync(findLastSegment(folder), "GCL"),
    expected: 6,
  },
  {
    name: "zeros follow the last record",
    damage: (folder) =>
      fs.appendFileSync(findLastSegment(folder), Buffer.alloc(500)),
    expected: 6,
  },
  {
    name: "the bytes of the last record are wrong",
    damage: (folder) => {
      const file = findLastSegment(folder);
      changeByte(file, fs.statSync(file).size - 1);
    },
    expected: 5,
  },
  {
    name: "a byte in the middle is wrong",
    damage: (folder) => changeByte(findLastSegment(folder), 40),
    expected: /log-0000000002" is corrupt: the record at byte 0 is damaged/,
  },
  {
    name: "a length in the middle is wrong",
    damage: (folder) => changeByte(findLastSegment(folder), 7),
    expected: /log-0000000002" is corrupt/,
  },
  {
    name: "an earlier segment is cut off",
    damage: (folder) => {
      const file = path.join(folder, "log-0000000001");
      fs.truncateSync(file, fs.statSync(file).size - 3);
    },
    expected: /log-0000000001" is corrupt/,
  },
  {
    name: "an earlier segment is missing",
    damage: (folder) => fs.rmSync(path.join(folder, "log-0000000001")),
    expected: /log-0000000002" is corrupt: entry 4 follows entry 0/,
  },
  {
    name: "the vote is damaged",
    damage: (folder) => changeByte(path.join(folder, "vote"), 20),
    expected: /vote" is corrupt/,
  },
  {
    name: "the vote is missing",
    damage: (folder) => fs.rmSync(path.join(folder, "vote")),
    expected: /vote" is corrupt: it is missing although a log exists/,
  },
  {
    name: "a snapshot was interrupted before its rename",
    damage: (folder) =>
      fs.writeFileSync(path.join(folder, "snapshot.tmp"), "half of a snap"),
    expected: 6,
  },
  {
    name: "the snapshot is damaged",
    damage: (folder) => fs.writeFileSync(path.join(folder, "snapshot"), "x"),
    expected: /snapshot" is corrupt/,
  },
];

// Guards against a store that silently loses acknowledged entries, or that cannot be opened
// after a crash.
for (const [at, { name, damage, expected }] of DAMAGE_CASES.entries()) {
  t.test(`reopening when ${name}`, async (t) => {
    const folder = path.join(t.testdir(), `store-${at}`);
    const options = { folder, segmentBytes: 150 };
    const storage = await createDiskStorage(options);
    await storage.load();
    await storage.saveVote({ member: "a", term: 1, votedFor: "a" });
    for (let index = 1; index <= 6; index++) {
      await storage.append([createEntry(index)]);
    }
    await storage.close();
    damage(folder);
    const reopened = await createDiskStorage(options);
    if (expected instanceof RegExp) {
      await t.rejects(reopened.load(), { message: expected });
      return;
    }
    const stored = await reopened.load();
    t.equal(stored.entries.at(-1)?.index, expected);
    // Entries appended after a truncation must be readable.
    await reopened.append(createEntries(expected + 1, expected + 2, 2));
    await reopened.close();
    const again = await (await createDiskStorage(options)).load();
    t.equal(again.entries.at(-1)?.index, expected + 2);
    t.equal(again.entries.length, expected + 2);
  });
}

// Guards against segments that are never removed, and against removing one that is still needed.
t.test("segments before a snapshot are removed", async (t) => {
  const folder = path.join(t.testdir(), "store");
  const options = { folder, segmentBytes: 200 };
  const storage = await createDiskStorage(options);
  await storage.load();
  await storage.saveVote({ member: "a", term: 1 });
  for (let index = 1; index <= 40; index++) {
    await storage.append([createEntry(index)]);
  }
  const before = fs.readdirSync(folder).length;
  await storage.saveSnapshot(createSnapshot(30));
  await storage.close();
  t.ok(fs.readdirSync(folder).length < before / 2);
  const stored = await (await createDiskStorage(options)).load();
  t.strictSame(
    toComparable(stored),
    toComparable({
      vote: { member: "a", term: 1 },
      snapshot: createSnapshot(30),
      entries: createEntries(31, 40),
    }),
  );
});

// Guards against acknowledging writes after a failed sync: the kernel may have dropped the pages.
t.test("a store refuses all writes after a failed sync", async (t) => {
  const folder = path.join(t.testdir(), "store");
  const files = createLogFiles(folder);
  let isSyncFailing = false;
  const failing: LogFiles = {
    ...files,
    async open(name) {
      const file = await files.open(name);
      return {
        ...file,
        sync: () =>
          isSyncFailing ? Promise.reject(new Error("EIO")) : file.sync(),
      };
    },
  };
  const storage = await createDiskStorage({ folder, files: failing });
  await storage.load();
  await storage.saveVote({ member: "a", term: 1 });
  await storage.append([createEntry(1)]);
  isSyncFailing = true;
  await t.rejects(storage.append([createEntry(2)]), { message: "EIO" });
  isSyncFailing = false;
  await t.rejects(storage.append([createEntry(2)]), {
    message: /an earlier write failed/,
  });
  await t.rejects(storage.saveVote({ member: "a", term: 2 }), {
    message: /an earlier write failed/,
  });
});

interface FakeInode {
  bytes: Buffer;
  syncedLength: number;
}

/**
 * Creates in-memory files that lose unsynced data on a restart. After `callsLeft`
 * calls every call fails, as after a power loss.
 */
function createFakeDisk(nextInt: (bound: number) => number) {
  let durableNames = new Map<string, FakeInode>();
  let names = new Map<string, FakeInode>();
  let history: Map<string, FakeInode>[] = [];
  const disk = { callsLeft: Infinity };

  function recordCall(): void {
    if (disk.callsLeft <= 0) throw new Error("power lost");
    disk.callsLeft--;
  }

  function changeNames(change: () => void): void {
    recordCall();
    history.push(new Map(names));
    change();
  }

  const files: LogFiles = {
    list: () => Promise.resolve([...names.keys()].sort()),
    read: (name) => Promise.resolve(names.get(name)?.bytes ?? Buffer.alloc(0)),
    open(name) {
      if (!names.has(name)) {
        changeNames(() =>
          names.set(name, { bytes: Buffer.alloc(0), syncedLength: 0 })
        );
      }
      const inode = names.get(name) as FakeInode;
      return Promise.resolve({
        write(data: Uint8Array) {
          if (disk.callsLeft <= 0) {
            return Promise.reject(new Error("power lost"));
          }
          disk.callsLeft--;
          inode.bytes = Buffer.concat([inode.bytes, data]);
          return Promise.resolve();
        },
        sync() {
          if (disk.callsLeft <= 0) {
            return Promise.reject(new Error("power lost"));
          }
          disk.callsLeft--;
          inode.syncedLength = inode.bytes.length;
          return Promise.resolve();
        },
        close: () => Promise.resolve(),
      });
    },
    truncate(name, size) {
      recordCall();
      const inode = names.get(name) as FakeInode;
      inode.bytes = inode.bytes.subarray(0, size);
      inode.syncedLength = size;
      return Promise.resolve();
    },
    // deno-lint-ignore require-await
    async rename(from, to) {
      changeNames(() => {
        names.set(to, names.get(from) as FakeInode);
        names.delete(from);
      });
    },
    // deno-lint-ignore require-await
    async remove(name) {
      if (names.has(name)) changeNames(() => names.delete(name));
    },
    // deno-lint-ignore require-await
    async syncFolder() {
      recordCall();
      durableNames = new Map(names);
      history = [];
    },
  };

  function restart(): void {
    // The names may be those of the last sync or those after any later change.
    const states = [durableNames, ...history.slice(1), names];
    names = new Map(states[nextInt(states.length)] ?? names);
    for (const inode of names.values()) {
      const extra = inode.bytes.length - inode.syncedLength;
      const kept = inode.syncedLength + nextInt(extra + 1);
      inode.bytes = Buffer.from(inode.bytes.subarray(0, kept));
      // The last unsynced byte may have any value.
      if (kept > inode.syncedLength && nextInt(2) === 0) {
        inode.bytes[kept - 1] = nextInt(256);
      }
      inode.syncedLength = kept;
    }
    durableNames = new Map(names);
    history = [];
    disk.callsLeft = Infinity;
  }

  return { files, disk, restart };
}

const operation = fc.record({
  kind: fc.constantFrom(
    "append",
    "append",
    "truncate",
    "vote",
    "snapshot",
    "install",
  ),
  amount: fc.integer({ min: 1, max: 4 }),
  /** Calls until the power loss; most operations complete. */
  callsLeft: fc.option(fc.nat(8), { freq: 4 }),
});

/** Returns the arguments of an operation's call, and the state after it. */
function planOperation(
  state: StoredLog,
  { kind, amount }: { kind: string; amount: number },
  term: number,
) {
  const { entries, snapshot } = state;
  const base = snapshot?.index ?? 0;
  const last = entries.at(-1)?.index ?? base;
  if (kind === "vote") {
    const vote = { member: "a", term, votedFor: `m${amount}` };
    return { kind, vote, after: { ...state, vote } };
  }
  if (kind === "snapshot" && entries[amount - 1] !== undefined) {
    const at = entries[amount - 1] as LogEntry;
    const taken = createSnapshot(at.index, at.term);
    const kept = entries.slice(amount);
    return { kind, taken, after: { ...state, snapshot: taken, entries: kept } };
  }
  if (kind === "install") {
    const taken = createSnapshot(last + amount, term);
    return { kind, taken, after: { ...state, snapshot: taken, entries: [] } };
  }
  const isCut = kind === "truncate" && entries.length > 0;
  const from = isCut ? Math.max(base + 1, last + 1 - amount) : last + 1;
  const added = createEntries(from, from + amount - 1, term);
  const kept = entries.filter((entry) => entry.index < from);
  const after = { ...state, entries: [...kept, ...added] };
  return { kind: "append", added, from: isCut ? from : undefined, after };
}

// Guards against crash points that lose an acknowledged write or leave a store that cannot be
// opened: interrupted appends, votes, snapshots, installs and segment removals.
t.test("a crash at any call keeps every acknowledged write", async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(operation, { maxLength: 30 }),
      fc.infiniteStream(fc.nat(9_999)),
      async (operations, noise) => {
        const nextInt = (bound: number) => (noise.next().value ?? 0) % bound;
        const { files, disk, restart } = createFakeDisk(nextInt);
        const options = { folder: "fake", segmentBytes: 300, files };
        let storage = await createDiskStorage(options);
        await storage.load();
        const vote = { member: "a", term: 1 };
        await storage.saveVote(vote);
        let state: StoredLog = { vote, entries: [] };
        for (const [at, each] of operations.entries()) {
          const plan = planOperation(state, each, at + 2);
          disk.callsLeft = each.callsLeft ?? Infinity;
          try {
            if (plan.vote !== undefined) await storage.saveVote(plan.vote);
            else if (plan.taken !== undefined) {
              await storage.saveSnapshot(plan.taken);
            } else await storage.append(plan.added ?? [], plan.from);
            state = plan.after;
            disk.callsLeft = Infinity;
          } catch {
            restart();
            storage = await createDiskStorage(options);
            const found = await storage.load();
            const [shown, before, after] = [found, state, plan.after].map(
              toComparable,
            );
            const isEither = [before, after].some((wanted) =>
              JSON.stringify(wanted) === JSON.stringify(shown)
            );
            if (!isEither) {
              throw new Error(
                `found ${JSON.stringify(shown)} instead of ${
                  JSON.stringify(before)
                } or ${JSON.stringify(after)}`,
              );
            }
            state = found;
          }
        }
        restart();
        const found = await (await createDiskStorage(options)).load();
        if (
          JSON.stringify(toComparable(found)) !==
            JSON.stringify(toComparable(state))
        ) {
          throw new Error("a clean restart changes the store");
        }
      },
    ),
    { seed: SEED, numRuns: 150 },
  );
  t.pass(`seed ${SEED}`);
});
