/** Tracks asks, offers and transfers between one workspace and its peer data centres, and when to ask each again. */

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
 * Backoff factor after each answer that offered less than asked. A peer keeps
 * what it used in the last 2 s; with a factor of 2, the fifth ask was sent 3 s
 * after the first.
 */
const INTERVAL_FACTOR = 1.5;

/** Time for an offered transfer to arrive before other peers are asked for it, in milliseconds. */
const TRANSFER_TIMEOUT_MS = 5_000;

// Not -Infinity, since the difference of two such values would be NaN.
const NEVER_MS = Number.MIN_SAFE_INTEGER;

interface Peer {
  /** Amount of the unanswered ask. */
  asked: Limits | undefined;
  askedAtMs: number;
  /** Offered but not yet received; below zero if the transfer arrived before the offer. */
  offered: Limits;
  offeredAtMs: number;
  nextAskAtMs: number;
  intervalMs: number;
  /** Time of the last transfer to this peer, which then probably holds the most. */
  lastTransferOutAtMs: number;
  /** How much of the last ask it offered; undefined before the first answer. */
  lastAnswer: "none" | "part" | "all" | undefined;
}

/** Options of `createPeerTracker`. Times are in milliseconds. */
export interface PeerTrackerOptions {
  clock: Pick<Clock, "now">;
  random: Random;
  minAskIntervalMs: number;
  maxAskIntervalMs: number;
  askTimeoutMs: number;
}

/** Tracks the peers of one workspace. */
export interface PeerTracker {
  /** Lists the peers to ask now: most recent receivers of a transfer first, then in random order. */
  listCandidates(peers: readonly string[]): string[];
  /** Returns whether any peer may be asked now; cheaper than listing them. */
  hasCandidates(peers: readonly string[]): boolean;
  /** Returns whether any ask is unanswered. */
  hasOpenAsks(): boolean;
  /** Returns the total that is asked for or offered but not yet received. */
  getExpected(): Limits;
  recordAsk(ask: AllotmentAsk): void;
  recordOffer(ask: AllotmentAsk, offered: Limits): void;
  recordReceipt(from: string, amount: Limits): void;
  /** Records a transfer to a peer. */
  recordTransferOut(to: string): void;
}

/** Creates a tracker without entries. */
export function createPeerTracker(options: PeerTrackerOptions): PeerTracker {
  const { clock, random } = options;
  const peers = new Map<string, Peer>();
  // None of the `noneReadyPeerCount` peers can be asked before this time. A peer
  // that becomes reachable changes the count.
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

  /** Sets the time of the next ask, with backoff. */
  function wait(peer: Peer): void {
    // Jitter prevents the asks of many workspaces from synchronizing.
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

  // The result is cached. With 890 workspaces short of allotment and 34 peers
  // each, checking every peer on every call took a third of a core.
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
      // A peer that offered all it was asked for probably has more. While there
      // are such peers, the others are not asked.
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
      // A peer that offers anything is asked again soon, such as one that
      // reserves the rest until its work ends.
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
