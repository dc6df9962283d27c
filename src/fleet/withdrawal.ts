/** The change that merges a withdrawal from a cut-off data centre into the fleet log. */

import type { FleetChange, LocalWithdrawal } from "./types.ts";

/**
 * Builds the change for a local withdrawal. It has no expected version, since
 * a withdrawal is right on any version. The identifier follows from the key:
 * every instance of the data centre may send it, any number of times.
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
