import fc from "fast-check";
import t from "tap";
import { createManualClock, isFault } from "../common/mod.ts";
import type { ManualClock } from "../common/mod.ts";
import { buildBurnReport } from "./burn.ts";
import type { BurnReport, ObjectiveBurn } from "./burn.ts";
import { renderBurnHtml } from "./burn_html.ts";
import { createBurnRecorder } from "./burn_recorder.ts";
import type { BurnRecorder } from "./burn_recorder.ts";
import { parseBurnSnapshot, readBurnSnapshots } from "./burn_snapshots.ts";
import { renderBurnJson, renderBurnTable } from "./burn_table.ts";
import { resolveObjectives } from "./objectives.ts";
import type { ObjectiveName, Objectives } from "./objectives.ts";

const SEED = 20260303;
const START_MS = 1_767_225_600_000;
const MINUTE_MS = 60_000;
const GOOD = { answered: true, onTime: true, durationMs: 20 };
const LATE = { answered: true, onTime: false, durationMs: 9_000 };

function createRecorder(
  clock: ManualClock,
  instance = "a1",
  objectives: Objectives = resolveObjectives(),
): BurnRecorder {
  return createBurnRecorder({ instance, clock, objectives });
}

async function buildReport(...recorders: BurnRecorder[]): Promise<BurnReport> {
  const snapshots = [];
  for (const recorder of recorders) {
    // Snapshots are sent between instances as JSON.
    const text = JSON.stringify(await recorder.takeSnapshot());
    snapshots.push(parseBurnSnapshot(JSON.parse(text)));
  }
  return buildBurnReport({ snapshots, unreached: [] });
}

function findObjective(
  report: BurnReport,
  workspace: string,
  name: ObjectiveName,
): ObjectiveBurn | undefined {
  return report.workspaces.find((burn) => burn.workspace === workspace)
    ?.objectives
    .find((objective) => objective.name === name);
}

function recordMany(
  recorder: BurnRecorder,
  goodCount: number,
  lateCount: number,
): void {
  for (let i = 0; i < goodCount; i++) recorder.recordAnswer("laces", GOOD);
  for (let i = 0; i < lateCount; i++) recorder.recordAnswer("laces", LATE);
}

// Guards against wrong burn rates, which operators would act on.
t.test("a loss rate equal to the error budget gives a burn rate of 1", async (t) => {
  const clock = createManualClock(START_MS);
  const recorder = createRecorder(clock);
  recordMany(recorder, 99, 1);
  const report = await buildReport(recorder);
  const onTime = findObjective(report, "laces", "answeredOnTime");
  t.ok(Math.abs((onTime?.rates["5m"] ?? 0) - 1) < 1e-9);
  t.ok(Math.abs(onTime?.budget.left ?? 1) < 1e-9, "the budget is used up");
  t.strictSame(onTime?.alerts, []);
  const answered = findObjective(report, "laces", "answered");
  t.equal(answered?.rates["6h"], 0);
  t.equal(answered?.budget.left, 1);
});

// Guards against an alert for a loss that has ended, and a missing alert for an ongoing one.
t.test("an alert fires only while both windows reach its rate", async (t) => {
  const clock = createManualClock(START_MS);
  const recorder = createRecorder(clock);
  recordMany(recorder, 50, 50);
  const getAlerts = async () => {
    const report = await buildReport(recorder);
    return findObjective(report, "laces", "answeredOnTime")?.alerts;
  };
  t.strictSame(await getAlerts(), ["fast", "slow"]);
  clock.advance(10 * MINUTE_MS);
  recordMany(recorder, 10, 0);
  t.strictSame(
    await getAlerts(),
    ["slow"],
    "the short window of the fast alert has no bad events",
  );
  clock.advance(40 * MINUTE_MS);
  recordMany(recorder, 10, 0);
  t.strictSame(await getAlerts(), []);
});

// Guards against applying the limits of one workspace to another.
t.test("waiting and share use the limits of their workspace", async (t) => {
  const objectives = resolveObjectives({
    workspaces: { laces: { waiting: { target: 0.9, limit: 100 } } },
  });
  const recorder = createRecorder(createManualClock(), "a1", objectives);
  for (const workspace of ["laces", "cords"]) {
    recorder.recordWaiting(workspace, 500);
    recorder.recordShare(workspace, 0.1);
    recorder.recordShare(workspace, 0.3);
  }
  const report = await buildReport(recorder);
  t.match(findObjective(report, "laces", "waiting"), { limit: 100 });
  t.equal(findObjective(report, "laces", "waiting")?.budget.bad, 1);
  t.equal(findObjective(report, "cords", "waiting")?.budget.bad, 0);
  t.match(findObjective(report, "cords", "share")?.budget, {
    total: 2,
    bad: 1,
  });
});

// Guards against results that depend on which instance served a request.
t.test("merged snapshots equal those of a single instance", async (t) => {
  const event = fc.record({
    instance: fc.integer({ min: 0, max: 2 }),
    workspace: fc.constantFrom("laces", "constructor"),
    afterMs: fc.integer({ min: 0, max: 600_000 }),
    answered: fc.boolean(),
    onTime: fc.boolean(),
    durationMs: fc.integer({ min: 0, max: 3_600_000 }),
  });
  const property = fc.asyncProperty(fc.array(event), async (events) => {
    const clock = createManualClock(START_MS);
    const alone = createRecorder(clock);
    const several = ["a1", "a2", "a3"].map((name) =>
      createRecorder(clock, name)
    );
    for (const { instance, workspace, afterMs, ...answer } of events) {
      clock.advance(afterMs);
      for (const recorder of [alone, several[instance]]) {
        recorder?.recordAnswer(workspace, answer);
        recorder?.recordWaiting(workspace, answer.durationMs);
      }
    }
    const merged = await buildReport(...several);
    t.strictSame(merged.workspaces, (await buildReport(alone)).workspaces);
  });
  await fc.assert(property, { seed: SEED, numRuns: 50 });
  t.comment(`seed ${SEED}`);
});

// Guards against adding up events classified by different limits.
t.test("instances with different objectives are not merged", async (t) => {
  const clock = createManualClock();
  const other = resolveObjectives({ default: { answered: { target: 0.9 } } });
  const recorders = [createRecorder(clock), createRecorder(clock, "a2", other)];
  for (const recorder of recorders) recorder.recordAnswer("laces", GOOD);
  await t.rejects(buildReport(...recorders), {
    message: /^Cannot merge objective "answered" of workspace "laces"/,
  });
  for (const target of [0, 1, 1.5, NaN]) {
    t.throws(
      () => resolveObjectives({ default: { answered: { target } } }),
      { message: /is not above 0 and below 1/ },
    );
  }
});

// Guards against a report that looks complete although an instance is missing.
t.test("instances without a snapshot are listed", async (t) => {
  const recorder = createRecorder(createManualClock(START_MS), "a1");
  recorder.recordAnswer("laces", GOOD);
  const read = await readBurnSnapshots(["b2", "a1", "b1"], (instance) => {
    if (instance === "b2") throw new Error("the deadline has passed");
    return instance === "b1"
      ? Promise.resolve({ instance })
      : recorder.takeSnapshot();
  });
  t.strictSame(read.snapshots.map(({ instance }) => instance), ["a1"]);
  t.match(read.unreached, [
    { instance: "b1", reason: /^Cannot parse burn snapshot: sinceMs/ },
    { instance: "b2", reason: "the deadline has passed" },
  ]);
  const report = buildBurnReport(read);
  const line = "Not reached, and missing in all figures: b2 (the deadline";
  t.match(renderBurnTable(report), line);
  t.match(renderBurnHtml(report), line);
  t.strictSame(JSON.parse(renderBurnJson(report)).unreached, read.unreached);
});

// Guards against a page that loads external resources, and against markup injected by a workspace name.
t.test("the page is self-contained", async (t) => {
  const clock = createManualClock(START_MS);
  const recorder = createRecorder(clock);
  recorder.recordAnswer("<script>&", GOOD);
  clock.advance(20 * MINUTE_MS);
  recorder.recordAnswer("<script>&", LATE);
  const html = renderBurnHtml(await buildReport(recorder));
  t.notMatch(html, /<script|src=|href=|url\(|@import/);
  t.match(html, "&lt;script&gt;&amp;");
  t.equal(html.match(/<svg /g)?.length, 2);
  // The line must be interrupted between the two events, not drawn through the gap.
  t.equal(html.match(/<polyline /g)?.length, 4);
  t.notMatch(html, /NaN|Infinity|undefined/);
});

// Guards against a table that shows a rate without any events.
t.test("the table shows rates, budget and times", async (t) => {
  const recorder = createRecorder(createManualClock(START_MS));
  recordMany(recorder, 90, 10);
  recorder.recordWaiting("cords", 40);
  const text = renderBurnTable(await buildReport(recorder));
  t.match(
    text,
    /laces +answeredOnTime +99\.0 % +10\.00 +10\.00 +10\.00 +10\.00 +-900\.0 % +slow/,
  );
  t.match(text, /cords +waiting +99\.0 % +0\.00/);
  t.match(text, /cords +answer +0 +0 +0 +0/);
  t.match(text, "Reached: a1, recording since 2026-01-01T00:00:00.000Z");
});

// Guards against an invalid snapshot of one instance failing the whole report with an unclear error.
t.test("an invalid histogram is rejected as a fault", async (t) => {
  const recorder = createRecorder(createManualClock());
  recorder.recordAnswer("laces", GOOD);
  const snapshot = await recorder.takeSnapshot();
  const workspace = { ...snapshot.workspaces["laces"], answerTimes: "%%%" };
  const broken = parseBurnSnapshot({
    ...snapshot,
    workspaces: { laces: workspace },
  });
  try {
    buildBurnReport({ snapshots: [broken], unreached: [] });
    t.fail("an invalid histogram was accepted");
  } catch (error) {
    t.ok(isFault(error, "badRequest"));
  }
});
