/** Renders a burn report as text for a terminal. */

import type { BurnReport, WorkspaceBurn } from "./burn.ts";
import { WINDOW_NAMES } from "./window_counts.ts";

/** Formats a burn rate; "-" for `null`, which means no events. */
export function formatRate(rate: number | null): string {
  return rate === null ? "-" : rate.toFixed(2);
}

/** Formats a fraction as a percentage; "-" for `null`, which means no events. */
export function formatPercentage(fraction: number | null): string {
  return fraction === null ? "-" : `${(fraction * 100).toFixed(1)} %`;
}

/** Lists the column headings of the objectives table. */
export function listBurnHeadings(): string[] {
  return [
    "workspace",
    "objective",
    "target",
    ...WINDOW_NAMES.map((name) => `burn ${name}`),
    "budget left",
    "alerts",
  ];
}

/** Lists the rows of one workspace in the objectives table. */
export function listBurnRows(
  { workspace, objectives }: WorkspaceBurn,
): string[][] {
  return objectives.map((objective) => [
    workspace,
    objective.name,
    formatPercentage(objective.target),
    ...WINDOW_NAMES.map((name) => formatRate(objective.rates[name])),
    formatPercentage(objective.budget.left),
    objective.alerts.join(", ") || "-",
  ]);
}

/** Lists the column headings of the durations table. */
export function listTimeHeadings(): string[] {
  return ["workspace", "times", "count", "median ms", "p99 ms", "longest ms"];
}

/** Lists the rows of one workspace in the durations table. */
export function listTimeRows(burn: WorkspaceBurn): string[][] {
  const summaries = [
    { name: "answer", times: burn.answerTimes },
    { name: "waiting", times: burn.waitingTimes },
  ];
  return summaries.map(({ name, times }) => {
    const figures = [times.p50Ms, times.p99Ms, times.maxMs];
    const texts = figures.map((ms) => ms.toFixed(0));
    return [burn.workspace, name, String(times.count), ...texts];
  });
}

/** Lists one line for each instance whose data is missing. */
export function listUnreachedLines({ unreached }: BurnReport): string[] {
  return unreached.map(({ instance, reason }) =>
    `Not reached, and missing in all figures: ${instance} (${reason})`
  );
}

function formatTable(rows: readonly string[][]): string[] {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0))
  );
  return rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ")
      .trimEnd()
  );
}

/** Renders the report as two text tables, preceded by the unreached and reached instances. */
export function renderBurnTable(report: BurnReport): string {
  const burn = [listBurnHeadings(), ...report.workspaces.flatMap(listBurnRows)];
  const times = [
    listTimeHeadings(),
    ...report.workspaces.flatMap(listTimeRows),
  ];
  const reached = report.reached.map(({ instance, sinceMs }) =>
    `Reached: ${instance}, recording since ${new Date(sinceMs).toISOString()}`
  );
  const lines = [
    ...listUnreachedLines(report),
    ...reached,
    "",
    ...formatTable(burn),
    "",
    ...formatTable(times),
  ];
  return lines.map((line) => `${line}\n`).join("");
}

/** Renders the report as JSON. */
export function renderBurnJson(report: BurnReport): string {
  return `${JSON.stringify(report, null, 2)}\n`;
}
