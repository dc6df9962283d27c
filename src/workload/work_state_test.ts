import { Buffer } from "node:buffer";
import t from "tap";
import { createJob, createRunnerEntry } from "../model/mod.ts";
import type { WorkRecord } from "./types.ts";
import {
  countCrashes,
  createWorkState,
  encodeRecords,
  type WorkState,
} from "./work_state.ts";

function apply(state: WorkState, ...records: WorkRecord[]): void {
  state.apply(encodeRecords(records), 0);
}

function createSubmission(id: string, tasks: number): WorkRecord {
  const body = { ...createJob([{ tasks }]), payload: "x".repeat(1_000) };
  return {
    kind: "job",
    job: {
      ...body,
      id,
      queue: "queue",
      pool: "pool",
      maxAttempts: 3,
      submittedMs: 1,
    },
  };
}

function createRun(job: string, tasks: number): WorkRecord[] {
  const indexes = Array.from({ length: tasks }, (_, index) => index);
  return [
    {
      kind: "start",
      job,
      occurrence: 0,
      step: 0,
      run: 1,
      entries: indexes.map((index) => ({ index, life: "r@1" })),
    },
    ...indexes.map((index): WorkRecord => ({
      kind: "end",
      task: { job, occurrence: 0, step: 0, index },
      run: 1,
      outcome: "done",
      checkpoint: "",
      atMs: 2,
    })),
  ];
}

// Guards against large snapshots: one with several thousand ended jobs kept a
// leader busy for longer than the election timeout.
t.test("an ended job takes little space in a snapshot", (t) => {
  const state = createWorkState();
  for (let number = 0; number < 100; number += 1) {
    apply(state, createSubmission(`job-${number}`, 25));
  }
  const openBytes = state.takeSnapshot().length;
  for (let number = 0; number < 100; number += 1) {
    apply(state, ...createRun(`job-${number}`, 25));
  }
  const endedBytes = state.takeSnapshot().length;
  t.equal(state.getJob("job-7")?.state, "completed");
  t.equal(state.getJob("job-7")?.spec.payload, "");
  t.ok(endedBytes < openBytes / 2, `${endedBytes} of ${openBytes} bytes`);
  t.end();
});

t.test("late records change nothing about an ended job", (t) => {
  const state = createWorkState();
  apply(state, createSubmission("job", 2), {
    kind: "cancel",
    job: "job",
    atMs: 2,
  }, ...createRun("job", 2));
  t.equal(state.getJob("job")?.state, "cancelled");
  t.strictSame(state.getJob("job")?.occurrences, {});
  t.ok(state.getJob("job")?.spec.steps[0]?.resources);
  t.end();
});

// Guards against a leader that takes the runs of a job for gone as soon as it has ended.
t.test("an ended job keeps the runs that were active", (t) => {
  const state = createWorkState();
  const [start] = createRun("job", 2);
  if (start === undefined) throw new Error("No start");
  apply(state, createSubmission("job", 2), start, {
    ...createEnd(1, "lost"),
  }, { kind: "cancel", job: "job", atMs: 2 });
  apply(state, createSubmission("done", 2), ...createRun("done", 2));
  const next = createWorkState();
  next.restoreSnapshot(state.takeSnapshot());
  t.strictSame(
    [...next.listLeftRuns()].map(({ task, run }) => `${task.index}#${run}`),
    ["1#1"],
  );
  t.strictSame([...next.listLeftRuns()], [...state.listLeftRuns()]);
  t.end();
});

t.test("resubmitting an ended job creates no new job", (t) => {
  const state = createWorkState();
  apply(state, createSubmission("job", 1), ...createRun("job", 1));
  apply(state, createSubmission("job", 1));
  t.equal(state.getJob("job")?.state, "completed");
  t.end();
});

function createEnd(run: number, outcome: "lost" | "failed"): WorkRecord {
  const task = { job: "job", occurrence: 0, step: 0, index: 0 };
  return { kind: "end", task, run, outcome, checkpoint: "", atMs: 2 };
}

// Parallel polls and the next leader list an end again. Guards against a job that fails
// before its attempts are used up.
t.test("a late failure counts once", (t) => {
  const state = createWorkState();
  const [start] = createRun("job", 1);
  if (start?.kind !== "start") throw new Error("No start");
  apply(state, createSubmission("job", 1));
  const failures: (number | undefined)[] = [];
  const task = { job: "job", occurrence: 0, step: 0, index: 0 };
  for (const run of [1, 2]) {
    apply(state, { ...start, run }, createEnd(run, "lost"));
    for (let listing = 0; listing < 3; listing += 1) {
      apply(state, createEnd(run, "failed"));
      failures.push(state.getTask(task)?.failures);
    }
    const next = createWorkState();
    next.restoreSnapshot(state.takeSnapshot());
    apply(next, createEnd(run, "failed"), createEnd(run - 1, "failed"));
    failures.push(next.getTask(task)?.failures);
  }
  t.strictSame(failures, [1, 1, 1, 1, 2, 2, 2, 2]);
  apply(state, { ...start, run: 3 });
  apply(state, createEnd(3, "failed"), createEnd(3, "failed"));
  t.equal(state.getJob("job")?.state, "failed");
  t.end();
});

function createCrash(
  indexes: readonly number[],
  isSingleJob: boolean,
): WorkRecord & { kind: "crash" } {
  const suspects = indexes.map((index) => ({
    job: "job",
    occurrence: 0,
    step: 0,
    index,
  }));
  return { kind: "crash", suspects, cleared: [], isSingleJob, atMs: 5 };
}

// Guards against a job that crashes runner after runner, and against the failure of
// one that was only near other crashes.
t.test("a job is given up after crashes under one task", (t) => {
  const state = createWorkState();
  apply(state, createSubmission("job", 4));
  apply(state, createCrash([0], true), createCrash([1], true));
  apply(state, createCrash([0, 2], true), createCrash([0], false));
  t.equal(state.getJob("job")?.state, "queued", "three uncertain crashes");
  const other = createWorkState();
  // A new leader or a restarted instance knows the counts.
  other.restoreSnapshot(state.takeSnapshot());
  apply(state, createCrash([2], true), createCrash([0], false));
  apply(other, createCrash([2], true), createCrash([2], true));
  for (const { getJob } of [state, other]) {
    t.equal(getJob("job")?.state, "failed");
    t.equal(getJob("job")?.endedMs, 5);
  }
  t.end();
});

// Guards against a job that is given up after fewer crashes than its task has caused.
t.test("a crash that two leaders record counts once", (t) => {
  const state = createWorkState();
  apply(state, createSubmission("job", 1));
  const task = { job: "job", occurrence: 0, step: 0, index: 0 };
  const lives = ["r@1", "r@1", "r@2", "r@2", "r@3"];
  const counts = lives.map((life) => {
    apply(state, { ...createCrash([0], false), life });
    return state.getTask(task)?.crashes;
  });
  t.strictSame(counts, [1, 1, 2, 2, 3]);
  t.end();
});

// Guards against a crash that is taken back twice, or instead of another one.
t.test("only a counted crash is taken back, once", (t) => {
  const state = createWorkState();
  apply(state, createSubmission("job", 1));
  const task = { job: "job", occurrence: 0, step: 0, index: 0 };
  const withdraw = (life: string) =>
    apply(state, {
      ...createCrash([], false),
      life,
      withdrawn: [task, { ...task, index: 9 }, { ...task, job: "other" }],
    });
  for (const life of ["r@1", "r@2", "r@1"]) {
    apply(state, { ...createCrash([0], false), life });
  }
  t.equal(state.getTask(task)?.crashes, 2);
  const counts = ["r@3", "r@1", "r@1", "r@2", "r@2"].map((life) => {
    withdraw(life);
    return state.getTask(task)?.crashes;
  });
  t.strictSame(counts, [2, 1, 1, undefined, undefined]);
  t.equal(state.getTask(task)?.crashedLives, undefined);
  t.end();
});

// Guards against a long-running task that is given up after crashes in which it had
// been at work for long, and one in which it had just started.
t.test("a task that outlived its start is cleared by a crash", (t) => {
  const state = createWorkState();
  apply(state, createSubmission("job", 1));
  const cleared = [{ job: "job", occurrence: 0, step: 0, index: 0 }];
  for (let round = 0; round < 5; round += 1) {
    apply(state, createCrash([0], true), {
      kind: "crash",
      suspects: [],
      cleared,
      isSingleJob: false,
      atMs: 5,
    });
  }
  t.equal(state.getJob("job")?.state, "queued");
  t.end();
});

// Guards against a long-running task that is given up for unrelated crashes, far
// apart, in each of which it had just started.
t.test("a run that ends without a crash clears its task", (t) => {
  const state = createWorkState();
  apply(state, createSubmission("job", 1));
  const task = { job: "job", occurrence: 0, step: 0, index: 0 };
  for (let run = 1; run <= 6; run += 1) {
    apply(state, createCrash([0], true), {
      kind: "start",
      job: "job",
      occurrence: 0,
      step: 0,
      run,
      entries: [{ index: 0, life: "r@1" }],
    }, {
      kind: "end",
      task,
      run,
      outcome: run % 2 === 0 ? "stopped" : "lost",
      checkpoint: "",
      atMs: 6,
    });
  }
  t.equal(state.getJob("job")?.state, "running");
  t.equal(state.getTask(task)?.crashes, undefined);
  t.end();
});

// Guards against a leader that cannot read the records and snapshots of older versions.
t.test("the return of a runner is recorded, or is unknown", (t) => {
  const state = createWorkState();
  apply(
    state,
    { kind: "runner", runner: createRunnerEntry("r1") },
    { kind: "runner", runner: { ...createRunnerEntry("r2"), returnedMs: 7 } },
  );
  const next = createWorkState();
  next.restoreSnapshot(state.takeSnapshot());
  for (const { getRunner } of [state, next]) {
    t.strictSame(getRunner("r1"), createRunnerEntry("r1"));
    t.equal(getRunner("r2")?.returnedMs, 7);
  }
  t.end();
});

// Guards against a leader that does not know that a runner left just before it, and
// against departures that fill the state.
t.test("the departure of a runner is known for a while", (t) => {
  const state = createWorkState();
  for (const [id, atMs] of [["r1", undefined], ["r2", 7], ["r3", 8]] as const) {
    const life = `${id}@1`;
    apply(
      state,
      { kind: "runner", runner: createRunnerEntry(id) },
      { kind: "runnerGone", life: `${id}@0`, atMs: 1 },
    );
    t.equal(state.getGoneMs(id), undefined, "another incarnation");
    apply(state, { kind: "runnerGone", life, atMs });
    t.equal(state.getRunner(id), undefined);
  }
  const next = createWorkState();
  next.restoreSnapshot(state.takeSnapshot());
  const ids = ["r1", "r2", "r3"];
  for (const { getGoneMs } of [state, next]) {
    t.strictSame(ids.map(getGoneMs), [undefined, 7, 8]);
  }
  apply(
    next,
    { kind: "runner", runner: createRunnerEntry("r4") },
    { kind: "runnerGone", life: "r4@1", atMs: 60_008 },
  );
  t.strictSame(ids.map(next.getGoneMs), [undefined, undefined, 8]);
  t.end();
});

// Guards against a new leader that uses a draining runner again, and against a runner that
// is never used again after its start was unknown.
t.test("an incarnation that drained when it left is known for a while", (t) => {
  const state = createWorkState();
  for (
    const [id, isDraining, startedMs] of [
      ["r1", false, 1],
      ["r2", true, 1],
      ["r3", true, 0],
    ] as const
  ) {
    const runner = createRunnerEntry(id, { isDraining, startedMs });
    apply(
      state,
      { kind: "runner", runner },
      { kind: "runnerGone", life: `${id}@${startedMs}`, atMs: 7 },
    );
  }
  const next = createWorkState();
  next.restoreSnapshot(state.takeSnapshot());
  const lives = ["r1@1", "r2@1", "r2@2", "r3@0"];
  for (const { hasDrained } of [state, next]) {
    t.strictSame(lives.map(hasDrained), [false, true, false, false]);
  }
  apply(
    next,
    { kind: "runner", runner: createRunnerEntry("r4") },
    { kind: "runnerGone", life: "r4@1", atMs: 60_008 },
  );
  t.equal(next.hasDrained("r2@1"), false);
  t.end();
});

// Guards against a leader that cannot restore the snapshot of an older version.
t.test("a snapshot without departures is restored", (t) => {
  const state = createWorkState();
  const stored = { jobs: [], runners: [createRunnerEntry("r1")] };
  state.restoreSnapshot(Buffer.from(JSON.stringify(stored)));
  t.strictSame(state.getRunner("r1"), createRunnerEntry("r1"));
  t.equal(state.getGoneMs("r1"), undefined);
  t.end();
});

// Guards against the blame for one crash on whatever ran beside it, and against late
// crashes that never count.
t.test("late crashes count from the second one on", (t) => {
  const state = createWorkState();
  apply(state, createSubmission("job", 1));
  const task = { job: "job", occurrence: 0, step: 0, index: 0 };
  const counts = ["r@1", "r@1", "r@2", "r@3", "r@4"].map((life) => {
    apply(state, { ...createCrash([], false), life, lateSuspects: [task] });
    return countCrashes(state.getTask(task));
  });
  t.strictSame(counts, [0, 0, 2, 3, 4]);
  t.equal(state.getJob("job")?.state, "queued", "not given up by them alone");
  const withdrawn = ["r@2", "r@3", "r@4"];
  for (const life of withdrawn) {
    apply(state, { ...createCrash([], false), life, withdrawn: [task] });
  }
  t.equal(countCrashes(state.getTask(task)), 0);
  apply(state, {
    ...createCrash([], false),
    life: "r@5",
    lateSuspects: [task],
  });
  apply(state, { ...createCrash([0], true), life: "r@6" });
  t.equal(state.getJob("job")?.state, "queued", "three crashes");
  apply(state, { ...createCrash([0], true), life: "r@7" });
  t.equal(state.getJob("job")?.state, "failed", "four crashes");
  t.end();
});
