/** Heartbeats between instances and their liveness. */

export * from "./membership.ts";
