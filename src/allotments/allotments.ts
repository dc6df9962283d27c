/**
 * Allotments of one data centre, a part of the state machine of its log. Every
 * change of `held` is a committed command that takes effect once: grants and
 * cuts once per configuration version, an incoming transfer once per identifier.
 * Therefore the sum over all data centres and transfers in progress equals the
 * granted limit.
 */

import { Buffer } from "node:buffer";
import { z } from "zod";
import {
  addLimits,
  buildLimits,
  computeGranted,
  decodeJson,
  type FleetState,
  hasPositiveLimit,
  isSameLimits,
  isZeroLimits,
  LIMIT_NAMES,
  type Limits,
  NO_LIMITS,
  subtractLimits,
} from "../fleet/mod.ts";
import type {
  AllotmentChange,
  AllotmentCommand,
  AllotmentResult,
  Allotments,
  AllotmentTransfer,
} from "./types.ts";

const limitsSchema = z.strictObject({
  slots: z.int(),
  processors: z.int(),
  memoryMb: z.int(),
  accelerators: z.int(),
});

const snapshotSchema = z.strictObject({
  format: z.literal(1),
  dataCentre: z.string(),
  appliedVersion: z.int(),
  // Left out unless true, so that older versions can read the snapshot.
  evacuated: z.literal(true).optional(),
  workspaces: z.array(z.tuple([z.string(), limitsSchema, limitsSchema])),
  sent: z.array(z.tuple([z.string(), z.int()])),
  received: z.array(z.tuple([z.string(), z.int(), z.array(z.int())])),
  inProgress: z.array(z.strictObject({
    id: z.string(),
    from: z.string(),
    to: z.string(),
    workspace: z.string(),
    amount: limitsSchema,
  })),
});

interface WorkspaceEntry {
  /** Sum of grants minus cuts. */
  granted: Limits;
  held: Limits;
}

/**
 * Numbers of the transfers received from one sender. The sender resends each
 * transfer until it is acknowledged, so gaps are filled and the set stays small.
 */
interface Received {
  /** All numbers up to this one have been received. */
  upTo: number;
  /** Received numbers above `upTo`, which arrived out of order. */
  beyond: Set<number>;
}

const APPLIED: AllotmentResult = Object.freeze({ applied: true });
const DUPLICATE: AllotmentResult = Object.freeze({
  applied: false,
  reason: "duplicate",
});

function buildRefusal(message: string): AllotmentResult {
  return { applied: false, reason: "refused", message };
}

function isAmount(amount: Limits): boolean {
  const isValid = LIMIT_NAMES.every((name) =>
    Number.isSafeInteger(amount[name]) && amount[name] >= 0
  );
  return isValid && hasPositiveLimit(amount);
}

/** Returns the number in a transfer identifier, or undefined if the identifier does not match `from` and `to`. */
function findTransferNumber(transfer: AllotmentTransfer): number | undefined {
  const prefix = `${transfer.from}/${transfer.to}/`;
  if (!transfer.id.startsWith(prefix)) return undefined;
  const text = transfer.id.slice(prefix.length);
  return /^[1-9][0-9]{0,14}$/.test(text) ? Number(text) : undefined;
}

/** Creates the allotments of `dataCentre`, which are empty at first. */
export function createAllotments(dataCentre: string): Allotments {
  const workspaces = new Map<string, WorkspaceEntry>();
  const sent = new Map<string, number>();
  const received = new Map<string, Received>();
  const inProgress = new Map<string, AllotmentTransfer>();
  let appliedVersion = 0;
  let isEvacuated = false;

  function addToWorkspace(
    workspace: string,
    granted: Limits,
    held: Limits,
  ): void {
    const old = workspaces.get(workspace) ??
      { granted: NO_LIMITS, held: NO_LIMITS };
    const entry = {
      granted: addLimits(old.granted, granted),
      held: addLimits(old.held, held),
    };
    const isEmpty = isZeroLimits(entry.granted) && isZeroLimits(entry.held);
    if (isEmpty) workspaces.delete(workspace);
    else workspaces.set(workspace, entry);
  }

  function applyConfiguration(
    command: Extract<AllotmentCommand, { type: "applyConfiguration" }>,
  ): AllotmentResult {
    const { fromVersion, version, changes } = command;
    if (version <= appliedVersion) return DUPLICATE;
    if (fromVersion !== appliedVersion) {
      return buildRefusal(
        `Cannot apply configuration version "${version}": it is based on version "${fromVersion}", but the applied version is "${appliedVersion}"`,
      );
    }
    for (const { workspace, grant, cut } of changes) {
      const change = subtractLimits(grant, cut);
      addToWorkspace(workspace, change, change);
    }
    appliedVersion = version;
    isEvacuated = command.evacuated === true;
    return APPLIED;
  }

  function applyTransferOut(
    to: string,
    workspace: string,
    amount: Limits,
  ): AllotmentResult {
    const held = workspaces.get(workspace)?.held ?? NO_LIMITS;
    if (to === dataCentre || !isAmount(amount)) {
      return buildRefusal(
        `Cannot transfer ${
          JSON.stringify(amount)
        } of "${workspace}" to "${to}"`,
      );
    }
    const isHeld = LIMIT_NAMES.every((name) =>
      amount[name] === 0 || amount[name] <= held[name]
    );
    if (!isHeld) {
      return buildRefusal(
        `Cannot transfer ${JSON.stringify(amount)} of "${workspace}": held is ${
          JSON.stringify(held)
        }`,
      );
    }
    const number = (sent.get(to) ?? 0) + 1;
    const id = `${dataCentre}/${to}/${number}`;
    const transfer = { id, from: dataCentre, to, workspace, amount };
    sent.set(to, number);
    inProgress.set(id, transfer);
    addToWorkspace(workspace, NO_LIMITS, subtractLimits(NO_LIMITS, amount));
    return { applied: true, transfer };
  }

  function recordNumber(from: string, number: number): boolean {
    const known = received.get(from) ?? { upTo: 0, beyond: new Set() };
    if (number <= known.upTo || known.beyond.has(number)) return false;
    known.beyond.add(number);
    while (known.beyond.delete(known.upTo + 1)) known.upTo += 1;
    received.set(from, known);
    return true;
  }

  function applyTransferIn(transfer: AllotmentTransfer): AllotmentResult {
    const { id, from, to, workspace, amount } = transfer;
    const number = findTransferNumber(transfer);
    const isAddressedHere = to === dataCentre && from !== dataCentre;
    if (!isAddressedHere || number === undefined || !isAmount(amount)) {
      return buildRefusal(
        `Cannot receive transfer "${id}" from "${from}" to "${to}" in "${dataCentre}"`,
      );
    }
    if (!recordNumber(from, number)) return DUPLICATE;
    addToWorkspace(workspace, NO_LIMITS, amount);
    return APPLIED;
  }

  function apply(command: AllotmentCommand): AllotmentResult {
    switch (command.type) {
      case "applyConfiguration":
        return applyConfiguration(command);
      case "transferOut":
        return applyTransferOut(command.to, command.workspace, command.amount);
      case "transferIn":
        return applyTransferIn(command.transfer);
      case "transferAcknowledged":
        return inProgress.delete(command.transferId) ? APPLIED : DUPLICATE;
    }
  }

  function computeChange(
    state: FleetState,
    workspace: string,
  ): AllotmentChange | undefined {
    const granted = workspaces.get(workspace)?.granted ?? NO_LIMITS;
    const next = computeGranted(state, workspace, dataCentre);
    if (isSameLimits(granted, next)) return undefined;
    const change = subtractLimits(next, granted);
    return {
      workspace,
      grant: buildLimits((name) => Math.max(0, change[name])),
      cut: buildLimits((name) => Math.max(0, -change[name])),
    };
  }

  return {
    dataCentre,
    apply,
    takeSnapshot: () =>
      Buffer.from(JSON.stringify({
        format: 1,
        dataCentre,
        appliedVersion,
        ...(isEvacuated ? { evacuated: true } : {}),
        workspaces: [...workspaces].map(([workspace, { granted, held }]) => [
          workspace,
          granted,
          held,
        ]),
        sent: [...sent],
        received: [...received].map(([from, { upTo, beyond }]) => [
          from,
          upTo,
          [...beyond],
        ]),
        inProgress: [...inProgress.values()],
      })),
    restoreSnapshot(data) {
      const snapshot = decodeJson(data, snapshotSchema, "allotment snapshot");
      if (snapshot.dataCentre !== dataCentre) {
        throw new Error(
          `Cannot restore allotments of "${snapshot.dataCentre}" in "${dataCentre}"`,
        );
      }
      appliedVersion = snapshot.appliedVersion;
      isEvacuated = snapshot.evacuated === true;
      workspaces.clear();
      sent.clear();
      received.clear();
      inProgress.clear();
      for (const [workspace, granted, held] of snapshot.workspaces) {
        workspaces.set(workspace, { granted, held });
      }
      for (const [to, number] of snapshot.sent) sent.set(to, number);
      for (const [from, upTo, beyond] of snapshot.received) {
        received.set(from, { upTo, beyond: new Set(beyond) });
      }
      for (const transfer of snapshot.inProgress) {
        inProgress.set(transfer.id, transfer);
      }
    },
    getAppliedVersion: () => appliedVersion,
    isEvacuated: () => isEvacuated,
    getHeld: (workspace) => workspaces.get(workspace)?.held ?? NO_LIMITS,
    listWorkspaces() {
      const names = new Set(workspaces.keys());
      for (const { workspace } of inProgress.values()) names.add(workspace);
      return [...names].sort();
    },
    getTransfersInProgress: () => [...inProgress.values()],
    planConfiguration(state) {
      if (state.version <= appliedVersion) return undefined;
      const changes: AllotmentChange[] = [];
      // Most configuration changes affect keys, shares or queues, not limits.
      if (state.divisionVersion > appliedVersion) {
        for (const workspace of state.divisions.keys()) {
          const change = computeChange(state, workspace);
          if (change !== undefined) changes.push(change);
        }
      }
      return {
        type: "applyConfiguration",
        fromVersion: appliedVersion,
        version: state.version,
        changes,
        ...(state.evacuatedDataCentres.includes(dataCentre)
          ? { evacuated: true }
          : {}),
      };
    },
  };
}
