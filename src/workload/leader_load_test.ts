import t from "tap";
import { createManualClock, createSilentLogger } from "../common/mod.ts";
import {
  computeOnTimeShare,
  createStep,
  LOAD_PATTERNS,
  ON_TIME_SHARE,
  runLoad,
  SHEET_KINDS,
} from "../model/mod.ts";
import { createLeaderLoad, isPatient } from "./leader_load.ts";

t.setTimeout(120_000);

const SEED = 3;

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
  t.ok(computeOnTimeShare(result, "short") >= ON_TIME_SHARE, "short jobs");
  t.ok(computeOnTimeShare(result, "wide") >= ON_TIME_SHARE, "held back jobs");
  t.ok(computeOnTimeShare(result, "gang") >= ON_TIME_SHARE, "gangs");
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
  zeroValueMs: 60_000,
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

// Guards against overdue work that takes the time of a busy leader from the rest.
t.test("a step without value is patient, whatever its priority", (t) => {
  const urgent = { ...STEP, priority: 0 };
  t.notOk(isPatient(urgent, 59_000));
  t.ok(isPatient(urgent, 61_000));
  t.ok(isPatient(STEP, 61_000));
  const gang = { ...urgent, spec: createStep({ gang: true }) };
  t.notOk(isPatient(gang, 61_000));
  t.end();
});
