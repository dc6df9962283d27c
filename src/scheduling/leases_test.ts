import t from "tap";
import {
  AMPLE_RESOURCES,
  buildResources,
  type Cell,
  createCell,
} from "../../test/scheduling_cell.ts";

function createRunningCell(): Cell {
  const cell = createCell();
  cell.addWorker("w0", buildResources(1));
  cell.addWorker("w1", buildResources(1));
  cell.setWorkspace("a", AMPLE_RESOURCES);
  cell.addJob({ id: "j" });
  cell.advance(1_000);
  return cell;
}

interface FailoverCase {
  name: string;
  /** Time of the worker's next report, in milliseconds after the restore; undefined for never. */
  reportAfterMs: number | undefined;
  /** Time before which the task must not be placed again, in milliseconds after the restore. */
  heldMs: number;
  isMoved: boolean;
}

const FAILOVER_CASES: FailoverCase[] = [
  {
    name: "the worker reports at once",
    reportAfterMs: 0,
    heldMs: 30_000,
    isMoved: false,
  },
  {
    name: "the worker reports just before the lease expires",
    reportAfterMs: 9_800,
    heldMs: 30_000,
    isMoved: false,
  },
  {
    name: "the worker stays unresponsive",
    reportAfterMs: undefined,
    heldMs: 10_100,
    isMoved: true,
  },
];

// Guards against a task that runs twice because the new leader places it while it may still be running.
for (const { name, reportAfterMs, heldMs, isMoved } of FAILOVER_CASES) {
  t.test(`after a failover, ${name}`, (t) => {
    const cell = createRunningCell();
    const { worker } = cell.listRunning()[0]!;
    worker.isReachable = false;
    cell.restore();
    const before = cell.actions.length;
    const hasMoved = () =>
      cell.actions.slice(before).some((action) => action.type === "assign");
    if (reportAfterMs !== undefined) {
      cell.advance(reportAfterMs);
      worker.isReachable = true;
      cell.sendReport(worker);
    }
    cell.advance(heldMs - 100 - (reportAfterMs ?? 0));
    t.equal(hasMoved(), false);
    cell.advance(1_000);
    t.equal(hasMoved(), isMoved);
    t.strictSame(cell.errors, []);
    t.end();
  });
}

// Guards against attempts that are unknown to a new leader and keep running.
t.test("a report of an unknown task or an old attempt gets a stop", (t) => {
  const cell = createRunningCell();
  const { worker, task } = cell.listRunning()[0]!;
  const entries = [
    { job: "nowhere", index: 0, attempt: 1 },
    { job: "j", index: 0, attempt: 0 },
    { job: "j", index: 7, attempt: 1 },
  ];
  const tasks = [...entries, { job: "j", index: 0, attempt: task.attempt }]
    .map((entry) => ({ ...entry, state: "running" as const }));
  const report = {
    ...worker.lastReport!,
    sequence: worker.sequence + 100,
    tasks,
  };
  const reply = cell.getScheduler().receiveWorkerReport(
    report,
    cell.getNowMs(),
  );
  t.strictSame(reply.renewed, [{ job: "j", index: 0, attempt: 1 }]);
  const stops = cell.getScheduler().step(cell.getNowMs()).filter((action) =>
    action.type === "stop"
  );
  t.strictSame(
    stops.map(({ job, index, attempt }) => ({ job, index, attempt })),
    entries,
  );
  t.end();
});

// Guards against a delayed report that renews a lease or ends an attempt twice.
t.test("a delayed or duplicate report changes nothing", (t) => {
  const cell = createRunningCell();
  const { worker, task } = cell.listRunning()[0]!;
  cell.advance(1_000);
  const old = worker.lastReport!;
  cell.end(task, "finished");
  cell.advance(1_000);
  const { length } = cell.actions;
  t.strictSame(
    cell.getScheduler().receiveWorkerReport(old, cell.getNowMs()).renewed,
    [],
  );
  const ends = cell.actions.filter((action) => action.type === "endTask");
  t.equal(ends.length, 1);
  t.strictSame(cell.getScheduler().step(cell.getNowMs()), []);
  t.equal(cell.actions.length, length);
  t.end();
});

const REFUSALS = [
  "job cancelled",
  "worker removed",
  "worker drains",
  "allotment removed",
  "abandoned",
];

// Guards against a start that is sent although its assignment became invalid while it was being recorded.
for (const refusal of REFUSALS) {
  t.test(`an assignment does not start: ${refusal}`, (t) => {
    const cell = createCell({ confirmsAtOnce: false });
    const worker = cell.addWorker("w0", buildResources(1));
    cell.setWorkspace("a", AMPLE_RESOURCES);
    cell.addJob({ id: "j" });
    cell.advance(100);
    const assignment = cell.pending.splice(0)[0]!;
    if (refusal === "job cancelled") cell.cancelJob("j");
    if (refusal === "worker removed") cell.getScheduler().removeWorker("w0");
    if (refusal === "worker drains") {
      worker.isDraining = true;
      cell.sendReport(worker);
    }
    if (refusal === "allotment removed") {
      cell.setWorkspace("a", buildResources(0));
    }
    if (refusal === "abandoned") cell.abandon(assignment);
    else t.equal(cell.getScheduler().confirmAssignment(assignment), false);
    cell.advance(100);
    t.notOk(cell.actions.some((action) => action.type === "start"));
    t.equal(
      cell.getScheduler().getStatus().committed.processors > 0,
      refusal === "abandoned",
    );
    t.end();
  });
}

// Guards against a task that never runs because its start command was lost.
t.test("a lost start is sent again", (t) => {
  const cell = createCell({ confirmsAtOnce: false });
  const worker = cell.addWorker("w0", buildResources(1));
  cell.setWorkspace("a", AMPLE_RESOURCES);
  cell.addJob({ id: "j" });
  cell.advance(100);
  for (const attempt of cell.pending.splice(0)) cell.confirm(attempt);
  worker.isReachable = false;
  cell.advance(100);
  worker.isReachable = true;
  cell.advance(2_500);
  t.equal(cell.listRunning().length, 1);
  t.equal(cell.actions.filter((action) => action.type === "start").length, 2);
  t.end();
});

// Guards against a repeated start on a worker that has begun to drain since the first start.
t.test("a lost start is not sent again to a draining worker", (t) => {
  const cell = createCell();
  const worker = cell.addWorker("w0", buildResources(1));
  cell.setWorkspace("a", AMPLE_RESOURCES);
  cell.addJob({ id: "j" });
  worker.isReachable = false;
  cell.advance(200);
  worker.isReachable = true;
  worker.isDraining = true;
  cell.addWorker("w1", buildResources(1));
  cell.advance(30_000);
  const starts = cell.actions.flatMap((action) =>
    action.type === "start" ? [action.worker] : []
  );
  t.strictSame(starts, ["w0", "w1"]);
  t.strictSame(cell.errors, []);
  t.end();
});

// Guards against a repeated start that exceeds an allotment that has shrunk since the first start.
t.test("a lost start is not sent again above the allotment", (t) => {
  const cell = createCell();
  const worker = cell.addWorker("w0", buildResources(2));
  cell.setWorkspace("a", buildResources(2));
  cell.addJob({ id: "j", tasks: 2 });
  cell.advance(100);
  worker.isReachable = false;
  cell.advance(100);
  worker.isReachable = true;
  cell.setWorkspace("a", buildResources(1));
  cell.advance(8_000);
  t.equal(cell.actions.filter((action) => action.type === "start").length, 2);
  t.strictSame(cell.errors, []);
  cell.advance(8_000);
  t.equal(cell.listRunning().length, 1);
  t.strictSame(cell.errors, []);
  t.end();
});

// Guards against a task that starts near the end of a short lease, which expires before the worker's next report.
t.test("a start leaves time to renew a short lease", (t) => {
  const cell = createCell({ scheduler: { leaseMs: 5_000 } });
  const worker = cell.addWorker("w0", buildResources(1));
  cell.setWorkspace("a", AMPLE_RESOURCES);
  cell.advance(1_000);
  worker.isReachable = false;
  // A report may take a second to reach the leader; the next ones follow every second.
  cell.advance(2_100);
  cell.addJob({ id: "j" });
  cell.advance(800);
  const isAssigned = () => cell.actions.some(({ type }) => type === "assign");
  t.equal(isAssigned(), false);
  worker.isReachable = true;
  cell.advance(1_500);
  t.equal(isAssigned(), true);
  t.strictSame(cell.errors, []);
  t.end();
});
