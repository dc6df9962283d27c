import t from "tap";
import { createManualClock } from "../common/mod.ts";
import { createJob, createModelConfiguration } from "../model/mod.ts";
import { DEFAULT_JOB_LIMITS } from "./job_limits.ts";
import { createOpenSteps, type OpenStepsOptions } from "./open_steps.ts";
import type { OpenStep } from "./plan_types.ts";
import type { JobBody, WorkRecord } from "./types.ts";
import { createWorkState, encodeRecords } from "./work_state.ts";

/** Wall time at the start, in milliseconds. */
const NOW_MS = 10_000_000;
const INTERVAL_MS = 1_000;

/** Starts a list of the steps of one job, and counts how often an occurrence is read. */
function startList(
  body: JobBody,
  options: Pick<OpenStepsOptions, "maxOpenOccurrences"> = {},
) {
  const clock = createManualClock(NOW_MS);
  const state = createWorkState();
  let index = 0;
  const apply = (record: WorkRecord) =>
    void state.apply(encodeRecords([record]), ++index);
  apply({ kind: "configuration", configuration: createModelConfiguration() });
  apply({
    kind: "job",
    job: {
      ...body,
      id: "job",
      queue: "queue-0",
      pool: "pool",
      maxAttempts: 3,
      workspace: "workspace-0",
      submittedMs: NOW_MS,
    },
  });
  const reads = { count: 0 };
  const openSteps = createOpenSteps({
    state: {
      ...state,
      getOccurrence(job, occurrence) {
        reads.count += 1;
        return state.getOccurrence(job, occurrence);
      },
    },
    clock,
    workspaces: { isExcess: () => false },
    runTimes: { estimateMs: (_, declaredMs) => declaredMs },
    findAssumedEligibility: () => undefined,
    ...options,
  });
  openSteps.refresh("job");

  /** Records the starts of steps as a round does: all are hidden first. */
  function startAll(steps: readonly OpenStep[]): void {
    for (const step of steps) openSteps.setPlanned(step, step.waiting);
    for (const { job, occurrence, step, waiting } of steps) {
      const entries = waiting.map((task) => ({ index: task, life: "r@1" }));
      apply({ kind: "start", job, occurrence, step, run: 1, entries });
      openSteps.refresh(job, occurrence);
    }
    for (const step of steps) openSteps.clearPlanned(step, step.waiting);
  }

  function end(
    { occurrence, step }: Pick<OpenStep, "occurrence" | "step">,
    outcome: "done" | "lost",
  ): void {
    const task = { job: "job", occurrence, step, index: 0 };
    apply({
      kind: "end",
      task,
      run: 1,
      outcome,
      checkpoint: "",
      atMs: clock.wallTime(),
    });
    openSteps.refresh("job", occurrence);
  }

  return { clock, openSteps, reads, startAll, end };
}

function createSchedule(repetitions: number, firstRunMs: number): JobBody {
  const body = createJob([{ estimatedMs: 100 }]);
  return { ...body, repetitions, firstRunMs, intervalMs: INTERVAL_MS };
}

function listOccurrences(steps: readonly OpenStep[]): number[] {
  return steps.map(({ occurrence }) => occurrence);
}

// Guards against rounds whose cost grows with the square of the overdue occurrences:
// they took longer than the lease, and each leader in turn stopped at the job.
t.test("an overdue schedule is opened in order and at linear cost", (t) => {
  const count = 2_000;
  const { openSteps, reads, startAll } = startList(
    createSchedule(count, NOW_MS - count * INTERVAL_MS),
  );
  const started: number[] = [];
  for (;;) {
    const steps = openSteps.list();
    if (steps.length === 0) break;
    t.ok(steps.length <= DEFAULT_JOB_LIMITS.maxOpenOccurrences);
    started.push(...listOccurrences(steps));
    startAll(steps);
  }
  t.strictSame(started, Array.from({ length: count }, (_, at) => at));
  t.ok(reads.count <= 3 * count, `${reads.count} reads`);
  t.end();
});

t.test("no more occurrences are open than configured", (t) => {
  const { openSteps, startAll } = startList(createSchedule(5, 0), {
    maxOpenOccurrences: 2,
  });
  const steps = openSteps.list();
  t.strictSame(listOccurrences(steps), [0, 1]);
  startAll(steps);
  t.strictSame(listOccurrences(openSteps.list()), [2, 3]);
  t.end();
});

// Guards against the same cost with the steps of one occurrence.
t.test("the starts of a round read a job of many steps once", (t) => {
  const steps = Array.from({ length: 1_000 }, () => ({ estimatedMs: 100 }));
  const { openSteps, reads, startAll } = startList(createJob(steps));
  const open = openSteps.list();
  t.equal(open.length, 1_000);
  startAll(open);
  t.equal(openSteps.list().length, 0);
  t.equal(reads.count, 2);
  t.end();
});

t.test("occurrences open when they are due", (t) => {
  const { clock, openSteps } = startList(createSchedule(5, NOW_MS));
  t.strictSame(listOccurrences(openSteps.list()), [0]);
  t.notOk(openSteps.refreshTimed());
  clock.advance(2 * INTERVAL_MS);
  t.ok(openSteps.refreshTimed());
  t.strictSame(listOccurrences(openSteps.list()), [0, 1, 2]);
  clock.advance(60 * INTERVAL_MS);
  t.ok(openSteps.refreshTimed());
  t.equal(openSteps.list().length, 5);
  t.end();
});

// Guards against a run that is lost while other occurrences fill the list.
t.test("an occurrence opens again after its run is lost", (t) => {
  const count = 2 * DEFAULT_JOB_LIMITS.maxOpenOccurrences;
  const { openSteps, startAll, end } = startList(
    createSchedule(count, NOW_MS - count * INTERVAL_MS),
  );
  const [first, second] = openSteps.list();
  if (first === undefined || second === undefined) throw new Error("No steps");
  startAll([first, second]);
  end(first, "done");
  end(second, "lost");
  const open = listOccurrences(openSteps.list());
  t.ok(open.includes(second.occurrence));
  t.notOk(open.includes(first.occurrence));
  t.end();
});
