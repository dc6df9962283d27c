/** Values in error messages: short, on one line, and without key secrets. */

/** Longest part of a value that a message repeats. */
const MAX_VALUE_LENGTH = 60;

// An operator may paste a secret into the wrong field; the answer and the log
// must not repeat it.
const SECRET_PATTERN = /gcl_([A-Za-z0-9-]{1,63})_[A-Za-z0-9_-]+/g;

/** Formats a value for a message. */
export function formatValue(value: unknown): string {
  if (value === undefined) return "nothing";
  const text = (JSON.stringify(value) ?? String(value)).replaceAll(
    SECRET_PATTERN,
    "gcl_$1_***",
  );
  if (text.length <= MAX_VALUE_LENGTH) return text;
  return `${text.slice(0, MAX_VALUE_LENGTH)}…`;
}
