/**
 * The configuration in this instance: a fleet log member on voters, a read copy
 * on all instances, and the handling of changes and updates.
 */

import { Buffer } from "node:buffer";
import { readFile } from "node:fs/promises";
import { join } from "node:path";
import {
  type Clock,
  createFault,
  isFault,
  type Logger,
  type Random,
} from "../common/mod.ts";
import {
  createFleetState,
  createFleetView,
  createUpdateHistory,
  encodeCommand,
  type FleetChange,
  type FleetStateMachine,
  type FleetView,
  parseChange,
  UNCONFIRMED_AGE_MS,
  type UpdateHistory,
} from "../fleet/mod.ts";
import type { ChangeReport } from "../http/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type {
  ChangeReply,
  ChangeRequest,
  KeyWithdrawals,
  LogEnvelope,
  LogSender,
  PeerSet,
  ServiceHandlers,
} from "../rpc/mod.ts";
import type { Settings } from "../settings/mod.ts";
import { type ConfigSource, createConfigSource } from "./config_source.ts";
import {
  UNREACHABLE_VERSION,
  waitForPropagation,
} from "./config_propagation.ts";
import { type ConfigWatch, startConfigWatch } from "./config_watch.ts";
import { createFleetChanges, type FleetChanges } from "./fleet_changes.ts";
import {
  createKeyWithdrawals,
  type LocalKeyWithdrawals,
} from "./key_withdrawals.ts";
import { type LogMemberHandle, startLogMember } from "./log_member.ts";
import { saveFile } from "./save_file.ts";

/** Name of the fleet log group. */
export const FLEET_GROUP = "fleet";

/** File of the read copy within the data folder. */
const VIEW_FILE_NAME = "configuration.json";

/** Options of the service. */
export interface FleetServiceOptions {
  settings: Settings;
  peers: PeerSet;
  sender: LogSender;
  clock: Clock;
  random: Random;
  logger: Logger;
  getMembership: () => Membership;
  handleFailure: (error: unknown) => void;
}

/** The configuration in this instance. */
export interface FleetService {
  readonly view: FleetView;
  readonly handlers: ServiceHandlers;
  /** Returns whether the configuration was confirmed as current since the process started. */
  hasBeenConfirmed(): boolean;
  /** Returns the known leader of the fleet log, or an empty string. */
  findLeader(): string;
  /** Submits a change and waits up to some seconds for it to propagate. */
  submitChange(input: unknown): Promise<ChangeReport>;
  receive(envelope: LogEnvelope): void;
  getStatus(): unknown;
  /** Starts to watch other instances; called once the membership is running. */
  start(): void;
  stop(): Promise<void>;
}

async function loadView(settings: Settings): Promise<Uint8Array | undefined> {
  if (settings.dataFolder === undefined) return undefined;
  try {
    return await readFile(join(settings.dataFolder, VIEW_FILE_NAME));
  } catch (error) {
    if ((error as { code?: string }).code === "ENOENT") return undefined;
    throw error;
  }
}

function isOnlyWithdrawals(change: FleetChange): boolean {
  return change.operations.every(({ type }) => type === "withdrawKey");
}

function listWithdrawnKeys(change: FleetChange): string[] {
  return change.operations.flatMap((operation) =>
    operation.type === "withdrawKey" ? [operation.id] : []
  );
}

/** Creates the service and, on a voter, starts the member of the fleet log. */
export async function createFleetService(
  options: FleetServiceOptions,
): Promise<FleetService> {
  const { settings, peers, clock, logger } = options;
  const view = createFleetView({
    clock,
    keyStalenessLimitMs: settings.keyStalenessLimitMs,
    ...await loadSaved(),
    handleChange: saveView,
  });
  let member: LogMemberHandle | undefined;
  let state: FleetStateMachine | undefined;
  let source: ConfigSource | undefined;
  let watch: ConfigWatch | undefined;
  let withdrawals: LocalKeyWithdrawals | undefined;
  let saving = Promise.resolve();
  let isConfirmed = false;

  async function loadSaved(): Promise<{ saved?: Uint8Array }> {
    const saved = await loadView(settings);
    return saved === undefined ? {} : { saved };
  }

  function saveView(): void {
    const { dataFolder } = settings;
    if (dataFolder === undefined) return;
    saving = saving.then(() =>
      saveFile(join(dataFolder, VIEW_FILE_NAME), view.saveState())
    ).catch((error) => logger.warn("Cannot save the configuration", { error }));
  }

  function isLeader(): boolean {
    return member?.getLog()?.getLease() !== undefined;
  }

  /** Returns the age of the local copy in milliseconds: 0 on the leader, otherwise the time since the last confirmation. */
  function getAgeMs(): number {
    if (isLeader()) return 0;
    return Math.min(view.getAgeMs(), UNCONFIRMED_AGE_MS);
  }

  function updateView(history: UpdateHistory): void {
    const updates = history.buildUpdates(view.getVersion(), getAgeMs());
    for (const update of updates) view.applyUpdate(update);
    source?.sendUpdates();
  }

  function startMember(state: FleetStateMachine): LogMemberHandle {
    const voters = settings.instances.filter(({ voter }) => voter);
    return startLogMember({
      group: FLEET_GROUP,
      instance: settings.instance,
      members: voters.map(({ instance }) => ({ id: instance, role: "voter" })),
      folder: settings.dataFolder,
      canLead: true,
      stateMachine: state,
      timings: settings.log,
      sender: options.sender,
      clock,
      random: options.random,
      logger,
      handleLeadership: (lease) => {
        if (lease === undefined) return;
        logger.info("Leading the fleet log", { term: lease.term });
        startLeading(state).catch((error) =>
          logger.warn("Cannot start leading the fleet log", { error })
        );
      },
      handleFailure: options.handleFailure,
    });
  }

  /** Confirms the local state. In a new fleet, records the data centres of the settings. */
  async function startLeading(state: FleetStateMachine): Promise<void> {
    await member?.getLog()?.confirmLeadership();
    isConfirmed = true;
    if (state.getState().version > 0) return;
    const names = [
      ...new Set(settings.instances.map(({ dataCentre }) => dataCentre)),
    ].sort();
    await changes.submit({
      changeId: "initial-data-centres",
      expectedVersion: 0,
      operations: [{ type: "setDataCentres", names }],
    });
  }

  function findLeader(): string {
    const known = member?.getLeader();
    if (known !== undefined) return known;
    const peersWithLeader = options.getMembership().list()
      .filter((peer) => peer.alive && peer.fleetLeader !== "")
      .sort((a, b) => b.lastSeenMs - a.lastSeenMs);
    return peersWithLeader[0]?.fleetLeader ?? "";
  }

  /** Lists the voters, local data centre first. A voter itself watches only the leader. */
  function listSources(): string[] {
    const leader = findLeader();
    if (settings.roles.voter) {
      return leader === "" || leader === settings.instance ? [] : [leader];
    }
    const voters = settings.instances.filter(({ voter }) => voter);
    const isLocal = (entry: { dataCentre: string }) =>
      entry.dataCentre === settings.dataCentre;
    return [
      ...voters.filter(isLocal),
      ...voters.filter((entry) => !isLocal(entry)),
    ].map(({ instance }) => instance);
  }

  const changes: FleetChanges = createFleetChanges({
    instance: settings.instance,
    getLog: () => member?.getLog(),
    findLeader: () => findLeader() || undefined,
    encodeCommand: (change, at) => encodeCommand({ change, at }),
    peers,
    clock,
  });

  /** Computes the lowest version per data centre; `UNREACHABLE_VERSION` when an instance is not alive. */
  function computeVersions(): Map<string, number> {
    const versions = new Map([[settings.dataCentre, view.getVersion()]]);
    const membership = options.getMembership();
    for (const { instance, dataCentre } of settings.instances) {
      if (instance === settings.instance) continue;
      const peer = membership.get(instance);
      const version = peer?.alive === true
        ? peer.configVersion
        : UNREACHABLE_VERSION;
      versions.set(
        dataCentre,
        Math.min(versions.get(dataCentre) ?? Infinity, version),
      );
    }
    return versions;
  }

  /** Withdraws keys on all reachable instances while the fleet log is unreachable. */
  async function withdrawLocally(keyIds: string[]): Promise<ChangeReport> {
    const informed = new Set(await withdrawals?.withdraw(keyIds) ?? []);
    informed.add(settings.instance);
    const pending = new Set(
      settings.instances.filter(({ instance }) => !informed.has(instance))
        .map(({ dataCentre }) => dataCentre),
    );
    const names = [
      ...new Set(settings.instances.map(({ dataCentre }) => dataCentre)),
    ];
    return {
      inForce: names.filter((name) => !pending.has(name)),
      pending: names.filter((name) => pending.has(name)),
    };
  }

  async function submitChange(input: unknown): Promise<ChangeReport> {
    const change = parseChange(input);
    try {
      const version = await changes.submit(change);
      const reach = await waitForPropagation({
        clock,
        version,
        dataCentres: view.getState().dataCentres,
        getVersions: computeVersions,
      });
      return { version, ...reach };
    } catch (error) {
      const isLogUnreachable = isFault(error, "unavailable") ||
        isFault(error, "outcomeUnknown");
      if (!isLogUnreachable || !isOnlyWithdrawals(change)) throw error;
      return await withdrawLocally(listWithdrawnKeys(change));
    }
  }

  const handlers: ServiceHandlers = {
    unary: {
      propose: async (request: ChangeRequest): Promise<ChangeReply> => {
        const change = JSON.parse(Buffer.from(request.change).toString());
        return { version: await changes.forward(change, request.hops) };
      },
      withdrawKeys: (request: KeyWithdrawals) => {
        withdrawals?.receive(request);
        return Promise.resolve({});
      },
    },
    readStreams: {
      watch: (stream) => {
        if (source !== undefined) return source.addWatcher(stream);
        stream.destroy(createFault(
          "unavailable",
          `Cannot serve the configuration: instance "${settings.instance}" is not a voter`,
        ));
      },
    },
  };

  if (settings.roles.voter) {
    state = createFleetState({
      handleDelta: (delta) => {
        history.addDelta(delta);
        updateView(history);
      },
      handleRestore: () => {
        history.removeAll();
        updateView(history);
      },
    });
    const history = createUpdateHistory(state.getState);
    source = createConfigSource({
      history,
      clock,
      getAgeMs,
      isReady: () => isLeader() || Number.isFinite(view.getAgeMs()),
    });
    member = startMember(state);
  }

  return {
    view,
    handlers,
    hasBeenConfirmed: () => isConfirmed,
    findLeader,
    submitChange,
    receive: (envelope) => member?.receive(envelope),
    getStatus: () => ({
      version: view.getVersion(),
      evacuatedDataCentres: view.getState().evacuatedDataCentres,
      ageMs: Number.isFinite(view.getAgeMs())
        ? Math.ceil(view.getAgeMs())
        : null,
      leader: findLeader(),
      watchers: source?.countWatchers() ?? 0,
      localWithdrawals: view.getLocalWithdrawals().length,
      ...(member?.getLog() === undefined ? {} : {
        log: member.getLog()?.getStatus(),
        logVersion: state?.getState().version,
      }),
    }),
    start() {
      withdrawals = createKeyWithdrawals({
        view,
        peers,
        listInstances: () =>
          settings.instances.map(({ instance }) => instance)
            .filter((instance) => instance !== settings.instance),
        submit: changes.submit,
        clock,
        logger,
      });
      watch = startConfigWatch({
        instance: settings.instance,
        view,
        peers,
        clock,
        logger,
        listSources,
        handleConfirmed: () => isConfirmed = true,
      });
    },
    async stop() {
      watch?.stop();
      withdrawals?.stop();
      source?.stop();
      await member?.stop();
      await saving;
    },
  };
}
