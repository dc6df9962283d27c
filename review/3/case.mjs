/**
 * A frontend machine freezes with a job in its socket. The client leaves, and cancels the
 * job at another machine. The frozen one wakes.
 */

import {
  call,
  createConfiguration,
  createWorld,
  HOST,
  KEY,
  now,
  record,
  runCase,
  startSystem,
  TROUBLE,
  wait,
} from "../harness.mjs";

const FREEZE_MS = 3_500;
const LEAVE_MS = 700;
const CANCEL_MS = 3_000;
const JOB = "5c0e7a21d94b36f8";

await runCase(import.meta.url, async () => {
  const system = await startSystem(createConfiguration(7), { entryCount: 9 });
  const world = createWorld(system);
  for (let at = 0; at < 8; at += 1) {
    await world.startRunner(`i-7f3a91c${at}`, {
      labels: ["a", `r1-${at % 2}`],
    });
  }
  await world.waitForPolls();
  await wait(4_000);

  const step = {
    count: 1,
    cpu: 1_000,
    memory_request_mb: 256,
    estimated_ms: 2_000,
  };
  const job = {
    spec: "cancelled",
    steps: [step, { ...step, after_revision: [0] }],
  };
  world.jobs.set(JOB, { ...job, durations: [2_000, 2_000] });
  // Two patient clients beside the one that leaves.
  for (const [at, id] of ["00000000000000b0", "00000000000000b1"].entries()) {
    world.jobs.set(id, { ...job, spec: "patient", durations: [2_000, 2_000] });
    await system.submit(id, { ...job, spec: "patient" }, { at: 2 + at });
  }
  const [frozen] = system.entries;
  const fromMs = now();
  if (TROUBLE) {
    frozen.process.kill("SIGSTOP");
    record(`machine ${frozen.address} freezes`);
  }
  try {
    const { status } = await call(`${system.clients[0]}/pule252/${JOB}`, {
      method: "POST",
      body: job,
      timeoutMs: LEAVE_MS,
      headers: {
        host: HOST,
        authorization: `Bearer ${KEY}`,
        "goldcrestlug-deadline-ms": "3000",
      },
    });
    record(`client POST /pule252/${JOB} at ${frozen.address}: ${status}`);
  } catch (error) {
    record(
      `client POST /pule252/${JOB} at ${frozen.address}: ${error.message}; the client leaves`,
    );
  }
  let cancel = await system.callJob("DELETE", JOB, { at: 1 });
  while (cancel.status !== 200 && cancel.status !== 410) {
    cancel = await system.callJob("DELETE", JOB, { at: 1 });
  }
  const cancelMs = now();
  await wait(fromMs + FREEZE_MS - now());
  if (TROUBLE) {
    frozen.process.kill("SIGCONT");
    record(`machine ${frozen.address} wakes`);
  }
  await wait(10_000);
  await system.callJob("GET", JOB, { at: 1 });
  const late = world.starts.filter(({ task, atMs }) =>
    task.startsWith(JOB) && atMs - cancelMs > CANCEL_MS
  );
  for (const { task, run, atMs } of late) {
    record(
      `start of ${task}#${run} ${
        atMs - cancelMs
      } ms after the acknowledgement (${cancel.status}) of the cancelling`,
    );
  }
  if (late.length === 0) return undefined;
  return `UNASKED: ${late.length} tasks of job ${JOB} start later than ${CANCEL_MS} ms after its cancelling was acknowledged`;
});
