import t from "tap";
import { createSeededRandom } from "../common/mod.ts";
import { createSpeedBook, estimateRemainingMs } from "./runner_speed.ts";

// Pattern: a third of the runners takes 1.3 times as long, and declared run
// times are off by factors.
t.test("slower runners are told apart in spite of poor estimates", (t) => {
  const random = createSeededRandom(7);
  const book = createSpeedBook();
  for (let step = 0; step < 200; step += 1) {
    const workMs = 500 + random.nextInt(4_000);
    for (let task = 0; task < 6; task += 1) {
      const number = random.nextInt(9);
      const factor = number % 3 === 0 ? 1.3 : 1;
      const uneven = 0.8 + 0.4 * random.nextFloat();
      book.recordRun(
        {
          step: `s${step}`,
          runner: `r${number}`,
          durationMs: workMs * factor * uneven,
        },
        { queue: "q", estimatedMs: workMs * (0.3 + 2 * random.nextFloat()) },
      );
    }
  }
  for (const slow of ["r0", "r3", "r6"]) {
    for (const fast of ["r1", "r2", "r4", "r5", "r7", "r8"]) {
      t.ok(book.getSlowness(slow) > book.getSlowness(fast) + 0.1);
    }
  }
  t.end();
});

// Pattern: some runners suddenly take several times as long.
t.test("sudden slowness shows in the progress", (t) => {
  const book = createSpeedBook();
  const createSamples = (percents: readonly number[]) =>
    percents.map((percent) => ({
      queue: "q",
      estimatedMs: 1_000,
      elapsedMs: 800,
      percent,
    }));
  t.notOk(book.isSlowNow(createSamples([70, 90, 60, 40])));
  t.notOk(book.isSlowNow(createSamples([8, 5])));
  t.ok(book.isSlowNow(createSamples([12, 8, 15, 20])));
  t.end();
});

t.test("the rest of a run follows from its progress", (t) => {
  t.equal(estimateRemainingMs(500, 25), 1_500);
  t.equal(estimateRemainingMs(500, 0), Infinity);
  t.end();
});
