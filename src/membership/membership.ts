/**
 * Liveness of the other instances, by heartbeats. The result serves for picking
 * a forwarding target and for status reports; exclusive decisions rest on the
 * replicated logs, since two instances may well have different views here.
 */

import type { Clock, Timer } from "../common/mod.ts";

/** What an instance says of itself in each heartbeat. */
export interface InstanceState {
  instance: string;
  dataCentre: string;
  /** Rises with each start of the process; an older one is ignored. */
  incarnation: number;
  configVersion: number;
  /** Instance that leads the data centre log as far as it knows, or empty. */
  dataCentreLeader: string;
  dataCentreEpoch: number;
  /** Instance that leads the fleet log as far as it knows, or empty. */
  fleetLeader: string;
  /** Set once the process has begun its graceful stop. */
  stopping: boolean;
}

/** State of a peer as seen from here. */
export interface PeerState extends InstanceState {
  alive: boolean;
  /** Time of the last heartbeat on the local monotonic clock, in milliseconds. */
  lastSeenMs: number;
}

/** Name and data centre of a peer. */
export interface MembershipPeer {
  instance: string;
  dataCentre: string;
}

/** Heartbeats missed in a row before a peer counts as not alive. */
export const MISSED_HEARTBEATS = 3;

/** Time between heartbeats inside a data centre, in milliseconds. */
export const LOCAL_HEARTBEAT_MS = 500;

/** Time between heartbeats to other data centres, in milliseconds. */
export const REMOTE_HEARTBEAT_MS = 1_000;

/** Options of the membership. */
export interface MembershipOptions {
  peers: readonly MembershipPeer[];
  dataCentre: string;
  clock: Clock;
  /** Describes this instance at the time of the call. */
  getOwnState: () => InstanceState;
  /** Sends a heartbeat and returns the peer's own; rejects when it gave none. */
  sendHeartbeat: (
    instance: string,
    state: InstanceState,
    timeoutMs: number,
  ) => Promise<InstanceState>;
}

/** Liveness of the other instances. */
export interface Membership {
  /** Takes a heartbeat that a peer has sent; returns the own state for the answer. */
  receiveHeartbeat(state: InstanceState): InstanceState;
  /** Returns all peers that have been heard of. */
  list(): PeerState[];
  get(instance: string): PeerState | undefined;
  isAlive(instance: string): boolean;
  stop(): void;
}

/** Starts sending heartbeats to `options.peers`. */
export function createMembership(options: MembershipOptions): Membership {
  const { clock } = options;
  const states = new Map<string, PeerState>();
  const timers = new Map<string, Timer>();
  let isStopped = false;

  function getPeriodMs(peer: { dataCentre: string }): number {
    const isLocal = peer.dataCentre === options.dataCentre;
    return isLocal ? LOCAL_HEARTBEAT_MS : REMOTE_HEARTBEAT_MS;
  }

  function recordState(state: InstanceState): void {
    const known = states.get(state.instance);
    // A late heartbeat of a former process must not bring its state back.
    if (known !== undefined && state.incarnation < known.incarnation) return;
    states.set(state.instance, {
      ...state,
      alive: true,
      lastSeenMs: clock.now(),
    });
  }

  async function sendHeartbeatTo(peer: MembershipPeer): Promise<void> {
    const periodMs = getPeriodMs(peer);
    try {
      recordState(
        await options.sendHeartbeat(
          peer.instance,
          options.getOwnState(),
          periodMs * 2,
        ),
      );
    } catch {
      // Silence is judged by `lastSeenMs`; a failed exchange adds nothing.
    }
    if (!isStopped) setHeartbeatTimer(peer, periodMs);
  }

  function setHeartbeatTimer(peer: MembershipPeer, delayMs: number): void {
    const timer = clock.setTimer(delayMs, () => void sendHeartbeatTo(peer));
    timers.set(peer.instance, timer);
  }

  function toCurrent(state: PeerState): PeerState {
    const silentMs = clock.now() - state.lastSeenMs;
    const alive = silentMs <= getPeriodMs(state) * (MISSED_HEARTBEATS + 1);
    return { ...state, alive };
  }

  for (const peer of options.peers) setHeartbeatTimer(peer, 0);

  return {
    receiveHeartbeat(state) {
      recordState(state);
      return options.getOwnState();
    },
    list: () => [...states.values()].map(toCurrent),
    get(instance) {
      const state = states.get(instance);
      return state === undefined ? undefined : toCurrent(state);
    },
    isAlive(instance) {
      const state = states.get(instance);
      return state !== undefined && toCurrent(state).alive;
    },
    stop() {
      isStopped = true;
      for (const timer of timers.values()) timer.cancel();
    },
  };
}
