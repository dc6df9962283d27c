/**
 * Tracks the liveness of other instances by heartbeats. The result is used to
 * pick forwarding targets and for status reports. Two instances may have
 * different views, so exclusive decisions rely on the replicated logs instead.
 */

import type { Clock, Timer } from "../common/mod.ts";

/** State that an instance reports in each heartbeat. */
export interface InstanceState {
  instance: string;
  dataCentre: string;
  /** Increases with each start of the process; heartbeats of an older incarnation are ignored. */
  incarnation: number;
  configVersion: number;
  /** Known leader of the data centre log, or empty. */
  dataCentreLeader: string;
  dataCentreEpoch: number;
  /** Known leader of the fleet log, or empty. */
  fleetLeader: string;
  /** True once the graceful stop of the process has begun. */
  stopping: boolean;
}

/** State of a peer as seen by this instance. */
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

/** Number of consecutive missed heartbeats after which a peer counts as not alive. */
export const MISSED_HEARTBEATS = 3;

/** Interval of heartbeats within a data centre, in milliseconds. */
export const LOCAL_HEARTBEAT_MS = 500;

/** Interval of heartbeats to other data centres, in milliseconds. */
export const REMOTE_HEARTBEAT_MS = 1_000;

/** Options of the membership. */
export interface MembershipOptions {
  peers: readonly MembershipPeer[];
  dataCentre: string;
  clock: Clock;
  /** Returns the current state of this instance. */
  getOwnState: () => InstanceState;
  /** Sends a heartbeat and resolves to the peer's state; rejects if the peer does not answer. */
  sendHeartbeat: (
    instance: string,
    state: InstanceState,
    timeoutMs: number,
  ) => Promise<InstanceState>;
}

/** Liveness of the other instances. */
export interface Membership {
  /** Processes a heartbeat from a peer and returns this instance's state as the answer. */
  receiveHeartbeat(state: InstanceState): InstanceState;
  /** Lists all peers from which a heartbeat or an answer has been received. */
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
    // A late heartbeat of an earlier process must not restore its state.
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
      // Liveness is computed from `lastSeenMs`, so a failure needs no handling.
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
