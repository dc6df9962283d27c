/**
 * Submits configuration changes to the leader of the fleet log. The change
 * identifier makes proposals idempotent, so a lost answer is followed by
 * another attempt until the timeout.
 */

import { Buffer } from "node:buffer";
import {
  type Clock,
  createFault,
  type Fault,
  isFault,
  toFault,
} from "../common/mod.ts";
import type { ChangeAnswer, FleetChange } from "../fleet/types.ts";
import type { PeerSet } from "../rpc/mod.ts";
import type { ReplicatedLog } from "../replicated_log/mod.ts";

/** Timeout of a change over all attempts, in milliseconds. */
export const CHANGE_TIMEOUT_MS = 5_000;

/** Timeout of one attempt over gRPC, in milliseconds. */
const ATTEMPT_TIMEOUT_MS = 2_000;

/** Delay between attempts, in milliseconds. */
const ATTEMPT_PERIOD_MS = 100;

/** Maximum times a change is forwarded; more would mean a loop between instances with stale leader names. */
const MAX_HOPS = 2;

/** Options of `createFleetChanges`. */
export interface FleetChangesOptions {
  instance: string;
  /** Returns the fleet log; undefined when this instance is no voter or its log has not started. */
  getLog: () => ReplicatedLog | undefined;
  /** Returns the known leader of the fleet log. */
  findLeader: () => string | undefined;
  encodeCommand: (change: FleetChange, at: number) => Uint8Array;
  peers: PeerSet;
  clock: Clock;
}

/** Submits and forwards changes. */
export interface FleetChanges {
  /**
   * Resolves to the version of the accepted change. Rejects with the fault of a
   * refused change, with `unavailable` when the change was not accepted, or with
   * `outcomeUnknown` when it may have been.
   */
  submit(change: FleetChange): Promise<number>;
  /** Makes one attempt; `hops` counts how often the change was forwarded before. */
  forward(change: FleetChange, hops: number): Promise<number>;
}

function getVersion(answer: ChangeAnswer): number {
  if (answer.accepted) return answer.version;
  const { kind, message, ran, details } = answer.fault;
  throw createFault(kind, message, {
    ran,
    ...(details === undefined ? {} : { details }),
  });
}

function isTransient(fault: Fault): boolean {
  return isFault(fault, "notLeader") || isFault(fault, "unavailable") ||
    isFault(fault, "outcomeUnknown") || isFault(fault, "overloaded");
}

/** Creates the submission of changes. */
export function createFleetChanges(options: FleetChangesOptions): FleetChanges {
  const { clock } = options;

  async function forward(change: FleetChange, hops: number): Promise<number> {
    const log = options.getLog();
    if (log?.getLease() !== undefined) {
      const command = options.encodeCommand(change, clock.wallTime());
      const proposed = await log.propose(command);
      return getVersion(proposed.result as ChangeAnswer);
    }
    const leader = options.findLeader();
    if (
      leader === undefined || leader === options.instance || hops >= MAX_HOPS
    ) {
      throw createFault("notLeader", "Cannot find the leader of the fleet log");
    }
    const reply = await options.peers.get(leader).call<
      { change: Uint8Array; hops: number },
      { version: number }
    >(
      "Fleet.propose",
      { change: Buffer.from(JSON.stringify(change)), hops: hops + 1 },
      { timeoutMs: ATTEMPT_TIMEOUT_MS },
    );
    return reply.version;
  }

  async function submit(change: FleetChange): Promise<number> {
    const untilMs = clock.now() + CHANGE_TIMEOUT_MS;
    let last: Fault;
    let isOutcomeUnknown = false;
    do {
      try {
        return await forward(change, 0);
      } catch (error) {
        last = toFault(error);
        if (!isTransient(last)) throw last;
        isOutcomeUnknown ||= last.kind === "outcomeUnknown";
      }
      await new Promise<void>((resolve) => {
        clock.setTimer(ATTEMPT_PERIOD_MS, resolve);
      });
    } while (clock.now() < untilMs);
    throw createFault(
      isOutcomeUnknown ? "outcomeUnknown" : "unavailable",
      `Cannot reach the leader of the fleet log for change "${change.changeId}"; resend it with the same change identifier`,
      { cause: last },
    );
  }

  return { submit, forward };
}
