/**
 * Recalls the eligibility answers that instances have kept, at the beginning of a
 * leadership. Each connected instance is asked once. Planning goes on meanwhile: an
 * instance that does not reply only leaves its steps to be queried again.
 */

import { type Clock, isFault, type Logger } from "../common/mod.ts";
import type { Metrics } from "../report/metrics.ts";
import type {
  EligibilityCache,
  KeptReport,
  RecalledAnswer,
} from "./eligibility.ts";
import { formatStep } from "./types.ts";
import { countOccurrences, isOpenJob, type WorkState } from "./work_state.ts";

/**
 * Time after the start of a leadership during which instances are asked, in
 * milliseconds. Instances that lost their stream with the former leader reconnect
 * within it; later, the answers that they kept have mostly been replaced.
 */
export const RECALL_WINDOW_MS = 5_000;

/**
 * Timeout of the request to an instance, in milliseconds. Tickets are valid for about
 * as long; the longest reply takes 0.35 s over a link of 1.5 Mbit/s.
 */
export const RECALL_TIMEOUT_MS = 2_000;

/** Options of the recall. */
export interface AnswerRecallOptions {
  clock: Clock;
  logger: Logger;
  metrics?: Pick<Metrics, "addCount">;
  state: WorkState;
  eligibility: Pick<EligibilityCache, "addRecalled">;
  /** Asks an instance for its kept answers; rejects when no reply arrives. */
  getReport: (instance: string, timeoutMs: number) => Promise<KeptReport>;
  /** Returns the validity of tickets for a queue of which the service states none, in milliseconds. */
  getValidMs: (queue: string) => number;
  /** Called after each reply with answers that were added. */
  handleAnswers: () => void;
}

/** The recall of one leadership. */
export interface AnswerRecall {
  /** Asks those of the connected instances that were not asked yet, while the leadership is new. */
  askInstances(names: readonly string[]): void;
  stop(): void;
}

/** Starts the recall of a new leadership. */
export function startAnswerRecall(options: AnswerRecallOptions): AnswerRecall {
  const { clock, logger, metrics, state } = options;
  const startMs = clock.now();
  const asked = new Set<string>();
  const steps = new Set<string>();
  let replies = 0;
  let tickets = 0;
  let isStopped = false;
  const reportTimer = clock.setTimer(
    RECALL_WINDOW_MS + RECALL_TIMEOUT_MS,
    report,
  );

  function report(): void {
    logger.info("Eligibility answers recalled", {
      instances: asked.size,
      replies,
      steps: steps.size,
      tickets,
    });
  }

  /** Returns the queue of an answer's job; undefined when it has no such step that is open. */
  function findQueue(answer: RecalledAnswer): string | undefined {
    const job = state.getJob(answer.job);
    if (job === undefined || !isOpenJob(job)) return undefined;
    const { spec } = job;
    const hasStep = spec.steps[answer.step] !== undefined &&
      answer.occurrence < countOccurrences(spec);
    return hasStep ? spec.queue : undefined;
  }

  /** Adds an answer of a reply to a request that was sent at `sentMs`; returns whether it told anything new. */
  function addAnswer(answer: RecalledAnswer, sentMs: number): boolean {
    const queue = findQueue(answer);
    if (queue === undefined) return false;
    const validMs = answer.validMs ??
      options.getValidMs(queue) - answer.ageMs;
    const key = formatStep(answer);
    // The reply was made after the request was sent, so counting from then takes the
    // whole delay of the network and of both processes off the validity.
    const added = options.eligibility.addRecalled(key, {
      runners: answer.runners,
      tickets: answer.tickets,
      answeredMs: sentMs - answer.ageMs,
      expiresMs: sentMs + validMs,
    });
    if (added.runners === 0) return false;
    if (!steps.has(key)) {
      steps.add(key);
      metrics?.addCount("eligibility_recalled_total", { kind: "step" });
    }
    tickets += added.tickets;
    metrics?.addCount(
      "eligibility_recalled_total",
      { kind: "ticket" },
      added.tickets,
    );
    return true;
  }

  async function askInstance(instance: string): Promise<void> {
    asked.add(instance);
    try {
      const { answers, sentMs } = await options.getReport(
        instance,
        RECALL_TIMEOUT_MS,
      );
      if (isStopped) return;
      replies += 1;
      let isNew = false;
      for (const answer of answers) {
        if (addAnswer(answer, sentMs)) isNew = true;
      }
      if (isNew) options.handleAnswers();
    } catch (error) {
      // Its request went with the stream, so it is asked again once it reconnects.
      if (isFault(error) && error.kind === "unavailable") {
        asked.delete(instance);
      }
      logger.debug("Cannot recall eligibility answers", { instance, error });
    }
  }

  return {
    askInstances(names) {
      if (isStopped || clock.now() - startMs > RECALL_WINDOW_MS) return;
      for (const name of names) {
        if (!asked.has(name)) void askInstance(name);
      }
    },
    stop() {
      if (isStopped) return;
      isStopped = true;
      if (clock.now() - startMs >= RECALL_WINDOW_MS + RECALL_TIMEOUT_MS) return;
      reportTimer.cancel();
      report();
    },
  };
}
