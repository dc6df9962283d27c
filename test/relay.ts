/**
 * A TCP relay on loopback whose connections can be delayed, stalled or cut. In
 * mode "silent" a connection is stalled: it accepts bytes only into the buffers
 * of the system and forwards neither data nor the end. Back in mode "forward"
 * it sends what was held, as TCP does after a partition. A connection that
 * stays silent behaves as if a device on its path had lost its state.
 */

import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";

/** "silent" stalls connections. "cut" closes them, and new ones as soon as they are accepted. */
export type RelayMode = "forward" | "silent" | "cut";

/** One relayed connection. */
export interface RelayConnection {
  /** Number of the connection in the order of acceptance, from 1. */
  readonly id: number;
  setMode(mode: RelayMode): void;
  /** Sets the time that is added in each direction, in milliseconds. */
  setDelay(ms: number): void;
}

/** A running relay. */
export interface Relay {
  readonly port: number;
  /** Sets the mode of open and of new connections. */
  setMode(mode: RelayMode): void;
  /** Sets the mode of open connections only; new ones keep the former mode. */
  setOpenMode(mode: RelayMode): void;
  /** Sets the added delay of open and of new connections. */
  setDelay(ms: number): void;
  /** Lists open connections in the order of their acceptance. */
  listConnections(): RelayConnection[];
  /** Connections accepted so far. */
  getAcceptedCount(): number;
  stop(): Promise<void>;
}

/** Settings of a relay. */
export interface RelayOptions {
  readonly targetPort: number;
  /** Default "127.0.0.1". */
  readonly targetHost?: string;
  /** Default 0, which picks a free port. */
  readonly port?: number;
  /** Address to listen on. Default "127.0.0.1". */
  readonly host?: string;
}

interface Pump {
  /** Holds data back, or releases it. */
  setHeld(isHeld: boolean): void;
}

/** Forwards data, and then the end, from one socket to the other. */
function startPump(from: Socket, to: Socket, getDelay: () => number): Pump {
  let isHeld = false;
  let waitsForDrain = false;
  let lastDueMs = 0;
  let isTimerSet = false;
  const held: (() => void)[] = [];
  const delayed: { readonly dueMs: number; readonly action: () => void }[] = [];

  function deliver(action: () => void): void {
    if (isHeld || held.length > 0) held.push(action);
    else action();
  }

  function deliverDue(): void {
    isTimerSet = false;
    const nowMs = performance.now();
    while ((delayed[0]?.dueMs ?? Infinity) <= nowMs) {
      const due = delayed.shift();
      if (due !== undefined) deliver(due.action);
    }
    setDeliveryTimer();
  }

  // One timer for all: separate timers with nearly the same delay may fire in
  // another order, and the end would overtake the data before it.
  function setDeliveryTimer(): void {
    const [next] = delayed;
    if (isTimerSet || next === undefined) return;
    isTimerSet = true;
    setTimeout(deliverDue, Math.ceil(next.dueMs - performance.now()));
  }

  function forward(action: () => void): void {
    const nowMs = performance.now();
    // Data with a shorter delay must not overtake data that is still delayed.
    lastDueMs = Math.max(lastDueMs, nowMs + getDelay());
    if (delayed.length === 0 && lastDueMs <= nowMs) return deliver(action);
    delayed.push({ dueMs: lastDueMs, action });
    setDeliveryTimer();
  }

  function updateFlow(): void {
    if (isHeld || waitsForDrain) from.pause();
    else from.resume();
  }

  from.on("data", (chunk) => {
    forward(() => {
      if (to.destroyed || to.write(chunk)) return;
      waitsForDrain = true;
      updateFlow();
      to.once("drain", () => {
        waitsForDrain = false;
        updateFlow();
      });
    });
  });
  from.on("end", () => forward(() => to.end()));
  return {
    setHeld(newIsHeld) {
      isHeld = newIsHeld;
      while (!isHeld && held.length > 0) held.shift()?.();
      updateFlow();
    },
  };
}

interface ConnectionOptions {
  readonly id: number;
  readonly target: { host: string; port: number };
  readonly mode: RelayMode;
  readonly delayMs: number;
  readonly onClose: () => void;
}

function createConnection(
  client: Socket,
  options: ConnectionOptions,
): RelayConnection {
  let mode = options.mode;
  let delayMs = options.delayMs;
  let server: Socket | undefined;
  let pumps: Pump[] = [];

  function cut(): void {
    client.destroy();
    server?.destroy();
  }

  // A reset of one side resets the other, unless the connection is silent. The
  // pumps forward an orderly end, after any delayed data.
  function handleSocketError(): void {
    if (mode !== "silent") cut();
  }

  function open(): void {
    server = connect({ ...options.target, allowHalfOpen: true });
    server.on("error", handleSocketError);
    const getDelay = () => delayMs;
    pumps = [
      startPump(client, server, getDelay),
      startPump(server, client, getDelay),
    ];
  }

  function setMode(newMode: RelayMode): void {
    mode = newMode;
    if (mode === "cut") return cut();
    if (mode === "forward" && server === undefined) open();
    for (const pump of pumps) pump.setHeld(mode === "silent");
    const isReset = client.errored !== null || Boolean(server?.errored);
    if (mode === "forward" && isReset) cut();
  }

  client.pause();
  client.on("error", handleSocketError);
  client.on("close", options.onClose);
  setMode(mode);
  return {
    id: options.id,
    setMode,
    setDelay: (ms) => void (delayMs = ms),
  };
}

/** Starts a relay to a port on loopback. */
export async function startRelay(options: RelayOptions): Promise<Relay> {
  const target = {
    host: options.targetHost ?? "127.0.0.1",
    port: options.targetPort,
  };
  const connections = new Map<number, RelayConnection>();
  let mode: RelayMode = "forward";
  let delayMs = 0;
  let acceptedCount = 0;

  const server = createServer({ allowHalfOpen: true }, (client) => {
    const id = ++acceptedCount;
    const onClose = () => void connections.delete(id);
    connections.set(
      id,
      createConnection(client, { id, target, mode, delayMs, onClose }),
    );
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port ?? 0, options.host ?? "127.0.0.1", resolve);
  });

  function setOpenMode(newMode: RelayMode): void {
    for (const connection of connections.values()) connection.setMode(newMode);
  }

  return {
    port: (server.address() as AddressInfo).port,
    setMode(newMode) {
      mode = newMode;
      setOpenMode(newMode);
    },
    setOpenMode,
    setDelay(ms) {
      delayMs = ms;
      for (const connection of connections.values()) connection.setDelay(ms);
    },
    listConnections: () => [...connections.values()],
    getAcceptedCount: () => acceptedCount,
    stop: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        setOpenMode("cut");
      }),
  };
}
