/**
 * Parsers of the cells of a planners' sheet. Depending on the locale, exports
 * have a decimal comma or point; a cell that could mean two numbers is
 * rejected.
 */

import { MAX_LIMIT, MAX_SHARE } from "./schema.ts";

/** The value of a cell, or the problem with it. */
export type CellResult<T> = { value: T } | { problem: string };

const NUMBER_PATTERN = /^(\d+)(?:[.,](\d+))?$/;
// "1.500" is 1500 in some locales and 1.5 in others.
const AMBIGUOUS_PATTERN = /^[1-9]\d{0,2}[.,]\d{3}$/;
const AMBIGUOUS_PROBLEM =
  "is ambiguous and can mean a thousand times as much; write it without a separator or without trailing zeros";

/** Parses a non-negative integer; a zero fraction, as in "8,0", is accepted. */
export function parseIntegerCell(text: string): CellResult<number> {
  if (AMBIGUOUS_PATTERN.test(text)) return { problem: AMBIGUOUS_PROBLEM };
  const match = NUMBER_PATTERN.exec(text);
  const isInteger = match !== null && /^0*$/.test(match[2] ?? "");
  const value = isInteger ? Number(match[1]) : NaN;
  if (!Number.isSafeInteger(value)) {
    return { problem: "is not a non-negative integer" };
  }
  if (value > MAX_LIMIT) return { problem: `is more than ${MAX_LIMIT}` };
  return { value };
}

/** Parses a number of cores with up to three decimals; returns thousandths of a core. */
export function parseCoresCell(text: string): CellResult<number> {
  if (AMBIGUOUS_PATTERN.test(text)) return { problem: AMBIGUOUS_PROBLEM };
  const match = NUMBER_PATTERN.exec(text);
  const fraction = (match?.[2] ?? "").replace(/0+$/, "");
  if (match === null || fraction.length > 3) {
    return { problem: "is not a number of cores with up to three decimals" };
  }
  // Shifts the digits, since 1.005 * 1_000 is not exact.
  const value = Number(match[1] + fraction.padEnd(3, "0"));
  if (value > MAX_LIMIT) {
    return { problem: `is more than ${MAX_LIMIT / 1_000}` };
  }
  return { value };
}

/** Parses a share, a number above 0. */
export function parseShareCell(text: string): CellResult<number> {
  if (AMBIGUOUS_PATTERN.test(text)) return { problem: AMBIGUOUS_PROBLEM };
  const isNumber = NUMBER_PATTERN.test(text);
  const value = isNumber ? Number(text.replace(",", ".")) : NaN;
  if (!(value > 0) || value > MAX_SHARE) {
    return { problem: `is not a number above 0 and up to ${MAX_SHARE}` };
  }
  return { value };
}

/** Parses "yes" or "no", "true" or "false", "1" or "0"; case is ignored. */
export function parseBooleanCell(text: string): CellResult<boolean> {
  const lower = text.toLowerCase();
  if (["yes", "true", "1"].includes(lower)) return { value: true };
  if (["no", "false", "0"].includes(lower)) return { value: false };
  return { problem: "is neither yes nor no" };
}

/** Creates a parser that accepts one of `words`; case is ignored. */
export function createEnumReader<T extends string>(
  words: readonly T[],
): (text: string) => CellResult<T> {
  return (text) => {
    const value = words.find((word) => word === text.toLowerCase());
    if (value === undefined) {
      return { problem: `is not one of ${words.join(", ")}` };
    }
    return { value };
  };
}

/** Creates a parser that accepts text that matches `pattern`; `problem` is the message otherwise. */
export function createPatternReader(
  pattern: RegExp,
  problem: string,
): (text: string) => CellResult<string> {
  return (text) => pattern.test(text) ? { value: text } : { problem };
}
