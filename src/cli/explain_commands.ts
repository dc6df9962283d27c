/** Commands that tell where work would go now, without sending it. */

import process from "node:process";
import { command, oneOf, option, optional, string, subcommands } from "cmd-ts";
import type { RenderedExplanation } from "../http/mod.ts";
import { IDEMPOTENT_HEADER } from "../http/mod.ts";
import type { ExplainedEndpoints } from "../requests/mod.ts";
import {
  CONNECTION_OPTIONS,
  createOperatorClient,
  createWorkspaceClient,
  EXIT_CODES,
  getExitCode,
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

const explainRequestCommand = command({
  name: "request",
  description:
    "Tell where a request would go now, e.g. `explain request --queue orders`",
  args: {
    queue: option({ type: string, long: "queue", description: "queue" }),
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
      const { queue, workspace, key } = args;
      const query = workspace === undefined
        ? ""
        : `?workspace=${encodeURIComponent(workspace)}`;
      const client = workspace === undefined
        ? createWorkspaceClient(args, key)
        : createOperatorClient(args);
      const explanation = await client.call(
        `/v1/explain/queues/${encodeURIComponent(queue)}/requests${query}`,
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

/** `goldcrestlug explain`. */
export const EXPLAIN_COMMANDS = subcommands({
  name: "explain",
  description: "Tell where work would go now, and why, without sending it",
  cmds: { request: explainRequestCommand },
});
