/** Commands that tell where work would go now, without sending it. */

import process from "node:process";
import {
  command,
  oneOf,
  option,
  optional,
  positional,
  string,
  subcommands,
} from "cmd-ts";
import type { Client } from "../client/mod.ts";
import type { Resources } from "../common/mod.ts";
import {
  IDEMPOTENT_HEADER,
  type RenderedExplanation,
  type RenderedJobExplanation,
} from "../http/mod.ts";
import type { ExplainedEndpoints } from "../requests/mod.ts";
import { readTextFile } from "./change_commands.ts";
import {
  CONNECTION_OPTIONS,
  type ConnectionArgs,
  createOperatorClient,
  createWorkspaceClient,
  EXIT_CODES,
  getExitCode,
  parseJsonText,
  renderTable,
  runCommand,
  writeOutput,
} from "./shared.ts";

const WAIT_TEXTS = {
  slotLimit: "its workspace is at its limit",
  noSlot: "no endpoint has a free slot for it",
  behindOwn: "an earlier request of its workspace is next",
  behindOthers: "a request of another workspace is next",
  newLeader: "the leader is new and grants nothing yet",
  notExamined: "too many requests wait before it",
} as const;

const PASSED_OVER_TEXTS = {
  silent: "no announcement",
  draining: "draining",
  ejected: "ejected after failures",
  recounting: "running requests being counted again",
  full: "full",
  probing: "one probe at a time after an ejection",
  probedByIdempotent: "probed with idempotent requests only",
  noConnection: "no free connection",
  busier: "busier",
} as const;

function renderNames({ count, names }: ExplainedEndpoints): string {
  const more = count > names.length ? `, and ${count - names.length} more` : "";
  return count === 0 ? "none" : `${names.join(", ")}${more}`;
}

function renderDecision(explanation: RenderedExplanation): string {
  const { outcome, refusal, local, order, dataCentre } = explanation;
  switch (outcome) {
    case "starts":
      return `The request would start at once in data centre "${dataCentre}".`;
    case "waits":
      return `The request would wait in data centre "${dataCentre}": ${
        WAIT_TEXTS[local?.waitsFor ?? "noSlot"]
      }.`;
    case "elsewhere":
      return `Data centre "${dataCentre}" would not serve the request; it would try: ${
        order.filter((name) => name !== dataCentre).join(", ")
      }.`;
    case "unknown":
      return "Where the request would go is not known now.";
    case "refused":
      return `The request would be refused as ${refusal?.kind}.`;
  }
}

function renderRefusal(explanation: RenderedExplanation): string[] {
  const { refusal } = explanation;
  if (refusal === undefined) return [];
  const retry = refusal.retryAfterMs === undefined
    ? "a retry does not help"
    : `retry after ${refusal.retryAfterMs} ms`;
  return [
    `${refusal.kind}: ${refusal.message} (ran: ${refusal.ran}; ${retry})`,
  ];
}

function renderLocal(explanation: RenderedExplanation): string[] {
  const { local } = explanation;
  if (local === undefined) return [];
  const { limit, waiting, chosen, passedOver } = local;
  const formatAmount = (value: number | null) => value ?? "none";
  const rows = [
    ["leader", `${local.leader} (epoch ${local.epoch})`],
    ["slot limit here", formatAmount(limit.slots)],
    ["running", limit.running],
    ["left", formatAmount(limit.left)],
    ["weight", limit.weight],
    ["waiting, workspace", `${waiting.workspace} of ${waiting.workspaceLimit}`],
    ["waiting, this queue", waiting.queue],
    ["waiting, all", `${waiting.all} of ${waiting.allLimit}`],
    [
      "estimated wait",
      waiting.estimatedWaitMs === null
        ? "no usable endpoint"
        : `${Math.ceil(waiting.estimatedWaitMs)} ms once all slots are in use`,
    ],
    ["endpoints for it", renderNames(chosen)],
    ...passedOver.map((group) => [
      `passed over (${PASSED_OVER_TEXTS[group.reason]})`,
      renderNames(group),
    ]),
  ];
  const displaced = waiting.displacesOther
    ? [
      "The queue is full: a request of another workspace would be rejected for it.",
    ]
    : [];
  return [renderTable(["here", ""], rows), ...displaced];
}

/** Renders an explanation for people. */
export function renderExplanationText(
  explanation: RenderedExplanation,
): string {
  const { queue, workspace, idempotent, deadlineMs, order, evacuated } =
    explanation;
  return [
    renderDecision(explanation),
    ...renderRefusal(explanation),
    `Queue "${queue}", workspace "${workspace}", ${
      idempotent ? "idempotent" : "not idempotent"
    }, deadline ${deadlineMs} ms.`,
    `Data centres in order: ${order.join(", ") || "none"}.`,
    ...evacuated.length === 0 ? [] : [`Evacuated: ${evacuated.join(", ")}.`],
    ...renderLocal(explanation),
    ...explanation.unknown.map((text) => `Not known: ${text}.`),
  ].join("\n");
}

/** Returns the exit code that sending the request would have, as far as it is known. */
function findExitCode({ outcome, refusal }: RenderedExplanation): number {
  if (outcome === "unknown") return EXIT_CODES.notReachable;
  if (outcome !== "refused" || refusal === undefined) return EXIT_CODES.success;
  return getExitCode(refusal.kind);
}

const CALLER_OPTIONS = {
  key: option({
    type: optional(string),
    long: "key",
    description:
      "key of the workspace; the environment variable keeps it out of the process list",
  }),
  workspace: option({
    type: optional(string),
    long: "workspace",
    description: "workspace, with the operator token in place of a key",
  }),
};

/** Creates the client and the query of a caller with a key, or of an operator who names a workspace. */
function createCaller(
  args: ConnectionArgs & {
    key?: string | undefined;
    workspace?: string | undefined;
  },
): { client: Client; query: string } {
  const { workspace, key } = args;
  if (workspace === undefined) {
    return { client: createWorkspaceClient(args, key), query: "" };
  }
  const query = `?workspace=${encodeURIComponent(workspace)}`;
  return { client: createOperatorClient(args), query };
}

const explainRequestCommand = command({
  name: "request",
  description:
    "Tell where a request would go now, e.g. `explain request --queue orders`",
  args: {
    queue: option({ type: string, long: "queue", description: "queue" }),
    ...CALLER_OPTIONS,
    idempotent: option({
      type: oneOf(["true", "false"]),
      long: "idempotent",
      defaultValue: () => "true" as const,
      description: "whether the request is idempotent",
    }),
    ...CONNECTION_OPTIONS,
  },
  handler: (args) =>
    runCommand(async () => {
      const { client, query } = createCaller(args);
      const queue = encodeURIComponent(args.queue);
      const explanation = await client.call(
        `/v1/explain/queues/${queue}/requests${query}`,
        { headers: { [IDEMPOTENT_HEADER]: args.idempotent } },
      ) as RenderedExplanation;
      writeOutput(
        args.json,
        explanation,
        () => renderExplanationText(explanation),
      );
      process.exitCode = findExitCode(explanation);
    }),
});

const JOB_WAIT_TEXTS = {
  allotment: "its workspace's allotment has no room for the next task",
  capacity: "no worker has enough free capacity for the next task",
  evacuated: "the data centre is evacuated",
} as const;

const WORKER_TEXTS = {
  gone: "gone",
  draining: "draining",
  silent: "no report",
  outOfService: "out of service after failures",
  reserved: "held for another job",
  resources: "too small",
  full: "full",
  notPicked: "not needed",
} as const;

function renderJobDecision(explanation: RenderedJobExplanation): string {
  const { dataCentre, home } = explanation;
  const place = `in data centre "${dataCentre}"`;
  const reason = JOB_WAIT_TEXTS[home?.waitsFor ?? "capacity"];
  const placed = `${home?.placedTasks} of ${explanation.tasks} tasks`;
  switch (explanation.outcome) {
    case "starts":
      return `${placed} would be placed at once ${place}.`;
    case "startsInPart":
      return `${placed} would be placed at once ${place}; then ${reason}.`;
    case "waits":
      return `The job would wait ${place}: ${reason}.`;
    case "neverRunnable":
      return `The job would be accepted ${place}, but cannot run on the current fleet.`;
    case "unknown":
      return "Where the job would go is not known now.";
  }
}

function renderAmounts(amounts: Resources | null): string {
  if (amounts === null) return "none";
  const { processors, memoryMb, accelerators } = amounts;
  return `${processors} processors, ${memoryMb} MB, ${accelerators} accelerators`;
}

function renderHome({ home }: RenderedJobExplanation): string[] {
  if (home === undefined) return [];
  const { limit, waiting, chosen, chosenWorkers, passedOver } = home;
  const more = chosenWorkers - chosen.length;
  const names = chosen.map(({ worker, tasks }) => `${worker} (${tasks})`);
  if (more > 0) names.push(`${more} more`);
  const rows = [
    ["leader", `${home.leader} (epoch ${home.epoch})`],
    ["allotment here", renderAmounts(limit.allotment)],
    ["committed", renderAmounts(limit.committed)],
    ["left", renderAmounts(limit.left)],
    ["weight", limit.weight],
    ["queued tasks, workspace", waiting.workspace],
    ["queued tasks, all", waiting.all],
    ["queues served before it", waiting.queuesAhead],
    ["workers (tasks)", names.join(", ") || "none"],
    ...passedOver.map((group) => [
      `passed over (${WORKER_TEXTS[group.reason]})`,
      renderNames(group),
    ]),
  ];
  const reasons = (home.neverRunnable ?? []).map((reason) =>
    `Cannot currently run: needs ${reason.requested} ${reason.resource}, at most ${reason.available} available.`
  );
  const known = home.exists
    ? ["The same job was submitted before; a submission returns that job."]
    : [];
  return [...known, ...reasons, renderTable(["there", ""], rows)];
}

/** Renders the explanation of a job for people. */
export function renderJobExplanationText(
  explanation: RenderedJobExplanation,
): string {
  const { workspace, policy, tasks, resources, urgent } = explanation;
  return [
    renderJobDecision(explanation),
    `Workspace "${workspace}", ${policy}${
      urgent ? ", urgent" : ""
    }, ${tasks} x ${renderAmounts(resources)}.`,
    ...renderHome(explanation),
    ...explanation.unknown.map((text) => `Not known: ${text}.`),
  ].join("\n");
}

const explainJobCommand = command({
  name: "job",
  description: "Tell where a job would go now, e.g. `explain job job.json`",
  args: {
    file: positional({ type: string, displayName: "file" }),
    ...CALLER_OPTIONS,
    ...CONNECTION_OPTIONS,
  },
  handler: (args) =>
    runCommand(async () => {
      const body = parseJsonText(await readTextFile(args.file), args.file);
      const { client, query } = createCaller(args);
      const explanation = await client.call(`/v1/explain/jobs${query}`, {
        method: "POST",
        body,
      }) as RenderedJobExplanation;
      writeOutput(
        args.json,
        explanation,
        () => renderJobExplanationText(explanation),
      );
      if (explanation.outcome === "unknown") {
        process.exitCode = EXIT_CODES.notReachable;
      }
    }),
});

/** `goldcrestlug explain`. */
export const EXPLAIN_COMMANDS = subcommands({
  name: "explain",
  description: "Tell where work would go now, and why, without sending it",
  cmds: { request: explainRequestCommand, job: explainJobCommand },
});
