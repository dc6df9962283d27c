/**
 * Runs the programs of the deploy file as separate processes on loopback addresses, with
 * stand-ins for clients, operator and runners that follow the users' pages. A case writes
 * what was sent, answered and run to `record.txt` in its folder, and exits with 1 if the
 * rule was broken, 0 if it held, and 2 if the case could not run.
 */

import { spawn } from "node:child_process";
import { randomBytes } from "node:crypto";
import {
  appendFileSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../", import.meta.url));
const CONTROL_PORT = 18_180;
const CLIENT_PORT = 18_183;
const READINESS_PORT = 18_184;
const INTERNAL_PORTS = "17420,17435";
const METRICS_PORT = 9_464;
const CASE_LIMIT_MS = 115_000;

/** Bounds of the small deployment mltc-lacegrid, as its sheet states them. */
export const BOUNDS = {
  contactMs: 3_000,
  catchUpS: 4,
  graceS: 6,
  configMs: 2_000,
  holdMaxMs: 10_000,
  stopMs: 900,
  statusS: 120,
  recoveryS: 12,
  heartbeatMs: 1_500,
};

export const isTrouble = process.env.TROUBLE !== "0";

export const wait = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Sends one HTTP request; resolves with status 0 and the reason when there is no answer. */
export function request(url, { method = "GET", body, headers = {}, timeoutMs = 1_000 } = {}) {
  return new Promise((resolve) => {
    const text = body === undefined || typeof body === "string"
      ? body
      : JSON.stringify(body);
    const sent = http.request(url, {
      method,
      agent: false,
      headers: {
        ...(text === undefined ? {} : {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(text),
        }),
        ...headers,
      },
    });
    const timer = setTimeout(() => sent.destroy(new Error("timeout")), timeoutMs);
    const fail = (error) => {
      clearTimeout(timer);
      resolve({ status: 0, reason: error.code ?? error.message });
    };
    sent.on("error", fail);
    sent.on("response", (answer) => {
      let received = "";
      answer.setEncoding("utf8");
      answer.on("data", (part) => received += part);
      answer.on("error", fail);
      answer.on("end", () => {
        clearTimeout(timer);
        let parsed;
        try {
          parsed = JSON.parse(received);
        } catch {
          parsed = undefined;
        }
        resolve({ status: answer.statusCode, body: parsed, text: received });
      });
    });
    sent.end(text);
  });
}

function readCommand(role) {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const section = text.slice(text.indexOf(`[roles.${role}]`));
  return /run = "([^"]*)"/.exec(section)[1].split(" ");
}

function isFree(host) {
  const check = (port) =>
    new Promise((resolve) => {
      const server = net.createServer();
      server.once("error", () => resolve(false));
      server.listen(port, host, () => server.close(() => resolve(true)));
    });
  return Promise.all(
    [CONTROL_PORT, CLIENT_PORT, READINESS_PORT, 17_420, METRICS_PORT].map(check),
  ).then((found) => found.every(Boolean));
}

async function findNetwork() {
  for (let attempt = 0; attempt < 20; attempt += 1) {
    const [a, b] = randomBytes(2);
    const prefix = `127.${20 + a % 200}.${1 + b % 250}`;
    if (await isFree(`${prefix}.1`) && await isFree(`${prefix}.101`)) return prefix;
  }
  throw new Error("no free loopback addresses");
}

/**
 * Runs a case: `play` gets the cell and returns the list of broken rules as sentences.
 * `url` is the module of the case, beside which the record is written.
 */
export async function runCase(url, options, play) {
  const folder = dirname(fileURLToPath(url));
  const recordPath = join(folder, "record.txt");
  writeFileSync(recordPath, "");
  const startMs = Date.now();
  const record = (text) => {
    const at = ((Date.now() - startMs) / 1_000).toFixed(3).padStart(8);
    appendFileSync(recordPath, `${at} ${text}\n`);
  };
  record(`trouble ${isTrouble ? "on" : "off"}`);
  const children = new Set();
  const stops = [];
  const data = mkdtempSync(join(tmpdir(), "case-"));
  const finish = async (code) => {
    for (const stop of stops) stop();
    for (const child of children) child.kill("SIGKILL");
    await wait(200);
    rmSync(data, { recursive: true, force: true });
    record(`exit ${code}`);
    process.exit(code);
  };
  setTimeout(() => {
    record("the case took too long");
    void finish(2);
  }, CASE_LIMIT_MS).unref();
  for (const event of ["uncaughtException", "unhandledRejection"]) {
    process.on(event, (error) => {
      record(`the case could not run: ${error.stack}`);
      void finish(2);
    });
  }
  for (const signal of ["SIGINT", "SIGTERM"]) process.on(signal, () => void finish(2));
  try {
    const cell = await startCell({ ...options, record, children, stops, data });
    const broken = await play(cell, record);
    for (const sentence of broken) record(`broken: ${sentence}`);
    if (broken.length === 0) record("the rule held");
    await finish(broken.length > 0 ? 1 : 0);
  } catch (error) {
    record(`the case could not run: ${error.stack}`);
    await finish(2);
  }
}

async function startCell({ cores, entries, runners, record, children, stops, data }) {
  const prefix = await findNetwork();
  const formatSeeds = (list) => list.map((host) => `${host}:${CONTROL_PORT}`).join(",");
  let coreCount = 0;

  function startMachine(role, host, zone, { seeds, isFirst }) {
    const disk = join(data, `disk-${host}`);
    const path = join(data, `${host}.conf`);
    const machine = { role, host, zone, child: undefined, startedMs: 0, isRemoved: false, lines: [] };

    machine.writeSettings = (currentSeeds, bootstrap) => {
      mkdirSync(disk, { recursive: true });
      writeFileSync(
        path,
        [
          `node_name=${role}-${host}`,
          `role=${role}`,
          `machine_class=${role === "core" ? "core" : "frontend"}`,
          `ip=${host}`,
          `zone=${zone}`,
          "region=one",
          ...[1, 2, 3, 4].map((number) => `zones.zone-${number}=one`),
          ...(role === "core"
            ? [`listen.control=${host}:${CONTROL_PORT}`, `data_dir=${disk}`, "fault_counted=true"]
            : [
              `listen.frontend_address=${host}:${CLIENT_PORT}`,
              `listen.readiness=${host}:${READINESS_PORT}`,
              "fault_counted=false",
            ]),
          `internal_ports=${INTERNAL_PORTS}`,
          `seeds=${formatSeeds(currentSeeds)}`,
          `bootstrap=${bootstrap}`,
          "discovery=registration",
          `heartbeat_ms=${BOUNDS.heartbeatMs}`,
          "fault_tolerance.machines=1",
          "fault_tolerance.zones=1",
          `bounds.contact_ms=${BOUNDS.contactMs}`,
          `bounds.catch_up_s=${BOUNDS.catchUpS}`,
          `bounds.grace_s=${BOUNDS.graceS}`,
          `bounds.config_ms=${BOUNDS.configMs}`,
          `bounds.hold_max_ms=${BOUNDS.holdMaxMs}`,
          `bounds.stop_ms=${BOUNDS.stopMs}`,
          `bounds.status_s=${BOUNDS.statusS}`,
          "orders=call",
        ].join("\n") + "\n",
      );
    };

    machine.start = () => {
      const [command, ...args] = readCommand(role);
      const child = spawn(command, args, {
        cwd: ROOT,
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          LANG: "C.UTF-8",
          GOLDCRESTLUG_CONFIG: path,
        },
        stdio: ["ignore", "pipe", "pipe"],
      });
      children.add(child);
      machine.child = child;
      machine.startedMs = Date.now();
      const read = (chunk) => machine.lines.push(...String(chunk).split("\n").filter(Boolean));
      child.stdout.on("data", read);
      child.stderr.on("data", read);
      child.ended = new Promise((resolve) =>
        child.once("exit", (code, signal) => {
          children.delete(child);
          record(`${role} ${host} ended, code ${code}, signal ${signal}`);
          resolve({ code, signal });
        })
      );
      record(`${role} ${host} started, process ${child.pid}`);
    };

    machine.signal = (name) => {
      record(`${name} to ${role} ${host}`);
      machine.child.kill(name);
    };

    /** Ends the process at once, and returns when it is gone. */
    machine.kill = async () => {
      machine.signal("SIGKILL");
      await machine.child.ended;
    };

    machine.loseDisk = () => {
      record(`${role} ${host} loses its disk`);
      rmSync(disk, { recursive: true, force: true });
    };

    /** SIGTERM, and SIGKILL after the grace. */
    machine.terminate = async () => {
      machine.signal("SIGTERM");
      const { child } = machine;
      const timer = setTimeout(() => machine.signal("SIGKILL"), BOUNDS.graceS * 1_000);
      await child.ended;
      clearTimeout(timer);
    };

    machine.writeSettings(seeds, isFirst);
    machine.start();
    return machine;
  }

  const coreHosts = Array.from({ length: cores }, (_, at) => `${prefix}.${at + 1}`);
  const seeds = coreHosts.slice(0, 3);
  const cell = { cores: [], entries: [], runners: [], record };

  cell.addCore = (currentSeeds, zone) => {
    coreCount += 1;
    const machine = startMachine("core", `${prefix}.${coreCount}`, zone, {
      seeds: currentSeeds,
      isFirst: false,
    });
    cell.cores.push(machine);
    return machine;
  };

  cell.cores = coreHosts.map((host, at) =>
    startMachine("core", host, `zone-${1 + at % 4}`, { seeds, isFirst: true })
  );
  coreCount = cores;
  cell.entries = Array.from({ length: entries }, (_, at) =>
    startMachine("entry", `${prefix}.${101 + at}`, `zone-${1 + at % 4}`, { seeds, isFirst: true })
  );
  /** The cores that the operator and the runners may call. */
  cell.listControls = () =>
    cell.cores.filter(({ isRemoved }) => !isRemoved).map(({ host }) => `http://${host}:${CONTROL_PORT}`);

  let nextControl = 0;
  /** Calls the control listeners in turn, as the operator does, until one answers below 500. */
  cell.callOperator = async (path, { untilMs = 20_000, ...call } = {}) => {
    const endMs = Date.now() + untilMs;
    let pauseMs = 50;
    for (;;) {
      const controls = cell.listControls();
      const control = controls[nextControl++ % controls.length];
      const answer = await request(`${control}${path}`, call);
      const text = answer.status === 0 ? answer.reason : (answer.text ?? "").slice(0, 60);
      record(`operator ${call.method ?? "GET"} ${path} at ${control}: ${answer.status} ${text}`);
      if (answer.status !== 0 && answer.status < 500 && answer.status !== 408 && answer.status !== 429) {
        return answer;
      }
      if (Date.now() > endMs) return undefined;
      await wait(pauseMs);
      pauseMs = Math.min(800, pauseMs * 2);
    }
  };

  cell.configure = (configuration, untilMs) =>
    cell.callOperator("/configuration", { method: "PUT", body: configuration, untilMs });

  /** Calls an entry as a client. */
  cell.callEntry = async (entry, method, path, { key = "key-one", body, deadlineMs = 3_000, quiet = false } = {}) => {
    const answer = await request(`http://${entry.host}:${CLIENT_PORT}${path}`, {
      method,
      body,
      headers: {
        host: "jobs.example",
        ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
        "goldcrestlug-deadline-ms": String(deadlineMs),
      },
      timeoutMs: deadlineMs,
    });
    if (!quiet) {
      record(`client ${method} ${path} at ${entry.host}: ${answer.status} ${answer.reason ?? answer.text}`);
    }
    return answer;
  };

  /** Submits a job, again after no clear answer, and returns whether it was accepted. */
  cell.submit = async (path, body, untilMs = 15_000) => {
    const endMs = Date.now() + untilMs;
    for (let attempt = 0; Date.now() < endMs; attempt += 1) {
      const entry = cell.entries[attempt % cell.entries.length];
      const { status } = await cell.callEntry(entry, "POST", path, { body });
      if (status >= 200 && status < 300) return true;
      if (status === 400 || status === 401 || status === 404) return false;
      await wait(200);
    }
    return false;
  };

  cell.waitUntilReady = async () => {
    const endMs = Date.now() + 30_000;
    for (const entry of cell.entries) {
      for (;;) {
        const { status } = await request(`http://${entry.host}:${READINESS_PORT}/readiness`);
        if (status === 200) break;
        if (Date.now() > endMs) throw new Error(`entry ${entry.host} is not ready`);
        await wait(200);
      }
    }
    record("all entries are ready");
  };

  /** Returns the core whose newest log lines say that it leads. */
  cell.findLeader = () => {
    let best;
    for (const core of cell.cores) {
      if (core.child.exitCode !== null || core.child.signalCode !== null) continue;
      for (const line of core.lines) {
        const term = /"term":(\d+)/.exec(line)?.[1];
        if (!/"Leading"/.test(line) || term === undefined) continue;
        if (best === undefined || Number(term) > best.term) best = { term: Number(term), core };
      }
    }
    return best?.core;
  };

  for (let at = 0; at < runners; at += 1) {
    cell.runners.push(
      await startRunner({
        id: `i-${at + 1}`,
        host: `${prefix}.${201 + at}`,
        zone: `zone-${1 + at % 4}`,
        listControls: cell.listControls,
        record,
        stops,
      }),
    );
  }
  return cell;
}

/** Creates a configuration with the queue /quick/, one pool and one tenant. */
export function createConfiguration(version, change = {}) {
  return {
    version,
    routes: [{
      name: "r-quick",
      host: "jobs.example",
      path_prefix: "/quick/",
      kind: "unsafe",
      timeout_ms: 3_000,
      target_latency_ms: 250,
      priority: 0,
      service: "pool",
      max_attempts: 3,
      slowdown_factor: 2,
      public: false,
    }],
    services: [{
      name: "pool",
      health_path: "/health",
      max_connections: 64,
      protocol: "h1",
      tls: false,
      admission_check: false,
      standby: false,
    }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: "one", api_keys: ["key-one"], weight: 10, cap: { cpu: 0, memory_request_mb: 0, gpu: 0 } }],
    ...change,
  };
}

export const createJobId = () => randomBytes(8).toString("hex");

/** Reads the time that a task takes from its payload, in milliseconds. */
function readWorkMs(spec) {
  try {
    return JSON.parse(spec).ms ?? 10;
  } catch {
    return 10;
  }
}

/**
 * Starts a stand-in of a runner. The payload of a task is JSON with `ms`, the time that
 * the task takes. `starts` and `ends` list what its incarnations have begun and ended.
 */
async function startRunner({ id: name, host, zone, listControls, record, stops }) {
  const runner = {
    name,
    zone,
    starts: [],
    ends: [],
    state: "ready",
    capacity: { cpu: 16_000, memory_request_mb: 65_536, gpu: 0 },
    isUp: false,
    /** Called with each order; resolves with true to leave it unanswered and not carried out. */
    intercept: undefined,
    /** Called when a task has begun. */
    handleStart: undefined,
  };
  let port = 0;
  let lives = 0;
  let endLife = () => {};

  async function startLife(id) {
    const bornMs = Date.now();
    const origin = performance.now();
    const readClock = () => Math.round(performance.now() - origin);
    const running = new Map();
    const closed = new Map();
    let fence = 0;
    let leaseMs = -1;
    let nextEnd = 1;
    let listed = [];
    let waiters = [];
    let isOver = false;

    function close(task, run) {
      closed.set(task, Math.max(run, closed.get(task) ?? 0));
    }

    function end(task, how) {
      const entry = running.get(task);
      if (entry === undefined || isOver) return;
      running.delete(task);
      clearTimeout(entry.timer);
      close(task, entry.run);
      listed.push([nextEnd++, task, entry.run, how, ""]);
      runner.ends.push({ task, run: entry.run, how, id, atMs: Date.now() });
      record(`${id} ends ${task} run ${entry.run} ${how}`);
      for (const wake of waiters.splice(0)) wake();
    }

    const leaseTimer = setInterval(() => {
      if (readClock() < leaseMs) return;
      for (const task of [...running.keys()]) end(task, "lapsed");
    }, 20);

    function grant(untilMs) {
      if (typeof untilMs !== "number") return;
      leaseMs = Math.max(leaseMs, Math.min(untilMs, readClock() + BOUNDS.holdMaxMs));
    }

    const answerOrder = (status, reason) => ({
      status,
      body: reason === undefined ? { clock_ms: readClock() } : { clock_ms: readClock(), reason },
    });

    function handleStart(order) {
      const { task, run } = order;
      const current = running.get(task);
      if (current?.run === run) {
        grant(order.until_ms);
        return answerOrder(200);
      }
      if (run <= (closed.get(task) ?? 0) || current !== undefined) {
        grant(order.until_ms);
        return answerOrder(409, "old");
      }
      if (order.until_ms <= readClock()) return answerOrder(409, "late");
      grant(order.until_ms);
      const ms = readWorkMs(order.spec);
      const entry = { run, ms, atMs: readClock() };
      entry.timer = setTimeout(() => end(task, "done"), ms);
      running.set(task, entry);
      runner.starts.push({ task, run, id, atMs: Date.now(), fence: order.fencing_token });
      record(`${id} starts ${task} run ${run} fence ${order.fencing_token}`);
      runner.handleStart?.(task, run);
      return answerOrder(200);
    }

    function handleStop({ task, run }) {
      close(task, run);
      if (running.get(task)?.run === run) {
        setTimeout(() => {
          if (running.get(task)?.run === run) end(task, "stopped");
        }, 50);
      }
      return answerOrder(200);
    }

    async function handleHold(order) {
      grant(order.until_ms);
      listed = listed.filter(([number]) => number > (order.ack_cursor ?? 0));
      if (listed.length === 0 && order.wait_ms > 0) {
        await new Promise((resolve) => {
          waiters.push(resolve);
          setTimeout(resolve, order.wait_ms);
        });
      }
      const nowMs = readClock();
      return {
        status: 200,
        body: {
          clock_ms: nowMs,
          born: bornMs,
          running: [...running].map(([task, { run, ms, atMs }]) => [
            task,
            run,
            "",
            Math.min(99, Math.floor(100 * (nowMs - atMs) / Math.max(1, ms))),
            0,
          ]),
          finished: listed.slice(0, 500),
        },
      };
    }

    const server = http.createServer((incoming, answer) => {
      let text = "";
      incoming.on("data", (part) => text += part);
      incoming.on("end", async () => {
        const send = ({ status, body }) => {
          if (isOver) return;
          answer.writeHead(status, { "content-type": "application/json" });
          answer.end(JSON.stringify(body));
        };
        if (incoming.method === "GET") return send({ status: 200, body: {} });
        if (incoming.headers["goldcrestlug-expected-instance"] !== id) {
          return send({ status: 421, body: {} });
        }
        const order = JSON.parse(text);
        if (await runner.intercept?.(incoming.url, order) === true) return answer.destroy();
        if (isOver) return;
        if ((order.fencing_token ?? 0) < fence) return send(answerOrder(409, "fence"));
        fence = order.fencing_token ?? 0;
        if (incoming.url === "/run-start") return send(handleStart(order));
        if (incoming.url === "/run-stop") return send(handleStop(order));
        if (incoming.url === "/hold") return send(await handleHold(order));
        send({ status: 404, body: {} });
      });
    });
    await new Promise((resolve) => server.listen(port, host, resolve));
    port = server.address().port;
    const address = `${host}:${port}`;
    runner.id = id;
    runner.isUp = true;
    record(`${id} is up at ${address}`);
    endLife = () => {
      isOver = true;
      runner.isUp = false;
      clearInterval(leaseTimer);
      for (const { timer } of running.values()) clearTimeout(timer);
      server.close();
      server.closeAllConnections();
    };

    async function sendHeartbeats() {
      for (let sequence = 1; !isOver; sequence += 1) {
        for (const control of [...listControls()].sort(() => Math.random() - 0.5)) {
          if (isOver) return;
          const { status } = await request(`${control}/instances/${id}`, {
            method: "PUT",
            timeoutMs: 1_000,
            body: {
              service: "pool",
              address,
              zone,
              version: "v1",
              slots: 8,
              state: runner.state,
              cold_remaining_ms: 0,
              capacity: runner.capacity,
              labels: ["a", "r1-1"],
              clock_ms: readClock(),
              sequence,
              born: bornMs,
            },
          });
          if (status >= 200 && status < 300) break;
        }
        await wait(BOUNDS.heartbeatMs);
      }
    }

    void sendHeartbeats();
  }

  /** Ends the runner and all that it runs at once; `returnMs` later the next one starts at its address under a new id. */
  runner.crash = async (returnMs) => {
    if (!runner.isUp) return;
    record(`${runner.id} crashes`);
    endLife();
    await wait(returnMs);
    lives += 1;
    await startLife(`${name}-${lives}`);
  };

  await startLife(name);
  stops.push(() => endLife());
  return runner;
}
