import { Buffer } from "node:buffer";
import fc from "fast-check";
import t from "tap";
import { createSeededRandom } from "../common/mod.ts";
import { createHomeFinder } from "./home.ts";
import { createRequestRecords } from "./records.ts";
import { decodeRecordCommand, encodeRecordCommand } from "./records_codec.ts";
import type {
  RecordCommand,
  RecordDecision,
  RequestRecordsOptions,
} from "./records_types.ts";
import { createTimedRequestId, parseCreationTime } from "./request_id.ts";

const SEED = 20261204;
fc.configureGlobal({ seed: SEED, numRuns: 300 });

const BOUNDS: RequestRecordsOptions = {
  retentionMs: 1_000,
  maxClockSkewMs: 100,
  maxRecords: 12,
  maxRecordsPerScope: 8,
  maxDigests: 30,
  recordedAnswerMaxBytes: 8,
  maxAnswerBytes: 20,
};

function buildAnswer(text: string) {
  const body = new Uint8Array(Buffer.from(text));
  return { status: 200, contentType: "text/plain", body };
}

function createTimedId(atMs: number, number: number): string {
  const bytes = new Uint8Array(10).fill(number);
  return createTimedRequestId(atMs, bytes);
}

/** A run that was started, with the data to end it. */
interface Attempt {
  requestId: string;
  runId: string;
  atMs: number;
  body: string;
}

// Guards against a request that runs twice, with resends at any time and any
// clock skew, late and duplicate ends of runs, removed records, reached limits,
// and members that restart from a snapshot. Also checks that members never
// diverge.
t.test("an identifier runs at most once", (t) => {
  const operation = fc.record({
    kind: fc.constantFrom(
      "start",
      "start",
      "start",
      "finish",
      "unknown",
      "forget",
      "snapshot",
      "wait",
    ),
    id: fc.nat(9),
    body: fc.constantFrom("x", "x", "x", "y"),
    skewMs: fc.integer({ min: -3_000, max: 300 }),
    waitMs: fc.integer({ min: 0, max: 900 }),
    size: fc.nat(10),
  });
  fc.assert(
    fc.property(fc.array(operation, { maxLength: 120 }), (operations) => {
      const member = createRequestRecords(BOUNDS);
      let other = createRequestRecords(BOUNDS);
      let nowMs = 1_000_000;
      const ids = Array.from(
        { length: 10 },
        (_, i) => i % 2 === 0 ? `plain${i}` : createTimedId(nowMs + i * 200, i),
      );
      // Runs that may have executed; "forget" removes only runs that never did.
      const executed = new Map<string, string>();
      const runs: Attempt[] = [];
      let nextRun = 0;
      function apply(command: RecordCommand): RecordDecision | boolean {
        const copy = decodeRecordCommand(encodeRecordCommand(command));
        const result = member.apply(copy);
        const otherResult = other.apply(copy);
        if (JSON.stringify(result) !== JSON.stringify(otherResult)) {
          throw new Error("members differ");
        }
        return result;
      }
      for (const { kind, id, body, skewMs, waitMs, size } of operations) {
        const requestId = ids[id]!;
        const atMs = nowMs + skewMs;
        const run = runs[id % Math.max(1, runs.length)];
        if (kind === "wait") {
          nowMs += waitMs;
        } else if (kind === "snapshot") {
          const restored = createRequestRecords(BOUNDS);
          restored.restoreSnapshot(other.takeSnapshot());
          other = restored;
        } else if (kind === "start") {
          const runId = `run${nextRun++}`;
          const decision = apply({
            type: "start",
            scope: "s",
            requestId,
            runId,
            bodyHash: body,
            atMs,
            endsAtMs: atMs + 50,
          });
          if (typeof decision === "boolean" || decision.kind !== "run") {
            continue;
          }
          const previous = executed.get(requestId);
          if (previous !== undefined) {
            throw new Error(`${requestId} ran as ${previous} and ${runId}`);
          }
          executed.set(requestId, runId);
          runs.push({ requestId, runId, atMs, body });
        } else if (run !== undefined) {
          const base = {
            scope: "s",
            requestId: run.requestId,
            runId: run.runId,
            atMs,
          };
          if (kind === "finish") {
            apply({
              type: "finish",
              ...base,
              answer: buildAnswer("a".repeat(size)),
            });
          } else if (kind === "unknown") apply({ type: "finish", ...base });
          else if (executed.get(run.requestId) === run.runId) {
            // The entry instance is known to have sent nothing in this run.
            if (apply({ type: "forget", ...base }) === true) {
              executed.delete(run.requestId);
            }
          } else {
            // A duplicate "forget" of an ended run must have no effect.
            if (apply({ type: "forget", ...base }) === true) {
              throw new Error("forgot another run");
            }
          }
        }
        const status = member.getStatus();
        if (
          status.records > 12 || status.digests > 30 || status.answerBytes > 20
        ) throw new Error("a limit is exceeded");
      }
    }),
  );
  t.end();
});

function createStarted(bounds: RequestRecordsOptions = BOUNDS) {
  const records = createRequestRecords(bounds);
  const start = (
    requestId: string,
    atMs: number,
    bodyHash = "x",
    scope = "s",
  ) =>
    records.apply({
      type: "start",
      scope,
      requestId,
      runId: `${scope}/${requestId}/${atMs}`,
      bodyHash,
      atMs,
      endsAtMs: atMs + 50,
    });
  return { records, start };
}

// Guards against a resend that gets anything but the first response, and against
// returning a response to a request with another body or of another workspace.
t.test("a repeated identifier gets the decision of its record", (t) => {
  const { records, start } = createStarted();
  const ask = (requestId: string, nowMs: number, bodyHash = "x", scope = "s") =>
    records.getDecision({ scope, requestId, bodyHash, nowMs });
  const finish = (requestId: string, answer?: ReturnType<typeof buildAnswer>) =>
    records.apply({
      type: "finish",
      scope: "s",
      requestId,
      runId: `s/${requestId}/0`,
      atMs: 1,
      ...(answer && { answer }),
    });
  t.strictSame(ask("a", 0), { kind: "run" });
  start("a", 0);
  t.match(ask("a", 10), { kind: "wait", endsAtMs: 50 });
  t.match(ask("a", 10, "y"), {
    kind: "refuse",
    fault: "requestIdConflict",
    ran: "no",
  });
  t.match(ask("a", 10, "y", "other"), { kind: "run" }, "another scope");
  t.match(ask("a", 50), {
    kind: "refuse",
    fault: "outcomeUnknown",
    ran: "unknown",
  });
  t.equal(
    finish("a", buildAnswer("done")),
    true,
    "a late response is still recorded",
  );
  t.match(ask("a", 60), { kind: "answer", answer: { status: 200 } });
  t.equal(finish("a", buildAnswer("other")), false);
  start("big", 0);
  finish("big", buildAnswer("x".repeat(9)));
  t.match(ask("big", 60), {
    kind: "refuse",
    fault: "outcomeUnknown",
    ran: "yes",
  });
  start("lost", 0);
  finish("lost");
  t.match(ask("lost", 10), {
    kind: "refuse",
    fault: "outcomeUnknown",
    ran: "unknown",
  });
  t.equal(records.findByRun("s/lost/0")?.requestId, "lost");
  t.end();
});

// Guards against a duplicate or late end of an earlier run that removes the
// record of a later run, after which a resend would run again.
t.test("the end of one run does not affect another", (t) => {
  const { records, start } = createStarted();
  const end = (type: "forget" | "finish", atMs: number) =>
    records.apply({
      type,
      scope: "s",
      requestId: "a",
      runId: `s/a/${atMs}`,
      atMs: 20,
    });
  start("a", 0);
  t.equal(end("forget", 0), true);
  t.match(start("a", 10), { kind: "run" });
  t.equal(end("forget", 0), false);
  t.equal(end("finish", 0), false);
  t.match(start("a", 20), { kind: "wait" });
  t.equal(end("finish", 10), true);
  t.equal(end("forget", 10), false, "a run that has ended is not forgotten");
  t.match(start("a", 20), { kind: "refuse", fault: "outcomeUnknown" });
  t.end();
});

// Guards against identifiers that run again after their record was removed, and
// against rejections at the limits that remove young records or report that the
// request may have run.
t.test("identifiers beyond the limits are rejected", (t) => {
  const { records, start } = createStarted();
  const old = createTimedId(0, 1);
  t.match(start(old, 0), { kind: "run" });
  t.match(start("plain", 0), { kind: "run" });
  t.match(start(createTimedId(201, 2), 0), {
    kind: "refuse",
    fault: "badRequest",
    ran: "no",
  });
  t.match(start("later", 1_100), { kind: "run" });
  t.equal(records.getRecord({ scope: "s", requestId: old }), undefined);
  t.match(
    start(old, 0),
    { kind: "refuse", fault: "outcomeUnknown" },
    "a clock that is behind does not matter",
  );
  t.match(start("plain", 1_100), { kind: "refuse", fault: "outcomeUnknown" });
  for (let i = 0; i < 7; i++) t.match(start(`n${i}`, 1_100), { kind: "run" });
  t.match(start("n8", 1_100), {
    kind: "refuse",
    fault: "limitReached",
    ran: "no",
  }, "limit of the scope");
  for (let i = 0; i < 4; i++) {
    t.match(start(`n${i}`, 1_100, "x", "other"), { kind: "run" });
  }
  t.match(start("n9", 1_100, "x", "third"), {
    kind: "refuse",
    fault: "overloaded",
    ran: "no",
  }, "limit of all scopes");
  t.match(start("later", 1_110), { kind: "wait" }, "a young record is kept");
  for (let i = 0; i < 40; i++) start(`d${i}`, 3_000 + i * 1_200);
  t.equal(records.getStatus().digests, 30);
  t.match(start("new", 99_000), {
    kind: "refuse",
    fault: "limitReached",
    ran: "no",
  }, "limit of the digests");
  t.match(
    start(createTimedId(99_000, 3), 99_000),
    { kind: "run" },
    "identifiers with a time are not affected",
  );
  t.end();
});

// Guards against a wrongly parsed creation time, which would run old requests again.
t.test("identifiers contain their creation time", (t) => {
  const id = createTimedRequestId(
    1_765_000_000_123,
    new Uint8Array(10).fill(255),
  );
  t.match(
    id,
    /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/,
  );
  t.equal(parseCreationTime(id), 1_765_000_000_123);
  t.equal(parseCreationTime(`kochi:${id}`), 1_765_000_000_123);
  t.equal(
    parseCreationTime("f81d4fae-7dec-41d0-a765-00a0c91e6bf6"),
    undefined,
    "version 4",
  );
  t.equal(parseCreationTime(`x${id}`), undefined);
  t.end();
});

// Guards against two homes for one identifier, and against more homes than
// necessary changing when a data centre is added.
t.test("each identifier has one home data centre", async (t) => {
  const findHome = await createHomeFinder();
  const random = createSeededRandom(SEED);
  const four = ["kochi", "kollam", "alappuzha", "thrissur"];
  t.equal(findHome({ scope: "s", requestId: "kollam:1" }, four), "kollam");
  const counts = new Map<string, number>();
  let moved = 0;
  for (let i = 0; i < 4_000; i++) {
    const key = { scope: "s", requestId: `other:${random.nextInt(1e9)}` };
    const home = findHome(key, four);
    if (findHome(key, [...four].reverse()) !== home) t.fail("depends on order");
    counts.set(home, (counts.get(home) ?? 0) + 1);
    const next = findHome(key, [...four, "kannur"]);
    if (next !== home && next !== "kannur") t.fail("moved between old homes");
    if (next !== home) moved += 1;
  }
  // Expected 1,000 each and 800 moved; the bounds are six standard deviations.
  for (const count of counts.values()) t.ok(Math.abs(count - 1_000) < 165);
  t.ok(Math.abs(moved - 800) < 152);
  t.throws(() => findHome({ scope: "s", requestId: "x" }, []));
});
