import t from "tap";
import { createManualClock, createSilentLogger } from "../common/mod.ts";
import type { LogStatus } from "../replicated_log/mod.ts";
import { startVoterChanges } from "./voter_changes.ts";

/** Starts the checks on leader "a" of voters a, b and c, with a fake log and fake streams. */
function startFakes() {
  const clock = createManualClock();
  const calls: string[] = [];
  const fakes = {
    members: ["a", "b", "c"],
    learners: [] as string[],
    standbys: ["d"],
    stopping: [] as string[],
    hasCommittedMembers: true,
    isLeading: true,
  };
  const log = {
    getStatus: () => {
      const list = (ids: string[], role: "voter" | "learner") =>
        ids.map((id) => ({ id, role }));
      return {
        self: "a",
        hasCommittedMembers: fakes.hasCommittedMembers,
        members: [
          ...list(fakes.members, "voter"),
          ...list(fakes.learners, "learner"),
        ],
        lag: {},
      } as unknown as LogStatus;
    },
    removeMember: (id: string) => {
      calls.push(`remove ${id}`);
      fakes.members = fakes.members.filter((member) => member !== id);
      fakes.learners = fakes.learners.filter((learner) => learner !== id);
      return Promise.resolve();
    },
    releaseLeadership: () => {
      calls.push("releaseLeadership");
      fakes.isLeading = false;
      return Promise.resolve();
    },
  };
  const changes = startVoterChanges({
    clock,
    logger: createSilentLogger(),
    tolerance: 1,
    getLog: () => fakes.isLeading ? log : undefined,
    server: {
      getDataCentre: () => "one",
      listStandbys: () =>
        fakes.standbys.map((instance) => ({
          instance,
          dataCentre: "one",
          sinceMs: 0,
        })),
      listStopping: () => fakes.stopping,
      invite(instance) {
        calls.push(`invite ${instance}`);
        fakes.standbys = fakes.standbys.filter((name) => name !== instance);
      },
      release(instance) {
        calls.push(`release ${instance}`);
        fakes.stopping = fakes.stopping.filter((name) => name !== instance);
      },
    },
  });
  async function run(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += 50) {
      await clock.advance(50);
      await Promise.resolve();
    }
  }
  return { fakes, calls, changes, run };
}

// Guards against an exit before the removal is committed: a leader that is lost
// then leaves a list in which the instance still counts.
t.test("a stopping voter is released after its committed removal", async (t) => {
  const { fakes, calls, changes, run } = startFakes();
  fakes.stopping = ["b"];
  changes.checkSoon();
  t.strictSame(calls, ["invite d"], "at once");
  await run(500);
  fakes.learners = ["d"];
  await run(500);
  t.strictSame(calls, ["invite d"], "not while the standby catches up");
  fakes.learners = [];
  fakes.members.push("d");
  fakes.hasCommittedMembers = false;
  await run(200);
  t.strictSame(calls.slice(1), ["remove b"], "not while it can be undone");
  fakes.hasCommittedMembers = true;
  await run(200);
  t.strictSame(calls.slice(2), ["release b"]);
});

t.test("each stopping voter gets a standby of its own", async (t) => {
  const { fakes, calls, changes, run } = startFakes();
  fakes.standbys = ["d", "e"];
  fakes.stopping = ["b", "c"];
  changes.checkSoon();
  await run(200);
  t.strictSame(calls, ["invite d"]);
  fakes.members.push("d");
  await run(200);
  t.strictSame(calls.slice(1), ["remove b", "release b", "invite e"]);
  fakes.members.push("e");
  await run(200);
  t.strictSame(calls.slice(4), ["remove c", "release c"]);
});

t.test("an invitation without effect is followed by another one", async (t) => {
  const { fakes, calls, changes, run } = startFakes();
  fakes.standbys = ["d", "e"];
  fakes.stopping = ["b"];
  changes.checkSoon();
  await run(2_900);
  t.strictSame(calls, ["invite d"]);
  await run(300);
  t.strictSame(calls.slice(1), ["invite e"]);
  await run(3_100);
  t.strictSame(calls.slice(2), ["release b"], "no standby is left");
});

t.test("a stopping leader hands over and stops changing voters", async (t) => {
  const { fakes, calls, changes, run } = startFakes();
  fakes.stopping = ["a"];
  changes.checkSoon();
  fakes.members.push("d");
  await run(300);
  t.strictSame(calls, ["invite d", "releaseLeadership"]);
});

t.test("a learner that never replies is removed after a time", async (t) => {
  const { fakes, calls, run } = startFakes();
  fakes.standbys = [];
  fakes.learners = ["d"];
  await run(4_500);
  t.strictSame(calls, []);
  await run(1_500);
  t.strictSame(calls, ["remove d"]);
});
