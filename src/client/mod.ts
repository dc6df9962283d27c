/** Clients for the HTTP interface. */

export * from "./client.ts";
export * from "./operator.ts";
