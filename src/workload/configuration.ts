/**
 * Validates configurations and looks up queues and workspaces in them. A
 * configuration is accepted or refused as a whole.
 */

import { createFault } from "../common/mod.ts";
import type {
  Configuration,
  QueueSettings,
  WorkspaceSettings,
} from "./types.ts";

function createConfigurationFault(
  configuration: Configuration,
  reason: string,
): Error {
  return createFault(
    "badRequest",
    `Cannot accept configuration version ${configuration.version}: ${reason}`,
  );
}

/** Validates a configuration; throws "badRequest" with the first violated rule. */
export function checkConfiguration(configuration: Configuration): void {
  const pools = new Set(configuration.pools.map(({ name }) => name));
  const locations = new Set<string>();
  for (const queue of configuration.queues) {
    if (!pools.has(queue.pool)) {
      throw createConfigurationFault(
        configuration,
        `queue "${queue.name}" names unknown pool "${queue.pool}"`,
      );
    }
    const location = `${queue.host} ${queue.pathPrefix}`;
    if (locations.has(location)) {
      throw createConfigurationFault(
        configuration,
        `two queues share host and path "${location}"`,
      );
    }
    locations.add(location);
    if (!(queue.timeoutMs > 0)) {
      throw createConfigurationFault(
        configuration,
        `queue "${queue.name}" has a timeout of ${queue.timeoutMs} ms`,
      );
    }
  }
  const owners = new Map<string, string>();
  for (const { name, keys } of configuration.workspaces) {
    for (const key of keys) {
      const owner = owners.get(key);
      if (owner !== undefined && owner !== name) {
        throw createConfigurationFault(
          configuration,
          `workspaces "${owner}" and "${name}" share a key`,
        );
      }
      owners.set(key, name);
    }
  }
}

/** A queue and the rest of the path after its prefix. */
export interface QueueMatch {
  readonly queue: QueueSettings;
  readonly rest: string;
}

/** Finds the queue of a call: same host, longest matching path prefix. */
export function findQueueByPath(
  configuration: Configuration,
  host: string,
  path: string,
): QueueMatch | undefined {
  let best: QueueSettings | undefined;
  for (const queue of configuration.queues) {
    if (queue.host !== host || !path.startsWith(queue.pathPrefix)) continue;
    const isLonger = best === undefined ||
      queue.pathPrefix.length > best.pathPrefix.length;
    if (isLonger) best = queue;
  }
  if (best === undefined) return undefined;
  return { queue: best, rest: path.slice(best.pathPrefix.length) };
}

/** Finds the workspace that a key belongs to. */
export function findWorkspaceByKey(
  configuration: Configuration,
  key: string,
): WorkspaceSettings | undefined {
  return configuration.workspaces.find(({ keys }) => keys.includes(key));
}
