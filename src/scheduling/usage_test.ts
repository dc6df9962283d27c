import t from "tap";
import {
  AMPLE_RESOURCES,
  buildResources,
  createCell,
  type FakeTask,
} from "../../test/scheduling_cell.ts";

interface UsageCase {
  name: string;
  /** Usage of the task "overuser" in cores and gibibytes, by the seconds since its start. */
  usage: (seconds: number) => [number, number];
  command: "throttle" | "checkpoint" | undefined;
}

const USAGE_CASES: UsageCase[] = [
  {
    name: "stays within its declaration",
    usage: () => [2, 2],
    command: undefined,
  },
  {
    name: "uses idle processors of its worker",
    usage: () => [3, 2],
    command: undefined,
  },
  {
    name: "grows in processors",
    usage: (seconds) => [2 + 0.5 * seconds, 2],
    command: "throttle",
  },
  {
    name: "grows in memory",
    usage: (seconds) => [2, 2 + 0.5 * seconds],
    command: "checkpoint",
  },
];

// Guards against tasks that exceed their declaration and overload the worker, and against interventions on other tasks.
for (const { name, usage, command } of USAGE_CASES) {
  t.test(`a task that ${name}`, (t) => {
    const compliant = { ...buildResources(4) };
    let wasOverloaded = false;
    let overuser: FakeTask | undefined;
    const cell = createCell({
      runTask(task, _worker, nowMs) {
        task.usage = compliant;
        if (task.job !== "overuser") return undefined;
        overuser = task;
        const [cores, memoryGb] = usage((nowMs - task.startedMs) / 1_000);
        const wanted = buildResources(cores, memoryGb);
        task.usage = {
          ...wanted,
          processors: Math.min(wanted.processors, task.limit ?? Infinity),
        };
        wasOverloaded ||=
          task.usage.processors + compliant.processors > 8_000 ||
          task.usage.memoryMb + compliant.memoryMb > 8 * 1_024;
        return undefined;
      },
    });
    cell.addWorker("w0", buildResources(8));
    cell.setWorkspace("a", AMPLE_RESOURCES);
    cell.addJob({ id: "compliant", resources: compliant });
    cell.addJob({ id: "overuser", resources: buildResources(2) });
    cell.advance(10_000);
    const sent = cell.actions.filter((action) =>
      action.type === "throttle" || action.type === "checkpoint"
    );
    t.strictSame(
      [...new Set(sent.map((action) => action.type))],
      command === undefined ? [] : [command],
    );
    t.ok(sent.every((action) => action.job === "overuser"));
    t.equal(wasOverloaded, false);
    t.ok(overuser !== undefined);
    t.end();
  });
}

// Guards against new tasks on a worker whose tasks use more than they declared.
t.test("usage above the declaration is not available for placement", (t) => {
  const cell = createCell({
    runTask(task) {
      if (task.job === "overuser") task.usage = buildResources(3, 2);
      return undefined;
    },
  });
  cell.addWorker("w0", buildResources(4));
  cell.setWorkspace("a", AMPLE_RESOURCES);
  cell.addJob({ id: "overuser", resources: buildResources(2) });
  cell.advance(3_000);
  cell.addJob({ id: "next", resources: buildResources(2) });
  cell.advance(2_000);
  t.equal(cell.getScheduler().getJob("next")?.state, "queued");
  t.end();
});

// Guards against a job that declares too little memory and is checkpointed again and again.
t.test("a job that ran out of memory gets more in its next attempt", (t) => {
  const cell = createCell({
    runTask(task, worker, nowMs) {
      const grown = Math.min(6, 1 + (nowMs - task.startedMs) / 1_000);
      task.usage = buildResources(
        1,
        worker.id === "w0" && task.attempt === 1 ? grown : 1,
      );
      return undefined;
    },
  });
  cell.addWorker("w0", buildResources(4));
  cell.setWorkspace("a", AMPLE_RESOURCES);
  cell.addJob({ id: "overuser", resources: buildResources(1) });
  cell.advance(6_000);
  const before = cell.getScheduler().getStatus().committed.memoryMb;
  t.ok(before > 1_024, `${before} MB committed`);
  t.end();
});
