/**
 * Decides in which data centre a request runs. An idempotent request runs in the
 * local data centre as long as that can serve it. A non-idempotent request that
 * a caller may resend runs in the home data centre of its identifier, which
 * holds its record.
 */

import { Buffer } from "node:buffer";
import {
  type Clock,
  createFault,
  type FaultBody,
  isFault,
  type Logger,
  type Random,
  renderFault,
} from "../common/mod.ts";
import type { FleetView } from "../fleet/mod.ts";
import type {
  AdmittedRequest,
  LeaderExplanation,
  RequestExplanation,
  RequestState,
} from "../http/mod.ts";
import {
  buildSlotRequest,
  createRequestExecutor,
  type Forwarder,
  type HomeFinder,
  type RecordedAnswer,
  type RequestExecutor,
  type RetryBudget,
  type SlotClient,
  type SlotReply,
} from "../requests/mod.ts";
import type {
  JsonBody,
  RequestReply,
  SlotReply as SlotReplyMessage,
} from "../rpc/mod.ts";
import type { LeaderCalls } from "./leader_calls.ts";
import {
  EXPLAIN_LOOKUP_MS,
  EXPLAIN_TIMEOUT_MS,
  isUnreachable,
} from "./leader_client.ts";

/** Time after the caller's deadline for the leader's own refusal to arrive, in milliseconds. */
const ANSWER_MARGIN_MS = 200;

/** Timeout for releasing a slot, in milliseconds. */
const RELEASE_TIMEOUT_MS = 2_000;

/** Timeout for querying the state of a request, in milliseconds. */
const QUERY_TIMEOUT_MS = 2_000;

/**
 * Longest wait for a leader before the next data centre is tried, in
 * milliseconds; an election takes at most about twice the maximum election
 * timeout.
 */
const LEADER_WAIT_MS = 2_500;

/** Options of the routing. */
export interface RequestRoutingOptions {
  instance: string;
  dataCentre: string;
  view: FleetView;
  calls: LeaderCalls;
  forwarder: Forwarder;
  retryBudget: RetryBudget;
  findHome: HomeFinder;
  /** Returns the remote data centres in the order in which they are tried after the local one. */
  listOthers: () => string[];
  clock: Clock;
  random: Random;
  logger: Logger;
}

/** Runs requests and finds their records. */
export interface RequestRouting {
  execute(request: AdmittedRequest): Promise<RecordedAnswer>;
  /**
   * Explains what `execute` would do with a request whose identifier is new;
   * changes nothing. Rejects with `overloaded` if the leader has answered too many.
   */
  explain(request: AdmittedRequest): Promise<RequestExplanation>;
  findRequest(scope: string, requestId: string): Promise<RequestState>;
}

/** Converts a lost reply to "not run": without a grant, nothing was sent to an endpoint. */
function toNotRun(error: unknown): unknown {
  if (!isFault(error, "outcomeUnknown")) return error;
  // According to the record of an earlier attempt, the request may have run.
  if (error.details["recorded"] === true) return error;
  return createFault(
    "unavailable",
    "Cannot acquire a slot: the leader did not answer",
    { cause: error },
  );
}

function createSlotClient(
  options: RequestRoutingOptions,
  dataCentre: string,
): SlotClient {
  const { calls } = options;
  return {
    async acquire(request, signal): Promise<SlotReply> {
      const reply = await calls.call<SlotReplyMessage>("acquireSlot", request, {
        dataCentre,
        timeoutMs: request.remainingMs + ANSWER_MARGIN_MS,
        lookupMs: Math.min(request.remainingMs, LEADER_WAIT_MS),
        // An unreceived grant expires unused, so a retry is safe.
        idempotent: request.idempotent,
        ...(signal === undefined ? {} : { signal }),
      }).catch((error) => {
        throw toNotRun(error);
      });
      if (reply.outcome === "answer" && reply.answer !== undefined) {
        return { kind: "answer", answer: reply.answer };
      }
      if (reply.grant === undefined || reply.grant === null) {
        throw createFault(
          "internal",
          "Cannot read the reply to a slot request",
        );
      }
      return { kind: "grant", ...reply.grant };
    },
    async release(release) {
      await calls.call("releaseSlot", release, {
        dataCentre,
        timeoutMs: RELEASE_TIMEOUT_MS,
        idempotent: true,
      });
    },
  };
}

function isRetriableElsewhere({ kind, ran }: FaultBody): boolean {
  if (ran !== "no") return false;
  return kind === "unavailable" || kind === "overloaded";
}

function listUnknownElsewhere(names: readonly string[]): string[] {
  return names.map((name) =>
    `The queue, the limits and the endpoints of data centre "${name}" were not asked for`
  );
}

/** Creates the routing. */
export function createRequestRouting(
  options: RequestRoutingOptions,
): RequestRouting {
  const { clock, dataCentre, view, calls } = options;
  const executors = new Map<string, RequestExecutor>();

  function getExecutor(name: string): RequestExecutor {
    const known = executors.get(name);
    if (known !== undefined) return known;
    const executor = createRequestExecutor({
      clock,
      random: options.random,
      logger: options.logger,
      instance: options.instance,
      slots: createSlotClient(options, name),
      forwarder: options.forwarder,
      retryBudget: options.retryBudget,
    });
    executors.set(name, executor);
    return executor;
  }

  /**
   * Lists the data centres to try, without evacuated ones: their leaders may be
   * gone, and one that does not know its evacuation yet would grant a slot.
   */
  function listUsable(request: AdmittedRequest): string[] {
    const { evacuatedDataCentres } = view.getState();
    const names = [dataCentre, ...options.listOthers()].filter((name) =>
      !evacuatedDataCentres.includes(name)
    );
    if (names.length > 0) return names;
    throw createFault(
      "unavailable",
      `Cannot run request "${request.requestId}": all data centres are evacuated`,
      { ran: "no" },
    );
  }

  async function runWithFallback(
    request: AdmittedRequest,
  ): Promise<RecordedAnswer> {
    const deadlineMs = clock.now() + request.remainingMs;
    let last: unknown;
    for (const name of listUsable(request)) {
      const remainingMs = deadlineMs - clock.now();
      if (remainingMs <= 0) break;
      try {
        return await getExecutor(name).run({ ...request, remainingMs });
      } catch (error) {
        if (!isFault(error) || !isRetriableElsewhere(error)) throw error;
        // The refusal of the local data centre is more useful to the caller.
        last ??= error;
      }
    }
    throw last ?? createFault(
      "deadlineExceeded",
      `Cannot run request "${request.requestId}": its deadline has passed`,
      { ran: "no" },
    );
  }

  /** Asks the leader of this data centre; undefined if it cannot be reached or is changing. */
  async function askLeader(
    request: AdmittedRequest,
  ): Promise<LeaderExplanation | undefined> {
    const { instance } = options;
    const { remainingMs } = request;
    const sent = { instance, remainingMs, avoid: [], attempt: 0 };
    try {
      const reply = await calls.call<JsonBody>(
        "explainSlot",
        buildSlotRequest(request, sent),
        {
          dataCentre,
          timeoutMs: EXPLAIN_TIMEOUT_MS,
          lookupMs: EXPLAIN_LOOKUP_MS,
          idempotent: true,
        },
      );
      return JSON.parse(Buffer.from(reply.body).toString());
    } catch (error) {
      if (isUnreachable(error)) return undefined;
      throw error;
    }
  }

  async function explainIn(
    request: AdmittedRequest,
    order: readonly string[],
  ): Promise<Omit<RequestExplanation, "dataCentre" | "evacuated" | "order">> {
    if (order[0] !== dataCentre) {
      return { outcome: "elsewhere", unknown: listUnknownElsewhere(order) };
    }
    const others = listUnknownElsewhere(order.slice(1));
    const local = await askLeader(request);
    if (local === undefined) {
      const reason =
        `The leader of data centre "${dataCentre}" is changing or did not reply; a request waits up to ${LEADER_WAIT_MS} ms for one before it tries the next data centre`;
      return { outcome: "unknown", unknown: [reason, ...others] };
    }
    const { refusal } = local;
    if (refusal === undefined) {
      return { outcome: local.outcome, local, unknown: local.unknown };
    }
    const isElsewhere = others.length > 0 && isRetriableElsewhere(refusal);
    return {
      outcome: isElsewhere ? "elsewhere" : "refused",
      refusal,
      local,
      unknown: [...local.unknown, ...isElsewhere ? others : []],
    };
  }

  async function explain(
    request: AdmittedRequest,
  ): Promise<RequestExplanation> {
    const { evacuatedDataCentres: evacuated } = view.getState();
    let order: string[];
    try {
      order = listUsable(request);
    } catch (error) {
      if (!isFault(error)) throw error;
      const refusal = renderFault(error);
      const outcome = "refused";
      return {
        outcome,
        dataCentre,
        order: [],
        evacuated,
        refusal,
        unknown: [],
      };
    }
    const parts = await explainIn(request, order);
    return { dataCentre, order, evacuated, ...parts };
  }

  return {
    explain,
    execute(request) {
      const isRepeatable = request.idempotent || !request.isCallerNamed;
      if (isRepeatable) return runWithFallback(request);
      const home = options.findHome(request, view.getState().dataCentres);
      return getExecutor(home).run(request);
    },
    async findRequest(scope, requestId) {
      const home = options.findHome(
        { scope, requestId },
        view.getState().dataCentres,
      );
      const reply = await options.calls.call<RequestReply>(
        "getRequest",
        { scope, requestId },
        { dataCentre: home, timeoutMs: QUERY_TIMEOUT_MS, idempotent: true },
      );
      return {
        state: reply.state,
        ...(reply.answer ? { answer: reply.answer } : {}),
      };
    },
  };
}
