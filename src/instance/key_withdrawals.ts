/**
 * Key withdrawals while the fleet log is unreachable. A withdrawal takes effect
 * on every reachable instance at once and is merged into the log later.
 * Withdrawals are never reverted, so the merge needs no expected version.
 */

import { type Clock, isFault, type Logger, type Timer } from "../common/mod.ts";
import type { FleetChange, FleetView } from "../fleet/types.ts";
import type { KeyWithdrawals, PeerSet } from "../rpc/mod.ts";

/** Interval between attempts to merge withdrawals into the fleet log, in milliseconds. */
const MERGE_PERIOD_MS = 1_000;

/** Timeout for sending withdrawals to one instance, in milliseconds. */
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

/** Withdraws keys on all reachable instances. */
export interface LocalKeyWithdrawals {
  /** Withdraws keys here and on the other instances; resolves to the other instances that answered. */
  withdraw(keyIds: readonly string[]): Promise<string[]>;
  /** Applies withdrawals from another instance. */
  receive(withdrawals: KeyWithdrawals): void;
  stop(): void;
}

/** Starts to merge withdrawals into the fleet log. */
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
      // The log does not contain the key, so there is nothing to withdraw.
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
    // The stop may come while a merge is in progress.
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
