import t from "tap";
import { createRunnerEntry } from "../model/mod.ts";
import { hasChanges } from "./announcements.ts";
import { createWorkState, encodeRecords } from "./work_state.ts";

// Pattern: 246 runners that announce themselves each 1.5 s. Guards against a
// leader that answers each of them.
t.test("only an announcement that changes something is news", (t) => {
  const state = createWorkState();
  const runner = createRunnerEntry("r1");
  t.ok(hasChanges(state, runner), "an unknown runner");
  state.apply(encodeRecords([{ kind: "runner", runner }]), 0);
  t.notOk(hasChanges(state, { ...runner }), "the same again");
  t.ok(hasChanges(state, { ...runner, isDraining: true }), "it is leaving");
  t.ok(hasChanges(state, { ...runner, startedMs: 2 }), "another life");
  t.ok(hasChanges(state, { ...runner, address: "r1:2" }), "another address");
  const { id, startedMs } = runner;
  const life = `${id}@${startedMs}`;
  state.apply(encodeRecords([{ kind: "runnerGone", life }]), 0);
  t.ok(hasChanges(state, runner), "it was taken for gone");
  t.end();
});
