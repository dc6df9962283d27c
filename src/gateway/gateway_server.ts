/**
 * The server side of the gateway streams, on instances that may lead. It
 * answers calls while it leads and reports in periodic pulses whether it does.
 * It sends eligibility queries and runner calls through connected instances.
 */

import type { ServerDuplexStream } from "@grpc/grpc-js";
import {
  type Clock,
  createFault,
  type Logger,
  type Timer,
  toFault,
} from "../common/mod.ts";
import { type MeasureTime, runUnmeasured } from "../report/time_use.ts";
import type {
  EligibilityAnswer,
  EligibilityQuery,
  RecalledAnswer,
} from "../workload/mod.ts";
import {
  type CoreMessage,
  encodeFaultAnswer,
  encodeFrame,
  type Frame,
  FRAME_BATCH_WINDOW_MS,
  type FrameHandlers,
  type GatewayMessage,
  handleFrame,
  RELAY_BATCH_WINDOW_MS,
  type RunnerCall,
  type WorkCall,
} from "./messages.ts";

/** Interval of a leader's pulses, in milliseconds. */
const LEADER_PULSE_MS = 300;

/** Interval of a non-leader's pulses, in milliseconds. */
const FOLLOWER_PULSE_MS = 1_000;

/** Maximum bytes in a stream's write buffer; a peer that exceeds it is not reading and is disconnected. */
const MAX_UNSENT_BYTES = 4 * 1024 * 1024;

/** What a failed request tells of the instance that it was sent to, in `details.peer` of its fault. */
export const PEER_STATES = Object.freeze({
  /** It replied that the request failed. */
  replied: "replied",
  /** It is not connected, or its stream ended before a reply. */
  lost: "lost",
});

/** Options of the server. */
export interface GatewayServerOptions {
  clock: Clock;
  logger: Logger;
  /** Runs a call on the leader; rejects with a fault. Calls of one origin are one call that was sent again. */
  runCall: (call: WorkCall, origin: string) => Promise<unknown>;
  getLeadership: () => { isLeading: boolean; term: number };
  /** Names of all instances that may lead. */
  listCores: () => readonly string[];
  /** Called when the connected instances change. */
  handleCallers: (names: readonly string[]) => void;
  /** Called when an instance reports that it is stopping. */
  handleStopping?: () => void;
  /** Measures the time that frames take. Default: it is not measured. */
  measure?: MeasureTime;
}

/** Serves the streams of other instances. */
export interface GatewayServer {
  handleStream(stream: ServerDuplexStream<Frame, Frame>): void;
  /**
   * Queries the eligibility service through a connected instance. Rejects with
   * "unavailable" when the instance is not connected, its stream ends or the query
   * fails, and with "deadlineExceeded" after `timeoutMs`. The fault's `ran` tells
   * whether the request may have been carried out; see also `PEER_STATES`.
   */
  ask(
    caller: string,
    question: EligibilityQuery,
    timeoutMs: number,
  ): Promise<EligibilityAnswer>;
  /**
   * Asks a connected instance for the eligibility answers that it has kept; rejects
   * like `ask`. An instance of an older version does not reply.
   */
  listKeptAnswers(
    instance: string,
    timeoutMs: number,
  ): Promise<readonly RecalledAnswer[]>;
  listCallers(): string[];
  /** Calls a runner through a connected instance; rejects like `ask`. */
  callRunner(
    relay: string,
    call: RunnerCall,
    timeoutMs: number,
  ): Promise<unknown>;
  /** Names of the connected instances that call runners for the leader. */
  listRelays(): string[];
  /** Tells whether an instance is connected and could become a member of the log. */
  isStandby(instance: string): boolean;
  /** Lists the connected instances that could become members of the log. */
  listStandbys(): ConnectedStandby[];
  /** Returns the data centre of an instance; undefined when it is not connected. */
  getDataCentre(instance: string): string | undefined;
  /** Lists the connected instances that wait for `release` before they exit. */
  listStopping(): string[];
  /** Tells a stopping instance that the log no longer waits for it. */
  release(instance: string): void;
  /** Asks a standby to become a member of the log. */
  invite(instance: string): void;
  /** Sends a pulse to all connected instances without waiting for the interval. */
  sendPulses(): void;
  close(): void;
}

/** A connected instance that could become a member of the log. */
export interface ConnectedStandby {
  readonly instance: string;
  readonly dataCentre: string;
  /** Local time of its connection, in milliseconds. */
  readonly sinceMs: number;
}

interface Session {
  name: string | undefined;
  dataCentre: string;
  isStandby: boolean;
  canCallRunners: boolean;
  isStopping: boolean;
  readonly sinceMs: number;
  readonly stream: ServerDuplexStream<Frame, Frame>;
  outbox: CoreMessage[];
  hasFlushTimer: boolean;
  sentMs: number;
}

/** A request to a connected instance, still without a reply. */
interface OpenRequest {
  readonly session: Session;
  readonly timer: Timer;
  readonly resolve: (value: unknown) => void;
  readonly reject: (error: unknown) => void;
}

/** Creates a server without streams. */
export function createGatewayServer(
  options: GatewayServerOptions,
): GatewayServer {
  const { clock, logger, measure = runUnmeasured } = options;
  const sessions = new Set<Session>();
  const requests = new Map<number, OpenRequest>();
  let nextRequest = 1;
  let isClosed = false;

  /** Lists the instances with a session that `fits` accepts. */
  function listNames(fits: (session: Session) => boolean): string[] {
    const names = new Set<string>();
    for (const session of sessions) {
      if (session.name !== undefined && fits(session)) names.add(session.name);
    }
    return [...names].sort();
  }

  function listCallers(): string[] {
    return listNames(() => true);
  }

  function findSession(instance: string): Session | undefined {
    for (const session of sessions) {
      if (session.name === instance) return session;
    }
    return undefined;
  }

  function send(session: Session, message: CoreMessage): void {
    session.outbox.push(message);
    if (session.hasFlushTimer) return;
    session.hasFlushTimer = true;
    const batchWindowMs = session.canCallRunners
      ? RELAY_BATCH_WINDOW_MS
      : FRAME_BATCH_WINDOW_MS;
    clock.setTimer(batchWindowMs, () => {
      session.hasFlushTimer = false;
      if (!sessions.has(session)) return;
      const messages = session.outbox;
      session.outbox = [];
      session.sentMs = clock.now();
      measure("frames", () => session.stream.write(encodeFrame(messages)));
      // For a peer that vanished without a reset, the buffer would grow without bound.
      if (session.stream.writableLength > MAX_UNSENT_BYTES) {
        endSession(session, "peer does not read");
        session.stream.end();
      }
    });
  }

  function sendPulse(session: Session): void {
    const { isLeading, term } = options.getLeadership();
    const cores = options.listCores();
    send(session, { kind: "pulse", isLeading, term, cores });
  }

  function endSession(session: Session, reason: string): void {
    if (!sessions.delete(session)) return;
    for (const [id, request] of requests) {
      if (request.session !== session) continue;
      requests.delete(id);
      request.timer.cancel();
      request.reject(
        createFault(
          "unavailable",
          `Cannot get a reply from "${session.name}": its stream ended`,
          { ran: "unknown", details: { peer: PEER_STATES.lost } },
        ),
      );
    }
    logger.info("Gateway stream ended", { instance: session.name, reason });
    options.handleCallers(listCallers());
  }

  /**
   * Ends the earlier streams of an instance. It keeps one, so they are broken even
   * if their end has not arrived here.
   */
  function endFormerSessions(newest: Session): void {
    for (const session of [...sessions]) {
      // Sessions are in the order in which their streams were opened.
      if (session === newest) return;
      if (session.name !== newest.name) continue;
      endSession(session, "replaced by a newer stream");
      session.stream.end();
    }
  }

  async function runCall(
    session: Session,
    message: GatewayMessage & { kind: "call" },
  ): Promise<void> {
    const { id, call, origin } = message;
    try {
      const value = await options.runCall(call, origin);
      send(session, { kind: "answer", id, answer: { value } });
    } catch (error) {
      const fault = toFault(error);
      if (fault.kind === "internal") {
        logger.error("Call failed", { call: call.kind, error: fault });
      }
      send(session, { kind: "answer", id, answer: encodeFaultAnswer(fault) });
    }
  }

  function receive(session: Session, message: GatewayMessage): void {
    // A call that is still buffered on a former stream may have been refused on the newer one.
    if (!sessions.has(session)) return;
    switch (message.kind) {
      case "hello":
        session.name = message.instance;
        session.dataCentre = message.dataCentre;
        session.isStandby = message.isStandby;
        session.canCallRunners = message.canCallRunners;
        session.isStopping = message.isStopping;
        endFormerSessions(session);
        sendPulse(session);
        options.handleCallers(listCallers());
        if (session.isStopping) options.handleStopping?.();
        break;
      case "call":
        void runCall(session, message);
        break;
      case "reply": {
        const request = requests.get(message.id);
        if (request === undefined) break;
        requests.delete(message.id);
        request.timer.cancel();
        if (message.error === undefined) request.resolve(message.value);
        else {
          request.reject(createFault("unavailable", message.error, {
            ran: message.ran ?? "unknown",
            details: { peer: PEER_STATES.replied },
          }));
        }
        break;
      }
    }
  }

  /** Sends a request to a connected instance; rejects when no reply comes in time. */
  function sendRequest(
    instance: string,
    buildMessage: (id: number) => CoreMessage,
    timeoutMs: number,
  ): Promise<unknown> {
    return new Promise((resolve, reject) => {
      const session = findSession(instance);
      if (session === undefined) {
        return reject(
          createFault(
            "unavailable",
            `Cannot send a request to "${instance}": it is not connected`,
            { details: { peer: PEER_STATES.lost } },
          ),
        );
      }
      const id = nextRequest++;
      const timer = clock.setTimer(timeoutMs, () => {
        requests.delete(id);
        reject(createFault(
          "deadlineExceeded",
          `Cannot get a reply from "${instance}" within ${timeoutMs} ms`,
        ));
      });
      requests.set(id, { session, timer, resolve, reject });
      send(session, buildMessage(id));
    });
  }

  function sendDuePulses(): void {
    if (isClosed) return;
    const { isLeading } = options.getLeadership();
    const periodMs = isLeading ? LEADER_PULSE_MS : FOLLOWER_PULSE_MS;
    const nowMs = clock.now();
    for (const session of sessions) {
      if (nowMs - session.sentMs >= periodMs) sendPulse(session);
    }
    clock.setTimer(LEADER_PULSE_MS / 2, sendDuePulses);
  }

  sendDuePulses();

  return {
    handleStream(stream) {
      const session: Session = {
        name: undefined,
        dataCentre: "",
        isStandby: false,
        canCallRunners: false,
        isStopping: false,
        sinceMs: clock.now(),
        stream,
        outbox: [],
        hasFlushTimer: false,
        sentMs: clock.now(),
      };
      sessions.add(session);
      const handlers: FrameHandlers<GatewayMessage> = {
        receive: (message) => receive(session, message),
        handleError: (error) =>
          logger.error("Cannot handle a message", {
            instance: session.name,
            error,
          }),
      };
      stream.on(
        "data",
        (frame: Frame) => measure("frames", () => handleFrame(frame, handlers)),
      );
      stream.on("error", (error) => endSession(session, error.message));
      stream.on("cancelled", () => endSession(session, "cancelled"));
      stream.on("end", () => {
        endSession(session, "ended");
        stream.end();
      });
    },
    async ask(caller, question, timeoutMs) {
      const value = await sendRequest(
        caller,
        (id) => ({ kind: "ask", id, question, timeoutMs }),
        timeoutMs,
      );
      return value as EligibilityAnswer;
    },
    async listKeptAnswers(instance, timeoutMs) {
      const value = await sendRequest(
        instance,
        (id) => ({ kind: "recall", id }),
        timeoutMs,
      );
      return value as readonly RecalledAnswer[];
    },
    callRunner: (relay, call, timeoutMs) =>
      sendRequest(relay, (id) => ({ kind: "callRunner", id, call }), timeoutMs),
    listRelays: () => listNames(({ canCallRunners }) => canCallRunners),
    isStandby: (instance) => findSession(instance)?.isStandby === true,
    listCallers,
    listStandbys() {
      const found: ConnectedStandby[] = [];
      for (const { name, dataCentre, isStandby, sinceMs } of sessions) {
        if (name === undefined || !isStandby) continue;
        found.push({ instance: name, dataCentre, sinceMs });
      }
      return found;
    },
    listStopping: () => listNames(({ isStopping }) => isStopping),
    release(instance) {
      for (const session of sessions) {
        if (session.name !== instance || !session.isStopping) continue;
        session.isStopping = false;
        send(session, { kind: "release" });
      }
    },
    getDataCentre: (instance) => findSession(instance)?.dataCentre,
    invite(instance) {
      for (const session of sessions) {
        if (session.name !== instance || !session.isStandby) continue;
        // Not set back here: the instance reconnects once it has become a member.
        session.isStandby = false;
        send(session, { kind: "invite" });
      }
    },
    sendPulses() {
      for (const session of sessions) sendPulse(session);
    },
    close() {
      isClosed = true;
      for (const session of [...sessions]) {
        endSession(session, "closed");
        session.stream.end();
      }
    },
  };
}
