/** The command line. Each command calls one function of the library. */

import { subcommands } from "cmd-ts";
import { DEV_COMMAND } from "./dev.ts";
import { SERVE_COMMAND } from "./serve.ts";

/** The program with all its commands. */
export const PROGRAM = subcommands({
  name: "goldcrestlug",
  description: "A cluster scheduler for mixed workloads",
  cmds: { dev: DEV_COMMAND, serve: SERVE_COMMAND },
});
