import { Buffer } from "node:buffer";
import fc from "fast-check";
import t from "tap";
import { isFault } from "../common/errors.ts";
import { decodeLogMessage, encodeLogMessage } from "./codec.ts";
import type { LogMessage } from "./types.ts";

const SEED = 20_261_204;

const integer = fc.maxSafeNat();
const bytes = fc.uint8Array({ maxLength: 50 }).map((data) => Buffer.from(data));
const member = fc.oneof(
  fc.record({ id: fc.string(), role: fc.constantFrom("voter", "witness") }),
  fc.record({
    id: fc.string(),
    role: fc.constant("learner"),
    promoteTo: fc.constantFrom("voter", "witness"),
  }),
);
const echo = { round: integer, sentAtMs: fc.double({ noNaN: true, min: 0 }) };

const append = fc.record({
  kind: fc.constant("append"),
  to: fc.string(),
  term: integer,
  prevIndex: fc.nat(),
  prevTerm: integer,
  entries: fc.array(fc.tuple(integer, bytes, fc.option(fc.array(member)))),
  commitIndex: integer,
  ...echo,
}).map((message) => ({
  ...message,
  entries: message.entries.map(([term, data, members], at) => ({
    index: message.prevIndex + 1 + at,
    term,
    kind: members === null ? "command" : "members",
    data,
    ...(members === null ? {} : { members }),
  })),
}));

const snapshot = fc.record({
  kind: fc.constant("snapshot"),
  to: fc.string(),
  term: integer,
  index: integer,
  snapshotTerm: integer,
  members: fc.array(member),
  offset: integer,
  totalBytes: integer,
  data: bytes,
  ...echo,
});

const reply = fc.record({
  kind: fc.constant("appendReply"),
  to: fc.string(),
  term: integer,
  matched: fc.boolean(),
  matchIndex: integer,
  ...echo,
});

// Guards against fields that are lost or changed in transit.
t.test("a message is unchanged after encoding and decoding", (t) => {
  fc.assert(
    fc.property(fc.oneof(append, snapshot, reply), (message) => {
      const sent = JSON.parse(JSON.stringify(message));
      const found = decodeLogMessage(encodeLogMessage(message as LogMessage));
      t.strictSame(JSON.parse(JSON.stringify(found)), sent);
    }),
    { seed: SEED, numRuns: 50 },
  );
  t.end();
});

// Guards against a damaged or unknown message that stops a member or is taken for a valid one.
t.test("invalid messages are refused", (t) => {
  const valid = encodeLogMessage({ kind: "timeoutNow", to: "a", term: 1 });
  const shorter = valid.subarray(0, valid.length - 1);
  const negative = encodeLogMessage({ kind: "timeoutNow", to: "a", term: -1 });
  const unknown = encodeLogMessage({ kind: "other" } as unknown as LogMessage);
  for (const bytes of [new Uint8Array(0), shorter, negative, unknown]) {
    try {
      decodeLogMessage(bytes);
      t.fail("the bytes were accepted");
    } catch (error) {
      t.ok(isFault(error, "badRequest"));
    }
  }
  t.end();
});
