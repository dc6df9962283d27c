import t from "tap";
import { createSeededRandom } from "../common/mod.ts";
import { computeBackoff, createRetryBudget } from "./retry_budget.ts";

// Guards against retries that multiply the load when all requests fail, and
// against one workspace using up the retry tokens of another.
t.test("retries are a limited fraction of the load of each workspace", (t) => {
  const budget = createRetryBudget({ earnedPerRequest: 0.2, maxTokens: 10 });
  let retries = 0;
  for (let i = 0; i < 1_000; i++) {
    budget.recordRequest("a");
    while (budget.take("a")) retries += 1;
  }
  t.ok(retries <= 1_000 * 0.2 + 10);
  t.equal(budget.getTokens("b"), 10);
  t.end();
});

// Guards against a thundering herd: requests that fail together and are retried
// together.
t.test("backoff grows up to a maximum and has jitter", (t) => {
  const random = createSeededRandom(1);
  const pauses = Array.from(
    { length: 200 },
    () => computeBackoff(3, random, { baseMs: 10, maxMs: 50 }),
  );
  t.ok(pauses.every((pause) => pause >= 0 && pause < 50));
  t.ok(Math.max(...pauses) > 40 && Math.min(...pauses) < 10);
  t.ok(
    Array.from({ length: 50 }, () => computeBackoff(0, random)).every((pause) =>
      pause < 20
    ),
  );
  t.end();
});
