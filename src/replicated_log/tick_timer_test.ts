import t from "tap";
import { createManualClock } from "../common/mod.ts";
import { startTickTimer } from "./tick_timer.ts";

/** Creates a clock whose process can pause, so that its timers fire late. */
function createPausableClock() {
  const clock = createManualClock(0);
  let pausedMs = 0;
  return {
    now: () => clock.now() + pausedMs,
    wallTime: () => clock.now() + pausedMs,
    setTimer: clock.setTimer,
    advance: clock.advance,
    pauseFor(ms: number) {
      pausedMs += ms;
    },
  };
}

function startTimer(canDefer: boolean) {
  const clock = createPausableClock();
  const ticks: number[] = [];
  const timer = startTickTimer({
    clock,
    getDelayMs: () => 60,
    canDefer: () => canDefer,
    runTick: () => ticks.push(clock.now()),
  });
  clock.advance(0);
  return { clock, ticks, timer };
}

// Guards against elections despite a live leader, after a restart of all
// machines keeps each member busy for longer than an election timeout.
t.test("a late tick is deferred until received messages are read", (t) => {
  const { clock, ticks } = startTimer(true);
  clock.advance(59);
  clock.pauseFor(700);
  clock.advance(1);
  t.strictSame(ticks, [0], "the late tick is deferred");
  clock.advance(1);
  t.strictSame(ticks, [0, 761]);
  clock.advance(60);
  t.strictSame(ticks, [0, 761, 821]);
  t.end();
});

t.test("a process that is always late still ticks", (t) => {
  const { clock, ticks } = startTimer(true);
  for (let turn = 0; turn < 10; turn += 1) {
    clock.pauseFor(300);
    clock.advance(60);
  }
  t.ok(ticks.length >= 5, `${ticks.length} ticks`);
  t.end();
});

// A leader's tick sends its heartbeats.
t.test("a late tick of a leader is not deferred", (t) => {
  const { clock, ticks, timer } = startTimer(false);
  clock.advance(59);
  clock.pauseFor(700);
  clock.advance(1);
  t.strictSame(ticks, [0, 760]);
  timer.cancel();
  clock.advance(200);
  t.strictSame(ticks, [0, 760]);
  t.end();
});
