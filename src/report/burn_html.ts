/** Renders a burn report as a single HTML page without scripts or external resources. */

import { BURN_ALERTS } from "./burn.ts";
import type { BurnReport, ObjectiveBurn, WorkspaceBurn } from "./burn.ts";
import {
  listBurnHeadings,
  listBurnRows,
  listTimeHeadings,
  listTimeRows,
  listUnreachedLines,
} from "./burn_table.ts";

const PLOT_WIDTH = 360;
const PLOT_HEIGHT = 90;

const STYLE = `
body { font: 14px/1.4 system-ui, sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { padding: 0.2em 0.8em; border-bottom: 1px solid #ccc; text-align: left; }
.missing { color: #a00; font-weight: bold; }
figure { display: inline-block; margin: 0 1em 1em 0; }
svg { border: 1px solid #ccc; background: #fff; }
.rate { fill: none; stroke: #06c; stroke-width: 1.5; }
.bound { stroke: #c00; stroke-dasharray: 4 3; }
`;

// Escapes text for HTML: workspace names are operator input and must not inject markup.
function encodeText(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;").replaceAll('"', "&quot;");
}

function renderRow(cells: readonly string[], tag: "th" | "td"): string {
  const parts = cells.map((cell) => `<${tag}>${encodeText(cell)}</${tag}>`);
  return `<tr>${parts.join("")}</tr>`;
}

function renderTable(headings: string[], rows: readonly string[][]): string {
  const body = rows.map((row) => renderRow(row, "td")).join("\n");
  return `<table>\n${renderRow(headings, "th")}\n${body}\n</table>`;
}

/** Splits the series into polylines; a step without events interrupts the line. */
function listSegments(
  rates: readonly (number | null)[],
  toPoint: (index: number, rate: number) => string,
): string[][] {
  const segments: string[][] = [[]];
  for (const [index, rate] of rates.entries()) {
    if (rate === null) segments.push([]);
    else segments.at(-1)?.push(toPoint(index, rate));
  }
  return segments.filter((segment) => segment.length > 0);
}

function renderPlot(objective: ObjectiveBurn): string {
  const { rates } = objective.series;
  const alertRates = BURN_ALERTS.map(({ rate }) => rate);
  const known = rates.filter((rate) => rate !== null);
  const top = Math.max(...alertRates, ...known) * 1.1;
  const toY = (rate: number) => (PLOT_HEIGHT * (1 - rate / top)).toFixed(1);
  const stepWidth = PLOT_WIDTH / Math.max(1, rates.length - 1);
  const segments = listSegments(
    rates,
    (index, rate) => `${(index * stepWidth).toFixed(1)},${toY(rate)}`,
  );
  const lines = segments.map((segment) => {
    // A polyline with a single point draws nothing, so the point is repeated.
    const points = segment.length === 1 ? [...segment, ...segment] : segment;
    return `<polyline class="rate" stroke-linecap="round" points="${
      points.join(" ")
    }"/>`;
  });
  const alertLines = alertRates.map((rate) =>
    `<line class="bound" x1="0" x2="${PLOT_WIDTH}" y1="${toY(rate)}" y2="${
      toY(rate)
    }"><title>burn rate ${rate}</title></line>`
  );
  return `<svg width="${PLOT_WIDTH}" height="${PLOT_HEIGHT}" viewBox="0 0 ${PLOT_WIDTH} ${PLOT_HEIGHT}" role="img">
${[...alertLines, ...lines].join("\n")}
</svg>`;
}

function renderFigure(workspace: string, objective: ObjectiveBurn): string {
  const startMs = objective.series.startMs;
  const endMs = startMs +
    objective.series.stepMs * objective.series.rates.length;
  const caption = `${workspace}: ${objective.name}, ${
    new Date(startMs).toISOString()
  } to ${new Date(endMs).toISOString()}`;
  return `<figure>\n${renderPlot(objective)}\n<figcaption>${
    encodeText(caption)
  }</figcaption>\n</figure>`;
}

function renderFigures({ workspace, objectives }: WorkspaceBurn): string {
  return objectives.map((objective) => renderFigure(workspace, objective))
    .join("\n");
}

/** Renders the report as a self-contained HTML page with one plot for each objective. */
export function renderBurnHtml(report: BurnReport): string {
  const missing = listUnreachedLines(report)
    .map((line) => `<p class="missing">${encodeText(line)}</p>`);
  const reached = report.reached.map(({ instance, sinceMs, takenAtMs }) => [
    instance,
    new Date(sinceMs).toISOString(),
    new Date(takenAtMs).toISOString(),
  ]);
  return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>Service-level burn</title>
<style>${STYLE}</style>
<h1>Service-level burn</h1>
${missing.join("\n")}
${renderTable(["reached", "recording since", "read at"], reached)}
<h2>Objectives</h2>
${renderTable(listBurnHeadings(), report.workspaces.flatMap(listBurnRows))}
<h2>Times</h2>
${renderTable(listTimeHeadings(), report.workspaces.flatMap(listTimeRows))}
<h2>Burn rates of the last six hours</h2>
<p>The dashed lines are the rates of the alerts: ${
    BURN_ALERTS.map(({ name, rate }) => `${name} ${rate}`).join(", ")
  }.</p>
${report.workspaces.map(renderFigures).join("\n")}
</html>
`;
}
