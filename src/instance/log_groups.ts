/** The replicated log groups of the data centres: their names and initial members. */

import type { LogMember } from "../replicated_log/mod.ts";
import type { InstanceEntry } from "../settings/mod.ts";

/** Returns the name of the log group of a data centre. */
export function getDataCentreGroup(dataCentre: string): string {
  return `data-centre/${dataCentre}`;
}

/** Lists the initial members of a data centre's log. */
export function listGroupMembers(
  instances: readonly InstanceEntry[],
  dataCentre: string,
): LogMember[] {
  return instances.flatMap((entry): LogMember[] => {
    if (entry.scheduler && entry.dataCentre === dataCentre) {
      return [{ id: entry.instance, role: "voter" }];
    }
    if (entry.witnessFor.includes(dataCentre)) {
      return [{ id: entry.instance, role: "witness" }];
    }
    return [];
  });
}
