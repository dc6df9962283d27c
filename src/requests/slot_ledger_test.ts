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

const UNCONFIRMED = { hasEnded: false, durationMs: 0 };

// Guards against an excess that is lowered because of a grant whose request had
// ended before the report, while its release was still in transit.
t.test("a late release restores the excess", (t) => {
  const { ledger, report } = createLedger();
  const lost = ledger.openGrant(0);
  const open = ledger.openGrant(0);
  ledger.closeGrant(lost, UNCONFIRMED, 100);
  report(1, SETTLE_MS + 1);
  t.equal(ledger.getInUse(), 1, "one of the two has ended");
  ledger.closeGrant(open, { hasEnded: true, durationMs: 300 }, SETTLE_MS + 10);
  t.equal(
    ledger.getInUse(),
    1,
    "the open one has ended, the lost one is still running",
  );
  report(0, SETTLE_MS + 1_000);
  t.equal(ledger.getInUse(), 0);
  t.end();
});

// Guards against an excess that is restored although the request was in the report.
t.test("a release of a request that outlived the report frees its slot", (t) => {
  const { ledger, report } = createLedger();
  const lost = ledger.openGrant(0);
  const open = ledger.openGrant(0);
  ledger.closeGrant(lost, UNCONFIRMED, 100);
  report(1, SETTLE_MS + 1);
  ledger.closeGrant(open, { hasEnded: true, durationMs: 3_000 }, 3_100);
  t.equal(ledger.getInUse(), 0);
  t.end();
});

// Guards against ignoring requests without a known grant: a report higher than
// the ledger can explain, and requests of a previous leader.
t.test("a report raises the count to the reported number", (t) => {
  const { ledger, report } = createLedger(5);
  t.equal(ledger.getInUse(), 5);
  report(7, 1_000);
  t.equal(ledger.getInUse(), 7);
  const open = ledger.openGrant(1_100);
  ledger.closeGrant(open, { hasEnded: true, durationMs: 10 }, 1_900);
  report(8, 2_000);
  t.equal(ledger.getInUse(), 7, "the grant may have been in the report");
  report(2, 3_000, true);
  t.equal(ledger.getInUse(), 2, "the restart ended all others");
  t.end();
});
