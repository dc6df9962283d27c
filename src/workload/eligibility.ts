/**
 * Caches which runners may run a step. The eligibility service answers one query
 * at a time for each calling instance, so queries are spread over all instances,
 * and slow queries use different callers than fast ones. The set of eligible
 * runners of a step does not change, but tickets expire.
 */

import type { Clock, Logger } from "../common/mod.ts";
import { SLOW_ELIGIBILITY_MS } from "./constants.ts";
import type { EligibilityTimes } from "./types.ts";

/** A query to the eligibility service. */
export interface EligibilityQuery {
  readonly job: string;
  readonly occurrence: number;
  readonly step: number;
  /** Ids of the runners to check. */
  readonly runners: readonly string[];
}

/** The answer of the eligibility service. */
export interface EligibilityAnswer {
  /** Ticket by runner id; a runner without one must not run the step. */
  readonly tickets: Readonly<Record<string, string>>;
  /** Validity of the tickets in milliseconds; 0 if the service stated none. */
  readonly validMs: number;
}

/** An answer that an instance has kept, as it reports it to a new leader. */
export interface RecalledAnswer {
  readonly job: string;
  readonly occurrence: number;
  readonly step: number;
  /** Ids of the runners that the query named. */
  readonly runners: readonly string[];
  /** Ticket by runner id, empty once it has expired; a runner without an entry must not run the step. */
  readonly tickets: Readonly<Record<string, string>>;
  /** Time from the arrival of the answer to the report, in milliseconds. */
  readonly ageMs: number;
  /** Validity of the tickets that is left at the report, in milliseconds; absent if the service stated none. */
  readonly validMs?: number;
}

/** The reply of an instance that was asked for its kept answers. */
export interface KeptReport {
  readonly answers: readonly RecalledAnswer[];
  /** Local time at which the instance was asked, in milliseconds. */
  readonly sentMs: number;
}

/** A recalled answer in the leader's own time. */
export interface DatedAnswer {
  readonly runners: readonly string[];
  readonly tickets: Readonly<Record<string, string>>;
  /** Local time before which the answer did not arrive, in milliseconds. */
  readonly answeredMs: number;
  /** Local time until which the tickets are valid at least, in milliseconds. */
  readonly expiresMs: number;
}

/** A ticket for one runner. */
export interface Ticket {
  readonly value: string;
  /** Local monotonic time at which it expires, in milliseconds. */
  readonly expiresMs: number;
}

/** Cached eligibility of one step. */
export interface StepEligibility {
  /** By runner id; false if the service returned no ticket. */
  readonly isEligible: Map<string, boolean>;
  readonly tickets: Map<string, Ticket>;
  /** Number of queries in progress, except overdue ones. */
  openQueries: number;
  /** True while a query is in progress that should have been answered. */
  hasOverdueQuery: boolean;
  /** Local time before which no query is sent after a failure, in milliseconds. */
  notBeforeMs: number;
}

/** A step with the times of its answers. */
interface CachedStep extends StepEligibility {
  /** Local time of the newest answer, or of the refusal of its ticket, by runner id, in milliseconds. */
  readonly answeredMs: Map<string, number>;
}

/** An instance that can query the service. */
interface Caller {
  readonly name: string;
  /** Local time at which its current queries should be answered, in milliseconds. */
  busyUntilMs: number;
  openQueries: number;
  /** Number of consecutive failed queries. */
  failures: number;
  /** Local time until which it is only used if all others are avoided too, in milliseconds. */
  avoidedUntilMs: number;
}

/** Options of the cache. */
export interface EligibilityCacheOptions {
  clock: Clock;
  logger: Logger;
  /** Sends a query through the instance `caller`; rejects when no answer arrives. */
  ask: (
    caller: string,
    question: EligibilityQuery,
    timeoutMs: number,
  ) => Promise<EligibilityAnswer>;
  /** Called after each answered or failed query. */
  handleAnswer: () => void;
}

/** Eligibility and tickets by step, and the queries in progress. */
export interface EligibilityCache {
  get(stepKey: string): StepEligibility | undefined;
  /** Tells whether a caller for queries of this kind has fewer in progress than it may. */
  hasFreeCaller(times: EligibilityTimes): boolean;
  /** Sends a query unless too many are in progress; returns whether it was sent. */
  startQuery(
    stepKey: string,
    question: EligibilityQuery,
    times: EligibilityTimes,
  ): boolean;
  /** Adds a recalled answer, except where a newer one is known; returns the number of runners and of valid tickets added. */
  addRecalled(
    stepKey: string,
    answer: DatedAnswer,
  ): { runners: number; tickets: number };
  setCallers(names: readonly string[]): void;
  /** Removes a ticket that a runner has refused. */
  removeTicket(stepKey: string, runner: string): void;
  remove(stepKey: string): void;
}

/** Maximum queries in progress per caller; more would only queue at the service. */
const MAX_QUERIES_PER_CALLER = 3;

/** Share of the callers that send slow queries. */
const SLOW_CALLER_SHARE = 0.6;

/** Time beyond the expected answer after which a query times out, in milliseconds. */
const ANSWER_SLACK_MS = 1_000;

/**
 * Time beyond the expected answer after which a query no longer blocks its step,
 * in milliseconds. The step may then be asked about through another caller, once;
 * an answer that still arrives is used too.
 */
const OVERDUE_MS = 200;

/** Time for reading answers that arrived while the process was busy, in milliseconds; one turn of the event loop. */
const READ_MS = 1;

/** Time after a failed query before the next one for the same step, in milliseconds. */
const FAILURE_PAUSE_MS = 200;

/**
 * Time for which a caller is avoided after a failed query, in milliseconds;
 * doubled by each consecutive failure. A stream to a partitioned instance appears
 * open for some seconds.
 */
const CALLER_PAUSE_MS = 1_000;

/** Maximum time for which a caller is avoided, in milliseconds; a partition lasts some seconds. */
const MAX_CALLER_PAUSE_MS = 4_000;

/** Creates an empty cache. */
export function createEligibilityCache(
  options: EligibilityCacheOptions,
): EligibilityCache {
  const { clock, logger } = options;
  const steps = new Map<string, CachedStep>();
  const callers = new Map<string, Caller>();

  function getStep(stepKey: string): CachedStep {
    let step = steps.get(stepKey);
    if (step === undefined) {
      step = {
        isEligible: new Map(),
        tickets: new Map(),
        answeredMs: new Map(),
        openQueries: 0,
        hasOverdueQuery: false,
        notBeforeMs: 0,
      };
      steps.set(stepKey, step);
    }
    return step;
  }

  function pickCaller(isSlow: boolean, nowMs: number): Caller | undefined {
    const all = [...callers.values()];
    const slowCount = Math.max(1, Math.floor(all.length * SLOW_CALLER_SHARE));
    // A single caller has to send both slow and fast queries.
    const usable = isSlow || all.length < 2
      ? all.slice(0, slowCount)
      : all.slice(slowCount);
    const responsive = usable.filter(({ avoidedUntilMs }) =>
      avoidedUntilMs <= nowMs
    );
    let best: Caller | undefined;
    // If no caller gets answers, the service itself may be down.
    for (const caller of responsive.length > 0 ? responsive : usable) {
      if (caller.openQueries >= MAX_QUERIES_PER_CALLER) continue;
      const isLessBusy = best === undefined ||
        Math.max(caller.busyUntilMs, nowMs) < Math.max(best.busyUntilMs, nowMs);
      if (isLessBusy) best = caller;
    }
    return best;
  }

  function recordAnswer(caller: Caller): void {
    caller.failures = 0;
    caller.avoidedUntilMs = 0;
  }

  function recordFailure(caller: Caller, nowMs: number): void {
    const pauseMs = Math.min(
      MAX_CALLER_PAUSE_MS,
      CALLER_PAUSE_MS * 2 ** caller.failures,
    );
    caller.failures += 1;
    caller.avoidedUntilMs = nowMs + pauseMs;
  }

  async function runQuery(
    stepKey: string,
    caller: Caller,
    question: EligibilityQuery,
    timing: {
      startMs: number;
      waitMs: number;
      durationMs: number;
      validMs: number;
    },
  ): Promise<void> {
    const step = getStep(stepKey);
    step.openQueries += 1;
    caller.openQueries += 1;
    let isOverdue = false;

    function handleOverdue(): void {
      if (step.hasOverdueQuery) return;
      isOverdue = true;
      step.openQueries -= 1;
      step.hasOverdueQuery = true;
      const nowMs = clock.now();
      caller.avoidedUntilMs = Math.max(
        caller.avoidedUntilMs,
        nowMs + CALLER_PAUSE_MS,
      );
      logger.info("Eligibility query overdue", {
        step: stepKey,
        caller: caller.name,
        sinceMs: Math.round(nowMs - timing.startMs),
      });
      options.handleAnswer();
    }

    let timer = clock.setTimer(
      timing.waitMs + timing.durationMs + OVERDUE_MS,
      () => timer = clock.setTimer(READ_MS, handleOverdue),
    );
    try {
      const answer = await options.ask(
        caller.name,
        question,
        timing.waitMs + timing.durationMs + ANSWER_SLACK_MS,
      );
      const nowMs = clock.now();
      recordAnswer(caller);
      const validMs = answer.validMs > 0 ? answer.validMs : timing.validMs;
      for (const runner of question.runners) {
        const value = answer.tickets[runner];
        step.isEligible.set(runner, value !== undefined);
        step.answeredMs.set(runner, nowMs);
        if (value === undefined) step.tickets.delete(runner);
        // The validity began about one network hop before the answer arrived.
        else step.tickets.set(runner, { value, expiresMs: nowMs + validMs });
      }
      logger.debug("Eligibility answered", {
        step: stepKey,
        caller: caller.name,
        eligible: Object.keys(answer.tickets).length,
        asked: question.runners.length,
        tookMs: Math.round(nowMs - timing.startMs),
      });
    } catch (error) {
      const nowMs = clock.now();
      step.notBeforeMs = nowMs + FAILURE_PAUSE_MS;
      recordFailure(caller, nowMs);
      logger.info("Eligibility query failed", {
        step: stepKey,
        caller: caller.name,
        avoidedMs: Math.round(caller.avoidedUntilMs - nowMs),
        error,
      });
    } finally {
      timer.cancel();
      if (isOverdue) step.hasOverdueQuery = false;
      else step.openQueries -= 1;
      caller.openQueries -= 1;
      options.handleAnswer();
    }
  }

  return {
    get: (stepKey) => steps.get(stepKey),
    hasFreeCaller(times) {
      const nowMs = clock.now();
      // Whether a query is slow also depends on the number of runners that it names.
      const mayBeFast = times.baseMs < SLOW_ELIGIBILITY_MS;
      return pickCaller(true, nowMs) !== undefined ||
        (mayBeFast && pickCaller(false, nowMs) !== undefined);
    },
    startQuery(stepKey, question, times) {
      const nowMs = clock.now();
      const step = getStep(stepKey);
      if (step.openQueries > 0 || nowMs < step.notBeforeMs) return false;
      const durationMs = times.baseMs +
        times.perRunnerMs * question.runners.length;
      const caller = pickCaller(durationMs >= SLOW_ELIGIBILITY_MS, nowMs);
      if (caller === undefined) return false;
      const waitMs = Math.max(0, caller.busyUntilMs - nowMs);
      // Don't queue long behind other queries: one that waits longer than its
      // tickets are valid is sent too early.
      if (waitMs > Math.max(durationMs, SLOW_ELIGIBILITY_MS / 2)) return false;
      caller.busyUntilMs = nowMs + waitMs + durationMs;
      void runQuery(stepKey, caller, question, {
        startMs: nowMs,
        waitMs,
        durationMs,
        validMs: times.validMs,
      });
      return true;
    },
    addRecalled(stepKey, { runners, tickets, answeredMs, expiresMs }) {
      const step = getStep(stepKey);
      const isValid = expiresMs > clock.now();
      const added = { runners: 0, tickets: 0 };
      for (const runner of runners) {
        if ((step.answeredMs.get(runner) ?? -Infinity) >= answeredMs) continue;
        const value = tickets[runner];
        added.runners += 1;
        step.answeredMs.set(runner, answeredMs);
        step.isEligible.set(runner, value !== undefined);
        step.tickets.delete(runner);
        if (value === undefined || value === "" || !isValid) continue;
        added.tickets += 1;
        step.tickets.set(runner, { value, expiresMs });
      }
      return added;
    },
    setCallers(names) {
      for (const name of callers.keys()) {
        if (!names.includes(name)) callers.delete(name);
      }
      for (const name of names) {
        if (callers.has(name)) continue;
        callers.set(name, {
          name,
          busyUntilMs: 0,
          openQueries: 0,
          failures: 0,
          avoidedUntilMs: 0,
        });
      }
    },
    removeTicket(stepKey, runner) {
      const step = steps.get(stepKey);
      step?.tickets.delete(runner);
      // An answer that is recalled later may hold the same ticket.
      step?.answeredMs.set(runner, clock.now());
    },
    remove(stepKey) {
      steps.delete(stepKey);
    },
  };
}
