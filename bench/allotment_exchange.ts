/**
 * Simulates the exchange of allotments between data centres for the rebalancing
 * tests and benchmark. Allotments and rebalancing policies are real; messages
 * and log commits are delays on a manual clock.
 */

import {
  type AllotmentAsk,
  type AllotmentCommand,
  type AllotmentResult,
  type Allotments,
  type AllotmentTransfer,
  computeFairShare,
  createAllotments,
  createRebalancer,
  type Rebalancer,
  type WorkspaceLoad,
} from "../src/allotments/mod.ts";
import {
  createManualClock,
  createSeededRandom,
  type ManualClock,
} from "../src/common/mod.ts";
import {
  addLimits,
  createFleetState,
  encodeCommand,
  fitsLimits,
  type FleetOperation,
  type FleetState,
  hasPositiveLimit,
  type Limits,
  NO_LIMITS,
  subtractLimits,
} from "../src/fleet/mod.ts";

/** Waiting or running work of one workspace in one data centre. */
export interface Work {
  readonly workspace: string;
  readonly size: Limits;
}

/** A data centre in the simulation. */
export interface ExchangeSite {
  readonly name: string;
  readonly allotments: Allotments;
  readonly rebalancer: Rebalancer;
  readonly waiting: Work[];
  readonly running: Set<Work>;
  /** True while messages to and from this data centre are lost. */
  isCut: boolean;
}

/** Options of `createExchange`; times in milliseconds. */
export interface ExchangeOptions {
  dataCentres: string[];
  workspaces: Record<string, Limits>;
  seed: number;
  /** One-way message latency. Default 1.5, as on the design page. */
  latencyMs?: number;
  /** Time to commit a command in a data centre log. Default 3. */
  commitMs?: number;
  /** Interval between runs of the rebalancing policy. Default 100. */
  tickMs?: number;
}

/** Number of messages sent, by kind. */
export interface MessageCounts {
  asks: number;
  offers: number;
  transfers: number;
  acknowledgements: number;
}

/** A running simulation. */
export interface Exchange {
  readonly clock: ManualClock;
  readonly sites: ReadonlyMap<string, ExchangeSite>;
  readonly counts: MessageCounts;
  getSite(name: string): ExchangeSite;
  getHeld(name: string, workspace: string): Limits;
  getRunning(name: string, workspace: string): Limits;
  /** Queues work, which starts once the workspace's allotment allows and runs for `runMs`. */
  addWork(name: string, work: Work, runMs: number): void;
  /** Changes the configuration, or throws if refused; a site that is cut off applies it later. */
  changeFleet(...operations: FleetOperation[]): void;
  /** Advances the clock until `isDone` returns true; returns false if that takes longer than `maxMs`. */
  runUntil(isDone: () => boolean, maxMs: number): boolean;
}

/** Creates a simulation with all workspaces configured. */
export function createExchange(options: ExchangeOptions): Exchange {
  const { latencyMs = 1.5, commitMs = 3, tickMs = 100 } = options;
  const clock = createManualClock();
  const random = createSeededRandom(options.seed);
  const machine = createFleetState();
  const counts = { asks: 0, offers: 0, transfers: 0, acknowledgements: 0 };
  const sites = new Map<string, ExchangeSite>();
  const runTimes = new Map<Work, number>();
  // Amounts of outgoing transfers whose commit is pending; no work may start on them.
  const reserved = new Map<string, Limits>();

  for (const name of options.dataCentres) {
    sites.set(name, {
      name,
      allotments: createAllotments(name),
      rebalancer: createRebalancer({ dataCentre: name, clock, random }),
      waiting: [],
      running: new Set(),
      isCut: false,
    });
  }

  const getSite = (name: string) => sites.get(name)!;

  function sumWork(workItems: Iterable<Work>, workspace: string): Limits {
    let sum = NO_LIMITS;
    for (const work of workItems) {
      if (work.workspace === workspace) sum = addLimits(sum, work.size);
    }
    return sum;
  }

  function getState(): FleetState {
    return machine.getState();
  }

  function getLoad(site: ExchangeSite, workspace: string): WorkspaceLoad {
    const { dataCentres, workspaces } = getState();
    const isConfigured = dataCentres.includes(site.name);
    const limits = workspaces.get(workspace)?.limits ?? NO_LIMITS;
    const reservedAmount = reserved.get(`${site.name}/${workspace}`) ??
      NO_LIMITS;
    return {
      held: subtractLimits(site.allotments.getHeld(workspace), reservedAmount),
      running: sumWork(site.running, workspace),
      waiting: sumWork(site.waiting, workspace),
      fair: isConfigured
        ? computeFairShare(limits, dataCentres.length)
        : NO_LIMITS,
    };
  }

  function startWork(site: ExchangeSite): void {
    for (const work of [...site.waiting]) {
      const load = getLoad(site, work.workspace);
      const owed = site.rebalancer.getReserved(work.workspace, load);
      const freeCapacity = subtractLimits(
        subtractLimits(load.held, owed),
        load.running,
      );
      if (!fitsLimits(work.size, freeCapacity)) continue;
      site.waiting.splice(site.waiting.indexOf(work), 1);
      site.running.add(work);
      clock.setTimer(runTimes.get(work) ?? 0, () => {
        site.running.delete(work);
        startWork(site);
      });
    }
  }

  function send(from: string, to: string, handle: () => void): void {
    clock.setTimer(latencyMs, () => {
      if (!getSite(from).isCut && !getSite(to).isCut) handle();
    });
  }

  function commit(
    site: ExchangeSite,
    command: AllotmentCommand,
    handle: (result: AllotmentResult) => void,
  ): void {
    clock.setTimer(commitMs, () => handle(site.allotments.apply(command)));
  }

  function sendTransfer(transfer: AllotmentTransfer): void {
    const { from, to, id } = transfer;
    const sender = getSite(from);
    const isInProgress = sender.allotments.getTransfersInProgress()
      .some((open) => open.id === id);
    if (!isInProgress) return;
    counts.transfers += 1;
    send(from, to, () => handleTransfer(getSite(to), transfer));
    clock.setTimer(1_000, () => sendTransfer(transfer));
  }

  function handleTransfer(site: ExchangeSite, transfer: AllotmentTransfer) {
    commit(site, { type: "transferIn", transfer }, (result) => {
      if (result.applied) site.rebalancer.recordReceipt(transfer);
      startWork(site);
      counts.acknowledgements += 1;
      const { from, id: transferId } = transfer;
      send(site.name, from, () => {
        const command = { type: "transferAcknowledged", transferId } as const;
        commit(getSite(from), command, () => {});
      });
    });
  }

  function transferOut(
    site: ExchangeSite,
    to: string,
    workspace: string,
    amount: Limits,
    handle: (transferred: Limits) => void,
  ): void {
    const key = `${site.name}/${workspace}`;
    const before = reserved.get(key) ?? NO_LIMITS;
    reserved.set(key, addLimits(before, amount));
    commit(site, { type: "transferOut", to, workspace, amount }, (result) => {
      const after = subtractLimits(reserved.get(key)!, amount);
      reserved.set(key, after);
      const isTransferred = result.applied && result.transfer !== undefined;
      if (isTransferred) sendTransfer(result.transfer!);
      handle(isTransferred ? amount : NO_LIMITS);
    });
  }

  function handleAsk(site: ExchangeSite, ask: AllotmentAsk): void {
    const offer = site.rebalancer.computeOffer(
      ask,
      getLoad(site, ask.workspace),
    );
    const answer = (offered: Limits) => {
      counts.offers += 1;
      send(site.name, ask.from, () => {
        getSite(ask.from).rebalancer.recordOffer(ask, offered);
        plan(getSite(ask.from));
      });
    };
    if (!hasPositiveLimit(offer)) answer(offer);
    else transferOut(site, ask.from, ask.workspace, offer, answer);
  }

  function plan(site: ExchangeSite): void {
    const { dataCentres, workspaces } = getState();
    const isConfigured = dataCentres.includes(site.name);
    const loads = new Map<string, WorkspaceLoad>();
    const names = new Set([
      ...workspaces.keys(),
      ...site.allotments.listWorkspaces(),
    ]);
    for (const workspace of names) {
      loads.set(workspace, getLoad(site, workspace));
    }
    const peers = dataCentres.filter((name) =>
      name !== site.name && sites.has(name)
    );
    for (const ask of site.rebalancer.planAsks(loads, peers)) {
      counts.asks += 1;
      send(site.name, ask.to, () => handleAsk(getSite(ask.to), ask));
    }
    if (isConfigured) return;
    const returns = site.rebalancer.planReturns(loads, dataCentres);
    for (const { workspace, to, amount } of returns) {
      transferOut(site, to, workspace, amount, () => {});
    }
  }

  function tick(site: ExchangeSite): void {
    const command = site.isCut
      ? undefined
      : site.allotments.planConfiguration(getState());
    if (command !== undefined) site.allotments.apply(command);
    startWork(site);
    plan(site);
    clock.setTimer(tickMs, () => tick(site));
  }

  let changes = 0;
  function changeFleet(...operations: FleetOperation[]): void {
    const change = { changeId: `c${changes++}`, operations };
    const answer = machine.apply(encodeCommand({ at: 0, change }), changes);
    if (!answer.accepted) throw new Error(answer.fault.message);
  }

  changeFleet(
    { type: "setDataCentres", names: options.dataCentres },
    ...Object.entries(options.workspaces).map(([name, limits]) => (
      { type: "createWorkspace" as const, name, share: 1, limits }
    )),
  );
  // Leaders run their policies at different phases.
  for (const site of sites.values()) {
    clock.setTimer(random.nextFloat() * tickMs, () => tick(site));
  }
  clock.advance(tickMs);

  return {
    clock,
    sites,
    counts,
    getSite,
    getHeld: (name, workspace) => getSite(name).allotments.getHeld(workspace),
    getRunning: (name, workspace) => sumWork(getSite(name).running, workspace),
    addWork(name, work, runMs) {
      runTimes.set(work, runMs);
      const site = getSite(name);
      site.waiting.push(work);
      startWork(site);
      plan(site);
    },
    changeFleet,
    runUntil(isDone, maxMs) {
      const endMs = clock.now() + maxMs;
      while (clock.now() < endMs) {
        if (isDone()) return true;
        clock.advance(5);
      }
      return isDone();
    },
  };
}
