/**
 * Messages between instances, as `proto/goldcrestlug.proto` defines them. The
 * file is loaded at run time, so these types are its counterpart in TypeScript
 * and change together with it.
 */

import type { InstanceState } from "../membership/mod.ts";

/** An empty answer. */
export type Empty = Record<string, never>;

/** One message of a replicated log group. */
export interface LogEnvelope {
  group: string;
  /** Member identity of the sender. */
  from: string;
  /** Member identity or instance name of the receiver. */
  to: string;
  /** Encoded by the replicated_log module. */
  message: Uint8Array;
}

/** A change of the configuration, as JSON. */
export interface ChangeRequest {
  change: Uint8Array;
  hops: number;
}

/** The answer to an accepted change. */
export interface ChangeReply {
  version: number;
}

/** Keys that are withdrawn ahead of the fleet log. */
export interface KeyWithdrawals {
  keyIds: string[];
  /** Wall time in milliseconds. */
  at: number;
}

/** A subscription to configuration updates. */
export interface WatchRequest {
  instance: string;
  version: number;
}

/** A configuration update. */
export interface ConfigUpdate {
  version: number;
  snapshot: boolean;
  data: Uint8Array;
  ageMs: number;
}

/** A request for a slot of an endpoint. */
export interface SlotRequest {
  requestId: string;
  scope: string;
  workspace: string;
  queue: string;
  idempotent: boolean;
  remainingMs: number;
  bodyHash: string;
  instance: string;
  avoid: string[];
  attempt: number;
}

/** The right to send one request to one endpoint. */
export interface SlotGrantMessage {
  token: string;
  endpoint: string;
  address: string;
  epoch: number;
  validForMs: number;
}

/** An answer of an endpoint. */
export interface RecordedAnswerMessage {
  status: number;
  contentType: string;
  body: Uint8Array;
}

/** Either a grant or the answer that was recorded for the same request. */
export interface SlotReply {
  outcome?: "grant" | "answer";
  grant?: SlotGrantMessage;
  answer?: RecordedAnswerMessage;
}

/** The end of the use of a slot. */
export interface SlotRelease {
  token: string;
  outcome: string;
  answer?: RecordedAnswerMessage;
  durationMs: number;
  instance: string;
}

/** An announcement or its answer, as JSON. */
export interface JsonBody {
  body: Uint8Array;
}

/** Announcements of workers as JSON, gathered by an entry instance. */
export interface AnnouncementBatch {
  bodies: Uint8Array[];
}

/** The reply to one announcement: an answer or a refusal, as JSON. */
export interface AnnouncementReply {
  /** Empty when the announcement was refused. */
  body: Uint8Array;
  fault: Uint8Array;
}

/** One reply for each announcement of a batch, in order. */
export interface AnnouncementReplies {
  replies: AnnouncementReply[];
}

/** A job handed in by a workspace, as JSON. */
export interface JobRequest {
  workspace: string;
  job: Uint8Array;
}

/** Names a job of a workspace. */
export interface JobQuery {
  workspace: string;
  jobId: string;
}

/** A job and its state, as JSON. */
export interface JobReply {
  job: Uint8Array;
}

/** Names a request of a scope. */
export interface RequestQuery {
  scope: string;
  requestId: string;
}

/** The state of a request and its answer, if recorded. */
export interface RequestReply {
  state: string;
  answer?: RecordedAnswerMessage;
}

/** Amounts of a workspace's limits. */
export interface LimitsMessage {
  slots: number;
  processors: number;
  memoryMb: number;
  accelerators: number;
}

/** A transfer of allotment between data centres. */
export interface AllotmentTransfer {
  transferId: string;
  fromDataCentre: string;
  toDataCentre: string;
  workspace: string;
  amount: LimitsMessage;
}

/** A request for allotment of a workspace. */
export interface AllotmentAsk {
  fromDataCentre: string;
  workspace: string;
  wanted: LimitsMessage;
  /** Part of `wanted` that brings the asker up to its fair part. */
  entitled: LimitsMessage;
  /** Whether nothing waits at the asker. */
  levelling: boolean;
}

/** What a data centre gives in answer to an ask; a transfer of it follows. */
export interface AllotmentOffer {
  offered: LimitsMessage;
}

/** State of an instance, sent as a heartbeat and in answer to one. */
export type HeartbeatMessage = InstanceState;
