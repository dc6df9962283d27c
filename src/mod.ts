/** The public library of goldcrestlug. */

export * from "./common/mod.ts";
export * from "./settings/mod.ts";
export * from "./report/mod.ts";
