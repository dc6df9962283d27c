import t from "tap";
import {
  createFault,
  createManualClock,
  createSilentLogger,
  isFault,
} from "../common/mod.ts";
import type { HoldOrder, RunnerCalls } from "../workload/mod.ts";
import type { RunnerCall } from "./messages.ts";
import { createRelayedCalls, runRelayedCall } from "./relayed_calls.ts";

const POLL_ORDER: HoldOrder = {
  fence: 1,
  recordedEnds: 0,
  untilMs: undefined,
  waitMs: 0,
};
const TIMEOUT_MS = 100;

function createDirectCalls(made: string[]): RunnerCalls {
  const accept = (id: string) => {
    made.push(id);
    return Promise.resolve({ outcome: "accepted" as const, clockMs: 1 });
  };
  return {
    start: ({ id }) => accept(id),
    stop: ({ id }) => accept(id),
    hold: async ({ id }) => ({
      ...await accept(id),
      startedMs: 1,
      running: [],
      ended: [],
    }),
    release: (address) => void made.push(`release ${address}`),
    releaseOwn: (address) => void made.push(`release ${address}`),
  };
}

function createCell(runners: number, relays: string[], maxRelays = 3) {
  const clock = createManualClock(0);
  const direct: string[] = [];
  const relayed: { relay: string; call: RunnerCall }[] = [];
  const unresponsive = new Set<string>();
  /** Relays that stand still: their polls never end. */
  const frozen = new Set<string>();
  const standbys = new Set<string>();
  /** What the calls through a relay fail with. */
  const faults = new Map<string, Error>();
  const calls = createRelayedCalls({
    clock,
    logger: createSilentLogger(),
    calls: createDirectCalls(direct),
    limits: {
      maxDirectRunners: 100,
      runnersPerRelay: Math.ceil(runners / maxRelays),
    },
    countRunners: () => runners,
    listRelays: () => relays,
    isStandby: (relay) => standbys.has(relay),
    async callViaRelay(relay, call) {
      if (call.order === "check") {
        if (!frozen.has(relay)) return;
        throw createFault("deadlineExceeded", "Silent");
      }
      relayed.push({ relay, call });
      if (frozen.has(relay)) return await new Promise(() => {});
      if (unresponsive.has(relay)) {
        throw createFault("deadlineExceeded", "Silent");
      }
      const fault = faults.get(relay);
      if (fault !== undefined) throw fault;
      return await runRelayedCall(createDirectCalls([]), call);
    },
  });
  const sendPoll = (index: number) => {
    const target = { id: `r${index}`, address: `r${index}:1` };
    return calls.hold(target, POLL_ORDER, TIMEOUT_MS).catch((error) => error);
  };
  async function callAll(): Promise<Map<string, number>> {
    relayed.length = 0;
    for (let index = 0; index < runners; index += 1) await sendPoll(index);
    const counts = new Map<string, number>();
    for (const { relay } of relayed) {
      counts.set(relay, (counts.get(relay) ?? 0) + 1);
    }
    return counts;
  }
  return {
    clock,
    calls,
    direct,
    relayed,
    relays,
    unresponsive,
    frozen,
    standbys,
    faults,
    sendPoll,
    callAll,
  };
}

// Guards against a needless extra hop in a small cell.
t.test("a leader with few runners calls them directly", async (t) => {
  const cell = createCell(100, ["a", "b"]);
  t.equal((await cell.callAll()).size, 0);
  t.equal(cell.direct.length, 100);
});

// Models 246 runners with 500 starts per second. Guards against a leader that
// makes all calls itself, and against a new connection for each call.
t.test("runners are balanced over the relays and keep theirs", async (t) => {
  const cell = createCell(246, ["a", "b", "c"]);
  t.strictSame([...(await cell.callAll()).values()], [82, 82, 82]);
  const first = cell.relayed.map(({ relay }) => relay);
  await cell.callAll();
  t.strictSame(cell.relayed.map(({ relay }) => relay), first);
  t.equal(cell.direct.length, 0);
});

// Guards against too many relays, where each frame carries one message, and
// against a new leader that opens connections through other relays.
t.test("each leader uses the same few relays", async (t) => {
  const first = createCell(246, ["d", "b", "c", "a"], 2);
  t.strictSame([...(await first.callAll())], [["a", 123], ["b", 123]]);
  const next = createCell(246, ["b", "d", "a"], 2);
  t.strictSame([...(await next.callAll())], [["a", 123], ["b", 123]]);
  next.relays.splice(next.relays.indexOf("a"), 1);
  await next.callAll();
  const moved = new Map([["b", 123], ["d", 123]]);
  t.same(await next.callAll(), moved);
  next.relays.push("a");
  t.same(await next.callAll(), moved);
});

// Guards against runner leases that expire because their relay is frozen.
t.test("an unresponsive relay is excluded for a while", async (t) => {
  const cell = createCell(246, ["a", "b", "c"]);
  await cell.callAll();
  cell.unresponsive.add("b");
  await cell.callAll();
  cell.clock.advance(1_000);
  const during = await cell.callAll();
  t.equal(during.get("b") ?? 0, 0);
  t.equal((during.get("a") ?? 0) + (during.get("c") ?? 0), 246);
  cell.unresponsive.delete("b");
  cell.clock.advance(5_000);
  await cell.sendPoll(400);
  t.equal(
    cell.relayed.at(-1)?.relay,
    "b",
    "the least loaded relay is used again",
  );
});

// Guards against one faulty runner that gets the relay of others excluded.
t.test("one unresponsive runner does not exclude its relay", async (t) => {
  const cell = createCell(246, ["a"]);
  let failed = 0;
  for (let index = 0; index < 10; index += 1) {
    cell.unresponsive.add("a");
    const error = await cell.sendPoll(0);
    if (isFault(error, "outcomeUnknown")) failed += 1;
    cell.unresponsive.delete("a");
    await cell.sendPoll(1);
  }
  t.equal(failed, 10);
  t.equal(cell.direct.length, 0, "the relay stayed in use");
});

// Guards against commands of the log that wait for a member which is busy with calls.
t.test("standbys are relays before members of the log", async (t) => {
  const cell = createCell(246, ["a", "b", "c", "d"], 2);
  cell.standbys.add("c").add("d");
  t.strictSame([...(await cell.callAll())], [["c", 123], ["d", 123]]);
});

// Guards against runners that seem lost until their polls time out at a relay which
// stands still or is cut off.
t.test("polls at a frozen relay are repeated elsewhere", async (t) => {
  const cell = createCell(246, ["a", "b"], 2);
  cell.frozen.add("a");
  t.match(await cell.sendPoll(0), { outcome: "accepted" });
  t.match(cell.relayed.map(({ relay }) => relay), ["a", "b"]);
  t.match(await cell.sendPoll(1), { outcome: "accepted" });
  t.equal(cell.relayed.at(-1)?.relay, "b", "the frozen relay is excluded");
});

// Guards against a lost lease of each runner of a relay that restarts.
t.test("polls at a relay whose stream ends are repeated", async (t) => {
  const cell = createCell(246, ["a", "b"], 2);
  cell.faults.set(
    "a",
    createFault("unavailable", "Stream ended", {
      ran: "unknown",
      details: { peer: "lost" },
    }),
  );
  const polled = cell.sendPoll(0);
  cell.relays.shift();
  t.match(await polled, { outcome: "accepted" });
  t.match(cell.relayed.map(({ relay }) => relay), ["a", "b"]);
});

// Guards against a repeated poll that acknowledges ends of the runner's next
// incarnation, which are not recorded, and that renews its lease.
t.test("a repeated poll acknowledges nothing", async (t) => {
  const cell = createCell(246, ["a", "b"], 2);
  cell.frozen.add("a");
  const poll = { fence: 7, recordedEnds: 12, untilMs: 9_000, waitMs: 500 };
  await cell.calls.hold({ id: "r0", address: "r0:1" }, poll, TIMEOUT_MS);
  t.match(cell.relayed.map(({ call }) => call), [
    { hold: poll },
    { hold: { fence: 7, recordedEnds: 0, untilMs: undefined, waitMs: 500 } },
  ]);
});

const START = {
  task: { job: "j", occurrence: 0, step: 0, index: 0 },
  run: 1,
  payload: "",
  untilMs: 1,
  fence: 1,
  checkpoint: "",
  ticket: "",
};

// Guards against a task that waits for the lease of its runner although its start was
// never sent, and against a start that is sent twice.
t.test("a relayed start tells whether it was sent", async (t) => {
  const cell = createCell(246, ["a"]);
  const sendStart = () =>
    cell.calls.start({ id: "r1", address: "r1:1" }, START, TIMEOUT_MS)
      .catch((error: unknown) => error);
  const peer = { details: { peer: "replied" } };
  cell.faults.set("a", createFault("unavailable", "No connection", peer));
  t.match(await sendStart(), { ran: "no" });
  cell.faults.set(
    "a",
    createFault("unavailable", "Ended", {
      ran: "unknown",
      details: { peer: "lost" },
    }),
  );
  t.match(await sendStart(), { ran: "unknown" });
  t.equal(cell.relayed.length, 2, "neither is repeated");
});

// Guards against a relay that is excluded since many of its runners are cut off.
t.test("failures that a relay reports do not exclude it", async (t) => {
  const cell = createCell(246, ["a"]);
  const peer = { ran: "unknown" as const, details: { peer: "replied" } };
  cell.faults.set("a", createFault("unavailable", "Silent runner", peer));
  for (let index = 0; index < 10; index += 1) await cell.sendPoll(index);
  cell.faults.clear();
  await cell.sendPoll(11);
  t.equal(cell.direct.length, 0);
  t.equal(cell.relayed.length, 11);
});

// Guards against a cell that stalls while the leader is the only instance.
t.test("a leader without relays calls runners directly", async (t) => {
  const relays = ["a"];
  const cell = createCell(246, relays);
  await cell.callAll();
  relays.length = 0;
  await cell.callAll();
  t.equal(cell.direct.length, 246);
});

// Guards against a relay that keeps connections to a removed runner.
t.test("a release is forwarded to the relay", async (t) => {
  const cell = createCell(246, ["a"]);
  await cell.sendPoll(7);
  cell.calls.release("r7:1");
  t.match(cell.relayed.at(-1), {
    relay: "a",
    call: { order: "release", address: "r7:1" },
  });
});
