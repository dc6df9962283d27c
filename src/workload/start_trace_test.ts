import t from "tap";
import { createManualClock } from "../common/mod.ts";
import { createRunnerEntry } from "../model/mod.ts";
import { createRunner } from "./runner_table.ts";
import { createStartTrace } from "./start_trace.ts";

function createTraceFixture() {
  const clock = createManualClock(1_000);
  const runner = createRunner(createRunnerEntry("r"), 0);
  runner.clockSample = { clockMs: 50, atMs: 1_000 };
  const trace = createStartTrace({ clock, runner, decidedMs: 1_000 });
  return { clock, runner, trace };
}

// Guards against a log that cannot tell where an order was held.
t.test("a trace names each copy, its relay and its delivery", (t) => {
  const { clock, trace } = createTraceFixture();
  clock.advance(20);
  trace.recordCommit();
  trace.recordSend();
  clock.advance(500);
  trace.recordSend();
  trace.recordReply({ outcome: "accepted", clockMs: 600, relay: "core-2" });
  t.strictSame(trace.formatFields(), {
    committedMs: 20,
    copies: "20@+? 520@core-2+30",
  });
  t.equal(trace.getDeliveryMs(), 30);
  t.equal(trace.getSinceLeavingMs(), undefined);
  t.end();
});

// Guards against a start to a leaving runner that no log line shows.
t.test("a trace tells how long the runner had been leaving", (t) => {
  const { clock, runner, trace } = createTraceFixture();
  trace.recordSend();
  clock.advance(100);
  runner.leavingMs = clock.now();
  t.equal(trace.getSinceLeavingMs(), undefined, "sent before");
  clock.advance(250);
  trace.recordSend();
  t.equal(trace.getSinceLeavingMs(), 250);
  t.match(trace.formatFields(), { sinceLeavingMs: 250 });
  t.end();
});
