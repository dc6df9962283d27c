/** The public library of goldcrestlug. */

export * from "./common/mod.ts";
export * from "./scheduling/mod.ts";
