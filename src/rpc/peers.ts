/** The peers of an instance: one channel for each other instance of the settings. */

import { createFault } from "../common/mod.ts";
import type { ChannelCredentials } from "@grpc/grpc-js";
import { createRpcPeer, type RpcPeer } from "./client.ts";

/** Name and address of an instance. */
export interface PeerAddress {
  instance: string;
  /** `host:port` of its rpc listener. */
  address: string;
}

/** Options of a peer set. */
export interface PeerSetOptions {
  peers: readonly PeerAddress[];
  credentials?: ChannelCredentials;
}

/** Gives access to other instances by name. */
export interface PeerSet {
  /** Returns the peer; fault `unavailable` when the name is not in the settings. */
  get(instance: string): RpcPeer;
  has(instance: string): boolean;
  /** Closes the connection to an instance; the next use opens a new one. */
  restart(instance: string): void;
  close(): void;
}

/** Creates the peer set. */
export function createPeerSet(options: PeerSetOptions): PeerSet {
  const byName = new Map<string, RpcPeer>();

  function openPeer(peer: PeerAddress): void {
    byName.set(
      peer.instance,
      createRpcPeer({
        ...peer,
        ...(options.credentials === undefined
          ? {}
          : { credentials: options.credentials }),
      }),
    );
  }

  for (const peer of options.peers) openPeer(peer);
  return {
    get(instance) {
      const peer = byName.get(instance);
      if (peer !== undefined) return peer;
      throw createFault(
        "unavailable",
        `Cannot find instance "${instance}" in the settings`,
      );
    },
    has: (instance) => byName.has(instance),
    restart(instance) {
      const address = options.peers.find((peer) => peer.instance === instance);
      if (address === undefined) return;
      byName.get(instance)?.close();
      openPeer(address);
    },
    close() {
      for (const peer of byName.values()) peer.close();
    },
  };
}
