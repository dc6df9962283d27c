/**
 * Carries replicated log messages between instances. Messages may be lost, so
 * a stream that is broken or backed up drops them in place of queueing: the log
 * sends newer ones anyway, and a queue would only deliver stale ones late.
 */

import type { ClientWritableStream } from "@grpc/grpc-js";
import type { Clock } from "../common/mod.ts";
import type { RpcPeer } from "./client.ts";
import type { LogEnvelope } from "./messages.ts";
import type { PeerSet } from "./peers.ts";

/** Time before a broken stream is opened again, in milliseconds. */
const REOPEN_DELAY_MS = 100;

/** Sends envelopes to the instance that holds the member `envelope.to`. */
export interface LogSender {
  send(envelope: LogEnvelope): void;
  /**
   * Gives up the connection to an instance, which may have gone silent without
   * an error; the next message opens a new one.
   */
  restart(instance: string): void;
  close(): void;
}

/** Options of a sender. */
export interface LogSenderOptions {
  peers: PeerSet;
  clock: Clock;
}

/** Returns the instance of a member identity of the form `instance#incarnation`. */
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
  let reopenAtMs = 0;
  let isBackedUp = false;

  function open(): ClientWritableStream<LogEnvelope> {
    const opened = getPeer().openWriteStream<LogEnvelope>(
      "Consensus.send",
      () => {
        if (stream === opened) stream = undefined;
        reopenAtMs = clock.now() + REOPEN_DELAY_MS;
      },
    );
    opened.on("error", () => {});
    opened.on("drain", () => isBackedUp = false);
    isBackedUp = false;
    return opened;
  }

  return {
    write(envelope) {
      if (stream === undefined) {
        if (clock.now() < reopenAtMs) return;
        stream = open();
      }
      if (isBackedUp) return;
      isBackedUp = !stream.write(envelope);
    },
    close() {
      stream?.cancel();
      stream = undefined;
    },
  };
}

/** Creates a sender with one stream for each instance, opened on first use. */
export function createLogSender(options: LogSenderOptions): LogSender {
  const streams = new Map<string, PeerStream>();

  function getStream(instance: string): PeerStream | undefined {
    const known = streams.get(instance);
    if (known !== undefined) return known;
    if (!options.peers.has(instance)) return undefined;
    const created = createPeerStream(
      () => options.peers.get(instance),
      options.clock,
    );
    streams.set(instance, created);
    return created;
  }

  return {
    send(envelope) {
      getStream(toInstanceName(envelope.to))?.write(envelope);
    },
    restart(instance) {
      streams.get(instance)?.close();
      streams.delete(instance);
      options.peers.restart(instance);
    },
    close() {
      for (const stream of streams.values()) stream.close();
    },
  };
}
