/** Running instances. */

export * from "./instance.ts";
