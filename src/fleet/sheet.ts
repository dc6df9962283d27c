/**
 * Parser of the planners' sheet: a CSV file with a header row and one row for
 * each workspace, key or queue. Spreadsheet exports differ in delimiter, line
 * ends, byte order mark and number format. Unambiguous input is accepted;
 * anything else is rejected with its row and column.
 */

import { CsvError, parse } from "csv-parse/sync";
import { createFault, type Fault } from "../common/mod.ts";
import { formatValue } from "./format_value.ts";
import {
  type CellResult,
  createEnumReader,
  createPatternReader,
  parseBooleanCell,
  parseCoresCell,
  parseIntegerCell,
  parseShareCell,
} from "./sheet_values.ts";
import { QUEUE_POLICIES, type QueuePolicy } from "./types.ts";

/** Alternative names of kinds and columns in planners' exports. */
const SHEET_ALIASES: Readonly<Record<string, string>> = Object.freeze({
  team: "workspace",
});

/** Maximum length of a sheet in characters; 890 workspaces with all their keys take a tenth of it. */
export const MAX_SHEET_LENGTH = 4_194_304;
/** Maximum number of problems listed in one message; the rest are counted. */
const MAX_LISTED_PROBLEM_COUNT = 10;

/** The columns of a sheet. Case, spaces, dashes and underscores in the header are ignored. */
export const SHEET_COLUMNS = Object.freeze(
  [
    "kind",
    "name",
    "action",
    "share",
    "slots",
    "processors",
    "memoryMb",
    "accelerators",
    "workspace",
    "hash",
    "open",
    "policy",
  ] as const,
);

/** The name of a column. */
export type SheetColumn = (typeof SHEET_COLUMNS)[number];

interface RowBase {
  /** Row number in the file; the header is usually row 1. */
  readonly row: number;
  readonly name: string;
}

/** A workspace to create, update or remove. An empty cell keeps the current value. */
export interface WorkspaceRow extends RowBase {
  readonly kind: "workspace";
  readonly action: "set" | "remove";
  readonly share?: number;
  readonly slots?: number;
  /** Thousandths of a core; the sheet contains cores. */
  readonly processors?: number;
  readonly memoryMb?: number;
  readonly accelerators?: number;
}

/** A key to grant or withdraw; `name` is its identifier. */
export interface KeyRow extends RowBase {
  readonly kind: "key";
  readonly action: "grant" | "withdraw";
  readonly workspace?: string;
  readonly hash?: string;
}

/** A queue to create, update or remove. */
export interface QueueRow extends RowBase {
  readonly kind: "queue";
  readonly action: "set" | "remove";
  readonly open?: boolean;
  readonly policy?: QueuePolicy;
}

/** A parsed row. */
export type SheetRow = WorkspaceRow | KeyRow | QueueRow;

/** One problem of a sheet. */
export interface SheetProblem {
  readonly row: number;
  readonly column: string;
  readonly value: string;
  readonly message: string;
}

/** Creates the fault that lists the problems of a sheet. */
export function createSheetFault(problems: readonly SheetProblem[]): Fault {
  const listed = problems.slice(0, MAX_LISTED_PROBLEM_COUNT);
  const texts = listed.map(({ row, column, value, message }) =>
    `row ${row}, column "${column}": ${value} ${message}`
  );
  const restCount = problems.length - listed.length;
  if (restCount > 0) texts.push(`and ${restCount} more`);
  return createFault(
    "badRequest",
    `Cannot parse sheet: ${texts.join("; ")}`,
    { details: { problems: listed } },
  );
}

const nameProblem =
  "is not a name of 1 to 63 letters, digits, dots, dashes or underscores";
const readName = createPatternReader(
  /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/,
  nameProblem,
);
const readKeyId = createPatternReader(
  /^[A-Za-z0-9][A-Za-z0-9-]{0,62}$/,
  "is not a key identifier of 1 to 63 letters, digits or dashes",
);
const readHash = createPatternReader(
  /^[0-9a-f]{64}$/,
  "is not a SHA-256 hash of 64 lower-case hex digits",
);
const readSetAction = createEnumReader(["set", "remove"]);

type CellReader = (text: string) => CellResult<unknown>;

// A value in a column that does not apply to the row's kind is rejected;
// otherwise it would be silently ignored.
const CELL_READERS: Readonly<
  Record<SheetRow["kind"], Partial<Record<SheetColumn, CellReader>>>
> = Object.freeze({
  workspace: {
    name: readName,
    action: readSetAction,
    share: parseShareCell,
    slots: parseIntegerCell,
    processors: parseCoresCell,
    memoryMb: parseIntegerCell,
    accelerators: parseIntegerCell,
  },
  key: {
    name: readKeyId,
    action: createEnumReader(["grant", "withdraw"]),
    workspace: readName,
    hash: readHash,
  },
  queue: {
    name: readName,
    action: readSetAction,
    open: parseBooleanCell,
    policy: createEnumReader(QUEUE_POLICIES),
  },
});

function findDelimiter(line: string): string {
  const unquoted = line.replace(/"[^"]*"/g, "");
  const counts = [";", ",", "\t"].map((delimiter) => ({
    delimiter,
    count: unquoted.split(delimiter).length,
  }));
  return counts.reduce((best, next) => next.count > best.count ? next : best)
    .delimiter;
}

function parseRecords(text: string): string[][] {
  const firstLine =
    text.split(/\r\n|\n|\r/).find((line) => line.trim() !== "") ?? "";
  // Some spreadsheets declare the delimiter in a first line such as "sep=;".
  const declared = /^\uFEFF?sep=(.)$/.exec(firstLine)?.[1];
  try {
    return parse(text, {
      bom: true,
      delimiter: declared ?? findDelimiter(firstLine),
      // Files that were edited by hand can mix line ends.
      record_delimiter: ["\r\n", "\n", "\r"],
      relax_column_count: true,
      trim: true,
    });
  } catch (error) {
    if (!(error instanceof CsvError)) throw error;
    const { lines, column } = error as { lines?: number; column?: unknown };
    throw createFault(
      "badRequest",
      `Cannot parse sheet: line ${lines ?? 1}, column ${
        typeof column === "number" ? column + 1 : 1
      }: unclosed quote, or quote inside an unquoted value`,
      { cause: error },
    );
  }
}

function toCanonicalName(text: string): string {
  const plain = text.toLowerCase().replace(/[\s_-]/g, "");
  return SHEET_ALIASES[plain] ?? plain;
}

interface Header {
  row: number;
  columns: (SheetColumn | undefined)[];
}

function readHeader(records: readonly string[][]): Header {
  const index = records.findIndex((record) =>
    record.some((cell) => cell !== "") && !/^sep=/.test(record[0] ?? "")
  );
  const cells = records[index] ?? [];
  const row = index + 1;
  const problems: SheetProblem[] = [];
  const columns = cells.map((cell, i) => {
    if (cell === "") return undefined;
    const column = SHEET_COLUMNS.find((name) =>
      toCanonicalName(name) === toCanonicalName(cell)
    );
    const isDuplicate = cells.slice(0, i).some((other) =>
      toCanonicalName(other) === toCanonicalName(cell)
    );
    if (column === undefined || isDuplicate) {
      const message = isDuplicate
        ? "appears twice"
        : `is not one of ${SHEET_COLUMNS.join(", ")}`;
      problems.push({ row, column: cell, value: formatValue(cell), message });
    }
    return column;
  });
  for (const column of ["kind", "name"] as const) {
    if (columns.includes(column)) continue;
    const message = "is missing in the header";
    problems.push({ row: Math.max(1, row), column, value: '""', message });
  }
  if (problems.length > 0) throw createSheetFault(problems);
  return { row, columns };
}

function createRowReader(header: Header, problems: SheetProblem[]) {
  function addProblem(
    row: number,
    column: string,
    text: string,
    message: string,
  ): undefined {
    problems.push({ row, column, value: formatValue(text), message });
    return undefined;
  }

  function readCells(
    cells: readonly string[],
    row: number,
  ): Map<SheetColumn, string> {
    const found = new Map<SheetColumn, string>();
    for (const [i, cell] of cells.entries()) {
      const column = header.columns[i];
      if (cell === "") continue;
      // Exports often end with empty columns. A value there has no meaning.
      if (column === undefined) {
        addProblem(
          row,
          String(i + 1),
          cell,
          "is in a column without a header",
        );
      } else if (cell.includes("\uFFFD") || cell.includes("\0")) {
        addProblem(row, column, cell, "is not UTF-8 text");
      } else {
        found.set(column, cell);
      }
    }
    return found;
  }

  return function readRow(
    cells: readonly string[],
    row: number,
  ): SheetRow | undefined {
    const values = readCells(cells, row);
    if (values.size === 0) return undefined;
    const kindText = values.get("kind") ?? "";
    const kindWord = kindText.toLowerCase();
    const kind = (["workspace", "key", "queue"] as const).find((word) =>
      word === (SHEET_ALIASES[kindWord] ?? kindWord)
    );
    if (kind === undefined) {
      return addProblem(
        row,
        "kind",
        kindText,
        "is not one of workspace, key, queue",
      );
    }
    values.delete("kind");
    const entry: Record<string, unknown> = { row, kind };
    for (const [column, text] of values) {
      const read = CELL_READERS[kind][column];
      const result = read?.(text) ??
        { problem: `does not belong to a row of kind "${kind}"` };
      if ("problem" in result) addProblem(row, column, text, result.problem);
      else entry[column] = result.value;
    }
    if (!values.has("name")) addProblem(row, "name", "", "is empty");
    if (kind !== "key") entry["action"] ??= "set";
    else if (!values.has("action")) {
      addProblem(row, "action", "", "is neither grant nor withdraw");
    }
    if (kind === "key" && entry["action"] === "grant") {
      for (const column of ["workspace", "hash"] as const) {
        if (!values.has(column)) addProblem(row, column, "", "is empty");
      }
    }
    return entry as unknown as SheetRow;
  };
}

function addDuplicateProblems(
  rows: readonly SheetRow[],
  problems: SheetProblem[],
): void {
  const seen = new Map<string, number>();
  for (const { kind, name, row } of rows) {
    const key = `${kind}/${name}`;
    const first = seen.get(key);
    if (first === undefined) {
      seen.set(key, row);
      continue;
    }
    const message = `already appears in row ${first}`;
    const value = formatValue(name);
    problems.push({ row, column: "name", value, message });
  }
}

/**
 * Parses a sheet. Throws `badRequest` with row and column of each problem, and
 * `tooLarge` above `MAX_SHEET_LENGTH`.
 */
export function parseSheet(text: string): SheetRow[] {
  if (text.length > MAX_SHEET_LENGTH) {
    throw createFault(
      "tooLarge",
      `Cannot parse sheet: ${text.length} characters are more than ${MAX_SHEET_LENGTH}`,
    );
  }
  if (/^(?:\uFFFD|.?\0)/.test(text)) {
    throw createFault(
      "badRequest",
      "Cannot parse sheet: the file is not UTF-8 text; export it as CSV UTF-8",
    );
  }
  const records = parseRecords(text);
  const header = readHeader(records);
  const problems: SheetProblem[] = [];
  const readRow = createRowReader(header, problems);
  const rows: SheetRow[] = [];
  for (const [i, cells] of records.entries()) {
    if (i < header.row) continue;
    const row = readRow(cells, i + 1);
    if (row !== undefined) rows.push(row);
  }
  addDuplicateProblems(rows, problems);
  if (problems.length > 0) throw createSheetFault(problems);
  return rows;
}
