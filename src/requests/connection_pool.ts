/**
 * The connections of this instance to one endpoint, each with one exchange at
 * a time. A connection that failed is destroyed, so that nothing which still
 * arrives on it is read as another answer.
 *
 * The pools of the HTTP library were ruled out because they choose the
 * connection: a non-idempotent request on an idle connection that has gone
 * silent, or that the endpoint is just closing, ends with an unknown outcome.
 */

import { Client } from "undici";

/** Settings of a connection pool. */
export interface ConnectionPoolOptions {
  /** Connections that may be open at once. */
  readonly maxConnections: number;
  /** Time after which an idle connection is closed, in milliseconds. */
  readonly idleMs: number;
  /** Time to open a connection, in milliseconds. */
  readonly connectTimeoutMs: number;
}

/** What a request asks of its connection. */
export interface ConnectionRequest {
  /** True for a connection on which nothing has been sent before. */
  readonly isFresh: boolean;
  /** Called once with the connection, at once when one is free. */
  readonly onConnection: (client: Client) => void;
}

/** The connections to one endpoint. */
export interface ConnectionPool {
  /** Waits for a connection; returns a function that gives up the wait. */
  acquire(wish: ConnectionRequest): () => void;
  /** Gives a connection back; one that is not reusable is destroyed. */
  release(client: Client, isReusable: boolean): void;
  /** Closes idle connections now and busy ones as they are released. */
  close(): Promise<void>;
}

/** Bytes of an answer's headers; the rest of the answer is bounded apart. */
const MAX_HEADER_BYTES = 16_384;

/** Creates a pool for the origin of an endpoint, without connections. */
export function createConnectionPool(
  origin: string,
  options: ConnectionPoolOptions,
): ConnectionPool {
  const { maxConnections, idleMs, connectTimeoutMs } = options;
  const idle: Client[] = [];
  const busy = new Set<Client>();
  const waiting = new Set<ConnectionRequest>();
  let isClosing = false;
  let handleClosed: () => void = () => {};

  function createClient(): Client {
    return new Client(origin, {
      pipelining: 1,
      keepAliveTimeout: idleMs,
      // An endpoint's keep-alive hint may shorten the idle time, never extend it.
      keepAliveMaxTimeout: idleMs,
      maxHeaderSize: MAX_HEADER_BYTES,
      // The exchange has its own deadline; these would only add a second one.
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: connectTimeoutMs },
    });
  }

  function closeClient(client: Client): void {
    // Destroying a client can only fail when it is already destroyed.
    client.destroy().catch(() => {});
  }

  function pickClient(isFresh: boolean): Client {
    // The one used last is the least likely to have been closed by the endpoint.
    const reused = idle.pop();
    if (reused !== undefined && !isFresh) return reused;
    // The leader counts an idle connection as reused, so it makes room.
    if (reused !== undefined) closeClient(reused);
    return createClient();
  }

  function startNext(): void {
    for (const wish of waiting) {
      if (busy.size >= maxConnections) return;
      waiting.delete(wish);
      const client = pickClient(wish.isFresh);
      busy.add(client);
      wish.onConnection(client);
    }
  }

  return {
    acquire(wish) {
      waiting.add(wish);
      startNext();
      return () => void waiting.delete(wish);
    },
    release(client, isReusable) {
      if (!busy.delete(client)) return;
      if (isReusable && !isClosing) idle.push(client);
      else closeClient(client);
      startNext();
      if (busy.size === 0) handleClosed();
    },
    close() {
      isClosing = true;
      idle.splice(0).forEach(closeClient);
      if (busy.size === 0) return Promise.resolve();
      return new Promise((resolve) => {
        handleClosed = resolve;
      });
    },
  };
}
