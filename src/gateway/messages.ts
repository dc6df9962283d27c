/**
 * The messages between an instance that forwards calls and the instances that
 * may lead. Each frame of a long-lived stream holds a JSON array of messages.
 */

import { Buffer } from "node:buffer";
import {
  createFault,
  type Fault,
  type FaultKind,
  type Ran,
} from "../common/mod.ts";
import type {
  CallerAddress,
  Configuration,
  EligibilityQuery,
  EvacuationChange,
  HoldOrder,
  JobBody,
  RunnerAnnouncement,
  RunnerTarget,
  StartOrder,
  StopOrder,
} from "../workload/mod.ts";

/** A call to the leader. */
export type WorkCall =
  | {
    readonly kind: "submit";
    readonly address: CallerAddress;
    readonly body: JobBody;
  }
  | { readonly kind: "state"; readonly address: CallerAddress }
  | { readonly kind: "pending"; readonly address: CallerAddress }
  | { readonly kind: "cancel"; readonly address: CallerAddress }
  | { readonly kind: "configure"; readonly configuration: Configuration }
  | { readonly kind: "readConfiguration" }
  | { readonly kind: "announce"; readonly announcement: RunnerAnnouncement }
  | { readonly kind: "depart"; readonly runner: string }
  | { readonly kind: "evacuate"; readonly change: EvacuationChange };

/** The leader's answer. */
export type WorkAnswer =
  | { readonly value: unknown; readonly fault?: undefined }
  | {
    readonly fault: {
      readonly kind: FaultKind;
      readonly message: string;
      readonly ran: Ran;
      readonly details: Readonly<Record<string, unknown>>;
    };
  };

/** A runner call made by another instance on behalf of the leader. */
export type RunnerCall =
  | {
    readonly order: "start";
    readonly target: RunnerTarget;
    readonly start: StartOrder;
    readonly timeoutMs: number;
  }
  | {
    readonly order: "stop";
    readonly target: RunnerTarget;
    readonly stop: StopOrder;
    readonly timeoutMs: number;
  }
  | {
    readonly order: "hold";
    readonly target: RunnerTarget;
    readonly hold: HoldOrder;
    readonly timeoutMs: number;
  }
  /** Closes the connections to a runner. */
  | { readonly order: "release"; readonly address: string }
  /** Answered at once; shows that the relay handles messages. */
  | { readonly order: "check" };

/** A message to an instance that may lead. */
export type GatewayMessage =
  | {
    readonly kind: "hello";
    readonly instance: string;
    readonly dataCentre: string;
    /** True when the instance has a disk and is not a member of the log. */
    readonly isStandby: boolean;
    /** True when the instance can call runners for the leader. */
    readonly canCallRunners: boolean;
    /** True when the instance waits for the leader to replace its vote before it exits. */
    readonly isStopping: boolean;
  }
  | {
    readonly kind: "call";
    readonly id: number;
    /** Identifies the call over all its sends and all gateways. */
    readonly origin: string;
    readonly call: WorkCall;
  }
  | {
    readonly kind: "reply";
    /** Identifier of the answered request. */
    readonly id: number;
    readonly value?: unknown;
    /** Error message of a failed request, and whether its work has run. */
    readonly error?: string;
    readonly ran?: Ran;
  };

/** A message from an instance that may lead. */
export type CoreMessage =
  | {
    readonly kind: "pulse";
    readonly isLeading: boolean;
    readonly term: number;
    /** Names of all instances that may lead. */
    readonly cores: readonly string[];
  }
  /** Asks a standby to become a member of the log. */
  | { readonly kind: "invite" }
  /** Tells a stopping instance that the log no longer waits for it. */
  | { readonly kind: "release" }
  | {
    readonly kind: "answer";
    readonly id: number;
    readonly answer: WorkAnswer;
  }
  | {
    readonly kind: "ask";
    readonly id: number;
    readonly question: EligibilityQuery;
    readonly timeoutMs: number;
  }
  /** Asks for the kept eligibility answers; an instance of an older version ignores it. */
  | { readonly kind: "recall"; readonly id: number }
  | {
    readonly kind: "callRunner";
    readonly id: number;
    readonly call: RunnerCall;
  };

/** Time during which messages are batched into one frame, in milliseconds. */
export const FRAME_BATCH_WINDOW_MS = 1;

/**
 * Batch window between a leader and its relays, in milliseconds. It is longer
 * because a frame costs about as much as several messages, and a run takes far
 * longer than the added delay.
 */
export const RELAY_BATCH_WINDOW_MS = 6;

/** One frame of the stream. */
export interface Frame {
  data: Uint8Array;
}

/** Encodes messages as one frame. */
export function encodeFrame(
  messages: readonly (GatewayMessage | CoreMessage)[],
): Frame {
  return { data: Buffer.from(JSON.stringify(messages)) };
}

/** Handles the messages of a frame. */
export interface FrameHandlers<Message> {
  readonly receive: (message: Message) => void;
  /** Called for a frame or a message that cannot be handled. */
  readonly handleError: (error: unknown) => void;
}

/** Decodes a frame and handles each of its messages; one that fails leaves the others in force. */
export function handleFrame<Message>(
  frame: Frame,
  { receive, handleError }: FrameHandlers<Message>,
): void {
  let messages: readonly Message[];
  try {
    messages = decodeFrame(frame);
  } catch (error) {
    return handleError(error);
  }
  for (const message of messages) {
    try {
      receive(message);
    } catch (error) {
      handleError(error);
    }
  }
}

/** Decodes the messages of a frame; throws a `SyntaxError` when it is not JSON, and fault "badRequest" when it is no list. */
function decodeFrame<Message>(frame: Frame): readonly Message[] {
  const messages = JSON.parse(Buffer.from(frame.data).toString("utf8"));
  if (Array.isArray(messages)) return messages;
  throw createFault("badRequest", "Cannot decode a frame: it is not a list");
}

/** Encodes a fault as an answer. */
export function encodeFaultAnswer(fault: Fault): WorkAnswer {
  const { kind, message, ran, details } = fault;
  return { fault: { kind, message, ran, details } };
}

/** Returns the value of an answer, or throws its fault. */
export function decodeAnswer(answer: WorkAnswer): unknown {
  if (answer.fault === undefined) return answer.value;
  const { kind, message, ran, details } = answer.fault;
  throw createFault(kind, message, { ran, details });
}
