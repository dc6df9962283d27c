/** The request path: endpoints, fair queue, slots, records, forwarding and retries. */

export * from "./types.ts";
