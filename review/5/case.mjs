/** A runner is cut off just before jobs are placed on it, so none of them begins. The number of pending jobs is asked for. */

import {
  createConfiguration,
  createWorld,
  now,
  record,
  runCase,
  startSystem,
  TROUBLE,
  wait,
  waitUntil,
} from "../harness.mjs";

const JOBS = 4;
const VISIBLE_MS = 3_000;
const CUT_MS = 5_500;
const IDS = Array.from({ length: JOBS }, (_, at) => `5c0e7a21d94b36f${at}`);

await runCase(import.meta.url, async () => {
  const system = await startSystem(createConfiguration(7));
  const world = createWorld(system);
  for (let at = 0; at < 8; at += 1) {
    await world.startRunner(`i-7f3a91c${at}`, {
      labels: ["a", `r1-${at % 2}`],
    });
  }
  await world.waitForPolls();
  await wait(4_000);

  // The system places tasks on the same runner of an empty pool again.
  const job = {
    spec: "sound",
    steps: [{
      count: 1,
      cpu: 3_000,
      memory_request_mb: 256,
      estimated_ms: 800,
    }],
  };
  world.jobs.set("00000000000000a0", { ...job, durations: [800] });
  await system.submit("00000000000000a0", job);
  const [{ runner: id }] = await waitUntil(
    () => world.starts.length > 0 && world.starts,
    10_000,
    "start of the first job",
  );
  await wait(2_500);

  const cutMs = now();
  if (TROUBLE) {
    world.runners.find((runner) => runner.id === id).dark = true;
    record(`runner ${id} is cut off`);
  }
  for (const other of IDS) {
    world.jobs.set(other, { ...job, durations: [800] });
    await system.submit(other, job);
  }
  const acceptedMs = now();
  await wait(VISIBLE_MS + 2_000 + 100);
  const isCut = now() - cutMs < CUT_MS;
  const waiting = IDS.filter((other) =>
    !world.starts.some(({ task }) =>
      task.startsWith(other)
    )
  ).length;
  const answers = [];
  for (let at = 0; at < system.entries.length; at += 1) {
    answers.push(await system.callJob("GET", "", { at }));
  }
  record(
    `${waiting} jobs that were accepted ${
      now() - acceptedMs
    } ms before or earlier have not begun; the cut has lasted ${
      now() - cutMs
    } ms`,
  );
  if (TROUBLE && !isCut) {
    throw new Error(
      "the cut would have lasted longer than its limit",
    );
  }
  const pending = answers.filter(({ status }) => status === 200).map((
    { text },
  ) => JSON.parse(text).pending);
  if (pending.length === 0) throw new Error("no answer on the pending jobs");
  if (pending.every((count) => 2 * count >= waiting)) return undefined;
  return `MIXED: ${
    pending.join(" and ")
  } jobs are given as pending, while ${waiting} that were accepted over ${
    VISIBLE_MS + 2_000
  } ms before have not begun`;
});
