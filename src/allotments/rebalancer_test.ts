import t from "tap";
import {
  createExchange,
  type Exchange,
} from "../../bench/allotment_exchange.ts";
import { createManualClock, createSeededRandom } from "../common/mod.ts";
import { type Limits, NO_LIMITS } from "../fleet/mod.ts";
import { createRebalancer } from "./rebalancer.ts";
import type { AllotmentAsk, WorkspaceLoad } from "./types.ts";

const SEED = 20_261_204;
const slots = (count: number): Limits => ({ ...NO_LIMITS, slots: count });
const ONE = { workspace: "t", size: slots(1) };
const LONG_MS = 3_600_000;

function addRequests(
  exchange: Exchange,
  name: string,
  count: number,
  runMs: number,
): void {
  for (let i = 0; i < count; i++) exchange.addWork(name, { ...ONE }, runMs);
}

function computeRunning(exchange: Exchange): number {
  let sum = 0;
  for (const name of exchange.sites.keys()) {
    sum += exchange.getRunning(name, "t").slots;
  }
  return sum;
}

const createNames = (count: number) =>
  Array.from({ length: count }, (_, i) => `dc${i + 10}`);

// Guards against a workspace that cannot use its limit in the data centre of its
// work while the others are idle, and against message floods.
t.test("one data centre gets the whole limit within seconds", (t) => {
  t.comment(`seed ${SEED}`);
  for (const count of [3, 4, 35]) {
    const dataCentres = createNames(count);
    const exchange = createExchange({
      dataCentres,
      workspaces: { t: slots(100) },
      seed: SEED,
    });
    addRequests(exchange, dataCentres[0]!, 100, LONG_MS);
    const isDone = () => computeRunning(exchange) === 100;
    // "Within seconds" means 5 s, with at most three asks per peer on average.
    t.ok(exchange.runUntil(isDone, 5_000), `${count} data centres`);
    const { asks } = exchange.counts;
    t.ok(asks <= 3 * (count - 1), `${asks} asks to ${count - 1} peers`);
  }
  t.end();
});

// Guards against allotment that stays in a data centre for seconds after its
// work there has ended.
t.test("the limit follows the work from one data centre to another", (t) => {
  const exchange = createExchange({
    dataCentres: ["a", "b", "c"],
    workspaces: { t: slots(31) },
    seed: SEED,
  });
  for (const name of ["a", "b", "c", "a"]) {
    // The work runs longer than the bound of 5 s, so that all of it overlaps.
    addRequests(exchange, name, 31, 6_000);
    const isFull = () => exchange.getRunning(name, "t").slots === 31;
    t.ok(exchange.runUntil(isFull, 5_000), name);
    exchange.runUntil(() => computeRunning(exchange) === 0, 7_000);
  }
  t.end();
});

// Guards against a busy data centre that never transfers the fair share of another.
t.test("endless work in one data centre does not starve another", (t) => {
  const exchange = createExchange({
    dataCentres: ["a", "b", "c"],
    workspaces: { t: slots(30) },
    seed: SEED,
  });
  const random = createSeededRandom(SEED);
  const feed = (name: string) => {
    const { waiting } = exchange.getSite(name);
    while (waiting.length < 50) {
      exchange.addWork(name, { ...ONE }, 500 + random.nextInt(1_000));
    }
  };
  const runFor = (names: string[], ms: number) => {
    for (let passedMs = 0; passedMs < ms; passedMs += 50) {
      names.forEach(feed);
      exchange.clock.advance(50);
    }
  };
  runFor(["a"], 5_000);
  t.equal(exchange.getHeld("a", "t").slots, 30);
  runFor(["a", "b"], 15_000);
  const held = exchange.getHeld("b", "t").slots;
  t.ok(held >= 10, `b has ${held}, its fair share is 10`);
  const { transfers } = exchange.counts;
  runFor(["a", "b"], 30_000);
  const moved = exchange.counts.transfers - transfers;
  // Both are always busy, so nothing needs to move.
  t.ok(moved <= 3, `${moved} transfers in 30 s of steady load`);
  t.end();
});

// Guards against allotment that moves back and forth in the gaps between short
// requests.
t.test("short gaps between requests cause few transfers", (t) => {
  const exchange = createExchange({
    dataCentres: ["a", "b"],
    workspaces: { t: slots(20) },
    seed: SEED,
  });
  for (let round = 0; round < 60; round++) {
    // In turn, each data centre has a burst that needs more than its fair share,
    // then a gap of half a second.
    addRequests(exchange, round % 2 === 0 ? "a" : "b", 12, 400);
    exchange.clock.advance(500);
  }
  const { transfers } = exchange.counts;
  // Twelve requests for ten slots: without hysteresis, each of the 60 rounds
  // would move two slots back and forth.
  t.ok(transfers <= 10, `${transfers} transfers in 60 rounds`);
  t.end();
});

// Guards against a deadlock of data centres that each hold too little for a
// large task.
t.test("large tasks in all data centres run one after another", (t) => {
  for (const count of [2, 4]) {
    const dataCentres = createNames(count);
    const exchange = createExchange({
      dataCentres,
      workspaces: { t: slots(10) },
      seed: SEED,
    });
    const large = { workspace: "t", size: slots(8) };
    for (const name of dataCentres) {
      exchange.addWork(name, { ...large }, 1_000);
      exchange.addWork(name, { ...large }, 1_000);
    }
    let most = 0;
    const isDone = () => {
      most = Math.max(most, computeRunning(exchange));
      const sites = [...exchange.sites.values()];
      return sites.every((site) =>
        site.waiting.length === 0 && site.running.size === 0
      );
    };
    t.ok(exchange.runUntil(isDone, 300_000), `${count} data centres`);
    t.ok(most <= 10);
    t.comment(`${count} data centres: ${exchange.clock.now()} ms`);
  }
  t.end();
});

// Guards against an added data centre that never receives allotment, a removed
// one that keeps its allotment, and one that receives nothing after a partition.
t.test("allotment follows added, removed and reconnected data centres", (t) => {
  const exchange = createExchange({
    dataCentres: ["a", "b", "c"],
    workspaces: { t: slots(30) },
    seed: SEED,
  });
  const getHeld = (name: string) => exchange.getHeld(name, "t").slots;
  exchange.changeFleet({ type: "setDataCentres", names: ["a", "b"] });
  t.ok(
    exchange.runUntil(() => getHeld("c") === 0, 2_000),
    "c has returned its allotment",
  );
  t.ok(exchange.runUntil(() => getHeld("a") + getHeld("b") === 30, 2_000));
  exchange.changeFleet({ type: "setDataCentres", names: ["a", "b", "c"] });
  // Rebalancing without waiting work is not urgent: 30 s.
  t.ok(exchange.runUntil(() => getHeld("c") >= 5, 30_000), "c has allotment");
  exchange.getSite("b").isCut = true;
  addRequests(exchange, "a", 30, 10_000);
  const isFull = () => getHeld("a") === 30 - getHeld("b");
  t.ok(exchange.runUntil(isFull, 5_000), "b keeps its allotment");
  exchange.getSite("b").isCut = false;
  const all = () => exchange.getRunning("a", "t").slots === 30;
  t.ok(exchange.runUntil(all, 10_000), "a receives the allotment of b");
  t.end();
});

// Guards against a lowered limit that never comes into force because a data
// centre holds a negative amount.
t.test("a lowered limit comes into force", (t) => {
  const exchange = createExchange({
    dataCentres: ["a", "b", "c"],
    workspaces: { t: slots(30) },
    seed: SEED,
  });
  addRequests(exchange, "a", 30, 3_000);
  exchange.runUntil(() => computeRunning(exchange) === 30, 5_000);
  exchange.changeFleet({
    type: "updateWorkspace",
    name: "t",
    limits: { slots: 6 },
  });
  const isInForce = () =>
    [...exchange.sites.values()].every((site) =>
      site.allotments.getAppliedVersion() === 2 &&
      exchange.getRunning(site.name, "t").slots <=
        exchange.getHeld(site.name, "t").slots
    );
  // The work ends after 3 s; the other data centres then receive the difference.
  t.ok(exchange.runUntil(isInForce, 15_000), "in force");
  t.ok(computeRunning(exchange) <= 6);
  t.end();
});

// Guards against a policy that stops asking after a time without reachable peers,
// against asks above the rate limit, and against a starved workspace.
t.test("asks are rate limited without starving a workspace", (t) => {
  const clock = createManualClock();
  const rebalancer = createRebalancer({
    dataCentre: "a",
    clock,
    random: createSeededRandom(SEED),
    maxAsksPerSecond: 10,
  });
  const load: WorkspaceLoad = {
    held: slots(0),
    running: slots(0),
    waiting: slots(5),
    fair: slots(2),
  };
  const names = Array.from({ length: 40 }, (_, i) => `workspace-${i}`);
  const loads = new Map(names.map((name) => [name, load]));
  t.strictSame(rebalancer.planAsks(loads, []), []);
  const asked = new Set<string>();
  let count = 0;
  for (let i = 0; i < 200; i++) {
    const asks = rebalancer.planAsks(loads, ["b", "c"]);
    for (const ask of asks) {
      asked.add(ask.workspace);
      rebalancer.recordOffer(ask, NO_LIMITS);
    }
    count += asks.length;
    clock.advance(100);
  }
  // A full bucket of 10 tokens and 20 s of refill.
  t.ok(count <= 10 + 200, `${count} asks in 20 s`);
  t.equal(asked.size, names.length);
  t.end();
});

// Guards against asking again while the answer or the transfer is in flight, and
// against never asking again when it is lost.
t.test("amounts in flight are not asked for again", (t) => {
  const clock = createManualClock();
  const random = createSeededRandom(SEED);
  const rebalancer = createRebalancer({ dataCentre: "a", clock, random });
  const plan = (held: number, peers = ["b", "c", "d"]) => {
    clock.advance(100);
    const load: WorkspaceLoad = {
      held: slots(held),
      running: slots(held),
      waiting: slots(6 - held),
      fair: slots(2),
    };
    return rebalancer.planAsks(new Map([["t", load]]), peers);
  };
  const sumWanted = (asks: AllotmentAsk[]) =>
    asks.reduce((sum, ask) => sum + ask.wanted.slots, 0);
  const asks = plan(0, ["b", "c"]);
  t.equal(sumWanted(asks), 6);
  t.strictSame(plan(0), [], "asked");
  for (const ask of asks) rebalancer.recordOffer(ask, ask.wanted);
  t.strictSame(plan(0), [], "offered");
  const [first] = asks;
  rebalancer.recordReceipt({
    id: "b/a/1",
    from: first!.to,
    to: "a",
    workspace: "t",
    amount: first!.wanted,
  });
  t.strictSame(plan(3), [], "half of it has arrived");
  clock.advance(10_000);
  t.equal(sumWanted(plan(3)), 3, "the other half was lost");
  t.end();
});
