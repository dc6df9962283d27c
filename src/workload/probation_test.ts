import t from "tap";
import { createManualClock, createSilentLogger } from "../common/mod.ts";
import {
  createJob,
  createModelConfiguration,
  createRunnerEntry,
  runLoad,
  SHEET_KINDS,
} from "../model/mod.ts";
import { createProbation } from "./probation.ts";
import { createRunner, type Runner } from "./runner_table.ts";
import type { WorkRecord } from "./types.ts";
import { createWorkState, encodeRecords } from "./work_state.ts";

/** Creates a probation on a state with two jobs, and a function that records a crash with suspects. */
function createCrashes() {
  const clock = createManualClock(1_000);
  const state = createWorkState();
  const probation = createProbation({
    state,
    clock,
    logger: createSilentLogger(),
  });
  const configuration = createModelConfiguration();
  const jobs = ["a", "b"].map((id): WorkRecord => ({
    kind: "job",
    job: {
      ...createJob([{ tasks: 1 }]),
      id,
      queue: "queue-0",
      pool: "pool",
      maxAttempts: 3,
      submittedMs: 0,
    },
  }));
  state.apply(
    encodeRecords([{ kind: "configuration", configuration }, ...jobs]),
    0,
  );
  const runners = Array.from({ length: 8 }, (_, at): Runner => {
    const runner = createRunner(createRunnerEntry(`r${at}`), 0);
    runner.contactMs = clock.now();
    return runner;
  });
  const record = (...suspects: string[]) => {
    const crash: WorkRecord & { kind: "crash" } = {
      kind: "crash",
      suspects: suspects.map((job) => ({
        job,
        occurrence: 0,
        step: 0,
        index: 0,
      })),
      cleared: [],
      isSingleJob: suspects.length === 1,
      atMs: 0,
    };
    state.apply(encodeRecords([crash]), 0);
    probation.recordCrash(crash);
  };
  const countRunners = () =>
    probation.pickRunners(new Map([["pool", runners]])).size;
  return { clock, record, countRunners };
}

// Guards against confined jobs after independent crashes.
t.test("first crashes confine nothing, nor does one repeated suspect", (t) => {
  const { record, countRunners } = createCrashes();
  record("a", "b");
  t.equal(countRunners(), 0);
  record("a");
  t.equal(countRunners(), 0);
  record("b");
  t.equal(countRunners(), 2, "a quarter of the pool");
  t.end();
});

// Guards against a queue that stays confined for good.
t.test("a confinement ends after the last crash", (t) => {
  const { clock, record, countRunners } = createCrashes();
  for (const job of ["a", "b", "a", "b"]) record(job);
  t.equal(countRunners(), 2);
  clock.advance(9_000);
  record("a");
  clock.advance(9_000);
  t.equal(countRunners(), 2);
  clock.advance(2_000);
  t.equal(countRunners(), 0);
  t.end();
});

// Guards against a service that is down while three of ten short jobs crash each
// runner that starts them.
t.test("other queues go on while many short jobs are deadly", async (t) => {
  const result = await runLoad({
    kinds: SHEET_KINDS,
    pattern: {
      name: "three of ten short jobs deadly",
      getRateFactor: () => 1,
      getDeadlyShare: (kind, atMs) =>
        kind === "short" && atMs >= 4_000 && atMs < 16_000 ? 0.3 : 0,
    },
    seed: 1,
    runners: 32,
    processors: 16_000,
    runMs: 20_000,
    cell: {
      returnAs: "sameId",
      callers: Array.from({ length: 13 }, (_, at) => `caller-${at}`),
    },
  });
  const wide = result.kinds.find(({ kind }) => kind === "wide");
  t.ok((wide?.onTime ?? 0) >= 0.8 * (wide?.jobs ?? 0), "wide jobs on time");
  t.ok(result.lostRuns < 0.35 * result.starts, "few runs lost");
  t.strictSame(result.kinds.map(({ failed }) => failed), [0, 0, 0]);
  t.strictSame(result.violations, []);
});
