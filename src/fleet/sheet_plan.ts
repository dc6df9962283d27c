/**
 * Computes the change that makes the configuration match the planners' sheet.
 * Anything that the sheet does not list stays unchanged, so a truncated export
 * removes nothing.
 */

import { createHash } from "node:crypto";
import { formatValue } from "./format_value.ts";
import { isSameLimits } from "./limits.ts";
import {
  createSheetFault,
  type KeyRow,
  type QueueRow,
  type SheetProblem,
  type SheetRow,
  type WorkspaceRow,
} from "./sheet.ts";
import {
  type FleetChange,
  type FleetOperation,
  type FleetState,
  LIMIT_NAMES,
  type LimitName,
  type Limits,
} from "./types.ts";

/** The differences between a sheet and the configuration. */
export interface SheetPlan {
  /** One readable line for each difference. */
  readonly lines: readonly string[];
  /** Warnings about rows that change nothing and may be a mistake. */
  readonly notes: readonly string[];
  /** The change to send; absent when there is no difference. It is safe to retry. */
  readonly change?: FleetChange;
}

interface Planner {
  readonly state: FleetState;
  readonly lines: string[];
  readonly notes: string[];
  readonly problems: SheetProblem[];
  readonly operations: FleetOperation[];
  /** Names of the workspaces in rows with the action "set"; below, with "remove". */
  readonly setWorkspaces: ReadonlySet<string>;
  readonly removedWorkspaces: ReadonlySet<string>;
}

function addProblem(
  planner: Planner,
  row: SheetRow,
  column: string,
  value: unknown,
  message: string,
): void {
  const text = formatValue(value ?? "");
  planner.problems.push({ row: row.row, column, value: text, message });
}

function formatCores(thousandths: number): string {
  return String(thousandths / 1_000);
}

function formatLimit(name: LimitName, amount: number): string {
  return name === "processors" ? formatCores(amount) : String(amount);
}

function formatLimits(limits: Limits): string {
  return LIMIT_NAMES.map((name) => `${name} ${formatLimit(name, limits[name])}`)
    .join(", ");
}

function planNewWorkspace(planner: Planner, row: WorkspaceRow): void {
  const columns = ["share", ...LIMIT_NAMES] as const;
  const missing = columns.filter((column) => row[column] === undefined);
  for (const column of missing) {
    addProblem(planner, row, column, "", "is empty, and the workspace is new");
  }
  if (missing.length > 0) return;
  const limits = Object.fromEntries(
    LIMIT_NAMES.map((name) => [name, row[name]]),
  ) as unknown as Limits;
  const { name } = row;
  const share = row.share!;
  planner.lines.push(
    `workspace "${name}": create with share ${share}, ${formatLimits(limits)}`,
  );
  planner.operations.push({ type: "createWorkspace", name, share, limits });
}

function planWorkspace(planner: Planner, row: WorkspaceRow): void {
  const { name } = row;
  const workspace = planner.state.workspaces.get(name);
  if (row.action === "remove") {
    if (workspace === undefined) {
      planner.notes.push(`row ${row.row}: workspace "${name}" does not exist`);
      return;
    }
    const keys = [...planner.state.keys.values()].filter((key) =>
      key.workspace === name
    );
    planner.lines.push(
      `workspace "${name}": remove, withdraw its ${keys.length} keys`,
    );
    planner.operations.push({ type: "removeWorkspace", name });
    return;
  }
  if (workspace === undefined) {
    planNewWorkspace(planner, row);
    return;
  }
  const share = row.share ?? workspace.share;
  const limits = Object.fromEntries(
    LIMIT_NAMES.map((limit) => [limit, row[limit] ?? workspace.limits[limit]]),
  ) as unknown as Limits;
  const differences = LIMIT_NAMES
    .filter((limit) => limits[limit] !== workspace.limits[limit])
    .map((limit) =>
      `${limit} ${formatLimit(limit, workspace.limits[limit])} → ${
        formatLimit(limit, limits[limit])
      }`
    );
  if (share !== workspace.share) {
    differences.unshift(`share ${workspace.share} → ${share}`);
  }
  if (differences.length === 0) return;
  planner.lines.push(`workspace "${name}": ${differences.join(", ")}`);
  planner.operations.push({
    type: "updateWorkspace",
    name,
    ...(share === workspace.share ? {} : { share }),
    ...(isSameLimits(limits, workspace.limits) ? {} : { limits }),
  });
}

function planGrant(planner: Planner, row: KeyRow): void {
  const { name: id } = row;
  const workspace = row.workspace!;
  const hash = row.hash!;
  const key = planner.state.keys.get(id);
  if (planner.removedWorkspaces.has(workspace)) {
    addProblem(
      planner,
      row,
      "workspace",
      workspace,
      "is removed by this sheet",
    );
    return;
  }
  if (
    !planner.state.workspaces.has(workspace) &&
    !planner.setWorkspaces.has(workspace)
  ) {
    addProblem(planner, row, "workspace", workspace, "is not a workspace");
    return;
  }
  if (key === undefined) {
    planner.lines.push(`key "${id}": grant to workspace "${workspace}"`);
    planner.operations.push({ type: "grantKey", id, workspace, hash });
    return;
  }
  if (key.workspace !== workspace || key.hash !== hash) {
    const message =
      `is already a key of workspace "${key.workspace}" and differs in workspace or hash; use a new identifier`;
    addProblem(planner, row, "name", id, message);
  }
}

function planKey(planner: Planner, row: KeyRow): void {
  if (row.action === "grant") {
    planGrant(planner, row);
    return;
  }
  const { name: id } = row;
  const key = planner.state.keys.get(id);
  if (key === undefined) {
    planner.notes.push(
      `row ${row.row}: key "${id}" is not in force: already withdrawn, or a mistyped identifier`,
    );
    return;
  }
  if (row.workspace !== undefined && row.workspace !== key.workspace) {
    addProblem(
      planner,
      row,
      "workspace",
      row.workspace,
      `does not have the key "${id}"`,
    );
    return;
  }
  planner.lines.push(`key "${id}" of workspace "${key.workspace}": withdraw`);
  planner.operations.push({ type: "withdrawKey", id });
}

function planQueue(planner: Planner, row: QueueRow): void {
  const { name } = row;
  const queue = planner.state.queues.get(name);
  if (row.action === "remove") {
    if (queue === undefined) {
      planner.notes.push(`row ${row.row}: queue "${name}" does not exist`);
      return;
    }
    planner.lines.push(`queue "${name}": remove`);
    planner.operations.push({ type: "removeQueue", name });
    return;
  }
  // Not open by default: an open queue accepts work from anyone.
  const open = row.open ?? queue?.open ?? false;
  const policy = row.policy ?? queue?.policy;
  if (policy === undefined) {
    addProblem(planner, row, "policy", "", "is empty, and the queue is new");
    return;
  }
  const text = `${open ? "open" : "with keys"}, policy ${policy}`;
  if (queue === undefined) {
    planner.lines.push(`queue "${name}": create, ${text}`);
    planner.operations.push({ type: "createQueue", name, open, policy });
    return;
  }
  if (queue.open === open && queue.policy === policy) return;
  planner.lines.push(`queue "${name}": ${text}`);
  planner.operations.push({ type: "updateQueue", name, open, policy });
}

function isRemoval(row: SheetRow): boolean {
  return row.kind === "workspace" && row.action === "remove";
}

function buildChange(
  expectedVersion: number,
  operations: FleetOperation[],
): FleetChange {
  const content = JSON.stringify([expectedVersion, operations]);
  const hash = createHash("sha256").update(content).digest("hex");
  return {
    changeId: `sheet-${expectedVersion}-${hash.slice(0, 32)}`,
    expectedVersion,
    operations,
  };
}

/**
 * Plans the change that makes the configuration match the sheet. The change
 * identifier is a hash of the operations and the expected version. The same
 * sheet on the same version therefore yields the same change, and a retry
 * returns the first answer. Throws `badRequest` with row and column of each
 * row that is invalid in this state.
 */
export function planSheet(
  state: FleetState,
  rows: readonly SheetRow[],
): SheetPlan {
  const workspaceRows = rows.filter((row) => row.kind === "workspace");
  const listNames = (action: WorkspaceRow["action"]) =>
    workspaceRows.filter((row) => row.action === action).map((row) => row.name);
  const planner: Planner = {
    state,
    lines: [],
    notes: [],
    problems: [],
    operations: [],
    setWorkspaces: new Set(listNames("set")),
    removedWorkspaces: new Set(listNames("remove")),
  };
  // Workspaces come before the keys that refer to them; removals come last.
  const queueRows = rows.filter((row) => row.kind === "queue");
  const keyRows = rows.filter((row) => row.kind === "key");
  for (const row of queueRows) planQueue(planner, row);
  for (const row of workspaceRows) {
    if (!isRemoval(row)) planWorkspace(planner, row);
  }
  for (const row of keyRows) planKey(planner, row);
  for (const row of workspaceRows) {
    if (isRemoval(row)) planWorkspace(planner, row);
  }
  if (planner.problems.length > 0) throw createSheetFault(planner.problems);
  const { lines, notes, operations } = planner;
  if (operations.length === 0) return { lines, notes };
  return { lines, notes, change: buildChange(state.version, operations) };
}
