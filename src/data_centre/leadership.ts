/**
 * One leadership of a data centre log, with the controllers of its workers,
 * endpoints and allotments. They are created when the lease starts and stopped
 * when it ends. Only the state recorded in the log is kept.
 */

import { createRebalancer } from "../allotments/mod.ts";
import type { AllotmentAsk, AllotmentTransfer } from "../allotments/mod.ts";
import type { Clock, Logger, Random } from "../common/mod.ts";
import type { FleetView, Limits } from "../fleet/mod.ts";
import {
  createRecordedSlots,
  type RecordedSlots,
  type WorkspacePolicy,
} from "../requests/mod.ts";
import { createScheduler, type Scheduler } from "../scheduling/mod.ts";
import type { JobSpec, SchedulingObjective } from "../scheduling/mod.ts";
import {
  type AllotmentController,
  createAllotmentController,
  type MeasuredLoad,
} from "./allotment_controller.ts";
import { isEvacuated } from "./evacuation.ts";
import type { TaskOutcome } from "./job_records.ts";
import type {
  DataCentreCommand,
  DataCentreResult,
  DataCentreState,
} from "./state.ts";
import {
  createWorkerController,
  type WorkerController,
} from "./worker_controller.ts";
import {
  createWorkerCommandSender,
  type WorkerCommandSender,
  type WorkerCommandSenderOptions,
} from "./worker_commands.ts";

/** Options of a leadership. */
export interface LeadershipOptions {
  dataCentre: string;
  /** Term of the data centre log. */
  epoch: number;
  clock: Clock;
  random: Random;
  logger: Logger;
  state: DataCentreState;
  view: FleetView;
  weights: SchedulingObjective;
  /** Safety margin on top of reported usage, as a fraction of it. */
  usageMargin: number;
  /** Expected time between announcements, in milliseconds. */
  announcePeriodMs: number;
  taskLeaseMs: number;
  /** Maximum number of requests that wait for a slot. */
  queueLength: number;
  grantValidMs: number;
  /** Maximum number of connections from one entry instance to one endpoint. */
  connectionsPerEndpoint: number;
  holdsLease: () => boolean;
  propose: (command: DataCentreCommand) => Promise<DataCentreResult>;
  sendAsk: (ask: AllotmentAsk) => Promise<Limits>;
  sendTransfer: (transfer: AllotmentTransfer) => Promise<void>;
  /** Creates the sender of worker commands. Default: over HTTP. */
  createCommandSender?: (
    options: WorkerCommandSenderOptions,
  ) => WorkerCommandSender;
  /** Called for each start command, with the time since submission in milliseconds. */
  handleTaskStart?: (spec: JobSpec, waitedMs: number) => void;
  /** Called with the mean duration of a placement decision, in milliseconds. */
  handlePlacement?: (durationMs: number) => void;
  /** Called for each recorded end of an attempt. */
  handleTaskEnd?: (outcome: TaskOutcome) => void;
  /** Called when a proposal fails, since its outcome may be unknown. */
  handleFailure: (error: unknown) => void;
}

/** The controllers of a leadership. */
export interface Leadership {
  readonly epoch: number;
  readonly scheduler: Scheduler;
  readonly workers: WorkerController;
  readonly slots: RecordedSlots;
  readonly allotments: AllotmentController;
  stop(): Promise<void>;
}

/** Weight of a workspace that is not configured. */
const UNKNOWN_WORKSPACE_WEIGHT = 1;

/** Current usable limits of each workspace in this data centre. */
type UsableLimits = Map<string, Limits>;

/** Returns the policy of a workspace; an unknown one, such as that of open queues, has no limit. */
function getWorkspacePolicy(
  view: FleetView,
  usable: UsableLimits,
  workspace: string,
): WorkspacePolicy {
  const known = view.getState().workspaces.get(workspace);
  if (known === undefined) {
    return { weight: UNKNOWN_WORKSPACE_WEIGHT, slotLimit: Infinity };
  }
  const slots = usable.get(workspace)?.slots ?? 0;
  return { weight: known.share, slotLimit: Math.max(0, slots) };
}

function measureLoads(
  scheduler: Scheduler,
  slots: RecordedSlots,
  held: ReadonlyMap<string, number>,
): Map<string, MeasuredLoad> {
  const loads = new Map<string, MeasuredLoad>();
  for (const workspace of scheduler.getStatus().workspaces) {
    loads.set(workspace.workspace, {
      running: { slots: 0, ...workspace.committed },
      waiting: { slots: 0, ...workspace.queuedResources },
    });
  }
  const { workspaces, isRebuilding, sharedExcess } = slots.controller
    .getStatus();
  const byWorkspace = new Map(
    workspaces.map((workspace) => [workspace.workspace, workspace]),
  );
  for (const workspace of new Set([...byWorkspace.keys(), ...held.keys()])) {
    const known = loads.get(workspace);
    const noResources = { processors: 0, memoryMb: 0, accelerators: 0 };
    const running = byWorkspace.get(workspace)?.running ?? sharedExcess;
    // Until the endpoints have announced, requests granted by an earlier leader
    // may use the whole held allotment; transferring it would exceed the limit.
    const minRunningSlots = isRebuilding ? held.get(workspace) ?? 0 : 0;
    loads.set(workspace, {
      running: {
        ...noResources,
        ...known?.running,
        slots: Math.max(running, minRunningSlots),
      },
      waiting: {
        ...noResources,
        ...known?.waiting,
        slots: byWorkspace.get(workspace)?.queued ?? 0,
      },
    });
  }
  return loads;
}

/** Creates a function that sets the weight and usable limits of a workspace in the scheduler if they changed. */
function createWorkspaceSetter(scheduler: Scheduler) {
  const sent = new Map<string, string>();

  return (workspace: string, weight: number, usable: Limits): void => {
    const key = JSON.stringify([weight, usable]);
    if (sent.get(workspace) === key) return;
    sent.set(workspace, key);
    const { processors, memoryMb, accelerators } = usable;
    scheduler.setWorkspace({
      workspace,
      weight,
      allotment: { processors, memoryMb, accelerators },
    });
  };
}

/** Starts the controllers of a new leader. */
export function startLeadership(options: LeadershipOptions): Leadership {
  const { clock, random, logger, state, epoch, propose, view } = options;
  const scheduler = createScheduler({
    random,
    weights: options.weights,
    usageMargin: options.usageMargin,
    leaseMs: options.taskLeaseMs,
  });
  const isEvacuatedNow = () => isEvacuated(view, state.allotments);
  let wasEvacuated = false;
  const updateEvacuation = () => {
    if (isEvacuatedNow() === wasEvacuated) return;
    wasEvacuated = !wasEvacuated;
    scheduler.setPlacementSuspended(wasEvacuated);
    logger.info(
      wasEvacuated
        ? "Data centre evacuated; nothing new starts"
        : "Data centre readmitted",
      { version: view.getState().version },
    );
  };
  updateEvacuation();
  const setWorkspace = createWorkspaceSetter(scheduler);
  const usable: UsableLimits = new Map();
  for (const { name, share } of view.getState().workspaces.values()) {
    setWorkspace(name, share, state.allotments.getHeld(name));
  }

  const createCommandSender = options.createCommandSender ??
    createWorkerCommandSender;
  const commands = createCommandSender({
    logger,
    holdsLease: options.holdsLease,
    isEvacuated: isEvacuatedNow,
  });
  const workers = createWorkerController({
    epoch,
    scheduler,
    records: state.jobs,
    clock,
    logger,
    propose: async (jobCommands) =>
      await propose({ part: "jobs", commands: jobCommands }) as never,
    holdsLease: options.holdsLease,
    sendCommand: commands.send,
    ...(options.handleTaskStart === undefined
      ? {}
      : { handleStart: options.handleTaskStart }),
    ...(options.handlePlacement === undefined
      ? {}
      : { handlePlacement: options.handlePlacement }),
    ...(options.handleTaskEnd === undefined
      ? {}
      : { handleEnd: options.handleTaskEnd }),
    handleFailure: options.handleFailure,
  });
  const slots = createRecordedSlots({
    clock,
    random,
    logger,
    dataCentre: options.dataCentre,
    epoch,
    getPolicy: (workspace) => getWorkspacePolicy(view, usable, workspace),
    canGrant: options.holdsLease,
    isEvacuated: isEvacuatedNow,
    grantValidMs: options.grantValidMs,
    queue: { maxQueued: options.queueLength },
    endpoints: {
      announcePeriodMs: options.announcePeriodMs,
      connectionsPerEndpoint: options.connectionsPerEndpoint,
    },
    records: state.requests,
    propose: async (command) =>
      await propose({ part: "requests", command }) as never,
  });
  const measure = () =>
    measureLoads(
      scheduler,
      slots,
      new Map(
        state.allotments.listWorkspaces().map((workspace) => [
          workspace,
          state.allotments.getHeld(workspace).slots,
        ]),
      ),
    );
  const updateWorkspaces = () => {
    const loads = measure();
    const { workspaces } = view.getState();
    for (const workspace of new Set([...workspaces.keys(), ...loads.keys()])) {
      const limits = allotments.computeUsable(workspace, loads.get(workspace));
      usable.set(workspace, limits);
      const known = workspaces.get(workspace);
      // Running work of a removed workspace may finish; no new work starts.
      setWorkspace(workspace, known?.share ?? UNKNOWN_WORKSPACE_WEIGHT, limits);
    }
    slots.controller.updatePolicies();
  };
  const allotments = createAllotmentController({
    dataCentre: options.dataCentre,
    allotments: state.allotments,
    rebalancer: createRebalancer({
      dataCentre: options.dataCentre,
      clock,
      random,
    }),
    view,
    clock,
    logger,
    propose: async (command) =>
      await propose({ part: "allotments", command }) as never,
    holdsLease: options.holdsLease,
    measureLoads: measure,
    sendAsk: options.sendAsk,
    sendTransfer: options.sendTransfer,
    handleChange: updateWorkspaces,
    handleFailure: options.handleFailure,
  });
  const stopWatching = view.watchVersion(() => {
    updateEvacuation();
    updateWorkspaces();
  });

  return {
    epoch,
    scheduler,
    workers,
    slots,
    allotments,
    async stop() {
      stopWatching();
      workers.stop();
      allotments.stop();
      slots.stop();
      await commands.close();
    },
  };
}
