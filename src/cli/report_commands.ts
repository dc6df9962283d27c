/** `goldcrestlug report` and `goldcrestlug sheet`. */

import { writeFile } from "node:fs/promises";
import {
  command,
  option,
  optional,
  positional,
  string,
  subcommands,
} from "cmd-ts";
import { type Client, readFleetState, submitChange } from "../client/mod.ts";
import { createFault } from "../common/mod.ts";
import { parseSheet, planSheet, type SheetPlan } from "../fleet/mod.ts";
import {
  buildBurnReport,
  type BurnSnapshots,
  renderBurnHtml,
  renderBurnJson,
  renderBurnTable,
} from "../report/mod.ts";
import { readTextFile, renderChangeReport } from "./change_commands.ts";
import {
  CONNECTION_OPTIONS,
  createOperatorClient,
  runCommand,
  writeOutput,
} from "./shared.ts";

const burnReportCommand = command({
  name: "burn",
  description:
    "Report the service level of each workspace, e.g. `report burn --html burn.html`",
  args: {
    html: option({
      type: optional(string),
      long: "html",
      description:
        "also write the report to this file as a self-contained HTML page",
    }),
    ...CONNECTION_OPTIONS,
  },
  handler: (args) =>
    runCommand(async () => {
      const snapshots = await createOperatorClient(args).call("/v1/burn");
      const report = buildBurnReport(snapshots as BurnSnapshots);
      if (args.html !== undefined) {
        await writeFile(args.html, renderBurnHtml(report));
      }
      writeOutput(
        args.json,
        JSON.parse(renderBurnJson(report)),
        () => renderBurnTable(report),
      );
    }),
});

/** `goldcrestlug report`. */
export const REPORT_COMMANDS = subcommands({
  name: "report",
  description: "Reports",
  cmds: { burn: burnReportCommand },
});

async function planSheetFile(client: Client, path: string): Promise<SheetPlan> {
  const rows = parseSheet(await readTextFile(path));
  return planSheet(await readFleetState(client), rows);
}

function renderPlan(plan: SheetPlan): string {
  const lines = plan.lines.length === 0
    ? ["The sheet changes nothing."]
    : plan.lines;
  return [...lines, ...plan.notes.map((note) => `Note: ${note}`)].join("\n");
}

const fileArgument = positional({ type: string, displayName: "file" });

const planSheetCommand = command({
  name: "plan",
  description:
    "Show what a sheet would change, e.g. `sheet plan workspaces.csv`",
  args: { file: fileArgument, ...CONNECTION_OPTIONS },
  handler: (args) =>
    runCommand(async () => {
      const plan = await planSheetFile(createOperatorClient(args), args.file);
      writeOutput(args.json, plan, () => renderPlan(plan));
    }),
});

const applySheetCommand = command({
  name: "apply",
  description: "Apply a sheet atomically, e.g. `sheet apply workspaces.csv`",
  args: { file: fileArgument, ...CONNECTION_OPTIONS },
  handler: (args) =>
    runCommand(async () => {
      const client = createOperatorClient(args);
      const plan = await planSheetFile(client, args.file);
      if (plan.change === undefined) {
        return writeOutput(args.json, plan, () => renderPlan(plan));
      }
      const report = await submitChange(client, plan.change);
      if (report.version === undefined) {
        throw createFault(
          "outcomeUnknown",
          "Cannot confirm the sheet: the response contains no version",
        );
      }
      writeOutput(
        args.json,
        { ...plan, report },
        () => `${renderPlan(plan)}\n${renderChangeReport(report)}`,
      );
    }),
});

/** `goldcrestlug sheet`. */
export const SHEET_COMMANDS = subcommands({
  name: "sheet",
  description: "Sheets of workspaces, keys and queues",
  cmds: { plan: planSheetCommand, apply: applySheetCommand },
});
