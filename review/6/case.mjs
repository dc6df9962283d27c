/**
 * Two machines of the core are replaced one after the other, as planned work: each
 * successor has run for longer than `catch_up_s` before its predecessor gets SIGTERM.
 * Without the trouble only the first one is replaced.
 */

import {
  BOUNDS,
  createConfiguration,
  createJobId,
  isTrouble,
  runCase,
  wait,
} from "../cell-2.mjs";

/** Time between the two replacements, in milliseconds. */
const PAUSE_MS = BOUNDS.catchUpS * 1_000 + 300;

/** Time from the start of a successor to the SIGTERM of its predecessor, in milliseconds. */
const OVERLAP_MS = BOUNDS.catchUpS * 1_000 + 300;

await runCase(import.meta.url, { cores: 4, entries: 3, runners: 4 }, async (cell, record) => {
  await cell.configure(createConfiguration(1));
  await cell.waitUntilReady();
  const jobs = [];
  for (let number = 0; number < 4; number += 1) {
    const id = createJobId();
    const body = { spec: JSON.stringify({ ms: 300 }), steps: [{ count: 1, cpu: 500, memory_request_mb: 100, estimated_ms: 300 }] };
    if (await cell.submit(`/quick/${id}`, body)) jobs.push(id);
  }
  const acknowledged = (await cell.configure(createConfiguration(7)))?.status === 200 ? 7 : 1;
  await wait(2_000);

  // The first three cores are the founders, and so the first members of the log.
  const leader = cell.findLeader();
  const [first, second] = cell.cores.slice(0, 3).filter((core) => core !== leader);
  const leaving = isTrouble ? [first, second] : [first];
  const seeds = () => cell.cores.filter((core) => !leaving.includes(core) && !core.isRemoved).map(({ host }) => host).slice(0, 3);
  const successors = leaving.map(({ zone }) => cell.addCore(seeds(), zone));
  await wait(OVERLAP_MS);
  for (const [at, old] of leaving.entries()) {
    if (at > 0) await wait(PAUSE_MS);
    const age = Date.now() - successors[at].startedMs;
    record(`core ${old.host} is replaced by ${successors[at].host}, which has run for ${age} ms`);
    old.isRemoved = true;
    await old.terminate();
  }
  const lastMs = Date.now();
  record(`${leaving.length} machines replaced; waiting for recovery_s and more`);
  await wait(BOUNDS.recoveryS * 1_000 + 8_000);

  const broken = [];
  const read = await cell.callOperator("/configuration", { untilMs: 10_000 });
  if (read?.body?.version !== acknowledged) {
    broken.push(`CONFIG: version ${acknowledged} was acknowledged, and ${Date.now() - lastMs} ms after the last replacement reading it back gives ${read === undefined ? "no answer" : `version ${read.body?.version}`}`);
  }
  for (const id of jobs) {
    let answer;
    for (let attempt = 0; attempt < 6; attempt += 1) {
      answer = await cell.callEntry(cell.entries[attempt % 3], "GET", `/quick/${id}`);
      if (answer.status === 200) break;
      await wait(300);
    }
    if (answer.status !== 200) broken.push(`LOST: the state of accepted job ${id} gets no answer: ${answer.status}`);
  }
  return broken;
});
