/** The peers of an instance: one channel for each other instance, opened on first use. */

import { createFault } from "../common/mod.ts";
import type { ChannelCredentials } from "@grpc/grpc-js";
import { createRpcPeer, type RpcPeer } from "./client.ts";

/** Options of a peer set. */
export interface PeerSetOptions {
  /** Returns `host:port` of an instance's rpc listener; undefined when it is not known. */
  findAddress: (instance: string) => string | undefined;
  credentials?: ChannelCredentials;
}

/** Gives access to other instances by name. */
export interface PeerSet {
  /** Returns the peer; fault `unavailable` when the name is not in the settings. */
  get(instance: string): RpcPeer;
  has(instance: string): boolean;
  /** Closes the connection to an instance; the next use opens a new one. */
  closeConnection(instance: string): void;
  close(): void;
}

/** Creates the peer set. */
export function createPeerSet(options: PeerSetOptions): PeerSet {
  const { findAddress, credentials } = options;
  const peers = new Map<string, RpcPeer>();

  return {
    get(instance) {
      const known = peers.get(instance);
      if (known !== undefined) return known;
      const address = findAddress(instance);
      if (address === undefined) {
        throw createFault(
          "unavailable",
          `Cannot find instance "${instance}" in the settings`,
        );
      }
      const opened = createRpcPeer({
        instance,
        address,
        ...(credentials === undefined ? {} : { credentials }),
      });
      peers.set(instance, opened);
      return opened;
    },
    has: (instance) => findAddress(instance) !== undefined,
    closeConnection(instance) {
      peers.get(instance)?.close();
      peers.delete(instance);
    },
    close() {
      for (const peer of peers.values()) peer.close();
    },
  };
}
