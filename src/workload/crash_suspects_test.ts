import t from "tap";
import { findCrashSuspects } from "./crash_suspects.ts";
import type { Occupant } from "./runner_table.ts";

const LAST_REPLY_MS = 10_000;

/** Creates a run of its own job whose start was answered. */
function createOccupant(
  job: string,
  orderSentMs: number | undefined,
  changes: Partial<Occupant> = {},
): Occupant {
  return {
    key: `${job}/0/0/0#1`,
    task: { job, occurrence: 0, step: 0, index: 0 },
    run: 1,
    resources: { processors: 1_000, memoryMb: 1_000, accelerators: 0 },
    state: "running",
    plannedMs: 0,
    confirmedMs: undefined,
    stoppedMs: undefined,
    isListed: true,
    orderSentMs,
    openStartMs: undefined,
    isRestored: false,
    isExecuted: true,
    isUncertain: false,
    isInherited: false,
    isSuspect: false,
    crashWindowMs: 500,
    progress: 0,
    progressMs: 0,
    checkpoint: "",
    ...changes,
  };
}

/** Returns the jobs of the suspects. */
function listSuspects(
  occupants: readonly Occupant[],
  lastReplyMs: number | undefined,
) {
  const { tasks, isSingleJob } = findCrashSuspects({ occupants, lastReplyMs });
  return { jobs: tasks.map(({ job }) => job), isSingleJob };
}

// Guards against the blame on runs that were never on the runner.
t.test("a run whose start was not sent is no suspect", (t) => {
  const occupants = [
    createOccupant("planned", undefined, { isExecuted: false }),
    createOccupant("sent", LAST_REPLY_MS),
  ];
  t.strictSame(listSuspects(occupants, LAST_REPLY_MS), {
    jobs: ["sent"],
    isSingleJob: true,
  });
  t.end();
});

// Guards against the blame on neighbours that have been at work for a while.
t.test("a run that has survived its start is no suspect", (t) => {
  const old = createOccupant("old", LAST_REPLY_MS - 501);
  const recent = createOccupant("recent", LAST_REPLY_MS - 500);
  t.strictSame(listSuspects([old, recent], LAST_REPLY_MS), {
    jobs: ["recent"],
    isSingleJob: true,
  });
  t.strictSame(listSuspects([old], LAST_REPLY_MS), {
    jobs: [],
    isSingleJob: false,
  });
  t.end();
});

// Guards against a delayed start that crashes its runner and is not counted.
t.test("an old run that was never confirmed is a suspect", (t) => {
  const occupants = [
    createOccupant("old", 1_000),
    createOccupant("delayed", 2_000, { isExecuted: false }),
  ];
  t.strictSame(listSuspects(occupants, LAST_REPLY_MS), {
    jobs: ["delayed"],
    isSingleJob: true,
  });
  t.end();
});

// Guards against a crash without suspects right after a leader change.
t.test("all ordered runs are suspects without a reply", (t) => {
  const occupants = [createOccupant("a", 1_000), createOccupant("b", 9_000)];
  t.strictSame(listSuspects(occupants, undefined), {
    jobs: ["a", "b"],
    isSingleJob: false,
  });
  t.end();
});

// Guards against the blame on runs that a former incarnation left to this one.
t.test("an inherited run is a suspect only once it is executed", (t) => {
  const inherited = createOccupant("inherited", LAST_REPLY_MS, {
    isInherited: true,
    isExecuted: false,
  });
  t.strictSame(listSuspects([inherited], LAST_REPLY_MS), {
    jobs: [],
    isSingleJob: false,
  });
  const executed = { ...inherited, isExecuted: true };
  t.strictSame(listSuspects([executed], LAST_REPLY_MS).jobs, ["inherited"]);
  t.end();
});

// Guards against a task that crashes its runners only after the usual window, and
// against the blame on what went away with other runners or has run for long.
t.test("a run that outlived the usual window is a late suspect", (t) => {
  const occupants = [
    createOccupant("old", LAST_REPLY_MS - 2_501),
    createOccupant("late", LAST_REPLY_MS - 2_500),
    createOccupant("waiting", LAST_REPLY_MS, { isExecuted: false }),
    createOccupant("young", LAST_REPLY_MS - 500),
  ];
  const listLate = (lastReplyMs: number | undefined, isCommon: boolean) =>
    findCrashSuspects({
      occupants,
      lastReplyMs,
      hasCommonCause: () => isCommon,
    }).late
      .map(({ job }) => job);
  t.strictSame(listLate(LAST_REPLY_MS, false), ["late"]);
  t.strictSame(listLate(LAST_REPLY_MS, true), []);
  t.strictSame(listLate(undefined, false), []);
  t.end();
});

// Guards against a late suspect that its neighbours' starts hide.
t.test("a known late suspect is a suspect for longer", (t) => {
  const known = createOccupant("known", LAST_REPLY_MS - 2_000, {
    crashWindowMs: 2_500,
  });
  const recent = createOccupant("recent", LAST_REPLY_MS - 100);
  t.strictSame(listSuspects([known, recent], LAST_REPLY_MS).jobs, [
    "known",
    "recent",
  ]);
  t.end();
});
