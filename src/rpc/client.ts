/**
 * Calls to other instances. Each peer has one channel with keepalive pings, so
 * that a connection that went silent is dropped and the next call opens a new
 * one. Every unary call has a deadline.
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

/** A connection whose ping is not answered for this long is dropped, in milliseconds. */
export const KEEPALIVE_TIMEOUT_MS = 2_000;

/** Options of a unary call. */
export interface CallOptions {
  /** Time until the call is given up, in milliseconds. */
  timeoutMs: number;
  /** Cancels the call. */
  signal?: AbortSignal;
}

/** One other instance, as seen by the caller. */
export interface RpcPeer {
  readonly instance: string;
  /** Calls `service.method`; rejects with a fault. */
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
  /** Opens a stream of requests; `onEnd` runs once when it breaks or ends. */
  openWriteStream<Request>(
    path: RpcPath,
    onEnd: () => void,
  ): ClientWritableStream<Request>;
  /** Opens a stream in both directions. */
  openDuplexStream<Request, Reply>(
    path: RpcPath,
  ): ClientDuplexStream<Request, Reply>;
  close(): void;
}

/** Names a method as `Service.method`, with a lower-case first letter. */
export type RpcPath = `${ServiceName}.${string}`;

/** Options of a peer. */
export interface RpcPeerOptions {
  instance: string;
  /** `host:port` of its rpc listener. */
  address: string;
  /** Default: no encryption. */
  credentials?: ChannelCredentials;
}

type AnyMethod = MethodDefinition<unknown, unknown>;

function findMethod(path: RpcPath): AnyMethod {
  const [service, name] = path.split(".") as [ServiceName, string];
  // The proto file names methods in PascalCase.
  const method =
    SERVICES[service][name.charAt(0).toUpperCase() + name.slice(1)];
  if (method === undefined) {
    throw createFault("internal", `Cannot call unknown method "${path}"`);
  }
  return method as AnyMethod;
}

/** Creates the calling side for one instance; the connection opens on first use. */
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
      // Retries are decided by this project, which knows what is idempotent.
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
      const active = client.makeUnaryRequest(
        method.path,
        method.requestSerialize,
        method.responseDeserialize,
        request,
        { deadline: Date.now() + callOptions.timeoutMs },
        finish,
      );
      const cancel = () => active.cancel();
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
