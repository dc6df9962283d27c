import t from "tap";
import { createManualClock } from "../common/mod.ts";
import type { LeaderLease } from "../replicated_log/mod.ts";
import { createLeadershipTracker } from "./leadership_tracker.ts";

function createLease(term: number): LeaderLease {
  return { term } as LeaderLease;
}

function startTracker() {
  const clock = createManualClock(0);
  const events: string[] = [];
  let ledTerm: number | undefined = 4;
  const tracker = createLeadershipTracker({
    clock,
    getLedTerm: () => ledTerm,
    start: ({ term }) => events.push(`start ${term}`),
    stop: () => events.push("stop"),
    handleChange: () => {},
  });
  return {
    clock,
    events,
    tracker,
    setLedTerm(term: number | undefined) {
      ledTerm = term;
    },
  };
}

// Guards against a controller restart after a short loss of the lease. After a
// restart of all machines, the leader is too busy to process replies in time.
t.test("a lease regained in the same term keeps the controller", (t) => {
  const { clock, events, tracker } = startTracker();
  tracker.handleLease(createLease(4));
  tracker.handleLease(undefined);
  clock.advance(1_000);
  tracker.handleLease(createLease(4));
  clock.advance(1_000);
  t.strictSame(events, ["start 4"]);
  t.end();
});

t.test("another leader stops the controller", (t) => {
  const { clock, events, tracker, setLedTerm } = startTracker();
  tracker.handleLease(createLease(4));
  tracker.handleLease(undefined);
  setLedTerm(undefined);
  clock.advance(200);
  t.strictSame(events, ["start 4", "stop"]);
  tracker.handleLease(createLease(6));
  t.strictSame(events, ["start 4", "stop", "start 6"]);
  t.end();
});

t.test("a lease of a later term restarts the controller", (t) => {
  const { events, tracker } = startTracker();
  tracker.handleLease(createLease(4));
  tracker.handleLease(undefined);
  tracker.handleLease(createLease(5));
  tracker.close();
  tracker.close();
  t.strictSame(events, ["start 4", "stop", "start 5", "stop"]);
  t.end();
});
