import t from "tap";
import { buildExpectedFault } from "../../test/requests_helpers.ts";
import { createManualClock } from "../common/mod.ts";
import { createCallRateLimit } from "./call_rate_limit.ts";

// Guards against explanations that take the leader's time from its decisions, and
// against refused calls that keep extending the refusal.
t.test("a leader answers five explanations in any second", (t) => {
  const clock = createManualClock(1_000);
  const limit = createCallRateLimit({
    clock,
    callsPerSecond: 5,
    subject: "explanation",
  });
  const expected = buildExpectedFault("overloaded", "no");
  for (let call = 0; call < 5; call++) {
    limit.addCall();
    clock.advance(100);
  }
  t.throws(() => limit.addCall(), expected);
  clock.advance(499);
  t.throws(() => limit.addCall(), expected);
  clock.advance(1);
  limit.addCall();
  t.throws(() => limit.addCall(), expected, "only the oldest call has ended");
  t.end();
});
