/** HTTP server and routes of an instance. */

export * from "./announce_routes.ts";
export * from "./body.ts";
export * from "./explain_routes.ts";
export * from "./filter_chain.ts";
export * from "./filters.ts";
export * from "./http_server.ts";
export * from "./job_routes.ts";
export * from "./operator_routes.ts";
export * from "./request_context.ts";
export * from "./request_routes.ts";
