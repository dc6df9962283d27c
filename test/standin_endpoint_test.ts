import t from "tap";
import { startEntryRecorder } from "./entry_recorder.ts";
import { callJson, wait, waitUntil } from "./json_http.ts";
import { startProcess } from "./processes.ts";
import type { TestScope } from "./processes.ts";
import { startEndpointStub } from "./standin_endpoint.ts";

async function startEndpoint(t: TestScope, entries: string[] = []) {
  const endpoint = await startEndpointStub({
    name: "e1",
    dataCentre: "a",
    entries,
    queues: ["orders"],
    announcePeriodMs: 50,
    departMs: 100,
  });
  t.teardown(() => endpoint.stop());
  return endpoint;
}

function send(address: string, id: string, delayMs = 0, body: unknown = {}) {
  return callJson(`${address}/`, {
    body,
    headers: {
      "goldcrestlug-request-id": id,
      "goldcrestlug-queue": "orders",
      "x-delay-ms": String(delayMs),
    },
  });
}

// Guards against counts that miss a request that ran twice.
t.test("requests are echoed and counted by identifier", async (t) => {
  const { address, getCounts } = await startEndpoint(t);
  const body = { cartons: 3 };
  const expected = { endpoint: "e1", requestId: "r1", queue: "orders", body };
  const first = await send(address, "r1", 0, body);
  t.strictSame(first.body, { ...expected, count: 1 });
  const second = await send(address, "r1", 0, body);
  t.strictSame(second.body, { ...expected, count: 2 });
  t.equal((await send(address, "r2", 0, { status: 503 })).status, 503);
  t.strictSame(getCounts().runs, { r1: 2, r2: 1 });
  const { body: listed } = await callJson(`${address}/counts`);
  t.match(listed, { endpoint: "e1", runs: { r1: 2 } });
});

// Guards against a ninth request that runs or is not counted.
t.test("a ninth request is refused and counted", async (t) => {
  const { address, getCounts } = await startEndpoint(t);
  const running = Array.from(
    { length: 8 },
    (_, i) => send(address, `r${i}`, 300),
  );
  await waitUntil(() => getCounts().inFlight === 8, 5_000, "8 in flight");
  t.equal((await send(address, "ninth")).status, 503);
  const answers = await Promise.all(running);
  t.ok(answers.every(({ status }) => status === 200));
  t.match(getCounts(), { slotViolations: 1, peakInFlight: 8, inFlight: 0 });
  t.notOk("ninth" in getCounts().runs, "a refused request is not run");
  t.equal(getCounts().connectionViolations, 0);
});

// Guards against an endpoint that stops announcing because its first entry instance is gone.
t.test("announcements go to the next entry instance", async (t) => {
  const recorder = await startEntryRecorder();
  t.teardown(() => recorder.stop());
  const lost = await startEntryRecorder();
  await lost.stop();
  const endpoint = await startEndpoint(t, [lost.address, recorder.address]);
  await waitUntil(() => recorder.seen.length >= 3, 5_000, "announcements");
  t.match(recorder.seen[0], {
    endpoint: "e1",
    address: endpoint.address,
    dataCentre: "a",
    incarnation: Number,
    queues: ["orders"],
    slots: 8,
    connections: 60,
    inFlight: 0,
    departing: false,
  });
});

// Guards against a departure that aborts running requests or is not announced.
t.test("a departing endpoint finishes its running requests", async (t) => {
  const recorder = await startEntryRecorder();
  t.teardown(() => recorder.stop());
  const endpoint = await startEndpoint(t, [recorder.address]);
  const running = send(endpoint.address, "r1", 400);
  await waitUntil(() => endpoint.getCounts().inFlight === 1, 5_000, "a run");
  const departed = endpoint.depart();
  await waitUntil(
    () => recorder.seen.some(({ departing }) => departing),
    5_000,
    "the announcement",
  );
  const late = await send(endpoint.address, "r2");
  t.equal(late.status, 200, "a request that crossed the announcement is run");
  t.equal((await running).status, 200);
  await departed;
  t.type(endpoint.getCounts().lastArrivalAfterDepartureMs, "number");
  await t.rejects(send(endpoint.address, "r3"));
});

// Guards against a program that behaves differently from the function.
t.test("the program departs on SIGTERM", async (t) => {
  const recorder = await startEntryRecorder();
  t.teardown(() => recorder.stop());
  const child = startProcess(t, "test/standin_endpoint.js", [
    ...["--name", "e7", "--data-centre", "a", "--queues", "orders,prices"],
    ...["--entry", recorder.address],
  ]);
  const line = await child.waitForLine(/^listening on /);
  const address = line.replace("listening on ", "");
  const running = send(address, "r1", 500);
  await waitUntil(() => recorder.seen.length > 0, 5_000, "an announcement");
  t.strictSame(recorder.seen[0].queues, ["orders", "prices"]);
  await wait(100);
  const exit = await child.stop();
  t.strictSame(exit, { code: 0, signal: null });
  t.equal((await running).status, 200);
  t.equal(recorder.seen.at(-1).departing, true);
});
