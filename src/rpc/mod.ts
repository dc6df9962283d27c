/** gRPC calls and streams between instances. */

export * from "./client.ts";
export * from "./fault_metadata.ts";
export * from "./log_transport.ts";
export * from "./messages.ts";
export * from "./peers.ts";
export * from "./server.ts";
export * from "./tls_credentials.ts";
