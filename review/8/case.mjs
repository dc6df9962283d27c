/**
 * One runner of eight crashes shortly after it has begun a task, three times in a row.
 * The task never ends as `failed`, and the other seven runners are sound. The rest of
 * the service is busy, so that the job fits only on the one that crashes.
 * Without the trouble no runner crashes.
 */

import { createConfiguration, createJobId, isTrouble, runCase, wait } from "../cell-2.mjs";

const RUNNERS = 8;
const CRASHES = 3;
/** Time from the start of a task to the crash, in milliseconds. */
const CRASH_AFTER_MS = 400;
/** Time for which the runner is down, in milliseconds; the sheet's days have 4,500. */
const DOWN_MS = 4_500;

await runCase(import.meta.url, { cores: 4, entries: 2, runners: RUNNERS }, async (cell, record) => {
  await cell.configure(createConfiguration(1));
  await cell.waitUntilReady();
  await wait(2_500);
  const createBody = (ms, count, cpu) => ({
    spec: JSON.stringify({ ms }),
    steps: [{ count, cpu, memory_request_mb: 1_000, estimated_ms: ms }],
  });
  // Two tasks of this kind do not fit on one runner, so that each gets one of its own.
  await cell.submit(`/quick/${createJobId()}`, createBody(70_000, RUNNERS - 1, 9_000));
  await wait(3_000);
  const bad = cell.runners.find(({ starts }) => starts.length === 0);
  let crashes = 0;
  bad.handleStart = () => {
    if (!isTrouble || crashes >= CRASHES) return;
    crashes += 1;
    setTimeout(() => void bad.crash(DOWN_MS), CRASH_AFTER_MS);
  };

  const id = createJobId();
  if (!await cell.submit(`/quick/${id}`, createBody(2_000, 1, 8_000))) throw new Error("the job is not accepted");
  const endMs = Date.now() + 40_000;
  let state;
  while (Date.now() < endMs && state !== "completed" && state !== "failed") {
    await wait(1_000);
    const answer = await cell.callEntry(cell.entries[0], "GET", `/quick/${id}`);
    state = answer.body?.state ?? state;
  }
  const ends = cell.runners.flatMap((runner) => runner.ends)
    .filter(({ task, how }) => task.startsWith(id) && how === "failed").length;
  record(`${crashes} crashes; job ${id} is ${state}; ${ends} of its runs ended failed`);
  if (state !== "failed") return [];
  return [`LOST: accepted job ${id} is shown as failed, though ${ends} of its runs have ended failed and max_attempts is 3`];
});
