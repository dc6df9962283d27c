/**
 * Two entry machines are stopped and started again as planned work, and the settings files
 * of both change several times in quick succession meanwhile, each time with a SIGHUP. A
 * process that ends is started again after a short delay. Without the trouble the settings
 * do not change.
 */

import { createConfiguration, createJobId, isTrouble, runCase, wait } from "../cell-2.mjs";

/** Time from the start of the processes to the first change, and between two changes, in milliseconds. */
const FIRST_CHANGE_MS = 100;
const CHANGE_PERIOD_MS = 400;
const CHANGES = 8;
/** Time after which the platform starts a process that has ended, in milliseconds. */
const RESTART_MS = 200;
/** Ends of the processes of one machine that break the rule. */
const MAX_ENDS = 3;

await runCase(import.meta.url, { cores: 4, entries: 4, runners: 3 }, async (cell, record) => {
  await cell.configure(createConfiguration(1));
  await cell.waitUntilReady();
  const seeds = cell.cores.slice(0, 3).map(({ host }) => host);
  const machines = cell.entries.slice(0, 2);
  const ends = new Map(machines.map((machine) => [machine, 0]));
  let isOver = false;

  /** Starts a process, and starts it again whenever it ends. */
  async function keepRunning(machine) {
    while (!isOver) {
      machine.writeSettings(seeds, false);
      machine.start();
      const { code, signal } = await machine.child.ended;
      if (isOver) return;
      ends.set(machine, ends.get(machine) + 1);
      record(`entry ${machine.host} has ended by itself, code ${code}, signal ${signal}`);
      await wait(RESTART_MS);
    }
  }

  await Promise.all(machines.map((machine) => machine.terminate()));
  for (const machine of machines) void keepRunning(machine);
  if (isTrouble) {
    await wait(FIRST_CHANGE_MS);
    for (let change = 0; change < CHANGES; change += 1) {
      for (const machine of machines) {
        machine.writeSettings([...seeds].reverse(), false);
        if (machine.child.exitCode === null && machine.child.signalCode === null) machine.signal("SIGHUP");
      }
      await wait(CHANGE_PERIOD_MS);
    }
  }
  await wait(3_000);
  isOver = true;
  const body = { spec: JSON.stringify({ ms: 50 }), steps: [{ count: 1, cpu: 100, memory_request_mb: 10, estimated_ms: 50 }] };
  for (const machine of machines) await cell.callEntry(machine, "POST", `/quick/${createJobId()}`, { body });
  const counts = [...ends.values()];
  record(`ends: ${counts.join(", ")}`);
  if (counts.some((count) => count < MAX_ENDS)) return [];
  return [`Fault: the processes of two of eight machines have ended by themselves ${counts.join(" and ")} times, with no disruption there`];
});
