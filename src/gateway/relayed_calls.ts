/**
 * Runner calls through relays. A call costs some hundred microseconds of
 * processor time, so with many runners the leader's share of a CPU core would
 * limit the starts per second. The leader still makes all decisions, but other
 * instances with a disk make the calls. Each order carries its fencing token,
 * so a delayed one has no effect.
 */

import { type Clock, createFault, type Logger } from "../common/mod.ts";
import type { RunnerCalls } from "../workload/mod.ts";
import type { RunnerCall } from "./messages.ts";

/** Time allowed for the round trip to the relay on top of the call's timeout, in milliseconds; covers two batch windows and a busy event loop. */
const RELAY_OVERHEAD_MS = 100;

/** Consecutive failed calls through one relay after which it is excluded. */
const MAX_CONSECUTIVE_FAILURES = 3;

/** Time for which a failing relay is excluded, in milliseconds; a frozen or partitioned instance recovers within some seconds. */
const RELAY_EXCLUSION_MS = 4_000;

/** Options of relayed calls. */
export interface RelayedCallsOptions {
  clock: Clock;
  logger: Logger;
  /** Makes direct calls from this instance. */
  calls: RunnerCalls;
  /** Maximum number of runners for which all calls are direct. */
  maxDirectRunners: number;
  countRunners: () => number;
  /** Names of the connected relays, excluding this instance. */
  listRelays: () => readonly string[];
  /** Maximum number of relays in use at once; fewer relays mean more messages per frame. */
  maxRelays: number;
  /** Calls a runner through `relay`; rejects when no answer arrives from the relay. */
  callViaRelay: (
    relay: string,
    call: RunnerCall,
    timeoutMs: number,
  ) => Promise<unknown>;
}

interface RelayState {
  assignedRunners: number;
  failures: number;
  excludedUntilMs: number;
}

/** Creates runner calls that go either directly or through relays. */
export function createRelayedCalls(options: RelayedCallsOptions): RunnerCalls {
  const { clock, logger, calls } = options;
  const relayStates = new Map<string, RelayState>();
  /** Relay by runner address, so that open connections are reused. */
  const assigned = new Map<string, string>();

  function getRelayState(relay: string): RelayState {
    let state = relayStates.get(relay);
    if (state === undefined) {
      relayStates.set(
        relay,
        state = { assignedRunners: 0, failures: 0, excludedUntilMs: 0 },
      );
    }
    return state;
  }

  function removeAssignment(address: string): string | undefined {
    const relay = assigned.get(address);
    if (relay === undefined) return undefined;
    assigned.delete(address);
    getRelayState(relay).assignedRunners -= 1;
    return relay;
  }

  /**
   * Lists the relays for newly assigned runners: relays in use first, then by
   * name. The next leader then picks the same relays and finds their
   * connections open.
   */
  function listPreferred(usable: readonly string[]): string[] {
    const isIdle = (relay: string) =>
      Number(getRelayState(relay).assignedRunners === 0);
    return [...usable]
      .sort((a, b) => isIdle(a) - isIdle(b) || (a < b ? -1 : 1))
      .slice(0, options.maxRelays);
  }

  /** Returns the relay for a runner address; undefined for a direct call. */
  function pickRelay(address: string): string | undefined {
    if (options.countRunners() <= options.maxDirectRunners) {
      removeAssignment(address);
      return undefined;
    }
    const nowMs = clock.now();
    const usable = options.listRelays().filter((relay) =>
      getRelayState(relay).excludedUntilMs <= nowMs
    );
    const known = assigned.get(address);
    if (known !== undefined && usable.includes(known)) return known;
    removeAssignment(address);
    let best: string | undefined;
    for (const relay of listPreferred(usable)) {
      const isLessLoaded = best === undefined ||
        getRelayState(relay).assignedRunners <
          getRelayState(best).assignedRunners;
      if (isLessLoaded) best = relay;
    }
    if (best === undefined) return undefined;
    assigned.set(address, best);
    getRelayState(best).assignedRunners += 1;
    return best;
  }

  function recordFailure(relay: string): void {
    const state = getRelayState(relay);
    state.failures += 1;
    // One failure may be the runner's fault; several in a row point to the relay.
    if (state.failures < MAX_CONSECUTIVE_FAILURES) return;
    state.failures = 0;
    state.excludedUntilMs = clock.now() + RELAY_EXCLUSION_MS;
    logger.warn("Relay excluded after consecutive failures", {
      relay,
      runners: state.assignedRunners,
      pauseMs: RELAY_EXCLUSION_MS,
    });
  }

  async function send<Reply>(
    call: Exclude<RunnerCall, { order: "release" }>,
  ): Promise<Reply> {
    const { target, timeoutMs } = call;
    const relay = pickRelay(target.address);
    if (relay === undefined) return await runRelayedCall(calls, call) as Reply;
    try {
      const reply = await options.callViaRelay(
        relay,
        call,
        timeoutMs + RELAY_OVERHEAD_MS,
      );
      getRelayState(relay).failures = 0;
      return reply as Reply;
    } catch (error) {
      recordFailure(relay);
      throw createFault(
        "outcomeUnknown",
        `Cannot get an answer from runner "${target.id}" through relay "${relay}"`,
        { cause: error },
      );
    }
  }

  return {
    start: (target, start, timeoutMs) =>
      send({ order: "start", target, start, timeoutMs }),
    stop: (target, stop, timeoutMs) =>
      send({ order: "stop", target, stop, timeoutMs }),
    hold: (target, hold, timeoutMs) =>
      send({ order: "hold", target, hold, timeoutMs }),
    releaseOwn: (address) => calls.releaseOwn(address),
    release(address) {
      calls.release(address);
      const relay = removeAssignment(address);
      if (relay === undefined) return;
      options.callViaRelay(
        relay,
        { order: "release", address },
        RELAY_OVERHEAD_MS,
      )
        .catch((error: unknown) =>
          logger.info("Cannot release the connections of a relay", {
            relay,
            address,
            error,
          })
        );
    },
  };
}

/** Makes a runner call from this instance, for itself or for the leader. */
export async function runRelayedCall(
  calls: RunnerCalls,
  call: RunnerCall,
): Promise<unknown> {
  switch (call.order) {
    case "start":
      return await calls.start(call.target, call.start, call.timeoutMs);
    case "stop":
      return await calls.stop(call.target, call.stop, call.timeoutMs);
    case "hold":
      return await calls.hold(call.target, call.hold, call.timeoutMs);
    case "release":
      return calls.release(call.address);
  }
}
