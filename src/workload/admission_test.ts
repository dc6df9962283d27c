import t from "tap";
import { createSilentLogger, type Fault, isFault } from "../common/mod.ts";
import {
  createJob,
  createModelConfiguration,
  createWorkModel,
  type SubmitOptions,
  type WorkModel,
  type WorkModelOptions,
} from "../model/mod.ts";
import { getJobState, runCall } from "../../test/work_model_calls.ts";
import type { StepSpec } from "./types.ts";
import { createWorkspaceUsageTracker } from "./workspace_use.ts";

/** Fills for a second what two runners have for it; late after 3 s, without value after 9 s. */
const WIDE: Partial<StepSpec> = {
  tasks: 16,
  resources: { processors: 480, memoryMb: 100, accelerators: 0 },
  estimatedMs: 1_000,
};

/** Settings with a queue of priority 0, and a workspace with little weight and one with a small cap. */
const CONFIGURATION = createModelConfiguration({
  queues: [{}, { name: "short", priority: 0 }],
  workspaces: [{}, { weight: 2 }, {
    cap: { processors: 1_000, memoryMb: 0, accelerators: 0 },
  }],
});

async function startModel(
  options: Partial<WorkModelOptions> = {},
): Promise<WorkModel> {
  const model = createWorkModel({
    configuration: CONFIGURATION,
    admission: true,
    ...options,
  });
  await model.addRunner("r1");
  await model.addRunner("r2");
  await model.run(100);
  return model;
}

interface StepOptions extends SubmitOptions {
  step?: Partial<StepSpec>;
  count?: number;
}

/** Submits a job; returns the fault if it is refused. */
function submitStep(
  model: WorkModel,
  id: string,
  options: StepOptions = {},
): Promise<Fault | undefined> {
  const body = createJob([options.step ?? WIDE]);
  return runCall(model, model.submit(id, body, options))
    .then(() => undefined, (error) => error);
}

/** Submits wide jobs; returns the faults of those that are refused by identifier. */
async function submitMany(
  model: WorkModel,
  name: string,
  options: StepOptions = {},
): Promise<Map<string, Fault>> {
  const refused = new Map<string, Fault>();
  for (let at = 0; at < (options.count ?? 20); at += 1) {
    const fault = await submitStep(model, `${name}-${at}`, options);
    if (fault !== undefined) refused.set(`${name}-${at}`, fault);
    await model.run(40);
  }
  return refused;
}

// Load: more work at once than can be done. Guards against accepted jobs that lose their
// value, retries that come at the same time, and refusals that do not say "not run".
t.test("of a backlog that cannot be worked off, the rest is refused", async (t) => {
  const lines: Record<string, unknown>[] = [];
  const counts: unknown[] = [];
  const model = await startModel({
    logger: {
      ...createSilentLogger(),
      info: (message, fields) =>
        void (message === "Job refused" && lines.push(fields ?? {})),
    },
    metrics: {
      addCount: (name, labels) =>
        void (name === "jobs_refused_total" && counts.push(labels)),
      setGauge: () => {},
      recordDuration: () => {},
    },
  });
  const refused = await submitMany(model, "job");
  t.ok(refused.size >= 8 && refused.size <= 14, `${refused.size} refused`);
  const faults = [...refused.values()];
  t.ok(faults.every((error) => isFault(error, "overloaded")));
  t.ok(faults.every(({ ran }) => ran === "no"));
  const retries = faults.map((fault) => Number(fault.details["retryAfterMs"]));
  t.ok(retries.every((ms) => ms >= 1_000 && ms <= 9_000));
  t.ok(new Set(retries).size > refused.size / 2);
  t.equal(lines.length, refused.size);
  t.match(lines[0], { endsInMs: Number, workAhead: Number, processors: 8_000 });
  t.strictSame(counts[0], { reason: "backlog" });
  await model.run(9_500);
  for (let at = 0; at < 20; at += 1) {
    if (refused.has(`job-${at}`)) continue;
    t.equal(getJobState(model, `job-${at}`), "completed", `job-${at}`);
  }
});

// Guards against a refused job that starts later, or that its caller cannot submit again.
t.test("a refused identifier that comes again is judged anew", async (t) => {
  const model = await startModel();
  const [id = ""] = [...(await submitMany(model, "job")).keys()].slice(-1);
  t.ok(await submitStep(model, id), "still no time for it");
  await model.run(10_000);
  t.equal(model.state.getJob(id), undefined);
  t.notOk(model.runners.countStarts() > 16 * 13, "none of it has started");
  t.equal(await submitStep(model, id), undefined);
  t.equal(await submitStep(model, id), undefined, "a known job is not judged");
  await model.run(2_000);
  t.equal(getJobState(model, id), "completed");
});

// Load: short urgent jobs beside a backlog of wide ones.
t.test("urgent short jobs are accepted beside a backlog", async (t) => {
  const model = await startModel();
  t.ok((await submitMany(model, "wide")).size > 0);
  const double = { step: { ...WIDE, tasks: 32 } };
  t.ok(await submitStep(model, "usual", double));
  const urgent = { ...double, queue: "short" };
  t.equal(await submitStep(model, "urgent", urgent), undefined);
  const step = { tasks: 3, estimatedMs: 100 };
  t.equal((await submitMany(model, "s", { step, queue: "short" })).size, 0);
  await model.run(3_000);
  t.equal(getJobState(model, "s-19"), "completed");
});

// Load: one workspace submits many times its weight.
t.test("a workspace that floods causes no refusals of others", async (t) => {
  const model = await startModel();
  const flood = await submitMany(model, "flood", { key: "key-1", count: 30 });
  t.ok(flood.size > 10);
  t.equal((await submitMany(model, "other", { count: 5 })).size, 0);
  await model.run(7_500);
  t.equal(getJobState(model, "other-4"), "completed");
});

// Failure: the leader changes under a backlog. A new one knows no free runner at first.
t.test("a new leader refuses only once it has polled most runners", async (t) => {
  const model = await startModel();
  const none = { processors: 0, memoryMb: 0, accelerators: 0 };
  const r3 = await model.addRunner("r3", { capacity: none });
  t.ok((await submitMany(model, "job")).size > 0);
  const r4 = await model.addRunner("r4", { capacity: none });
  r3.isPartitioned = r4.isPartitioned = true;
  model.changeLeader();
  await model.run(200);
  t.equal((await submitMany(model, "early", { count: 2 })).size, 0);
  r3.isPartitioned = false;
  await model.run(1_000);
  t.ok((await submitMany(model, "late", { count: 4 })).size > 0);
});

// Failure: a wall clock is set. Guards against refusals by times of two clocks, and
// against a workspace that has no tokens until the clock has caught up.
t.test("a clock step causes no refusals", async (t) => {
  let stepMs = 0;
  const model = await startModel({ getWallStepMs: () => stepMs });
  await submitMany(model, "job", { count: 6 });
  for (const next of [-3_600_000, 3_600_000]) {
    stepMs = next;
    await model.run(100);
    t.equal(await submitStep(model, `step-${next}`), undefined);
  }
  // The second bucket holds two jobs; the third one at the same time is beyond the weight.
  const { submittedMs, ...job } = model.state.getJob("job-0")!.spec;
  const use = createWorkspaceUsageTracker(model);
  const create = (id: string, atMs: number) => ({
    ...job,
    id,
    workspace: "workspace-1",
    submittedMs: submittedMs + atMs,
  });
  for (const id of ["a", "b", "c"]) use.addJob(create(id, 0));
  t.ok(use.isBeyondWeight(create("d", 0)));
  t.notOk(use.isBeyondWeight(create("e", -3_600_000)));
  for (const id of ["f", "g", "h"]) use.addJob(create(id, -3_600_000));
  t.strictSame(["f", "g", "h"].map(use.isExcess), [false, false, true]);
});

// Load: work that waits beside idle processors, also after its workspace was removed.
// Guards against refusals of jobs that could start at once.
t.test("work that cannot use the pool counts only as far as it can", async (t) => {
  const model = await startModel();
  const absent = { ...WIDE, requiredLabel: "absent" };
  t.equal((await submitMany(model, "unfit", { step: absent })).size, 0);
  const capped = await submitMany(model, "capped", { key: "key-2" });
  t.ok(capped.size < 20);
  t.equal(await submitStep(model, "one"), undefined);
  const workspaces = CONFIGURATION.workspaces.slice(0, 2);
  const next = { ...CONFIGURATION, version: 2, workspaces };
  await runCall(model, model.getController().changeConfiguration(next));
  t.equal(await submitStep(model, "two"), undefined);
  t.ok((await submitMany(model, "job")).size > 0);
  const step = { ...WIDE, tasks: 17, gang: true };
  t.equal(await submitStep(model, "gang", { step }), undefined);
});

// Guards against decisions in deployments that did not ask for them.
t.test("without the option all jobs are accepted", async (t) => {
  const model = await startModel({ admission: false });
  t.equal((await submitMany(model, "job", { count: 40 })).size, 0);
});
