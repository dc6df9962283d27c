/** `goldcrestlug serve`: runs one instance until it receives a stop signal. */

import process from "node:process";
import { command, option, string } from "cmd-ts";
import { createLogger, waitForStopSignal } from "../common/mod.ts";
import { startInstance } from "../instance/mod.ts";
import { isOperatorInterfaceOpen, loadSettings } from "../settings/mod.ts";
import { runCommand } from "./shared.ts";

/** Exit code after an unrecoverable failure. */
const FAILURE_EXIT_CODE = 1;

/** Runs an instance with the settings at `path` until SIGTERM or SIGINT. */
export async function runServe(path: string): Promise<void> {
  const stopped = waitForStopSignal();
  const settings = await loadSettings(path);
  const logger = createLogger({ level: settings.logLevel });
  if (isOperatorInterfaceOpen(settings)) {
    logger.warn(
      "Operator interface accepts calls without a token: no token hash is set",
      {
        instance: settings.instance,
      },
    );
  }
  // Timers of the instance do not keep the process alive.
  const keepAlive = setInterval(() => {}, 60_000);
  const instance = await startInstance(settings, {
    logger,
    handleFailure: (error) => {
      logger.error("Instance failed", {
        instance: settings.instance,
        dataCentre: settings.dataCentre,
        error,
      });
      process.exit(FAILURE_EXIT_CODE);
    },
  });
  await stopped;
  await instance.stop();
  clearInterval(keepAlive);
  process.exit(0);
}

/** `goldcrestlug serve`. */
export const SERVE_COMMAND = command({
  name: "serve",
  description: "Run one instance",
  args: {
    settings: option({
      type: string,
      long: "settings",
      description: "settings file in JSON",
    }),
  },
  handler: async ({ settings }) => {
    await runCommand(() => runServe(settings));
    // Handles opened by a failed start would keep the process alive.
    process.exit();
  },
});
