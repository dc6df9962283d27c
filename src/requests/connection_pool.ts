/**
 * Connection pool for one endpoint, with one exchange per connection at a time.
 * A failed connection is destroyed, so that late data on it cannot be read as
 * the response to another request.
 *
 * The pools of the HTTP library choose the connection themselves. A
 * non-idempotent request sent on an idle connection that is dead, or that the
 * endpoint is just closing, would end with an unknown outcome.
 */

import { Client } from "undici";

/** Settings of a connection pool. */
export interface ConnectionPoolOptions {
  /** Maximum number of open connections. */
  readonly maxConnections: number;
  /** Idle timeout of a connection, in milliseconds. */
  readonly idleMs: number;
  /** Connect timeout, in milliseconds. */
  readonly connectTimeoutMs: number;
}

/** A request for a connection. */
export interface ConnectionRequest {
  /** True for a new connection. */
  readonly isFresh: boolean;
  /** Called once with the connection; synchronously if one is available. */
  readonly onConnection: (client: Client) => void;
}

/** A connection pool for one endpoint. */
export interface ConnectionPool {
  /** Waits for a connection; returns a function that cancels the wait. */
  acquire(wish: ConnectionRequest): () => void;
  /** Returns a connection to the pool, or destroys it if it is not reusable. */
  release(client: Client, isReusable: boolean): void;
  /** Closes idle connections immediately and busy connections once released. */
  close(): Promise<void>;
}

/** Maximum size of response headers; the forwarder limits the body. */
const MAX_HEADER_BYTES = 16_384;

/** Creates an empty pool for the origin of an endpoint. */
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
      // The endpoint's keep-alive hint may shorten the idle timeout, but not extend it.
      keepAliveMaxTimeout: idleMs,
      maxHeaderSize: MAX_HEADER_BYTES,
      // Disabled because the exchange enforces its own deadline.
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: connectTimeoutMs },
    });
  }

  function closeClient(client: Client): void {
    // Fails only if the client is already destroyed.
    client.destroy().catch(() => {});
  }

  function pickClient(isFresh: boolean): Client {
    // The most recently used connection is the least likely to be closed by the endpoint.
    const reused = idle.pop();
    if (reused !== undefined && !isFresh) return reused;
    // The leader assumes that an idle connection is reused, so close it before opening another.
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
