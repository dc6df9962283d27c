/** A replicated log with a leader lease, for state that must survive the loss of instances. */

export * from "./types.ts";
