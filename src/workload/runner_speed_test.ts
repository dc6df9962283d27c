import t from "tap";
import { createSeededRandom } from "../common/mod.ts";
import { createSpeedTracker, estimateRemainingMs } from "./runner_speed.ts";

// Scenario: a third of the runners is slower by a factor of 1.3, and declared run
// times are wrong by several times.
t.test("slower runners are detected despite poor estimates", (t) => {
  const random = createSeededRandom(7);
  const tracker = createSpeedTracker();
  for (let step = 0; step < 200; step += 1) {
    const workMs = 500 + random.nextInt(4_000);
    for (let task = 0; task < 6; task += 1) {
      const number = random.nextInt(9);
      const factor = number % 3 === 0 ? 1.3 : 1;
      const uneven = 0.8 + 0.4 * random.nextFloat();
      tracker.recordRun({
        step: `s${step}`,
        runner: `r${number}`,
        durationMs: workMs * factor * uneven,
      });
    }
  }
  for (const slow of ["r0", "r3", "r6"]) {
    for (const fast of ["r1", "r2", "r4", "r5", "r7", "r8"]) {
      t.ok(tracker.getSlowness(slow) > tracker.getSlowness(fast) + 0.1);
    }
  }
  t.end();
});

// Scenario: some runners suddenly become several times slower, declared run times
// are wrong by several times, and long runs are sampled more often than short ones.
t.test("a sudden slowdown is detected from progress", (t) => {
  const random = createSeededRandom(11);
  const tracker = createSpeedTracker();
  // A sum of uniform random numbers approximates normally distributed errors.
  const createError = () => {
    let sum = 0;
    for (let part = 0; part < 12; part += 1) sum += random.nextFloat() - 0.5;
    return Math.exp(0.7 * sum);
  };
  const createSamples = (count: number, slowness: number) =>
    Array.from({ length: count }, () => {
      const workMs = 2_000 * (0.3 + random.nextFloat()) * slowness;
      const elapsedMs = 500 + random.nextFloat() * workMs * 0.5;
      return {
        queue: "q",
        estimatedMs: workMs / slowness / (1.8 * createError()),
        elapsedMs,
        percent: Math.floor(100 * elapsedMs / workMs),
      };
    });
  const polls = 20_000;
  let healthy = 0;
  let slow = 0;
  for (let poll = 0; poll < polls; poll += 1) {
    if (tracker.isSlowNow(createSamples(3 + random.nextInt(6), 1))) {
      healthy += 1;
    }
    const isSlow = poll % 40 === 0 && tracker.isSlowNow(createSamples(7, 6.5));
    if (isSlow) slow += 1;
  }
  t.ok(healthy < polls / 5_000, `${healthy} healthy runners reported as slow`);
  t.ok(slow > polls / 40 / 2, `${slow} slow runners found`);
  t.end();
});

t.test("the remaining time of a run follows from its progress", (t) => {
  t.equal(estimateRemainingMs(500, 25), 1_500);
  t.equal(estimateRemainingMs(500, 0), Infinity);
  t.end();
});
