import t from "tap";
import { createFault, isFault, renderFault, toFault } from "./errors.ts";
import { createLogger } from "./logger.ts";

// Guards against faults that lose their kind or `ran` value on the way to the caller.
t.test("a fault keeps its kind, ran value and cause chain", (t) => {
  const fault = createFault("unavailable", 'Cannot reach 100% of "x"', {
    cause: new Error("connection refused"),
  });
  t.ok(isFault(fault, "unavailable"));
  t.strictSame(renderFault(fault), {
    kind: "unavailable",
    message: 'Cannot reach 100% of "x": connection refused',
    ran: "no",
  });
  t.equal(toFault(fault), fault);
  t.equal(toFault(new TypeError("x")).kind, "internal");
  t.equal(toFault("x").ran, "unknown");
  t.end();
});

// Guards against log lines that drop the cause of an error or are not valid JSON.
t.test("a log line contains the error kind and the cause chain", (t) => {
  const lines: string[] = [];
  const logger = createLogger({ write: (line) => lines.push(line) });
  const error = createFault("internal", "Cannot save", {
    cause: new Error("disk full"),
  });
  logger.with({ instance: "a1" }).error("Save failed", { error });
  logger.debug("dropped below the level");
  t.equal(lines.length, 1);
  const line = JSON.parse(lines[0] ?? "");
  t.equal(line.instance, "a1");
  t.equal(line.error.kind, "internal");
  t.equal(line.error.cause.message, "disk full");
  t.end();
});
