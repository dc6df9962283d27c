/**
 * Transfers replicated log messages between instances. The log tolerates lost
 * messages, so a broken stream or one with backpressure drops them instead of
 * queueing: the log sends newer ones anyway, and a queue would deliver stale ones.
 */

import type { ClientWritableStream } from "@grpc/grpc-js";
import type { Clock } from "../common/mod.ts";
import type { RpcPeer } from "./client.ts";
import type { LogEnvelope } from "./messages.ts";
import type { PeerSet } from "./peers.ts";

/** Delay before a broken stream is reopened, in milliseconds. */
const REOPEN_DELAY_MS = 100;

/** Sends each envelope to the instance of the member `envelope.to`. */
export interface LogSender {
  send(envelope: LogEnvelope): void;
  /** Records that a message from the member `from` has arrived. */
  recordReceived(from: string): void;
  close(): void;
}

/** Options of a sender. */
export interface LogSenderOptions {
  peers: PeerSet;
  clock: Clock;
  /**
   * Time without messages from an instance after which its connection is reopened,
   * in milliseconds; checked on each send. A connection may stop working without an
   * error. Default: never.
   */
  unresponsiveAfterMs?: number;
}

/** Returns the instance name of a member identity, which has the form `instance#incarnation`. */
export function toInstanceName(member: string): string {
  const end = member.indexOf("#");
  return end < 0 ? member : member.slice(0, end);
}

interface PeerStream {
  write(envelope: LogEnvelope): void;
  close(): void;
}

function createPeerStream(
  getPeer: () => RpcPeer,
  clock: Clock,
): PeerStream {
  let stream: ClientWritableStream<LogEnvelope> | undefined;
  let reopenAfterMs = 0;
  let hasBackpressure = false;

  function open(): ClientWritableStream<LogEnvelope> {
    const opened = getPeer().openWriteStream<LogEnvelope>(
      "Consensus.send",
      () => {
        if (stream === opened) stream = undefined;
        reopenAfterMs = clock.now() + REOPEN_DELAY_MS;
      },
    );
    opened.on("error", () => {});
    opened.on("drain", () => hasBackpressure = false);
    hasBackpressure = false;
    return opened;
  }

  return {
    write(envelope) {
      if (stream === undefined) {
        if (clock.now() < reopenAfterMs) return;
        stream = open();
      }
      if (hasBackpressure) return;
      hasBackpressure = !stream.write(envelope);
    },
    close() {
      stream?.cancel();
      stream = undefined;
    },
  };
}

/** Creates a sender with one stream per instance, opened on first use. */
export function createLogSender(options: LogSenderOptions): LogSender {
  const { clock, peers, unresponsiveAfterMs = Infinity } = options;
  const streams = new Map<string, PeerStream>();
  const lastReceivedMs = new Map<string, number>();

  function getStream(instance: string): PeerStream | undefined {
    const existing = streams.get(instance);
    if (existing !== undefined) return existing;
    if (!peers.has(instance)) return undefined;
    const created = createPeerStream(() => peers.get(instance), clock);
    streams.set(instance, created);
    return created;
  }

  /** Closes the connection to an unresponsive instance; the next message opens a new one. */
  function closeIfUnresponsive(instance: string): void {
    const nowMs = clock.now();
    const lastMs = lastReceivedMs.get(instance);
    if (lastMs !== undefined && nowMs - lastMs <= unresponsiveAfterMs) return;
    lastReceivedMs.set(instance, nowMs);
    if (lastMs === undefined) return;
    streams.get(instance)?.close();
    streams.delete(instance);
    peers.closeConnection(instance);
  }

  return {
    send(envelope) {
      const instance = toInstanceName(envelope.to);
      closeIfUnresponsive(instance);
      getStream(instance)?.write(envelope);
    },
    recordReceived(from) {
      lastReceivedMs.set(toInstanceName(from), clock.now());
    },
    close() {
      for (const stream of streams.values()) stream.close();
    },
  };
}
