import t from "tap";
import { createJob } from "../model/mod.ts";
import type { WorkRecord } from "./types.ts";
import {
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

t.test("resubmitting an ended job creates no new job", (t) => {
  const state = createWorkState();
  apply(state, createSubmission("job", 1), ...createRun("job", 1));
  apply(state, createSubmission("job", 1));
  t.equal(state.getJob("job")?.state, "completed");
  t.end();
});
