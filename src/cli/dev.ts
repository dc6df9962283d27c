/** `goldcrestlug dev`: runs a complete cell on loopback for trying the program out. */

import process from "node:process";
import { command, number, option } from "cmd-ts";
import { createLogger, waitForStopSignal } from "../common/mod.ts";

const DEFAULT_HTTP_PORT = 8080;
const DEFAULT_RPC_PORT = 9090;

/** Options of the command. */
export interface RunDevOptions {
  httpPort: number;
  rpcPort: number;
}

/** Starts the cell, prints example calls, and runs until SIGTERM or SIGINT. */
export async function runDev(options: RunDevOptions): Promise<void> {
  const stopped = waitForStopSignal();
  // Imported lazily, so that other commands do not load the stubs.
  const { DEV_NAME, startDevCell } = await import("../dev/dev_cell.ts");
  const logger = createLogger({ level: "warn" });
  const keepAlive = setInterval(() => {}, 60_000);
  const cell = await startDevCell({ ...options, logger });
  const lines = [
    `goldcrestlug is running on ${cell.address} (loopback only; the operator interface needs no token).`,
    "",
    "Send a request to the stub endpoint:",
    `  curl -s -X POST ${cell.address}/v1/queues/${DEV_NAME}/requests \\`,
    `    -H 'authorization: Bearer ${cell.key}' -d '{"hello":"world"}'`,
    "",
    "Submit a batch job to the stub worker:",
    `  curl -s -X POST ${cell.address}/v1/jobs -H 'authorization: Bearer ${cell.key}' \\`,
    `    -d '{"id":"first-job","policy":"batch","resources":{"processors":500,"memoryMb":64},"payload":{"runMs":2000}}'`,
    `  curl -s ${cell.address}/v1/jobs/first-job -H 'authorization: Bearer ${cell.key}'`,
    "",
    "Stop it with Ctrl-C.",
  ];
  process.stdout.write(lines.join("\n") + "\n");
  await stopped;
  await cell.stop();
  clearInterval(keepAlive);
  process.exit(0);
}

/** `goldcrestlug dev`. */
export const DEV_COMMAND = command({
  name: "dev",
  description: "Run all roles in one process on loopback",
  args: {
    httpPort: option({
      type: number,
      long: "http-port",
      defaultValue: () => DEFAULT_HTTP_PORT,
      description: "port for callers and operators",
    }),
    rpcPort: option({
      type: number,
      long: "rpc-port",
      defaultValue: () => DEFAULT_RPC_PORT,
      description: "port for other instances",
    }),
  },
  handler: runDev,
});
