/** A TCP relay on loopback that counts the bytes forwarded in both directions. */

import { connect, createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** A running relay. */
export interface CountingRelay {
  readonly port: number;
  /** Bytes of TCP payload forwarded so far, in both directions. */
  getBytes(): number;
  stop(): void;
}

/** Starts a relay to a port on loopback. */
export async function startCountingRelay(
  targetPort: number,
): Promise<CountingRelay> {
  const sockets = new Set<Socket>();
  let bytes = 0;

  function connectPair(from: Socket, to: Socket): void {
    sockets.add(from);
    from.on("data", (chunk) => bytes += chunk.length);
    from.pipe(to);
    from.on("error", () => to.destroy());
    from.on("close", () => {
      sockets.delete(from);
      to.destroy();
    });
  }

  const server = createServer((client) => {
    const target = connect(targetPort, "127.0.0.1");
    client.setNoDelay(true);
    target.setNoDelay(true);
    connectPair(client, target);
    connectPair(target, client);
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  return {
    port: (server.address() as AddressInfo).port,
    getBytes: () => bytes,
    stop() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
