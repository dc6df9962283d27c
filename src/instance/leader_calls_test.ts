import t from "tap";
import { advanceBy } from "../../test/controller_fakes.ts";
import {
  createFault,
  createManualClock,
  type Fault,
  type FaultKind,
} from "../common/mod.ts";
import type { Membership, PeerState } from "../membership/mod.ts";
import type { PeerSet } from "../rpc/mod.ts";
import { createLeaderCalls } from "./leader_calls.ts";

const OPTIONS = { dataCentre: "kochi", timeoutMs: 400, idempotent: true };

interface Answer {
  fault: FaultKind;
  leader?: string;
  final?: boolean;
}

/** Runs a call; its attempts get `answers` in order, and the last answer repeats. */
async function runCalls(
  answers: readonly (Answer | "ok")[],
  options: Partial<typeof OPTIONS> & { signal?: AbortSignal } = {},
  peers: readonly Partial<PeerState>[] = [{}],
) {
  const clock = createManualClock(1_000);
  const asked: string[] = [];
  let next = 0;
  const calls = createLeaderCalls({
    instance: "self",
    clock,
    peers: {
      get: (instance: string) => ({
        call() {
          asked.push(instance);
          const answer = answers[Math.min(next++, answers.length - 1)]!;
          if (answer === "ok") return Promise.resolve("ok");
          const { fault, ...details } = answer;
          return Promise.reject(
            createFault(fault, "Cannot serve", { details }),
          );
        },
      }),
    } as unknown as PeerSet,
    membership: {
      list: () =>
        peers.map((peer) => ({
          dataCentre: "kochi",
          alive: true,
          dataCentreLeader: "one",
          dataCentreEpoch: 1,
          ...peer,
        })),
    } as unknown as Membership,
    getLocalLeader: () => undefined,
    handlers: {},
  });
  const outcome = calls.call("submitJob", {}, { ...OPTIONS, ...options }).then(
    (reply) => String(reply),
    (error: Fault) => `${error.kind}, ran ${error.ran}`,
  );
  await advanceBy(clock, 1_000);
  return { outcome: await outcome, asked };
}

const CASES: {
  /** Expected behaviour. */
  name: string;
  answers: (Answer | "ok")[];
  idempotent?: boolean;
  peers?: Partial<PeerState>[];
  outcome: string;
  asked?: string[];
}[] = [
  {
    name: "retries after a leader change",
    answers: [{ fault: "notLeader" }, "ok"],
    outcome: "ok",
    asked: ["one", "one"],
  },
  {
    name: "follows the redirect to a new leader",
    answers: [{ fault: "notLeader", leader: "two" }, "ok"],
    outcome: "ok",
    asked: ["one", "two"],
  },
  {
    name: "is not retried after a lost answer unless idempotent",
    answers: [{ fault: "outcomeUnknown" }, "ok"],
    idempotent: false,
    outcome: "outcomeUnknown, ran unknown",
    asked: ["one"],
  },
  {
    name: "is retried after a lost answer if idempotent",
    answers: [{ fault: "outcomeUnknown" }, "ok"],
    outcome: "ok",
    asked: ["one", "one"],
  },
  {
    name: "is not retried after a leader's final refusal",
    answers: [{ fault: "unavailable", final: true }, "ok"],
    outcome: "unavailable, ran no",
    asked: ["one"],
  },
  {
    name: "is not retried after a permanent fault",
    answers: [{ fault: "notFound" }, "ok"],
    outcome: "notFound, ran no",
    asked: ["one"],
  },
  {
    name: "ends at its timeout",
    answers: [{ fault: "notLeader" }],
    outcome: "unavailable, ran no",
  },
  {
    name: "keeps an unknown outcome despite later refusals",
    answers: [{ fault: "outcomeUnknown" }, { fault: "notLeader" }],
    outcome: "outcomeUnknown, ran unknown",
  },
  {
    name: "goes to the leader of the latest epoch reported by a live instance",
    answers: ["ok"],
    peers: [
      { dataCentreLeader: "former", dataCentreEpoch: 1 },
      { dataCentreLeader: "present", dataCentreEpoch: 3 },
      { dataCentreLeader: "dead", dataCentreEpoch: 9, alive: false },
      { dataCentreLeader: "other", dataCentreEpoch: 9, dataCentre: "salem" },
    ],
    outcome: "ok",
    asked: ["present"],
  },
  {
    name: "without a known leader has not run",
    answers: ["ok"],
    peers: [],
    outcome: "unavailable, ran no",
    asked: [],
  },
];

for (const { name, answers, idempotent, peers, outcome, asked } of CASES) {
  t.test(`a call to the leader ${name}`, async (t) => {
    const found = await runCalls(
      answers,
      idempotent === undefined ? {} : { idempotent },
      peers,
    );
    t.equal(found.outcome, outcome);
    if (asked !== undefined) t.same(found.asked, asked);
  });
}

// Guards against further calls on behalf of a disconnected caller.
t.test("an aborted call is not retried", async (t) => {
  const signal = AbortSignal.abort();
  const { outcome, asked } = await runCalls([{ fault: "notLeader" }], {
    signal,
  });
  t.equal(outcome, "unavailable, ran no");
  t.equal(asked.length, 1);
});
