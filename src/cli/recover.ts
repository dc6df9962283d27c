/** `goldcrestlug recover`: restores a log group from the store of a surviving member. */

import { command, flag, option, string } from "cmd-ts";
import { createFault } from "../common/mod.ts";
import { getStoreFolder } from "../instance/log_member.ts";
import {
  createDiskStorage,
  readStoreSummary,
  restoreGroup,
  type StoreSummary,
} from "../replicated_log/mod.ts";
import { loadSettings } from "../settings/mod.ts";
import {
  CONNECTION_OPTIONS,
  renderTable,
  runCommand,
  writeOutput,
} from "./shared.ts";

function renderSummary(summary: StoreSummary): string {
  return renderTable(
    ["member", "term", "last term", "last index", "members"],
    [[
      summary.member,
      summary.term,
      summary.lastTerm,
      summary.lastIndex,
      summary.members.map(({ id, role }) => `${id} (${role})`).join(", "),
    ]],
  );
}

/** `goldcrestlug recover`. */
export const RECOVER_COMMAND = command({
  name: "recover",
  description:
    "Show the local store of a log group; with --confirm, make this member the only member of the group, e.g. `recover --settings a.json --group data-centre/north`",
  args: {
    settings: option({ type: string, long: "settings" }),
    group: option({
      type: string,
      long: "group",
      description: "fleet, or data-centre/NAME",
    }),
    confirm: flag({
      long: "confirm",
      description: "confirm that all other members are permanently lost",
    }),
    json: CONNECTION_OPTIONS.json,
  },
  handler: (args) =>
    runCommand(async () => {
      const { dataFolder } = await loadSettings(args.settings);
      if (dataFolder === undefined) {
        throw createFault(
          "badRequest",
          `Cannot recover from settings file "${args.settings}": it has no "dataFolder"`,
        );
      }
      const storage = await createDiskStorage({
        folder: getStoreFolder(dataFolder, args.group),
      });
      const summary = args.confirm
        ? await restoreGroup(storage)
        : await readStoreSummary(storage);
      await storage.close();
      writeOutput(args.json, summary, () => renderSummary(summary));
    }),
});
