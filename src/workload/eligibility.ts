/**
 * Which runners may run a step. The eligibility service answers one question at
 * a time for each calling instance, so queries are spread over all instances,
 * and kinds with long answers are kept apart from kinds with short ones. The
 * set of eligible runners of a step stays the same; tickets expire.
 */

import type { Clock, Logger } from "../common/mod.ts";
import { SLOW_ELIGIBILITY_MS } from "./constants.ts";
import type { EligibilityTimes } from "./types.ts";

/** A question to the service. */
export interface EligibilityQuery {
  readonly job: string;
  readonly occurrence: number;
  readonly step: number;
  /** Ids of runners. */
  readonly runners: readonly string[];
}

/** The service's answer. */
export interface EligibilityAnswer {
  /** Ticket by id of the runner; a runner without one may not run the step. */
  readonly tickets: Readonly<Record<string, string>>;
  /** Validity that the service states, in milliseconds; 0 when it states none. */
  readonly validMs: number;
}

/** A ticket for one runner. */
export interface Ticket {
  readonly value: string;
  /** Local monotonic time at which it is no longer valid. */
  readonly expiresMs: number;
}

/** What is known about one step. */
export interface StepEligibility {
  /** By id of the runner; false where the service named no ticket. */
  readonly isEligible: Map<string, boolean>;
  readonly tickets: Map<string, Ticket>;
  /** Number of queries on their way. */
  openQueries: number;
  /** Time before which no further question is asked, after a failure. */
  notBeforeMs: number;
}

/** One instance that can ask the service. */
interface Caller {
  readonly name: string;
  /** Time at which its present queries are expected to be answered. */
  busyUntilMs: number;
  openQueries: number;
  /** Questions without an answer in a row. */
  failures: number;
  /** Local time before which it is only asked when all others are left out as well. */
  avoidedUntilMs: number;
}

/** Options of the book. */
export interface EligibilityCacheOptions {
  clock: Clock;
  logger: Logger;
  /** Asks through the instance `caller`; rejects when there is no answer. */
  ask: (
    caller: string,
    question: EligibilityQuery,
    timeoutMs: number,
  ) => Promise<EligibilityAnswer>;
  /** Called after each answer. */
  handleAnswer: () => void;
}

/** Tickets of all steps, and the queries on their way. */
export interface EligibilityCache {
  get(stepKey: string): StepEligibility | undefined;
  /** Asks unless too many queries wait already; tells whether it asked. */
  startQuery(
    stepKey: string,
    question: EligibilityQuery,
    times: EligibilityTimes,
  ): boolean;
  setCallers(names: readonly string[]): void;
  /** Drops one ticket that a runner has refused. */
  removeTicket(stepKey: string, runner: string): void;
  remove(stepKey: string): void;
}

/** Questions that one caller may have on their way; more would only wait at the service. */
const MAX_QUERIES_PER_CALLER = 3;

/** Share of the callers that ask for kinds with long answers. */
const SLOW_CALLER_SHARE = 0.6;

/** Time beyond the expected answer after which a question counts as lost, in milliseconds. */
const ANSWER_SLACK_MS = 1_000;

/** Pause after a question without an answer, in milliseconds. */
const FAILURE_PAUSE_MS = 200;

/**
 * Time for which a caller is left out after a question without an answer, in
 * milliseconds; doubled by each further one. A stream to an instance that was
 * cut off looks open for some seconds.
 */
const CALLER_PAUSE_MS = 1_000;

/** Longest time for which a caller is left out, in milliseconds; a cut lasts some seconds. */
const MAX_CALLER_PAUSE_MS = 4_000;

/** Creates an empty book. */
export function createEligibilityCache(
  options: EligibilityCacheOptions,
): EligibilityCache {
  const { clock, logger } = options;
  const steps = new Map<string, StepEligibility>();
  const callers = new Map<string, Caller>();

  function getStep(stepKey: string): StepEligibility {
    let step = steps.get(stepKey);
    if (step === undefined) {
      step = {
        isEligible: new Map(),
        tickets: new Map(),
        openQueries: 0,
        notBeforeMs: 0,
      };
      steps.set(stepKey, step);
    }
    return step;
  }

  function pickCaller(isSlow: boolean, nowMs: number): Caller | undefined {
    const all = [...callers.values()];
    const slowCount = Math.max(1, Math.floor(all.length * SLOW_CALLER_SHARE));
    // With one caller alone both kinds have to share it.
    const usable = isSlow || all.length < 2
      ? all.slice(0, slowCount)
      : all.slice(slowCount);
    const responsive = usable.filter(({ avoidedUntilMs }) =>
      avoidedUntilMs <= nowMs
    );
    let best: Caller | undefined;
    // Where no caller answers, the service itself may be at fault.
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
        if (value === undefined) step.tickets.delete(runner);
        // The validity began before the answer arrived, by about the time of one hop.
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
      logger.info("Eligibility question failed", {
        step: stepKey,
        caller: caller.name,
        avoidedMs: Math.round(caller.avoidedUntilMs - nowMs),
        error,
      });
    } finally {
      step.openQueries -= 1;
      caller.openQueries -= 1;
      options.handleAnswer();
    }
  }

  return {
    get: (stepKey) => steps.get(stepKey),
    startQuery(stepKey, question, times) {
      const nowMs = clock.now();
      const step = getStep(stepKey);
      if (step.openQueries > 0 || nowMs < step.notBeforeMs) return false;
      const durationMs = times.baseMs +
        times.perRunnerMs * question.runners.length;
      const caller = pickCaller(durationMs >= SLOW_ELIGIBILITY_MS, nowMs);
      if (caller === undefined) return false;
      const waitMs = Math.max(0, caller.busyUntilMs - nowMs);
      // A ticket that waits behind another question for longer than it is valid is asked for too early.
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
      steps.get(stepKey)?.tickets.delete(runner);
    },
    remove(stepKey) {
      steps.delete(stepKey);
    },
  };
}
