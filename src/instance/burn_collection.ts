/** Collects the service-level counts of all instances for one burn report. */

import { Buffer } from "node:buffer";
import {
  type BurnRecorder,
  type BurnSnapshots,
  readBurnSnapshots,
} from "../report/mod.ts";
import type { JsonBody, PeerSet } from "../rpc/mod.ts";

/** Timeout for the counts of one instance, in milliseconds. */
const COLLECT_TIMEOUT_MS = 2_000;

/** Options of a collection. */
export interface BurnCollectionOptions {
  /** Name of this instance; its counts come from `recorder`. */
  instance: string;
  instances: readonly string[];
  recorder: BurnRecorder;
  peers: PeerSet;
}

/** Reads the counts of every instance; the result lists the instances that failed to answer. */
export async function readAllBurnSnapshots(
  options: BurnCollectionOptions,
): Promise<BurnSnapshots> {
  return await readBurnSnapshots(options.instances, async (instance) => {
    if (instance === options.instance) {
      return await options.recorder.takeSnapshot();
    }
    const reply = await options.peers.get(instance).call<
      Record<string, never>,
      JsonBody
    >("Membership.getBurn", {}, { timeoutMs: COLLECT_TIMEOUT_MS });
    return JSON.parse(Buffer.from(reply.body).toString());
  });
}
