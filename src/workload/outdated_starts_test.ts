import t from "tap";
import { runCall } from "../../test/work_model_calls.ts";
import {
  createJob,
  createModelConfiguration,
  createRunnerEntry,
  createWorkModel,
  type RunnerFaults,
  type WorkModel,
  type WorkModelOptions,
} from "../model/mod.ts";

/** Resources of a task of which one fits on a runner, beside what is kept for urgent work. */
const FULL = { processors: 3_600, memoryMb: 100, accelerators: 0 };

/** Time to record a start, in milliseconds. */
const COMMIT_MS = 40;

/** Time for which a start is held, in milliseconds; longer than a runner may be started on once it drains. */
const HELD_MS = 3_000;

/** Options of a cell in which orders go through a relay while there is one. */
const RELAYED: Partial<WorkModelOptions> = {
  relays: ["relay"],
  relayLimits: { maxDirectRunners: 0, runnersPerRelay: 100 },
  getReplyCostMs: () => 0,
};

/** Creates a cell of one runner, or more, whose lease a test can take away. */
async function createCell(
  options: Partial<WorkModelOptions> = {},
  names: readonly string[] = ["r"],
) {
  const lease = { isHeld: true };
  const model = createWorkModel({
    configuration: createModelConfiguration(),
    commitMs: COMMIT_MS,
    hasLease: () => lease.isHeld,
    ...options,
  });
  const faults: RunnerFaults[] = [];
  for (const name of names) {
    faults.push(await model.addRunner(name, { dataCentre: "one" }));
  }
  await model.run(200);
  return { model, lease, faults };
}

/** Submits a job, and runs until a planning round has decided its starts. */
async function planStarts(model: WorkModel, tasks = 1): Promise<void> {
  const job = createJob([{ tasks, resources: FULL, estimatedMs: 400 }]);
  await runCall(model, model.submit("job", job));
  await model.run(15);
}

/**
 * Holds decided starts back: the leader loses its lease as soon as it has sent a change
 * to the log, and regains it once the change is long acknowledged.
 */
async function recordDuringPause(
  model: WorkModel,
  lease: { isHeld: boolean },
  change: Promise<unknown>,
): Promise<void> {
  lease.isHeld = false;
  await runCall(model, change);
  await model.run(HELD_MS);
  lease.isHeld = true;
  await model.run(1_000);
}

// Guards against a start that waits for the lease of a busy leader while its runner
// announces that it drains.
t.test("a start that waited is not sent to a draining runner", async (t) => {
  const { model, lease } = await createCell();
  await planStarts(model);
  await recordDuringPause(model, lease, model.announceDraining("r"));
  t.equal(model.runners.countStarts(), 0);
  await model.addRunner("other");
  await model.run(2_000);
  t.equal(model.runners.countStarts(), 1, "the task starts elsewhere");
  t.strictSame(model.runners.violations, []);
});

// Guards against a further copy of a start to a runner that has announced meanwhile that
// it drains.
t.test("no further copy of a start is sent to a draining runner", async (t) => {
  const { model, faults: [fault] } = await createCell();
  if (fault !== undefined) fault.orderDelayMs = 60_000;
  await planStarts(model);
  await model.run(COMMIT_MS + 20);
  await runCall(model, model.announceDraining("r"));
  if (fault !== undefined) fault.orderDelayMs = 0;
  await model.run(HELD_MS);
  t.equal(model.runners.countStarts(), 0);
});

/**
 * Lets a relay hold the order, and the runner announce that it drains. Until the relay
 * goes on, nothing else reaches the runner.
 */
async function recordDuringFreeze(
  model: WorkModel,
  fault: RunnerFaults | undefined,
  changeLeader: () => void = () => {},
): Promise<void> {
  await planStarts(model);
  model.freezeRelay("relay", HELD_MS);
  await model.run(COMMIT_MS);
  changeLeader();
  if (fault !== undefined) fault.refusesConnections = true;
  await runCall(model, model.announceDraining("r"));
  const relayMs = model.clock.now() + HELD_MS - 2 * COMMIT_MS - 15;
  while (model.clock.now() < relayMs) await model.run(5);
  if (fault !== undefined) fault.refusesConnections = false;
  await model.run(1_000);
}

// Guards against a start that a relay has held while the runner announced that it drains.
t.test("a held start does not begin on a draining runner", async (t) => {
  const { model, faults: [fault] } = await createCell(RELAYED);
  await recordDuringFreeze(model, fault);
  t.equal(model.runners.countStarts(), 0);
  t.strictSame(model.runners.violations, []);
});

// Guards against a held start of a former leader on a draining runner that its successor
// does not reach.
t.test("a former leader's start does not begin on a draining runner", async (t) => {
  const { model, faults: [fault] } = await createCell(RELAYED);
  await recordDuringFreeze(model, fault, model.changeLeader);
  t.equal(model.runners.countStarts(), 0);
  t.strictSame(model.runners.violations, []);
});

// Guards against a start that waits for the lease while its data centre is evacuated.
t.test("a start that waited is not sent to an evacuated data centre", async (t) => {
  const { model, lease } = await createCell();
  await planStarts(model);
  const change = { dataCentre: "one", isEvacuated: true };
  await recordDuringPause(
    model,
    lease,
    model.getController().setEvacuation(change),
  );
  t.equal(model.runners.countStarts(), 0);
});

// Guards against starts that wait for the lease while the cap of their workspace is
// lowered below what they use.
t.test("starts that waited stay within a lowered cap", async (t) => {
  const { model, lease } = await createCell({}, ["a", "b", "c"]);
  await planStarts(model, 3);
  const configuration = createModelConfiguration({
    version: 2,
    workspaces: [{ cap: { ...FULL, memoryMb: 0 } }],
  });
  await recordDuringPause(
    model,
    lease,
    model.getController().changeConfiguration(configuration),
  );
  t.strictSame(model.runners.violations, []);
  await model.run(5_000);
  t.equal(model.runners.countStarts(), 3, "all tasks run in turn");
  t.strictSame(model.runners.violations, []);
});

// Guards against a late announcement that makes a draining runner ready again, once its
// silent incarnation is closed while a start without a reply may still arrive there.
t.test("a late announcement does not bring a draining runner back", async (t) => {
  const { model, faults: [fault] } = await createCell();
  if (fault !== undefined) fault.orderDelayMs = 60_000;
  await planStarts(model);
  await model.run(COMMIT_MS + 20);
  await runCall(model, model.announceDraining("r"));
  if (fault !== undefined) fault.isPartitioned = true;
  await model.run(9_000);
  if (fault !== undefined) {
    fault.isPartitioned = false;
    fault.orderDelayMs = 0;
  }
  const entry = createRunnerEntry("r", { dataCentre: "one" });
  const late = { entry, sequence: 1, remainingMs: 0 };
  await runCall(model, model.getController().announceRunner(late));
  await model.run(3_000);
  t.equal(model.runners.countStarts(), 0);
  t.strictSame(model.runners.violations, []);
});
