import t from "tap";
import {
  AMPLE_RESOURCES,
  buildResources,
  type Cell,
  createCell,
} from "../../test/scheduling_cell.ts";
import type { JobSpec } from "./types.ts";

function createRackedCell(racks: number, perRack: number, cores = 8): Cell {
  const cell = createCell();
  for (let number = 0; number < racks * perRack; number++) {
    const rack = `r${Math.floor(number / perRack)}`;
    cell.addWorker(`w${number}`, buildResources(cores), rack);
  }
  for (const workspace of ["a", "b", "c"]) {
    cell.setWorkspace(workspace, AMPLE_RESOURCES);
  }
  return cell;
}

function countByWorker(cell: Cell, job: string): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { worker, task } of cell.listRunning()) {
    if (task.job !== job) continue;
    counts.set(worker.id, (counts.get(worker.id) ?? 0) + 1);
  }
  return counts;
}

function countRunning(cell: Cell, job: string): number {
  return cell.listRunning().filter(({ task }) => task.job === job).length;
}

// Guards against a service that is lost with one rack, and scattered batch tasks that block large tasks.
t.test("services are spread over racks and batch work is packed", (t) => {
  const cell = createRackedCell(4, 2);
  cell.addJob({ id: "s", policy: "service", tasks: 8 });
  cell.addJob({ id: "b", policy: "batch", tasks: 7, workspace: "b" });
  cell.advance(500);
  const racks = new Map<string, number>();
  for (const [id, count] of countByWorker(cell, "s")) {
    const { rack } = cell.workers.get(id)!;
    racks.set(rack, (racks.get(rack) ?? 0) + count);
  }
  t.strictSame([...racks.values()], [2, 2, 2, 2]);
  t.equal(countByWorker(cell, "b").size, 1);
  t.strictSame(cell.errors, []);
  t.end();
});

// Guards against placing most of a service in the rack with the most free workers.
t.test("a small rack takes as much of a service as a large one", (t) => {
  const cell = createCell();
  for (let number = 0; number < 6; number++) {
    cell.addWorker(`large${number}`, buildResources(8), "r0");
  }
  cell.addWorker("small", buildResources(8), "r1");
  cell.setWorkspace("a", AMPLE_RESOURCES);
  cell.addJob({ id: "s", policy: "service", tasks: 6 });
  cell.advance(500);
  t.equal(countByWorker(cell, "s").get("small"), 3);
  t.end();
});

// Guards against a service that stays down after its worker is lost, or runs twice in the meantime.
t.test("a service moves when its worker is lost", (t) => {
  const cell = createRackedCell(2, 1);
  cell.addJob({ id: "s", policy: "service", tasks: 2 });
  cell.advance(500);
  const lost = cell.workers.get("w0")!;
  lost.isReachable = false;
  cell.getScheduler().removeWorker("w0");
  cell.advance(9_000);
  t.equal(cell.getScheduler().getJob("s")?.counts.lost, 1);
  cell.advance(2_500);
  t.equal(countByWorker(cell, "s").get("w1"), 2);
  t.strictSame(cell.errors, []);
  t.end();
});

// Guards against a service that is not restarted although it runs for long between failures.
t.test("a service that ran long enough has its failure count reset", (t) => {
  const cell = createRackedCell(1, 3);
  cell.addJob({ id: "s", policy: "service", maxAttempts: 2 });
  for (let failure = 0; failure < 4; failure++) {
    cell.advance(15_000);
    cell.end(cell.listRunning()[0]!.task, "failed");
  }
  cell.advance(5_000);
  t.equal(countRunning(cell, "s"), 1);
  t.end();
});

// Guards against two gangs that each hold resources that the other needs.
t.test("two gangs that do not fit together run one after the other", (t) => {
  const cell = createRackedCell(2, 2);
  cell.addJob({
    id: "g1",
    policy: "gang",
    tasks: 3,
    resources: buildResources(8),
  });
  cell.addJob({
    id: "g2",
    policy: "gang",
    tasks: 3,
    resources: buildResources(8),
    workspace: "b",
  });
  cell.advance(2_000);
  const first = countRunning(cell, "g1") === 3 ? "g1" : "g2";
  const second = first === "g1" ? "g2" : "g1";
  t.equal(countRunning(cell, first), 3);
  t.equal(countRunning(cell, second), 0);
  for (const { task } of cell.listRunning()) cell.end(task, "finished");
  cell.advance(3_000);
  t.equal(countRunning(cell, second), 3);
  t.strictSame(cell.errors, []);
  t.end();
});

// Guards against small tasks that wait because a larger task ahead of them does not fit.
t.test("a task that does not fit does not block smaller ones", (t) => {
  const cell = createRackedCell(1, 1);
  cell.addJob({ id: "filler", workspace: "b", resources: buildResources(4) });
  cell.advance(500);
  cell.addJob({ id: "large", workspace: "a", resources: buildResources(8) });
  cell.addJob({ id: "small", workspace: "b" });
  cell.advance(500);
  t.equal(countRunning(cell, "large"), 0);
  t.equal(countRunning(cell, "small"), 1);
  t.end();
});

// Guards against a gang that holds resources for some of its tasks when the free capacity is too fragmented.
t.test("a gang that does not fit holds nothing", (t) => {
  const cell = createCell();
  cell.addWorker("w0", buildResources(8));
  cell.addWorker("w1", buildResources(4));
  cell.addWorker("w2", buildResources(4));
  cell.addWorker("w3", buildResources(8)).isDraining = true;
  cell.setWorkspace("a", AMPLE_RESOURCES);
  cell.advance(1_500);
  cell.addJob({
    id: "g",
    policy: "gang",
    tasks: 2,
    resources: buildResources(5),
  });
  cell.advance(3_000);
  t.equal(cell.getScheduler().getStatus().committed.processors, 0);
  t.notOk(cell.actions.some((action) => action.type === "assign"));
  t.end();
});

// Guards against a gang task that is never placed again because its peers finished while it was lost.
t.test("a lost gang task runs again after its peers have finished", (t) => {
  const cell = createCell({ obeysCheckpoint: false });
  for (const id of ["w0", "w1", "w2"]) cell.addWorker(id, buildResources(4));
  cell.setWorkspace("a", AMPLE_RESOURCES);
  cell.addJob({
    id: "g",
    policy: "gang",
    tasks: 3,
    resources: buildResources(4),
  });
  cell.advance(1_000);
  cell.workers.get("w0")!.isReachable = false;
  cell.getScheduler().removeWorker("w0");
  cell.advance(10_500);
  const left = cell.listRunning().filter(({ worker }) => worker.id !== "w0");
  for (const { task } of left) cell.end(task, "finished");
  cell.advance(2_000);
  t.strictSame(cell.getScheduler().getJob("g")?.counts.finished, 2);
  t.equal(countRunning(cell, "g"), 1);
  t.strictSame(cell.errors, []);
  t.end();
});

// Guards against a gang that keeps running without a failed task.
t.test("a gang restarts as a whole after one task fails", (t) => {
  const cell = createRackedCell(1, 3);
  cell.addJob({
    id: "g",
    policy: "gang",
    tasks: 3,
    resources: buildResources(5),
  });
  cell.advance(1_000);
  cell.end(cell.listRunning()[0]!.task, "failed");
  cell.advance(8_000);
  t.equal(countRunning(cell, "g"), 3);
  t.ok(cell.listRunning().every(({ task }) => task.attempt === 2));
  t.strictSame(cell.errors, []);
  t.end();
});

const STREAMS = [
  // Accurate declared times: jobs are backfilled ahead of the gang.
  {
    name: "short declared jobs",
    expectedMs: 2_000,
    runMs: 2_000,
    isFilled: true,
  },
  // Inaccurate declared times: the blocking tasks are preempted after the waiting limit.
  {
    name: "jobs that overrun",
    expectedMs: 2_000,
    runMs: 200_000,
    isFilled: true,
  },
];

// Guards against a gang that starves behind a steady stream of small jobs.
for (const { name, expectedMs, runMs } of STREAMS) {
  t.test(`a gang is not starved by ${name}`, (t) => {
    const cell = createCell({
      runTask: (task, _worker, nowMs) =>
        task.job.startsWith("s") && nowMs - task.startedMs >= runMs
          ? "finished"
          : undefined,
    });
    for (const id of ["w0", "w1", "w2"]) cell.addWorker(id, buildResources(4));
    for (const workspace of ["a", "b"]) {
      cell.setWorkspace(workspace, AMPLE_RESOURCES);
    }
    for (let second = 0; second < 90; second++) {
      for (let number = 0; number < 8; number++) {
        cell.addJob({ id: `s${second}-${number}`, workspace: "b", expectedMs });
      }
      if (second === 5) {
        cell.addJob({
          id: "g",
          policy: "gang",
          tasks: 3,
          resources: buildResources(4),
        });
      }
      cell.advance(1_000, 250);
    }
    t.equal(countRunning(cell, "g"), 3);
    t.strictSame(cell.errors, []);
    t.end();
  });
}

// Guards against idle reserved workers, and against long jobs that delay the gang.
t.test("only jobs that end in time are backfilled on reserved workers", (t) => {
  const cell = createRackedCell(1, 2);
  cell.addJob({ id: "long", resources: buildResources(6), expectedMs: 30_000 });
  cell.addJob({
    id: "other",
    resources: buildResources(6),
    expectedMs: 30_000,
  });
  cell.advance(1_000);
  cell.addJob({
    id: "g",
    policy: "gang",
    tasks: 2,
    resources: buildResources(8),
    workspace: "b",
  });
  cell.advance(500);
  cell.addJob({ id: "short", expectedMs: 5_000, workspace: "c" });
  cell.addJob({ id: "late", expectedMs: 60_000, workspace: "c" });
  cell.advance(1_000);
  t.equal(countRunning(cell, "short"), 1);
  t.equal(countRunning(cell, "late"), 0);
  t.end();
});

interface UrgentCase {
  name: string;
  /** The job that fills the cell before the urgent one arrives. */
  filler: Partial<JobSpec>;
  wanted: Partial<JobSpec>;
  obeysCheckpoint: boolean;
  commands: string[];
}

const URGENT_CASES: UrgentCase[] = [
  {
    name: "batch tasks that save a checkpoint",
    filler: { policy: "batch" },
    wanted: {},
    obeysCheckpoint: true,
    commands: ["checkpoint"],
  },
  {
    name:
      "batch tasks that ignore the checkpoint; a throttle does not free memory",
    filler: { policy: "batch" },
    wanted: {},
    obeysCheckpoint: false,
    commands: ["checkpoint", "throttle", "stop"],
  },
  {
    name: "services, which are throttled and keep running",
    filler: { policy: "service", resources: buildResources(2, 1) },
    wanted: { resources: buildResources(1, 1) },
    obeysCheckpoint: true,
    commands: ["throttle"],
  },
  {
    name: "an urgent gang",
    filler: { policy: "batch" },
    wanted: { policy: "gang", tasks: 2, resources: buildResources(8) },
    obeysCheckpoint: true,
    commands: ["checkpoint"],
  },
];

// Guards against urgent work that starts later than 3 s in a full cell, and against harsher commands than needed.
for (
  const { name, filler, wanted, obeysCheckpoint, commands } of URGENT_CASES
) {
  t.test(`urgent work starts within 3 s beside ${name}`, (t) => {
    const cell = createCell({ obeysCheckpoint });
    cell.addWorker("w0", buildResources(8), "r0");
    cell.addWorker("w1", buildResources(8), "r1");
    for (const workspace of ["a", "b"]) {
      cell.setWorkspace(workspace, AMPLE_RESOURCES);
    }
    const cores = (filler.resources?.processors ?? 1_000) / 1_000;
    cell.addJob({ id: "f", tasks: 16 / cores, ...filler });
    cell.advance(20_000);
    t.equal(cell.getScheduler().getStatus().committed.processors, 16_000);
    const before = cell.actions.length;
    cell.addJob({ id: "u", workspace: "b", urgent: true, ...wanted });
    cell.advance(3_000);
    t.equal(countRunning(cell, "u"), wanted.tasks ?? 1);
    const sent = cell.actions.slice(before).filter((action) =>
      "worker" in action && action.job === "f" && "reason" in action &&
      action.reason !== "unknown"
    ).map((action) => action.type);
    t.strictSame([...new Set(sent)], commands);
    t.strictSame(cell.errors, []);
    t.end();
  });
}

// Guards against throttled tasks that never get their processors back.
t.test("throttling ends when the urgent work has ended", (t) => {
  const cell = createRackedCell(1, 1);
  cell.addJob({
    id: "s",
    policy: "service",
    tasks: 4,
    resources: buildResources(2, 1),
  });
  cell.advance(2_000);
  cell.addJob({
    id: "u",
    urgent: true,
    resources: buildResources(1, 1),
    workspace: "b",
  });
  cell.advance(3_000);
  t.ok(cell.listRunning().some(({ task }) => task.limit === 1_000));
  cell.end(
    cell.listRunning().find(({ task }) => task.job === "u")!.task,
    "finished",
  );
  cell.advance(3_000);
  t.notOk(cell.listRunning().some(({ task }) => task.limit !== undefined));
  t.strictSame(cell.errors, []);
  t.end();
});

// Guards against victims that lose hours of work, and against victims from a workspace within its share.
t.test("victims come from workspaces over their share and lose the least work", (t) => {
  const cell = createRackedCell(1, 1);
  cell.addJob({ id: "small-share", workspace: "b" });
  cell.addJob({ id: "old", workspace: "a", tasks: 4 });
  cell.advance(60_000);
  cell.addJob({ id: "young", workspace: "a", tasks: 3 });
  cell.advance(2_000);
  cell.addJob({ id: "u", workspace: "c", urgent: true });
  cell.advance(3_000);
  const victims = cell.actions.filter((action) => action.type === "checkpoint");
  t.strictSame(victims.map((action) => action.job), ["young"]);
  t.end();
});
