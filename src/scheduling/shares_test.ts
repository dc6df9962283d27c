import t from "tap";
import {
  AMPLE_RESOURCES,
  buildResources,
  type Cell,
  createCell,
} from "../../test/scheduling_cell.ts";
import {
  computeAssetShare,
  computeDominantShare,
  computeJainIndex,
} from "./shares.ts";

function createFullCell(weights: Record<string, number>, runMs: number): Cell {
  const cell = createCell({
    runTask: (task, _worker, nowMs) =>
      nowMs - task.startedMs >= runMs ? "finished" : undefined,
  });
  for (const id of ["w0", "w1", "w2", "w3"]) {
    cell.addWorker(id, buildResources(10));
  }
  for (const [workspace, weight] of Object.entries(weights)) {
    cell.setWorkspace(workspace, AMPLE_RESOURCES, weight);
  }
  return cell;
}

function countCores(cell: Cell, workspace: string): number {
  return cell.listRunning().filter(({ task }) =>
    task.spec.workspace === workspace
  )
    .reduce((sum, { task }) => sum + task.spec.resources.processors / 1_000, 0);
}

const SHARE_CASES: {
  name: string;
  weights: Record<string, number>;
  cores: Record<string, number>;
}[] = [
  { name: "equal weights", weights: { a: 1, b: 1 }, cores: { a: 20, b: 20 } },
  {
    name: "weights of 3 to 1",
    weights: { a: 3, b: 1 },
    cores: { a: 30, b: 10 },
  },
  {
    name: "three workspaces",
    weights: { a: 2, b: 1, c: 1 },
    cores: { a: 20, b: 10, c: 10 },
  },
];

// Guards against a workspace that gets more or less than its weighted share in a full cell.
for (const { name, weights, cores } of SHARE_CASES) {
  t.test(`a full cell is divided by ${name}`, (t) => {
    const cell = createFullCell(weights, 4_000);
    // The first workspace fills the cell; the others submit a second later.
    for (const [position, workspace] of Object.keys(weights).entries()) {
      cell.addJob({ id: workspace, workspace, tasks: 300, expectedMs: 4_000 });
      if (position === 0) cell.advance(1_000);
    }
    cell.advance(15_000);
    for (const [workspace, expected] of Object.entries(cores)) {
      const found = countCores(cell, workspace);
      t.ok(
        Math.abs(found - expected) <= 1,
        `${workspace} holds ${found} of ${expected} cores`,
      );
    }
    t.end();
  });
}

// Guards against idle resources that cannot be borrowed, and borrowed resources that are not reclaimed.
t.test("idle resources are borrowed and reclaimed", (t) => {
  const cell = createFullCell({ a: 1, b: 1 }, Infinity);
  cell.addJob({ id: "a", tasks: 100, expectedMs: 3_600_000 });
  cell.advance(2_000);
  t.equal(countCores(cell, "a"), 40);
  cell.addJob({ id: "b", workspace: "b", tasks: 100, expectedMs: 3_600_000 });
  cell.advance(30_000);
  t.equal(countCores(cell, "a"), 20);
  t.equal(countCores(cell, "b"), 20);
  cell.advance(30_000);
  t.equal(
    countCores(cell, "a"),
    20,
    "reclaimed resources are not borrowed again",
  );
  t.strictSame(cell.errors, []);
  t.end();
});

const ALLOTMENT_CASES = [
  {
    name: "processors",
    before: buildResources(12),
    after: buildResources(5, 1e3),
  },
  { name: "memory", before: buildResources(12), after: buildResources(1e3, 5) },
  {
    name: "everything, below zero",
    before: buildResources(12),
    after: buildResources(-3),
  },
];

// Guards against a workspace that exceeds its allotment, at a task start and after the allotment has shrunk.
for (const { name, before, after } of ALLOTMENT_CASES) {
  t.test(`an allotment that shrinks in ${name} is enforced`, (t) => {
    const cell = createFullCell({ a: 1 }, Infinity);
    cell.setWorkspace("a", before);
    cell.addJob({ id: "s", policy: "service", tasks: 3 });
    cell.addJob({ id: "g", policy: "gang", tasks: 3 });
    cell.addJob({ id: "b", tasks: 30 });
    cell.advance(3_000);
    t.equal(countCores(cell, "a"), 12);
    cell.setWorkspace("a", after);
    cell.advance(5_000);
    const bound = Math.max(
      0,
      Math.min(after.processors / 1_000, after.memoryMb / 1_024),
    );
    t.ok(
      countCores(cell, "a") <= bound,
      `${countCores(cell, "a")} of ${bound} cores`,
    );
    t.strictSame(cell.errors, []);
    t.end();
  });
}

// Guards against urgent work that waits because batch tasks of its own workspace use up the allotment.
t.test("urgent work preempts batch tasks of its own workspace", (t) => {
  const cell = createFullCell({ a: 1 }, Infinity);
  cell.setWorkspace("a", buildResources(4));
  cell.addJob({ id: "b", tasks: 9 });
  cell.advance(2_000);
  cell.addJob({ id: "u", urgent: true });
  cell.advance(3_000);
  t.ok(cell.listRunning().some(({ task }) => task.job === "u"));
  t.equal(countCores(cell, "a"), 4);
  t.strictSame(cell.errors, []);
  t.end();
});

// Guards against shares that ignore a workspace's scarcest resource, and index values that are not comparable.
t.test("shares and the fairness index", (t) => {
  const total = buildResources(100, 100, 10);
  const held = buildResources(10, 20, 5);
  t.equal(computeDominantShare(held, total), 0.5);
  t.ok(Math.abs(computeAssetShare(held, total) - 0.8 / 3) < 1e-9);
  t.equal(computeJainIndex([1, 1, 1, 1]), 1);
  t.equal(computeJainIndex([4, 0, 0, 0]), 0.25);
  t.end();
});
