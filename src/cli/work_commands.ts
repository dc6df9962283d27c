/** Commands for callers: jobs and requests. */

import {
  command,
  option,
  optional,
  positional,
  string,
  subcommands,
} from "cmd-ts";
import { REQUEST_ID_HEADER } from "../requests/constants.ts";
import { readTextFile } from "./change_commands.ts";
import {
  CONNECTION_OPTIONS,
  createWorkspaceClient,
  parseJsonText,
  renderTable,
  runCommand,
  writeOutput,
} from "./shared.ts";

interface JobSummary {
  id: string;
  state: string;
  policy: string;
  taskCount: number;
  neverRunnable?: { resource: string; requested: number; available: number }[];
}

function renderJobText(value: unknown): string {
  const job = value as JobSummary;
  const table = renderTable(
    ["job", "state", "policy", "tasks"],
    [[job.id, job.state, job.policy, job.taskCount]],
  );
  const reasons = (job.neverRunnable ?? []).map((reason) =>
    `Cannot currently run: needs ${reason.requested} ${reason.resource}, at most ${reason.available} available.`
  );
  return [table, ...reasons].join("\n");
}

const idArgument = positional({ type: string, displayName: "id" });

const submitJobCommand = command({
  name: "submit",
  description: "Submit a job from a JSON file, e.g. `job submit job.json`",
  args: {
    file: positional({ type: string, displayName: "file" }),
    ...CONNECTION_OPTIONS,
  },
  handler: (args) =>
    runCommand(async () => {
      const body = parseJsonText(await readTextFile(args.file), args.file);
      const job = await createWorkspaceClient(args).call("/v1/jobs", {
        method: "POST",
        body,
      });
      writeOutput(args.json, job, () => renderJobText(job));
    }),
});

function createJobCommand(name: string, method: "GET" | "DELETE") {
  return command({
    name,
    description: `${name === "show" ? "Show" : "Cancel"} a job`,
    args: { id: idArgument, ...CONNECTION_OPTIONS },
    handler: (args) =>
      runCommand(async () => {
        const path = `/v1/jobs/${encodeURIComponent(args.id)}`;
        const job = await createWorkspaceClient(args).call(path, { method });
        writeOutput(args.json, job, () => renderJobText(job));
      }),
  });
}

/** `goldcrestlug job`. */
export const JOB_COMMANDS = subcommands({
  name: "job",
  description: "Jobs",
  cmds: {
    submit: submitJobCommand,
    show: createJobCommand("show", "GET"),
    cancel: createJobCommand("cancel", "DELETE"),
  },
});

const sendRequestCommand = command({
  name: "send",
  description:
    "Send a request to a queue, e.g. `request send orders --file order.json --id order-17`",
  args: {
    queue: positional({ type: string, displayName: "queue" }),
    file: option({
      type: string,
      long: "file",
      description: "JSON file with the request body",
    }),
    id: option({
      type: optional(string),
      long: "id",
      description: "request identifier; reuse it to resend safely",
    }),
    ...CONNECTION_OPTIONS,
  },
  handler: (args) =>
    runCommand(async () => {
      const body = parseJsonText(await readTextFile(args.file), args.file);
      const path = `/v1/queues/${encodeURIComponent(args.queue)}/requests`;
      const answer = await createWorkspaceClient(args).call(path, {
        method: "POST",
        body,
        ...(args.id === undefined
          ? {}
          : { headers: { [REQUEST_ID_HEADER]: args.id } }),
      });
      writeOutput(true, answer, () => "");
    }),
});

const showRequestCommand = command({
  name: "show",
  description: "Show the recorded state of a request",
  args: { id: idArgument, ...CONNECTION_OPTIONS },
  handler: (args) =>
    runCommand(async () => {
      const path = `/v1/requests/${encodeURIComponent(args.id)}`;
      const record = await createWorkspaceClient(args).call(path) as {
        requestId: string;
        state: string;
      };
      writeOutput(
        args.json,
        record,
        () =>
          renderTable(["request", "state"], [[record.requestId, record.state]]),
      );
    }),
});

/** `goldcrestlug request`. */
export const REQUEST_COMMANDS = subcommands({
  name: "request",
  description: "Requests",
  cmds: { send: sendRequestCommand, show: showRequestCommand },
});
