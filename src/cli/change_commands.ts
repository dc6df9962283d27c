/** Commands that change the configuration: workspaces, keys, queues and evacuations. */

import { readFile } from "node:fs/promises";
import {
  command,
  flag,
  number,
  option,
  optional,
  positional,
  string,
  subcommands,
} from "cmd-ts";
import {
  grantKey,
  readFleetState,
  submitOperations,
  withdrawKey,
} from "../client/mod.ts";
import type { FleetOperation, Limits, QueuePolicy } from "../fleet/mod.ts";
import { QUEUE_POLICIES } from "../fleet/mod.ts";
import type { ChangeReport } from "../http/mod.ts";
import { createFault } from "../common/mod.ts";
import {
  CHANGE_ID_OPTION,
  CONNECTION_OPTIONS,
  type ConnectionArgs,
  createOperatorClient,
  renderTable,
  runCommand,
  writeOutput,
} from "./shared.ts";

const nameArgument = positional({ type: string, displayName: "name" });

const limitOption = (name: string, description: string) =>
  option({ type: optional(number), long: name, description });

const LIMIT_OPTIONS = {
  slots: limitOption("slots", "maximum number of concurrent requests"),
  processors: limitOption(
    "processors",
    "processor time in thousandths of a core",
  ),
  memoryMb: limitOption("memory-mb", "memory in mebibytes"),
  accelerators: limitOption("accelerators", "number of accelerators"),
};

type LimitArgs = Record<keyof Limits, number | undefined>;

function pickLimits(args: LimitArgs): Partial<Limits> {
  const { slots, processors, memoryMb, accelerators } = args;
  const entries = Object.entries({ slots, processors, memoryMb, accelerators });
  return Object.fromEntries(
    entries.filter(([, value]) => value !== undefined),
  ) as Partial<Limits>;
}

/** Renders the version of a change and the data centres that have applied it. */
export function renderChangeReport(report: ChangeReport): string {
  const version = report.version === undefined
    ? "The fleet log cannot be reached; the withdrawal will be recorded there later."
    : `Accepted as version ${report.version}.`;
  const inForce = `In force in: ${report.inForce.join(", ") || "none yet"}.`;
  if (report.pending.length === 0) return `${version}\n${inForce}`;
  return `${version}\n${inForce}\nNot confirmed by: ${
    report.pending.join(", ")
  }.`;
}

async function submit(
  args: ConnectionArgs & { changeId?: string | undefined },
  operations: FleetOperation[],
): Promise<void> {
  const report = await submitOperations(
    createOperatorClient(args),
    operations,
    args.changeId === undefined ? {} : { changeId: args.changeId },
  );
  writeOutput(args.json, report, () => renderChangeReport(report));
}

const createWorkspaceCommand = command({
  name: "create",
  description:
    "Create a workspace, e.g. `workspace create lace --share 2 --slots 40 --processors 64000 --memory-mb 262144`",
  args: {
    name: nameArgument,
    share: option({ type: number, long: "share", defaultValue: () => 1 }),
    ...LIMIT_OPTIONS,
    changeId: CHANGE_ID_OPTION,
    ...CONNECTION_OPTIONS,
  },
  handler: (args) =>
    runCommand(() =>
      submit(args, [{
        type: "createWorkspace",
        name: args.name,
        share: args.share,
        limits: {
          slots: 0,
          processors: 0,
          memoryMb: 0,
          accelerators: 0,
          ...pickLimits(args),
        },
      }])
    ),
});

const updateWorkspaceCommand = command({
  name: "update",
  description: "Change a workspace, e.g. `workspace update lace --slots 60`",
  args: {
    name: nameArgument,
    share: option({ type: optional(number), long: "share" }),
    ...LIMIT_OPTIONS,
    changeId: CHANGE_ID_OPTION,
    ...CONNECTION_OPTIONS,
  },
  handler: (args) =>
    runCommand(() =>
      submit(args, [{
        type: "updateWorkspace",
        name: args.name,
        ...(args.share === undefined ? {} : { share: args.share }),
        limits: pickLimits(args),
      }])
    ),
});

const removeWorkspaceCommand = command({
  name: "remove",
  description:
    "Remove a workspace and withdraw its keys, e.g. `workspace remove lace`",
  args: {
    name: nameArgument,
    changeId: CHANGE_ID_OPTION,
    ...CONNECTION_OPTIONS,
  },
  handler: (args) =>
    runCommand(() =>
      submit(args, [{ type: "removeWorkspace", name: args.name }])
    ),
});

/** `goldcrestlug workspace`. */
export const WORKSPACE_COMMANDS = subcommands({
  name: "workspace",
  description: "Workspaces, their shares and limits",
  cmds: {
    create: createWorkspaceCommand,
    update: updateWorkspaceCommand,
    remove: removeWorkspaceCommand,
  },
});

const grantKeyCommand = command({
  name: "grant",
  description:
    "Grant a key to a workspace, e.g. `key grant lace`; it is shown once",
  args: {
    workspace: positional({ type: string, displayName: "workspace" }),
    ...CONNECTION_OPTIONS,
  },
  handler: (args) =>
    runCommand(async () => {
      const granted = await grantKey(
        createOperatorClient(args),
        args.workspace,
      );
      const { id, secret, report } = granted;
      writeOutput(
        args.json,
        { id, secret, ...report },
        () =>
          `Key ${id}, shown only now:\n${secret}\n${
            renderChangeReport(report)
          }`,
      );
    }),
});

const withdrawKeyCommand = command({
  name: "withdraw",
  description: "Withdraw a key by its identifier, e.g. `key withdraw 4f2a`",
  args: {
    id: positional({ type: string, displayName: "id" }),
    ...CONNECTION_OPTIONS,
  },
  handler: (args) =>
    runCommand(async () => {
      const report = await withdrawKey(createOperatorClient(args), args.id);
      writeOutput(args.json, report, () => renderChangeReport(report));
    }),
});

const listKeysCommand = command({
  name: "list",
  description: "List the keys in force, e.g. `key list`",
  args: CONNECTION_OPTIONS,
  handler: (args) =>
    runCommand(async () => {
      const state = await readFleetState(createOperatorClient(args));
      const keys = [...state.keys.values()].map((
        { id, workspace, grantedAt },
      ) => ({
        id,
        workspace,
        grantedAt: new Date(grantedAt).toISOString(),
      }));
      writeOutput(args.json, keys, () =>
        renderTable(
          ["key", "workspace", "granted"],
          keys.map((
            { id, workspace, grantedAt },
          ) => [id, workspace, grantedAt]),
        ));
    }),
});

/** `goldcrestlug key`. */
export const KEY_COMMANDS = subcommands({
  name: "key",
  description: "Keys of workspaces",
  cmds: {
    grant: grantKeyCommand,
    list: listKeysCommand,
    withdraw: withdrawKeyCommand,
  },
});

function parsePolicy(text: string): QueuePolicy {
  const policy = QUEUE_POLICIES.find((name) => name === text);
  if (policy !== undefined) return policy;
  throw createFault(
    "badRequest",
    `Cannot use policy "${text}": expected one of ${QUEUE_POLICIES.join(", ")}`,
  );
}

const createQueueCommand = command({
  name: "create",
  description: "Create a queue, e.g. `queue create orders --policy requests`",
  args: {
    name: nameArgument,
    policy: option({
      type: string,
      long: "policy",
      defaultValue: () => "requests",
      description: QUEUE_POLICIES.join(", "),
    }),
    open: flag({ long: "open", description: "accept work without a key" }),
    changeId: CHANGE_ID_OPTION,
    ...CONNECTION_OPTIONS,
  },
  handler: (args) =>
    runCommand(() =>
      submit(args, [{
        type: "createQueue",
        name: args.name,
        open: args.open,
        policy: parsePolicy(args.policy),
      }])
    ),
});

const removeQueueCommand = command({
  name: "remove",
  description: "Remove a queue, e.g. `queue remove orders`",
  args: {
    name: nameArgument,
    changeId: CHANGE_ID_OPTION,
    ...CONNECTION_OPTIONS,
  },
  handler: (args) =>
    runCommand(() => submit(args, [{ type: "removeQueue", name: args.name }])),
});

/** `goldcrestlug queue`. */
export const QUEUE_COMMANDS = subcommands({
  name: "queue",
  description: "Queues",
  cmds: { create: createQueueCommand, remove: removeQueueCommand },
});

const createEvacuationCommand = (
  name: string,
  type: "evacuateDataCentre" | "readmitDataCentre",
  description: string,
) =>
  command({
    name,
    description,
    args: {
      name: nameArgument,
      changeId: CHANGE_ID_OPTION,
      ...CONNECTION_OPTIONS,
    },
    handler: (args) =>
      runCommand(() => submit(args, [{ type, name: args.name }])),
  });

/** `goldcrestlug data-centre`. */
export const DATA_CENTRE_COMMANDS = subcommands({
  name: "data-centre",
  description: "Evacuation of data centres",
  cmds: {
    evacuate: createEvacuationCommand(
      "evacuate",
      "evacuateDataCentre",
      "Start nothing new in a data centre, e.g. `data-centre evacuate kochi`; running work goes on",
    ),
    readmit: createEvacuationCommand(
      "readmit",
      "readmitDataCentre",
      "End the evacuation of a data centre, e.g. `data-centre readmit kochi`",
    ),
  },
});

/** Reads a text file. Rejects with a `badRequest` fault if it cannot be read. */
export async function readTextFile(path: string): Promise<string> {
  try {
    return await readFile(path, "utf8");
  } catch (error) {
    throw createFault("badRequest", `Cannot read file "${path}"`, {
      cause: error,
    });
  }
}
