/**
 * Applies operations to a draft and rejects those that are invalid in the
 * current state. The answers are part of the replicated state, so every voter
 * must use the same texts.
 */

import { createFault, type Fault, type FaultKind } from "../common/mod.ts";
import { closeDivision, updateDivision } from "./division.ts";
import type { Draft } from "./draft.ts";
import { formatValue } from "./format_value.ts";
import { isSameLimits } from "./limits.ts";
import type { FleetOperation, Limits, Workspace } from "./types.ts";

/** Maximum number of workspace names ever used. Removed workspaces count, since their divisions are kept. */
export const MAX_WORKSPACE_NAMES = 20_000;
/** Maximum number of keys in force. */
export const MAX_KEYS = 100_000;
/** Maximum number of queues. */
export const MAX_QUEUES = 10_000;
/** Maximum number of different sets of data centres ever used. */
export const MAX_DATA_CENTRE_SETS = 1_000;

type Operation<T extends FleetOperation["type"]> = Extract<
  FleetOperation,
  { type: T }
>;

interface Problem {
  kind: FaultKind;
  field: string;
  value: unknown;
  message: string;
}

function createProblem(
  kind: FaultKind,
  field: string,
  value: unknown,
  message: string,
): Problem {
  return { kind, field, value, message };
}

type Outcome = Problem | undefined;

function findCurrentSet(draft: Draft): number {
  const { configured, sets } = draft.getDataCentres();
  const text = configured.join("/");
  return sets.findIndex((set) => set.join("/") === text);
}

function setWorkspace(draft: Draft, workspace: Workspace): void {
  const old = draft.workspaces.get(workspace.name);
  draft.workspaces.set(workspace.name, workspace);
  if (old !== undefined && old.limits === workspace.limits) return;
  const division = draft.divisions.get(workspace.name);
  const updated = updateDivision(
    division,
    workspace.limits,
    findCurrentSet(draft),
  );
  if (updated !== division) draft.divisions.set(workspace.name, updated);
}

function applyCreateWorkspace(
  draft: Draft,
  op: Operation<"createWorkspace">,
): Outcome {
  if (draft.workspaces.get(op.name) !== undefined) {
    return createProblem("badRequest", "name", op.name, "exists already");
  }
  const isNewName = draft.divisions.get(op.name) === undefined;
  if (isNewName && draft.divisions.getSize() >= MAX_WORKSPACE_NAMES) {
    const message = `is one more than ${MAX_WORKSPACE_NAMES} workspace names`;
    return createProblem("limitReached", "name", op.name, message);
  }
  setWorkspace(draft, { name: op.name, share: op.share, limits: op.limits });
}

function applyUpdateWorkspace(
  draft: Draft,
  op: Operation<"updateWorkspace">,
): Outcome {
  const workspace = draft.workspaces.get(op.name);
  if (workspace === undefined) {
    return createProblem("notFound", "name", op.name, "is not a workspace");
  }
  const merged: Limits = { ...workspace.limits, ...op.limits };
  const limits = isSameLimits(merged, workspace.limits)
    ? workspace.limits
    : merged;
  setWorkspace(draft, {
    name: op.name,
    share: op.share ?? workspace.share,
    limits,
  });
}

function withdraw(draft: Draft, keyId: string): void {
  const key = draft.keys.get(keyId);
  if (key === undefined) return;
  draft.keys.remove(keyId);
  draft.addWithdrawnKey({ ...key, withdrawnAt: draft.at });
}

function applyRemoveWorkspace(
  draft: Draft,
  op: Operation<"removeWorkspace">,
): Outcome {
  if (draft.workspaces.get(op.name) === undefined) {
    return createProblem("notFound", "name", op.name, "is not a workspace");
  }
  for (const key of draft.keys.list()) {
    if (key.workspace === op.name) withdraw(draft, key.id);
  }
  // Keeps the division. A workspace of the same name may be created before
  // every data centre has applied the removal; a new division could then grant
  // the same units twice.
  draft.workspaces.remove(op.name);
}

function applyGrantKey(draft: Draft, op: Operation<"grantKey">): Outcome {
  if (draft.workspaces.get(op.workspace) === undefined) {
    return createProblem(
      "notFound",
      "workspace",
      op.workspace,
      "is not a workspace",
    );
  }
  if (draft.isWithdrawn(op.id)) {
    const message = "was withdrawn, which is final; use a new identifier";
    return createProblem("badRequest", "id", op.id, message);
  }
  if (draft.keys.get(op.id) !== undefined) {
    return createProblem("badRequest", "id", op.id, "is granted already");
  }
  if (draft.keys.getSize() >= MAX_KEYS) {
    const message = `is one more than ${MAX_KEYS} keys`;
    return createProblem("limitReached", "id", op.id, message);
  }
  draft.keys.set(op.id, {
    id: op.id,
    workspace: op.workspace,
    hash: op.hash,
    grantedAt: draft.at,
  });
}

function applyWithdrawKey(draft: Draft, op: Operation<"withdrawKey">): Outcome {
  if (draft.keys.get(op.id) === undefined && !draft.isWithdrawn(op.id)) {
    return createProblem("notFound", "id", op.id, "was never granted");
  }
  withdraw(draft, op.id);
}

function applyCreateQueue(draft: Draft, op: Operation<"createQueue">): Outcome {
  if (draft.queues.get(op.name) !== undefined) {
    return createProblem("badRequest", "name", op.name, "exists already");
  }
  if (draft.queues.getSize() >= MAX_QUEUES) {
    const message = `is one more than ${MAX_QUEUES} queues`;
    return createProblem("limitReached", "name", op.name, message);
  }
  const { name, open, policy } = op;
  draft.queues.set(name, { name, open, policy });
}

function applyUpdateQueue(draft: Draft, op: Operation<"updateQueue">): Outcome {
  const queue = draft.queues.get(op.name);
  if (queue === undefined) {
    return createProblem("notFound", "name", op.name, "is not a queue");
  }
  draft.queues.set(op.name, {
    name: op.name,
    open: op.open ?? queue.open,
    policy: op.policy ?? queue.policy,
  });
}

function applyRemoveQueue(draft: Draft, op: Operation<"removeQueue">): Outcome {
  if (draft.queues.get(op.name) === undefined) {
    return createProblem("notFound", "name", op.name, "is not a queue");
  }
  draft.queues.remove(op.name);
}

function applySetDataCentres(
  draft: Draft,
  op: Operation<"setDataCentres">,
): Outcome {
  const old = draft.getDataCentres();
  const configured = [...op.names].sort();
  const duplicate = configured.find((name, i) => name === configured[i + 1]);
  if (duplicate !== undefined) {
    return createProblem("badRequest", "names", duplicate, "is named twice");
  }
  const closed = configured.find((name) => old.closed.includes(name));
  if (closed !== undefined) {
    const message = "was closed; use a new name";
    return createProblem("badRequest", "names", closed, message);
  }
  const removed = old.configured.filter((name) => !configured.includes(name));
  const leaving = [...old.leaving, ...removed]
    .filter((name) => !configured.includes(name))
    .sort();
  const isFirst = old.configured.length === 0;
  const text = configured.join("/");
  const isKnown = old.sets.some((set) => set.join("/") === text);
  if (!isKnown && old.sets.length >= MAX_DATA_CENTRE_SETS) {
    const message = `are one more than ${MAX_DATA_CENTRE_SETS} different sets`;
    return createProblem("limitReached", "names", configured, message);
  }
  const sets = isFirst
    ? [configured]
    : isKnown
    ? old.sets
    : [...old.sets, configured];
  draft.setDataCentres({ configured, leaving, closed: old.closed, sets });
}

function applyCloseDataCentre(
  draft: Draft,
  op: Operation<"closeDataCentre">,
): Outcome {
  const old = draft.getDataCentres();
  if (!old.leaving.includes(op.name)) {
    const message = "is not a data centre that was removed and not yet closed";
    return createProblem("notFound", "name", op.name, message);
  }
  const { divisionVersion } = draft.base;
  if (op.appliedVersion < divisionVersion) {
    const message =
      `is below ${divisionVersion}, the version that last changed a limit`;
    return createProblem(
      "versionConflict",
      "appliedVersion",
      op.appliedVersion,
      message,
    );
  }
  const currentSet = findCurrentSet(draft);
  for (const workspace of draft.divisions.listNames()) {
    const division = closeDivision(
      {
        workspaces: draft.workspaces,
        divisions: draft.divisions,
        dataCentreSets: old.sets,
      },
      workspace,
      op.name,
      currentSet,
    );
    if (division !== undefined) draft.divisions.set(workspace, division);
  }
  draft.setDataCentres({
    ...old,
    leaving: old.leaving.filter((name) => name !== op.name),
    closed: [...old.closed, op.name].sort(),
  });
  // A closed name is never used again, so nothing could end its evacuation.
  draft.setEvacuated(op.name, false);
}

function applyEvacuation(
  draft: Draft,
  op: Operation<"evacuateDataCentre" | "readmitDataCentre">,
): Outcome {
  const { configured, leaving } = draft.getDataCentres();
  // A leaving data centre may still run work and take new work.
  if (!configured.includes(op.name) && !leaving.includes(op.name)) {
    return createProblem("notFound", "name", op.name, "is not a data centre");
  }
  draft.setEvacuated(op.name, op.type === "evacuateDataCentre");
}

function applyOperation(draft: Draft, op: FleetOperation): Outcome {
  switch (op.type) {
    case "createWorkspace":
      return applyCreateWorkspace(draft, op);
    case "updateWorkspace":
      return applyUpdateWorkspace(draft, op);
    case "removeWorkspace":
      return applyRemoveWorkspace(draft, op);
    case "grantKey":
      return applyGrantKey(draft, op);
    case "withdrawKey":
      return applyWithdrawKey(draft, op);
    case "createQueue":
      return applyCreateQueue(draft, op);
    case "updateQueue":
      return applyUpdateQueue(draft, op);
    case "removeQueue":
      return applyRemoveQueue(draft, op);
    case "setDataCentres":
      return applySetDataCentres(draft, op);
    case "closeDataCentre":
      return applyCloseDataCentre(draft, op);
    case "evacuateDataCentre":
    case "readmitDataCentre":
      return applyEvacuation(draft, op);
  }
}

// `appliedVersion` proves that the data centre has applied all earlier limits,
// but not those set by the same change.
function findOrderProblem(
  operations: readonly FleetOperation[],
  index: number,
): Outcome {
  const operation = operations[index]!;
  const previous = operations[index - 1];
  if (operation.type !== "closeDataCentre" || previous === undefined) return;
  if (previous.type === "closeDataCentre") return;
  const message = "has to come before operations of other types";
  return createProblem("badRequest", "type", operation.type, message);
}

/** Applies operations in order, up to the first invalid one; returns its fault. */
export function applyOperations(
  draft: Draft,
  operations: readonly FleetOperation[],
): Fault | undefined {
  for (const [index, operation] of operations.entries()) {
    const problem = findOrderProblem(operations, index) ??
      applyOperation(draft, operation);
    if (problem === undefined) continue;
    const path = `operations[${index}].${problem.field}`;
    const value = formatValue(problem.value);
    return createFault(
      problem.kind,
      `Cannot apply change: ${path}: ${value} ${problem.message}`,
      { details: { problems: [{ path, value, message: problem.message }] } },
    );
  }
  return undefined;
}
