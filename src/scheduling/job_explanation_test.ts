import fc from "fast-check";
import t from "tap";
import {
  buildResources,
  type Cell,
  createCell,
} from "../../test/scheduling_cell.ts";
import { createSeededRandom } from "../common/mod.ts";
import type { JobExplanation, JobPolicy, JobSpec } from "./types.ts";

const SEED = 20_261_206;
const ROUNDS = 25;
const POLICIES: JobPolicy[] = ["batch", "service", "gang"];
// One step, so that no report changes the state between explanation and placement.
const STEP_MS = 10;
const REASONS_WANTED = 10;

interface Explained {
  explanation: JobExplanation;
  /** Whether nothing waited, so that only this job could be placed. */
  isQuiet: boolean;
  /** Number of tasks of the job by worker after the next step. */
  placed: Record<string, number>;
}

function countPlaced(cell: Cell, from: number, job: string) {
  const placed: Record<string, number> = {};
  for (const action of cell.actions.slice(from)) {
    if (action.type !== "assign" || action.job !== job) continue;
    placed[action.worker] = (placed[action.worker] ?? 0) + 1;
  }
  return placed;
}

/** Runs random work; with `isExplained`, each job is explained before it is submitted. */
function runWork(seed: number, isExplained: boolean) {
  const choice = createSeededRandom(seed);
  const cell = createCell({ seed });
  const explained: Explained[] = [];
  cell.setWorkspace("a", buildResources(200, 200, 4));
  cell.setWorkspace("b", buildResources(12, 200, 4), 2);

  function changeCell(round: number): void {
    const workers = [...cell.workers.values()];
    const worker = workers[choice.nextInt(Math.max(1, workers.length))];
    const action = choice.nextInt(8);
    if (round < 4 || action < 2) {
      const size = 4 + 4 * choice.nextInt(3);
      const accelerators = choice.nextInt(2);
      cell.addWorker(
        `w${round}`,
        buildResources(size, size, accelerators),
        `r${choice.nextInt(3)}`,
      );
    } else if (action === 2 && worker) worker.isDraining = !worker.isDraining;
    else if (action === 3 && worker) worker.isReachable = !worker.isReachable;
    for (const { task } of cell.listRunning()) {
      if (choice.nextInt(3) === 0) cell.end(task, "finished");
    }
  }

  function submitJob(round: number): void {
    const policy = POLICIES[choice.nextInt(3)]!;
    const spec: JobSpec = {
      id: `j${round}`,
      workspace: choice.nextInt(3) === 0 ? "b" : "a",
      policy,
      tasks: 1 + choice.nextInt(policy === "gang" ? 6 : 12),
      resources: buildResources(
        1 + choice.nextInt(6),
        1,
        choice.nextInt(6) === 0 ? 1 : 0,
      ),
      urgent: choice.nextInt(5) === 0,
      expectedMs: 1_000 + choice.nextInt(60_000),
      maxAttempts: 3,
      submittedAt: cell.getNowMs(),
    };
    const scheduler = cell.getScheduler();
    const isQuiet = scheduler.getStatus().queuedTasks === 0;
    const from = cell.actions.length;
    const explanation = isExplained ? scheduler.explainJob(spec) : undefined;
    cell.addJob(spec);
    cell.advance(STEP_MS, STEP_MS);
    if (explanation === undefined) return;
    const placed = countPlaced(cell, from, spec.id);
    explained.push({ explanation, isQuiet, placed });
  }

  for (let round = 0; round < ROUNDS; round++) {
    changeCell(round);
    cell.advance(2_500, 50);
    submitJob(round);
  }
  const log = JSON.stringify([
    cell.actions,
    cell.getScheduler().getStatus(),
    cell.getScheduler().listJobs(),
  ]);
  return { log, explained };
}

// Guards against an explanation that takes capacity, a share, a random number or
// a place in a queue: every later action must be the same as without it. Also
// guards against an explanation that differs from where the same job then goes.
t.test("an explained job changes nothing and goes where it says", (t) => {
  t.comment(`seed ${SEED}`);
  const reasons = new Set<string>();
  fc.assert(
    fc.property(fc.integer(), (seed) => {
      const { log, explained } = runWork(seed, true);
      t.ok(log === runWork(seed, false).log, `same as without, seed ${seed}`);
      for (const { explanation, isQuiet, placed } of explained) {
        const { outcome, waitsFor, chosen, passedOver } = explanation;
        reasons.add(`${outcome} ${waitsFor ?? ""}`);
        for (const { reason } of passedOver) reasons.add(reason);
        const isPossiblyHeld = explanation.unknown.some((text) =>
          text.startsWith("Workers are held")
        );
        if (!isQuiet || isPossiblyHeld) continue;
        const said = chosen.map(({ worker, tasks }) => [worker, tasks]);
        t.same(placed, Object.fromEntries(said), outcome);
      }
    }),
    { numRuns: 40, seed: SEED },
  );
  t.ok(reasons.size >= REASONS_WANTED, [...reasons].sort().join(", "));
  t.end();
});
