/**
 * Compares two or more cells under named loads, on the model of a cell and
 * without a network: `npm run experiment [-- SEED]`. Prints one table, and writes
 * a page with the waiting times to `bench-results/work_experiment.html`.
 */

import { mkdir, writeFile } from "node:fs/promises";
import process from "node:process";
import { build } from "hdr-histogram-js";
import { createSeededRandom, type Random } from "../src/common/mod.ts";
import {
  createJob,
  createModelConfiguration,
  createWorkModel,
  type RunnerTrouble,
  type WorkModel,
} from "../src/model/mod.ts";
import type { JobBody, StepSpec } from "../src/workload/mod.ts";

/** One kind of job. */
interface Kind {
  readonly name: string;
  readonly priority: number;
  /** Jobs a second on a calm day. */
  readonly perS: number;
  readonly slowdownFactor: number;
  readonly targetMs: number;
  readonly eligibility: {
    baseMs: number;
    perRunnerMs: number;
    validMs: number;
  };
  /** Share of the runners that may run a step. */
  readonly eligibleShare: number;
  readonly buildSteps: (random: Random) => Partial<StepSpec>[];
}

/** What differs between the cells that are compared. */
interface Variant {
  readonly name: string;
  readonly commitMs: number;
  readonly callers: number;
}

/** A load with a name. */
interface Pattern {
  readonly name: string;
  /** Multiple of the calm rate of a kind at a time. */
  readonly getRate: (kind: string, atMs: number) => number;
  readonly disturb?: (
    atMs: number,
    model: WorkModel,
    runners: readonly RunnerTrouble[],
  ) => void;
}

const RUNNERS = 16;
const RUN_MS = 20_000;
const TICK_MS = 20;
const MS_PER_SECOND = 1_000;

/** Time after the load for open jobs to end, in milliseconds. */
const DRAIN_MS = 30_000;

// Shapes like those of the users' sheets, at half of their size.
const KINDS: readonly Kind[] = [
  {
    name: "short",
    priority: 0,
    perS: 13,
    slowdownFactor: 1.5,
    targetMs: 250,
    eligibility: { baseMs: 9, perRunnerMs: 0.13, validMs: 2_000 },
    eligibleShare: 0.7,
    buildSteps: (random) => [{
      tasks: 1 + random.nextInt(3),
      gang: random.nextFloat() < 0.3,
      estimatedMs: 300 + random.nextInt(1_000),
      resources: {
        processors: 700 + random.nextInt(1_400),
        memoryMb: 2_000,
        accelerators: 0,
      },
    }],
  },
  {
    name: "wide",
    priority: 2,
    perS: 1.9,
    slowdownFactor: 4,
    targetMs: 3_000,
    eligibility: { baseMs: 66, perRunnerMs: 0.94, validMs: 2_000 },
    eligibleShare: 0.45,
    buildSteps: (random) => [{
      tasks: 5 + random.nextInt(10),
      estimatedMs: 1_500 + random.nextInt(2_400),
      resources: { processors: 980, memoryMb: 2_000, accelerators: 0 },
    }],
  },
  {
    name: "gang",
    priority: 1,
    perS: 0.5,
    slowdownFactor: 2.2,
    targetMs: 1_000,
    eligibility: { baseMs: 510, perRunnerMs: 7.2, validMs: 2_000 },
    eligibleShare: 0.3,
    buildSteps: (random) => [{
      tasks: 3 + random.nextInt(6),
      gang: true,
      estimatedMs: 4_000 + random.nextInt(4_000),
      resources: { processors: 4_500, memoryMb: 8_000, accelerators: 0 },
    }],
  },
];

const VARIANTS: readonly Variant[] = [
  { name: "as on the first sites", commitMs: 12, callers: 13 },
  { name: "slow disks", commitMs: 40, callers: 13 },
  { name: "three callers", commitMs: 12, callers: 3 },
];

const PATTERNS: readonly Pattern[] = [
  { name: "calm", getRate: () => 1 },
  {
    name: "burst of short jobs",
    getRate: (kind, atMs) =>
      kind === "short" && atMs > 5_000 && atMs < 9_000 ? 2.2 : 1,
  },
  {
    name: "many gangs at once",
    getRate: (kind, atMs) =>
      kind === "gang" && atMs > 5_000 && atMs < 9_000 ? 2 : 1,
  },
  {
    name: "runners that stand still",
    getRate: () => 1,
    disturb(atMs, _, runners) {
      const isOn = atMs > 5_000 && atMs < 11_000;
      for (const runner of runners.slice(0, 2)) runner.hangs = isOn;
    },
  },
  {
    name: "a takeover each 5 s",
    getRate: () => 1,
    disturb(atMs, model) {
      if (atMs > 0 && atMs % 5_000 === 0) model.takeOver();
    },
  },
];

interface Row {
  readonly pattern: string;
  readonly variant: string;
  readonly kind: string;
  readonly jobs: number;
  readonly onTime: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly startsPerTask: number;
}

/** Draws the runners that may run a job's steps; one at least. */
function drawEligible(random: Random, share: number): Set<string> {
  const eligible = new Set([`r${random.nextInt(RUNNERS)}`]);
  for (let number = 0; number < RUNNERS; number += 1) {
    if (random.nextFloat() < share) eligible.add(`r${number}`);
  }
  return eligible;
}

async function runLoad(
  pattern: Pattern,
  variant: Variant,
  seed: number,
): Promise<Row[]> {
  const random = createSeededRandom(seed);
  const eligible = new Map<string, Set<string>>();
  const model = createWorkModel({
    configuration: createModelConfiguration({ queues: KINDS }),
    commitMs: variant.commitMs,
    callers: Array.from({ length: variant.callers }, (_, at) => `caller-${at}`),
    isEligible(runner, step) {
      const [job = ""] = step.split("/");
      return eligible.get(job)?.has(runner) ?? false;
    },
  });
  const runners: RunnerTrouble[] = [];
  for (let number = 0; number < RUNNERS; number += 1) {
    runners.push(
      await model.addRunner(`r${number}`, {
        capacity: { processors: 16_000, memoryMb: 65_536, accelerators: 0 },
      }),
    );
  }
  const bodies = new Map<string, JobBody>();
  const startMs = model.clock.now();
  for (let atMs = 0; atMs < RUN_MS; atMs += TICK_MS) {
    pattern.disturb?.(atMs, model, runners);
    for (const kind of KINDS) {
      const rate = kind.perS * pattern.getRate(kind.name, atMs);
      if (random.nextFloat() > rate * TICK_MS / MS_PER_SECOND) continue;
      const id = `${kind.name}${bodies.size}`;
      const body = createJob(kind.buildSteps(random));
      bodies.set(id, body);
      eligible.set(id, drawEligible(random, kind.eligibleShare));
      const submit = () => model.submit(id, body, { queue: kind.name });
      // A takeover cuts calls off; their callers send them again.
      submit().catch(() => submit());
    }
    await model.run(TICK_MS);
  }
  await model.run(DRAIN_MS);
  const seconds = ((model.clock.now() - startMs) / MS_PER_SECOND).toFixed(0);
  console.error(`${pattern.name}, ${variant.name}: ${seconds} s of model time`);

  return KINDS.map((kind) => {
    const times = build({ highestTrackableValue: 600_000 });
    let jobs = 0;
    let onTime = 0;
    let tasks = 0;
    let starts = 0;
    for (const [id, body] of bodies) {
      if (!id.startsWith(kind.name)) continue;
      const job = model.state.getJob(id);
      const [step] = body.steps;
      if (job === undefined || step === undefined) continue;
      jobs += 1;
      tasks += step.tasks;
      for (const task of job.occurrences[0]?.steps[0]?.tasks ?? []) {
        starts += task.run;
      }
      if (job.state !== "completed") continue;
      const tookMs = job.endedMs - job.spec.submittedMs;
      const objectiveMs = kind.slowdownFactor * step.estimatedMs +
        kind.targetMs;
      if (tookMs <= objectiveMs) onTime += 1;
      times.recordValue(Math.max(0, tookMs - step.estimatedMs));
    }
    return {
      pattern: pattern.name,
      variant: variant.name,
      kind: kind.name,
      jobs,
      onTime: jobs === 0 ? 0 : onTime / jobs,
      p50Ms: times.getValueAtPercentile(50),
      p99Ms: times.getValueAtPercentile(99),
      startsPerTask: tasks === 0 ? 0 : starts / tasks,
    };
  });
}

function renderTable(rows: readonly Row[]): string {
  const lines = [
    "| pattern | cell | kind | jobs | on time | p50 ms beyond work | p99 | runs a task |",
    "| --- | --- | --- | --- | --- | --- | --- | --- |",
  ];
  for (const row of rows) {
    lines.push(
      `| ${row.pattern} | ${row.variant} | ${row.kind} | ${row.jobs} | ${
        row.onTime.toFixed(3)
      } | ${row.p50Ms} | ${row.p99Ms} | ${row.startsPerTask.toFixed(2)} |`,
    );
  }
  return lines.join("\n");
}

function renderPage(rows: readonly Row[], seed: number): string {
  const bars = rows.map((row) => {
    const width = (row.onTime * 400).toFixed(0);
    return `<tr><td>${row.pattern}</td><td>${row.variant}</td><td>${row.kind}</td>` +
      `<td><svg width="400" height="12"><rect width="${width}" height="12" fill="#47a"/></svg></td>` +
      `<td>${
        (row.onTime * 100).toFixed(1)
      } %</td><td>${row.p50Ms}</td><td>${row.p99Ms}</td></tr>`;
  });
  return `<!doctype html><meta charset="utf-8"><title>Workload experiment</title>
<style>body{font:14px sans-serif}td{padding:2px 8px}</style>
<h1>Jobs on time, seed ${seed}</h1>
<table><tr><th>pattern<th>cell<th>kind<th>on time<th><th>p50 ms<th>p99 ms</tr>
${bars.join("\n")}
</table>
`;
}

const seed = Number(process.argv[2] ?? 1);
const rows: Row[] = [];
for (const pattern of PATTERNS) {
  for (const variant of VARIANTS) {
    rows.push(...await runLoad(pattern, variant, seed));
  }
}
console.log(renderTable(rows));
await mkdir("bench-results", { recursive: true });
await writeFile("bench-results/work_experiment.html", renderPage(rows, seed));
