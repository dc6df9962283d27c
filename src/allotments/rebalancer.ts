/**
 * Policy that moves idle allotment to the data centres that need it.
 *
 * - A data centre whose running and waiting work exceeds its held allotment asks
 *   for the difference, split evenly over the peers, so that it never receives
 *   more than it needs. The next round asks the other peers for the rest. A peer
 *   that offered too little is asked again with backoff.
 * - A peer offers what it did not need in the last `keepMs`. Without this
 *   hysteresis, gaps between short requests would move allotment back and forth.
 * - To prevent starvation, peers above their fair share reserve allotment for a
 *   requester below its own, and leave it free as their work ends.
 * - Two data centres that each hold too little for one large task would deadlock.
 *   Idle allotment that has been stuck for a while is therefore yielded, and a
 *   data centre that yielded keeps it longer the next time.
 * - Without waiting work, a data centre that holds less than half of its fair
 *   share asks for the difference at a low rate, out of what peers hold above
 *   theirs. It can then serve requests during a later network partition.
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
  // Requests of a busy workspace are at most about a second apart; the target of
  // moving allotment "within seconds" allows for 2 s.
  keepMs: 2_000,
  stuckMs: 2_000,
  // Work that arrives in small amounts would otherwise cause an ask for each.
  // Once all asks are answered, the next round is not delayed.
  minRoundMs: 20,
  // No work waits for rebalancing. With 890 workspaces and 35 data centres, the
  // ask rate used for waiting work would flood the peers of a busy workspace.
  minLevelIntervalMs: 5_000,
  maxLevelIntervalMs: 60_000,
  // About 5% of a core, at 50 microseconds per message.
  maxAsksPerSecond: 1_000,
});

/** Minimum amounts to ask of one peer, so that a small need is not split over all peers. */
const MIN_ASK_AMOUNT: Limits = Object.freeze({
  slots: 1,
  processors: 1_000,
  memoryMb: 1_024,
  accelerators: 1,
});

/** Maximum number of returns planned by one call of `planReturns`, to keep the log responsive. */
const MAX_RETURNS_PER_CALL = 100;
/** Factor by which a data centre that yielded last keeps stuck allotment longer. */
const YIELDED_DELAY_FACTOR = 4;
/** Fraction of the fair share below which rebalancing starts. */
const LOW_WATER_FACTOR = 0.5;

/** Amount kept free for one requester below its fair share. */
interface Reservation {
  amount: Limits;
  untilMs: number;
}

interface WorkspaceState {
  readonly peers: PeerTracker;
  readonly peak: PeakTracker;
  readonly reservations: Map<string, Reservation>;
  /** Time since which idle allotment has been too small for the local waiting work. */
  stuckSinceMs: number | undefined;
  lastRunning: Limits;
  lastRoundAtMs: number;
  hasYielded: boolean;
  nextRebalancingAtMs: number;
  rebalancingIntervalMs: number;
}

/** Computes the even share of limits, rounded down so that the shares never exceed the limits in total. */
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

/** Returns the number of peers over which to split a need. */
function computePeerCount(need: Limits, candidateCount: number): number {
  const askCounts = buildLimits((name) =>
    Math.ceil(need[name] / MIN_ASK_AMOUNT[name])
  );
  const maxAskCount = Math.max(...Object.values(askCounts));
  return Math.min(candidateCount, maxAskCount);
}

/** Returns part number `index` of `amount` split into `count` parts. */
function computeSplit(amount: Limits, count: number, index: number): Limits {
  return buildLimits((name) => {
    const rest = index < amount[name] % count ? 1 : 0;
    return Math.floor(amount[name] / count) + rest;
  });
}

/** Creates the policy of one data centre's leader. Its state is not replicated and may be lost with the leader. */
export function createRebalancer(options: RebalancerOptions): Rebalancer {
  const { dataCentre, clock, random } = options;
  const settings = { ...DEFAULT_REBALANCER_OPTIONS, ...options };
  const workspaces = new Map<string, WorkspaceState>();
  const bucket = createAskBucket(clock, settings.maxAsksPerSecond);
  // Workspace at which the next call continues, so that the rate limit on asks
  // starves none.
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

  /** Restarts the backoff of rebalancing after a transfer in or an offer. */
  function restartRebalancingInterval(workspace: WorkspaceState): void {
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
    // Each ask may claim the whole difference to the fair share, up to its own
    // amount: often only one peer holds anything above its fair share.
    const entitled = levelling
      ? NO_LIMITS
      : computePositivePart(subtractLimits(load.fair, load.held));
    return planRound(workspace, peers, (to, part) => ({
      from: dataCentre,
      to,
      workspace: name,
      wanted: part,
      entitled: computeMinimum(part, entitled),
      levelling,
    }), need);
  }

  function planRound(
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

  function listFromNextWorkspace(
    loads: ReadonlyMap<string, WorkspaceLoad>,
  ): string[] {
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
    const order = listFromNextWorkspace(loads);
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
    for (const [requester, reservation] of workspace.reservations) {
      if (reservation.untilMs <= nowMs) {
        workspace.reservations.delete(requester);
      }
    }
    return [...workspace.reservations.values()];
  }

  function isBeforeYield(
    workspace: WorkspaceState,
    requester: string,
  ): boolean {
    if (workspace.stuckSinceMs === undefined) return true;
    // Unequal delays prevent two stuck data centres from swapping their parts.
    const order = dataCentre > requester ? 1 : 2;
    const factor = workspace.hasYielded ? YIELDED_DELAY_FACTOR : 1;
    const yieldDelayMs = settings.stuckMs * order * factor;
    return clock.now() - workspace.stuckSinceMs < yieldDelayMs;
  }

  function computeOffer(ask: AllotmentAsk, load: WorkspaceLoad): Limits {
    const workspace = getWorkspace(ask.workspace);
    const offered = computeWorkspaceOffer(workspace, ask, load);
    if (hasPositiveLimit(offered)) {
      workspace.peers.recordTransferOut(ask.from);
      restartRebalancingInterval(workspace);
    }
    return offered;
  }

  function computeWorkspaceOffer(
    workspace: WorkspaceState,
    ask: AllotmentAsk,
    load: WorkspaceLoad,
  ): Limits {
    const free = computePositivePart(subtractLimits(load.held, load.running));
    const aboveFairShare = computePositivePart(
      subtractLimits(load.held, load.fair),
    );
    const needed = mergeLimits(
      workspace.peak.getPeak(),
      addLimits(load.running, load.waiting),
    );
    const idle = computePositivePart(subtractLimits(load.held, needed));
    const wanted = computePositivePart(ask.wanted);
    if (ask.levelling) {
      return computeMinimum(wanted, computeMinimum(idle, aboveFairShare));
    }
    if (!isBeforeYield(workspace, ask.from)) {
      workspace.hasYielded = true;
      workspace.stuckSinceMs = undefined;
      return computeMinimum(wanted, free);
    }
    const entitled = computeMinimum(
      computePositivePart(ask.entitled),
      aboveFairShare,
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
    requester: string,
    amount: Limits,
  ): void {
    if (!hasPositiveLimit(amount)) {
      workspace.reservations.delete(requester);
      return;
    }
    // Long enough for the requester's next ask at its longest interval.
    const untilMs = clock.now() + settings.maxAskIntervalMs * 2;
    workspace.reservations.set(requester, { amount, untilMs });
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
      restartRebalancingInterval(workspace);
    },
    getReserved(name, load) {
      const workspace = workspaces.get(name);
      if (workspace === undefined) return NO_LIMITS;
      let reserved = NO_LIMITS;
      for (const reservation of listReservations(workspace)) {
        reserved = addLimits(reserved, reservation.amount);
      }
      const aboveFairShare = computePositivePart(
        subtractLimits(load.held, load.fair),
      );
      return computeMinimum(reserved, aboveFairShare);
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
