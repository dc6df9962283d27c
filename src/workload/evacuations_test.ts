import { Buffer } from "node:buffer";
import t from "tap";
import { isFault } from "../common/mod.ts";
import { createJob, type WorkModel } from "../model/mod.ts";
import {
  createModel,
  getJobState,
  runCall,
  submitJob,
} from "../../test/work_model_calls.ts";
import { createWorkState, encodeRecords } from "./work_state.ts";

/** Resources of a task of which one fits on a runner, beside what is kept for urgent work. */
const FULL = { processors: 3_600, memoryMb: 100, accelerators: 0 };

/** Starts a cell with two runners in each named data centre, called `one-0`, `one-1` and so on. */
async function startModel(...dataCentres: string[]): Promise<WorkModel> {
  const model = createModel();
  for (const dataCentre of dataCentres) {
    for (const at of [0, 1]) {
      await model.addRunner(`${dataCentre}-${at}`, { dataCentre });
    }
  }
  return model;
}

function setEvacuation(
  model: WorkModel,
  dataCentre: string,
  isEvacuated = true,
) {
  return model.getController().setEvacuation({ dataCentre, isEvacuated });
}

function startEvacuation(model: WorkModel, dataCentre: string) {
  return runCall(model, setEvacuation(model, dataCentre));
}

function countRunsIn(model: WorkModel, dataCentre: string): number {
  return model.runners.listRunning()
    .filter(({ runner }) => runner.startsWith(dataCentre)).length;
}

// Guards against a start in a data centre that an operator has emptied.
t.test("no task starts in an evacuated data centre", async (t) => {
  const model = await startModel("one", "two");
  await submitJob(model, "early", { tasks: 4, resources: FULL });
  await model.run(100);
  t.equal(countRunsIn(model, "one"), 2);
  await startEvacuation(model, "one");
  t.equal(countRunsIn(model, "one"), 2, "what runs goes on");
  await submitJob(model, "late", { tasks: 8, resources: FULL });
  await model.run(600);
  for (let round = 0; round < 30; round += 1) {
    t.equal(countRunsIn(model, "one"), 0);
    await model.run(100);
  }
  t.equal(getJobState(model, "early"), "completed");
  t.equal(getJobState(model, "late"), "completed");
});

// Guards against a start whose decision precedes the evacuation and whose record follows it.
t.test("starts that are being recorded are held back", async (t) => {
  const model = await startModel("one", "two");
  const order = setEvacuation(model, "one");
  const job = createJob([{ tasks: 3, gang: true, resources: FULL }]);
  const accepted = model.submit("gang", job);
  await runCall(model, Promise.all([order, accepted]));
  await model.run(1_000);
  t.equal(countRunsIn(model, "one"), 0);
  await runCall(model, setEvacuation(model, "one", false));
  await model.run(2_000);
  t.equal(getJobState(model, "gang"), "completed");
  t.strictSame(model.runners.violations, []);
});

// Guards against an evacuation that only its leader knows: the leader is killed once the
// order is recorded, and all instances restart from their snapshots.
t.test("an evacuation outlives its leader and a loss of power", async (t) => {
  const model = await startModel("one");
  const order = setEvacuation(model, "one");
  order.catch(() => {});
  await model.run(11);
  model.changeLeader();
  await t.rejects(runCall(model, order));
  await startEvacuation(model, "one");
  model.state.restoreSnapshot(model.state.takeSnapshot());
  model.changeLeader();
  await submitJob(model, "job", {});
  await model.run(3_000);
  t.equal(model.runners.countStarts(), 0);
  t.equal(getJobState(model, "job"), "queued");
  await runCall(model, setEvacuation(model, "one", false));
  await model.run(1_000);
  t.equal(getJobState(model, "job"), "completed");
});

// Guards against an order that finds nothing to change while the opposite one is recorded.
t.test("the orders of two operators are carried out in turn", async (t) => {
  const model = await startModel("one");
  await runCall(
    model,
    Promise.all([
      setEvacuation(model, "one"),
      setEvacuation(model, "one", false),
    ]),
  );
  t.notOk(model.state.evacuations.has("one"));
  await runCall(
    model,
    Promise.all([
      setEvacuation(model, "one"),
      setEvacuation(model, "one", false),
      setEvacuation(model, "one"),
      setEvacuation(model, "one"),
    ]),
  );
  t.ok(model.state.evacuations.has("one"));
});

// Guards against records without end: each repeated order would write one.
t.test("a flood of repeated orders is acknowledged without records", async (t) => {
  const model = await startModel("one");
  await startEvacuation(model, "one");
  const [first] = model.state.evacuations.list();
  await model.run(100);
  let records = 0;
  const { apply } = model.state;
  model.state.apply = (...command) => {
    records += 1;
    return apply(...command);
  };
  await runCall(
    model,
    Promise.all(Array.from({ length: 500 }, () => setEvacuation(model, "one"))),
  );
  t.equal(records, 0);
  t.strictSame(model.state.evacuations.list(), [first]);
});

t.test("an unknown data centre is refused", async (t) => {
  const model = await startModel("one");
  const fault = await startEvacuation(model, "two").catch((error) => error);
  t.ok(isFault(fault, "notFound"));
  t.match(fault.message, '"two"');
  t.strictSame(model.state.evacuations.list(), []);
});

// Guards against a gang that waits for runners which it may no longer use.
t.test("a gang that waits for an evacuated data centre starts elsewhere", async (t) => {
  const model = await startModel("one", "two", "three");
  await submitJob(model, "long", {
    tasks: 3,
    resources: FULL,
    estimatedMs: 2_000,
  });
  await submitJob(model, "gang", { tasks: 4, gang: true, resources: FULL });
  await model.run(500);
  await startEvacuation(model, "one");
  await model.run(4_000);
  t.equal(getJobState(model, "gang"), "completed");
  t.strictSame(model.runners.violations, []);
});

// Guards against work that is lost when only one data centre is left.
t.test("one data centre serves what the others cannot", async (t) => {
  const model = await startModel("one", "two", "three");
  await startEvacuation(model, "one");
  await startEvacuation(model, "two");
  await submitJob(model, "job", { tasks: 6, resources: FULL });
  await model.run(3_000);
  t.equal(getJobState(model, "job"), "completed");
  t.equal(countRunsIn(model, "one") + countRunsIn(model, "two"), 0);
});

// Guards against a snapshot of an older version, and a member that applies its records.
t.test("a snapshot without evacuations is restored", (t) => {
  const state = createWorkState();
  state.apply(
    encodeRecords([{
      kind: "evacuation",
      dataCentre: "one",
      isEvacuated: true,
      atMs: 5,
    }]),
    0,
  );
  const { evacuations: _, ...older } = JSON.parse(
    Buffer.from(state.takeSnapshot()).toString(),
  );
  t.strictSame(state.evacuations.list(), [{ dataCentre: "one", sinceMs: 5 }]);
  state.restoreSnapshot(Buffer.from(JSON.stringify(older)));
  t.strictSame(state.evacuations.list(), []);
  t.end();
});

// Guards against waiting work that reaches the runners of a returned data centre at once.
t.test("a cold runner gets its tasks one after the other", async (t) => {
  const model = await startModel("one");
  for (const id of ["one-0", "one-1"]) {
    const entry = model.state.getRunner(id);
    if (entry === undefined) throw new Error("The runner is unknown");
    await runCall(
      model,
      model.getController()
        .announceRunner({ entry, sequence: 2, remainingMs: 0, coldMs: 1_000 }),
    );
  }
  for (const job of ["a", "b", "c", "d", "e", "f"]) {
    await submitJob(model, job, { estimatedMs: 5_000 });
  }
  await model.run(50);
  t.equal(model.runners.listRunning().length, 2);
  await model.run(1_000);
  t.equal(model.runners.listRunning().length, 6);
});

// Guards against tasks on a cold runner beside a warm one with room.
t.test("warm runners come before cold ones", async (t) => {
  const model = await startModel("one");
  const entry = model.state.getRunner("one-0");
  if (entry === undefined) throw new Error("The runner is unknown");
  await runCall(
    model,
    model.getController()
      .announceRunner({ entry, sequence: 2, remainingMs: 0, coldMs: 5_000 }),
  );
  for (const job of ["a", "b", "c"]) await submitJob(model, job, {});
  await model.run(100);
  t.equal(countRunsIn(model, "one-1"), 3);
});
