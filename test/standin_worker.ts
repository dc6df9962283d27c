/**
 * A worker stub. It runs tasks as timers under leases, rejects commands of
 * lower epochs, and counts every start beyond its capacity. Runs as a program
 * or in the test's own process.
 */

import process from "node:process";
import { pathToFileURL } from "node:url";
import { parseArgs } from "node:util";
import { startAnnouncer } from "./announcer.ts";
import { startJsonServer, waitUntil } from "./json_http.ts";
import type { JsonAnswer } from "./json_http.ts";
import { startStubTask } from "./standin_tasks.ts";
import type {
  StubPayload,
  StubResources,
  StubTask,
  StubTaskStatus,
} from "./standin_tasks.ts";

/** Settings of a worker stub. */
export interface WorkerStubOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly rack: string;
  /** Base addresses of entry instances. */
  readonly entries: readonly string[];
  readonly capacity: StubResources;
  /** Default 0, which picks a free port. */
  readonly port?: number;
  /** Default 1000. */
  readonly announcePeriodMs?: number;
  /** Lease of a task until the first reply sets one, in milliseconds. Default 10000. */
  readonly leaseMs?: number;
  /** True for a worker on which every task fails right after its start. */
  readonly failsEverything?: boolean;
}

/** State and counters of a worker stub; the answer to `GET /tasks`. */
export interface WorkerStubStatus {
  readonly worker: string;
  /** Highest epoch seen. */
  readonly epoch: number;
  /** Starts beyond the capacity; all were rejected. */
  readonly capacityViolations: number;
  /** Commands with a lower epoch; all were rejected. */
  readonly staleCommands: number;
  /** Running and ended tasks. */
  readonly tasks: readonly StubTaskStatus[];
}

/** A running worker stub. */
export interface WorkerStub {
  readonly address: string;
  getStatus(): WorkerStubStatus;
  /** Announces that it accepts no new tasks; running ones continue. */
  drain(): Promise<void>;
  /** Stops immediately; its tasks end as on a killed worker. */
  stop(): Promise<void>;
}

interface Command {
  readonly task: string;
  readonly epoch: number;
  readonly resources?: Partial<StubResources>;
  readonly payload?: StubPayload;
  readonly processors?: number;
  readonly fromCheckpoint?: boolean;
  readonly incarnation?: number;
  readonly sequence?: number;
  readonly leaseMs?: number;
}

interface AnnouncementReply {
  readonly epoch?: number;
  readonly leaseMs?: number;
  readonly renewed?: readonly string[];
}

/** Ended tasks are announced for this long, since an announcement may be lost. */
const ENDED_TASK_RETENTION_MS = 60_000;

/** Announcements whose send time is kept; the lease of a start is counted from it. */
const MAX_SENT_TIMES = 1_000;

const RESOURCE_NAMES = ["processors", "memoryMb", "accelerators"] as const;

// "job/index/attempt": attempts of one task share their checkpoint.
function getTaskName(attempt: string): string {
  const end = attempt.lastIndexOf("/");
  return end < 0 ? attempt : attempt.slice(0, end);
}

function createRefusal(error: string, details: object = {}): JsonAnswer {
  return { status: 409, body: { error, ...details } };
}

/** Starts a worker stub on loopback. */
export async function startWorkerStub(
  options: WorkerStubOptions,
): Promise<WorkerStub> {
  const { capacity } = options;
  const incarnation = Date.now();
  const tasks = new Map<string, StubTask>();
  const savedMs = new Map<string, number>();
  const sentAtMs = new Map<number, number>();
  let leaseMs = options.leaseMs ?? 10_000;
  let sequence = 0;
  let epoch = 0;
  let capacityViolations = 0;
  let staleCommands = 0;
  let isDraining = false;

  function fits(wanted: StubResources): boolean {
    const running = [...tasks.values()].filter((task) => task.isRunning());
    return RESOURCE_NAMES.every((name) => {
      const used = running.reduce(
        (sum, task) => sum + task.getStatus().resources[name],
        0,
      );
      return used + wanted[name] <= capacity[name];
    });
  }

  function getLeaseStartMs(command: Command): number | undefined {
    if (command.sequence === undefined) return performance.now();
    return sentAtMs.get(command.sequence);
  }

  function startTask(command: Command): JsonAnswer {
    const known = tasks.get(command.task);
    // A resent start must not run an attempt twice.
    if (known !== undefined) return { status: 200, body: known.getStatus() };
    if ((command.incarnation ?? incarnation) !== incarnation) {
      return createRefusal("incarnation", { incarnation });
    }
    const leaseStartMs = getLeaseStartMs(command);
    const leaseUntilMs = (leaseStartMs ?? 0) + (command.leaseMs ?? leaseMs);
    if (leaseStartMs === undefined || leaseUntilMs <= performance.now()) {
      return createRefusal("lease ended");
    }
    const resources = {
      processors: 0,
      memoryMb: 0,
      accelerators: 0,
      ...command.resources,
    };
    if (!fits(resources)) {
      capacityViolations++;
      return createRefusal("capacity");
    }
    const name = getTaskName(command.task);
    const task = startStubTask({
      task: command.task,
      epoch: command.epoch,
      resources,
      payload: options.failsEverything
        ? { ...command.payload, runMs: 20, exitCode: 1 }
        : command.payload ?? {},
      savedMs: command.fromCheckpoint ? savedMs.get(name) ?? 0 : 0,
      leaseUntilMs,
    });
    tasks.set(command.task, task);
    return { status: 200, body: task.getStatus() };
  }

  function handleCommand(action: string, command: Command): JsonAnswer {
    if (command.epoch < epoch) {
      staleCommands++;
      return createRefusal("epoch", { epoch });
    }
    epoch = command.epoch;
    if (action === "start") return startTask(command);
    const task = tasks.get(command.task);
    if (task === undefined) return { status: 404, body: { error: "task" } };
    if (action === "throttle") task.throttle(command.processors ?? 0);
    if (action === "stop") task.stop("stopped", "stop command");
    if (action === "checkpoint") {
      const doneMs = task.stop("checkpointed", "checkpoint command");
      savedMs.set(getTaskName(command.task), doneMs);
    }
    return { status: 200, body: task.getStatus() };
  }

  function getStatus(): WorkerStubStatus {
    for (const task of tasks.values()) task.isRunning();
    return {
      worker: options.name,
      epoch,
      capacityViolations,
      staleCommands,
      tasks: [...tasks.values()].map((task) => task.getStatus()),
    };
  }

  function buildAnnouncement(): unknown {
    sequence++;
    sentAtMs.set(sequence, performance.now());
    sentAtMs.delete(sequence - MAX_SENT_TIMES);
    const oldest = Date.now() - ENDED_TASK_RETENTION_MS;
    const reported = [...tasks.values()].filter((task) =>
      task.isRunning() || (task.getStatus().endedAt ?? 0) >= oldest
    );
    return {
      worker: options.name,
      address: server.address,
      dataCentre: options.dataCentre,
      rack: options.rack,
      incarnation,
      sequence,
      capacity,
      draining: isDraining,
      tasks: reported.map((task) => {
        const status = task.getStatus();
        return {
          task: status.task,
          epoch: status.epoch,
          state: status.state,
          usage: task.getUsage(),
          ...(status.exitCode === null ? {} : { exitCode: status.exitCode }),
          ...(status.processorLimit === null
            ? {}
            : { processorLimit: status.processorLimit }),
        };
      }),
    };
  }

  function handleReply(reply: unknown, sentMs: number): void {
    const answer = (reply ?? {}) as AnnouncementReply;
    const answerEpoch = answer.epoch ?? epoch;
    // A late reply of an earlier leader renews nothing.
    if (answerEpoch < epoch) return;
    epoch = answerEpoch;
    leaseMs = answer.leaseMs ?? leaseMs;
    for (const name of answer.renewed ?? []) {
      tasks.get(name)?.renew(sentMs + leaseMs, epoch);
    }
  }

  const server = await startJsonServer(options.port ?? 0, (request, text) => {
    if (request.method === "GET" && request.url === "/tasks") {
      return { status: 200, body: getStatus() };
    }
    const action = /^\/v1\/tasks\/(start|stop|throttle|checkpoint)$/
      .exec(request.url ?? "")?.[1];
    if (request.method !== "POST" || action === undefined) {
      return { status: 404, body: { error: "unknown path" } };
    }
    return handleCommand(action, JSON.parse(text) as Command);
  });

  const announcer = startAnnouncer({
    entries: options.entries,
    path: "/v1/workers/announce",
    periodMs: options.announcePeriodMs ?? 1_000,
    build: buildAnnouncement,
    onReply: handleReply,
  });

  return {
    address: server.address,
    getStatus,
    async drain() {
      isDraining = true;
      await announcer.announce();
    },
    async stop() {
      announcer.stop();
      for (const task of tasks.values()) task.stop("stopped", "worker stopped");
      await server.stop();
    },
  };
}

async function runProgram(): Promise<void> {
  const { values } = parseArgs({
    options: {
      port: { type: "string", default: "0" },
      entry: { type: "string", default: "" },
      "data-centre": { type: "string", default: "" },
      name: { type: "string", default: "" },
      rack: { type: "string", default: "rack-1" },
      cores: { type: "string", default: "16" },
      "memory-mb": { type: "string", default: "65536" },
      accelerators: { type: "string", default: "0" },
      "lease-ms": { type: "string", default: "10000" },
      "fails-everything": { type: "boolean", default: false },
    },
  });
  const worker = await startWorkerStub({
    name: values.name,
    dataCentre: values["data-centre"],
    rack: values.rack,
    entries: values.entry.split(",").filter((entry) => entry !== ""),
    capacity: {
      processors: Number(values.cores) * 1_000,
      memoryMb: Number(values["memory-mb"]),
      accelerators: Number(values.accelerators),
    },
    port: Number(values.port),
    leaseMs: Number(values["lease-ms"]),
    failsEverything: values["fails-everything"],
  });
  process.once("SIGTERM", async () => {
    await worker.drain();
    const isIdle = () =>
      worker.getStatus().tasks.every((task) => task.state !== "running");
    await waitUntil(isIdle, 3_600_000, "running tasks");
    // Reports the ended tasks; otherwise the leader waits until their leases expire.
    await worker.drain();
    process.exit(0);
  });
  process.stdout.write(`listening on ${worker.address}\n`);
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? "").href) {
  await runProgram();
}
