/**
 * Forwards calls to the leader. The client keeps one stream to each instance
 * that may lead; each tells in its pulses whether it does. A call that gets no
 * answer before its stream ends is sent again to the next leader, which is safe
 * because every call means the same when it comes twice.
 */

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
import type {
  EligibilityAnswer,
  EligibilityQuestion,
} from "../workload/mod.ts";
import {
  type CoreMessage,
  decodeAnswer,
  decodeFrame,
  encodeFrame,
  type Frame,
  FRAME_BATCH_WINDOW_MS,
  type GatewayMessage,
  RELAY_BATCH_WINDOW_MS,
  type RunnerCall,
  type WorkCall,
} from "./messages.ts";

/** Time between two checks of the streams, in milliseconds. */
const CHECK_PERIOD_MS = 250;

/** Silence after which a leader's stream is opened anew, in milliseconds; three pulses. */
const LEADER_SILENCE_MS = 1_000;

/** Time without a leader during which calls wait for the next one, in milliseconds; a takeover takes less. */
const TAKEOVER_MS = 1_800;

/** Silence after which another stream is opened anew, in milliseconds; three pulses. */
const FOLLOWER_SILENCE_MS = 3_500;

/** Age of the last pulse up to which an instance counts as reached, in milliseconds; less than a takeover, more than a follower's pulse. */
const REACHED_MS = 1_600;

/** Time after which a caller may come back when no leader is known, in milliseconds; enough for a restart of all instances. */
const RETRY_AFTER_MS = 2_000;

/** Pause before a broken stream is opened again, in milliseconds. */
const REOPEN_PAUSE_MS = 200;

/** Options of a client. */
export interface GatewayClientOptions {
  instance: string;
  dataCentre: string;
  /** Names of instances that may lead; more are learned from them. */
  cores: readonly string[];
  /** Returns the rpc address `host:port` of an instance. */
  getAddress: (instance: string) => string;
  clock: Clock;
  logger: Logger;
  metrics?: Pick<Metrics, "addCount" | "recordDuration">;
  /** Asks the eligibility service from this instance. */
  ask: (
    question: EligibilityQuestion,
    timeoutMs: number,
  ) => Promise<EligibilityAnswer>;
  /** Calls a runner for the leader. Default: this instance does not. */
  callRunner?: (call: RunnerCall) => Promise<unknown>;
  /** Tells whether this instance could become a member of the log. Default: it could not. */
  isStandby?: () => boolean;
  /** Called with the members that a leader names in each of its pulses. */
  handleMembers?: (instances: readonly string[]) => void;
  /** Called when the leader asks this instance to become a member. */
  handleInvite?: () => void;
}

/** Forwards calls to the leader. */
export interface GatewayClient {
  /**
   * Resolves with the leader's answer or rejects with its fault; "unavailable"
   * when the call was never sent within `timeoutMs`, "deadlineExceeded" when
   * its outcome is not known.
   */
  call(call: WorkCall, timeoutMs: number): Promise<unknown>;
  /** Tells whether a leader is known. */
  hasLeader(): boolean;
  addCores(names: readonly string[]): void;
  /** Lists the instances that may lead, as far as they are known. */
  listCores(): string[];
  /** Tells all instances anew what this one is. */
  sendHello(): void;
  close(): void;
}

interface Link {
  readonly core: string;
  peer: RpcPeer;
  stream: ClientDuplexStream<Frame, Frame> | undefined;
  heardMs: number;
  /** Local time of the first message on the present stream; undefined before. */
  reachedMs: number | undefined;
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
  const gatherMs = options.callRunner === undefined
    ? FRAME_BATCH_WINDOW_MS
    : RELAY_BATCH_WINDOW_MS;
  const links = new Map<string, Link>();
  const pending = new Map<number, PendingCall>();
  let leader: Link | undefined;
  let leaderLostMs = clock.now();
  let nextId = 1;
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
      heardMs: 0,
      reachedMs: undefined,
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
    link.heardMs = clock.now();
    link.reachedMs = undefined;
    link.outbox = [];
    stream.on("data", (frame: Frame) => {
      if (link.stream !== stream) return;
      link.heardMs = clock.now();
      link.reachedMs ??= link.heardMs;
      try {
        for (const message of decodeFrame<CoreMessage>(frame)) {
          receive(link, message);
        }
      } catch (error) {
        logger.error("Cannot read a frame", { core: link.core, error });
      }
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
    send(link, {
      kind: "hello",
      instance,
      dataCentre,
      isStandby,
      canCallRunners,
    });
  }

  function closeStream(link: Link, reason: unknown): void {
    const { stream } = link;
    link.stream = undefined;
    link.reopenAtMs = clock.now() + REOPEN_PAUSE_MS;
    const wasLeading = link === leader;
    link.isLeading = false;
    stream?.on("error", () => {});
    stream?.cancel();
    if (!wasLeading) return;
    logger.warn("Lost the stream to the leader", {
      core: link.core,
      term: link.term,
      reason: reason instanceof Error
        ? reason.message
        : String(reason ?? "end"),
    });
    pickLeader();
  }

  function send(link: Link, message: GatewayMessage): void {
    link.outbox.push(message);
    if (link.hasFlushTimer) return;
    link.hasFlushTimer = true;
    clock.setTimer(gatherMs, () => {
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
    logger.info("Found the leader", { core: best.core, term: best.term });
    for (const call of pending.values()) {
      if (call.sentTo !== best) sendCall(call);
    }
  }

  /**
   * Tells whether this instance is on a side that has no leader: for longer than
   * a takeover it has reached an instance that could lead, and none leads. While
   * none is reached all of them may be restarting, and waiting calls are answered
   * soonest.
   */
  function isCutOff(): boolean {
    const nowMs = clock.now();
    if (leader !== undefined || nowMs - leaderLostMs < TAKEOVER_MS) {
      return false;
    }
    for (const { stream, heardMs, reachedMs } of links.values()) {
      const isReached = stream !== undefined && reachedMs !== undefined &&
        nowMs - reachedMs > TAKEOVER_MS && nowMs - heardMs < REACHED_MS;
      if (isReached) return true;
    }
    return false;
  }

  /** Gives a call up; only one that was never sent has certainly not run. */
  function rejectCall(call: PendingCall): void {
    if (!pending.delete(call.id)) return;
    call.timer.cancel();
    const { kind } = call.call;
    call.reject(
      call.wasSent
        ? createFault(
          "deadlineExceeded",
          `Cannot tell the outcome of call "${kind}": the leader did not answer`,
        )
        : createFault(
          "unavailable",
          `Cannot pass on call "${kind}": no leader is known`,
          { details: { retryAfterMs: RETRY_AFTER_MS } },
        ),
    );
  }

  function sendCall(call: PendingCall): void {
    if (leader === undefined) return;
    call.sentTo = leader;
    call.wasSent = true;
    send(leader, { kind: "call", id: call.id, call: call.call });
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
      case "ask":
        void runRequest(
          link,
          message.id,
          () => options.ask(message.question, message.timeoutMs),
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
      // Not handled there; the next leader gets it.
      call.sentTo = undefined;
      link.isLeading = false;
      return pickLeader();
    }
    // The outcome is found out by sending the call again.
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

  async function callRunner(call: RunnerCall): Promise<unknown> {
    if (options.callRunner !== undefined) return await options.callRunner(call);
    throw createFault("unavailable", "Cannot call runners from here");
  }

  /** Does what the leader asks for, and sends it the outcome. */
  async function runRequest(
    link: Link,
    id: number,
    run: () => Promise<unknown>,
  ): Promise<void> {
    try {
      send(link, { kind: "reply", id, value: await run() });
    } catch (error) {
      send(link, { kind: "reply", id, error: toFault(error).message });
    }
  }

  function check(): void {
    if (isClosed) return;
    const nowMs = clock.now();
    for (const link of links.values()) {
      const limitMs = link.isLeading ? LEADER_SILENCE_MS : FOLLOWER_SILENCE_MS;
      if (link.stream !== undefined && nowMs - link.heardMs > limitMs) {
        closeStream(link, "no pulse");
        // The connection itself may have gone silent; another stream on it would be, too.
        link.peer.close();
        link.peer = openPeer(link.core);
      }
      if (link.stream === undefined && nowMs >= link.reopenAtMs) {
        openStream(link);
      }
    }
    const isRefusing = isCutOff();
    for (const call of [...pending.values()]) {
      if (isRefusing) rejectCall(call);
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
      if (isCutOff()) rejectCall(created);
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
