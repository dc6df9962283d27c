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
  const calls = createRelayedCalls({
    clock,
    logger: createSilentLogger(),
    calls: createDirectCalls(direct),
    maxDirectRunners: 100,
    countRunners: () => runners,
    listRelays: () => relays,
    maxRelays,
    async callViaRelay(relay, call) {
      relayed.push({ relay, call });
      if (unresponsive.has(relay)) {
        throw createFault("deadlineExceeded", "Silent");
      }
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
