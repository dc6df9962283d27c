/** Renders a burn report as text for a terminal. */

import type { BurnReport, WorkspaceBurn } from "./burn.ts";
import { WINDOW_NAMES } from "./window_counts.ts";

/** Formats a burn rate; "-" without an event. */
export function formatRate(rate: number | null): string {
  return rate === null ? "-" : rate.toFixed(2);
}

/** Formats a part of one as a percentage; "-" without an event. */
export function formatPercentage(part: number | null): string {
  return part === null ? "-" : `${(part * 100).toFixed(1)} %`;
}

/** Lists the headings of the table of objectives. */
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

/** Lists the rows of the table of objectives of one workspace. */
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

/** Lists the headings of the table of times. */
export function listTimeHeadings(): string[] {
  return ["workspace", "times", "count", "median ms", "p99 ms", "longest ms"];
}

/** Lists the rows of the table of times of one workspace. */
export function listTimeRows(burn: WorkspaceBurn): string[][] {
  const all = [
    { name: "answer", times: burn.answerTimes },
    { name: "waiting", times: burn.waitingTimes },
  ];
  return all.map(({ name, times }) => {
    const figures = [times.p50Ms, times.p99Ms, times.maxMs];
    const texts = figures.map((ms) => ms.toFixed(0));
    return [burn.workspace, name, String(times.count), ...texts];
  });
}

/** Lists one line for each instance whose part is missing. */
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

/** Renders the report as two tables, with the unreached instances first. */
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
