import t from "tap";
import { createRunTimes } from "./run_times.ts";
import { sortSteps, type UrgencyInput } from "./urgency.ts";

function createInput(
  key: string,
  input: Partial<UrgencyInput> = {},
): UrgencyInput {
  return {
    key,
    priority: 1,
    dueMs: 10_000,
    zeroValueMs: 30_000,
    remainingMs: 2_000,
    work: 1_000_000,
    remainingWork: 1_000_000,
    isExcess: false,
    ...input,
  };
}

function sortKeys(steps: readonly UrgencyInput[], wallMs = 0): string[] {
  return sortSteps(steps, wallMs).map(({ key }) => key);
}

// Scenario: after an outage all waiting jobs are late. Guards against new jobs that
// become late one after another behind those that are late already.
t.test("a late job yields to one that can be on time", (t) => {
  const late = createInput("late", { dueMs: 3_000, zeroValueMs: 25_000 });
  const soon = createInput("soon", { dueMs: 9_000 });
  t.strictSame(sortKeys([late, soon], 5_000), ["soon", "late"]);
  t.end();
});

t.test("a late job comes first shortly before it loses its value", (t) => {
  const late = createInput("late", { dueMs: 3_000, zeroValueMs: 8_500 });
  const patient = createInput("patient", {
    dueMs: 40_000,
    zeroValueMs: 90_000,
  });
  t.strictSame(sortKeys([patient, late], 6_000), ["late", "patient"]);
  t.end();
});

// Scenario: a burst of short jobs on a full pool.
t.test("short urgent jobs come before long less urgent ones", (t) => {
  const short = createInput("short", {
    priority: 0,
    dueMs: 1_500,
    zeroValueMs: 4_500,
    remainingMs: 800,
  });
  const gang = createInput("gang", { dueMs: 14_000, zeroValueMs: 42_000 });
  t.strictSame(sortKeys([gang, short]), ["short", "gang"]);
  t.end();
});

t.test("a nearly finished job comes before a new one", (t) => {
  const fresh = createInput("fresh");
  const begun = createInput("begun", { remainingWork: 200_000 });
  t.strictSame(sortKeys([fresh, begun]), ["begun", "fresh"]);
  t.end();
});

t.test("jobs without value come last, after those beyond the weight", (t) => {
  const noValue = createInput("noValue", { zeroValueMs: 1_000 });
  const excess = createInput("excess", { isExcess: true });
  const own = createInput("own", { dueMs: 40_000, zeroValueMs: 90_000 });
  t.strictSame(sortKeys([noValue, excess, own], 2_000), [
    "own",
    "excess",
    "noValue",
  ]);
  t.end();
});

// Declared times in the sheets are off by a factor of e^0.9 in either direction.
t.test("declared run times are corrected by ended runs", (t) => {
  const times = createRunTimes();
  t.equal(times.estimateMs("queue", 500), 500);
  const factors = [0.3, 0.5, 0.8, 1.2, 2, 3.3];
  for (let round = 0; round < 30; round += 1) {
    for (const [at, factor] of factors.entries()) {
      const durationMs = 800 + 100 * ((round + at) % 5);
      times.recordRun("queue", {
        declaredMs: durationMs * factor,
        durationMs,
      });
    }
  }
  const short = times.estimateMs("queue", 300);
  const long = times.estimateMs("queue", 3_000);
  t.ok(short > 600, `${short} ms instead of 300`);
  t.ok(long < 1_800, `${long} ms instead of 3,000`);
  t.ok(short < long);
  t.equal(times.estimateMs("other", 700), 700);
  t.end();
});
