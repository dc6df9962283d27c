import t from "tap";
import process from "node:process";
import fc from "fast-check";
import {
  AMPLE_RESOURCES,
  buildResources,
  type Cell,
  createCell,
} from "../../test/scheduling_cell.ts";
import { restartWorker } from "../../test/fake_worker.ts";
import type { JobPolicy } from "./types.ts";

const SEED = 20_261_204;

type Event =
  | {
    kind: "submit";
    policy: JobPolicy;
    tasks: number;
    cores: number;
    urgent: boolean;
    workspace: string;
  }
  | {
    kind:
      | "finish"
      | "fail"
      | "cancel"
      | "remove"
      | "disconnect"
      | "delay"
      | "duplicate"
      | "drain"
      | "restart";
    pick: number;
  }
  | { kind: "failover" }
  | { kind: "allot"; workspace: string; cores: number }
  | { kind: "network"; dropEvery: number; delayMs: number }
  | { kind: "settle"; confirms: boolean; count: number }
  | { kind: "wait"; ms: number };

const workspace = fc.constantFrom("a", "b", "c");
const pick = fc.nat({ max: 1_000 });
const event: fc.Arbitrary<Event> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("submit" as const),
      policy: fc.constantFrom<JobPolicy>("batch", "service", "gang"),
      tasks: fc.integer({ min: 1, max: 6 }),
      cores: fc.integer({ min: 1, max: 5 }),
      urgent: fc.boolean(),
      workspace,
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        "finish" as const,
        "fail" as const,
        "cancel" as const,
        "remove" as const,
        "disconnect" as const,
        "delay" as const,
        "duplicate" as const,
        "drain" as const,
        "restart" as const,
      ),
      pick,
    }),
  },
  { weight: 1, arbitrary: fc.constant({ kind: "failover" as const }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("allot" as const),
      workspace,
      cores: fc.integer({ min: -2, max: 30 }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("network" as const),
      dropEvery: fc.integer({ min: 2, max: 9 }),
      delayMs: fc.constantFrom(0, 50, 2_000, 15_000),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("settle" as const),
      confirms: fc.boolean(),
      count: fc.integer({ min: 1, max: 20 }),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant("wait" as const),
      ms: fc.constantFrom(100, 700, 1_500, 6_000, 12_000),
    }),
  },
);

function pickOne<Item>(items: readonly Item[], pick: number): Item | undefined {
  return items.length === 0 ? undefined : items[pick % items.length];
}

function runEvent(cell: Cell, event: Event, number: number): void {
  const workers = [...cell.workers.values()];
  switch (event.kind) {
    case "submit":
      cell.addJob({
        id: `j${number}`,
        workspace: event.workspace,
        policy: event.policy,
        tasks: event.tasks,
        resources: buildResources(event.cores),
        urgent: event.urgent,
        expectedMs: 2_000 * event.cores,
      });
      break;
    case "finish":
    case "fail": {
      const running = pickOne(cell.listRunning(), event.pick);
      const state = event.kind === "finish" ? "finished" : "failed";
      if (running !== undefined) cell.end(running.task, state);
      break;
    }
    case "cancel": {
      const job = pickOne(cell.getScheduler().listJobs(), event.pick);
      if (job !== undefined) cell.cancelJob(job.spec.id);
      break;
    }
    case "remove": {
      // The tasks run until their leases expire; the worker may report again later.
      const worker = pickOne(workers, event.pick);
      if (worker === undefined) break;
      worker.isReachable = !worker.isReachable;
      if (!worker.isReachable) cell.getScheduler().removeWorker(worker.id);
      break;
    }
    case "disconnect": {
      const worker = pickOne(workers, event.pick);
      if (worker !== undefined) worker.isReachable = !worker.isReachable;
      break;
    }
    case "drain": {
      const worker = pickOne(workers, event.pick);
      if (worker !== undefined) worker.isDraining = !worker.isDraining;
      break;
    }
    case "restart": {
      const worker = pickOne(workers, event.pick);
      if (worker !== undefined) restartWorker(worker);
      break;
    }
    case "delay":
    case "duplicate": {
      const worker = pickOne(workers, event.pick);
      if (worker?.lastReport === undefined) break;
      const report = worker.lastReport;
      if (event.kind === "delay") cell.advance(1_500);
      cell.sendOldReport(report);
      break;
    }
    case "failover":
      cell.restore();
      break;
    case "allot":
      cell.setWorkspace(event.workspace, buildResources(event.cores));
      break;
    case "network":
      cell.setNetwork(event);
      break;
    case "settle":
      for (const attempt of cell.pending.splice(0, event.count)) {
        if (event.confirms) cell.confirm(attempt);
        else cell.abandon(attempt);
      }
      break;
    case "wait":
      cell.advance(event.ms);
      break;
  }
}

/** Removes all faults and runs until every job has ended. */
function runToEnd(cell: Cell): void {
  cell.setNetwork({});
  for (const name of ["a", "b", "c"]) cell.setWorkspace(name, AMPLE_RESOURCES);
  for (const worker of cell.workers.values()) {
    worker.isReachable = true;
    worker.isDraining = false;
  }
  for (let round = 0; round < 150; round++) {
    for (const attempt of cell.pending.splice(0)) cell.confirm(attempt);
    for (const { task } of cell.listRunning()) cell.end(task, "finished");
    cell.advance(1_000, 500);
    const isDone = cell.getScheduler().listJobs().every((job) =>
      ["finished", "failed", "cancelled"].includes(job.state)
    );
    if (isDone && round > 30) return;
  }
}

// Guards against overcommitted workers, workspaces above their allotment, partially
// started gangs, tasks that run twice or end twice, and tasks that never end, under any
// order of arrivals, ends, losses, delayed reports and failovers.
t.test("invariants hold over random sequences", (t) => {
  const runs = Number(process.env["GOLDCRESTLUG_RUNS"] ?? 300);
  t.comment(`seed ${SEED}, runs ${runs}`);
  const events = fc.array(event, { minLength: 10, maxLength: 80 });
  fc.assert(
    fc.property(events, fc.nat(), (events, seed) => {
      const cell = createCell({ seed, confirmsAtOnce: false });
      cell.addWorker("w0", buildResources(8), "r0");
      cell.addWorker("w1", buildResources(8), "r0");
      cell.addWorker("w2", buildResources(16), "r1");
      cell.addWorker("w3", buildResources(6), "r1");
      for (const name of ["a", "b", "c"]) {
        cell.setWorkspace(name, buildResources(20));
      }
      events.forEach((event, number) => runEvent(cell, event, number));
      runToEnd(cell);
      if (cell.errors.length > 0) throw new Error(cell.errors[0]);
      const open = cell.getScheduler().listJobs().filter((job) =>
        !["finished", "failed", "cancelled"].includes(job.state)
      );
      if (open.length === 0) return;
      const { spec, state, counts } = open[0]!;
      throw new Error(
        `Job ${JSON.stringify({ spec, state, counts })} did not end`,
      );
    }),
    { seed: SEED, numRuns: runs },
  );
  t.end();
});
