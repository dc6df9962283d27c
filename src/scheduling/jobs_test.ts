import t from "tap";
import { isFault } from "../common/mod.ts";
import {
  AMPLE_RESOURCES,
  buildResources,
  createCell,
} from "../../test/scheduling_cell.ts";
import type { JobSpec, NeverRunnableReason } from "./types.ts";

interface NeverCase {
  name: string;
  spec: Partial<JobSpec>;
  reasons: NeverRunnableReason[];
}

const NEVER_CASES: NeverCase[] = [
  {
    name: "too many processors and too much memory",
    spec: { resources: buildResources(9, 65) },
    reasons: [
      {
        resource: "processors",
        requested: 9_000,
        available: 8_000,
        bound: "worker",
      },
      {
        resource: "memoryMb",
        requested: 66_560,
        available: 65_536,
        bound: "worker",
      },
    ],
  },
  {
    name: "a combination that no single worker has",
    spec: { resources: buildResources(8, 64) },
    reasons: [
      {
        resource: "processors",
        requested: 8_000,
        available: 8_000,
        bound: "combination",
      },
      {
        resource: "memoryMb",
        requested: 65_536,
        available: 65_536,
        bound: "combination",
      },
    ],
  },
  {
    name: "more than the allotment of the workspace",
    spec: { workspace: "small", resources: buildResources(3, 1) },
    reasons: [{
      resource: "processors",
      requested: 3_000,
      available: 2_000,
      bound: "allotment",
    }],
  },
  {
    name: "a gang that is larger than the fleet",
    spec: { policy: "gang", tasks: 4, resources: buildResources(4, 1) },
    reasons: [
      {
        resource: "processors",
        requested: 16_000,
        available: 12_000,
        bound: "fleet",
      },
      {
        resource: "memoryMb",
        requested: 4_096,
        available: 3_072,
        bound: "fleet",
      },
    ],
  },
  {
    name: "accelerators that do not exist",
    spec: { resources: buildResources(1, 1, 2) },
    reasons: [{
      resource: "accelerators",
      requested: 2,
      available: 0,
      bound: "worker",
    }],
  },
];

// Guards against jobs that wait forever without a report, and reasons with the wrong resource.
for (const { name, spec, reasons } of NEVER_CASES) {
  t.test(`never runnable: ${name}`, (t) => {
    const cell = createCell();
    cell.addWorker("w0", buildResources(8, 8));
    cell.addWorker("w1", buildResources(4, 64));
    cell.setWorkspace("a", AMPLE_RESOURCES);
    cell.setWorkspace("small", buildResources(2));
    cell.advance(100);
    cell.addJob({ id: "j", ...spec });
    cell.advance(100);
    const listReports = () =>
      cell.actions.filter((action) => action.type === "neverRunnable");
    t.strictSame(listReports().map((action) => action.reasons), [reasons]);
    cell.advance(5_000);
    t.equal(listReports().length, 1);
    cell.addWorker("w2", buildResources(2, 2));
    cell.advance(100);
    t.equal(listReports().length, 2, "reported again when the fleet changes");
    cell.addWorker("w3", buildResources(32, 128, 4));
    cell.setWorkspace("small", AMPLE_RESOURCES);
    cell.advance(1_000);
    t.equal(cell.getScheduler().getJob("j")?.state, "running");
    t.end();
  });
}

// Guards against waiting jobs that are not reported when the only suitable worker leaves.
t.test("a waiting job is reported when the fleet shrinks", (t) => {
  const cell = createCell();
  cell.addWorker("w0", buildResources(2));
  cell.addWorker("w1", buildResources(8)).isDraining = true;
  cell.setWorkspace("a", AMPLE_RESOURCES);
  cell.advance(1_500);
  cell.addJob({ id: "j", resources: buildResources(8) });
  cell.advance(500);
  t.equal(cell.getScheduler().getJob("j")?.neverRunnable, undefined);
  cell.workers.get("w1")!.isReachable = false;
  cell.getScheduler().removeWorker("w1");
  cell.advance(100);
  t.equal(cell.getScheduler().getJob("j")?.neverRunnable?.[0]?.bound, "worker");
  t.end();
});

// Guards against mass cancellations that delay placement, and against wrong results of `cancelJob`.
t.test("10,000 cancellations at once do not delay placement", (t) => {
  const cell = createCell({ confirmsAtOnce: false });
  for (let number = 0; number < 100; number++) {
    cell.addWorker(`w${number}`, buildResources(40));
  }
  cell.setWorkspace("a", AMPLE_RESOURCES);
  cell.setWorkspace("b", AMPLE_RESOURCES);
  const cancelled: string[] = [];
  function addJobs(prefix: string, count: number): void {
    for (let number = 0; number < count; number++) {
      cell.addJob({ id: `${prefix}${number}` });
      cancelled.push(`${prefix}${number}`);
    }
  }
  function confirmAll(): void {
    for (const attempt of cell.pending.splice(0)) cell.confirm(attempt);
  }
  addJobs("running", 2_000);
  cell.advance(200);
  confirmAll();
  cell.advance(1_500);
  addJobs("starting", 1_500);
  cell.advance(100);
  addJobs("queued", 6_500);
  t.ok(cancelled.map((id) => cell.cancelJob(id)).every((answer) => answer));
  const before = cell.actions.length;
  for (let number = 0; number < 200; number++) {
    cell.addJob({ id: `new${number}`, workspace: "b" });
  }
  cell.advance(50, 50);
  const assigned = cell.actions.slice(before).filter((action) =>
    action.type === "assign" && action.job.startsWith("new")
  );
  t.equal(assigned.length, 200, "new work is placed in the same step");
  confirmAll();
  cell.advance(4_000);
  const states = cancelled.map((id) => cell.getScheduler().getJob(id)?.state);
  t.ok(states.every((state) => state === "cancelled"));
  t.equal(
    cell.cancelJob("running0"),
    false,
    "a second cancellation returns false for the ended job",
  );
  t.equal(cell.cancelJob("unknown"), false);
  t.equal(cell.listRunning().length, 200);
  t.strictSame(cell.errors, []);
  t.end();
});

// Guards against the state "cancelled" for a task that finished before the cancellation took effect.
t.test("a task that finishes while it is cancelled counts as finished", (t) => {
  const cell = createCell();
  cell.addWorker("w0", buildResources(1));
  cell.setWorkspace("a", AMPLE_RESOURCES);
  cell.addJob({ id: "j" });
  cell.advance(500);
  cell.end(cell.listRunning()[0]!.task, "finished");
  cell.cancelJob("j");
  cell.advance(2_000);
  t.equal(cell.getScheduler().getJob("j")?.state, "finished");
  t.end();
});

const INVALID_SPECS: Partial<JobSpec>[] = [
  { tasks: 0 },
  { tasks: 1.5 },
  { maxAttempts: 0 },
  { expectedMs: NaN },
  { submittedAt: -1 },
  { resources: { processors: -1, memoryMb: 1, accelerators: 0 } },
  { resources: { processors: 0, memoryMb: 0, accelerators: 0 } },
  { resources: { processors: NaN, memoryMb: 1, accelerators: 0 } },
];

// Guards against inexact resource sums, and tasks without resources.
t.test("invalid specs are refused", (t) => {
  const cell = createCell();
  for (const spec of INVALID_SPECS) {
    try {
      cell.addJob({ id: "j", ...spec });
      t.fail(`accepted ${JSON.stringify(spec)}`);
    } catch (error) {
      t.ok(isFault(error, "badRequest"));
    }
  }
  t.end();
});
