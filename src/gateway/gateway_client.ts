/**
 * Forwards calls to the leader. The client keeps one stream to each instance
 * that may lead. Each instance reports in periodic pulses whether it leads. A
 * call without an answer when its stream ends is resent to the next leader,
 * which is safe because all calls are idempotent and keep their origin, so that
 * the leader knows those that were accepted before.
 */

import { randomBytes } from "node:crypto";
import type { ClientDuplexStream } from "@grpc/grpc-js";
import {
  type Clock,
  createFault,
  type Logger,
  type Timer,
  toFault,
} from "../common/mod.ts";
import type { Metrics } from "../report/metrics.ts";
import { createRpcPeer, type RpcPeer } from "../rpc/mod.ts";
import type { EligibilityAnswer, EligibilityQuery } from "../workload/mod.ts";
import { createKeptAnswers } from "./kept_answers.ts";
import {
  type CoreMessage,
  decodeAnswer,
  encodeFrame,
  type Frame,
  FRAME_BATCH_WINDOW_MS,
  type GatewayMessage,
  handleFrame,
  RELAY_BATCH_WINDOW_MS,
  type RunnerCall,
  type WorkCall,
} from "./messages.ts";

/** Interval of the stream checks, in milliseconds. */
const CHECK_PERIOD_MS = 250;

/** Time without a message after which a leader's stream is reopened, in milliseconds; three pulses. */
const LEADER_TIMEOUT_MS = 1_000;

/** Time without a leader during which calls wait for the next one, in milliseconds; a failover takes less. */
const FAILOVER_MS = 1_800;

/** Time without a message after which any other stream is reopened, in milliseconds; three pulses. */
const FOLLOWER_TIMEOUT_MS = 3_500;

/** Maximum age of the last message from a reachable instance, in milliseconds; below the failover time and above a follower's pulse interval. */
const REACHABLE_AGE_MS = 1_600;

/** Retry delay suggested to callers when no leader is known, in milliseconds; enough for a restart of all instances. */
const RETRY_AFTER_MS = 2_000;

/** Delay before a broken stream is reopened, in milliseconds. */
const REOPEN_DELAY_MS = 200;

/** Length of the random part of origins, which tells apart the processes of an instance, in bytes. */
const ORIGIN_BYTES = 9;

/** Options of a client. */
export interface GatewayClientOptions {
  instance: string;
  dataCentre: string;
  /** Names of instances that may lead; their pulses add further ones. */
  cores: readonly string[];
  /** Returns the rpc address `host:port` of an instance. */
  getAddress: (instance: string) => string;
  clock: Clock;
  logger: Logger;
  metrics?: Pick<Metrics, "addCount" | "recordDuration">;
  /** Queries the eligibility service from this instance. */
  ask: (
    question: EligibilityQuery,
    timeoutMs: number,
  ) => Promise<EligibilityAnswer>;
  /** Calls a runner for the leader. Default: this instance is not a relay. */
  callRunner?: (call: RunnerCall) => Promise<unknown>;
  /** Returns whether this instance could become a member of the log. Default: false. */
  isStandby?: () => boolean;
  /** Returns whether this instance waits for `handleRelease` before it exits. Default: false. */
  isStopping?: () => boolean;
  /** Called with the members listed in each pulse of the leader. */
  handleMembers?: (instances: readonly string[]) => void;
  /** Called when the leader asks this instance to become a member. */
  handleInvite?: () => void;
  /** Called when the leader no longer needs this instance as a member. */
  handleRelease?: () => void;
}

/** Forwards calls to the leader. */
export interface GatewayClient {
  /**
   * Resolves with the leader's answer or rejects with its fault. Without an
   * answer within `timeoutMs` or in a partition without a leader, it rejects
   * with "unavailable" when the call was never sent, and otherwise with
   * "deadlineExceeded", as the outcome is unknown.
   */
  call(call: WorkCall, timeoutMs: number): Promise<unknown>;
  /** Returns whether a leader is known. */
  hasLeader(): boolean;
  addCores(names: readonly string[]): void;
  /** Lists the known instances that may lead. */
  listCores(): string[];
  /** Resends the description of this instance to all connected instances. */
  sendHello(): void;
  close(): void;
}

interface Link {
  /** Name of the instance that may lead. */
  readonly core: string;
  peer: RpcPeer;
  stream: ClientDuplexStream<Frame, Frame> | undefined;
  /** Local time of the last message, or of opening the stream before the first one, in milliseconds. */
  lastMessageMs: number;
  /** Local time of the first message on the current stream, in milliseconds; undefined before it. */
  firstMessageMs: number | undefined;
  reopenAtMs: number;
  isLeading: boolean;
  term: number;
  outbox: GatewayMessage[];
  hasFlushTimer: boolean;
}

interface PendingCall {
  readonly id: number;
  readonly call: WorkCall;
  readonly timer: Timer;
  readonly resolve: (value: unknown) => void;
  readonly reject: (error: unknown) => void;
  sentTo: Link | undefined;
  wasSent: boolean;
}

/** Creates a client and opens its streams. */
export function createGatewayClient(
  options: GatewayClientOptions,
): GatewayClient {
  const { clock, logger } = options;
  const batchWindowMs = options.callRunner === undefined
    ? FRAME_BATCH_WINDOW_MS
    : RELAY_BATCH_WINDOW_MS;
  const links = new Map<string, Link>();
  const pending = new Map<number, PendingCall>();
  const keptAnswers = createKeptAnswers({ clock });
  let leader: Link | undefined;
  let leaderLostMs = clock.now();
  let nextId = 1;
  const originPrefix = randomBytes(ORIGIN_BYTES).toString("base64url");
  let isClosed = false;

  function openPeer(core: string): RpcPeer {
    return createRpcPeer({
      instance: core,
      address: options.getAddress(core),
    });
  }

  function addLink(core: string): void {
    if (links.has(core)) return;
    const link: Link = {
      core,
      peer: openPeer(core),
      stream: undefined,
      lastMessageMs: 0,
      firstMessageMs: undefined,
      reopenAtMs: 0,
      isLeading: false,
      term: 0,
      outbox: [],
      hasFlushTimer: false,
    };
    links.set(core, link);
    openStream(link);
  }

  function openStream(link: Link): void {
    const stream = link.peer.openDuplexStream<Frame, Frame>("Gateway.exchange");
    link.stream = stream;
    link.lastMessageMs = clock.now();
    link.firstMessageMs = undefined;
    link.outbox = [];
    stream.on("data", (frame: Frame) => {
      if (link.stream !== stream) return;
      link.lastMessageMs = clock.now();
      link.firstMessageMs ??= link.lastMessageMs;
      handleFrame<CoreMessage>(frame, {
        receive: (message) => receive(link, message),
        handleError: (error) =>
          logger.error("Cannot handle a message", { core: link.core, error }),
      });
    });
    const handleEnd = (error?: unknown) => {
      if (link.stream === stream) closeStream(link, error);
    };
    stream.on("error", handleEnd);
    stream.on("end", handleEnd);
    sendHello(link);
  }

  function sendHello(link: Link): void {
    const { instance, dataCentre } = options;
    const isStandby = options.isStandby?.() ?? false;
    const canCallRunners = options.callRunner !== undefined;
    const isStopping = options.isStopping?.() ?? false;
    send(link, {
      kind: "hello",
      instance,
      dataCentre,
      isStandby,
      canCallRunners,
      isStopping,
    });
  }

  function closeStream(link: Link, reason: unknown): void {
    const { stream } = link;
    link.stream = undefined;
    link.reopenAtMs = clock.now() + REOPEN_DELAY_MS;
    const wasLeading = link === leader;
    link.isLeading = false;
    stream?.on("error", () => {});
    stream?.cancel();
    const unansweredCalls = releaseCalls(link);
    if (!wasLeading) return;
    logger.warn("Lost the stream to the leader", {
      core: link.core,
      term: link.term,
      unansweredCalls,
      silentMs: Math.round(clock.now() - link.lastMessageMs),
      reason: reason instanceof Error
        ? reason.message
        : String(reason ?? "end"),
    });
    pickLeader();
  }

  /**
   * Marks the calls sent over a broken stream as not sent, since their answers
   * cannot arrive any more; the next stream to a leader gets them, also if that
   * is the same instance. Returns their number.
   */
  function releaseCalls(link: Link): number {
    let count = 0;
    for (const call of pending.values()) {
      if (call.sentTo !== link) continue;
      call.sentTo = undefined;
      count += 1;
    }
    return count;
  }

  function send(link: Link, message: GatewayMessage): void {
    link.outbox.push(message);
    if (link.hasFlushTimer) return;
    link.hasFlushTimer = true;
    clock.setTimer(batchWindowMs, () => {
      link.hasFlushTimer = false;
      const messages = link.outbox;
      link.outbox = [];
      if (messages.length > 0) link.stream?.write(encodeFrame(messages));
    });
  }

  function pickLeader(): void {
    let best: Link | undefined;
    for (const link of links.values()) {
      if (!link.isLeading || link.stream === undefined) continue;
      if (best === undefined || link.term > best.term) best = link;
    }
    if (best === leader) return;
    if (best === undefined) leaderLostMs = clock.now();
    leader = best;
    if (best === undefined) return;
    let resentCalls = 0;
    for (const call of pending.values()) {
      if (call.sentTo === best) continue;
      if (call.wasSent) resentCalls += 1;
      sendCall(call);
    }
    logger.info("Found the leader", {
      core: best.core,
      term: best.term,
      resentCalls,
    });
  }

  /**
   * Returns whether this instance is in a partition without a leader: an
   * instance that may lead has been reachable for longer than a failover, yet
   * none leads. While none is reachable, all of them may be restarting. Calls
   * then keep waiting, which gets them the earliest answer.
   */
  function isPartitioned(): boolean {
    const nowMs = clock.now();
    if (leader !== undefined || nowMs - leaderLostMs < FAILOVER_MS) {
      return false;
    }
    for (const { stream, lastMessageMs, firstMessageMs } of links.values()) {
      const isReachable = stream !== undefined &&
        firstMessageMs !== undefined &&
        nowMs - firstMessageMs > FAILOVER_MS &&
        nowMs - lastMessageMs < REACHABLE_AGE_MS;
      if (isReachable) return true;
    }
    return false;
  }

  /** Rejects a pending call. Only a call that was never sent is known not to have run. */
  function rejectCall(call: PendingCall): void {
    if (!pending.delete(call.id)) return;
    call.timer.cancel();
    const { kind } = call.call;
    call.reject(
      call.wasSent
        ? createFault(
          "deadlineExceeded",
          `Cannot determine the outcome of call "${kind}": the leader did not answer`,
        )
        : createFault(
          "unavailable",
          `Cannot forward call "${kind}": no leader is known`,
          { details: { retryAfterMs: RETRY_AFTER_MS } },
        ),
    );
  }

  function sendCall(call: PendingCall): void {
    if (leader === undefined) return;
    call.sentTo = leader;
    call.wasSent = true;
    send(leader, {
      kind: "call",
      id: call.id,
      origin: `${originPrefix}.${call.id.toString(36)}`,
      call: call.call,
    });
  }

  function receive(link: Link, message: CoreMessage): void {
    switch (message.kind) {
      case "pulse":
        link.isLeading = message.isLeading;
        link.term = message.term;
        for (const core of message.cores) addLink(core);
        pickLeader();
        if (link === leader) options.handleMembers?.(message.cores);
        break;
      case "answer":
        receiveAnswer(link, message);
        break;
      case "invite":
        options.handleInvite?.();
        break;
      case "release":
        options.handleRelease?.();
        break;
      case "ask":
        void runRequest(
          link,
          message.id,
          () => askService(message.question, message.timeoutMs),
        );
        break;
      case "recall":
        void runRequest(
          link,
          message.id,
          () => Promise.resolve(keptAnswers.list()),
        );
        break;
      case "callRunner":
        void runRequest(link, message.id, () => callRunner(message.call));
        break;
    }
  }

  function receiveAnswer(
    link: Link,
    message: CoreMessage & { kind: "answer" },
  ): void {
    const call = pending.get(message.id);
    if (call === undefined) return;
    const { answer } = message;
    if (answer.fault?.kind === "notLeader") {
      if (call.sentTo !== link) return;
      // That instance did not run the call, so the next leader gets it.
      call.sentTo = undefined;
      link.isLeading = false;
      return pickLeader();
    }
    // Resending the call determines its outcome.
    if (answer.fault?.kind === "outcomeUnknown") {
      if (call.sentTo === link) call.sentTo = undefined;
      return;
    }
    pending.delete(message.id);
    call.timer.cancel();
    try {
      call.resolve(decodeAnswer(answer));
    } catch (error) {
      call.reject(error);
    }
  }

  async function askService(
    question: EligibilityQuery,
    timeoutMs: number,
  ): Promise<EligibilityAnswer> {
    const answer = await options.ask(question, timeoutMs);
    keptAnswers.record(question, answer);
    return answer;
  }

  async function callRunner(call: RunnerCall): Promise<unknown> {
    if (options.callRunner !== undefined) return await options.callRunner(call);
    throw createFault("unavailable", "Cannot call runners from this instance");
  }

  /** Runs a request of the leader and sends back the result or the error message. */
  async function runRequest(
    link: Link,
    id: number,
    run: () => Promise<unknown>,
  ): Promise<void> {
    try {
      send(link, { kind: "reply", id, value: await run() });
    } catch (error) {
      const { message, ran } = toFault(error);
      send(link, { kind: "reply", id, error: message, ran });
    }
  }

  function check(): void {
    if (isClosed) return;
    const nowMs = clock.now();
    for (const link of links.values()) {
      const limitMs = link.isLeading ? LEADER_TIMEOUT_MS : FOLLOWER_TIMEOUT_MS;
      if (link.stream !== undefined && nowMs - link.lastMessageMs > limitMs) {
        closeStream(link, "no pulse");
        // The connection itself may be dead; a new stream on it would fail too.
        link.peer.close();
        link.peer = openPeer(link.core);
      }
      if (link.stream === undefined && nowMs >= link.reopenAtMs) {
        openStream(link);
      }
    }
    const isRejecting = isPartitioned();
    for (const call of [...pending.values()]) {
      if (isRejecting) rejectCall(call);
      else if (call.sentTo === undefined) sendCall(call);
    }
    clock.setTimer(CHECK_PERIOD_MS, check);
  }

  for (const core of options.cores) addLink(core);
  check();

  function startCall(call: WorkCall, timeoutMs: number): Promise<unknown> {
    return new Promise((resolve, reject) => {
      const id = nextId++;
      const timer = clock.setTimer(timeoutMs, () => rejectCall(created));
      const created: PendingCall = {
        id,
        call,
        timer,
        resolve,
        reject,
        sentTo: undefined,
        wasSent: false,
      };
      pending.set(id, created);
      if (isPartitioned()) rejectCall(created);
      else sendCall(created);
    });
  }

  return {
    async call(call, timeoutMs) {
      const { kind } = call;
      const startMs = clock.now();
      let outcome = "answered";
      try {
        return await startCall(call, timeoutMs);
      } catch (error) {
        outcome = toFault(error).kind;
        throw error;
      } finally {
        options.metrics?.addCount("work_calls_total", { call: kind, outcome });
        const durationMs = clock.now() - startMs;
        options.metrics?.recordDuration("work_call_ms", durationMs, {
          call: kind,
        });
      }
    },
    hasLeader: () => leader !== undefined,
    addCores(names) {
      for (const name of names) addLink(name);
    },
    listCores: () => [...links.keys()],
    sendHello() {
      for (const link of links.values()) {
        if (link.stream !== undefined) sendHello(link);
      }
    },
    close() {
      isClosed = true;
      for (const link of links.values()) {
        const { stream } = link;
        link.stream = undefined;
        stream?.on("error", () => {});
        stream?.cancel();
        link.peer.close();
      }
    },
  };
}
