import fc from "fast-check";
import t from "tap";
import { createManualClock, type Fault, isFault } from "../common/mod.ts";
import { buildExpectedFault } from "../../test/requests_helpers.ts";
import { createFairQueue } from "./fair_queue.ts";
import type { FairQueueOptions, QueueEntry } from "./fair_queue_types.ts";
import type { WorkspacePolicy } from "./types.ts";

const SEED = 20261204;
const DURATION_MS = 100;
fc.configureGlobal({ seed: SEED, numRuns: 200 });

interface Job {
  workspace: string;
  number: number;
}

interface Setup {
  policies?: Record<string, WorkspacePolicy>;
  slots?: number;
  options?: Partial<FairQueueOptions<Job>>;
}

function createSetup({ policies = {}, slots = 4, options = {} }: Setup = {}) {
  const clock = createManualClock();
  const refused: { job: Job; fault: Fault }[] = [];
  const queue = createFairQueue<Job>({
    clock,
    getPolicy: (workspace) =>
      policies[workspace] ?? { weight: 1, slotLimit: 1_000 },
    getPool: () => ({ slots, queues: new Set(["q"]) }),
    onReject: (job, fault) => void refused.push({ job, fault }),
    defaultDurationMs: DURATION_MS,
    maxQueued: 100_000,
    ...options,
  });
  let next = 0;
  function add(
    workspace: string,
    remainingMs = 1e9,
    lane = "q",
    canStartNow = true,
  ) {
    const value = { workspace, number: next++ };
    const deadlineMs = clock.now() + remainingMs;
    const item = { workspace, queue: "q", lane, deadlineMs, value };
    return queue.add(item, { canStartNow: () => canStartNow });
  }
  return { clock, queue, refused, add };
}

function createPolicies(weights: readonly number[]) {
  const workspaces = weights.map((_, index) => `t${index}`);
  const policies = Object.fromEntries(
    weights.map((weight, i) => [`t${i}`, { weight, slotLimit: 1_000 }]),
  );
  return { workspaces, policies };
}

const WEIGHTS = fc.array(fc.integer({ min: 1, max: 9 }), {
  minLength: 2,
  maxLength: 6,
});

// Guards against shares that deviate from the weights. With equal costs, the
// served time per weight of two busy workspaces differs by at most one request
// of each.
t.test("busy workspaces are served by weight within the bound", (t) => {
  fc.assert(
    fc.property(WEIGHTS, fc.integer({ min: 1, max: 16 }), (weights, slots) => {
      const { workspaces, policies } = createPolicies(weights);
      const { queue, add } = createSetup({ policies, slots });
      const running: QueueEntry<Job>[] = [];
      const served = new Map(workspaces.map((workspace) => [workspace, 0]));
      for (let step = 0; step < 300; step++) {
        for (const workspace of workspaces) add(workspace);
        if (running.length === slots) {
          queue.release(running.shift()!, DURATION_MS);
        }
        const entry = queue.take(() => true)!;
        running.push(entry);
        const { workspace } = entry.item;
        served.set(workspace, served.get(workspace)! + DURATION_MS);
        for (const [i, a] of workspaces.entries()) {
          for (const [j, b] of workspaces.entries()) {
            const wa = weights[i]!, wb = weights[j]!;
            const gap = Math.abs(served.get(a)! / wa - served.get(b)! / wb);
            const bound = DURATION_MS / wa + DURATION_MS / wb + 1e-6;
            if (gap > bound) throw new Error(`gap ${gap} over ${bound}`);
          }
        }
      }
    }),
  );
  t.end();
});

// Guards against workspaces with long requests getting more slot time than their
// weight allows, which happens if requests are counted instead of time. The bound
// is that of start-time fair queueing with `slots` servers.
t.test("slot time is shared by weight when durations differ", (t) => {
  const durations = fc.array(fc.integer({ min: 10, max: 400 }), {
    minLength: 6,
    maxLength: 6,
  });
  fc.assert(
    fc.property(
      WEIGHTS,
      durations,
      fc.integer({ min: 1, max: 8 }),
      (weights, lengths, slots) => {
        const { workspaces, policies } = createPolicies(weights);
        const { clock, queue, add } = createSetup({ policies, slots });
        const held = new Map(workspaces.map((workspace) => [workspace, 0]));
        for (const workspace of workspaces) {
          for (let i = 0; i < 2_000; i++) add(workspace);
        }
        const running: {
          endMs: number;
          entry: QueueEntry<Job>;
          lengthMs: number;
        }[] = [];
        for (let step = 0; step < 600; step++) {
          while (running.length < slots) {
            const entry = queue.take(() => true)!;
            const lengthMs = lengths[Number(entry.item.workspace.slice(1))]!;
            running.push({ endMs: clock.now() + lengthMs, entry, lengthMs });
          }
          running.sort((a, b) => a.endMs - b.endMs);
          const first = running.shift()!;
          clock.advance(first.endMs - clock.now());
          queue.release(first.entry, first.lengthMs);
          held.set(
            first.entry.item.workspace,
            held.get(first.entry.item.workspace)! + first.lengthMs,
          );
        }
        for (const [i, a] of workspaces.entries()) {
          for (const [j, b] of workspaces.entries()) {
            const wa = weights[i]!, wb = weights[j]!;
            const gap = Math.abs(held.get(a)! / wa - held.get(b)! / wb);
            const longest = (index: number) =>
              Math.max(lengths[index]!, DURATION_MS);
            const bound = (slots + 1) * (longest(i) / wa + longest(j) / wb);
            if (gap > bound) throw new Error(`gap ${gap} over ${bound}`);
          }
        }
      },
    ),
    { numRuns: 50 },
  );
  t.end();
});

// Guards against starvation: a request of a quiet workspace waits for at most one
// request of each busy workspace.
t.test("a quiet workspace is not starved by busy ones", (t) => {
  fc.assert(
    fc.property(
      WEIGHTS,
      fc.integer({ min: 0, max: 200 }),
      (weights, before) => {
        const { workspaces, policies } = createPolicies(weights);
        const { queue, add } = createSetup({ policies });
        for (const workspace of workspaces) {
          for (let i = 0; i < 300; i++) add(workspace);
        }
        for (let i = 0; i < before; i++) {
          queue.release(queue.take(() => true)!, DURATION_MS);
        }
        add("quiet");
        for (let taken = 0;; taken++) {
          const entry = queue.take(() => true)!;
          if (entry.item.workspace === "quiet") break;
          queue.release(entry, DURATION_MS);
          if (taken >= workspaces.length) {
            throw new Error(`quiet workspace waited for ${taken + 1} requests`);
          }
        }
      },
    ),
  );
  t.end();
});

// Guards against reordering within a lane, against exceeding the slot limit of a
// workspace, and against entries lost or served twice when requests are
// cancelled, blocked or released in any order.
t.test("order, limits and counts hold under any operations", (t) => {
  const operation = fc.record({
    kind: fc.constantFrom(
      "add",
      "add",
      "take",
      "take",
      "release",
      "remove",
      "block",
      "wait",
    ),
    index: fc.nat(20),
  });
  fc.assert(
    fc.property(
      fc.array(operation, { maxLength: 200 }),
      fc.integer({ min: 0, max: 4 }),
      (operations, slotLimit) => {
        const workspaces = ["a", "b", "c"];
        const policies = { b: { weight: 2, slotLimit } };
        const { clock, queue, refused, add } = createSetup({ policies });
        const queued: QueueEntry<Job>[] = [];
        const running: QueueEntry<Job>[] = [];
        let added = 0, taken = 0, removed = 0;
        const lastByLane = new Map<string, number>();
        function take(canRun: (job: Job) => boolean) {
          const entry = queue.take(canRun);
          if (entry === undefined) return;
          taken += 1;
          running.push(entry);
          const { workspace, lane, value } = entry.item;
          const key = `${workspace}/${lane}`;
          if (value.number < (lastByLane.get(key) ?? -1)) {
            throw new Error("requests of a lane were reordered");
          }
          lastByLane.set(key, value.number);
        }
        for (const { kind, index } of operations) {
          if (kind === "add") {
            queued.push(
              add(workspaces[index % 3]!, 50 + index * 10, `l${index % 2}`),
            );
            added += 1;
          } else if (kind === "take") take(() => true);
          else if (kind === "block") take((job) => job.number % 3 !== 0);
          else if (kind === "wait") clock.advance(index);
          else if (kind === "remove" && queued.length > 0) {
            if (queue.remove(queued[index % queued.length]!)) removed += 1;
          } else if (kind === "release" && running.length > 0) {
            queue.release(
              running.splice(index % running.length, 1)[0]!,
              index * 20,
            );
          }
          const ofB = running.filter((entry) =>
            entry.item.workspace === "b"
          ).length;
          if (ofB > slotLimit) {
            throw new Error(
              `${ofB} of workspace b are running`,
            );
          }
          const expected = added - taken - removed - refused.length;
          if (queue.getSize() !== expected) throw new Error("wrong size");
        }
        clock.advance(1_000);
        if (queue.getSize() !== 0) {
          throw new Error(
            "a request outlived its deadline",
          );
        }
        if (refused.some(({ fault }) => fault.ran !== "no")) {
          throw new Error(
            "a rejection does not report not run",
          );
        }
      },
    ),
  );
  t.end();
});

// Guards against a workspace that was at its limit or idle and then takes all
// slots to catch up.
t.test("a workspace earns no credit at its limit or while idle", (t) => {
  const policies = { limited: { weight: 1, slotLimit: 1 } };
  const { queue, add } = createSetup({ policies });
  for (let i = 0; i < 100; i++) {
    add("limited");
    add("busy");
  }
  const first = queue.take((job) => job.workspace === "limited")!;
  for (let i = 0; i < 50; i++) {
    queue.release(queue.take(() => true)!, DURATION_MS);
  }
  queue.release(first, DURATION_MS);
  const next = [1, 2, 3, 4].map(() => {
    const entry = queue.take(() => true)!;
    queue.release(entry, DURATION_MS);
    return entry.item.workspace;
  });
  t.equal(next.filter((workspace) => workspace === "limited").length, 2);
  t.end();
});

// Guards against requests that wait only to be rejected later, and against
// rejecting a request that could start immediately.
t.test("a request that cannot start in time is rejected immediately", (t) => {
  const { queue, add } = createSetup({ slots: 1 });
  for (let i = 0; i < 10; i++) add("a");
  t.ok(queue.estimateWait("a", "q") >= 10 * DURATION_MS);
  t.throws(
    () => add("a", 500, "q", false),
    buildExpectedFault("overloaded", "no"),
  );
  t.doesNotThrow(
    () => add("b", 500, "q", false),
    "another workspace does not wait for the backlog",
  );
  t.throws(() => add("a", 0), buildExpectedFault("deadlineExceeded", "no"));
  t.end();
});

// Guards against slots granted to requests that can no longer be answered in
// time. At a load of twice the capacity, this cost a fifth of the useful work.
t.test("a queued request is rejected once too little time remains", (t) => {
  const { clock, queue, refused, add } = createSetup({ slots: 1 });
  add("a", 1_000);
  clock.advance(899);
  t.equal(queue.getSize(), 1);
  clock.advance(1);
  t.equal(queue.getSize(), 0);
  t.match(refused, [{ fault: { kind: "overloaded", ran: "no" } }]);
  t.end();
});

// Guards against one busy workspace filling the queue and blocking others.
t.test("a full queue rejects requests of the workspace with the longest queue", (t) => {
  const { queue, refused, add } = createSetup({
    options: { maxQueued: 10, maxQueuedPerWorkspace: 9 },
  });
  for (let i = 0; i < 9; i++) add("flood");
  t.throws(() => add("flood"), buildExpectedFault("limitReached", "no"));
  add("quiet");
  add("quiet");
  t.equal(queue.getSize(), 10);
  t.strictSame(refused.map(({ job }) => job.number), [8]);
  t.ok(isFault(refused[0]?.fault, "overloaded"));
  t.end();
});

// Guards against requests that are never settled after a stop.
t.test("stop rejects all requests as not run", (t) => {
  const { queue, refused, add } = createSetup();
  add("a");
  add("b");
  queue.stop();
  t.strictSame(refused.map(({ fault }) => [fault.kind, fault.ran]), [
    ["unavailable", "no"],
    ["unavailable", "no"],
  ]);
  t.throws(() => add("a"), buildExpectedFault("unavailable", "no"));
  t.end();
});
