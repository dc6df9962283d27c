import { Buffer } from "node:buffer";
import fc from "fast-check";
import t from "tap";
import { buildExpectedFault } from "../../test/requests_helpers.ts";
import {
  createFault,
  createManualClock,
  createSeededRandom,
  createSilentLogger,
  isFault,
  type ManualClock,
} from "../common/mod.ts";
import {
  createRequestExecutor,
  type RequestExecutorOptions,
} from "./execute.ts";
import { createRetryBudget } from "./retry_budget.ts";
import type {
  ExecuteRequest,
  ForwardFailure,
  ForwardResult,
  SlotClient,
  SlotGrant,
  SlotRelease,
  SlotReply,
  SlotRequest,
} from "./types.ts";

const SEED = 20261204;
fc.configureGlobal({ seed: SEED, numRuns: 300 });

const ANSWER = {
  contentType: "text/plain",
  body: new Uint8Array(Buffer.from("ok")),
};

/** Number of responses after which the executor uses the response times of a queue. */
const SAMPLES = 20;

/** The outcome of one send: a status or a failure, after a delay. */
interface Step {
  status?: number;
  kind?: "notSent" | "unknown";
  failure?: ForwardFailure;
  afterMs?: number;
}

function createResult(step: Step): ForwardResult {
  const durationMs = step.afterMs ?? 5;
  if (step.status !== undefined) {
    return {
      kind: "answered",
      answer: { ...ANSWER, status: step.status, durationMs },
    };
  }
  const { kind = "unknown", failure = "connectionLost" } = step;
  return { kind, failure, durationMs };
}

interface Setup {
  steps?: Step[];
  options?: Partial<RequestExecutorOptions>;
  acquire?: (request: SlotRequest, grant: SlotGrant) => Promise<SlotReply>;
  failReleases?: number;
}

function createSetup(
  { steps = [], options = {}, acquire, failReleases = 0 }: Setup = {},
) {
  const clock = createManualClock();
  const acquired: SlotRequest[] = [];
  const released: SlotRelease[] = [];
  const sent: string[] = [];
  // Sends that may have reached the endpoint.
  const started: string[] = [];
  let releaseFailures = failReleases;
  const slots: SlotClient = {
    acquire(request) {
      acquired.push(request);
      const endpoint =
        ["e1", "e2", "e3", "e4", "e5"].find((name) =>
          !request.avoid.includes(name)
        ) ?? "e1";
      const grant: SlotGrant = {
        kind: "grant",
        token: `t${acquired.length}`,
        endpoint,
        address: endpoint,
        epoch: 1,
        validForMs: 1_000,
      };
      return acquire?.(request, grant) ?? Promise.resolve(grant);
    },
    release(release) {
      if (releaseFailures-- > 0) {
        return Promise.reject(createFault("unavailable", "lost"));
      }
      released.push(release);
      return Promise.resolve();
    },
  };
  const executor = createRequestExecutor({
    clock,
    random: createSeededRandom(SEED),
    logger: createSilentLogger(),
    instance: "entry1",
    slots,
    retryBudget: createRetryBudget(),
    forwarder: {
      send(request) {
        const step = steps[sent.length] ?? { status: 200 };
        sent.push(request.address);
        return new Promise((resolve) => {
          let isSettled = false;
          const settle = (result: ForwardResult) => {
            if (!isSettled && result.kind !== "notSent") {
              started.push(request.address);
            }
            isSettled = true;
            timers.forEach((timer) => timer.cancel());
            resolve(result);
          };
          const timers = [
            clock.setTimer(step.afterMs ?? 5, () => settle(createResult(step))),
            clock.setTimer(
              request.timeoutMs,
              () => settle(createResult({ failure: "deadline" })),
            ),
          ];
          request.signal?.addEventListener(
            "abort",
            () => settle(createResult({ failure: "aborted" })),
          );
        });
      },
      setEndpoints() {},
      close: () => Promise.resolve(),
    },
    ...options,
  });
  function run(request: Partial<ExecuteRequest> = {}) {
    return resolveWith(
      clock,
      executor.run({
        requestId: "r1",
        scope: "workspace",
        workspace: "workspace",
        queue: "orders",
        idempotent: true,
        contentType: "text/plain",
        body: new Uint8Array(),
        bodyHash: "x",
        remainingMs: 10_000,
        ...request,
      }),
    );
  }
  return { clock, acquired, released, sent, started, run };
}

/** Advances the clock until the promise is settled. */
async function resolveWith<T>(
  clock: ManualClock,
  promise: Promise<T>,
): Promise<T> {
  let isDone = false;
  const stop = () => {
    isDone = true;
  };
  promise.then(stop, stop);
  for (let i = 0; i < 4_000 && !isDone; i++) {
    await new Promise<void>((resolve) => setImmediate(() => resolve()));
    if (!isDone) clock.advance(5);
  }
  return promise;
}

// Guards against a second run of a non-idempotent request, a fault that wrongly
// reports "not run", a slot that is not released, and unlimited retries.
t.test("requests keep their guarantees under any sequence of events", async (t) => {
  const step: fc.Arbitrary<Step> = fc.oneof(
    fc.record({
      status: fc.constantFrom(200, 404, 500, 502, 503, 504),
      afterMs: fc.nat(300),
    }),
    fc.record({
      kind: fc.constantFrom("notSent" as const, "unknown" as const),
      failure: fc.constantFrom<ForwardFailure>(
        "connectionLost",
        "malformed",
        "tooLarge",
      ),
      afterMs: fc.nat(300),
    }),
  );
  await fc.assert(fc.asyncProperty(
    fc.array(step, { maxLength: 6 }),
    fc.boolean(),
    fc.integer({ min: 1, max: 600 }),
    fc.array(fc.constantFrom("grant", "refuse", "late"), { maxLength: 6 }),
    async (steps, idempotent, remainingMs, acquires) => {
      let next = 0;
      const { clock, acquired, released, sent, started, run } = createSetup({
        steps,
        acquire(_request, grant) {
          const kind = acquires[next++];
          if (kind === "refuse") {
            return Promise.reject(createFault("overloaded", "full"));
          }
          if (kind !== "late") return Promise.resolve(grant);
          return new Promise((resolve) =>
            void clock.setTimer(1_100, () => resolve(grant))
          );
        },
      });
      const end = await run({ idempotent, remainingMs }).then(
        () => undefined,
        (error) => error,
      );
      clock.advance(3_000);
      await new Promise<void>((resolve) => setImmediate(() => resolve()));
      const mayHaveStarted = started.length;
      if (!idempotent && mayHaveStarted > 1) throw new Error("sent twice");
      if (sent.length > 4) throw new Error("too many attempts");
      if (end !== undefined && !isFault(end)) throw end;
      if (end?.ran === "no" && mayHaveStarted > 0) {
        throw new Error(`"${end.kind}" wrongly reports not run`);
      }
      const granted = acquired.filter((_, i) =>
        acquires[i] !== "refuse"
      ).length;
      if (released.length !== granted) {
        throw new Error(
          `${granted} grants, ${released.length} releases`,
        );
      }
    },
  ));
  t.end();
});

// Each case guards against any result other than the one in its name.
t.test("the result of a request follows from its attempts", async (t) => {
  const cases: {
    name: string;
    steps: Step[];
    idempotent: boolean;
    sends: number;
    status?: number;
    fault?: Error;
  }[] = [
    {
      name: "idempotent, connection lost: retried at another endpoint",
      steps: [{}],
      idempotent: true,
      sends: 2,
      status: 200,
    },
    {
      name: "non-idempotent, connection lost: outcome unknown",
      steps: [{}],
      idempotent: false,
      sends: 1,
      fault: buildExpectedFault("outcomeUnknown", "unknown"),
    },
    {
      name: "non-idempotent, refused: retried at another endpoint",
      steps: [{ kind: "notSent" }],
      idempotent: false,
      sends: 2,
      status: 200,
    },
    {
      name: "idempotent, 503: retried at another endpoint",
      steps: [{ status: 503 }],
      idempotent: true,
      sends: 2,
      status: 200,
    },
    {
      name: "non-idempotent, 503: returned to the caller",
      steps: [{ status: 503 }],
      idempotent: false,
      sends: 1,
      status: 503,
    },
    {
      name: "idempotent, 500: returned to the caller",
      steps: [{ status: 500 }],
      idempotent: true,
      sends: 1,
      status: 500,
    },
    {
      name: "idempotent, always 502: returned after the last attempt",
      steps: Array(9).fill({ status: 502 }),
      idempotent: true,
      sends: 4,
      status: 502,
    },
    {
      name: "502, then connection lost: the 502 is returned",
      steps: [{ status: 502 }, {}, {}, {}],
      idempotent: true,
      sends: 4,
      status: 502,
    },
    {
      name: "refused everywhere: not run",
      steps: Array(9).fill({ kind: "notSent" }),
      idempotent: false,
      sends: 4,
      fault: buildExpectedFault("unavailable", "no"),
    },
    {
      name: "response too large: not retried",
      steps: [{ failure: "tooLarge" }],
      idempotent: true,
      sends: 1,
      fault: buildExpectedFault("endpointFailed", "yes"),
    },
    {
      name: "deadline passed after sending: outcome unknown",
      steps: [{ afterMs: 1e6 }],
      idempotent: false,
      sends: 1,
      fault: buildExpectedFault("deadlineExceeded", "unknown"),
    },
  ];
  for (const { name, steps, idempotent, sends, status, fault } of cases) {
    const { sent, released, run } = createSetup({ steps });
    if (fault !== undefined) await t.rejects(run({ idempotent }), fault, name);
    else t.equal((await run({ idempotent })).status, status, name);
    t.equal(sent.length, sends, name);
    t.equal(
      new Set(sent).size,
      sends,
      "each send goes to a different endpoint",
    );
    t.equal(released.length, sends);
  }
});

// Guards against callers kept waiting past their deadline by an unresponsive
// leader, and against slots leaked by grants that arrive after the deadline.
t.test("a caller does not wait for a leader past the deadline", async (t) => {
  let grantLate = () => {};
  const { sent, released, run } = createSetup({
    acquire: (_request, grant) =>
      new Promise((resolve) => (grantLate = () => resolve(grant))),
  });
  await t.rejects(
    run({ remainingMs: 300 }),
    buildExpectedFault("deadlineExceeded", "no"),
  );
  grantLate();
  await new Promise<void>((resolve) => setImmediate(() => resolve()));
  t.strictSame(released.map(({ outcome }) => outcome), ["notSent"]);
  t.equal(sent.length, 0);
});

// Guards against sending a request with a grant that expired in transit, when a
// new leader may already have granted the slot to another request.
t.test("a grant that arrives too late is released", async (t) => {
  let isLate = true;
  const { clock, acquired, released, sent, run } = createSetup({
    acquire: (_request, grant) =>
      new Promise((resolve) => {
        clock.setTimer(isLate ? 1_000 : 10, () => resolve(grant));
        isLate = false;
      }),
  });
  t.equal((await run({ idempotent: false })).status, 200);
  t.equal(acquired.length, 2);
  t.equal(sent.length, 1);
  t.strictSame(released.map(({ token, outcome }) => [token, outcome]), [
    ["t1", "notSent"],
    ["t2", "answered"],
  ]);
});

// Guards against a cancelled request that is sent, retried, or reported as not
// run when it may have run.
t.test("a caller's cancel ends the request", async (t) => {
  const queued = createSetup({ acquire: () => new Promise(() => {}) });
  const stop = new AbortController();
  queued.clock.setTimer(50, () => stop.abort());
  await t.rejects(
    queued.run({ signal: stop.signal }),
    buildExpectedFault("cancelled", "no"),
  );
  const running = createSetup({ steps: [{ afterMs: 1_000 }] });
  const stopRunning = new AbortController();
  running.clock.setTimer(50, () => stopRunning.abort());
  await t.rejects(
    running.run({ signal: stopRunning.signal }),
    buildExpectedFault("cancelled", "unknown"),
  );
  t.equal(running.sent.length, 1);
});

// Guards against a lost release, which occupies a slot until the deadline, and
// against responses to non-idempotent requests that are not recorded.
t.test("releases are retried and include the response for the record", async (t) => {
  const { clock, released, run } = createSetup({ failReleases: 2 });
  await run({ idempotent: false });
  for (let i = 0; i < SAMPLES; i++) {
    clock.advance(10);
    await new Promise<void>((resolve) => setImmediate(() => resolve()));
  }
  t.match(released, [{ outcome: "answered", answer: { status: 200 } }]);
});

// Guards against retries beyond the workspace's budget.
t.test("retries stop when the budget is exhausted", async (t) => {
  const retryBudget = createRetryBudget({ maxTokens: 1 });
  const { sent, run } = createSetup({
    steps: Array(9).fill({ status: 503 }),
    options: { retryBudget },
  });
  await run();
  t.equal(sent.length, 2);
  await run();
  t.equal(sent.length, 3);
});

// Guards against a dead connection that uses up the whole deadline.
t.test("an unresponsive first attempt leaves time for a retry", async (t) => {
  const steps: Step[] = [...Array(SAMPLES).fill({ status: 200 }), {
    afterMs: 1e6,
  }];
  const { clock, sent, run } = createSetup({ steps });
  for (let i = 0; i < SAMPLES; i++) await run();
  // Wait a full deadline, so that the samples include any response that slow.
  clock.advance(10_000);
  const startMs = clock.now();
  t.equal((await run()).status, 200);
  t.equal(sent.length, SAMPLES + 2);
  t.ok(clock.now() - startMs < 5_000);
  const other = createSetup({ steps });
  for (let i = 0; i < SAMPLES; i++) await other.run();
  other.clock.advance(10_000);
  await t.rejects(
    other.run({ idempotent: false }),
    buildExpectedFault("deadlineExceeded", "unknown"),
  );
});

// Guards against a hedged request that waits for the slow copy, and against
// hedging of non-idempotent requests.
t.test("hedging returns the first response to an idempotent request", async (t) => {
  const steps: Step[] = [
    ...Array(SAMPLES).fill({ status: 200, afterMs: 10 }),
    { status: 200, afterMs: 900 },
  ];
  const options = { hedgeFactor: 3 };
  const { clock, sent, released, run } = createSetup({ steps, options });
  for (let i = 0; i < SAMPLES; i++) await run();
  const startMs = clock.now();
  t.equal((await run()).status, 200);
  t.ok(clock.now() - startMs < 100);
  t.equal(new Set(sent.slice(SAMPLES)).size, 2);
  await new Promise<void>((resolve) => setImmediate(() => resolve()));
  const outcomes = released.slice(SAMPLES).map(({ outcome }) => outcome);
  t.strictSame(outcomes.sort(), ["answered", "unknown"]);
  const other = createSetup({ steps, options });
  for (let i = 0; i < SAMPLES; i++) await other.run();
  await other.run({ idempotent: false });
  t.equal(other.sent.length, SAMPLES + 1);
});
