import t from "tap";
import { createSlotLedger } from "./slot_ledger.ts";

const OPTIONS = {
  announcementDelayMs: 500,
  grantValidMs: 1_000,
  requestTransitMs: 500,
};
const SETTLE_MS = 2_000;

function createLedger(firstInFlight = 0) {
  const ledger = createSlotLedger(firstInFlight, 0, OPTIONS);
  const report = (inFlight: number, atMs: number, hasRestarted = false) =>
    ledger.receiveReport({ inFlight, hasRestarted }, atMs);
  return { ledger, report };
}

const UNPROVEN = { hasEnded: false, durationMs: 0 };

// Guards against an excess that is dropped because of a grant whose request
// had ended before the report was taken, while its release was still on its way.
t.test("a late release gives the excess back", (t) => {
  const { ledger, report } = createLedger();
  const lost = ledger.openGrant(0);
  const open = ledger.openGrant(0);
  ledger.closeGrant(lost, UNPROVEN, 100);
  report(1, SETTLE_MS + 1);
  t.equal(ledger.getInUse(), 1, "one of the two has ended");
  ledger.closeGrant(open, { hasEnded: true, durationMs: 300 }, SETTLE_MS + 10);
  t.equal(ledger.getInUse(), 1, "it was the open one: the lost one still runs");
  report(0, SETTLE_MS + 1_000);
  t.equal(ledger.getInUse(), 0);
  t.end();
});

// Guards against an excess that comes back although the request was in the report.
t.test("a release of a request that outlived the report frees its slot", (t) => {
  const { ledger, report } = createLedger();
  const lost = ledger.openGrant(0);
  const open = ledger.openGrant(0);
  ledger.closeGrant(lost, UNPROVEN, 100);
  report(1, SETTLE_MS + 1);
  ledger.closeGrant(open, { hasEnded: true, durationMs: 3_000 }, 3_100);
  t.equal(ledger.getInUse(), 0);
  t.end();
});

// Guards against requests of others that no grant explains: a report above
// all that is known, and requests of a former leader.
t.test("a report raises the count to what it shows", (t) => {
  const { ledger, report } = createLedger(5);
  t.equal(ledger.getInUse(), 5);
  report(7, 1_000);
  t.equal(ledger.getInUse(), 7);
  const open = ledger.openGrant(1_100);
  ledger.closeGrant(open, { hasEnded: true, durationMs: 10 }, 1_900);
  report(8, 2_000);
  t.equal(ledger.getInUse(), 7, "the grant may have been in the report");
  report(2, 3_000, true);
  t.equal(ledger.getInUse(), 2, "a restart ended the others");
  t.end();
});
