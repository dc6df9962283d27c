/** Formats values for error messages: short, on one line, and with key secrets masked. */

/** Length at which a value is truncated, in characters. */
const MAX_VALUE_LENGTH = 60;

// An operator may paste a secret into the wrong field. Answers and logs must
// not contain it.
const SECRET_PATTERN = /gcl_([A-Za-z0-9-]{1,63})_[A-Za-z0-9_-]+/g;

/** Formats a value as JSON, truncated and with key secrets masked. */
export function formatValue(value: unknown): string {
  if (value === undefined) return "nothing";
  const text = (JSON.stringify(value) ?? String(value)).replaceAll(
    SECRET_PATTERN,
    "gcl_$1_***",
  );
  if (text.length <= MAX_VALUE_LENGTH) return text;
  return `${text.slice(0, MAX_VALUE_LENGTH)}…`;
}
