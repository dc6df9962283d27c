/** The command line interface: a thin layer over the library. */

import { subcommands } from "cmd-ts";
import {
  DATA_CENTRE_COMMANDS,
  KEY_COMMANDS,
  QUEUE_COMMANDS,
  WORKSPACE_COMMANDS,
} from "./change_commands.ts";
import { DEV_COMMAND } from "./dev.ts";
import { EXPLAIN_COMMANDS } from "./explain_commands.ts";
import { REPORT_COMMANDS, SHEET_COMMANDS } from "./report_commands.ts";
import { RECOVER_COMMAND } from "./recover.ts";
import { SERVE_COMMAND } from "./serve.ts";
import {
  CHECK_COMMAND,
  CONFIG_COMMAND,
  STATUS_COMMAND,
  VERSION_COMMAND,
} from "./status_commands.ts";
import { JOB_COMMANDS, REQUEST_COMMANDS } from "./work_commands.ts";

/** The program with all its commands. */
export const PROGRAM = subcommands({
  name: "goldcrestlug",
  description: "A cluster scheduler for mixed workloads",
  cmds: {
    serve: SERVE_COMMAND,
    dev: DEV_COMMAND,
    check: CHECK_COMMAND,
    workspace: WORKSPACE_COMMANDS,
    // Alias: operators call a workspace a team.
    team: WORKSPACE_COMMANDS,
    key: KEY_COMMANDS,
    queue: QUEUE_COMMANDS,
    "data-centre": DATA_CENTRE_COMMANDS,
    sheet: SHEET_COMMANDS,
    job: JOB_COMMANDS,
    request: REQUEST_COMMANDS,
    explain: EXPLAIN_COMMANDS,
    config: CONFIG_COMMAND,
    status: STATUS_COMMAND,
    report: REPORT_COMMANDS,
    recover: RECOVER_COMMAND,
    version: VERSION_COMMAND,
  },
});
