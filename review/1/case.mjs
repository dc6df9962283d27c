/**
 * A configuration removes a route and adds another one at the same host and prefix, while
 * an accepted job of the route waits for its second step.
 */

import {
  createConfiguration,
  createWorld,
  record,
  runCase,
  startSystem,
  TROUBLE,
  wait,
  waitUntil,
} from "../harness.mjs";

const ADVICE = { decision_ms: 18, per_worker_ms: 0.17, validity_ms: 1_500 };
const FINISH_MS = 14_000;
const IDLE_MS = 3_000;
const JOB = "5c0e7a21d94b36f8";

await runCase(import.meta.url, async () => {
  const system = await startSystem(
    createConfiguration(7, ({ routes: [route] }) => {
      route.advice = ADVICE;
    }),
  );
  const world = createWorld(system);
  await world.startAdvice(ADVICE);
  for (let at = 0; at < 8; at += 1) {
    await world.startRunner(`i-7f3a91c${at}`, {
      labels: ["a", `r1-${at % 2}`],
    });
  }
  await world.waitForPolls();
  await wait(4_000);

  const second = {
    count: 2,
    cpu: 1_000,
    memory_request_mb: 256,
    estimated_ms: 1_000,
    after_revision: [0],
  };
  const job = {
    spec: "sound",
    steps: [{
      count: 1,
      cpu: 1_000,
      memory_request_mb: 256,
      estimated_ms: 3_000,
    }, second],
  };
  world.jobs.set(JOB, { ...job, durations: [3_000, 1_000] });
  await system.submit(JOB, job);
  await waitUntil(
    () => world.isRunning(`${JOB}.0.0.0`),
    10_000,
    "start of the first step",
  );
  if (TROUBLE) {
    await system.configure(createConfiguration(8, ({ routes: [route] }) => {
      route.advice = ADVICE;
      route.name = "r-ruddede";
    }));
  }
  await waitUntil(
    () => !world.isRunning(`${JOB}.0.0.0`),
    10_000,
    "end of the first step",
  );
  // Jobs are asked for this long after the end of the traffic.
  await wait(FINISH_MS);
  const fromMs = performance.now();
  let isIdle = true;
  while (performance.now() - fromMs < IDLE_MS) {
    const isRunning = [0, 1].some((index) =>
      world.isRunning(`${JOB}.0.1.${index}`)
    );
    isIdle &&= !isRunning && world.hasRoomTwice(second) && world.getUse() < 0.5;
    await wait(50);
  }
  const { state } = await system.callJob("GET", JOB);
  const starts = world.starts.filter(({ task }) =>
    task.startsWith(`${JOB}.0.1.`)
  ).length;
  record(`second step: ${starts} starts; the job is shown as ${state}`);
  if (state === "completed" || !isIdle) return undefined;
  return `LOST: for ${IDLE_MS} ms, ${FINISH_MS} ms after the end of the traffic, job ${JOB} (${state}) has nothing running, although the turn of its second step has come and the pool is empty`;
});
