/** Simulates runners and a whole cell, for tests and experiments. */

export * from "./runner_model.ts";
export * from "./work_load.ts";
export * from "./work_model.ts";
