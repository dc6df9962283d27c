/**
 * A key is taken away from connected clients while they hand jobs in, and the core machine
 * that leads is killed some milliseconds after the change was sent, just before it would
 * be acknowledged. Several rounds, one machine at a time. Without the trouble the keys are
 * taken away and no machine is killed.
 */

import { createConfiguration, createJobId, isTrouble, runCase, wait } from "../cell-2.mjs";

const ROUNDS = 14;
/** Rounds without a kill, which measure how long the acknowledgement takes. */
const MEASURED_ROUNDS = 4;
/** Jobs of a round, handed in one each millisecond; the change is sent amid them. */
const JOBS = 60;
const CHANGE_AT = 25;
/** Times before the expected acknowledgement at which the machine is killed, in milliseconds, in turn. */
const LEADS_MS = [2, 3, 1, 4];
/** Time after which the killed process is started again, in milliseconds. */
const DOWN_MS = 500;
/** Time between two rounds, in milliseconds; longer than `catch_up_s`. */
const PAUSE_MS = 5_500;

const body = {
  spec: JSON.stringify({ ms: 50 }),
  steps: [{ count: 1, cpu: 100, memory_request_mb: 10, estimated_ms: 50 }],
};

function createTenants(keys) {
  const cap = { cpu: 0, memory_request_mb: 0, gpu: 0 };
  return [
    { name: "one", api_keys: ["key-one"], weight: 100, cap },
    { name: "two", api_keys: keys, weight: 100, cap },
  ];
}

/** Waits without the coarse steps of a timer. */
async function waitUntil(atMs) {
  while (performance.now() < atMs) await new Promise((resolve) => setImmediate(resolve));
}

await runCase(import.meta.url, { cores: 4, entries: 3, runners: 4 }, async (cell, record) => {
  let version = 1;
  const configure = (keys) => cell.configure(createConfiguration(version++, { tenants: createTenants(keys) }));
  await configure(["key-two"]);
  await cell.waitUntilReady();
  await wait(2_500);
  const broken = [];
  const counts = {};
  const ackTimes = [];

  async function runRound(round, leadMs) {
    const key = `key-two-${round}`;
    await configure(["key-two", key]);
    await wait(300);
    const leader = cell.findLeader();
    const ids = Array.from({ length: JOBS }, createJobId);
    const startMs = performance.now();
    // Each client sends its job once.
    const submitted = ids.map(async (id, at) => {
      await waitUntil(startMs + at);
      return await cell.callEntry(cell.entries[at % 3], "POST", `/quick/${id}`, { key, body, quiet: true });
    });
    await waitUntil(startMs + CHANGE_AT);
    const sentMs = performance.now();
    const changed = configure(["key-two"]).then(() => performance.now() - sentMs);
    let killMs = 0;
    if (leadMs !== undefined) {
      const [, expectedMs] = [...ackTimes].sort((a, b) => a - b);
      killMs = Math.max(5, expectedMs - leadMs);
      await waitUntil(sentMs + killMs);
      await leader.kill();
      void wait(DOWN_MS).then(() => leader.start());
    }
    const answers = await Promise.all(submitted);
    const ackMs = await changed;
    if (leadMs === undefined) ackTimes.push(ackMs);
    record(`round ${round}: killed after ${killMs.toFixed(1)} ms, change acknowledged after ${ackMs.toFixed(1)} ms`);
    await wait(leadMs === undefined ? 500 : PAUSE_MS);
    const started = new Set(cell.runners.flatMap((runner) => runner.starts).map(({ task }) => task.slice(0, 16)));
    for (const [at, { status }] of answers.entries()) {
      const hasStarted = started.has(ids[at]);
      const kind = `${status} ${hasStarted ? "run" : "not run"}`;
      counts[kind] = (counts[kind] ?? 0) + 1;
      if (![401, 404, 429, 503].includes(status) || !hasStarted) continue;
      broken.push(`REFUSED: job ${ids[at]} has run, and the only attempt to hand it in was answered ${status}`);
    }
    record(`round ${round}: ${JSON.stringify(counts)}`);
  }

  for (let round = 0; round < ROUNDS && broken.length === 0; round += 1) {
    const isKilling = isTrouble && round >= MEASURED_ROUNDS;
    await runRound(round, isKilling ? LEADS_MS[round % LEADS_MS.length] : undefined);
  }
  return broken;
});
