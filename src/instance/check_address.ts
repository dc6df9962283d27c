/** Checks that addresses can be bound before anything durable is touched. */

import { createServer } from "node:net";
import { createFault } from "../common/mod.ts";
import type { Address } from "../settings/mod.ts";

/**
 * Rejects with `unavailable` when something listens on the address already. A
 * second process with the same settings must not open the data folder of the
 * first one.
 */
export async function checkAddress({ host, port }: Address): Promise<void> {
  const server = createServer();
  await new Promise<void>((resolve, reject) => {
    server.once("error", (error) =>
      reject(
        createFault("unavailable", `Cannot listen on "${host}:${port}"`, {
          cause: error,
        }),
      ));
    server.listen(port, host, () => server.close(() => resolve()));
  });
}
