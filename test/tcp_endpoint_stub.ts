/**
 * A minimal TCP endpoint for the contract tests of the forwarder. It parses
 * just enough HTTP/1.1 to read a request and answers with raw bytes that the
 * test chooses, so that it can violate HTTP in ways that an HTTP library
 * prevents.
 */

import { Buffer } from "node:buffer";
import { type AddressInfo, createServer, type Socket } from "node:net";

/** A request as the stub has read it. */
export interface SeenRequest {
  readonly head: string;
  readonly body: string;
  /** Number of the connection it came on, from 0. */
  readonly connection: number;
}

/** Handles a request by writing raw bytes to the socket. */
export type Behaviour = (socket: Socket, request: SeenRequest) => void;

/** A running stub. */
export interface TcpEndpointStub {
  readonly address: string;
  readonly seen: SeenRequest[];
  /** Connections that are open now. */
  getOpenCount(): number;
  /** Most connections that were open at once. */
  getPeak(): number;
  setBehaviour(behaviour: Behaviour): void;
  close(): Promise<void>;
}

/** Renders a well-formed answer. */
export function renderAnswer(body: string, status = 200): string {
  return `HTTP/1.1 ${status} X\r\ncontent-type: text/plain\r\n` +
    `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
}

/** Answers with the body of the request. */
export function handleEcho(socket: Socket, request: SeenRequest): void {
  socket.write(renderAnswer(`echo ${request.body}`));
}

function readLength(head: string): number {
  return Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
}

/** Starts a stub on a free loopback port. */
export async function startTcpEndpointStub(
  behaviour: Behaviour = handleEcho,
): Promise<TcpEndpointStub> {
  const seen: SeenRequest[] = [];
  const sockets = new Set<Socket>();
  let current = behaviour;
  let peak = 0;
  let connections = 0;
  const server = createServer((socket) => {
    const connection = connections++;
    sockets.add(socket);
    peak = Math.max(peak, sockets.size);
    let received = "";
    socket.on("error", () => {});
    socket.on("close", () => void sockets.delete(socket));
    socket.on("data", (data) => {
      received += data.toString();
      for (;;) {
        const headEnd = received.indexOf("\r\n\r\n");
        if (headEnd < 0) return;
        const head = received.slice(0, headEnd);
        const end = headEnd + 4 + readLength(head);
        if (received.length < end) return;
        const request = {
          head,
          body: received.slice(headEnd + 4, end),
          connection,
        };
        received = received.slice(end);
        seen.push(request);
        current(socket, request);
      }
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return {
    address: `http://127.0.0.1:${port}`,
    seen,
    getOpenCount: () => sockets.size,
    getPeak: () => peak,
    setBehaviour(next) {
      current = next;
    },
    async close() {
      for (const socket of sockets) socket.destroy();
      await new Promise<void>((resolve) => server.close(() => resolve()));
    },
  };
}
