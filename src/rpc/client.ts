/**
 * gRPC client for calls to other instances. Each peer has one channel. Keepalive
 * pings detect an unresponsive connection; it is dropped and the next call opens a
 * new one. Every unary call has a deadline.
 */

import {
  type ChannelCredentials,
  Client,
  type ClientDuplexStream,
  type ClientReadableStream,
  type ClientWritableStream,
  credentials as grpcCredentials,
  type MethodDefinition,
  type ServiceError,
} from "@grpc/grpc-js";
import { createFault } from "../common/mod.ts";
import { decodeFault } from "./fault_metadata.ts";
import { type ServiceName, SERVICES } from "./services.ts";

/** Time between keepalive pings on a connection, in milliseconds. */
export const KEEPALIVE_PERIOD_MS = 2_000;

/** Time to wait for the reply to a keepalive ping before dropping the connection, in milliseconds. */
export const KEEPALIVE_TIMEOUT_MS = 2_000;

/** Options of a unary call. */
export interface CallOptions {
  /** Deadline of the call, in milliseconds from now. */
  timeoutMs: number;
  /** Cancels the call. */
  signal?: AbortSignal;
}

/** Client for one other instance. */
export interface RpcPeer {
  readonly instance: string;
  /** Calls a unary method; rejects with a fault. */
  call<Request, Reply>(
    path: RpcPath,
    request: Request,
    options: CallOptions,
  ): Promise<Reply>;
  /** Opens a stream of replies. */
  openReadStream<Reply>(
    path: RpcPath,
    request: unknown,
  ): ClientReadableStream<Reply>;
  /** Opens a stream of requests; `onEnd` is called once when it ends or fails. */
  openWriteStream<Request>(
    path: RpcPath,
    onEnd: () => void,
  ): ClientWritableStream<Request>;
  /** Opens a bidirectional stream. */
  openDuplexStream<Request, Reply>(
    path: RpcPath,
  ): ClientDuplexStream<Request, Reply>;
  close(): void;
}

/** Path of a method as `Service.method`; the method begins with a lower-case letter. */
export type RpcPath = `${ServiceName}.${string}`;

/** Options of a peer. */
export interface RpcPeerOptions {
  instance: string;
  /** `host:port` of the instance's RPC server. */
  address: string;
  /** Default: no encryption. */
  credentials?: ChannelCredentials;
}

type AnyMethod = MethodDefinition<unknown, unknown>;

function findMethod(path: RpcPath): AnyMethod {
  const [service, name] = path.split(".") as [ServiceName, string];
  // Method names are in PascalCase in the proto file.
  const method =
    SERVICES[service][name.charAt(0).toUpperCase() + name.slice(1)];
  if (method === undefined) {
    throw createFault("internal", `Cannot call unknown method "${path}"`);
  }
  return method as AnyMethod;
}

/** Creates a client for one instance; it connects on first use. */
export function createRpcPeer(options: RpcPeerOptions): RpcPeer {
  const { instance } = options;
  const client = new Client(
    options.address,
    options.credentials ?? grpcCredentials.createInsecure(),
    {
      "grpc.keepalive_time_ms": KEEPALIVE_PERIOD_MS,
      "grpc.keepalive_timeout_ms": KEEPALIVE_TIMEOUT_MS,
      "grpc.keepalive_permit_without_calls": 1,
      "grpc.initial_reconnect_backoff_ms": 100,
      "grpc.max_reconnect_backoff_ms": 1_000,
      "grpc.min_reconnect_backoff_ms": 100,
      // The callers decide on retries, because they know which calls are idempotent.
      "grpc.enable_retries": 0,
      "grpc.max_receive_message_length": 64 * 1024 * 1024,
      "grpc.use_local_subchannel_pool": 1,
    },
  );

  function call<Request, Reply>(
    path: RpcPath,
    request: Request,
    callOptions: CallOptions,
  ): Promise<Reply> {
    const method = findMethod(path);
    const { signal } = callOptions;
    return new Promise((resolve, reject) => {
      const finish = (error: ServiceError | null, reply?: unknown) => {
        signal?.removeEventListener("abort", cancel);
        if (error !== null) reject(decodeFault(error, instance));
        else resolve(reply as Reply);
      };
      const clientCall = client.makeUnaryRequest(
        method.path,
        method.requestSerialize,
        method.responseDeserialize,
        request,
        { deadline: Date.now() + callOptions.timeoutMs },
        finish,
      );
      const cancel = () => clientCall.cancel();
      signal?.addEventListener("abort", cancel);
      if (signal?.aborted) cancel();
    });
  }

  return {
    instance,
    call,
    openReadStream(path, request) {
      const method = findMethod(path);
      return client.makeServerStreamRequest(
        method.path,
        method.requestSerialize,
        method.responseDeserialize as (bytes: Uint8Array) => never,
        request,
      );
    },
    openWriteStream<Request>(path: RpcPath, onEnd: () => void) {
      const method = findMethod(path);
      return client.makeClientStreamRequest<Request, unknown>(
        method.path,
        method.requestSerialize,
        method.responseDeserialize,
        () => onEnd(),
      );
    },
    openDuplexStream<Request, Reply>(path: RpcPath) {
      const method = findMethod(path);
      return client.makeBidiStreamRequest<Request, Reply>(
        method.path,
        method.requestSerialize,
        method.responseDeserialize as (bytes: Uint8Array) => never,
      );
    },
    close: () => client.close(),
  };
}
