/** The change that merges a local withdrawal into the fleet log after a network partition. */

import type { FleetChange, LocalWithdrawal } from "./types.ts";

/**
 * Builds the change for a local withdrawal. It has no expected version, since
 * a withdrawal is valid at any version. The change identifier is derived from
 * the key, so every instance of the data centre can send it, any number of
 * times.
 */
export function buildWithdrawalChange(
  withdrawal: Pick<LocalWithdrawal, "keyId">,
): FleetChange {
  const { keyId } = withdrawal;
  return {
    changeId: `withdrawal-${keyId}`,
    operations: [{ type: "withdrawKey", id: keyId }],
  };
}
