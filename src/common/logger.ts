/**
 * Structured logging through `loglevel`: one JSON object per line. Each module
 * is given a logger and adds its own fields with `with`.
 */

import process from "node:process";
import loglevel from "loglevel";

/** Additional fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** A structured logger. */
export interface Logger {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
  /** Returns a child logger that adds `fields` to every line. */
  with(fields: LogFields): Logger;
}

/** Log levels, from most to least verbose. */
export const LOG_LEVELS = Object.freeze(
  ["debug", "info", "warn", "error"] as const,
);

/** A log level. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Options of a logger. */
export interface LoggerOptions {
  /** Lines below this level are dropped. Default "info". */
  level?: LogLevel;
  /** Fields added to every line, such as the instance and the data centre. */
  fields?: LogFields;
  /** Receives each line without a trailing newline. Default: writes to standard error. */
  write?: (line: string) => void;
}

function renderError(error: Error): Record<string, unknown> {
  const kind = (error as { kind?: unknown }).kind;
  const cause = (error as { jse_cause?: unknown }).jse_cause ?? error.cause;
  return {
    ...(kind === undefined ? {} : { kind }),
    message: error.message,
    ...(cause instanceof Error ? { cause: renderError(cause) } : {}),
  };
}

function encodeField(_key: string, value: unknown): unknown {
  if (value instanceof Error) return renderError(value);
  if (typeof value === "bigint") return value.toString();
  return value;
}

let nextLoggerId = 0;

/** Creates a logger that writes one JSON object per line. */
export function createLogger(options: LoggerOptions = {}): Logger {
  const write = options.write ??
    ((line: string) => void process.stderr.write(line + "\n"));
  const backend = loglevel.getLogger(`goldcrestlug-${nextLoggerId++}`);
  backend.methodFactory = (level) => (message: string, fields: LogFields) => {
    const time = new Date().toISOString();
    write(JSON.stringify({ time, level, message, ...fields }, encodeField));
  };
  backend.setLevel(options.level ?? "info", false);

  function createWithFields(base: LogFields): Logger {
    return {
      debug: (message, fields) =>
        backend.debug(message, { ...base, ...fields }),
      info: (message, fields) => backend.info(message, { ...base, ...fields }),
      warn: (message, fields) => backend.warn(message, { ...base, ...fields }),
      error: (message, fields) =>
        backend.error(message, { ...base, ...fields }),
      with: (fields) => createWithFields({ ...base, ...fields }),
    };
  }

  return createWithFields(options.fields ?? {});
}

/** Creates a logger that discards all lines, for embedding programs and tests. */
export function createSilentLogger(): Logger {
  const drop = () => {};
  const logger: Logger = {
    debug: drop,
    info: drop,
    warn: drop,
    error: drop,
    with: () => logger,
  };
  return logger;
}
