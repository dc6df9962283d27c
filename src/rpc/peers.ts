/** Manages the peers of an instance: one channel per other instance, opened on first use. */

import { createFault } from "../common/mod.ts";
import type { ChannelCredentials } from "@grpc/grpc-js";
import { createRpcPeer, type RpcPeer } from "./client.ts";

/** Options of a peer set. */
export interface PeerSetOptions {
  /** Returns `host:port` of the RPC server of an instance; undefined if unknown. */
  findAddress: (instance: string) => string | undefined;
  credentials?: ChannelCredentials;
}

/** Peers by instance name. */
export interface PeerSet {
  /** Returns the peer. Fault `unavailable` if the settings do not contain the instance. */
  get(instance: string): RpcPeer;
  has(instance: string): boolean;
  /** Closes the connection to an instance; the next call opens a new one. */
  closeConnection(instance: string): void;
  close(): void;
}

/** Creates an empty peer set. */
export function createPeerSet(options: PeerSetOptions): PeerSet {
  const { findAddress, credentials } = options;
  const peers = new Map<string, RpcPeer>();

  return {
    get(instance) {
      const existing = peers.get(instance);
      if (existing !== undefined) return existing;
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
