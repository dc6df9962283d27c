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
  /** Notes that a message of the member `from` has arrived. */
  recordReceived(from: string): void;
  close(): void;
}

/** Options of a sender. */
export interface LogSenderOptions {
  peers: PeerSet;
  clock: Clock;
  /**
   * Silence of an instance that is sent to after which its connection is opened
   * anew, in milliseconds: it may have gone silent without an error. Default:
   * never.
   */
  unresponsiveAfterMs?: number;
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
  const { clock, peers, unresponsiveAfterMs: silenceMs = Infinity } = options;
  const streams = new Map<string, PeerStream>();
  const heardMs = new Map<string, number>();

  function getStream(instance: string): PeerStream | undefined {
    const known = streams.get(instance);
    if (known !== undefined) return known;
    if (!peers.has(instance)) return undefined;
    const created = createPeerStream(() => peers.get(instance), clock);
    streams.set(instance, created);
    return created;
  }

  /** Gives up a connection that has gone silent; the next message opens a new one. */
  function checkSilence(instance: string): void {
    const nowMs = clock.now();
    const lastMs = heardMs.get(instance);
    if (lastMs !== undefined && nowMs - lastMs <= silenceMs) return;
    heardMs.set(instance, nowMs);
    if (lastMs === undefined) return;
    streams.get(instance)?.close();
    streams.delete(instance);
    peers.closeConnection(instance);
  }

  return {
    send(envelope) {
      const instance = toInstanceName(envelope.to);
      checkSilence(instance);
      getStream(instance)?.write(envelope);
    },
    recordReceived(from) {
      heardMs.set(toInstanceName(from), clock.now());
    },
    close() {
      for (const stream of streams.values()) stream.close();
    },
  };
}
