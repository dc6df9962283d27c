/**
 * How many slots of one endpoint may be in use.
 *
 * Neither count alone is enough: the endpoint's report misses a grant that was
 * just given, and our open grants miss a request whose release was lost or that
 * a former leader sent. The ledger therefore counts every open grant in full
 * and adds an excess: requests that may be running without an open grant.
 *
 * - The first report of an endpoint sets the excess to what it reports. No
 *   grant of this leader exists there yet and former grants have expired, so
 *   it is exact.
 * - A grant that ends without proof that its request ended (expired, or with
 *   an unknown outcome) moves from the open grants to the excess.
 * - A later report lowers the excess to `inFlight - settled + unproven`.
 *   `settled` are open grants given so long ago that their request was in the
 *   report when it was taken, or never will be; `unproven` are grants that
 *   ended without proof so recently that their request may have arrived after
 *   the report. It never raises the excess by that rule, since other open
 *   grants may be in the report too.
 * - A report above everything that the ledger can explain (open grants, excess
 *   and grants closed while the report travelled) raises the excess.
 *
 * So the count is at least the number in flight while an announcement takes at
 * most `announcementDelayMs`. A settled grant that turns out to have ended
 * before the report was taken is given back to the excess when it is released.
 */

import { CLOCK_RATE_ERROR } from "./constants.ts";

/** Settings of a slot ledger, in milliseconds. */
export interface SlotLedgerOptions {
  /** Longest age of a report when it arrives. */
  readonly announcementDelayMs: number;
  /** How long a grant may be unused. */
  readonly grantValidMs: number;
  /** Longest way of a request to the endpoint. */
  readonly requestTransitMs: number;
}

/** An open grant in the ledger. */
export interface LedgerGrant {
  readonly openedAtMs: number;
  /** Time of the last report that lowered the excess on account of this grant. */
  countedAtMs: number | undefined;
}

/** How a grant ended. */
export interface LedgerClose {
  /** True when the request is certainly not running any more. */
  readonly hasEnded: boolean;
  /** Length of the exchange as the entry instance measured it. */
  readonly durationMs: number;
}

/** A report of the endpoint. */
export interface LedgerReport {
  readonly inFlight: number;
  /** True for the first report of an incarnation: former requests have died. */
  readonly hasRestarted: boolean;
}

/** The slots in use at one endpoint. */
export interface SlotLedger {
  openGrant(nowMs: number): LedgerGrant;
  closeGrant(grant: LedgerGrant, end: LedgerClose, nowMs: number): void;
  receiveReport(report: LedgerReport, nowMs: number): void;
  /** Open grants plus excess. */
  getInUse(): number;
  getOpenCount(): number;
  getExcess(): number;
  /** The excess and what may still be given back to it. */
  getMaxExcess(): number;
  /** Time since which the excess has been above zero. */
  getExcessSince(): number | undefined;
  /** True when every open grant is settled, so that a report at `nowMs` is exact. */
  isSettled(nowMs: number): boolean;
}

/** Creates the ledger of an endpoint from its first report. */
export function createSlotLedger(
  firstInFlight: number,
  nowMs: number,
  options: SlotLedgerOptions,
): SlotLedger {
  const { announcementDelayMs, grantValidMs, requestTransitMs } = options;
  // After this age the request of a grant is in each report, or will never be.
  const settleMs = grantValidMs + requestTransitMs + announcementDelayMs;
  const open = new Set<LedgerGrant>();
  let closedAtMs: number[] = [];
  // Ends of grants whose request may still be on its way: reports miss it.
  let unconfirmedAtMs: number[] = [];
  let excess = firstInFlight;
  let excessSinceMs = firstInFlight > 0 ? nowMs : undefined;
  // Excess that was dropped on account of settled grants that are still open.
  let dropped = 0;

  function setExcess(value: number, atMs: number): void {
    excess = value;
    if (value === 0) excessSinceMs = undefined;
    else excessSinceMs ??= atMs;
  }

  function isGrantSettled(grant: LedgerGrant, atMs: number): boolean {
    return grant.openedAtMs + settleMs <= atMs;
  }

  function hasEndedBeforeReport(
    grant: LedgerGrant,
    durationMs: number,
  ): boolean {
    if (grant.countedAtMs === undefined || dropped === 0) return false;
    // The exchange cannot have ended before this time on our clock.
    const earliestEndMs = grant.openedAtMs +
      durationMs * (1 - CLOCK_RATE_ERROR);
    return earliestEndMs <= grant.countedAtMs;
  }

  function closeGrant(grant: LedgerGrant, end: LedgerClose, atMs: number) {
    if (!open.delete(grant)) return;
    closedAtMs.push(atMs);
    if (!end.hasEnded) {
      unconfirmedAtMs.push(atMs);
      setExcess(excess + 1, atMs);
    } else if (hasEndedBeforeReport(grant, end.durationMs)) {
      dropped -= 1;
      setExcess(excess + 1, atMs);
    }
  }

  function receiveReport(report: LedgerReport, atMs: number): void {
    const { inFlight, hasRestarted } = report;
    closedAtMs = closedAtMs.filter((ms) => ms >= atMs - announcementDelayMs);
    unconfirmedAtMs = unconfirmedAtMs.filter((ms) =>
      ms > atMs - announcementDelayMs - requestTransitMs
    );
    const settled: LedgerGrant[] = [];
    for (const grant of open) {
      // Requests of a former incarnation are in no report of the new one.
      if (!hasRestarted && isGrantSettled(grant, atMs)) settled.push(grant);
    }
    const most = Math.max(0, inFlight - settled.length) +
      unconfirmedAtMs.length;
    const least = inFlight - open.size - closedAtMs.length;
    const next = Math.max(Math.min(excess, most), least);
    if (![...open].some((grant) => grant.countedAtMs !== undefined)) {
      dropped = 0;
    }
    if (next < excess) {
      dropped += excess - next;
      for (const grant of settled) grant.countedAtMs = atMs;
    }
    setExcess(next, atMs);
  }

  return {
    openGrant(atMs) {
      const grant: LedgerGrant = { openedAtMs: atMs, countedAtMs: undefined };
      open.add(grant);
      return grant;
    },
    closeGrant,
    receiveReport,
    getInUse: () => open.size + excess,
    getOpenCount: () => open.size,
    getExcess: () => excess,
    getMaxExcess: () => excess + dropped,
    getExcessSince: () => excessSinceMs,
    isSettled(atMs) {
      for (const grant of open) {
        if (!isGrantSettled(grant, atMs)) return false;
      }
      return true;
    },
  };
}
