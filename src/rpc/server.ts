/**
 * gRPC server for calls from other instances. Unary handlers are async functions
 * that throw faults; stream handlers receive the raw gRPC stream.
 */

import {
  type sendUnaryData,
  Server,
  ServerCredentials,
  type ServerDuplexStream,
  type ServerReadableStream,
  type ServerUnaryCall,
  type ServerWritableStream,
  type UntypedServiceImplementation,
} from "@grpc/grpc-js";
import { createFault } from "../common/mod.ts";
import { KEEPALIVE_PERIOD_MS, KEEPALIVE_TIMEOUT_MS } from "./client.ts";
import { encodeFault } from "./fault_metadata.ts";
import { type ServiceName, SERVICES } from "./services.ts";

/** Context of a unary call, passed to its handler. */
export interface CallContext {
  /** Aborted when the caller cancels the call, its deadline expires or its connection breaks. */
  signal: AbortSignal;
}

/** Handles a unary call; the result is the reply. */
export type UnaryHandler = (
  // deno-lint-ignore no-explicit-any -- the proto file fixes the type of each method
  request: any,
  context: CallContext,
) => Promise<unknown>;

/** Handles a call with a stream of replies. */
export type ReadStreamHandler = (
  // deno-lint-ignore no-explicit-any -- as above
  stream: ServerWritableStream<any, any>,
) => void;

/** Handles a call with a stream of requests. */
export type WriteStreamHandler = (
  // deno-lint-ignore no-explicit-any -- as above
  stream: ServerReadableStream<any, any>,
) => void;

/** Handles a call with a bidirectional stream. */
export type DuplexStreamHandler = (
  // deno-lint-ignore no-explicit-any -- as above
  stream: ServerDuplexStream<any, any>,
) => void;

/** Handlers of one service by method name. */
export interface ServiceHandlers {
  unary?: Readonly<Record<string, UnaryHandler>>;
  readStreams?: Readonly<Record<string, ReadStreamHandler>>;
  writeStreams?: Readonly<Record<string, WriteStreamHandler>>;
  duplexStreams?: Readonly<Record<string, DuplexStreamHandler>>;
}

/** Options of the server. */
export interface RpcServerOptions {
  host: string;
  port: number;
  services: Partial<Record<ServiceName, ServiceHandlers>>;
  /** Default: no encryption. */
  credentials?: ServerCredentials;
}

/** A running server. */
export interface RpcServer {
  readonly port: number;
  /** Stops the server immediately, without waiting for open calls. */
  close(): void;
}

function toUnaryImplementation(handler: UnaryHandler) {
  return (
    call: ServerUnaryCall<unknown, unknown>,
    callback: sendUnaryData<unknown>,
  ) => {
    const controller = new AbortController();
    call.on("cancelled", () => controller.abort());
    const answer = async () => {
      try {
        const reply = await handler(call.request, {
          signal: controller.signal,
        });
        callback(null, reply);
      } catch (error) {
        callback(encodeFault(error));
      }
    };
    void answer();
  };
}

function buildImplementation(
  handlers: ServiceHandlers,
): UntypedServiceImplementation {
  const implementation: UntypedServiceImplementation = {};
  for (const [name, handler] of Object.entries(handlers.unary ?? {})) {
    implementation[name] = toUnaryImplementation(handler);
  }
  for (const [name, handler] of Object.entries(handlers.readStreams ?? {})) {
    implementation[name] = handler;
  }
  for (const [name, handler] of Object.entries(handlers.writeStreams ?? {})) {
    implementation[name] = handler;
  }
  for (const [name, handler] of Object.entries(handlers.duplexStreams ?? {})) {
    implementation[name] = handler;
  }
  return implementation;
}

/** Starts the server. Fault `unavailable` if the address cannot be bound. */
export async function startRpcServer(
  options: RpcServerOptions,
): Promise<RpcServer> {
  const server = new Server({
    "grpc.keepalive_time_ms": KEEPALIVE_PERIOD_MS,
    "grpc.keepalive_timeout_ms": KEEPALIVE_TIMEOUT_MS,
    "grpc.max_receive_message_length": 64 * 1024 * 1024,
  });
  for (const [name, handlers] of Object.entries(options.services)) {
    server.addService(
      SERVICES[name as ServiceName],
      buildImplementation(handlers),
    );
  }
  const address = `${options.host}:${options.port}`;
  const credentials = options.credentials ?? ServerCredentials.createInsecure();
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync(address, credentials, (error, bound) => {
      if (error === null) return resolve(bound);
      reject(
        createFault("unavailable", `Cannot listen on "${address}"`, {
          cause: error,
        }),
      );
    });
  });
  return { port, close: () => server.forceShutdown() };
}
