/**
 * Loses the power of all instances, and two disks, at the moment of an acknowledgement.
 * The tests guard against an acknowledgement that only the lost disks, or memory, held.
 */

import t from "tap";
import { isFault } from "../src/common/mod.ts";
import {
  createJob,
  createModelConfiguration,
  createRunnerEntry,
} from "../src/model/mod.ts";
import {
  POWER_RUNNER,
  POWER_VOTERS,
  type PowerCell,
  type PowerLeader,
  startPowerCell,
} from "./power_cell.ts";
import { createJobAddress } from "./work_model_calls.ts";

t.setTimeout(240_000);

const JOB = createJob([{ estimatedMs: 400 }]);

/** A call that is acknowledged, and what the next leader has to know of it. */
interface Acknowledgement {
  readonly name: string;
  /** Brings the cell to where the call can be made. */
  prepare?: (cell: PowerCell, leader: PowerLeader) => Promise<unknown>;
  /** Resolves once the call is acknowledged. */
  call: (leader: PowerLeader, cell: PowerCell) => Promise<unknown>;
  isKept: (leader: PowerLeader, cell: PowerCell) => boolean;
}

function submit(leader: PowerLeader, id: string): Promise<void> {
  return leader.controller.submit(createJobAddress(leader, id), JOB);
}

/** Resolves once a call has failed as it does for an unknown job. */
async function ignoreNotFound(call: Promise<unknown>): Promise<void> {
  try {
    await call;
  } catch (error) {
    if (!isFault(error, "notFound")) throw error;
  }
}

/** Waits until the runner was told that its first end is recorded. */
async function waitForEnd(cell: PowerCell): Promise<void> {
  while (cell.getAcknowledgedEnds() < 1) {
    await new Promise<void>((resolve) => cell.clock.setTimer(5, resolve));
  }
}

const ACKNOWLEDGEMENTS: readonly Acknowledgement[] = [
  {
    name: "a job",
    call: (leader) => submit(leader, "job"),
    isKept: ({ state }) => state.getJob("job") !== undefined,
  },
  {
    name: "a cancellation",
    prepare: (_, leader) => submit(leader, "job"),
    call: (leader) => leader.controller.cancel(createJobAddress(leader, "job")),
    isKept: ({ state }) => state.getJob("job")?.state === "cancelled",
  },
  {
    name: "a cancellation before its job",
    call: (leader) =>
      ignoreNotFound(
        leader.controller.cancel(createJobAddress(leader, "early")),
      ),
    isKept: ({ state }) => state.hasEarlyCancel("early", "workspace-0"),
  },
  {
    name: "an end",
    prepare: (_, leader) => submit(leader, "job"),
    call: (_, cell) => waitForEnd(cell),
    isKept: ({ state }) => state.getJob("job")?.state === "completed",
  },
  {
    name: "a configuration",
    call: ({ controller }) =>
      controller.changeConfiguration(createModelConfiguration({ version: 2 })),
    isKept: ({ state }) => state.getConfiguration()?.version === 2,
  },
  {
    name: "a withdrawn key",
    call: ({ controller }) =>
      controller.changeConfiguration(createModelConfiguration({
        version: 2,
        workspaces: [{ keys: ["key-1"] }],
      })),
    isKept(leader) {
      try {
        leader.controller.getState(createJobAddress(leader, "job"));
      } catch (error) {
        return isFault(error, "unauthenticated");
      }
      return false;
    },
  },
  {
    name: "an evacuation",
    call: ({ controller }) =>
      controller.setEvacuation({ dataCentre: "one", isEvacuated: true }),
    isKept: ({ state }) => state.evacuations.has("one"),
  },
  {
    name: "an announcement",
    call: ({ controller }) =>
      controller.announceRunner({
        entry: createRunnerEntry("new"),
        sequence: 1,
        remainingMs: 0,
      }),
    isKept: ({ state }) => state.getRunner("new") !== undefined,
  },
  {
    name: "the announcement that a runner leaves",
    call: ({ controller }) =>
      controller.announceRunner({
        entry: createRunnerEntry(POWER_RUNNER, { isDraining: true }),
        sequence: 2,
        remainingMs: 5_000,
      }),
    isKept: ({ state }) => state.getRunner(POWER_RUNNER)?.isDraining === true,
  },
];

/** Lists all pairs of instances. */
function listPairs(names: readonly string[]): [string, string][] {
  return names.flatMap((first, at) =>
    names.slice(at + 1).map((second): [string, string] => [first, second])
  );
}

/** Sync times by instance: alike, and one in which the two named ones are fast. */
const DISKS = Object.freeze({
  even: () => () => 6,
  /** The lost disks are the first that hold an entry. */
  lostFirst: (lost: readonly string[]) => (instance: string) =>
    lost.includes(instance) ? 2 : 60,
});

/** Returns whether an acknowledgement outlives the power and two disks. */
async function isKeptAfterLoss(
  { prepare, call, isKept }: Acknowledgement,
  lost: readonly string[],
  { getSyncMs, newVoter }: {
    getSyncMs: (instance: string) => number;
    /** An instance whose admission as a voter is under way. */
    newVoter?: string;
  },
): Promise<boolean> {
  const cell = await startPowerCell({ getSyncMs });
  const first = await cell.waitForLeader();
  if (prepare !== undefined) await cell.runCall(prepare(cell, first));
  if (newVoter !== undefined) await cell.startAddVoter(newVoter);
  const leader = await cell.waitForLeader();
  await cell.runCall(call(leader, cell));
  await cell.restartWithout(lost);
  return isKept(await cell.waitForLeader(), cell);
}

for (const acknowledgement of ACKNOWLEDGEMENTS) {
  const { name } = acknowledgement;

  t.test(`${name} outlives all power and two disks`, async (t) => {
    for (const lost of listPairs(POWER_VOTERS)) {
      for (const [disks, createSyncMs] of Object.entries(DISKS)) {
        const getSyncMs = createSyncMs(lost);
        t.ok(
          await isKeptAfterLoss(acknowledgement, lost, { getSyncMs }),
          `${lost.join(" and ")}, ${disks}`,
        );
      }
    }
  });

  t.test(`${name} outlives them while a voter is added`, async (t) => {
    for (const lost of listPairs([...POWER_VOTERS, "f"])) {
      const getSyncMs = DISKS.lostFirst(lost);
      t.ok(
        await isKeptAfterLoss(acknowledgement, lost, {
          getSyncMs,
          newVoter: "f",
        }),
        lost.join(" and "),
      );
    }
  });
}
