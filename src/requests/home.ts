/**
 * Determines the home data centre of a request identifier. Only the home data
 * centre records the request, so resends through any instance find the same
 * record.
 */

import xxhash from "xxhash-wasm";
import { createFault } from "../common/mod.ts";

/** A request identifier in its scope. */
export interface RequestKey {
  /** The workspace or open queue within which `requestId` is unique. */
  readonly scope: string;
  readonly requestId: string;
}

/** Finds the home data centre of an identifier among the configured data centres. */
export type HomeFinder = (
  key: RequestKey,
  dataCentres: readonly string[],
) => string;

/** Splits `dc:rest` if `dc` is one of `dataCentres`. */
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
 * hashing (highest random weight): adding a data centre changes the home only
 * of identifiers that move to it. Pass all configured data centres, not just the
 * reachable ones: a home that changes with reachability could run a request
 * twice. The finder throws `unavailable` if no data centre is configured.
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
        `Cannot find the home data centre of request "${key.requestId}": no data centre is configured`,
      );
    }
    return home;
  };
}
