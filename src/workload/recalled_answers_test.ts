/** Eligibility answers that a new leader recalls, on the model of a cell. */

import t from "tap";
import { createFault, createSilentLogger, wait } from "../common/mod.ts";
import * as models from "../model/mod.ts";
import * as modelCalls from "../../test/work_model_calls.ts";
import { createEligibilityCache, type KeptReport } from "./eligibility.ts";
import { RECALL_WINDOW_MS, startAnswerRecall } from "./recalled_answers.ts";

const { listRuns, submitJob } = modelCalls;
const CALLERS = ["a", "b", "c"];
const BASE_MS = 500;

/** Creates a cell with slow answers, in which only `r0` may run jobs `bound…`. */
async function createCell(runners: number, keepers: readonly string[] = []) {
  const eligibility = { baseMs: BASE_MS, perRunnerMs: 5, validMs: 2_000 };
  const model = models.createWorkModel({
    configuration: models.createModelConfiguration({
      queues: [{ eligibility }],
    }),
    callers: CALLERS,
    bindsTickets: true,
    isEligible: (runner, step) => !step.startsWith("bound") || runner === "r0",
    getTaskFacts: ({ index }, step) => ({
      ...models.createTaskFacts(step),
      durationMs: step.estimatedMs + 25 * index,
    }),
    keepers,
  });
  for (let at = 0; at < runners; at += 1) await model.addRunner(`r${at}`);
  const runUntilNext = async (count: number) => {
    const isNext = (run: string) => run.startsWith("next");
    while (listRuns(model).filter(isNext).length < count) await model.run(1);
  };
  return { model, runUntilNext };
}

// Guards against capacity that stays idle until the service has answered again, also
// while some instances do not reply.
t.test("steps start with recalled tickets after a leader change", async (t) => {
  for (const keepers of [[], ["a"]]) {
    const { model, runUntilNext } = await createCell(10, keepers);
    // The slots become free one by one.
    await submitJob(model, "fill", { tasks: 40, estimatedMs: 1_500 });
    await model.run(800);
    await submitJob(model, "next", { tasks: 30, estimatedMs: 30_000 });
    await runUntilNext(5);
    model.changeLeader();
    const startMs = model.clock.now();
    await runUntilNext(30);
    const isLate = model.clock.now() - startMs > BASE_MS;
    t.equal(isLate, keepers.length === 0);
    t.equal(model.countRefusedTickets(), 0);
  }
});

// Guards against a saturated service that has to answer for all waiting steps again.
t.test("recalled answers save queries after a leader change", async (t) => {
  const jobs = ["bound0", "bound1", "bound2", "bound3", "bound4", "bound5"];
  const counts: number[] = [];
  for (const keepers of [[], CALLERS]) {
    const { model } = await createCell(10, keepers);
    const countQueries = () =>
      jobs.reduce((sum, id) => sum + model.countQueries(id), 0);
    for (const id of jobs) {
      await submitJob(model, id, { tasks: 4, estimatedMs: 60_000 });
    }
    await model.run(8_000);
    const before = countQueries();
    model.changeLeader();
    await model.run(8_000);
    counts.push(countQueries() - before);
  }
  const [without = 0, recalled = 0] = counts;
  t.ok(recalled < without / 2, `${recalled} of ${without}`);
});

// Guards against a task that is sent to a runner with the same refused ticket for ever.
t.test("a recalled ticket for a former incarnation is refused once", async (t) => {
  const { model, runUntilNext } = await createCell(1, CALLERS);
  await submitJob(model, "next", { tasks: 30, estimatedMs: 30_000 });
  await runUntilNext(1);
  const entry = models.createRunnerEntry("r0", { startedMs: 2 });
  model.runners.leave("r0");
  model.runners.add(entry);
  model.changeLeader();
  modelCalls.announceRunner(model, entry);
  await model.run(3_000);
  // The fourth slot is the headroom for urgent work.
  t.equal(listRuns(model).length, 3);
  const refused = model.countRefusedTickets();
  t.ok(refused >= 1 && refused <= 3, `${refused} refused, one for each slot`);
});

// Guards against tickets that expire on the way or were refused, answers about ended jobs,
// and an instance that is asked at each change, or never after a broken stream.
t.test("a late report counts from its request and yields to what is newer", async (t) => {
  const { model: { clock, state, run }, model } = await createCell(1);
  await submitJob(model, "open", { estimatedMs: 60_000 });
  const options = { clock, logger: createSilentLogger(), state };
  const ask = () => new Promise<never>(() => {});
  const cache = createEligibilityCache({
    ...options,
    ask,
    handleAnswer: () => {},
  });
  const asked: string[] = [];
  const recall = startAnswerRecall({
    ...options,
    eligibility: cache,
    async getReport(name): Promise<KeptReport> {
      const sentMs = clock.now();
      asked.push(name);
      await wait(clock, 400);
      if (name === "cut") throw createFault("unavailable", "Stream ended");
      const kept = { job: "open", occurrence: 0, step: 0, ageMs: 50 };
      const answers: KeptReport["answers"] = [
        { ...kept, runners: ["r", "no"], tickets: { r: "t" }, validMs: 900 },
        { ...kept, runners: ["r"], tickets: { r: "older" }, ageMs: 60 },
        { ...kept, runners: ["s"], tickets: { s: "t" }, validMs: 399 },
        { ...kept, runners: ["r"], tickets: { r: "t" }, job: "ended" },
      ];
      return { answers, sentMs };
    },
    getValidMs: () => 1_500,
    handleAnswers: () => {},
  });
  const expiresMs = clock.now() + 900;
  recall.askInstances(["a", "cut"]);
  await run(500);
  const found = cache.get("open/0/0");
  t.strictSame([...found?.tickets ?? []], [["r", { value: "t", expiresMs }]]);
  t.equal(found?.isEligible.get("no"), false);
  t.equal(cache.get("ended/0/0"), undefined);
  cache.removeTicket("open/0/0", "r");
  recall.askInstances(["a", "cut", "b"]);
  await run(RECALL_WINDOW_MS);
  t.equal(found?.tickets.size, 0, "a refused ticket does not come back");
  recall.askInstances(["late"]);
  t.strictSame(asked, ["a", "cut", "cut", "b"]);
});
