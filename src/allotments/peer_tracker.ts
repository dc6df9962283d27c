/** What one workspace's asker knows about its peers: who was asked, who gave, and when to ask again. */

import type { Clock, Random } from "../common/mod.ts";
import {
  addLimits,
  buildLimits,
  fitsLimits,
  hasPositiveLimit,
  type Limits,
  NO_LIMITS,
  subtractLimits,
} from "../fleet/mod.ts";
import type { AllotmentAsk } from "./types.ts";

/**
 * Growth of the wait after each empty answer. A peer keeps what it used in the
 * last 2 s; with a factor of 2, the fifth ask came 3 s after the first.
 */
const INTERVAL_FACTOR = 1.5;

/** Time in milliseconds that an offered transfer may take before it is asked for elsewhere. */
const TRANSFER_TIMEOUT_MS = 5_000;

// Not -Infinity: the difference of two would not be a number.
const NEVER_MS = Number.MIN_SAFE_INTEGER;

interface Peer {
  /** The ask that is not answered yet. */
  asked: Limits | undefined;
  askedAtMs: number;
  /** Offered and not yet received; below zero when the transfer came before the offer. */
  offered: Limits;
  offeredAtMs: number;
  nextAskAtMs: number;
  intervalMs: number;
  /** When it last got something from here; it then probably has the most. */
  lastTransferOutAtMs: number;
  /** What it gave last; nothing before the first answer. */
  lastAnswer: "none" | "part" | "all" | undefined;
}

/** Options of `createPeerTracker`; times in milliseconds. */
export interface PeerTrackerOptions {
  clock: Pick<Clock, "now">;
  random: Random;
  minAskIntervalMs: number;
  maxAskIntervalMs: number;
  askTimeoutMs: number;
}

/** The peers of one workspace. */
export interface PeerTracker {
  /** Peers to ask now: those that got something from here last, then in random order. */
  listCandidates(peers: readonly string[]): string[];
  /** Whether some peer may be asked now; cheaper than listing them. */
  hasCandidates(peers: readonly string[]): boolean;
  /** Whether some ask is not answered yet. */
  hasOpenAsks(): boolean;
  /** What is asked for or on its way. */
  getExpected(): Limits;
  recordAsk(ask: AllotmentAsk): void;
  recordOffer(ask: AllotmentAsk, offered: Limits): void;
  recordReceipt(from: string, amount: Limits): void;
  /** Records that something was given to a peer. */
  recordTransferOut(to: string): void;
}

/** Creates a book without entries. */
export function createPeerTracker(options: PeerTrackerOptions): PeerTracker {
  const { clock, random } = options;
  const peers = new Map<string, Peer>();
  // None of that many peers can be asked before this time. A peer that becomes
  // reachable changes the number.
  let noneReadyUntilMs = NEVER_MS;
  let noneReadyPeerCount = 0;

  function getPeer(name: string): Peer {
    let peer = peers.get(name);
    if (peer === undefined) {
      peer = {
        asked: undefined,
        askedAtMs: 0,
        offered: NO_LIMITS,
        offeredAtMs: 0,
        nextAskAtMs: -Infinity,
        intervalMs: options.minAskIntervalMs,
        lastTransferOutAtMs: NEVER_MS,
        lastAnswer: undefined,
      };
      peers.set(name, peer);
    }
    return peer;
  }

  function wait(peer: Peer): void {
    // Jitter keeps the asks of many workspaces from coming in step.
    const jitter = 0.75 + random.nextFloat() / 2;
    peer.nextAskAtMs = clock.now() + peer.intervalMs * jitter;
    peer.intervalMs = Math.min(
      options.maxAskIntervalMs,
      peer.intervalMs * INTERVAL_FACTOR,
    );
  }

  function removeExpired(): void {
    const nowMs = clock.now();
    for (const peer of peers.values()) {
      const isLost = peer.asked !== undefined &&
        nowMs - peer.askedAtMs >= options.askTimeoutMs;
      if (isLost) {
        peer.asked = undefined;
        peer.lastAnswer = "none";
        wait(peer);
      }
      if (nowMs - peer.offeredAtMs >= TRANSFER_TIMEOUT_MS) {
        peer.offered = NO_LIMITS;
      }
    }
  }

  function isReady(name: string, nowMs: number): boolean {
    const peer = peers.get(name);
    if (peer === undefined) return true;
    return peer.asked === undefined && peer.nextAskAtMs <= nowMs;
  }

  // With 890 workspaces short and 34 peers each, looking at every peer on every
  // call took a third of a core.
  function computeNextReadyMs(names: readonly string[]): number {
    let earliestMs = Infinity;
    for (const name of names) {
      const peer = peers.get(name);
      if (peer === undefined) return NEVER_MS;
      const readyAtMs = peer.asked === undefined
        ? peer.nextAskAtMs
        : peer.askedAtMs + options.askTimeoutMs;
      earliestMs = Math.min(earliestMs, readyAtMs);
    }
    return earliestMs;
  }

  return {
    hasCandidates(names) {
      const nowMs = clock.now();
      const isNoneReady = nowMs < noneReadyUntilMs &&
        names.length === noneReadyPeerCount;
      if (isNoneReady) return false;
      removeExpired();
      if (names.some((name) => isReady(name, nowMs))) return true;
      noneReadyUntilMs = computeNextReadyMs(names);
      noneReadyPeerCount = names.length;
      return false;
    },
    hasOpenAsks() {
      removeExpired();
      return [...peers.values()].some((peer) => peer.asked !== undefined);
    },
    listCandidates(names) {
      removeExpired();
      const nowMs = clock.now();
      const ready = names.filter((name) => isReady(name, nowMs));
      // A peer that gave all it was asked for has probably more; while there
      // are such peers, the others are left in peace.
      const withSurplus = ready.filter((name) =>
        peers.get(name)?.lastAnswer === "all"
      );
      const chosen = withSurplus.length > 0 ? withSurplus : ready;
      return chosen
        .map((name) => ({
          name,
          key: random.nextFloat(),
          lastTransferOutAtMs: peers.get(name)?.lastTransferOutAtMs ?? NEVER_MS,
        }))
        .sort((a, b) =>
          b.lastTransferOutAtMs - a.lastTransferOutAtMs || a.key - b.key
        )
        .map(({ name }) => name);
    },
    getExpected() {
      removeExpired();
      let sum = NO_LIMITS;
      for (const peer of peers.values()) {
        const { offered, asked } = peer;
        sum = addLimits(sum, asked ?? NO_LIMITS);
        sum = addLimits(
          sum,
          buildLimits((name) => Math.max(0, offered[name])),
        );
      }
      return sum;
    },
    recordAsk(ask) {
      const peer = getPeer(ask.to);
      peer.asked = ask.wanted;
      peer.askedAtMs = clock.now();
    },
    recordOffer(ask, offered) {
      const peer = getPeer(ask.to);
      peer.asked = undefined;
      peer.offered = addLimits(peer.offered, offered);
      peer.offeredAtMs = clock.now();
      const isAll = fitsLimits(ask.wanted, offered);
      const isPart = !isAll && hasPositiveLimit(offered);
      noneReadyUntilMs = NEVER_MS;
      peer.lastAnswer = isAll ? "all" : isPart ? "part" : "none";
      // A peer that gives something again is asked again soon, such as one
      // that owes the rest until its work ends.
      if (isAll || isPart) peer.intervalMs = options.minAskIntervalMs;
      if (isAll) peer.nextAskAtMs = clock.now();
      else wait(peer);
    },
    recordReceipt(from, amount) {
      const peer = getPeer(from);
      peer.offered = subtractLimits(peer.offered, amount);
      peer.offeredAtMs = clock.now();
    },
    recordTransferOut(to) {
      getPeer(to).lastTransferOutAtMs = clock.now();
    },
  };
}
