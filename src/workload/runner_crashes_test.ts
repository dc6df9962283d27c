import t from "tap";
import {
  listStates,
  startDeadlyCell,
  submitJobs,
} from "../../test/deadly_cell.ts";

for (const returnAs of ["sameId", "newId"] as const) {
  // Guards against a task that takes down runner after runner, and against
  // neighbours that lose their runs each time.
  t.test(`a deadly task is given up, back as ${returnAs}`, async (t) => {
    const model = await startDeadlyCell(4, { returnAs });
    const before = submitJobs(model, "before", 3);
    await model.run(1_000);
    submitJobs(model, "deadly", 1);
    await model.run(20);
    const after = submitJobs(model, "after", 2);
    await model.run(40_000);
    t.strictSame(listStates(model, ["deadly-0"]), ["failed"]);
    t.ok(model.runners.countCrashes() <= 3, "at most three crashes");
    t.strictSame(listStates(model, [...before, ...after]), ["completed"]);
    t.strictSame(model.runners.violations, []);
  });
}

// Guards against a count of crashes that is lost with the leader.
t.test("a deadly task is given up across leader changes", async (t) => {
  const model = await startDeadlyCell(4);
  const healthy = submitJobs(model, "healthy", 3);
  await model.run(1_000);
  submitJobs(model, "deadly", 1);
  const countCrashes = () => model.runners.countCrashes();
  for (let crash = 1; crash <= 3; crash += 1) {
    for (let ms = 0; ms < 10_000 && countCrashes() < crash; ms += 1) {
      await model.run(1);
    }
    // Once while the runner is away, then after its crash is recorded.
    await model.run(crash === 1 ? 1_000 : 3_200);
    model.changeLeader();
  }
  await model.run(40_000);
  t.strictSame(listStates(model, ["deadly-0"]), ["failed"]);
  t.ok(countCrashes() <= 4, "one crash more at most");
  t.strictSame(listStates(model, healthy), ["completed"]);
  t.strictSame(model.runners.violations, []);
});

// Guards against crashes that do not count because the lease of the runner, and
// with it its runs, ended before the runner was back.
t.test("a deadly task is given up if its runners are back late", async (t) => {
  const model = await startDeadlyCell(8, { returnMs: 9_000 });
  const healthy = submitJobs(model, "healthy", 3);
  submitJobs(model, "deadly", 1);
  await model.run(90_000);
  t.strictSame(listStates(model, ["deadly-0"]), ["failed"]);
  t.strictSame(listStates(model, healthy), ["completed"]);
  t.strictSame(model.runners.violations, []);
});

// Guards against the blame for one deadly task on the runner of the other, or on
// healthy tasks that are restarted beside them.
t.test("two deadly jobs fail no healthy one", async (t) => {
  const model = await startDeadlyCell(3);
  const healthy = submitJobs(model, "healthy", 2);
  const deadly = submitJobs(model, "deadly", 2);
  for (let round = 0; round < 20; round += 1) {
    healthy.push(...submitJobs(model, `more-${round}`, 1));
    await model.run(1_000);
  }
  await model.run(40_000);
  t.strictSame(listStates(model, deadly), ["failed"]);
  t.strictSame(listStates(model, healthy), ["completed"]);
  t.strictSame(model.runners.violations, []);
});

// Guards against the blame on tasks that were on a runner when it crashed for a
// reason of its own.
t.test("independent crashes fail no job", async (t) => {
  const model = await startDeadlyCell(12);
  const healthy: string[] = [];
  for (let round = 0; round < 40; round += 1) {
    healthy.push(...submitJobs(model, `round-${round}`, 4));
    await model.run(500);
    if (round % 20 !== 10) continue;
    for (let at = 0; at < 4; at += 1) model.runners.crash(`r${at}`);
  }
  await model.run(30_000);
  t.strictSame(listStates(model, healthy), ["completed"]);
  t.strictSame(model.runners.violations, []);
});
