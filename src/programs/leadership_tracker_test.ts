import t from "tap";
import { createManualClock } from "../common/mod.ts";
import type { LeaderLease } from "../replicated_log/mod.ts";
import { createLeadershipTracker } from "./leadership_tracker.ts";

function createLease(term: number): LeaderLease {
  return { term } as LeaderLease;
}

function startTenure() {
  const clock = createManualClock(0);
  const events: string[] = [];
  let ledTerm: number | undefined = 4;
  const tenure = createLeadershipTracker({
    clock,
    getLedTerm: () => ledTerm,
    start: ({ term }) => events.push(`start ${term}`),
    stop: () => events.push("stop"),
    handleChange: () => {},
  });
  return {
    clock,
    events,
    tenure,
    setLedTerm(term: number | undefined) {
      ledTerm = term;
    },
  };
}

// Pattern: a restart of all machines, after which the leader is too busy to
// take in its members' answers in time.
t.test("a lease that comes back in its term goes on", (t) => {
  const { clock, events, tenure } = startTenure();
  tenure.handleLease(createLease(4));
  tenure.handleLease(undefined);
  clock.advance(1_000);
  tenure.handleLease(createLease(4));
  clock.advance(1_000);
  t.strictSame(events, ["start 4"]);
  t.end();
});

t.test("another leader ends the tenure", (t) => {
  const { clock, events, tenure, setLedTerm } = startTenure();
  tenure.handleLease(createLease(4));
  tenure.handleLease(undefined);
  setLedTerm(undefined);
  clock.advance(200);
  t.strictSame(events, ["start 4", "stop"]);
  tenure.handleLease(createLease(6));
  t.strictSame(events, ["start 4", "stop", "start 6"]);
  t.end();
});

t.test("a lease of a later term starts anew", (t) => {
  const { events, tenure } = startTenure();
  tenure.handleLease(createLease(4));
  tenure.handleLease(undefined);
  tenure.handleLease(createLease(5));
  tenure.close();
  tenure.close();
  t.strictSame(events, ["start 4", "stop", "start 5", "stop"]);
  t.end();
});
