/** Entry point of the `goldcrestlug` command. */

import process from "node:process";
import { run } from "cmd-ts";
import { PROGRAM } from "./cli/program.ts";

await run(PROGRAM, process.argv.slice(2));
