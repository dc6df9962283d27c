/**
 * Runner calls through relays. A call costs some hundred microseconds of
 * processor time, several times that in a process that has just started, and a
 * relayed one a fraction of it, as many share a frame. With many runners the leader
 * still makes all decisions, but other instances with a disk make the calls. Each
 * order carries its fencing token and its lease, so a delayed one has no effect.
 *
 * A relay that stands still or is cut off is found by checks that it answers at
 * once. The polls that wait at a lost relay go out again through another one.
 */

import {
  type Clock,
  createFault,
  type Fault,
  type Logger,
  toFault,
  wait,
} from "../common/mod.ts";
import {
  createProbe,
  type OrderReply,
  type RunnerCalls,
} from "../workload/runner_calls.ts";
import { PEER_STATES } from "./gateway_server.ts";
import type { RunnerCall } from "./messages.ts";

/** Time allowed for the round trip to the relay on top of the call's timeout, in milliseconds; covers two batch windows and a busy event loop. */
const RELAY_OVERHEAD_MS = 100;

/** Consecutive calls without any reply of one relay after which it is excluded. */
const MAX_CONSECUTIVE_FAILURES = 3;

/** Time for which a failing relay is excluded, in milliseconds; a frozen or partitioned instance recovers within some seconds. */
const RELAY_EXCLUSION_MS = 4_000;

/** Time between two checks of a relay in use, in milliseconds. */
const CHECK_PERIOD_MS = 200;

/** Time for the reply to a check, in milliseconds; longer than a turn of a busy event loop. */
const CHECK_TIMEOUT_MS = 250;

/** Consecutive checks without a reply after which a relay is lost; one may be late because this process was busy. */
const MAX_FAILED_CHECKS = 2;

/** Numbers of runners that decide about relays. */
export interface RelayLimits {
  /** Number of runners up to which all calls are direct. */
  readonly maxDirectRunners: number;
  /** Number of runners beyond which one more relay is used; with fewer relays, more messages share a frame. */
  readonly runnersPerRelay: number;
}

/**
 * Default limits. A leader with 32 runners needs a fifth of a core for everything; a
 * relay of 125 makes some 250 starts a second with half a core.
 */
export const RELAY_LIMITS: RelayLimits = Object.freeze({
  maxDirectRunners: 60,
  runnersPerRelay: 125,
});

/** Options of relayed calls. */
export interface RelayedCallsOptions {
  clock: Clock;
  logger: Logger;
  /** Makes direct calls from this instance. */
  calls: RunnerCalls;
  /** Default `RELAY_LIMITS`. */
  limits?: RelayLimits;
  countRunners: () => number;
  /** Names of the connected relays, excluding this instance. */
  listRelays: () => readonly string[];
  /** Tells whether a relay is no member of the log; commands of the log wait for busy members. Default: never. */
  isStandby?: (relay: string) => boolean;
  /**
   * Calls a runner through `relay`; rejects when no answer arrives from the relay,
   * with a fault whose `details.peer` is one of `PEER_STATES`, if known.
   */
  callViaRelay: (
    relay: string,
    call: RunnerCall,
    timeoutMs: number,
  ) => Promise<unknown>;
}

/** A call that changes what a runner does or lists. */
type AnsweredCall = Exclude<RunnerCall, { order: "release" | "check" }>;

interface RelayState {
  assignedRunners: number;
  failures: number;
  excludedUntilMs: number;
  /** Functions that reject the polls in progress. */
  readonly openPolls: Set<(fault: Fault) => void>;
  isWatched: boolean;
}

function isRelayLost({ details }: Fault): boolean {
  return details["peer"] === PEER_STATES.lost;
}

/**
 * Returns what is sent again of a call whose relay was lost; undefined for nothing. A
 * poll may be carried out twice, but the next incarnation of the runner may read it by
 * now: it acknowledges no ends and renews no lease.
 */
function createRepetition(
  call: AnsweredCall,
  { ran }: Fault,
): AnsweredCall | undefined {
  if (call.order === "hold") {
    const { fence, waitMs } = call.hold;
    return { ...call, hold: { ...createProbe(fence), waitMs } };
  }
  return ran === "no" ? call : undefined;
}

/** Creates runner calls that go either directly or through relays. */
export function createRelayedCalls(options: RelayedCallsOptions): RunnerCalls {
  const { clock, logger, calls, limits = RELAY_LIMITS } = options;
  const relayStates = new Map<string, RelayState>();
  /** Relay by runner address, so that open connections are reused. */
  const assigned = new Map<string, string>();

  function getRelayState(relay: string): RelayState {
    let state = relayStates.get(relay);
    if (state === undefined) {
      state = {
        assignedRunners: 0,
        failures: 0,
        excludedUntilMs: 0,
        openPolls: new Set(),
        isWatched: false,
      };
      relayStates.set(relay, state);
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
   * Lists the relays for newly assigned runners: relays in use first, then standbys,
   * then by name. The next leader then picks the same relays and finds their
   * connections open.
   */
  function listPreferred(usable: readonly string[]): string[] {
    const count = Math.ceil(options.countRunners() / limits.runnersPerRelay);
    const isIdle = (relay: string) =>
      Number(getRelayState(relay).assignedRunners === 0);
    const isMember = (relay: string) =>
      Number(options.isStandby?.(relay) !== true);
    return [...usable]
      .sort((a, b) =>
        isIdle(a) - isIdle(b) || isMember(a) - isMember(b) || (a < b ? -1 : 1)
      )
      .slice(0, count);
  }

  /** Returns the relay for a runner address; undefined for a direct call. */
  function pickRelay(address: string): string | undefined {
    if (options.countRunners() <= limits.maxDirectRunners) {
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

  /** Excludes a relay for some seconds and rejects the polls that wait there. */
  function suspendRelay(relay: string, reason: string): void {
    const state = getRelayState(relay);
    state.failures = 0;
    const nowMs = clock.now();
    // Calls that were sent before fail one after the other.
    if (state.excludedUntilMs > nowMs) return;
    state.excludedUntilMs = nowMs + RELAY_EXCLUSION_MS;
    const polls = [...state.openPolls];
    logger.warn("Relay excluded", {
      relay,
      reason,
      runners: state.assignedRunners,
      openPolls: polls.length,
      pauseMs: RELAY_EXCLUSION_MS,
    });
    const fault = createFault(
      "outcomeUnknown",
      `Cannot use relay "${relay}": ${reason}`,
      { details: { peer: PEER_STATES.lost } },
    );
    for (const reject of polls) reject(fault);
  }

  function recordFailure(relay: string): void {
    const state = getRelayState(relay);
    state.failures += 1;
    if (state.failures < MAX_CONSECUTIVE_FAILURES) return;
    suspendRelay(relay, "consecutive calls got no reply");
  }

  /** Checks a relay while polls wait there, until it is lost. */
  async function watchRelay(relay: string): Promise<void> {
    const state = getRelayState(relay);
    if (state.isWatched) return;
    state.isWatched = true;
    let failedChecks = 0;
    while (state.openPolls.size > 0 && failedChecks < MAX_FAILED_CHECKS) {
      try {
        await options.callViaRelay(
          relay,
          { order: "check" },
          CHECK_TIMEOUT_MS,
        );
        failedChecks = 0;
        await wait(clock, CHECK_PERIOD_MS);
      } catch (error) {
        failedChecks = isRelayLost(toFault(error))
          ? MAX_FAILED_CHECKS
          : failedChecks + 1;
        logger.debug("Check of a relay failed", { relay, error });
      }
    }
    state.isWatched = false;
    if (failedChecks >= MAX_FAILED_CHECKS) {
      suspendRelay(relay, "checks got no reply");
    }
  }

  /** Calls a runner through a relay; a poll is also rejected when the relay is excluded meanwhile. */
  function callRelay(relay: string, call: AnsweredCall): Promise<unknown> {
    const reply = options.callViaRelay(
      relay,
      call,
      call.timeoutMs + RELAY_OVERHEAD_MS,
    );
    if (call.order !== "hold") return reply;
    const { openPolls } = getRelayState(relay);
    return new Promise((resolve, reject) => {
      openPolls.add(reject);
      void watchRelay(relay);
      reply.then(resolve, reject).finally(() => openPolls.delete(reject));
    });
  }

  async function send<Reply>(
    call: AnsweredCall,
    isRepeated = false,
  ): Promise<Reply> {
    const { target } = call;
    const relay = pickRelay(target.address);
    if (relay === undefined) return await runRelayedCall(calls, call) as Reply;
    try {
      const reply = await callRelay(relay, call);
      getRelayState(relay).failures = 0;
      return (call.order === "start"
        ? { ...reply as OrderReply, relay }
        : reply) as Reply;
    } catch (error) {
      const fault = toFault(error);
      const hasReplied = fault.details["peer"] === PEER_STATES.replied;
      if (hasReplied) getRelayState(relay).failures = 0;
      else if (!isRelayLost(fault)) recordFailure(relay);
      const repetition = isRelayLost(fault) && !isRepeated
        ? createRepetition(call, fault)
        : undefined;
      if (repetition !== undefined) return await send(repetition, true);
      throw createFault(
        fault.ran === "no" ? "unavailable" : "outcomeUnknown",
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
    case "check":
      return undefined;
  }
}
