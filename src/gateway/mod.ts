/** Forwards calls from any instance to the leader. */

export * from "./gateway_client.ts";
export * from "./gateway_server.ts";
export * from "./messages.ts";
export * from "./relayed_calls.ts";
