import t from "tap";
import { createRunnerEntry } from "../model/mod.ts";
import { hasChanges } from "./announcements.ts";
import { createWorkState, encodeRecords } from "./work_state.ts";

// Scenario: 246 runners announce themselves every 1.5 s. Guards against a leader
// that has to handle every announcement.
t.test("only a changed announcement has changes", (t) => {
  const state = createWorkState();
  const runner = createRunnerEntry("r1");
  t.ok(hasChanges(state, runner), "an unknown runner");
  state.apply(encodeRecords([{ kind: "runner", runner }]), 0);
  t.notOk(hasChanges(state, { ...runner }), "an unchanged announcement");
  t.ok(hasChanges(state, { ...runner, isDraining: true }), "a draining runner");
  t.ok(hasChanges(state, { ...runner, startedMs: 2 }), "another incarnation");
  t.ok(hasChanges(state, { ...runner, address: "r1:2" }), "another address");
  const capacity = { ...runner.capacity, processors: 1_000 };
  t.ok(hasChanges(state, { ...runner, capacity }), "another capacity");
  const { id, startedMs } = runner;
  const life = `${id}@${startedMs}`;
  state.apply(encodeRecords([{ kind: "runnerGone", life }]), 0);
  t.ok(hasChanges(state, runner), "a runner recorded as gone");
  t.end();
});
