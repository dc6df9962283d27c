import t from "tap";
import { createManualClock, createSilentLogger } from "../common/mod.ts";
import {
  createStep,
  LOAD_PATTERNS,
  type LoadResult,
  runLoad,
  SHEET_KINDS,
} from "../model/mod.ts";
import { createLeaderLoad, isPatient } from "./leader_load.ts";

t.setTimeout(120_000);

const SEED = 3;

/** Share of the short jobs that end on time beside a leader with time to spare; the users' worth for a good day. */
const ON_TIME_SHARE = 0.9;

function computeShare(result: LoadResult, kind: string): number {
  const found = result.kinds.find((outcome) => outcome.kind === kind);
  return found === undefined ? 0 : found.onTime / found.jobs;
}

// Pattern: a new leader whose code is slow for some seconds. Without the hold of
// patient steps, a quarter of the short jobs ends late.
t.test("short jobs are on time beside a cold leader", async (t) => {
  const result = await runLoad({
    kinds: SHEET_KINDS,
    pattern: LOAD_PATTERNS.coldLeader,
    seed: SEED,
    runners: 32,
    processors: 16_000,
    runMs: 14_000,
    cell: { callers: Array.from({ length: 13 }, (_, at) => `caller-${at}`) },
  });
  t.ok(computeShare(result, "short") >= ON_TIME_SHARE, "short jobs");
  t.ok(computeShare(result, "wide") >= ON_TIME_SHARE, "held back jobs");
  t.ok(computeShare(result, "gang") >= ON_TIME_SHARE, "gangs");
  t.strictSame(result.violations, []);
});

function createLoad() {
  const load = createLeaderLoad({
    clock: createManualClock(0),
    logger: createSilentLogger(),
  });
  const record = (times: number, lateMs: number) => {
    for (let at = 0; at < times; at += 1) load.recordLateness(lateMs);
    return load.getPatientStarts();
  };
  return record;
}

// Guards against holds after a single long garbage collection.
t.test("a single late timer does not make a leader busy", (t) => {
  const record = createLoad();
  t.equal(record(50, 2), Infinity);
  t.equal(record(1, 120), Infinity);
  t.equal(record(5, 2), Infinity);
  t.end();
});

t.test("a busy leader starts few patient tasks until it has time", (t) => {
  const record = createLoad();
  const busy = record(20, 100);
  t.ok(busy > 0, "none waits for ever");
  t.ok(busy < 10);
  t.equal(record(1, 0), busy, "not after one timer on time");
  t.equal(record(40, 1), Infinity);
  t.end();
});

const STEP = {
  priority: 2,
  dueMs: 20_000,
  remainingMs: 5_000,
  spec: createStep(),
};

t.test("urgent, late, gang and long-running steps are not patient", (t) => {
  t.ok(isPatient(STEP, 0));
  t.notOk(isPatient({ ...STEP, priority: 0 }, 0));
  t.notOk(isPatient(STEP, 14_000), "a step with little time left");
  t.notOk(isPatient({ ...STEP, spec: createStep({ gang: true }) }, 0));
  t.notOk(isPatient({ ...STEP, spec: createStep({ longRunning: true }) }, 0));
  t.end();
});
