/**
 * Runs the benchmarks in sequence, each in a child process. Exits with code 1 if
 * one of them fails or exceeds a bound.
 * Usage: node dist/bench/main.js [folder for the JSON results]
 */

import { spawnSync } from "node:child_process";
import { mkdirSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

const BENCHMARKS = ["scheduling", "large_job", "requests", "fleet", "log"];

const folder = process.argv[2] ?? "bench-results";
mkdirSync(folder, { recursive: true });

const failed: string[] = [];
for (const name of BENCHMARKS) {
  const program = fileURLToPath(new URL(`${name}_bench.js`, import.meta.url));
  process.stdout.write(`\n== ${name} ==\n`);
  const result = spawnSync(
    process.execPath,
    ["--expose-gc", program, join(folder, `${name}.json`)],
    { stdio: "inherit" },
  );
  if (result.status !== 0) failed.push(name);
}
process.stdout.write(
  failed.length === 0
    ? "\nAll benchmarks are within their bounds.\n"
    : `\nOutside their bounds: ${failed.join(", ")}\n`,
);
process.exitCode = failed.length === 0 ? 0 : 1;
