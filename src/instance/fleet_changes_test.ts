import t from "tap";
import { Buffer } from "node:buffer";
import { advanceBy } from "../../test/controller_fakes.ts";
import { buildExpectedFault } from "../../test/requests_helpers.ts";
import {
  createFault,
  createManualClock,
  type Fault,
  type FaultKind,
} from "../common/mod.ts";
import type { ReplicatedLog } from "../replicated_log/mod.ts";
import type { PeerSet } from "../rpc/mod.ts";
import { createFleetChanges } from "./fleet_changes.ts";

const CHANGE = { changeId: "c1", operations: [] };

async function submit(
  answers: readonly (FaultKind | number)[],
  log?: Partial<ReplicatedLog>,
  leader: string | undefined = "leader",
) {
  const clock = createManualClock(1_000);
  const hops: number[] = [];
  let next = 0;
  const changes = createFleetChanges({
    instance: "self",
    getLog: () => log as ReplicatedLog | undefined,
    findLeader: () => leader,
    encodeCommand: () => Buffer.alloc(0),
    peers: {
      get: () => ({
        call(_path: string, request: { hops: number }) {
          hops.push(request.hops);
          const answer = answers[Math.min(next++, answers.length - 1)]!;
          return typeof answer === "number"
            ? Promise.resolve({ version: answer })
            : Promise.reject(createFault(answer, "Cannot change"));
        },
      }),
    } as unknown as PeerSet,
    clock,
  });
  const outcome = changes.submit(CHANGE).then(
    (version) => version,
    (error: Fault) => `${error.kind}, ran ${error.ran}`,
  );
  await advanceBy(clock, 7_000, 100);
  return { outcome: await outcome, hops, changes };
}

const CASES: {
  /** Expected behaviour. */
  name: string;
  answers: (FaultKind | number)[];
  outcome: number | string;
}[] = [
  {
    name: "retries after a leader change",
    answers: ["notLeader", 7],
    outcome: 7,
  },
  {
    name: "retries after a lost answer",
    answers: ["outcomeUnknown", 7],
    outcome: 7,
  },
  {
    name: "does not retry a refused change",
    answers: ["versionConflict", 7],
    outcome: "versionConflict, ran no",
  },
  {
    name: "reports a possibly accepted change as unknown",
    answers: ["outcomeUnknown", "unavailable"],
    outcome: "outcomeUnknown, ran unknown",
  },
  {
    name: "reports a change that was never accepted as unavailable",
    answers: ["unavailable", "notLeader"],
    outcome: "unavailable, ran no",
  },
];

for (const { name, answers, outcome } of CASES) {
  t.test(`submitting a change ${name}`, async (t) => {
    t.equal((await submit(answers)).outcome, outcome);
  });
}

// Guards against a former leader that proposes changes without a lease.
t.test("a voter without a lease forwards the change", async (t) => {
  const propose = () => Promise.reject(new Error("must not propose"));
  const { outcome, hops } = await submit([7], {
    getLease: () => undefined,
    propose,
  });
  t.equal(outcome, 7);
  t.same(hops, [1]);
});

// Guards against changes that loop between instances with stale leader names.
t.test("the number of forwards of a change is limited", async (t) => {
  const { changes, hops } = await submit([7]);
  await t.rejects(changes.forward(CHANGE, 2), buildExpectedFault("notLeader"));
  t.same(hops, [1]);
});

// Guards against a change refused by the log that is answered with a version.
t.test("a refusal by the log keeps its kind and details", async (t) => {
  const fault = {
    kind: "versionConflict",
    message: "Cannot change",
    ran: "no",
    details: { version: 3 },
  };
  const { outcome } = await submit([], {
    getLease: () => ({ term: 1, validUntilMs: Infinity }),
    propose: () =>
      Promise.resolve({
        index: 1,
        term: 1,
        result: { accepted: false, fault },
      }),
  });
  t.equal(outcome, "versionConflict, ran no");
});
