/**
 * Runs a single attempt of a request: acquires a slot, forwards the request and
 * releases the slot. The result is a final response, a retryable failure, or a
 * fault that ends the request.
 */

import {
  type Clock,
  createFault,
  type Fault,
  type Logger,
  type Ran,
  type Random,
  toFault,
} from "../common/mod.ts";
import { createResponseTimes, type ResponseTimes } from "./response_times.ts";
import { createReleaser } from "./release.ts";
import type {
  ExecuteRequest,
  Forwarder,
  ForwardResult,
  RecordedAnswer,
  RequestOutcome,
  SlotClient,
  SlotGrant,
  SlotReply,
  SlotRequest,
} from "./types.ts";

/** Dependencies of an attempt runner. */
export interface AttemptOptions {
  clock: Clock;
  random: Random;
  logger: Logger;
  /** Name of this entry instance. */
  instance: string;
  slots: SlotClient;
  forwarder: Forwarder;
}

/** A request in progress. */
export interface Run {
  readonly request: ExecuteRequest;
  /** The caller's deadline in monotonic time. */
  readonly deadlineMs: number;
  /** Endpoints already tried. */
  readonly avoid: string[];
  /** True once a byte may have been sent. */
  mayHaveStarted: boolean;
}

/** Result of an attempt: a final response or a retryable failure. */
export type AttemptEnd =
  | { readonly kind: "done"; readonly answer: RecordedAnswer }
  | {
    readonly kind: "retry";
    /** The endpoint's error response, returned to the caller if there is no further attempt. */
    readonly answer?: RecordedAnswer;
    /** The fault for the caller if there is no response. */
    readonly fault?: Fault;
  };

/** Cancellation and progress callback of an attempt. */
export interface AttemptWatch {
  /** Cancels the attempt. */
  readonly signal?: AbortSignal | undefined;
  /** Called once a slot is granted, just before the request is sent. */
  readonly onSend?: () => void;
}

interface SendOptions extends AttemptWatch {
  readonly attempt: number;
  /** Remaining validity of the grant in milliseconds. */
  readonly startWithinMs: number;
}

/** Runs attempts. */
export interface AttemptRunner {
  /** Runs attempt number `attempt`, starting at 0; rejects with a fault that ends the request. */
  run(run: Run, attempt: number, watch?: AttemptWatch): Promise<AttemptEnd>;
  /**
   * Mean of recent response times of a queue in milliseconds; undefined while
   * there are too few.
   */
  getMeanResponseTime(queue: string): number | undefined;
}

/**
 * Statuses with which an endpoint, or a proxy in front of it, reports that it
 * cannot serve a request.
 */
const RETRY_STATUSES: ReadonlySet<number> = new Set([502, 503, 504]);

function getRan(run: Run): Ran {
  return run.mayHaveStarted ? "unknown" : "no";
}

/** Creates the fault for a request whose deadline has passed. */
export function createDeadlineFault(run: Run, cause?: unknown): Fault {
  return createFault(
    "deadlineExceeded",
    `Cannot answer request "${run.request.requestId}": its deadline has passed`,
    { ran: getRan(run), cause },
  );
}

function createCancelFault(run: Run): Fault {
  return createFault(
    "cancelled",
    `Request "${run.request.requestId}" was cancelled by the caller`,
    { ran: getRan(run) },
  );
}

function createSendFault(run: Run, grant: SlotGrant, cause?: Error): Fault {
  const { requestId } = run.request;
  if (run.mayHaveStarted) {
    return createFault(
      "outcomeUnknown",
      `Request "${requestId}" was sent to endpoint "${grant.endpoint}" but no complete response was received`,
      { cause },
    );
  }
  return createFault(
    "unavailable",
    `Cannot send request "${requestId}" to endpoint "${grant.endpoint}"`,
    { cause },
  );
}

function toOutcome(result: ForwardResult): RequestOutcome {
  if (result.kind !== "answered") return result.kind;
  return result.answer.status >= 500 ? "failed" : "answered";
}

/** Builds the slot request of one attempt; `remainingMs` is rounded down. */
export function buildSlotRequest(
  request: ExecuteRequest,
  sent: Pick<SlotRequest, "instance" | "remainingMs" | "avoid" | "attempt">,
): SlotRequest {
  return {
    requestId: request.requestId,
    scope: request.scope,
    workspace: request.workspace,
    queue: request.queue,
    idempotent: request.idempotent,
    remainingMs: Math.floor(sent.remainingMs),
    bodyHash: request.bodyHash,
    instance: sent.instance,
    avoid: sent.avoid,
    attempt: sent.attempt,
  };
}

/** Creates an attempt runner. */
export function createAttemptRunner(options: AttemptOptions): AttemptRunner {
  const { clock, slots, forwarder, instance } = options;
  const releaser = createReleaser(options);
  const answerTimes: ResponseTimes = createResponseTimes(clock);

  function acquire(
    run: Run,
    attempt: number,
    signal: AbortSignal | undefined,
  ): Promise<SlotReply> {
    const { request } = run;
    const remainingMs = run.deadlineMs - clock.now();
    if (signal?.aborted === true) throw createCancelFault(run);
    if (remainingMs <= 0) throw createDeadlineFault(run);
    const sent = { instance, remainingMs, avoid: [...run.avoid], attempt };
    return slots.acquire(buildSlotRequest(request, sent), signal);
  }

  /**
   * Waits for the leader's reply until the caller's deadline, so that an
   * unresponsive leader cannot block the caller any longer.
   */
  function waitForReply(
    run: Run,
    acquired: Promise<SlotReply>,
    signal: AbortSignal | undefined,
  ): Promise<SlotReply> {
    return new Promise((resolve, reject) => {
      let isAbandoned = false;
      const handleAbandoned = (fault: Fault) => {
        isAbandoned = true;
        reject(fault);
      };
      const timer = clock.setTimer(
        run.deadlineMs - clock.now(),
        () => handleAbandoned(createDeadlineFault(run)),
      );
      const handleAbort = () => handleAbandoned(createCancelFault(run));
      const stop = () => {
        timer.cancel();
        signal?.removeEventListener("abort", handleAbort);
      };
      signal?.addEventListener("abort", handleAbort);
      acquired.then((reply) => {
        stop();
        if (!isAbandoned) resolve(reply);
        // Without this release the slot would be occupied until the deadline.
        else if (reply.kind === "grant") {
          void releaser.release({ grant: reply, outcome: "notSent" });
        }
      }, (error) => {
        stop();
        reject(toFault(error));
      });
    });
  }

  function getTimeout(run: Run, attempt: number): number {
    const remainingMs = run.deadlineMs - clock.now();
    const { idempotent, queue } = run.request;
    if (!idempotent || attempt > 0) return remainingMs;
    return answerTimes.getFirstAttemptTimeout(queue, remainingMs);
  }

  function handleResult(
    run: Run,
    grant: SlotGrant,
    result: ForwardResult,
    signal: AbortSignal | undefined,
  ): AttemptEnd {
    const { request } = run;
    if (result.kind === "answered") {
      const { status, contentType, body, durationMs } = result.answer;
      const answer = { status, contentType, body };
      answerTimes.record(request.queue, durationMs);
      const isFinal = !request.idempotent || !RETRY_STATUSES.has(status);
      return isFinal ? { kind: "done", answer } : { kind: "retry", answer };
    }
    if (signal?.aborted === true) throw createCancelFault(run);
    if (result.failure === "tooLarge") {
      throw createFault(
        "endpointFailed",
        `Cannot return the response to request "${request.requestId}": it exceeds the size limit`,
        { cause: result.cause },
      );
    }
    if (clock.now() >= run.deadlineMs) {
      throw createDeadlineFault(run, result.cause);
    }
    const fault = createSendFault(run, grant, result.cause);
    if (!request.idempotent && run.mayHaveStarted) throw fault;
    return { kind: "retry", fault };
  }

  async function send(
    run: Run,
    grant: SlotGrant,
    { signal, onSend, attempt, startWithinMs }: SendOptions,
  ): Promise<AttemptEnd> {
    const { request } = run;
    run.avoid.push(grant.endpoint);
    onSend?.();
    const result = await forwarder.send({
      address: grant.address,
      requestId: request.requestId,
      queue: request.queue,
      workspace: request.workspace,
      contentType: request.contentType,
      body: request.body,
      timeoutMs: getTimeout(run, attempt),
      startWithinMs,
      needsFreshConnection: !request.idempotent,
      ...(signal === undefined ? {} : { signal }),
    });
    if (result.kind !== "notSent") run.mayHaveStarted = true;
    const answer = result.kind === "answered" ? result.answer : undefined;
    const released = releaser.release({
      grant,
      outcome: toOutcome(result),
      durationMs: result.kind === "answered"
        ? result.answer.durationMs
        : result.durationMs,
      ...(answer === undefined || request.idempotent ? {} : { answer }),
    });
    // Otherwise the next attempt of a non-idempotent request would find the
    // record of this one.
    if (!request.idempotent && result.kind === "notSent") await released;
    return handleResult(run, grant, result, signal);
  }

  async function handleExpiredGrant(run: Run, grant: SlotGrant) {
    const released = releaser.release({ grant, outcome: "notSent" });
    if (!run.request.idempotent) await released;
    const fault = createFault(
      "unavailable",
      `Cannot send request "${run.request.requestId}": its grant expired before it was used`,
      { ran: getRan(run) },
    );
    return { kind: "retry", fault } as const;
  }

  return {
    getMeanResponseTime: answerTimes.getMean,
    async run(run, attempt, watch = {}) {
      const { signal } = watch;
      const requestedAtMs = clock.now();
      const acquired = acquire(run, attempt, signal);
      const reply = await waitForReply(run, acquired, signal);
      if (reply.kind === "answer") {
        return { kind: "done", answer: reply.answer };
      }
      const startWithinMs = requestedAtMs + reply.validForMs - clock.now();
      if (startWithinMs <= 0) return await handleExpiredGrant(run, reply);
      return await send(run, reply, { ...watch, attempt, startWithinMs });
    },
  };
}
