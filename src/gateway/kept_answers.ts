/**
 * Keeps the answers of the eligibility service that this instance got on behalf of
 * the leader, so that the next leader can recall them.
 */

import { Buffer } from "node:buffer";
import type { Clock } from "../common/mod.ts";
import type {
  EligibilityAnswer,
  EligibilityQuery,
  RecalledAnswer,
} from "../workload/mod.ts";

/** Maximum number of steps with kept answers; several times those that one instance queries in 20 s. */
export const MAX_KEPT_STEPS = 500;

/** Time for which an answer is kept, in milliseconds. Most steps have started by then. */
export const KEEP_ANSWER_MS = 20_000;

/** Maximum size of a report, in bytes; 0.35 s on a link of 1.5 Mbit/s. */
export const MAX_REPORT_BYTES = 64 * 1024;

/** Part of the size that is left for the message around the list, in bytes. */
const ENVELOPE_BYTES = 128;

/** Options of the kept answers. */
export interface KeptAnswersOptions {
  clock: Pick<Clock, "now">;
}

/** Kept answers by step. */
export interface KeptAnswers {
  /** Keeps an answer that has just arrived. */
  record(question: EligibilityQuery, answer: EligibilityAnswer): void;
  /** Lists the kept answers, newest first, within `MAX_REPORT_BYTES` as JSON. */
  list(): RecalledAnswer[];
}

interface KeptAnswer {
  readonly question: EligibilityQuery;
  /** The named runners without those of which a newer answer is kept. */
  runners: readonly string[];
  readonly answer: EligibilityAnswer;
  readonly arrivedMs: number;
}

/** Creates an empty store. */
export function createKeptAnswers({ clock }: KeptAnswersOptions): KeptAnswers {
  /** Answers by step, oldest first; the steps in the order of their newest answers. */
  const steps = new Map<string, KeptAnswer[]>();

  function isKept({ arrivedMs }: KeptAnswer): boolean {
    return clock.now() - arrivedMs < KEEP_ANSWER_MS;
  }

  function removeOld(): void {
    for (const [key, answers] of steps) {
      const newest = answers.at(-1);
      const isOld = newest === undefined || !isKept(newest);
      // All further steps have newer answers.
      if (!isOld && steps.size <= MAX_KEPT_STEPS) return;
      steps.delete(key);
    }
  }

  /** Describes an answer as of now. Remaining times are rounded down, and ages up. */
  function toRecalled(kept: KeptAnswer): RecalledAnswer {
    const { question: { job, occurrence, step }, runners, answer } = kept;
    const ageMs = Math.ceil(clock.now() - kept.arrivedMs);
    const isStated = answer.validMs > 0;
    const validMs = Math.max(0, Math.floor(answer.validMs - ageMs));
    const isExpired = isStated && validMs === 0;
    const tickets: Record<string, string> = {};
    for (const runner of runners) {
      const ticket = answer.tickets[runner];
      if (ticket !== undefined) tickets[runner] = isExpired ? "" : ticket;
    }
    const described = { job, occurrence, step, runners, tickets, ageMs };
    return isStated ? { ...described, validMs } : described;
  }

  return {
    record(question, answer) {
      const { job, occurrence, step, runners } = question;
      const key = `${job}/${occurrence}/${step}`;
      const named = new Set(runners);
      const answers = (steps.get(key) ?? []).filter(isKept);
      for (const former of answers) {
        former.runners = former.runners.filter((id) => !named.has(id));
      }
      const left = answers.filter((former) => former.runners.length > 0);
      left.push({ question, runners, answer, arrivedMs: clock.now() });
      steps.delete(key);
      steps.set(key, left);
      removeOld();
    },
    list() {
      removeOld();
      const newestFirst = [...steps.values()].flat().filter(isKept)
        .sort((one, other) => other.arrivedMs - one.arrivedMs);
      const listed: RecalledAnswer[] = [];
      let leftBytes = MAX_REPORT_BYTES - ENVELOPE_BYTES;
      for (const kept of newestFirst) {
        const recalled = toRecalled(kept);
        // One more byte for the comma.
        const bytes = Buffer.byteLength(JSON.stringify(recalled)) + 1;
        if (bytes > leftBytes) continue;
        leftBytes -= bytes;
        listed.push(recalled);
      }
      return listed;
    },
  };
}
