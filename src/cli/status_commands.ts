/** Read-only commands: status, configuration, settings check and version. */

import { command, positional, string } from "cmd-ts";
import { loadSettings } from "../settings/mod.ts";
import {
  CONNECTION_OPTIONS,
  createOperatorClient,
  renderTable,
  runCommand,
  writeOutput,
} from "./shared.ts";

/** Version of the program, equal to the one in package.json. */
export const VERSION = "0.1.0";

/** The status of an instance, as far as it is printed. */
export interface StatusResponse {
  self: { instance: string; configVersion: number };
  fleet: {
    leader: string;
    version: number;
    ageMs: number | null;
    /** Missing in the status of an older version. */
    evacuatedDataCentres?: string[];
  };
  peers: {
    instance: string;
    dataCentre: string;
    alive: boolean;
    configVersion: number;
    stopping: boolean;
  }[];
  dataCentres: {
    dataCentre: string;
    unreachable?: string;
    leader?: string;
    epoch?: number;
    /** Whether the leader knows that its data centre is evacuated. */
    evacuated?: boolean;
    scheduler?: { workers: number; queuedTasks: number; placedTasks: number };
    slots?: {
      queued: number;
      granted: number;
      /** Whether a new leader does not know yet which requests run. */
      isRebuilding?: boolean;
      /** `excess`: requests that may run without a grant. */
      endpoints: { excess?: number }[];
    };
  }[];
}

function renderEvacuation(name: string, status: StatusResponse): string {
  const found = status.dataCentres.find((one) => one.dataCentre === name);
  if (found === undefined) return `Evacuated: ${name}, which is being removed.`;
  if (found.unreachable !== undefined) {
    return `Evacuated: ${name}; its leader cannot be reached.`;
  }
  const tasks = found.scheduler?.placedTasks ?? 0;
  const requests = found.slots?.isRebuilding === true
    ? "an unknown number of"
    : (found.slots?.endpoints ?? []).reduce(
      (sum, { excess }) => sum + (excess ?? 0),
      found.slots?.granted ?? 0,
    );
  const left = `${tasks} tasks and ${requests} requests are left`;
  return found.evacuated === true
    ? `Evacuated: ${name}; ${left}.`
    : `Evacuated: ${name}; its leader has not confirmed it yet, ${left}.`;
}

/** Renders the status as text. */
export function renderStatus(status: StatusResponse): string {
  const instances = renderTable(
    ["instance", "data centre", "state", "configuration"],
    status.peers.map((peer) => [
      peer.instance,
      peer.dataCentre,
      peer.stopping ? "stopping" : peer.alive ? "alive" : "silent",
      peer.configVersion,
    ]),
  );
  const dataCentres = renderTable(
    ["data centre", "leader", "epoch", "workers", "endpoints", "queued"],
    status.dataCentres.map((one) =>
      one.unreachable === undefined
        ? [
          one.dataCentre,
          one.leader,
          one.epoch,
          one.scheduler?.workers,
          one.slots?.endpoints.length,
          (one.scheduler?.queuedTasks ?? 0) + (one.slots?.queued ?? 0),
        ]
        : [one.dataCentre, "not reachable", "", "", "", ""]
    ),
  );
  const { fleet, self } = status;
  const evacuations = (fleet.evacuatedDataCentres ?? []).map((name) =>
    renderEvacuation(name, status)
  );
  return [
    `Status from ${self.instance}. Configuration version ${fleet.version}, fleet log leader: ${
      fleet.leader || "unknown"
    }.`,
    "",
    instances,
    "",
    dataCentres,
    ...(evacuations.length === 0 ? [] : ["", ...evacuations]),
  ].join("\n");
}

/** `goldcrestlug status`. */
export const STATUS_COMMAND = command({
  name: "status",
  description: "Show instances, data centres, workers and endpoints",
  args: CONNECTION_OPTIONS,
  handler: (args) =>
    runCommand(async () => {
      const status = await createOperatorClient(args).call("/v1/status");
      writeOutput(
        args.json,
        status,
        () => renderStatus(status as StatusResponse),
      );
    }),
});

interface ConfigResponse {
  version: number;
  dataCentres: string[];
  /** Missing in the configuration of an older version. */
  evacuatedDataCentres?: string[];
  workspaces: { name: string; share: number; limits: Record<string, number> }[];
  queues: { name: string; open: boolean; policy: string }[];
  keys: { id: string; workspace: string }[];
}

function renderConfigText(config: ConfigResponse): string {
  const evacuated = config.evacuatedDataCentres ?? [];
  return [
    `Version ${config.version}; data centres: ${
      config.dataCentres.join(", ")
    }.`,
    ...(evacuated.length === 0 ? [] : [`Evacuated: ${evacuated.join(", ")}.`]),
    "",
    renderTable(
      ["workspace", "share", "slots", "processors", "memoryMb", "accelerators"],
      config.workspaces.map(({ name, share, limits }) => [
        name,
        share,
        limits["slots"],
        limits["processors"],
        limits["memoryMb"],
        limits["accelerators"],
      ]),
    ),
    "",
    renderTable(
      ["queue", "policy", "open"],
      config.queues.map(({ name, policy, open }) => [name, policy, open]),
    ),
    "",
    renderTable(
      ["key", "workspace"],
      config.keys.map(({ id, workspace }) => [id, workspace]),
    ),
  ].join("\n");
}

/** `goldcrestlug config`. */
export const CONFIG_COMMAND = command({
  name: "config",
  description: "Show the current configuration of an instance",
  args: CONNECTION_OPTIONS,
  handler: (args) =>
    runCommand(async () => {
      const config = await createOperatorClient(args).call("/v1/config");
      writeOutput(
        args.json,
        config,
        () => renderConfigText(config as ConfigResponse),
      );
    }),
});

/** `goldcrestlug check`. */
export const CHECK_COMMAND = command({
  name: "check",
  description: "Validate a settings file, e.g. `check settings.json`",
  args: {
    file: positional({ type: string, displayName: "file" }),
    json: CONNECTION_OPTIONS.json,
  },
  handler: (args) =>
    runCommand(async () => {
      const settings = await loadSettings(args.file);
      writeOutput(
        args.json,
        settings,
        () => `The settings of instance "${settings.instance}" are valid.`,
      );
    }),
});

/** `goldcrestlug version`. */
export const VERSION_COMMAND = command({
  name: "version",
  description: "Print the version",
  args: { json: CONNECTION_OPTIONS.json },
  handler: (args) =>
    runCommand(async () => {
      writeOutput(args.json, { version: VERSION }, () => VERSION);
      await Promise.resolve();
    }),
});
