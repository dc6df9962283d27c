import t from "tap";
import { startEntryRecorder } from "./entry_recorder.ts";
import { callJson, wait, waitUntil } from "./json_http.ts";
import { startProcess } from "./processes.ts";
import type { TestScope } from "./processes.ts";
import { startWorkerStub } from "./standin_worker.ts";
import type { WorkerStubOptions, WorkerStubStatus } from "./standin_worker.ts";

const RESOURCES = { processors: 1_000, memoryMb: 100, accelerators: 0 };

async function startWorker(
  t: TestScope,
  options: Partial<WorkerStubOptions> = {},
) {
  const worker = await startWorkerStub({
    name: "w1",
    dataCentre: "a",
    rack: "rack-1",
    entries: [],
    capacity: { processors: 2_000, memoryMb: 1_000, accelerators: 0 },
    announcePeriodMs: 50,
    ...options,
  });
  t.teardown(() => worker.stop());
  const command = (action: string, body: object) =>
    callJson(`${worker.address}/v1/tasks/${action}`, {
      body: { epoch: 1, ...body },
    });
  const start = (task: string, body: object = {}) =>
    command("start", { task, resources: RESOURCES, ...body });
  const find = (task: string) =>
    worker.getStatus().tasks.find((status) => status.task === task);
  const waitForState = (task: string, state: string) =>
    waitUntil(() => find(task)?.state === state, 5_000, `${task} ${state}`);
  return { ...worker, command, start, find, waitForState };
}

// Guards against a worker that runs an attempt twice or reports a wrong end.
t.test("a task runs once and ends with its exit code", async (t) => {
  const worker = await startWorker(t);
  const payload = { runMs: 100, exitCode: 3 };
  t.equal((await worker.start("j/0/1", { payload })).status, 200);
  t.equal((await worker.start("j/0/1", { payload })).status, 200);
  await worker.waitForState("j/0/1", "failed");
  const { body } = await callJson(`${worker.address}/tasks`);
  const { tasks } = body as WorkerStubStatus;
  t.equal(tasks.length, 1);
  t.match(tasks[0], { exitCode: 3, startedAt: Number, endedAt: Number });
  const ranMs = (tasks[0]?.endedAt ?? 0) - (tasks[0]?.startedAt ?? 0);
  t.ok(ranMs >= 99 && ranMs < 1_000, `ran for ${ranMs} ms`);
});

// Guards against a start beyond the capacity that runs or is not counted.
t.test("a task beyond the capacity is refused and counted", async (t) => {
  const worker = await startWorker(t);
  const payload = { runMs: 60_000 };
  t.equal((await worker.start("a", { payload })).status, 200);
  t.equal((await worker.start("b", { payload })).status, 200);
  t.equal((await worker.start("c", { payload })).status, 409);
  t.equal(worker.getStatus().capacityViolations, 1);
  await worker.command("stop", { task: "a" });
  t.equal((await worker.start("c", { payload })).status, 200);
  t.equal(worker.getStatus().capacityViolations, 1);
});

// Guards against a former leader whose commands a worker still executes.
t.test("a lower epoch is refused", async (t) => {
  const worker = await startWorker(t);
  t.equal((await worker.start("a", { epoch: 5 })).status, 200);
  const stale = await worker.command("stop", { task: "a", epoch: 4 });
  t.strictSame(stale, { status: 409, body: { error: "epoch", epoch: 5 } });
  t.equal(worker.find("a")?.state, "running");
  t.equal(worker.getStatus().staleCommands, 1);
});

// Guards against a task that outlives its lease, or one that is ended although its lease was renewed.
t.test("a task ends with its lease unless it is renewed", async (t) => {
  const recorder = await startEntryRecorder();
  t.teardown(() => recorder.stop());
  recorder.setReply({ epoch: 1, leaseMs: 400, renewed: ["kept"] });
  const worker = await startWorker(t, {
    entries: [recorder.address],
    leaseMs: 400,
  });
  await waitUntil(() => recorder.seen.length > 0, 5_000, "an announcement");
  const payload = { runMs: 60_000 };
  await worker.start("kept", { payload });
  await worker.start("lapsed", { payload });
  await worker.waitForState("lapsed", "stopped");
  t.equal(worker.find("lapsed")?.reason, "lease ended");
  t.equal(worker.find("kept")?.state, "running");
  const isReported = () =>
    recorder.seen.at(-1).tasks.some((
      report: { task: string; state: string; epoch: number },
    ) =>
      report.task === "lapsed" && report.state === "stopped" &&
      report.epoch === 1
    );
  await waitUntil(isReported, 5_000, "the report of the end");
  recorder.setReply({}, 503);
  await worker.waitForState("kept", "stopped");
});

// Guards against a delayed start that runs at the same time as a later attempt elsewhere.
t.test("a start whose lease has ended is refused", async (t) => {
  const recorder = await startEntryRecorder();
  t.teardown(() => recorder.stop());
  const worker = await startWorker(t, { entries: [recorder.address] });
  await waitUntil(() => recorder.seen.length > 0, 5_000, "an announcement");
  const { sequence, incarnation } = recorder.seen[0];
  await wait(150);
  const late = await worker.start("a", { sequence, leaseMs: 100 });
  t.strictSame(late, { status: 409, body: { error: "lease ended" } });
  const other = await worker.start("a", { incarnation: incarnation - 1 });
  t.equal(other.status, 409);
  const unknown = await worker.start("a", { sequence: sequence + 1_000 });
  t.equal(unknown.status, 409);
  const timely = await worker.start("a", { sequence, leaseMs: 5_000 });
  t.equal(timely.status, 200);
});

// Guards against progress that is lost between checkpoint and next start.
t.test("a task continues from its checkpoint", async (t) => {
  const worker = await startWorker(t);
  const payload = { runMs: 1_500 };
  await worker.start("j/0/1", { payload });
  await wait(1_000);
  await worker.command("checkpoint", { task: "j/0/1" });
  t.equal(worker.find("j/0/1")?.state, "checkpointed");
  await worker.start("j/0/2", { payload, fromCheckpoint: true });
  await worker.waitForState("j/0/2", "finished");
  const status = worker.find("j/0/2");
  const ranMs = (status?.endedAt ?? 0) - (status?.startedAt ?? 0);
  t.ok(ranMs < 1_000, `the second attempt ran for ${ranMs} ms`);
});

// Guards against a throttled task that reports or runs at full speed.
t.test("a throttled task uses less and runs longer", async (t) => {
  const worker = await startWorker(t);
  const payload = { runMs: 300 };
  await worker.start("a", { payload });
  await worker.command("throttle", { task: "a", processors: 250 });
  t.equal(worker.find("a")?.processorLimit, 250);
  await worker.waitForState("a", "finished");
  const status = worker.find("a");
  const ranMs = (status?.endedAt ?? 0) - (status?.startedAt ?? 0);
  t.ok(ranMs > 600, `ran for ${ranMs} ms in place of 300 ms`);
});

// Guards against a frozen worker that reports its tasks as running past their leases.
t.test("a frozen program ends its tasks at their leases", async (t) => {
  const recorder = await startEntryRecorder();
  t.teardown(() => recorder.stop());
  const child = startProcess(t, "test/standin_worker.js", [
    ...["--name", "w7", "--data-centre", "a", "--rack", "r", "--cores", "4"],
    ...["--entry", recorder.address, "--lease-ms", "500"],
  ]);
  const line = await child.waitForLine(/^listening on /);
  const address = line.replace("listening on ", "");
  await waitUntil(() => recorder.seen.length > 0, 5_000, "an announcement");
  await callJson(`${address}/v1/tasks/start`, {
    body: { task: "a", epoch: 1, payload: { runMs: 800 } },
  });
  t.equal(recorder.seen[0].capacity.processors, 4_000);
  child.freeze();
  await wait(1_200);
  child.resume();
  const { body } = await callJson(`${address}/tasks`);
  const status = (body as WorkerStubStatus).tasks[0];
  t.match(status, { state: "stopped", reason: "lease ended" });
  const ranMs = (status?.endedAt ?? 0) - (status?.startedAt ?? 0);
  t.ok(ranMs <= 600, `ran for ${ranMs} ms under a lease of 500 ms`);
});

// Guards against a drained worker that exits before its tasks end, or without reporting their ends.
t.test("the program drains on SIGTERM", async (t) => {
  const recorder = await startEntryRecorder();
  t.teardown(() => recorder.stop());
  const child = startProcess(t, "test/standin_worker.js", [
    ...["--name", "w8", "--data-centre", "a", "--rack", "r"],
    ...["--entry", recorder.address],
  ]);
  const line = await child.waitForLine(/^listening on /);
  const address = line.replace("listening on ", "");
  await callJson(`${address}/v1/tasks/start`, {
    body: { task: "a", epoch: 1, payload: { runMs: 600 } },
  });
  t.strictSame(await child.stop(), { code: 0, signal: null });
  const last = recorder.seen.at(-1);
  t.equal(last.draining, true);
  t.match(last.tasks, [{ task: "a", state: "finished", exitCode: 0 }]);
});
