/** The scheduling library of the data centre leader: placement, policies, shares, usage and worker health. */

export * from "./options.ts";
export * from "./placement.ts";
export * from "./scheduler.ts";
export * from "./shares.ts";
export * from "./types.ts";
