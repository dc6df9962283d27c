import t from "tap";
import { isReleasable, planVoters, type VotersInput } from "./voters.ts";

function createVoter(
  instance: string,
  contactAgeMs = 0,
  { dataCentre = "one", isStopping = false } = {},
) {
  return { id: instance, instance, dataCentre, contactAgeMs, isStopping };
}

function createStandby(
  instance: string,
  connectedMs = 60_000,
  dataCentre = "four",
) {
  return { instance, dataCentre, connectedMs };
}

function createLearner(instance: string, contactAgeMs = 0) {
  return { id: `${instance}#1`, instance, contactAgeMs };
}

function createInput(input: Partial<VotersInput>): VotersInput {
  return {
    tolerance: 1,
    self: "a",
    voters: ["a", "b", "c"].map((name) => createVoter(name)),
    learners: [],
    standbys: [createStandby("d")],
    ...input,
  };
}

t.test("three healthy voters are not changed", (t) => {
  t.equal(planVoters(createInput({})), undefined);
  t.end();
});

t.test("a higher tolerance needs more voters", (t) => {
  const input = createInput({
    tolerance: 2,
    standbys: [
      createStandby("d", 60_000, "one"),
      createStandby("e", 60_000, "two"),
    ],
  });
  t.strictSame(planVoters(input), { kind: "invite", instance: "e" });
  t.equal(planVoters({ ...input, learners: [createLearner("f")] }), undefined);
  t.end();
});

t.test("a restarting voter is not replaced", (t) => {
  const voters = [createVoter("a"), createVoter("b"), createVoter("c", 3_000)];
  t.equal(planVoters(createInput({ voters })), undefined);
  t.end();
});

t.test("a lost voter is replaced, then removed", (t) => {
  const lost = createVoter("c", 6_000);
  const voters = [createVoter("a"), createVoter("b"), lost];
  t.strictSame(planVoters(createInput({ voters })), {
    kind: "invite",
    instance: "d",
  });
  const next = createInput({
    voters: [...voters, createVoter("d")],
    standbys: [],
  });
  t.strictSame(planVoters(next), {
    kind: "remove",
    id: "c",
    memberRole: "voter",
    reason: "lost",
  });
  t.end();
});

t.test("a standby that connected after the loss replaces the voter sooner", (t) => {
  const voters = [createVoter("a"), createVoter("b"), createVoter("c", 2_000)];
  const standbys = [createStandby("e", 900)];
  t.strictSame(planVoters(createInput({ voters, standbys })), {
    kind: "invite",
    instance: "e",
  });
  t.end();
});

t.test("a voter that returns with an empty store is invited at once", (t) => {
  const voters = [createVoter("a"), createVoter("b"), createVoter("c", 500)];
  const standbys = [createStandby("c", 10)];
  t.strictSame(planVoters(createInput({ voters, standbys })), {
    kind: "invite",
    instance: "c",
  });
  t.end();
});

t.test("no voter is removed while two are unresponsive", (t) => {
  const voters = [
    createVoter("a"),
    createVoter("b", 2_000),
    createVoter("c", 9_000),
    createVoter("d"),
  ];
  t.equal(planVoters(createInput({ voters, standbys: [] })), undefined);
  t.end();
});

t.test("a stopping voter is removed once a standby has its place", (t) => {
  const stopping = createVoter("b", 0, { isStopping: true });
  const voters = [createVoter("a"), stopping, createVoter("c")];
  const input = createInput({ voters });
  t.strictSame(planVoters(input), { kind: "invite", instance: "d" });
  t.notOk(isReleasable(input, "b"));
  const joining = createInput({
    voters,
    learners: [createLearner("d")],
    standbys: [],
  });
  t.equal(planVoters(joining), undefined);
  t.notOk(isReleasable(joining, "b"));
  const joined = createInput({
    voters: [...voters, createVoter("d")],
    standbys: [],
  });
  t.strictSame(planVoters(joined), {
    kind: "remove",
    id: "b",
    memberRole: "voter",
    reason: "stopping",
  });
  t.notOk(isReleasable(joined, "b"));
  const removed = joined.voters.filter(({ id }) => id !== "b");
  t.ok(isReleasable({ ...joined, voters: removed }, "b"));
  t.end();
});

t.test("a stopping leader hands over once a standby has its place", (t) => {
  const stopping = createVoter("a", 0, { isStopping: true });
  const voters = [stopping, createVoter("b"), createVoter("c")];
  t.strictSame(planVoters(createInput({ voters })), {
    kind: "invite",
    instance: "d",
  });
  const joined = [...voters, createVoter("d")];
  t.strictSame(planVoters(createInput({ voters: joined, standbys: [] })), {
    kind: "releaseLeadership",
  });
  t.end();
});

t.test("a stopping voter without a standby keeps its vote", (t) => {
  const stopping = createVoter("b", 0, { isStopping: true });
  const voters = [createVoter("a"), stopping, createVoter("c")];
  const input = createInput({ voters, standbys: [] });
  t.equal(planVoters(input), undefined);
  t.ok(isReleasable(input, "b"));
  t.end();
});

t.test("a stopping voter is not removed without a majority of the others", (t) => {
  const stopping = createVoter("b", 0, { isStopping: true });
  const voters = [
    createVoter("a"),
    stopping,
    createVoter("c", 3_000),
    createVoter("d", 3_000),
  ];
  t.equal(planVoters(createInput({ voters, standbys: [] })), undefined);
  t.end();
});

// Guards against a standby that is lost while it joins: no voter was replaced any more.
t.test("a lost learner makes way for another standby", (t) => {
  const voters = [createVoter("a"), createVoter("b"), createVoter("c", 9_000)];
  const removal = {
    kind: "remove",
    id: "d#1",
    memberRole: "learner",
    reason: "lost",
  };
  const joining = createInput({
    voters,
    learners: [createLearner("d", 4_000)],
    standbys: [createStandby("e")],
  });
  t.equal(planVoters(joining), undefined);
  const lost = { ...joining, learners: [createLearner("d", 6_000)] };
  t.strictSame(planVoters(lost), removal);
  const returned = { ...joining, standbys: [createStandby("d", 10)] };
  t.strictSame(
    planVoters(returned),
    removal,
    "it came back with an empty disk",
  );
  t.strictSame(planVoters({ ...joining, learners: [] }), {
    kind: "invite",
    instance: "e",
  });
  t.end();
});
