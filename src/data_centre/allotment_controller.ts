/**
 * Controller of the allotments of a data centre for one leadership. It applies
 * configuration versions, asks other data centres for idle allotment, transfers
 * idle allotment to them, and resends transfers until they are acknowledged.
 */

import { computeFairShare } from "../allotments/mod.ts";
import type {
  AllotmentAsk,
  AllotmentCommand,
  AllotmentResult,
  Allotments,
  AllotmentTransfer,
  Rebalancer,
  WorkspaceLoad,
} from "../allotments/mod.ts";
import {
  type Clock,
  createFault,
  type Logger,
  type Timer,
} from "../common/mod.ts";
import {
  addLimits,
  type FleetView,
  isZeroLimits,
  type Limits,
  subtractLimits,
} from "../fleet/mod.ts";
import { isEvacuated } from "./evacuation.ts";

/** Time between reconciliations, in milliseconds. */
const RECONCILE_PERIOD_MS = 200;

/** Interval at which an unacknowledged transfer is resent, in milliseconds. */
const TRANSFER_REPEAT_MS = 1_000;

/** Running and waiting work of a workspace. */
export interface MeasuredLoad {
  readonly running: Limits;
  readonly waiting: Limits;
}

/** Options of the controller. */
export interface AllotmentControllerOptions {
  dataCentre: string;
  allotments: Allotments;
  rebalancer: Rebalancer;
  view: FleetView;
  clock: Clock;
  logger: Logger;
  propose: (command: AllotmentCommand) => Promise<AllotmentResult>;
  holdsLease: () => boolean;
  /** Returns the load by workspace. */
  measureLoads: () => Map<string, MeasuredLoad>;
  /** Sends an ask to the leader of `ask.to`; resolves to the offered amount. */
  sendAsk: (ask: AllotmentAsk) => Promise<Limits>;
  /** Sends a transfer to the leader of `transfer.to`; resolves once it is recorded there. */
  sendTransfer: (transfer: AllotmentTransfer) => Promise<void>;
  /** Called when the results of `computeUsable` may have changed. */
  handleChange: () => void;
  handleFailure: (error: unknown) => void;
}

/** Controller of the allotments of a data centre. */
export interface AllotmentController {
  /**
   * Computes the limits that apply to new work of a workspace: the held allotment
   * less the amounts reserved for, or being transferred to, other data centres.
   */
  computeUsable(workspace: string, load: MeasuredLoad | undefined): Limits;
  /** Answers an ask of another data centre; the offered amount follows as a transfer. */
  receiveAsk(ask: AllotmentAsk): Promise<Limits>;
  /** Receives a transfer; resolves once it is recorded. Throws the fault `unavailable` if it is refused. */
  receiveTransfer(transfer: AllotmentTransfer): Promise<void>;
  stop(): void;
}

const NO_LIMITS: Limits = Object.freeze({
  slots: 0,
  processors: 0,
  memoryMb: 0,
  accelerators: 0,
});

/** Creates the controller. */
export function createAllotmentController(
  options: AllotmentControllerOptions,
): AllotmentController {
  const { allotments, rebalancer, clock } = options;
  const sentAtMs = new Map<string, number>();
  const pendingTransfersOut = new Map<string, Limits>();
  /** Cuts of the configuration being recorded. */
  const pendingCuts = new Map<string, Limits>();
  let timer: Timer | undefined;
  let isStopped = false;

  const isEvacuatedNow = () => isEvacuated(options.view, allotments);

  /** Returns whether waiting work may start here and needs allotment. */
  function isOpenForWork(): boolean {
    const { dataCentres } = options.view.getState();
    return dataCentres.includes(options.dataCentre) && !isEvacuatedNow();
  }

  function toWorkspaceLoad(
    workspace: string,
    load: MeasuredLoad | undefined,
  ): WorkspaceLoad {
    const { workspaces, dataCentres } = options.view.getState();
    return {
      // Excludes amounts being transferred or cut, or an ask would get them too.
      held: subtractLimits(
        allotments.getHeld(workspace),
        addLimits(
          pendingTransfersOut.get(workspace) ?? NO_LIMITS,
          pendingCuts.get(workspace) ?? NO_LIMITS,
        ),
      ),
      running: load?.running ?? NO_LIMITS,
      // A leaving or evacuated data centre asks for no further allotment, and
      // offers what its running work does not need.
      waiting: isOpenForWork() ? load?.waiting ?? NO_LIMITS : NO_LIMITS,
      fair: computeFairShare(
        workspaces.get(workspace)?.limits ?? NO_LIMITS,
        dataCentres.length,
      ),
    };
  }

  function buildLoads(): Map<string, WorkspaceLoad> {
    const measured = options.measureLoads();
    const names = new Set([...allotments.listWorkspaces(), ...measured.keys()]);
    const loads = new Map<string, WorkspaceLoad>();
    for (const workspace of names) {
      loads.set(workspace, toWorkspaceLoad(workspace, measured.get(workspace)));
    }
    return loads;
  }

  async function applyConfiguration(): Promise<void> {
    const command = allotments.planConfiguration(options.view.getState());
    if (command?.type !== "applyConfiguration") return;
    for (const { workspace, cut } of command.changes) {
      pendingCuts.set(workspace, cut);
    }
    options.handleChange();
    await options.propose(command);
    pendingCuts.clear();
    options.handleChange();
  }

  function sendTransfers(): void {
    const open = allotments.getTransfersInProgress();
    const openIds = new Set(open.map((transfer) => transfer.id));
    for (const id of sentAtMs.keys()) {
      if (!openIds.has(id)) sentAtMs.delete(id);
    }
    for (const transfer of open) {
      const lastMs = sentAtMs.get(transfer.id) ?? -Infinity;
      if (clock.now() - lastMs < TRANSFER_REPEAT_MS) continue;
      sentAtMs.set(transfer.id, clock.now());
      void sendAndAcknowledge(transfer);
    }
  }

  async function sendAndAcknowledge(
    transfer: AllotmentTransfer,
  ): Promise<void> {
    try {
      await options.sendTransfer(transfer);
      if (isStopped || !options.holdsLease()) return;
      await options.propose({
        type: "transferAcknowledged",
        transferId: transfer.id,
      });
    } catch (error) {
      options.logger.debug("Transfer not acknowledged; it will be resent", {
        transfer: transfer.id,
        error,
      });
    }
  }

  function addPendingTransferOut(workspace: string, amount: Limits): void {
    const sum = addLimits(
      pendingTransfersOut.get(workspace) ?? NO_LIMITS,
      amount,
    );
    if (isZeroLimits(sum)) pendingTransfersOut.delete(workspace);
    else pendingTransfersOut.set(workspace, sum);
  }

  async function transferTo(
    to: string,
    workspace: string,
    amount: Limits,
  ): Promise<boolean> {
    // No work may use the amount while the transfer is being recorded.
    addPendingTransferOut(workspace, amount);
    options.handleChange();
    try {
      const result = await options.propose({
        type: "transferOut",
        to,
        workspace,
        amount,
      });
      if (result.applied) sendTransfers();
      return result.applied;
    } finally {
      addPendingTransferOut(workspace, subtractLimits(NO_LIMITS, amount));
      options.handleChange();
    }
  }

  function sendAsks(loads: ReadonlyMap<string, WorkspaceLoad>): void {
    const { dataCentre } = options;
    // Without waiting work it would still ask for its fair share.
    if (isEvacuatedNow()) return;
    const peers = options.view.getState().dataCentres
      .filter((name) => name !== dataCentre);
    for (const ask of rebalancer.planAsks(loads, peers)) {
      void options.sendAsk(ask).then(
        (offered) => rebalancer.recordOffer(ask, offered),
        () => rebalancer.recordOffer(ask, NO_LIMITS),
      );
    }
  }

  async function sendReturns(
    loads: ReadonlyMap<string, WorkspaceLoad>,
  ): Promise<void> {
    const { dataCentres, leavingDataCentres } = options.view.getState();
    if (!leavingDataCentres.includes(options.dataCentre)) return;
    const returns = rebalancer.planReturns(loads, dataCentres);
    // All at the same time, so that no work starts on one amount while another
    // is being recorded.
    await Promise.all(
      returns.map(({ to, workspace, amount }) =>
        transferTo(to, workspace, amount)
      ),
    );
  }

  async function reconcile(): Promise<void> {
    try {
      if (!options.holdsLease()) return;
      await applyConfiguration();
      // A successor in the same epoch would not know about further proposals.
      if (isStopped || !options.holdsLease()) return;
      options.handleChange();
      const loads = buildLoads();
      sendAsks(loads);
      await sendReturns(loads);
      sendTransfers();
    } catch (error) {
      stop();
      options.handleFailure(error);
    } finally {
      if (!isStopped) {
        timer = clock.setTimer(RECONCILE_PERIOD_MS, () => void reconcile());
      }
    }
  }

  function stop(): void {
    isStopped = true;
    timer?.cancel();
  }

  timer = clock.setTimer(0, () => void reconcile());

  return {
    computeUsable(workspace, measured) {
      const load = toWorkspaceLoad(workspace, measured);
      // A reserved amount would end running work; without new work, allotment
      // becomes idle as the running work ends.
      if (isEvacuatedNow()) return load.held;
      return subtractLimits(load.held, rebalancer.getReserved(workspace, load));
    },
    async receiveAsk(ask) {
      const load = options.measureLoads().get(ask.workspace);
      const offer = rebalancer.computeOffer(
        ask,
        toWorkspaceLoad(ask.workspace, load),
      );
      if (isZeroLimits(offer)) return offer;
      return await transferTo(ask.from, ask.workspace, offer)
        ? offer
        : NO_LIMITS;
    },
    async receiveTransfer(transfer) {
      const result = await options.propose({ type: "transferIn", transfer });
      if (result.applied) rebalancer.recordReceipt(transfer);
      options.handleChange();
      if (result.applied || result.reason === "duplicate") return;
      throw createFault(
        "unavailable",
        `Cannot receive transfer "${transfer.id}": ${result.message}`,
      );
    },
    stop,
  };
}
