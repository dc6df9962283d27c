import t from "tap";
import { advanceBy } from "../../test/controller_fakes.ts";
import {
  createFault,
  createManualClock,
  createSilentLogger,
  type ManualClock,
} from "../common/mod.ts";
import {
  createEligibilityCache,
  type EligibilityCache,
} from "./eligibility.ts";

/** Step in which the clock advances, in milliseconds. */
const STEP_MS = 5;

const TIMES = { baseMs: 10, perRunnerMs: 0, validMs: 2_000 };

interface CacheFixture {
  readonly clock: ManualClock;
  readonly cache: EligibilityCache;
  /** Callers in the order of their queries. */
  readonly asked: string[];
  readonly silent: Set<string>;
}

/** Creates a cache in which queries through silent callers time out. */
function createCacheFixture(callers: readonly string[]): CacheFixture {
  const clock = createManualClock(0);
  const asked: string[] = [];
  const silent = new Set<string>();
  const cache = createEligibilityCache({
    clock,
    logger: createSilentLogger(),
    ask(caller, question, timeoutMs) {
      asked.push(caller);
      const isSilent = silent.has(caller);
      const tickets = Object.fromEntries(
        question.runners.map((runner) => [runner, "ticket"]),
      );
      return new Promise((resolve, reject) =>
        void clock.setTimer(isSilent ? timeoutMs : TIMES.baseMs, () => {
          if (!isSilent) return resolve({ tickets, validMs: TIMES.validMs });
          reject(createFault("deadlineExceeded", "Cannot get an answer"));
        })
      );
    },
    handleAnswer: () => {},
  });
  cache.setCallers(callers);
  return { clock, cache, asked, silent };
}

/** Sends a query for a new step every 20 ms, like many short jobs; returns the callers used. */
async function askOften(
  { clock, cache, asked }: CacheFixture,
  ms: number,
): Promise<string[]> {
  const before = asked.length;
  for (let at = 0; at < ms; at += 20) {
    const job = `job-${asked.length}`;
    cache.startQuery(
      `${job}/0/0`,
      { job, occurrence: 0, step: 0, runners: ["r1"] },
      TIMES,
    );
    await advanceBy(clock, 20, STEP_MS);
  }
  return asked.slice(before);
}

// Scenario: a data centre is partitioned while many short jobs run. Guards against
// steps that wait for more than a second each for an instance there.
t.test("an unresponsive caller is avoided", async (t) => {
  const fixture = createCacheFixture(["a", "b", "c", "d", "e"]);
  fixture.silent.add("d");
  const first = await askOften(fixture, 1_500);
  const toSilent = first.filter((name) => name === "d").length;
  t.ok(toSilent >= 1 && toSilent <= 3, `used ${toSilent} times at first`);
  const second = await askOften(fixture, 800);
  t.equal(second.includes("d"), false, "not used during its pause");
});

// Guards against short jobs that wait for the timeout of a query through an instance
// that was cut off a moment ago.
t.test("an overdue query does not block its step", async (t) => {
  const { clock, cache, asked, silent } = createCacheFixture(["a", "b", "c"]);
  silent.add("b").add("c");
  const question = { job: "job", occurrence: 0, step: 0, runners: ["r1"] };
  t.ok(cache.startQuery("job/0/0", question, TIMES));
  await advanceBy(clock, 100, STEP_MS);
  t.notOk(cache.startQuery("job/0/0", question, TIMES), "not overdue yet");
  silent.clear();
  await advanceBy(clock, 200, STEP_MS);
  t.ok(cache.startQuery("job/0/0", question, TIMES));
  await advanceBy(clock, 20, STEP_MS);
  t.equal(cache.get("job/0/0")?.isEligible.get("r1"), true);
  t.equal(new Set(asked).size, 2, "through another caller");
  await advanceBy(clock, 1_500, STEP_MS);
  t.equal(cache.get("job/0/0")?.openQueries, 0);
});

// Guards against a service that gets ever more queries as it becomes slower.
t.test("a step has at most one overdue query", async (t) => {
  const { clock, cache, asked, silent } = createCacheFixture(["a", "b", "c"]);
  silent.add("a").add("b").add("c");
  const question = { job: "job", occurrence: 0, step: 0, runners: ["r1"] };
  for (let at = 0; at < 1_000; at += 20) {
    cache.startQuery("job/0/0", question, TIMES);
    await advanceBy(clock, 20, STEP_MS);
  }
  t.equal(asked.length, 2);
});

// Guards against a caller that is never used again after a short partition.
t.test("a caller that responds again is used again", async (t) => {
  const fixture = createCacheFixture(["a", "b", "c", "d", "e"]);
  fixture.silent.add("d");
  await askOften(fixture, 1_500);
  fixture.silent.delete("d");
  await askOften(fixture, 4_000);
  const later = await askOften(fixture, 400);
  t.ok(later.includes("d"));
});

// Guards against sending no queries at all while the service itself is down.
t.test("callers are used even if none responds", async (t) => {
  const fixture = createCacheFixture(["a", "b"]);
  fixture.silent.add("a").add("b");
  await askOften(fixture, 2_000);
  t.ok((await askOften(fixture, 2_000)).length > 0);
});
