/** Forwards calls from any instance to the leader, and runner calls through relays. */

export * from "./early_reports.ts";
export * from "./gateway_client.ts";
export * from "./gateway_server.ts";
export * from "./kept_answers.ts";
export * from "./messages.ts";
export * from "./relayed_calls.ts";
