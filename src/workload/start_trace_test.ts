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
  t.equal(trace.getSinceDrainingMs(), undefined);
  t.end();
});

// Guards against a start to a draining runner that no log line shows.
t.test("a trace tells how long the runner had been draining", (t) => {
  const { clock, runner, trace } = createTraceFixture();
  trace.recordSend();
  clock.advance(100);
  runner.drainingSinceMs = clock.now();
  t.equal(trace.getSinceDrainingMs(), undefined, "sent before");
  clock.advance(250);
  trace.recordSend();
  t.equal(trace.getSinceDrainingMs(), 250);
  t.match(trace.formatFields(), { sinceDrainingMs: 250 });
  t.end();
});
