/**
 * Tracks an upper bound on the slots in use at one endpoint.
 *
 * Neither available count is sufficient. The endpoint's report misses grants
 * issued recently. The open grants of this leader miss requests whose release
 * was lost and requests of a previous leader. The ledger therefore counts every
 * open grant and adds an excess: requests that may be running without an open
 * grant.
 *
 * - The first report sets the excess to the reported number. This is exact: this
 *   leader has no grants at the endpoint yet and previous grants have expired.
 * - A grant whose request is not confirmed to have ended (it expired, or its
 *   outcome is unknown) moves from the open grants to the excess.
 * - A later report lowers the excess to `inFlight - settled + unconfirmed`.
 *   `settled` are open grants old enough that their request either is in the
 *   report or will never arrive. `unconfirmed` are unconfirmed ends so recent
 *   that their request may have arrived after the report was created. This rule
 *   never raises the excess, since other open grants may be in the report too.
 * - A report higher than the ledger can explain (open grants, excess, and grants
 *   closed while the report was in transit) raises the excess.
 *
 * The count is therefore never below the number in flight, provided that
 * announcements take at most `announcementDelayMs`. If a settled grant is
 * released and turns out to have ended before the report, the excess increases
 * by one again.
 */

import { CLOCK_RATE_ERROR } from "./constants.ts";

/** Options of a slot ledger, in milliseconds. */
export interface SlotLedgerOptions {
  /** Maximum age of a report on arrival. */
  readonly announcementDelayMs: number;
  /** Time within which a grant must be used. */
  readonly grantValidMs: number;
  /** Maximum time for a request to reach the endpoint. */
  readonly requestTransitMs: number;
}

/** An open grant in the ledger. */
export interface LedgerGrant {
  readonly openedAtMs: number;
  /** Time of the last report that lowered the excess because this grant was settled. */
  countedAtMs: number | undefined;
}

/** The end of a grant. */
export interface LedgerClose {
  /** True if the request is confirmed to have ended. */
  readonly hasEnded: boolean;
  /** Duration of the exchange in milliseconds, measured by the entry instance. */
  readonly durationMs: number;
}

/** A report from the endpoint. */
export interface LedgerReport {
  readonly inFlight: number;
  /** True for the first report of a new incarnation: earlier requests have ended. */
  readonly hasRestarted: boolean;
}

/** The slot ledger of one endpoint. */
export interface SlotLedger {
  openGrant(nowMs: number): LedgerGrant;
  closeGrant(grant: LedgerGrant, end: LedgerClose, nowMs: number): void;
  receiveReport(report: LedgerReport, nowMs: number): void;
  /** Returns the number of open grants plus the excess. */
  getInUse(): number;
  getOpenCount(): number;
  getExcess(): number;
  /** Returns the excess plus the amount that may still be added back to it. */
  getMaxExcess(): number;
  /** Returns the time since which the excess has been above zero. */
  getExcessSince(): number | undefined;
  /** Returns whether all open grants are settled, so that a report at `nowMs` is exact. */
  isSettled(nowMs: number): boolean;
}

/** Creates the ledger of an endpoint from its first report. */
export function createSlotLedger(
  firstInFlight: number,
  nowMs: number,
  options: SlotLedgerOptions,
): SlotLedger {
  const { announcementDelayMs, grantValidMs, requestTransitMs } = options;
  // After this time the request of a grant is in every report or will never arrive.
  const settleMs = grantValidMs + requestTransitMs + announcementDelayMs;
  const open = new Set<LedgerGrant>();
  let closedAtMs: number[] = [];
  // Ends of grants whose request may still be in transit and missing from reports.
  let unconfirmedAtMs: number[] = [];
  let excess = firstInFlight;
  let excessSinceMs = firstInFlight > 0 ? nowMs : undefined;
  // Excess removed because of settled grants that are still open.
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
    // Earliest time on this clock at which the exchange can have ended.
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
      // A new incarnation never reports requests of the previous one.
      if (!hasRestarted && isGrantSettled(grant, atMs)) settled.push(grant);
    }
    const upperBound = Math.max(0, inFlight - settled.length) +
      unconfirmedAtMs.length;
    const lowerBound = inFlight - open.size - closedAtMs.length;
    const next = Math.max(Math.min(excess, upperBound), lowerBound);
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
