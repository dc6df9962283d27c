import t from "tap";
import {
  AMPLE_RESOURCES,
  buildResources,
  type Cell,
  createCell,
} from "../../test/scheduling_cell.ts";
import { hasEjectionRoom } from "./worker_health.ts";

interface HealthCase {
  name: string;
  /** Tells whether a start fails. */
  fails: (job: string, worker: string, seconds: number) => boolean;
  /** A service has run on every worker for a while. */
  hasOldTasks?: boolean;
  /** Seconds to run and the workers out of service after them. */
  stages: { seconds: number; out: string[] }[];
}

const HEALTH_CASES: HealthCase[] = [
  {
    name: "a worker that fails everything leaves and stays out",
    fails: (_job, worker) => worker === "w0",
    stages: [{ seconds: 20, out: ["w0"] }, { seconds: 60, out: ["w0"] }],
  },
  {
    name: "old tasks that run on do not hide that every start fails",
    fails: (job, worker) => worker === "w0" && job !== "long",
    hasOldTasks: true,
    stages: [{ seconds: 30, out: ["w0"] }],
  },
  {
    name: "a worker that is repaired is probed and readmitted",
    fails: (_job, worker, seconds) => worker === "w0" && seconds < 30,
    stages: [{ seconds: 20, out: ["w0"] }, { seconds: 70, out: [] }],
  },
  {
    name: "jobs that fail everywhere condemn no worker",
    fails: (job) => job.endsWith("3") || job.endsWith("7"),
    stages: [{ seconds: 10, out: [] }, { seconds: 60, out: [] }],
  },
  {
    name: "a fault that all workers share takes out none",
    fails: () => true,
    stages: [{ seconds: 20, out: [] }, { seconds: 20, out: [] }],
  },
];

function runStage(cell: Cell, seconds: number, from: number): void {
  for (let second = from; second < from + seconds; second++) {
    for (let number = 0; number < 5; number++) {
      cell.addJob({ id: `j${second}-${number}${second % 10}`, maxAttempts: 5 });
    }
    cell.advance(1_000, 250);
  }
}

// Guards against a worker that swallows all work by failing it fast, and against good workers
// that are blamed for bad jobs.
for (const { name, fails, hasOldTasks, stages } of HEALTH_CASES) {
  t.test(name, (t) => {
    const cell = createCell({
      runTask(task, worker, nowMs) {
        const seconds = (nowMs - 1_000_000) / 1_000;
        if (fails(task.job, worker.id, seconds)) return "failed";
        if (task.job === "long") return undefined;
        return nowMs - task.startedMs >= 1_000 ? "finished" : undefined;
      },
    });
    for (let number = 0; number < 6; number++) {
      cell.addWorker(`w${number}`, buildResources(4));
    }
    cell.setWorkspace("a", AMPLE_RESOURCES);
    if (hasOldTasks) {
      cell.addJob({ id: "long", policy: "service", tasks: 6 });
      cell.advance(12_000);
    }
    let second = 0;
    for (const { seconds, out } of stages) {
      runStage(cell, seconds, second);
      second += seconds;
      const found = cell.getScheduler().getStatus().workersOutOfService;
      t.strictSame(found, out);
    }
    t.strictSame(cell.errors, []);
    t.end();
  });
}

// Guards against ejection that stops the cell when one cause makes many workers fail.
t.test("a third of the workers is taken out of service at most", (t) => {
  t.equal(hasEjectionRoom(9, 30), true);
  t.equal(hasEjectionRoom(10, 30), false);
  t.equal(hasEjectionRoom(0, 2), true);
  t.end();
});

// Guards against a task that uses up its attempts on the one worker that fails it.
t.test("a failed task is tried on another worker", (t) => {
  const cell = createCell({
    runTask: (_task, worker) => worker.id === "w0" ? "failed" : undefined,
  });
  cell.addWorker("w0", buildResources(4));
  cell.addWorker("w1", buildResources(4));
  cell.setWorkspace("a", AMPLE_RESOURCES);
  cell.addJob({ id: "j", tasks: 4, maxAttempts: 2 });
  cell.advance(10_000);
  t.equal(cell.getScheduler().getJob("j")?.counts.running, 4);
  t.end();
});
