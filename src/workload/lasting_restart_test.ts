import t from "tap";
import {
  createJob,
  createModelConfiguration,
  createWorkModel,
  type WorkModel,
} from "../model/mod.ts";
import { listRuns, runCall } from "../../test/work_model_calls.ts";
import { isOpenJob } from "./work_state.ts";

/** Time within which a task that lasts runs again after its last run; the platform states 6 s and 3 s. */
const RESTART_MS = 9_000;

/** Starts a cell with runners `r1` to `r3`, an urgent queue and one for tasks that last. */
async function startModel(): Promise<WorkModel> {
  const model = createWorkModel({
    configuration: createModelConfiguration({
      queues: [{ name: "urgent", priority: 0 }, {
        name: "lasting",
        priority: 2,
      }],
    }),
  });
  for (const runner of ["r1", "r2", "r3"]) await model.addRunner(runner);
  await model.run(100);
  return model;
}

async function submit(
  model: WorkModel,
  id: string,
  queue: string,
  processors: number,
): Promise<void> {
  const step = {
    longRunning: queue === "lasting",
    resources: { processors, memoryMb: 100, accelerators: 0 },
    estimatedMs: 60_000,
  };
  await runCall(model, model.submit(id, createJob([step]), { queue }));
}

/** Returns the runner of a job's task; undefined if none runs it. */
function findRunner(model: WorkModel, job: string): string | undefined {
  const [run] = listRuns(model).filter((other) => other.startsWith(`${job}#`));
  return run?.slice(run.indexOf("@") + 1);
}

// Guards against a long-running task that is not started again after the loss of its
// runner, while urgent work uses all but what is reserved for it.
t.test("a long-running task restarts beside urgent work", async (t) => {
  const model = await startModel();
  await submit(model, "lasting", "lasting", 50);
  await model.run(100);
  for (const id of ["u1", "u2", "u3"]) await submit(model, id, "urgent", 3_900);
  await model.run(500);
  t.equal(listRuns(model).length, 4);
  model.runners.crash(findRunner(model, "lasting") ?? "");
  await model.run(RESTART_MS);
  t.not(findRunner(model, "lasting"), undefined);
  t.strictSame(model.runners.violations, []);
});

// Guards against work that is new and can wait, but takes what is reserved.
t.test("a new long-running task leaves the reserve to urgent work", async (t) => {
  const model = await startModel();
  for (const id of ["u1", "u2", "u3"]) await submit(model, id, "urgent", 3_900);
  await model.run(500);
  await submit(model, "lasting", "lasting", 50);
  await model.run(2_000);
  t.equal(findRunner(model, "lasting"), undefined);
});

// Guards against a sound long-running job that is shown as failed, as its runners crashed
// shortly after its starts: only failed runs count, and for such tasks not even those.
t.test("a long-running job outlives any number of crashes", async (t) => {
  const model = await startModel();
  await submit(model, "lasting", "lasting", 50);
  await model.run(3_000);
  for (let crash = 0; crash < 8; crash += 1) {
    const runner = findRunner(model, "lasting") ?? "";
    model.runners.crash(runner);
    await model.run(1_000);
    await model.addRunner(runner, { startedMs: crash + 2 });
    if (crash % 3 === 2) model.changeLeader();
    let waitedMs = 1_000;
    while (findRunner(model, "lasting") === undefined && waitedMs < 20_000) {
      await model.run(10);
      waitedMs += 10;
    }
    t.ok(waitedMs <= RESTART_MS, `${waitedMs} ms after crash ${crash + 1}`);
    await model.run(450);
  }
  t.ok(isOpenJob(model.state.getJob("lasting")!));
  t.strictSame(model.runners.violations, []);
});
