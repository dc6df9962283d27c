import t from "tap";
import { createManualClock } from "../common/mod.ts";
import { startTickTimer } from "./tick_timer.ts";

/** A clock whose process can stop, so that its timers fire late. */
function createStoppableClock() {
  const clock = createManualClock(0);
  let stoppedMs = 0;
  return {
    now: () => clock.now() + stoppedMs,
    wallTime: () => clock.now() + stoppedMs,
    setTimer: clock.setTimer,
    advance: clock.advance,
    stopFor(ms: number) {
      stoppedMs += ms;
    },
  };
}

function startTimer(mayWait: boolean) {
  const clock = createStoppableClock();
  const ticks: number[] = [];
  const timer = startTickTimer({
    clock,
    getDelayMs: () => 60,
    mayWait: () => mayWait,
    runTick: () => ticks.push(clock.now()),
  });
  clock.advance(0);
  return { clock, ticks, timer };
}

// Pattern: a restart of all machines, after which each member is busy for
// longer than an election takes. Guards against elections below a live leader.
t.test("a late tick waits until what has arrived is read", (t) => {
  const { clock, ticks } = startTimer(true);
  clock.advance(59);
  clock.stopFor(700);
  clock.advance(1);
  t.strictSame(ticks, [0], "the late tick waits");
  clock.advance(1);
  t.strictSame(ticks, [0, 761]);
  clock.advance(60);
  t.strictSame(ticks, [0, 761, 821]);
  t.end();
});

t.test("a process that is always late ticks all the same", (t) => {
  const { clock, ticks } = startTimer(true);
  for (let turn = 0; turn < 10; turn += 1) {
    clock.stopFor(300);
    clock.advance(60);
  }
  t.ok(ticks.length >= 5, `${ticks.length} ticks`);
  t.end();
});

// A leader's tick sends its heartbeats.
t.test("a late tick of a leader comes at once", (t) => {
  const { clock, ticks, timer } = startTimer(false);
  clock.advance(59);
  clock.stopFor(700);
  clock.advance(1);
  t.strictSame(ticks, [0, 760]);
  timer.cancel();
  clock.advance(200);
  t.strictSame(ticks, [0, 760]);
  t.end();
});
