/** Checks that addresses can be bound before any stored data is opened. */

import { createServer } from "node:net";
import { createFault } from "../common/mod.ts";
import type { Address } from "../settings/mod.ts";

/**
 * Rejects with `unavailable` when the address cannot be bound, usually because
 * it is in use. This keeps a second process with the same settings from opening
 * the data folder of the first.
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
