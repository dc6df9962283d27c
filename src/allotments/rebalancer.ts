/**
 * The policy that moves idle allotment to where it is needed.
 *
 * - A data centre whose running and waiting work exceeds what it holds asks
 *   for the difference, split evenly over the peers, so that it never gets
 *   more than it wants. What a peer cannot give is asked of the others in the
 *   next round; a peer that had too little is asked again after a growing
 *   wait.
 * - A peer gives what it did not need in the last `keepMs`. This hysteresis
 *   keeps the gaps between short requests from moving allotment to and fro.
 * - Against starvation, an asker below its fair part is owed the difference
 *   by peers above theirs, who leave it free as their work ends.
 * - Two data centres that each hold too little for one large task would wait
 *   for each other for ever: idle allotment that has been stuck for a while is
 *   yielded, and the one that yielded last keeps it longer the next time.
 * - Without waiting work, a data centre that has less than half of its fair
 *   part asks for it at leisure, from what peers hold above theirs. It can
 *   then serve when it is cut off later.
 */

import {
  addLimits,
  buildLimits,
  hasPositiveLimit,
  isZeroLimits,
  type Limits,
  mergeLimits,
  NO_LIMITS,
  subtractLimits,
} from "../fleet/mod.ts";
import { createAskBucket } from "./ask_bucket.ts";
import { createPeerTracker, type PeerTracker } from "./peer_tracker.ts";
import { createPeakTracker, type PeakTracker } from "./peak_tracker.ts";
import type {
  AllotmentAsk,
  AllotmentReturn,
  Rebalancer,
  RebalancerOptions,
  WorkspaceLoad,
} from "./types.ts";

/** Default settings; times in milliseconds. */
export const DEFAULT_REBALANCER_OPTIONS = Object.freeze({
  minAskIntervalMs: 200,
  maxAskIntervalMs: 5_000,
  askTimeoutMs: 1_000,
  // Requests of a busy workspace follow each other within a second or so; the
  // target "within seconds" leaves room for two.
  keepMs: 2_000,
  stuckMs: 2_000,
  // Work that arrives piece by piece would otherwise send an ask for each
  // piece; once all asks are answered, the next round need not wait.
  minRoundMs: 20,
  // Nothing waits for levelling. With 890 workspaces and 35 data centres, asking
  // as eagerly as for waiting work would flood the peers of a busy workspace.
  minLevelIntervalMs: 5_000,
  maxLevelIntervalMs: 60_000,
  // At about 50 microseconds a message, 5% of a core.
  maxAsksPerSecond: 1_000,
});

/** Least amounts to ask of one peer, so that a small need is not split over all. */
const MIN_ASK_AMOUNT: Limits = Object.freeze({
  slots: 1,
  processors: 1_000,
  memoryMb: 1_024,
  accelerators: 1,
});

/** Transfers begun by one call of `planReturns`, to keep the log responsive. */
const MAX_RETURNS_PER_CALL = 100;
/** How much longer a data centre that yielded last keeps stuck allotment. */
const YIELDED_DELAY_FACTOR = 4;
/** Levelling starts below this part of the fair part. */
const LOW_WATER_FACTOR = 0.5;

interface Reservation {
  amount: Limits;
  untilMs: number;
}

interface WorkspaceState {
  readonly peers: PeerTracker;
  readonly peak: PeakTracker;
  readonly reservations: Map<string, Reservation>;
  /** When idle allotment began to be too small for the own waiting work. */
  stuckSinceMs: number | undefined;
  lastRunning: Limits;
  lastRoundAtMs: number;
  hasYielded: boolean;
  nextRebalancingAtMs: number;
  rebalancingIntervalMs: number;
}

/** Computes the even part of limits, rounded down so that the parts never exceed the limit. */
export function computeFairShare(
  limits: Limits,
  dataCentreCount: number,
): Limits {
  const count = Math.max(1, dataCentreCount);
  return buildLimits((name) => Math.floor(limits[name] / count));
}

function computePositivePart(amount: Limits): Limits {
  return buildLimits((name) => Math.max(0, amount[name]));
}

function computeMinimum(a: Limits, b: Limits): Limits {
  return buildLimits((name) => Math.min(a[name], b[name]));
}

function computeShortage(load: WorkspaceLoad): Limits {
  const needed = addLimits(load.running, load.waiting);
  return computePositivePart(subtractLimits(needed, load.held));
}

function computeRebalancingNeed(load: WorkspaceLoad): Limits {
  return buildLimits((name) => {
    const isLow = load.held[name] < load.fair[name] * LOW_WATER_FACTOR;
    return isLow ? load.fair[name] - load.held[name] : 0;
  });
}

/** Number of peers to split a need over. */
function computePeerCount(need: Limits, candidateCount: number): number {
  const askCounts = buildLimits((name) =>
    Math.ceil(need[name] / MIN_ASK_AMOUNT[name])
  );
  const maxAskCount = Math.max(...Object.values(askCounts));
  return Math.min(candidateCount, maxAskCount);
}

/** Part number `index` of `amount` split into `count` parts. */
function computeSplit(amount: Limits, count: number, index: number): Limits {
  return buildLimits((name) => {
    const rest = index < amount[name] % count ? 1 : 0;
    return Math.floor(amount[name] / count) + rest;
  });
}

/** Creates the policy of one data centre's leader. Its memory may be lost with the leader. */
export function createRebalancer(options: RebalancerOptions): Rebalancer {
  const { dataCentre, clock, random } = options;
  const settings = { ...DEFAULT_REBALANCER_OPTIONS, ...options };
  const workspaces = new Map<string, WorkspaceState>();
  const bucket = createAskBucket(clock, settings.maxAsksPerSecond);
  // Where the next call goes on, so that the bound on asks starves no workspace.
  let nextWorkspace: string | undefined;

  function getWorkspace(name: string): WorkspaceState {
    let workspace = workspaces.get(name);
    if (workspace === undefined) {
      workspace = {
        peers: createPeerTracker(settings),
        peak: createPeakTracker(clock, settings.keepMs),
        reservations: new Map(),
        stuckSinceMs: undefined,
        lastRunning: NO_LIMITS,
        lastRoundAtMs: -Infinity,
        hasYielded: false,
        nextRebalancingAtMs: clock.now() + settings.minLevelIntervalMs,
        rebalancingIntervalMs: settings.minLevelIntervalMs,
      };
      workspaces.set(name, workspace);
    }
    return workspace;
  }

  function updateWorkspace(
    workspace: WorkspaceState,
    load: WorkspaceLoad,
  ): void {
    workspace.peak.record(addLimits(load.running, load.waiting));
    const free = computePositivePart(subtractLimits(load.held, load.running));
    const isStuck = hasPositiveLimit(computeShortage(load)) &&
      hasPositiveLimit(free) &&
      isZeroLimits(subtractLimits(load.running, workspace.lastRunning));
    if (!isStuck) workspace.stuckSinceMs = undefined;
    else workspace.stuckSinceMs ??= clock.now();
    workspace.lastRunning = load.running;
  }

  function isRebalancingDue(workspace: WorkspaceState): boolean {
    if (clock.now() < workspace.nextRebalancingAtMs) return false;
    workspace.nextRebalancingAtMs = clock.now() +
      workspace.rebalancingIntervalMs;
    workspace.rebalancingIntervalMs = Math.min(
      settings.maxLevelIntervalMs,
      workspace.rebalancingIntervalMs * 2,
    );
    return true;
  }

  // The next levelling after something was given away or received.
  function resetRebalancingInterval(workspace: WorkspaceState): void {
    workspace.rebalancingIntervalMs = settings.minLevelIntervalMs;
    workspace.nextRebalancingAtMs = clock.now() +
      workspace.rebalancingIntervalMs;
  }

  function isInRound(workspace: WorkspaceState): boolean {
    const sinceRoundMs = clock.now() - workspace.lastRoundAtMs;
    return sinceRoundMs < settings.minRoundMs && workspace.peers.hasOpenAsks();
  }

  function buildAsks(
    name: string,
    load: WorkspaceLoad,
    peers: readonly string[],
  ): AllotmentAsk[] {
    const workspace = getWorkspace(name);
    const shortage = computeShortage(load);
    const levelling = !hasPositiveLimit(shortage);
    const wanted = levelling ? computeRebalancingNeed(load) : shortage;
    if (!hasPositiveLimit(wanted)) return [];
    if (isInRound(workspace) || !workspace.peers.hasCandidates(peers)) {
      return [];
    }
    const need = computePositivePart(
      subtractLimits(wanted, workspace.peers.getExpected()),
    );
    if (!hasPositiveLimit(need)) return [];
    if (levelling && !isRebalancingDue(workspace)) return [];
    // Each ask names the whole difference to the fair part as far as it asks
    // for it: often only one peer has anything above its own fair part.
    const entitled = levelling
      ? NO_LIMITS
      : computePositivePart(subtractLimits(load.fair, load.held));
    return sendAsks(workspace, peers, (to, part) => ({
      from: dataCentre,
      to,
      workspace: name,
      wanted: part,
      entitled: computeMinimum(part, entitled),
      levelling,
    }), need);
  }

  function sendAsks(
    workspace: WorkspaceState,
    peers: readonly string[],
    build: (to: string, part: Limits) => AllotmentAsk,
    need: Limits,
  ): AllotmentAsk[] {
    const candidates = workspace.peers.listCandidates(peers);
    const count = computePeerCount(need, candidates.length);
    const asks: AllotmentAsk[] = [];
    for (const [i, to] of candidates.slice(0, count).entries()) {
      const part = computeSplit(need, count, i);
      if (!hasPositiveLimit(part)) continue;
      if (!bucket.take()) break;
      const ask = build(to, part);
      workspace.peers.recordAsk(ask);
      asks.push(ask);
    }
    if (asks.length > 0) workspace.lastRoundAtMs = clock.now();
    return asks;
  }

  function listFromNext(loads: ReadonlyMap<string, WorkspaceLoad>): string[] {
    const names = [...loads.keys()];
    const start = nextWorkspace === undefined
      ? 0
      : names.indexOf(nextWorkspace);
    return [
      ...names.slice(Math.max(0, start)),
      ...names.slice(0, Math.max(0, start)),
    ];
  }

  function planAsks(
    loads: ReadonlyMap<string, WorkspaceLoad>,
    peers: readonly string[],
  ): AllotmentAsk[] {
    for (const name of workspaces.keys()) {
      if (!loads.has(name)) workspaces.delete(name);
    }
    for (const [name, load] of loads) updateWorkspace(getWorkspace(name), load);
    const asks: AllotmentAsk[] = [];
    const order = listFromNext(loads);
    nextWorkspace = order[0];
    for (const [i, name] of order.entries()) {
      if (!bucket.hasTokens()) break;
      const built = buildAsks(name, loads.get(name)!, peers);
      asks.push(...built);
      if (built.length > 0) nextWorkspace = order[i + 1] ?? order[0];
    }
    return asks;
  }

  function listReservations(workspace: WorkspaceState): Reservation[] {
    const nowMs = clock.now();
    for (const [asker, debt] of workspace.reservations) {
      if (debt.untilMs <= nowMs) workspace.reservations.delete(asker);
    }
    return [...workspace.reservations.values()];
  }

  function isBeforeYield(workspace: WorkspaceState, asker: string): boolean {
    if (workspace.stuckSinceMs === undefined) return true;
    // Unequal patience, so that two that are stuck do not swap their parts.
    const order = dataCentre > asker ? 1 : 2;
    const factor = workspace.hasYielded ? YIELDED_DELAY_FACTOR : 1;
    const yieldDelayMs = settings.stuckMs * order * factor;
    return clock.now() - workspace.stuckSinceMs < yieldDelayMs;
  }

  function computeOffer(ask: AllotmentAsk, load: WorkspaceLoad): Limits {
    const workspace = getWorkspace(ask.workspace);
    const offered = computeWorkspaceOffer(workspace, ask, load);
    if (hasPositiveLimit(offered)) {
      workspace.peers.recordTransferOut(ask.from);
      resetRebalancingInterval(workspace);
    }
    return offered;
  }

  function computeWorkspaceOffer(
    workspace: WorkspaceState,
    ask: AllotmentAsk,
    load: WorkspaceLoad,
  ): Limits {
    const free = computePositivePart(subtractLimits(load.held, load.running));
    const aboveFair = computePositivePart(subtractLimits(load.held, load.fair));
    const needed = mergeLimits(
      workspace.peak.getPeak(),
      addLimits(load.running, load.waiting),
    );
    const idle = computePositivePart(subtractLimits(load.held, needed));
    const wanted = computePositivePart(ask.wanted);
    if (ask.levelling) {
      return computeMinimum(wanted, computeMinimum(idle, aboveFair));
    }
    if (!isBeforeYield(workspace, ask.from)) {
      workspace.hasYielded = true;
      workspace.stuckSinceMs = undefined;
      return computeMinimum(wanted, free);
    }
    const entitled = computeMinimum(
      computePositivePart(ask.entitled),
      aboveFair,
    );
    const offered = mergeLimits(
      computeMinimum(wanted, idle),
      computeMinimum(entitled, free),
    );
    recordReservation(
      workspace,
      ask.from,
      computePositivePart(subtractLimits(entitled, offered)),
    );
    return offered;
  }

  function recordReservation(
    workspace: WorkspaceState,
    asker: string,
    amount: Limits,
  ): void {
    if (!hasPositiveLimit(amount)) {
      workspace.reservations.delete(asker);
      return;
    }
    // Long enough for the asker's next ask at its longest interval.
    const untilMs = clock.now() + settings.maxAskIntervalMs * 2;
    workspace.reservations.set(asker, { amount, untilMs });
  }

  return {
    planAsks,
    computeOffer,
    recordOffer(ask, offered) {
      getWorkspace(ask.workspace).peers.recordOffer(ask, offered);
    },
    recordReceipt(transfer) {
      const workspace = getWorkspace(transfer.workspace);
      workspace.peers.recordReceipt(transfer.from, transfer.amount);
      workspace.hasYielded = false;
      resetRebalancingInterval(workspace);
    },
    getReserved(name, load) {
      const workspace = workspaces.get(name);
      if (workspace === undefined) return NO_LIMITS;
      let reserved = NO_LIMITS;
      for (const debt of listReservations(workspace)) {
        reserved = addLimits(reserved, debt.amount);
      }
      const aboveFair = computePositivePart(
        subtractLimits(load.held, load.fair),
      );
      return computeMinimum(reserved, aboveFair);
    },
    planReturns(loads, configured) {
      const targets = configured.filter((name) => name !== dataCentre);
      const returns: AllotmentReturn[] = [];
      if (targets.length === 0) return returns;
      for (const [workspace, load] of loads) {
        if (returns.length >= MAX_RETURNS_PER_CALL) break;
        const amount = computePositivePart(
          subtractLimits(load.held, load.running),
        );
        if (!hasPositiveLimit(amount)) continue;
        const to = targets[random.nextInt(targets.length)]!;
        returns.push({ workspace, to, amount });
      }
      return returns;
    },
  };
}
