/**
 * Compares cell variants and step orderings under named load patterns, on the
 * cell model without a network. Usage: `npm run experiment [-- SEED [FACTOR]]`;
 * FACTOR multiplies the load of the sheets. Prints a table and writes a page with
 * the earned value (column "worth earned") to `bench-results/work_experiment.html`.
 */

import { mkdir, writeFile } from "node:fs/promises";
import process from "node:process";
import { build } from "hdr-histogram-js";
import {
  LOAD_PATTERNS,
  type LoadOptions,
  type LoadPattern,
  runLoad,
  SHEET_KINDS,
} from "../src/model/mod.ts";
import type { OpenStep } from "../src/workload/plan_types.ts";

/** A cell configuration in the comparison. */
interface Variant {
  readonly name: string;
  readonly cell: NonNullable<LoadOptions["cell"]>;
}

const RUNNERS = 32;
const RUNNER_PROCESSORS = 16_000;
const RUN_MS = 20_000;

function createCallerNames(count: number): string[] {
  return Array.from({ length: count }, (_, at) => `caller-${at}`);
}

/** The former order, used before urgencies: by priority, then by the time of the objective. */
function sortByPriority(steps: readonly OpenStep[]): OpenStep[] {
  return [...steps].sort((a, b) =>
    a.priority - b.priority || a.dueMs - b.dueMs
  );
}

const VARIANTS: readonly Variant[] = [
  {
    name: "as on the first sites",
    cell: { commitMs: 12, callers: createCallerNames(13) },
  },
  {
    name: "ordered by priority",
    cell: {
      commitMs: 12,
      callers: createCallerNames(13),
      sortSteps: sortByPriority,
    },
  },
  {
    name: "slow disks",
    cell: { commitMs: 40, callers: createCallerNames(13) },
  },
  {
    name: "three callers",
    cell: { commitMs: 12, callers: createCallerNames(3) },
  },
];

interface Row {
  readonly pattern: string;
  readonly variant: string;
  readonly kind: string;
  readonly jobs: number;
  readonly onTime: number;
  /** Earned value as a fraction of the value owed. */
  readonly earned: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Queries to the eligibility service for each job. */
  readonly questions: number;
  /** Starts for each task, over all job kinds. */
  readonly startsPerTask: number;
}

async function compareLoad(
  pattern: LoadPattern,
  variant: Variant,
  { seed, factor }: { seed: number; factor: number },
): Promise<Row[]> {
  const result = await runLoad({
    kinds: SHEET_KINDS.map((kind) => ({
      ...kind,
      jobsPerSecond: kind.jobsPerSecond * factor,
    })),
    pattern,
    seed,
    runners: RUNNERS,
    processors: RUNNER_PROCESSORS,
    runMs: RUN_MS,
    cell: variant.cell,
  });
  console.error(`${pattern.name}, ${variant.name}`);
  return result.kinds.map((outcome) => {
    const times = build({ highestTrackableValue: 600_000 });
    for (const waitMs of outcome.waitsMs) times.recordValue(waitMs);
    const { kind, jobs } = outcome;
    return {
      pattern: pattern.name,
      variant: variant.name,
      kind,
      jobs,
      onTime: jobs === 0 ? 0 : outcome.onTime / jobs,
      earned: jobs === 0 ? 0 : outcome.earnedValue / outcome.totalValue,
      p50Ms: times.getValueAtPercentile(50),
      p99Ms: times.getValueAtPercentile(99),
      questions: jobs === 0 ? 0 : (result.queries[kind] ?? 0) / jobs,
      startsPerTask: result.tasks === 0 ? 0 : result.starts / result.tasks,
    };
  });
}

function renderTable(rows: readonly Row[]): string {
  const lines = [
    "| pattern | cell | kind | jobs | on time | worth earned | p50 ms beyond work | p99 | questions a job | runs a task |",
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
  ];
  for (const row of rows) {
    lines.push(
      `| ${row.pattern} | ${row.variant} | ${row.kind} | ${row.jobs} | ${
        row.onTime.toFixed(3)
      } | ${row.earned.toFixed(3)} | ${row.p50Ms} | ${row.p99Ms} | ${
        row.questions.toFixed(2)
      } | ${row.startsPerTask.toFixed(2)} |`,
    );
  }
  return lines.join("\n");
}

function renderPage(rows: readonly Row[], seed: number): string {
  const tableRows = rows.map((row) => {
    const width = (row.earned * 400).toFixed(0);
    return `<tr><td>${row.pattern}</td><td>${row.variant}</td><td>${row.kind}</td>` +
      `<td><svg width="400" height="12"><rect width="${width}" height="12" fill="#47a"/></svg></td>` +
      `<td>${
        (row.earned * 100).toFixed(1)
      } %</td><td>${row.p50Ms}</td><td>${row.p99Ms}</td></tr>`;
  });
  return `<!doctype html><meta charset="utf-8"><title>Workload experiment</title>
<style>body{font:14px sans-serif}td{padding:2px 8px}</style>
<h1>Worth earned, seed ${seed}</h1>
<table><tr><th>pattern<th>cell<th>kind<th>worth earned<th><th>p50 ms<th>p99 ms</tr>
${tableRows.join("\n")}
</table>
`;
}

const seed = Number(process.argv[2] ?? 1);
const factor = Number(process.argv[3] ?? 1);
const rows: Row[] = [];
for (const pattern of Object.values(LOAD_PATTERNS)) {
  for (const variant of VARIANTS) {
    rows.push(...await compareLoad(pattern, variant, { seed, factor }));
  }
}
console.log(renderTable(rows));
await mkdir("bench-results", { recursive: true });
await writeFile("bench-results/work_experiment.html", renderPage(rows, seed));
