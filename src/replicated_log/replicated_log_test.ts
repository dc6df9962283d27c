import { Buffer } from "node:buffer";
import t, { type Test } from "tap";
import {
  createTestGroup,
  type GroupMember,
  startTestGroup,
  type TestGroup,
} from "../../test/log_group.ts";
import { type FaultKind, isFault } from "../common/errors.ts";
import { createMemoryStorage } from "./memory_storage.ts";
import type { LogMember, LogStorage, ProposeResult } from "./types.ts";

const THREE_VOTERS: LogMember[] = ["a", "b", "c"].map((id) => ({
  id,
  role: "voter",
}));
const TWO_VOTERS_AND_WITNESS: LogMember[] = [
  { id: "a", role: "voter" },
  { id: "b", role: "voter" },
  { id: "w", role: "witness" },
];

function findInstance(group: TestGroup, member: GroupMember): string {
  const found = [...group.members].find(([, each]) => each === member);
  return found?.[0] ?? "";
}

function findOthers(group: TestGroup, member: GroupMember): GroupMember[] {
  return [...group.members.values()].filter((each) => each !== member);
}

/** Runs the group until the promise settles. */
async function waitForAll<T>(
  group: TestGroup,
  promise: Promise<T>,
): Promise<T> {
  let isSettled = false;
  promise.then(() => isSettled = true, () => isSettled = true);
  await group.runUntil(() => isSettled);
  return await promise;
}

async function checkRejection(
  t: Test,
  promise: Promise<unknown>,
  kind: FaultKind,
  message = /./,
): Promise<void> {
  const error = await promise.then(() => undefined, (error) => error);
  t.ok(isFault(error, kind), `${kind}: ${error}`);
  t.match(error?.message, message);
}

function propose(member: GroupMember, text: string): Promise<ProposeResult> {
  const result = member.log.propose(Buffer.from(text));
  result.catch(() => {});
  return result;
}

// Guards against results that reach the wrong proposer, and followers that accept commands.
t.test("each member applies all commands once, in the same order", async (t) => {
  const group = await startTestGroup(THREE_VOTERS);
  const leader = await group.waitForLeader();
  const results = await waitForAll(
    group,
    Promise.all(["x", "y", "z"].map((text) => propose(leader, text))),
  );
  t.strictSame(results.map(({ result }) => result), [1, 2, 3]);
  await waitForAll(group, leader.log.confirmLeadership());
  await group.runFor(300);
  for (const { machine } of group.members.values()) {
    t.strictSame(machine.commands, ["x", "y", "z"]);
  }
  const [follower] = findOthers(group, leader);
  await checkRejection(t, propose(follower as GroupMember, "no"), "notLeader");
  t.strictSame(leader.leases.length, 1);
});

// Guards against a leader that loses all messages without an error and still claims its lease
// or confirms its leadership.
t.test("an isolated leader stops leading within its lease time", async (t) => {
  const group = await startTestGroup(THREE_VOTERS);
  const leader = await group.waitForLeader();
  const name = findInstance(group, leader);
  await group.runFor(500);
  group.drop = (from, to) => from === name || to === name;
  const isolatedAtMs = group.clock.now();
  const lost = propose(leader, "lost");
  const confirmed = leader.log.confirmLeadership();
  confirmed.catch(() => {});
  await group.runUntil(() => leader.log.getLease() === undefined, 505);
  t.ok(group.clock.now() - isolatedAtMs <= 505);
  await checkRejection(t, waitForAll(group, lost), "outcomeUnknown");
  await checkRejection(t, waitForAll(group, confirmed), "notLeader");
  t.equal(leader.leases.at(-1), undefined);
  const next = await group.waitForLeader();
  t.not(next, leader);
  await waitForAll(group, propose(next, "kept"));
  group.drop = () => false;
  await group.runUntil(() => leader.machine.commands.length === 1);
  t.strictSame(leader.machine.commands, ["kept"]);
});

// Guards against one sync per proposal, which would limit throughput to the disk's sync rate.
t.test("proposals made during a sync share the next one", async (t) => {
  let appends = 0;
  const group = await startTestGroup([{ id: "a", role: "voter" }], {
    storage: () => {
      const storage = createMemoryStorage();
      return {
        ...storage,
        async append(entries, truncateFrom) {
          appends++;
          await new Promise((resolve) => setImmediate(resolve));
          await storage.append(entries, truncateFrom);
        },
      };
    },
  });
  const leader = await group.waitForLeader();
  appends = 0;
  const first = propose(leader, "first");
  await Promise.resolve();
  const rest = Array.from({ length: 99 }, (_, at) => propose(leader, `${at}`));
  await waitForAll(group, Promise.all([first, ...rest]));
  t.equal(appends, 2);
});

// Guards against acknowledging entries that a failed disk may not hold.
t.test("a member stops and acknowledges nothing when its store fails", async (t) => {
  const broken = new Set<string>();
  const group = await startTestGroup(THREE_VOTERS, {
    storage: (id): LogStorage => {
      const storage = createMemoryStorage();
      return {
        ...storage,
        append: (entries, from) =>
          broken.has(id)
            ? Promise.reject(new Error("EIO"))
            : storage.append(entries, from),
      };
    },
  });
  const leader = await group.waitForLeader();
  broken.add(findInstance(group, leader));
  group.drop = (_from, _to, message) => message.kind === "append";
  const lost = propose(leader, "lost");
  await checkRejection(t, waitForAll(group, lost), "outcomeUnknown");
  t.equal(leader.log.getStatus().role, "stopped");
  t.equal(leader.failures.length, 1);
  t.equal(leader.leases.at(-1), undefined);
  await leader.log.stop();
});

// Guards against members that can never catch up once the log before a snapshot is removed.
t.test("a member that lags far behind receives a snapshot in chunks", async (t) => {
  const group = await startTestGroup(THREE_VOTERS, {
    timings: {
      snapshotLogBytes: 2_000,
      catchUpEntries: 5,
      maxMessageBytes: 300,
    },
  });
  const leader = await group.waitForLeader();
  const [behind, other] = findOthers(group, leader) as [
    GroupMember,
    GroupMember,
  ];
  const name = findInstance(group, behind);
  let chunks = 0;
  group.drop = (_from, to) => to === name;
  for (let at = 0; at < 100; at++) {
    await waitForAll(group, propose(leader, `command ${at}`));
  }
  t.ok(leader.log.getStatus().snapshotIndex > 0);
  group.drop = (_from, _to, message) => {
    if (message.kind === "snapshot") chunks++;
    return false;
  };
  await group.runUntil(() => behind.machine.commands.length === 100);
  t.ok(chunks > 2);
  t.strictSame(behind.machine.commands, leader.machine.commands);
  t.strictSame(other.machine.commands, leader.machine.commands);
});

// Guards against a restart that loses applied commands or applies them twice.
t.test("a member restarts from its snapshot and log", async (t) => {
  const group = await startTestGroup([{ id: "a", role: "voter" }], {
    timings: { snapshotLogBytes: 1_000 },
  });
  const { log, machine, storage } = await group.waitForLeader();
  for (let at = 0; at < 50; at++) {
    await waitForAll(group, log.propose(Buffer.from(`command ${at}`)));
  }
  const { snapshotIndex } = log.getStatus();
  await waitForAll(group, log.stop());
  group.kill("a");
  const again = await group.start("a", { storage });
  await group.waitForLeader();
  t.ok(snapshotIndex > 0);
  t.strictSame(again.machine.commands, machine.commands);
});

// Guards against a planned stop that leaves the group without a leader for an election timeout.
t.test("stopping a leader hands over leadership and loses no proposal", async (t) => {
  const group = await startTestGroup(THREE_VOTERS);
  const leader = await group.waitForLeader();
  await group.runFor(300);
  const results = ["x", "y"].map((text) => propose(leader, text));
  await Promise.resolve();
  const startedMs = group.clock.now();
  const stopped = leader.log.stop();
  await waitForAll(group, Promise.all(results));
  await group.runUntil(() => group.findLeader() !== undefined);
  await waitForAll(group, stopped);
  t.ok(group.clock.now() - startedMs < 250);
  const next = await group.waitForLeader();
  t.not(next, leader);
  t.strictSame(next.machine.commands, ["x", "y"]);
});

// Guards against a former identity that keeps its vote after its store is lost, and against
// counting the vote of the new identity before it has caught up.
t.test("a member with a lost store replaces its former identity", async (t) => {
  const group = await startTestGroup(THREE_VOTERS);
  const leader = await group.waitForLeader();
  await waitForAll(group, propose(leader, "x"));
  const [lost] = findOthers(group, leader) as [GroupMember];
  const name = findInstance(group, lost);
  group.kill(name);
  const storage = createMemoryStorage();
  const resolver = group.resolveStart(name, { members: THREE_VOTERS, storage });
  const start = await waitForAll(group, resolver.decision);
  t.equal(start.mode, "join");
  t.match(start.self, new RegExp(`^${name}#`));
  const instances = THREE_VOTERS.map(({ id }) => id);
  const again = await group.start(start.self, { storage, join: instances });
  t.equal(again.log.getStatus().role, "joining");
  await group.runUntil(() => again.log.getStatus().role === "follower");
  await group.runUntil(() =>
    leader.log.getStatus().members.every(({ role }) => role === "voter")
  );
  const ids = leader.log.getStatus().members.map(({ id }) => id).sort();
  t.strictSame(
    ids,
    instances.map((id) => id === name ? start.self : id).sort(),
  );
  t.strictSame(again.machine.commands, ["x"]);
  // The new identity is durable, so the next start is a restart.
  group.kill(name);
  const next = group.resolveStart(name, { members: THREE_VOTERS, storage });
  t.strictSame(await waitForAll(group, next.decision), {
    mode: "restart",
    self: start.self,
  });
});

// Guards against a group that cannot elect a leader because only its witness has the latest
// entries, and against a witness that acts as leader.
t.test("a witness copies its log to the remaining member", async (t) => {
  const group = await startTestGroup(TWO_VOTERS_AND_WITNESS);
  const leader = await group.waitForLeader();
  const name = findInstance(group, leader);
  const behind = name === "a" ? "b" : "a";
  group.drop = (_from, to) => to === behind;
  for (const text of ["x", "y"]) await waitForAll(group, propose(leader, text));
  group.kill(name);
  group.drop = () => false;
  const next = await group.waitForLeader();
  t.equal(findInstance(group, next), behind);
  t.strictSame(next.machine.commands, ["x", "y"]);
  t.strictSame(group.members.get("w")?.leases, []);
  await waitForAll(group, propose(next, "z"));
});

// Guards against promoting a learner too early, and against two membership changes at once.
t.test("members are added and removed one at a time", async (t) => {
  const group = await startTestGroup(THREE_VOTERS);
  const leader = await group.waitForLeader();
  await waitForAll(group, propose(leader, "x"));
  const added = leader.log.addMember({ id: "d", role: "voter" });
  added.catch(() => {});
  await checkRejection(t, leader.log.removeMember("a"), "versionConflict");
  await group.runFor(1_000);
  const role = () =>
    leader.log.getStatus().members.find(({ id }) => id === "d")?.role;
  t.equal(role(), "learner");
  const joined = await group.start("d", { join: ["a", "b", "c"] });
  await waitForAll(group, added);
  t.equal(role(), "voter");
  t.strictSame(joined.machine.commands, ["x"]);
  await checkRejection(
    t,
    leader.log.addMember({ id: "d", role: "voter" }),
    "badRequest",
  );
  const name = findInstance(group, leader);
  await waitForAll(group, leader.log.removeMember(name));
  group.kill(name);
  const next = await group.waitForLeader();
  t.not(next, leader);
  t.equal(next.log.getStatus().members.length, 3);
});

// Guards against a process that bootstraps an existing group again after losing its store.
const START_CASES = [
  {
    name: "no member replies",
    voters: 3,
    empty: 0,
    history: 0,
    mode: undefined,
  },
  {
    name: "one of two members replies",
    voters: 3,
    empty: 1,
    history: 0,
    mode: undefined,
  },
  {
    name: "both members reply",
    voters: 3,
    empty: 2,
    history: 0,
    mode: "bootstrap",
  },
  {
    name: "one member has history",
    voters: 3,
    empty: 1,
    history: 1,
    mode: "join",
  },
  {
    name: "two of four members reply",
    voters: 5,
    empty: 2,
    history: 0,
    mode: undefined,
  },
  {
    name: "three of four members reply",
    voters: 5,
    empty: 3,
    history: 0,
    mode: "bootstrap",
  },
  {
    name: "the group has one voter",
    voters: 1,
    empty: 0,
    history: 0,
    mode: "bootstrap",
  },
];

for (const { name, voters, empty, history, mode } of START_CASES) {
  t.test(`start of ${voters} voters when ${name}`, async (t) => {
    const group = createTestGroup();
    const members: LogMember[] = Array.from(
      { length: voters },
      (_, at) => ({ id: `m${at}`, role: "voter" }),
    );
    for (let at = 1; at <= empty; at++) {
      const storage = createMemoryStorage();
      group.resolveStart(`m${at}`, { members, storage }).decision.catch(
        () => {},
      );
    }
    for (let at = empty + 1; at <= empty + history; at++) {
      const storage = createMemoryStorage();
      await storage.saveVote({ member: `m${at}`, term: 4, votedFor: "m2" });
      await group.start(`m${at}`, { storage });
    }
    const storage = createMemoryStorage();
    const resolver = group.resolveStart("m0", { members, storage });
    let found: string | undefined;
    resolver.decision.then((start) => found = start.mode, () => {});
    await group.runFor(1_000);
    t.equal(found, mode);
    resolver.stop();
  });
}

// Guards against a store used by the wrong identity, and against voting with an empty store.
t.test("unsafe starts are refused", async (t) => {
  const group = createTestGroup();
  const used = createMemoryStorage();
  await used.saveVote({ member: "a", term: 3 });
  const cases = [
    { options: {}, message: /its store is empty/ },
    { options: { storage: used, self: "b" }, message: /belongs to member "a"/ },
    {
      options: { storage: used, bootstrap: true, members: THREE_VOTERS },
      message: /its store is not empty/,
    },
    {
      options: { bootstrap: true, members: THREE_VOTERS.slice(1) },
      message: /do not list it/,
    },
  ];
  for (const { options, message } of cases) {
    await checkRejection(t, group.start("a", options), "badRequest", message);
  }
});

// Guards against unbounded memory use while there is no quorum.
t.test("commands over the size limits are refused and reported as not run", async (t) => {
  const group = await startTestGroup(THREE_VOTERS, {
    timings: { maxCommandBytes: 100, maxPendingBytes: 150 },
  });
  const leader = await group.waitForLeader();
  await checkRejection(t, propose(leader, "x".repeat(101)), "tooLarge");
  const first = propose(leader, "x".repeat(100));
  const second = await propose(leader, "x".repeat(100)).catch((error) => error);
  t.ok(isFault(second, "overloaded"));
  t.equal(second.ran, "no");
  await waitForAll(group, first);
  await waitForAll(group, propose(leader, "x".repeat(100)));
});
