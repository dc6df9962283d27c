/** Liveness of instances. */

export * from "./membership.ts";
