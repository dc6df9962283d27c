/**
 * Tests faults while jobs run, with real processes: the leader of the data
 * centre and the workers are killed, frozen, partitioned and restarted under
 * batch, service and gang jobs.
 */

import t, { type Test } from "tap";
import { type Cell, findLeader, restartAndJoin, startCell } from "./cell.ts";
import { waitUntil } from "./json_http.ts";
import { type Relay, type RelayMode, startRelay } from "./relay.ts";
import {
  checkRuns,
  countFinished,
  createJobCaller,
  createWorkerFleet,
  type JobCaller,
  type JobInput,
  type WorkerFleet,
} from "./work_fleet.ts";

t.setTimeout(240_000);

const LEASE_MS = 5_000;

// Longer than the lease, so that a task on a lost worker cannot finish unreported.
const RUN_MS = 6_000;

const WORKERS = ["w1", "w2", "w3", "w4"];

let cell: Cell;
let fleet: WorkerFleet;
let jobs: JobCaller;

t.before(async () => {
  cell = await startCell(t, {
    dataCentres: { north: 2, south: 2, west: 2 },
    settings: { tasks: { leaseMs: LEASE_MS, announcePeriodMs: 1_000 } },
  });
  fleet = createWorkerFleet(t);
  await Promise.all(WORKERS.map((name) => startWorker(name)));
  const key = await cell.addWorkspace("lace");
  jobs = createJobCaller(cell, key.secret);
});

const relays = new Map<string, Relay[]>();

/** Starts a worker whose announcements go through its own relays. */
async function startWorker(name: string): Promise<void> {
  const workerRelays = relays.get(name) ?? await Promise.all(
    cell.listAddresses("south").map((address) =>
      startRelay({ targetPort: Number(new URL(address).port) })
    ),
  );
  if (!relays.has(name)) {
    for (const relay of workerRelays) t.teardown(relay.stop);
  }
  relays.set(name, workerRelays);
  await fleet.start({
    name,
    dataCentre: "south",
    entries: workerRelays.map(({ port }) => `http://127.0.0.1:${port}`),
    leaseMs: LEASE_MS,
  });
}

function setAnnouncements(worker: string, mode: RelayMode): void {
  for (const relay of relays.get(worker) ?? []) relay.setMode(mode);
}

/** Returns the worker that runs the most tasks. */
async function findBusiestWorker(t: Test): Promise<string> {
  const running = await fleet.listRunning();
  const counts = WORKERS.map((name) => ({
    name,
    count: running.filter(({ worker }) => worker === name).length,
  })).sort((one, other) => other.count - one.count);
  t.comment(`${counts[0]?.name} runs ${counts[0]?.count} tasks`);
  t.ok((counts[0]?.count ?? 0) > 0, "the worker runs tasks");
  return counts[0]?.name ?? "";
}

/** Waits until no task of the jobs is placed on a worker. */
async function waitUntilPlacedElsewhere(
  t: Test,
  prefix: string,
  worker: string,
): Promise<void> {
  const startMs = performance.now();
  for (const { id } of buildJobs(prefix)) {
    await waitUntil(
      async () => {
        const job = await jobs.get(id);
        return job?.tasks.every((task) => task.worker !== worker);
      },
      30_000,
      `the tasks of ${id} elsewhere`,
    );
  }
  const ms = Math.round(performance.now() - startMs);
  t.comment(`no task is left on ${worker} after ${ms} ms`);
}

function buildJobs(prefix: string): JobInput[] {
  const build = (
    policy: JobInput["policy"],
    tasks: number,
    runMs: number,
  ): JobInput => ({
    id: `south:${prefix}-${policy}`,
    policy,
    tasks,
    resources: { processors: 500, memoryMb: 64 },
    payload: { runMs },
  });
  return [
    build("batch", 24, RUN_MS),
    build("gang", 4, RUN_MS),
    build("service", 4, 3_600_000),
  ];
}

async function waitForRuns(
  job: JobInput,
  timeoutMs: number,
  isSettled: (running: number, finished: number) => boolean,
): Promise<void> {
  let last = "";
  await waitUntil(
    async () => {
      const runs = await fleet.listRuns();
      const finished = countFinished(runs, job.id, job.tasks)
        .filter((count) => count > 0).length;
      const running =
        runs.filter((run) =>
          run.endedAt === null && run.task.startsWith(`${job.id}/`)
        ).length;
      last = `${running} running, ${finished} finished`;
      return isSettled(running, finished);
    },
    timeoutMs,
    `the tasks of ${job.id}`,
  ).catch((error) => {
    throw new Error(`${error.message}; last: ${last}`, { cause: error });
  });
}

/** Injects a fault while jobs run, and checks the jobs until they end. */
async function runJobsThroughFault(
  t: Test,
  prefix: string,
  injectFault: (t: Test) => Promise<void>,
): Promise<void> {
  const submitted = buildJobs(prefix);
  const [batch, gang, service] = submitted as [JobInput, JobInput, JobInput];
  await Promise.all(submitted.map((job) => jobs.submit(job)));
  for (const job of submitted) {
    await waitForRuns(job, 20_000, (running) => running === job.tasks);
  }
  const injectedAtMs = performance.now();
  await injectFault(t);
  for (const job of submitted) {
    await waitForRuns(
      job,
      30_000,
      (running, finished) => running + finished >= job.tasks,
    );
  }
  const recoveredMs = Math.round(performance.now() - injectedAtMs);
  t.comment(`all tasks ran or had finished after ${recoveredMs} ms`);
  await jobs.waitForState(batch.id, "finished", 30_000);
  await jobs.waitForState(gang.id, "finished", 30_000);

  const answer = await jobs.cancel(service.id);
  t.ok(
    ["cancelling", "cancelled"].includes(answer.state),
    `state ${answer.state} after the cancellation`,
  );
  await jobs.waitForState(service.id, "cancelled", 20_000);
  const left = await fleet.listRunning(service.id);
  t.strictSame(left, [], "no task of a cancelled job runs");
  const runs = await checkRuns(t, fleet);
  const counts = countFinished(runs, batch.id, batch.tasks);
  t.ok(counts.every((count) => count === 1), `finished once: ${counts}`);
}

async function findSouthLeader(): Promise<string> {
  const leaders = await Promise.all(
    cell.listAddresses("north").map((one) => findLeader(one, "south")),
  );
  const leader = leaders.find((one) => one !== undefined);
  if (leader === undefined) throw new Error('Cannot find a leader of "south"');
  return leader;
}

const getOtherInstance = (name: string) =>
  name === "south-1" ? "south-2" : "south-1";

async function waitForSuccessor(t: Test, former: string): Promise<void> {
  const startMs = performance.now();
  const next = getOtherInstance(former);
  await waitUntil(
    async () => await findLeader(cell.get(next).address, "south") === next,
    10_000,
    "a successor",
  );
  t.comment(`successor after ${Math.round(performance.now() - startMs)} ms`);
}

// Guards against jobs that are lost or duplicated when the leader that placed them dies.
t.test(
  "jobs continue when the leader is killed",
  { timeout: 90_000 },
  async (t) => {
    let leader = "";
    await runJobsThroughFault(t, "kill-leader", async () => {
      leader = await findSouthLeader();
      await cell.get(leader).kill();
      await waitForSuccessor(t, leader);
    });
    await restartAndJoin(cell, leader);
  },
);

// Guards against a leader that resumes after a pause and sends outdated commands.
t.test(
  "jobs continue when the leader is frozen and resumes",
  { timeout: 90_000 },
  async (t) => {
    await runJobsThroughFault(t, "freeze-leader", async () => {
      const leader = await findSouthLeader();
      cell.get(leader).freeze();
      await waitForSuccessor(t, leader);
      cell.get(leader).resume();
    });
  },
);

// Guards against tasks that are never placed again when their worker and the leader are lost at the same time.
t.test("tasks of a killed worker run again, also with a new leader", {
  timeout: 90_000,
}, async (t) => {
  let leader = "";
  let worker = "";
  await runJobsThroughFault(t, "kill-both", async () => {
    leader = await findSouthLeader();
    worker = await findBusiestWorker(t);
    await Promise.all([fleet.kill(worker), cell.get(leader).kill()]);
    await waitForSuccessor(t, leader);
  });
  await startWorker(worker);
  await restartAndJoin(cell, leader);
});

// Guards against tasks that keep running on a worker that is considered lost.
t.test(
  "tasks of a frozen worker run again elsewhere",
  { timeout: 90_000 },
  async (t) => {
    await runJobsThroughFault(t, "freeze-worker", async () => {
      const worker = await findBusiestWorker(t);
      fleet.get(worker).process.freeze();
      await waitUntilPlacedElsewhere(t, "freeze-worker", worker);
      fleet.get(worker).process.resume();
    });
  },
);

// Guards against a worker whose announcements are lost while commands still reach it.
t.test("tasks of a partitioned worker run again elsewhere", {
  timeout: 90_000,
}, async (t) => {
  let worker = "";
  await runJobsThroughFault(t, "cut-worker", async () => {
    worker = await findBusiestWorker(t);
    setAnnouncements(worker, "silent");
    await waitUntilPlacedElsewhere(t, "cut-worker", worker);
  });
  setAnnouncements(worker, "forward");
});

// Guards against a planned restart that stops or duplicates tasks.
t.test(
  "a restart of both instances interrupts no task",
  { timeout: 90_000 },
  async (t) => {
    await runJobsThroughFault(t, "restart", async () => {
      for (const name of ["south-1", "south-2"]) {
        const exit = await cell.get(name).stop();
        t.strictSame(exit, { code: 0, signal: null }, `${name} stopped`);
        await (await cell.restart(name)).waitUntilReady(20_000);
      }
    });
    const runs = await fleet.listRuns();
    // The services end by their cancellation; nothing else may be stopped.
    const interrupted = runs.filter(({ task, state, reason }) =>
      task.startsWith("south:restart-") && state === "stopped" &&
      (!task.includes("-service/") || reason === "lease ended")
    ).map(({ worker, task, reason, startedAt, endedAt }) =>
      `${worker} ${task} ${reason} ${startedAt} ${endedAt}`
    );
    t.strictSame(interrupted, [], "no task was interrupted");
  },
);
