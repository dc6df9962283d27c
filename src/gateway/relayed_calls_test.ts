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

const LOOK: HoldOrder = {
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

function createCell(runners: number, relays: string[], mostRelays = 3) {
  const clock = createManualClock(0);
  const direct: string[] = [];
  const relayed: { relay: string; call: RunnerCall }[] = [];
  const silent = new Set<string>();
  const calls = createRelayedCalls({
    clock,
    logger: createSilentLogger(),
    calls: createDirectCalls(direct),
    maxDirectRunners: 100,
    countRunners: () => runners,
    listRelays: () => relays,
    maxRelays: mostRelays,
    async callViaRelay(relay, call) {
      relayed.push({ relay, call });
      if (silent.has(relay)) throw createFault("deadlineExceeded", "Silent");
      return await runRelayedCall(createDirectCalls([]), call);
    },
  });
  const look = (at: number) => {
    const target = { id: `r${at}`, address: `r${at}:1` };
    return calls.hold(target, LOOK, TIMEOUT_MS).catch((error) => error);
  };
  async function checkAll(): Promise<Map<string, number>> {
    relayed.length = 0;
    for (let at = 0; at < runners; at += 1) await look(at);
    const counts = new Map<string, number>();
    for (const { relay } of relayed) {
      counts.set(relay, (counts.get(relay) ?? 0) + 1);
    }
    return counts;
  }
  return { clock, calls, direct, relayed, relays, silent, look, checkAll };
}

// Guards against a hop that a small cell has no use for.
t.test("a leader of few runners calls them by itself", async (t) => {
  const cell = createCell(100, ["a", "b"]);
  t.equal((await cell.checkAll()).size, 0);
  t.equal(cell.direct.length, 100);
});

// Pattern: 246 runners, 500 starts a second. Guards against a leader that makes
// all calls, and against connections that are opened anew for each.
t.test("many runners are spread over the relays and stay there", async (t) => {
  const cell = createCell(246, ["a", "b", "c"]);
  t.strictSame([...(await cell.checkAll()).values()], [82, 82, 82]);
  const first = cell.relayed.map(({ relay }) => relay);
  await cell.checkAll();
  t.strictSame(cell.relayed.map(({ relay }) => relay), first);
  t.equal(cell.direct.length, 0);
});

// Guards against frames that carry one message each, and against connections
// that each new leader opens through other instances.
t.test("a few relays are used, the same ones by each leader", async (t) => {
  const first = createCell(246, ["d", "b", "c", "a"], 2);
  t.strictSame([...(await first.checkAll())], [["a", 123], ["b", 123]]);
  const next = createCell(246, ["b", "d", "a"], 2);
  t.strictSame([...(await next.checkAll())], [["a", 123], ["b", 123]]);
  next.relays.splice(next.relays.indexOf("a"), 1);
  await next.checkAll();
  const moved = new Map([["b", 123], ["d", 123]]);
  t.same(await next.checkAll(), moved);
  next.relays.push("a");
  t.same(await next.checkAll(), moved);
});

// Guards against runners whose leases end because their relay is frozen.
t.test("a relay without answers is left out for a while", async (t) => {
  const cell = createCell(246, ["a", "b", "c"]);
  await cell.checkAll();
  cell.silent.add("b");
  await cell.checkAll();
  cell.clock.advance(1_000);
  const during = await cell.checkAll();
  t.equal(during.get("b") ?? 0, 0);
  t.equal((during.get("a") ?? 0) + (during.get("c") ?? 0), 246);
  cell.silent.delete("b");
  cell.clock.advance(5_000);
  await cell.look(400);
  t.equal(cell.relayed.at(-1)?.relay, "b", "the freest one is used again");
});

// Guards against a runner at fault that costs the others their relay.
t.test("one silent runner does not count against its relay", async (t) => {
  const cell = createCell(246, ["a"]);
  let failed = 0;
  for (let at = 0; at < 10; at += 1) {
    cell.silent.add("a");
    const error = await cell.look(0);
    if (isFault(error, "outcomeUnknown")) failed += 1;
    cell.silent.delete("a");
    await cell.look(1);
  }
  t.equal(failed, 10);
  t.equal(cell.direct.length, 0, "the relay went on being used");
});

// Guards against a cell that stands still when the leader is alone.
t.test("without relays the leader calls by itself", async (t) => {
  const relays = ["a"];
  const cell = createCell(246, relays);
  await cell.checkAll();
  relays.length = 0;
  await cell.checkAll();
  t.equal(cell.direct.length, 246);
});

// Guards against connections that a relay keeps to a runner that is gone.
t.test("a release reaches the relay", async (t) => {
  const cell = createCell(246, ["a"]);
  await cell.look(7);
  cell.calls.release("r7:1");
  t.match(cell.relayed.at(-1), {
    relay: "a",
    call: { order: "release", address: "r7:1" },
  });
});
