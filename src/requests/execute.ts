/**
 * Executes requests, with retries within the caller's deadline and the
 * workspace's retry budget.
 *
 * A request is retried only if it is idempotent or the last attempt is
 * guaranteed to have sent nothing. A fault reports "not run" only if no attempt
 * may have started.
 */

import { createFault, type Fault, toFault } from "../common/mod.ts";
import {
  type AttemptEnd,
  type AttemptOptions,
  createAttemptRunner,
  createDeadlineFault,
  type Run,
} from "./attempt.ts";
import { runHedged } from "./hedge.ts";
import {
  type BackoffOptions,
  computeBackoff,
  type RetryBudget,
} from "./retry_budget.ts";
import type { RecordedAnswer, RequestExecutor } from "./types.ts";

/** Options of a request executor. */
export interface RequestExecutorOptions extends AttemptOptions {
  retryBudget: RetryBudget;
  backoff?: BackoffOptions;
  /** Maximum attempts per request, including the first. Default 4. */
  maxAttempts?: number;
  /**
   * Delay before an idempotent request is also sent to a second endpoint, as a
   * multiple of the mean response time of its queue. Default: no hedging.
   */
  hedgeFactor?: number;
}

const DEFAULT_MAX_ATTEMPTS = 4;

/** Changes `ran` from "no" to "unknown" if an earlier attempt may have started. */
function updateRan(run: Run, fault: Fault): Fault {
  if (!run.mayHaveStarted || fault.ran !== "no") return fault;
  return createFault(fault.kind, fault.message, {
    ran: "unknown",
    details: fault.details,
  });
}

/** Creates a request executor. */
export function createRequestExecutor(
  options: RequestExecutorOptions,
): RequestExecutor {
  const { clock, random, retryBudget, hedgeFactor } = options;
  const maxAttempts = options.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
  const attempts = createAttemptRunner(options);

  function runFirst(run: Run): Promise<AttemptEnd> {
    const { workspace, queue, idempotent, signal } = run.request;
    if (hedgeFactor === undefined || !idempotent) {
      return attempts.run(run, 0, { signal });
    }
    return runHedged({
      clock,
      getDelayMs() {
        const meanMs = attempts.getMeanResponseTime(queue);
        return meanMs === undefined ? undefined : hedgeFactor * meanMs;
      },
      takeToken: () => retryBudget.take(workspace),
      runCopy: (copy, watch) => attempts.run(run, copy, watch),
      signal,
    });
  }

  /** Returns whether another attempt may start before the deadline; takes a retry token if so. */
  function isRetryAllowed(
    run: Run,
    nextAttempt: number,
    pauseMs: number,
  ): boolean {
    return nextAttempt < maxAttempts &&
      clock.now() + pauseMs < run.deadlineMs &&
      retryBudget.take(run.request.workspace);
  }

  async function runAttempts(run: Run): Promise<RecordedAnswer> {
    let ownAnswer: RecordedAnswer | undefined;
    for (let attempt = 0;; attempt++) {
      let end: AttemptEnd;
      try {
        end = attempt === 0
          ? await runFirst(run)
          : await attempts.run(run, attempt, { signal: run.request.signal });
      } catch (error) {
        // An earlier error response of an endpoint is more informative than this fault.
        const isCancelled = run.request.signal?.aborted === true;
        if (ownAnswer !== undefined && !isCancelled) return ownAnswer;
        throw error;
      }
      if (end.kind === "done") return end.answer;
      ownAnswer = end.answer ?? ownAnswer;
      const pauseMs = computeBackoff(attempt, random, options.backoff);
      if (!isRetryAllowed(run, attempt + 1, pauseMs)) {
        if (ownAnswer !== undefined) return ownAnswer;
        throw end.fault ?? createDeadlineFault(run);
      }
      await new Promise<void>((resolve) => {
        clock.setTimer(pauseMs, resolve);
      });
    }
  }

  return {
    async run(request) {
      const run: Run = {
        request,
        deadlineMs: clock.now() + request.remainingMs,
        avoid: [],
        mayHaveStarted: false,
      };
      retryBudget.recordRequest(request.workspace);
      try {
        return await runAttempts(run);
      } catch (error) {
        throw updateRan(run, toFault(error));
      }
    },
  };
}
