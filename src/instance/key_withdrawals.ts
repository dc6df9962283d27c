/**
 * Withdrawals ahead of the fleet log. Where the log cannot be reached, a
 * withdrawal takes effect on every instance that can be, and is merged into the
 * log later; a withdrawal never reverts, so merging needs no expected version.
 */

import { type Clock, isFault, type Logger, type Timer } from "../common/mod.ts";
import type { FleetChange, FleetView } from "../fleet/types.ts";
import type { KeyWithdrawals, PeerSet } from "../rpc/mod.ts";

/** Time between attempts to merge withdrawals into the fleet log, in milliseconds. */
const MERGE_PERIOD_MS = 1_000;

/** Time for telling one instance, in milliseconds. */
const SEND_TIMEOUT_MS = 1_000;

/** Options of `createKeyWithdrawals`. */
export interface KeyWithdrawalsOptions {
  view: FleetView;
  peers: PeerSet;
  listInstances: () => string[];
  submit: (change: FleetChange) => Promise<number>;
  clock: Clock;
  logger: Logger;
}

/** Withdraws keys at once where it can. */
export interface LocalKeyWithdrawals {
  /** Withdraws keys here and on every instance that answers; returns those that did. */
  withdraw(keyIds: readonly string[]): Promise<string[]>;
  /** Takes withdrawals from another instance. */
  receive(withdrawals: KeyWithdrawals): void;
  stop(): void;
}

/** Starts the merging of withdrawals into the fleet log. */
export function createKeyWithdrawals(
  options: KeyWithdrawalsOptions,
): LocalKeyWithdrawals {
  const { view, clock } = options;
  let timer: Timer;
  let isStopped = false;

  async function mergeOne(keyId: string): Promise<void> {
    const change: FleetChange = {
      changeId: `withdraw-key:${keyId}`,
      operations: [{ type: "withdrawKey", id: keyId }],
    };
    try {
      const version = await options.submit(change);
      view.recordMergedWithdrawal(keyId, version);
      options.logger.info("Merged a key withdrawal", { keyId, version });
    } catch (error) {
      // The log never knew the key, so there is nothing left to withdraw.
      if (isFault(error, "notFound")) {
        view.recordMergedWithdrawal(keyId, view.getVersion());
      }
    }
  }

  async function mergeAll(): Promise<void> {
    for (const withdrawal of view.getLocalWithdrawals()) {
      if (isStopped) return;
      if (withdrawal.mergedVersion === undefined) {
        await mergeOne(withdrawal.keyId);
      }
    }
    setMergeTimer();
  }

  function setMergeTimer(): void {
    // The stop may come while a merge is under way.
    if (isStopped) return;
    timer = clock.setTimer(MERGE_PERIOD_MS, () => void mergeAll());
  }

  function receive(withdrawals: KeyWithdrawals): void {
    view.addLocalWithdrawals(
      withdrawals.keyIds.map((keyId) => ({ keyId, at: withdrawals.at })),
    );
  }

  async function sendTo(
    instance: string,
    withdrawals: KeyWithdrawals,
  ): Promise<boolean> {
    try {
      await options.peers.get(instance).call(
        "Fleet.withdrawKeys",
        withdrawals,
        { timeoutMs: SEND_TIMEOUT_MS },
      );
      return true;
    } catch {
      return false;
    }
  }

  setMergeTimer();

  return {
    async withdraw(keyIds) {
      const withdrawals = { keyIds: [...keyIds], at: clock.wallTime() };
      receive(withdrawals);
      const instances = options.listInstances();
      const outcomes = await Promise.all(
        instances.map((instance) => sendTo(instance, withdrawals)),
      );
      return instances.filter((_, index) => outcomes[index]);
    },
    receive,
    stop() {
      isStopped = true;
      timer.cancel();
    },
  };
}
