import t from "tap";
import { createManualClock, type ManualClock } from "../common/mod.ts";
import { createPacedRounds } from "./paced_rounds.ts";

function createRounds(clock: ManualClock, durationMs: number) {
  const startedMs: number[] = [];
  const rounds = createPacedRounds({
    clock,
    periodMs: 8,
    runRound() {
      startedMs.push(clock.now());
      clock.advance(durationMs);
    },
  });
  return { rounds, startedMs };
}

// Guards against a burst of waiting tasks whose planning starves polls and
// heartbeats.
t.test("long rounds leave three quarters of the time", (t) => {
  const clock = createManualClock(0);
  const { rounds, startedMs } = createRounds(clock, 50);
  for (let at = 0; at < 1_000; at += 1) {
    rounds.request();
    clock.advance(1);
  }
  t.ok(startedMs.length >= 4, "rounds continue");
  for (const [at, startMs] of startedMs.slice(1).entries()) {
    const restMs = startMs - (startedMs[at] ?? 0) - 50;
    t.ok(restMs >= 150, `${restMs} ms of rest after 50 ms of work`);
  }
  t.end();
});

// Guards against a pause that delays the first task of an idle cell.
t.test("a short round is followed within the period", (t) => {
  const clock = createManualClock(0);
  const { rounds, startedMs } = createRounds(clock, 0);
  rounds.request();
  rounds.request();
  clock.advance(8);
  t.strictSame(startedMs, [8], "requests before a round share it");
  rounds.request();
  clock.advance(8);
  t.strictSame(startedMs, [8, 16]);
  t.end();
});

// Guards against a round after the leadership has ended.
t.test("no round runs after a stop", (t) => {
  const clock = createManualClock(0);
  const { rounds, startedMs } = createRounds(clock, 0);
  rounds.request();
  rounds.stop();
  clock.advance(100);
  t.strictSame(startedMs, []);
  t.end();
});
