/**
 * Healthy jobs while runners are cut off, or crash and never come back under their
 * id or address. Guards against the blame for crashes on healthy jobs.
 */

import t, { type Test } from "tap";
import { createSeededRandom } from "../common/mod.ts";
import { createJob, type RunnerFaults, type WorkModel } from "../model/mod.ts";
import {
  checkJobs,
  runUntilEnded,
  startDeadlyCell,
  submitJobs,
} from "../../test/deadly_cell.ts";

t.setTimeout(240_000);

const RUNNERS = 12;
const CUTS = 5;
const SUBMIT_PERIOD_MS = 100;
const SETTLE_MS = 120_000;

/** Time after the last cut in which jobs are submitted, in milliseconds. */
const CALM_MS = 4_000;

/** A series of cuts, each of about a third of the runners. */
interface Cuts {
  readonly seed: number;
  readonly cutMs: number;
  /** Longest time from the end of one cut to the next, in milliseconds. */
  readonly mostPauseMs: number;
  readonly changesLeader: boolean;
}

interface CutEvent {
  readonly atMs: number;
  readonly run: () => void;
}

function setPartitioned(
  runners: readonly RunnerFaults[],
  isPartitioned: boolean,
): void {
  for (const faults of runners) faults.isPartitioned = isPartitioned;
}

/** Plans a series of cuts from `startMs` on; each may have a leader change in it or shortly after. */
function planCuts(
  model: WorkModel,
  runners: readonly RunnerFaults[],
  { seed, cutMs, mostPauseMs, changesLeader }: Cuts,
): CutEvent[] {
  const random = createSeededRandom(seed);
  const events: CutEvent[] = [];
  let atMs = model.clock.now() + 2_000;
  for (let cut = 0; cut < CUTS; cut += 1) {
    const chosen = runners.filter(() => random.nextFloat() < 1 / 3);
    const endMs = atMs + cutMs;
    events.push(
      { atMs, run: () => setPartitioned(chosen, true) },
      { atMs: endMs, run: () => setPartitioned(chosen, false) },
    );
    if (changesLeader) {
      const changeMs = atMs + random.nextInt(cutMs + 2_000);
      events.push({ atMs: changeMs, run: () => model.changeLeader() });
    }
    atMs = endMs + random.nextInt(mostPauseMs);
  }
  return events.sort((a, b) => a.atMs - b.atMs);
}

/** Submits a job; its caller sends it again after a leader change. */
function submitJob(model: WorkModel, id: string, estimatedMs: number): void {
  const body = createJob([{ tasks: 2, estimatedMs }]);
  const submit = () => model.submit(id, body);
  submit().catch(submit);
}

/** Runs healthy jobs under a series of cuts, checks that all are done, and returns the number of crashes with suspects that were recorded. */
async function runCuts(t: Test, cuts: Cuts): Promise<number> {
  const random = createSeededRandom(cuts.seed);
  const faults = new Map<string, RunnerFaults>();
  let crashes = 0;
  const model = await startDeadlyCell(RUNNERS, {
    faults,
    isRefused(records) {
      for (const record of records) {
        const isBlame = record.kind === "crash" && record.suspects.length > 0;
        if (isBlame) crashes += 1;
      }
      return false;
    },
  });
  const events = planCuts(model, [...faults.values()], cuts);
  const untilMs = (events.at(-1)?.atMs ?? 0) + CALM_MS;
  const healthy: string[] = [];
  let submitMs = 0;
  while (model.clock.now() < untilMs) {
    const nowMs = model.clock.now();
    while ((events[0]?.atMs ?? Infinity) <= nowMs) events.shift()?.run();
    if (nowMs >= submitMs) {
      submitMs = nowMs + SUBMIT_PERIOD_MS;
      const id = `job-${healthy.length}`;
      const isLong = healthy.length % 10 === 0;
      submitJob(model, id, isLong ? 8_000 : 400 + random.nextInt(1_000));
      healthy.push(id);
    }
    await model.run(1);
  }
  await runUntilEnded(model, healthy, SETTLE_MS);
  checkJobs(t, model, { deadly: [], healthy }, `seed ${cuts.seed}`);
  return crashes;
}

const CASES: readonly Cuts[] = [
  { seed: 1, cutMs: 6_000, mostPauseMs: 1_000, changesLeader: false },
  { seed: 1, cutMs: 6_000, mostPauseMs: 1_000, changesLeader: true },
  { seed: 2, cutMs: 9_000, mostPauseMs: 8_000, changesLeader: false },
  { seed: 2, cutMs: 9_000, mostPauseMs: 8_000, changesLeader: true },
];

for (const cuts of CASES) {
  const leader = cuts.changesLeader ? ", with leader changes" : "";
  // Guards against jobs that are given up as their runners seem to have crashed.
  t.test(`five cuts of ${cuts.cutMs} ms fail no job${leader}`, async (t) => {
    const crashes = await runCuts(t, cuts);
    t.ok(crashes > 0, `${crashes} crashes recorded`);
  });
}

// Guards against a start that is sent while its run ends as lost, as the lease of a
// runner that has just replied seems to end once more.
t.test("a runner that replies after its lease runs no task twice", async (t) => {
  await runCuts(t, {
    seed: 29,
    cutMs: 9_000,
    mostPauseMs: 1_000,
    changesLeader: false,
  });
});

// Guards against the blame on healthy jobs of machines that fail for good.
t.test("runners that crash and are back as others fail no job", async (t) => {
  const model = await startDeadlyCell(10, { returnAs: "newIdAndAddress" });
  const random = createSeededRandom(11);
  const healthy: string[] = [];
  const count = new Map<number, number>();
  for (let round = 0; round < 100; round += 1) {
    healthy.push(...submitJobs(model, `round-${round}`, 3));
    await model.run(random.nextInt(800));
    if (round % 2 === 1) continue;
    const runner = random.nextInt(10);
    const returns = count.get(runner) ?? 0;
    count.set(runner, returns + 1);
    model.runners.crash(`r${runner}${"+".repeat(returns)}`);
  }
  await runUntilEnded(model, healthy, SETTLE_MS);
  checkJobs(t, model, { deadly: [], healthy });
});
