/**
 * Finds the leader of a data centre's log and calls its `Work` service, in this
 * process or over gRPC. After a leader change it looks the leader up again until
 * the call's timeout, so that a failover delays calls but does not fail them.
 */

import {
  type Clock,
  createFault,
  type Fault,
  toFault,
  wait,
} from "../common/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { PeerSet } from "../rpc/mod.ts";

/** Interval between attempts to find a leader, in milliseconds. */
const LOOKUP_PERIOD_MS = 50;

/** The handlers of the `Work` service in this process. */
export type WorkHandlers = Readonly<
  Record<
    string,
    // deno-lint-ignore no-explicit-any -- the proto file fixes the type of each method
    (request: any, context: { signal: AbortSignal }) => Promise<any>
  >
>;

/** Options of a call. */
export interface LeaderCallOptions {
  dataCentre: string;
  /** Timeout of the call including all attempts, in milliseconds. */
  timeoutMs: number;
  /**
   * Time in which attempts may start, in milliseconds. A call that no leader has
   * accepted by then fails with `unavailable`. Default: `timeoutMs`.
   */
  lookupMs?: number;
  /** Whether the call may be repeated after a lost answer. */
  idempotent: boolean;
  signal?: AbortSignal;
}

/** Calls the leaders of data centres. */
export interface LeaderCalls {
  /**
   * Resolves to the leader's reply or rejects with its fault. Rejects with
   * `outcomeUnknown` when the call may have run, and with `unavailable` when no
   * leader ran it in time.
   */
  call<Reply>(
    method: string,
    request: unknown,
    options: LeaderCallOptions,
  ): Promise<Reply>;
  /** Returns the known leader of the data centre log. */
  findLeader(dataCentre: string): string | undefined;
}

/** Options of `createLeaderCalls`. */
export interface LeaderCallsOptions {
  instance: string;
  clock: Clock;
  peers: PeerSet;
  membership: Membership;
  /** Returns the leader known to this instance's own log member, if any. */
  getLocalLeader: (dataCentre: string) => string | undefined;
  handlers: WorkHandlers;
}

/** Creates a client of the `Work` service. */
export function createLeaderCalls(options: LeaderCallsOptions): LeaderCalls {
  const { clock, membership, peers } = options;

  function findLeader(dataCentre: string): string | undefined {
    const local = options.getLocalLeader(dataCentre);
    if (local !== undefined) return local;
    let best: { leader: string; epoch: number } | undefined;
    for (const peer of membership.list()) {
      if (peer.dataCentre !== dataCentre || !peer.alive) continue;
      if (peer.dataCentreLeader === "") continue;
      if (best !== undefined && peer.dataCentreEpoch <= best.epoch) continue;
      best = { leader: peer.dataCentreLeader, epoch: peer.dataCentreEpoch };
    }
    return best?.leader;
  }

  async function sendTo<Reply>(
    instance: string,
    method: string,
    request: unknown,
    callOptions: { timeoutMs: number; signal?: AbortSignal },
  ): Promise<Reply> {
    if (instance !== options.instance) {
      return await peers.get(instance).call(
        `Work.${method}`,
        request,
        callOptions,
      );
    }
    const handler = options.handlers[method];
    if (handler === undefined) {
      throw createFault("internal", `Cannot call unknown method "${method}"`);
    }
    const signal = callOptions.signal ?? new AbortController().signal;
    return await handler(request, { signal });
  }

  function isRetriable(fault: Fault, isIdempotent: boolean): boolean {
    if (fault.kind === "notLeader") return true;
    if (fault.kind === "unavailable") return fault.details["final"] !== true;
    return fault.kind === "outcomeUnknown" && isIdempotent;
  }

  async function call<Reply>(
    method: string,
    request: unknown,
    callOptions: LeaderCallOptions,
  ): Promise<Reply> {
    const { dataCentre, timeoutMs, signal } = callOptions;
    const startMs = clock.now();
    const lookupUntilMs = startMs +
      Math.min(callOptions.lookupMs ?? timeoutMs, timeoutMs);
    let redirect: string | undefined;
    let last: Fault | undefined;
    // An attempt with a lost answer may have run, whatever later attempts return.
    let unknown: Fault | undefined;
    do {
      const leader = redirect ?? findLeader(dataCentre);
      redirect = undefined;
      if (leader !== undefined) {
        try {
          const remainingMs = Math.max(1, startMs + timeoutMs - clock.now());
          return await sendTo<Reply>(leader, method, request, {
            timeoutMs: remainingMs,
            ...(signal === undefined ? {} : { signal }),
          });
        } catch (error) {
          const fault = toFault(error);
          if (!isRetriable(fault, callOptions.idempotent)) throw fault;
          last = fault;
          if (fault.kind === "outcomeUnknown") unknown = fault;
          const namedLeader = fault.details["leader"];
          if (typeof namedLeader === "string" && namedLeader !== leader) {
            redirect = namedLeader;
          }
        }
      }
      if (signal?.aborted) break;
      await wait(clock, LOOKUP_PERIOD_MS);
    } while (clock.now() < lookupUntilMs);
    if (unknown !== undefined) throw unknown;
    throw createFault(
      "unavailable",
      `Cannot reach a leader of data centre "${dataCentre}"`,
      last === undefined ? {} : { cause: last },
    );
  }

  return { call, findLeader };
}
