/**
 * Tasks that crash their runners only some time after their start, in a cell that is
 * at work, and healthy long tasks whose runners crash again and again.
 */

import t, { type Test } from "tap";
import { createSeededRandom, type Random } from "../common/mod.ts";
import { createJob, type WorkModel } from "../model/mod.ts";
import {
  checkJobs,
  type DeadlyCellOptions,
  runUntilEnded,
  startDeadlyCell,
} from "../../test/deadly_cell.ts";

const RUNNERS = 16;

/** A pool in which one other lost runner is a common cause. */
const FEW_RUNNERS = 6;
const SETTLE_MS = 80_000;
const LONG_MS = 16_000;
const LONG_PERIOD_MS = 3_000;
const SHORT_PERIOD_MS = 130;

/** What happens in a cell beside the healthy jobs. */
interface Course {
  readonly seed: number;
  readonly activeMs: number;
  /** Default 16. */
  readonly runners?: number;
  readonly cell: DeadlyCellOptions;
  /** Times of the events from the start on, in milliseconds. */
  readonly eventsMs: readonly number[];
  /** Carries out an event; returns the ids of deadly jobs that it has submitted. */
  readonly runEvent: (model: WorkModel, random: Random) => readonly string[];
}

/** Submits a job of two tasks; returns its id. */
function submitJob(model: WorkModel, id: string, estimatedMs: number): string {
  void model.submit(id, createJob([{ tasks: 2, estimatedMs }]));
  return id;
}

/** Runs long and short healthy jobs beside the events, and checks all jobs. */
async function runCourse(t: Test, course: Course): Promise<void> {
  const random = createSeededRandom(course.seed);
  const model = await startDeadlyCell(
    course.runners ?? RUNNERS,
    course.cell,
  );
  const startMs = model.clock.now();
  const healthy: string[] = [];
  const deadly: string[] = [];
  const events = [...course.eventsMs];
  for (let ms = 0; ms < course.activeMs; ms = model.clock.now() - startMs) {
    if (ms % LONG_PERIOD_MS === 0) {
      healthy.push(submitJob(model, `long-${ms}`, LONG_MS));
    }
    if (ms % SHORT_PERIOD_MS === 0) {
      const runMs = 300 + random.nextInt(700);
      healthy.push(submitJob(model, `short-${ms}`, runMs));
    }
    if (ms >= (events[0] ?? Infinity)) {
      events.shift();
      deadly.push(...course.runEvent(model, random));
    }
    await model.run(1);
  }
  await runUntilEnded(model, [...deadly, ...healthy], SETTLE_MS);
  checkJobs(t, model, { deadly, healthy }, `seed ${course.seed}`);
}

const RETURNS = ["newId", "newIdAndAddress", "sameId"] as const;

for (const [at, crashDelayMs] of [600, 1_000, 2_000].entries()) {
  const returnAs = RETURNS[at] ?? "sameId";
  // Guards against a late crash that is hidden by neighbours which have just started.
  t.test(`jobs that crash after ${crashDelayMs} ms beside others are given up, back as ${returnAs}`, async (t) => {
    let submitted = 0;
    await runCourse(t, {
      seed: at + 1,
      activeMs: 30_000,
      cell: { crashDelayMs, returnAs },
      eventsMs: [2_000, 9_000],
      runEvent: (model) => [submitJob(model, `deadly-${submitted++}`, 6_000)],
    });
  });
}

// Guards against late crashes of two jobs that pass for a common cause in a small pool.
t.test("two jobs that crash after 1,000 ms are given up in a small pool", async (t) => {
  let submitted = 0;
  await runCourse(t, {
    seed: 4,
    activeMs: 30_000,
    runners: FEW_RUNNERS,
    cell: { crashDelayMs: 1_000, returnAs: "sameId" },
    eventsMs: [2_000, 9_000],
    runEvent: (model) => [submitJob(model, `deadly-${submitted++}`, 6_000)],
  });
});

/** Returns ten times, 4 to 12 s apart. */
function createTimes(seed: number): number[] {
  const random = createSeededRandom(seed);
  const times: number[] = [];
  let ms = 0;
  while (times.length < 10) times.push(ms += 4_000 + random.nextInt(8_000));
  return times;
}

for (const seed of [1, 2]) {
  // Guards against the blame on long tasks for crashes with a common cause.
  t.test(`crashes of a third of the runners fail no long job, seed ${seed}`, async (t) => {
    const eventsMs = createTimes(seed);
    await runCourse(t, {
      seed,
      activeMs: (eventsMs.at(-1) ?? 0) + 5_000,
      cell: {},
      eventsMs,
      runEvent(model, random) {
        for (let at = 0; at < RUNNERS; at += 1) {
          if (random.nextFloat() < 1 / 3) model.runners.crash(`r${at}`);
        }
        return [];
      },
    });
  });
}

// Guards against the blame on long tasks for runners that crash one by one.
t.test("runners that go down and up by turns fail no long job", async (t) => {
  let turn = 0;
  await runCourse(t, {
    seed: 1,
    activeMs: 60_000,
    cell: {},
    eventsMs: Array.from({ length: 36 }, (_, at) => 3_000 + at * 1_500),
    runEvent(model) {
      model.runners.crash(`r${turn++ % RUNNERS}`);
      return [];
    },
  });
});
