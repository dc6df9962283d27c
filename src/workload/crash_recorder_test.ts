import t from "tap";
import { createManualClock, createSilentLogger } from "../common/mod.ts";
import { createJob, createRunnerEntry } from "../model/mod.ts";
import { createCrashRecorder } from "./crash_recorder.ts";
import { LATE_CRASH_WINDOW_MS } from "./crash_suspects.ts";
import { addOccupant, createRunner, type Runner } from "./runner_table.ts";
import type { TaskRef, WorkRecord } from "./types.ts";
import { countCrashes, createWorkState, encodeRecords } from "./work_state.ts";

const NOW_MS = 10_000;

/** A start that was answered 1 s before the last reply of its runner. */
const OLD_START_MS = NOW_MS - 1_000;

function createTask(job: string): TaskRef {
  return { job, occurrence: 0, step: 0, index: 0 };
}

/** Creates a state with open jobs, a runner that replied just now, and a recorder. */
function createSetup(jobs: readonly string[], { longRunning = false } = {}) {
  const state = createWorkState();
  const written: WorkRecord[] = [];
  const runners: Runner[] = [];
  const apply = (records: readonly WorkRecord[]) => {
    written.push(...records);
    state.apply(encodeRecords(records), 0);
    return Promise.resolve(true);
  };
  for (const id of jobs) {
    const spec = {
      ...createJob([{ longRunning }]),
      id,
      queue: "queue",
      pool: "pool",
      maxAttempts: 3,
      submittedMs: 0,
    };
    void apply([{ kind: "job", job: spec }]);
  }
  written.length = 0;
  const runner = createRunner(createRunnerEntry("r1"), NOW_MS);
  runner.lastReplyMs = NOW_MS;
  const createRecorder = () =>
    createCrashRecorder({
      clock: createManualClock(NOW_MS),
      logger: createSilentLogger(),
      state,
      listRunners: () => runners,
      record: apply,
    });
  const recorder = createRecorder();
  return { state, runner, recorder, createRecorder, written, runners };
}

/** Adds the run of a job whose start was answered. */
function addRun(runner: Runner, job: string, orderSentMs: number) {
  const { resources } = createJob([{}]).steps[0] ?? {};
  if (resources === undefined) throw new Error("A job has no step");
  const occupant = addOccupant(
    runner,
    { task: createTask(job), run: 1, resources },
    "running",
    orderSentMs,
  );
  occupant.orderSentMs = orderSentMs;
  occupant.isExecuted = true;
  return occupant;
}

// Guards against a crash that is written although no task can have caused it.
t.test("a crash without suspects is not recorded", async (t) => {
  const { runner, recorder, written } = createSetup(["old"]);
  addRun(runner, "old", NOW_MS - LATE_CRASH_WINDOW_MS - 1);
  await recorder.recordCrash(runner);
  t.strictSame(written, []);
});

// Guards against the blame on what ran on a runner that went away with others.
t.test("a late suspect is recorded unless other runners went away", async (t) => {
  for (const othersAway of [0, 1]) {
    const { state, runner, recorder, written, runners } = createSetup(["late"]);
    for (let at = 0; at < othersAway; at += 1) {
      const other = createRunner(createRunnerEntry(`o${at}`), NOW_MS);
      other.lastReplyMs = NOW_MS - 1_900;
      other.isUnresponsive = true;
      runners.push(other);
    }
    addRun(runner, "late", OLD_START_MS);
    await recorder.recordCrash(runner);
    t.equal(written.length, othersAway < 1 ? 1 : 0);
    t.equal(countCrashes(state.getTask(createTask("late"))), 0);
  }
});

// Guards against a crash that does not count because the lease had ended before.
t.test("a run that was released with the lease is a suspect", async (t) => {
  const { state, runner, recorder } = createSetup(["released"]);
  const occupant = addRun(runner, "released", NOW_MS);
  runner.occupants.clear();
  runner.lostOccupants = [occupant];
  await recorder.recordCrash(runner);
  t.equal(state.getTask(createTask("released"))?.crashes, 1);
});

// Guards against a lasting task that keeps the blame for crashes of others.
t.test("a long-running task that outlived its start is cleared", async (t) => {
  const { state, runner, recorder } = createSetup(["lasting"], {
    longRunning: true,
  });
  const occupant = addRun(runner, "lasting", NOW_MS);
  await recorder.recordCrash(runner);
  t.equal(state.getTask(createTask("lasting"))?.crashes, 1);
  occupant.orderSentMs = OLD_START_MS;
  await recorder.recordCrash(runner);
  t.equal(state.getTask(createTask("lasting"))?.crashes, undefined);
});

// Guards against suspects whose job has already ended.
t.test("a task of an ended job is no suspect", async (t) => {
  const { state, runner, recorder, written } = createSetup(["ended"]);
  addRun(runner, "ended", NOW_MS);
  state.apply(
    encodeRecords([{ kind: "cancel", job: "ended", atMs: NOW_MS }]),
    0,
  );
  await recorder.recordCrash(runner);
  t.strictSame(written, []);
});

// Guards against a job that is given up as its runner was cut off, and against a
// crash that counts with the lease and again with the next incarnation.
t.test("a lease end counts once and is taken back by a reply", async (t) => {
  const { state, runner, recorder } = createSetup(["young"]);
  const count = () => state.getTask(createTask("young"))?.crashes;
  addRun(runner, "young", NOW_MS);
  await recorder.recordLeaseEnd(runner);
  t.equal(count(), 1);
  await recorder.recordReply(runner);
  t.equal(count(), undefined);
  await recorder.recordLeaseEnd(runner);
  await recorder.recordCrash(runner);
  t.equal(count(), 1);
  await recorder.recordReply(runner);
  t.equal(count(), 1, "a crash that happened is not taken back");
});

// Guards against a crash that only the leader which recorded it can take back.
t.test("the next leader takes back a lease end", async (t) => {
  const { state, runner, recorder, createRecorder } = createSetup(["young"]);
  addRun(runner, "young", NOW_MS);
  await recorder.recordLeaseEnd(runner);
  const next = createRecorder();
  await next.recordReply(runner);
  t.equal(state.getTask(createTask("young"))?.crashes, undefined);
});

// Guards against a job that is given up after three leases, which cannot be undone.
t.test("three lease ends give no job up", async (t) => {
  const { state, recorder } = createSetup(["young"]);
  const states: (string | undefined)[] = [];
  for (const id of ["r1", "r2", "r3", "r4"]) {
    const runner = createRunner(createRunnerEntry(id), NOW_MS);
    runner.lastReplyMs = NOW_MS;
    addRun(runner, "young", NOW_MS);
    await recorder.recordLeaseEnd(runner);
    states.push(state.getJob("young")?.state);
  }
  t.strictSame(states, ["queued", "queued", "queued", "failed"]);
});
