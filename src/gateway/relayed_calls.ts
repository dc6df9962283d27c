/**
 * Calls to runners through other instances. A call costs some hundred
 * microseconds of processor time, so beyond a number of runners the leader's
 * share of a core would bound the starts a second. It goes on deciding and
 * hands the calls to other instances with a disk; each order carries its fence, so
 * a delayed one does no harm.
 */

import { type Clock, createFault, type Logger } from "../common/mod.ts";
import type { RunnerCalls } from "../workload/mod.ts";
import type { RunnerCall } from "./messages.ts";

/** Time for the way to the relay and back beyond the call's own, in milliseconds; two gathered frames and a busy turn. */
const RELAY_SLACK_MS = 100;

/** Calls without an answer in a row, through one relay, after which it is left out. */
const FAILURES_LIMIT = 3;

/** Time for which such a relay is left out, in milliseconds; a frozen or cut-off instance is back after some seconds. */
const RELAY_PAUSE_MS = 4_000;

/** Options of relayed calls. */
export interface RelayedCallsOptions {
  clock: Clock;
  logger: Logger;
  /** Calls that this instance makes by itself. */
  calls: RunnerCalls;
  /** Number of runners up to which all calls are made from here. */
  maxDirectRunners: number;
  countRunners: () => number;
  /** Names of the connected instances that can call runners, without this one. */
  listRelays: () => readonly string[];
  /** Relays that are used at the same time; fewer get more into one frame. */
  maxRelays: number;
  /** Calls a runner through `relay`; rejects when the relay gave no answer. */
  callViaRelay: (
    relay: string,
    call: RunnerCall,
    timeoutMs: number,
  ) => Promise<unknown>;
}

interface RelayUse {
  targets: number;
  failures: number;
  avoidedUntilMs: number;
}

/** Creates calls that are made from here or through relays. */
export function createRelayedCalls(options: RelayedCallsOptions): RunnerCalls {
  const { clock, logger, calls } = options;
  const uses = new Map<string, RelayUse>();
  /** Relay of each runner's address, so that its connections are used again. */
  const assigned = new Map<string, string>();

  function getUse(relay: string): RelayUse {
    let use = uses.get(relay);
    if (use === undefined) {
      uses.set(relay, use = { targets: 0, failures: 0, avoidedUntilMs: 0 });
    }
    return use;
  }

  function removeAssignment(address: string): string | undefined {
    const relay = assigned.get(address);
    if (relay === undefined) return undefined;
    assigned.delete(address);
    getUse(relay).targets -= 1;
    return relay;
  }

  /**
   * Lists the relays for further runners: those in use first, then by name, so
   * that the next leader finds the connections of the same ones open.
   */
  function listPreferred(usable: readonly string[]): string[] {
    const isIdle = (relay: string) => Number(getUse(relay).targets === 0);
    return [...usable]
      .sort((a, b) => isIdle(a) - isIdle(b) || (a < b ? -1 : 1))
      .slice(0, options.maxRelays);
  }

  /** Returns the relay for an address; undefined when it is called from here. */
  function pickRelay(address: string): string | undefined {
    if (options.countRunners() <= options.maxDirectRunners) {
      removeAssignment(address);
      return undefined;
    }
    const nowMs = clock.now();
    const usable = options.listRelays().filter((relay) =>
      getUse(relay).avoidedUntilMs <= nowMs
    );
    const known = assigned.get(address);
    if (known !== undefined && usable.includes(known)) return known;
    removeAssignment(address);
    let best: string | undefined;
    for (const relay of listPreferred(usable)) {
      const isFreer = best === undefined ||
        getUse(relay).targets < getUse(best).targets;
      if (isFreer) best = relay;
    }
    if (best === undefined) return undefined;
    assigned.set(address, best);
    getUse(best).targets += 1;
    return best;
  }

  function recordFailure(relay: string): void {
    const use = getUse(relay);
    use.failures += 1;
    // The runner that was called may be at fault; several in a row are not.
    if (use.failures < FAILURES_LIMIT) return;
    use.failures = 0;
    use.avoidedUntilMs = clock.now() + RELAY_PAUSE_MS;
    logger.warn("Relay left out", {
      relay,
      runners: use.targets,
      pauseMs: RELAY_PAUSE_MS,
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
        timeoutMs + RELAY_SLACK_MS,
      );
      getUse(relay).failures = 0;
      return reply as Reply;
    } catch (error) {
      recordFailure(relay);
      throw createFault(
        "outcomeUnknown",
        `Cannot get an answer of runner "${target.id}" through "${relay}"`,
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
      options.callViaRelay(relay, { order: "release", address }, RELAY_SLACK_MS)
        .catch((error: unknown) =>
          logger.info("Connections not released", { relay, address, error })
        );
    },
  };
}

/** Makes a call from here, for this instance or on behalf of another. */
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
