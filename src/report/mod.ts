/** Burn reports of workspaces and the metrics of an instance. */

export * from "./burn.ts";
export * from "./burn_html.ts";
export * from "./burn_recorder.ts";
export * from "./burn_snapshots.ts";
export { renderBurnJson, renderBurnTable } from "./burn_table.ts";
export * from "./duration_histogram.ts";
export * from "./metric_definitions.ts";
export * from "./metrics.ts";
export * from "./objectives.ts";
export * from "./window_counts.ts";
