/**
 * Outlier detection: temporarily ejects endpoints whose failure rate is much
 * higher than that of the others, based on outcomes reported by entry
 * instances. A fault common to all endpoints, such as a request that always
 * fails, ejects none of them.
 */

import type { Clock } from "../common/mod.ts";

/** Options of outlier ejection; times in milliseconds. */
export interface OutlierOptions {
  /** Consecutive failures that eject an endpoint. Default 5. */
  consecutiveFailures?: number;
  /** Minimum number of outcomes for ejection by failure rate. Default 20. */
  minOutcomes?: number;
  /** Ejects above twice the failure rate of the others plus this margin. Default 0.2. */
  rateMargin?: number;
  /** Half-life of the weight of an outcome. Default 10,000. */
  halfLifeMs?: number;
  /** Duration of the first ejection; doubles with each further one. Default 5,000. */
  baseEjectionMs?: number;
  /** Maximum duration of an ejection. Default 300,000. */
  maxEjectionMs?: number;
  /** Maximum fraction of endpoints ejected at the same time. Default 0.3. */
  maxEjectedFraction?: number;
  /** Successful probes required before an endpoint is healthy again. Default 3. */
  probeSuccesses?: number;
}

/** Default options of outlier ejection. */
export const DEFAULT_OUTLIER_OPTIONS: Readonly<Required<OutlierOptions>> =
  Object.freeze({
    consecutiveFailures: 5,
    minOutcomes: 20,
    rateMargin: 0.2,
    halfLifeMs: 10_000,
    baseEjectionMs: 5_000,
    maxEjectionMs: 300_000,
    maxEjectedFraction: 0.3,
    probeSuccesses: 3,
  });

/** Whether an endpoint gets all requests, one probe request at a time, or none. */
export type EndpointHealth = "healthy" | "probing" | "ejected";

/** Decides which endpoints are ejected. */
export interface OutlierDetector {
  add(endpoint: string): void;
  remove(endpoint: string): void;
  getHealth(endpoint: string): EndpointHealth;
  /** Records an outcome; the endpoint is ejected only if `canEject` returns true. */
  recordOutcome(
    endpoint: string,
    hasSucceeded: boolean,
    canEject?: () => boolean,
  ): void;
}

/** Failure rate of the other endpoints from which a fault is considered common. */
const COMMON_FAILURE_RATE = 0.5;

/** Healthy time after which the ejection count is reset, as a multiple of the last ejection. */
const EJECTION_RESET_FACTOR = 4;

interface EndpointStats {
  successes: number;
  failures: number;
  countedAtMs: number;
  consecutiveFailures: number;
  ejections: number;
  ejectedUntilMs: number;
  isProbing: boolean;
  probesPassed: number;
  healthySinceMs: number;
}

/** Creates a detector without endpoints. */
export function createOutlierDetector(
  clock: Clock,
  options: OutlierOptions = {},
): OutlierDetector {
  const settings = { ...DEFAULT_OUTLIER_OPTIONS, ...options };
  const members = new Map<string, EndpointStats>();

  function updateCounts(member: EndpointStats): void {
    const elapsedMs = clock.now() - member.countedAtMs;
    const factor = 2 ** (-elapsedMs / settings.halfLifeMs);
    member.successes *= factor;
    member.failures *= factor;
    member.countedAtMs = clock.now();
  }

  function getOthersFailureRate(member: EndpointStats): number {
    let failures = 0;
    let outcomes = 0;
    for (const other of members.values()) {
      if (other === member) continue;
      updateCounts(other);
      failures += other.failures;
      outcomes += other.failures + other.successes;
    }
    return outcomes === 0 ? 0 : failures / outcomes;
  }

  function isOutlier(member: EndpointStats): boolean {
    const othersRate = getOthersFailureRate(member);
    if (othersRate >= COMMON_FAILURE_RATE) return false;
    if (member.consecutiveFailures >= settings.consecutiveFailures) return true;
    const outcomes = member.failures + member.successes;
    if (outcomes < settings.minOutcomes) return false;
    return member.failures / outcomes > 2 * othersRate + settings.rateMargin;
  }

  function isEjected(member: EndpointStats): boolean {
    return clock.now() < member.ejectedUntilMs;
  }

  function isEjectionAllowed(): boolean {
    let ejected = 0;
    for (const member of members.values()) {
      if (isEjected(member)) ejected += 1;
    }
    // Of two or three endpoints one may be ejected; a single endpoint never.
    const maxEjected = Math.max(
      Math.floor(members.size * settings.maxEjectedFraction),
      members.size >= 2 ? 1 : 0,
    );
    return ejected < maxEjected;
  }

  function computeEjectionMs(ejections: number): number {
    return Math.min(
      settings.maxEjectionMs,
      settings.baseEjectionMs * 2 ** (ejections - 1),
    );
  }

  function handleEjection(member: EndpointStats): void {
    const lastMs = computeEjectionMs(Math.max(1, member.ejections));
    const healthyMs = clock.now() - member.healthySinceMs;
    if (!member.isProbing && healthyMs > EJECTION_RESET_FACTOR * lastMs) {
      member.ejections = 0;
    }
    member.ejections += 1;
    member.ejectedUntilMs = clock.now() + computeEjectionMs(member.ejections);
    member.isProbing = true;
    member.probesPassed = 0;
    member.consecutiveFailures = 0;
    member.successes = 0;
    member.failures = 0;
  }

  function handleProbe(member: EndpointStats, hasSucceeded: boolean): void {
    if (!hasSucceeded) {
      // Check the limit again: other endpoints may have been ejected since the
      // ejection of this one ended.
      if (isEjectionAllowed()) handleEjection(member);
      else member.probesPassed = 0;
      return;
    }
    member.probesPassed += 1;
    if (member.probesPassed < settings.probeSuccesses) return;
    member.isProbing = false;
    member.healthySinceMs = clock.now();
  }

  return {
    add(endpoint) {
      if (members.has(endpoint)) return;
      members.set(endpoint, {
        successes: 0,
        failures: 0,
        countedAtMs: clock.now(),
        consecutiveFailures: 0,
        ejections: 0,
        ejectedUntilMs: -Infinity,
        isProbing: false,
        probesPassed: 0,
        healthySinceMs: clock.now(),
      });
    },
    remove: (endpoint) => void members.delete(endpoint),
    getHealth(endpoint) {
      const member = members.get(endpoint);
      if (member === undefined) return "healthy";
      if (isEjected(member)) return "ejected";
      return member.isProbing ? "probing" : "healthy";
    },
    recordOutcome(endpoint, hasSucceeded, canEject = () => true) {
      const member = members.get(endpoint);
      // Requests already running at the time of the ejection give no new information.
      if (member === undefined || isEjected(member)) return;
      if (member.isProbing) {
        handleProbe(member, hasSucceeded);
        return;
      }
      updateCounts(member);
      if (hasSucceeded) {
        member.successes += 1;
        member.consecutiveFailures = 0;
        return;
      }
      member.failures += 1;
      member.consecutiveFailures += 1;
      if (!isOutlier(member) || !isEjectionAllowed() || !canEject()) return;
      handleEjection(member);
    },
  };
}
