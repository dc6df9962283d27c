import t from "tap";
import { createManualClock } from "./clock.ts";

// Guards against timers that fire out of order, which would hide races in tests.
t.test("manual clock runs timers in order of due time", (t) => {
  const clock = createManualClock();
  const seen: string[] = [];
  clock.setTimer(20, () => seen.push(`b${clock.now()}`));
  clock.setTimer(10, () => {
    seen.push(`a${clock.now()}`);
    clock.setTimer(5, () => seen.push(`c${clock.now()}`));
  });
  const cancelled = clock.setTimer(12, () => seen.push("cancelled"));
  cancelled.cancel();
  clock.advance(30);
  t.strictSame(seen, ["a10", "c15", "b20"]);
  t.equal(clock.now(), 30);
  t.end();
});
