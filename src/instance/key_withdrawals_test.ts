import t from "tap";
import { advanceBy } from "../../test/controller_fakes.ts";
import {
  createFault,
  createManualClock,
  createSilentLogger,
  type FaultKind,
} from "../common/mod.ts";
import { createFleetView } from "../fleet/mod.ts";
import type { PeerSet } from "../rpc/mod.ts";
import { createKeyWithdrawals } from "./key_withdrawals.ts";

function createFixture(answers: (FaultKind | number)[]) {
  const clock = createManualClock(1_000);
  const view = createFleetView({ clock });
  const submitted: string[] = [];
  const withdrawals = createKeyWithdrawals({
    view,
    peers: {
      get: (instance: string) => ({
        call: () =>
          instance === "cut"
            ? Promise.reject(createFault("unavailable", "Cannot reach"))
            : Promise.resolve({}),
      }),
    } as unknown as PeerSet,
    listInstances: () => ["near", "cut"],
    submit({ changeId }) {
      submitted.push(changeId);
      const answer = answers.shift() ?? 9;
      return typeof answer === "number"
        ? Promise.resolve(answer)
        : Promise.reject(createFault(answer, "Cannot change"));
    },
    clock,
    logger: createSilentLogger(),
  });
  const listUnmerged = () =>
    view.getLocalWithdrawals().filter(({ mergedVersion }) =>
      mergedVersion === undefined
    ).map(({ keyId }) => keyId);
  return { clock, view, withdrawals, submitted, listUnmerged };
}

// Guards against a withdrawal that waits for the fleet log, and against a result
// that lists an instance where the key is still valid.
t.test("reachable instances withdraw a key at once", async (t) => {
  const { withdrawals, listUnmerged, submitted } = createFixture([]);
  t.same(await withdrawals.withdraw(["k"]), ["near"]);
  t.same(listUnmerged(), ["k"]);
  t.same(submitted, []);
});

const CASES: {
  name: string;
  answers: (FaultKind | number)[];
  tries: number;
}[] = [
  { name: "the log accepts it", answers: [9], tries: 1 },
  // Guards against a withdrawal that is dropped while the log is unreachable.
  {
    name: "the log is unreachable at first",
    answers: ["unavailable", "outcomeUnknown", 9],
    tries: 3,
  },
  // Guards against endless retries for an unknown key.
  { name: "the log does not contain the key", answers: ["notFound"], tries: 1 },
];

for (const { name, answers, tries } of CASES) {
  t.test(`a withdrawal is merged once: ${name}`, async (t) => {
    const { clock, withdrawals, submitted, listUnmerged } = createFixture(
      answers,
    );
    withdrawals.receive({ keyIds: ["k"], at: 1 });
    await advanceBy(clock, 10_000, 100);
    t.same(submitted, Array(tries).fill("withdraw-key:k"));
    t.same(listUnmerged(), []);
  });
}

// Guards against a stopped instance that keeps submitting changes.
t.test("nothing is submitted after the stop", async (t) => {
  const { clock, withdrawals, submitted } = createFixture(
    Array(20).fill("unavailable"),
  );
  withdrawals.receive({ keyIds: ["k"], at: 1 });
  // The stop comes while the first merge is in progress.
  clock.advance(1_000);
  withdrawals.stop();
  await advanceBy(clock, 10_000, 100);
  t.equal(submitted.length, 1);
});
