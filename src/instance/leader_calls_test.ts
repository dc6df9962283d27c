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

/** Calls with the given answers, one after the other; then "ok" or the last one again. */
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
  /** What the rule prevents. */
  name: string;
  answers: (Answer | "ok")[];
  idempotent?: boolean;
  peers?: Partial<PeerState>[];
  outcome: string;
  asked?: string[];
}[] = [
  {
    name: "a takeover fails the call",
    answers: [{ fault: "notLeader" }, "ok"],
    outcome: "ok",
    asked: ["one", "one"],
  },
  {
    name: "the leader that was named is not asked",
    answers: [{ fault: "notLeader", leader: "two" }, "ok"],
    outcome: "ok",
    asked: ["one", "two"],
  },
  {
    name: "a lost answer repeats what may run once only",
    answers: [{ fault: "outcomeUnknown" }, "ok"],
    idempotent: false,
    outcome: "outcomeUnknown, ran unknown",
    asked: ["one"],
  },
  {
    name: "a lost answer fails what may be repeated",
    answers: [{ fault: "outcomeUnknown" }, "ok"],
    outcome: "ok",
    asked: ["one", "one"],
  },
  {
    name: "the final refusal of a leader is asked for again",
    answers: [{ fault: "unavailable", final: true }, "ok"],
    outcome: "unavailable, ran no",
    asked: ["one"],
  },
  {
    name: "a refusal is taken for the loss of the leader",
    answers: [{ fault: "notFound" }, "ok"],
    outcome: "notFound, ran no",
    asked: ["one"],
  },
  {
    name: "the call never ends",
    answers: [{ fault: "notLeader" }],
    outcome: "unavailable, ran no",
  },
  {
    name: "a call whose answer was lost is said not to have run",
    answers: [{ fault: "outcomeUnknown" }, { fault: "notLeader" }],
    outcome: "outcomeUnknown, ran unknown",
  },
  {
    name: "a leader of a former epoch or a dead instance's word is followed",
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
    name: "a call without a known leader is said to have run",
    answers: ["ok"],
    peers: [],
    outcome: "unavailable, ran no",
    asked: [],
  },
];

for (const { name, answers, idempotent, peers, outcome, asked } of CASES) {
  t.test(`handled, else ${name}`, async (t) => {
    const found = await runCalls(
      answers,
      idempotent === undefined ? {} : { idempotent },
      peers,
    );
    t.equal(found.outcome, outcome);
    if (asked !== undefined) t.same(found.asked, asked);
  });
}

// Guards against calls for a caller that has gone.
t.test("an aborted call asks no further leader", async (t) => {
  const signal = AbortSignal.abort();
  const { outcome, asked } = await runCalls([{ fault: "notLeader" }], {
    signal,
  });
  t.equal(outcome, "unavailable, ran no");
  t.equal(asked.length, 1);
});
