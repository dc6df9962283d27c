import t from "tap";
import {
  AMPLE_RESOURCES,
  buildResources,
  type Cell,
  createCell,
} from "../../test/scheduling_cell.ts";
import { isEjectionAllowed } from "./worker_health.ts";

interface HealthCase {
  name: string;
  /** Returns whether a start fails. */
  fails: (job: string, worker: string, seconds: number) => boolean;
  /** A service runs on every worker before the first stage. */
  hasLongTasks?: boolean;
  /** The duration of each stage, and the workers out of service after it. */
  stages: { seconds: number; out: string[] }[];
}

const HEALTH_CASES: HealthCase[] = [
  {
    name:
      "a worker that fails every task is taken out of service and stays out",
    fails: (_job, worker) => worker === "w0",
    stages: [{ seconds: 20, out: ["w0"] }, { seconds: 60, out: ["w0"] }],
  },
  {
    name: "long-running tasks do not hide that every start fails",
    fails: (job, worker) => worker === "w0" && job !== "long",
    hasLongTasks: true,
    stages: [{ seconds: 30, out: ["w0"] }],
  },
  {
    name: "a worker that is repaired is probed and readmitted",
    fails: (_job, worker, seconds) => worker === "w0" && seconds < 30,
    stages: [{ seconds: 20, out: ["w0"] }, { seconds: 70, out: [] }],
  },
  {
    name: "jobs that fail everywhere eject no worker",
    fails: (job) => job.endsWith("3") || job.endsWith("7"),
    stages: [{ seconds: 10, out: [] }, { seconds: 60, out: [] }],
  },
  {
    name: "a fault shared by all workers ejects none",
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

// Guards against a faulty worker that attracts all tasks because it fails them quickly, and
// against healthy workers that are ejected because of faulty jobs.
for (const { name, fails, hasLongTasks, stages } of HEALTH_CASES) {
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
    if (hasLongTasks) {
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

// Guards against ejections that stop the cell when one cause makes many workers fail.
t.test("at most a third of the workers is taken out of service", (t) => {
  t.equal(isEjectionAllowed(9, 30), true);
  t.equal(isEjectionAllowed(10, 30), false);
  t.equal(isEjectionAllowed(0, 2), true);
  t.end();
});

// Guards against a task that uses up its attempts on a single faulty worker.
t.test("a failed task is retried on another worker", (t) => {
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
