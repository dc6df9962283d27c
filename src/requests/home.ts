/**
 * The home data centre of a request identifier: the only one that records the
 * request, so that resends to any instance meet the same record.
 */

import xxhash from "xxhash-wasm";
import { createFault } from "../common/mod.ts";

/** A request identifier in its scope. */
export interface RequestKey {
  /** The workspace, or the open queue, within which the identifier is unique. */
  readonly scope: string;
  readonly requestId: string;
}

/** Finds the home data centre of an identifier among those configured. */
export type HomeFinder = (
  key: RequestKey,
  dataCentres: readonly string[],
) => string;

/** Splits `dc:rest` when `dc` names one of `dataCentres`. */
export function parseHomePrefix(
  requestId: string,
  dataCentres: readonly string[],
): { dataCentre: string | undefined; rest: string } {
  const colon = requestId.indexOf(":");
  const prefix = requestId.slice(0, Math.max(0, colon));
  if (colon < 1 || !dataCentres.includes(prefix)) {
    return { dataCentre: undefined, rest: requestId };
  }
  return { dataCentre: prefix, rest: requestId.slice(colon + 1) };
}

/**
 * Loads the hash function and creates a home finder. It uses rendezvous
 * hashing (highest random weight): when a data centre is added, only the
 * identifiers that move to it change their home. The names are the configured
 * ones, never those reachable now, since a home that moves with reachability
 * could run a request twice. Throws `unavailable` when no data centre is
 * configured.
 */
export async function createHomeFinder(): Promise<HomeFinder> {
  const { h64 } = await xxhash();

  return function findHome(key, dataCentres) {
    const { dataCentre } = parseHomePrefix(key.requestId, dataCentres);
    if (dataCentre !== undefined) return dataCentre;
    let home: string | undefined;
    let highest = -1n;
    for (const name of dataCentres) {
      const weight = h64(JSON.stringify([name, key.scope, key.requestId]));
      const isHigher = weight > highest ||
        (weight === highest && home !== undefined && name < home);
      if (!isHigher) continue;
      home = name;
      highest = weight;
    }
    if (home === undefined) {
      throw createFault(
        "unavailable",
        `Cannot find the home of request "${key.requestId}": no data centre is configured`,
      );
    }
    return home;
  };
}
