/**
 * Starts child processes for tests. Everything started here is stopped when the
 * test ends, also when it fails.
 */

import { Buffer } from "node:buffer";
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { callJson, waitUntil } from "./json_http.ts";

/** The part of a test that runs cleanup when the test ends. */
export interface TestScope {
  teardown(end: () => unknown): void;
}

/** Exit status of a process. */
export interface ProcessExit {
  readonly code: number | null;
  readonly signal: string | null;
}

/** A child process. */
export interface TestProcess {
  readonly pid: number;
  /** Resolves when the process has exited. */
  readonly exited: Promise<ProcessExit>;
  /** Complete lines of standard output and standard error so far. */
  getLines(): readonly string[];
  /** Waits for a line that matches; resolves to the first one, including past lines. */
  waitForLine(pattern: RegExp, timeoutMs?: number): Promise<string>;
  /** Sends SIGTERM and waits for the exit. */
  stop(): Promise<ProcessExit>;
  /** Sends SIGKILL and waits for the exit. */
  kill(): Promise<ProcessExit>;
  /** Suspends the process with SIGSTOP, as a long pause of its host would. */
  freeze(): void;
  resume(): void;
}

const running = new Set<ChildProcess>();

process.on("exit", () => {
  for (const child of running) child.kill("SIGKILL");
});

function collectLines(child: ChildProcess): string[] {
  const lines: string[] = [];
  for (const stream of [child.stdout, child.stderr]) {
    let rest = "";
    stream?.on("data", (chunk: Buffer) => {
      const parts = (rest + chunk.toString("utf8")).split("\n");
      rest = parts.pop() ?? "";
      lines.push(...parts);
    });
  }
  return lines;
}

/** Starts `node program …args`; `program` is a path from the root of the compiled output. */
export function startProcess(
  t: TestScope,
  program: string,
  args: readonly string[] = [],
  variables: Readonly<Record<string, string>> = {},
): TestProcess {
  const path = fileURLToPath(new URL(`../${program}`, import.meta.url));
  const child = spawn(process.execPath, [path, ...args], {
    stdio: ["ignore", "pipe", "pipe"],
    env: { ...process.env, ...variables },
  });
  running.add(child);
  const lines = collectLines(child);
  const exited = new Promise<ProcessExit>((resolve) => {
    child.once("close", (code, signal) => {
      running.delete(child);
      resolve({ code, signal });
    });
  });

  function sendAndWait(signal: "SIGTERM" | "SIGKILL"): Promise<ProcessExit> {
    child.kill(signal);
    return exited;
  }

  t.teardown(() => sendAndWait("SIGKILL"));
  return {
    pid: child.pid ?? 0,
    exited,
    getLines: () => lines,
    waitForLine: (pattern, timeoutMs = 10_000) =>
      waitUntil(
        () => lines.find((line) => pattern.test(line)),
        timeoutMs,
        `a line that matches ${pattern}; lines: ${lines.join(" | ")}`,
      ),
    stop: () => sendAndWait("SIGTERM"),
    kill: () => sendAndWait("SIGKILL"),
    freeze: () => void child.kill("SIGSTOP"),
    resume: () => void child.kill("SIGCONT"),
  };
}

/** Options for starting an instance. */
export interface StartInstanceOptions {
  /** Folder of the settings file; a new temporary one by default. */
  readonly folder?: string;
  /** Default "src/main.js" with `serve --settings FILE`. */
  readonly program?: string;
}

/** A child process that runs one instance. */
export interface InstanceProcess extends TestProcess {
  /** Base address of its HTTP listener. */
  readonly address: string;
  /** Folder of the settings file; relative data folders are within it. */
  readonly folder: string;
  /** Waits until /readyz answers 200. Rejects immediately when the process exits. */
  waitUntilReady(timeoutMs?: number): Promise<void>;
}

/** The part of settings that is needed to start an instance. */
export interface InstanceSettings {
  readonly instance: string;
  readonly listen: { readonly http: { host: string; port: number } };
}

/** Creates a temporary folder that is removed when the test ends. */
export async function createTestFolder(t: TestScope): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), "goldcrestlug-test-"));
  t.teardown(() => rm(folder, { recursive: true, force: true }));
  return folder;
}

/** Writes the settings and starts an instance with them. */
export async function startInstance(
  t: TestScope,
  settings: InstanceSettings,
  options: StartInstanceOptions = {},
): Promise<InstanceProcess> {
  const folder = options.folder ?? await createTestFolder(t);
  const path = join(folder, `${settings.instance}.json`);
  await writeFile(path, JSON.stringify(settings, null, 2));
  const program = options.program ?? "src/main.js";
  const child = startProcess(t, program, ["serve", "--settings", path]);
  const { host, port } = settings.listen.http;
  const address = `http://${host}:${port}`;
  let exit: ProcessExit | undefined;
  void child.exited.then((value) => exit = value);

  async function isReady(): Promise<boolean> {
    if (exit !== undefined) {
      const last = child.getLines().slice(-5).join(" | ");
      throw new Error(
        `Instance "${settings.instance}" ended with code ${exit.code} and signal ${exit.signal}: ${last}`,
      );
    }
    try {
      const { status } = await callJson(`${address}/readyz`, {
        timeoutMs: 500,
      });
      return status === 200;
    } catch {
      return false;
    }
  }

  return {
    ...child,
    address,
    folder,
    async waitUntilReady(timeoutMs = 30_000) {
      await waitUntil(isReady, timeoutMs, `readiness of ${settings.instance}`);
    },
  };
}

// Below the system's ephemeral port range, which outgoing connections use.
const FIRST_PORT = 10_000;
const PORTS_PER_PROCESS = 50;
const PORT_BLOCKS = 440;

let nextPortOffset = 0;

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return await new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}

/**
 * Finds free ports on loopback. Each test process searches its own block,
 * chosen by its process id, so that test files that run at the same time do not
 * pick the same ports.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const first = FIRST_PORT + (process.pid % PORT_BLOCKS) * PORTS_PER_PROCESS;
  const ports: number[] = [];
  for (let tries = 0; tries < 4 * PORTS_PER_PROCESS; tries++) {
    if (ports.length === count) return ports;
    const offset = nextPortOffset++ % (4 * PORTS_PER_PROCESS);
    const port = first + offset;
    if (!ports.includes(port) && await isFree(port)) ports.push(port);
  }
  throw new Error(`Cannot find ${count} free ports from ${first}`);
}
