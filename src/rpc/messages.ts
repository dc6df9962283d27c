/**
 * Messages between instances, as defined in `proto/goldcrestlug.proto`. The proto
 * file is loaded at run time, so these types must be kept in sync with it.
 */

import type { InstanceState } from "../membership/mod.ts";

/** An empty reply. */
export type Empty = Record<string, never>;

/** One message of a replicated log group. */
export interface LogEnvelope {
  group: string;
  /** Member identity of the sender. */
  from: string;
  /** Member identity or instance name of the receiver. */
  to: string;
  /** Message encoded by the `replicated_log` module. */
  message: Uint8Array;
}

/** A configuration change, as JSON. */
export interface ChangeRequest {
  change: Uint8Array;
  hops: number;
}

/** Reply to an accepted change. */
export interface ChangeReply {
  version: number;
}

/** Keys withdrawn before the fleet log records the withdrawal. */
export interface KeyWithdrawals {
  keyIds: string[];
  /** Wall time in milliseconds. */
  at: number;
}

/** Subscribes to configuration updates. */
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

/** Requests a slot of an endpoint. */
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

/** Permission to send one request to one endpoint. */
export interface SlotGrantMessage {
  token: string;
  endpoint: string;
  address: string;
  epoch: number;
  validForMs: number;
}

/** An answer from an endpoint. */
export interface RecordedAnswerMessage {
  status: number;
  contentType: string;
  body: Uint8Array;
}

/** Either a grant or the answer already recorded for the same request. */
export interface SlotReply {
  outcome?: "grant" | "answer";
  grant?: SlotGrantMessage;
  answer?: RecordedAnswerMessage;
}

/** Releases a slot after its use. */
export interface SlotRelease {
  token: string;
  outcome: string;
  answer?: RecordedAnswerMessage;
  durationMs: number;
  instance: string;
}

/** An announcement or the reply to it, as JSON. */
export interface JsonBody {
  body: Uint8Array;
}

/** Worker announcements as JSON, batched by an entry instance. */
export interface AnnouncementBatch {
  bodies: Uint8Array[];
}

/** Reply to one announcement: either a body or a fault, as JSON. */
export interface AnnouncementReply {
  /** Empty if the announcement was rejected. */
  body: Uint8Array;
  fault: Uint8Array;
}

/** Replies to a batch of announcements, in the same order. */
export interface AnnouncementReplies {
  replies: AnnouncementReply[];
}

/** A job submitted by a workspace, as JSON. */
export interface JobRequest {
  workspace: string;
  job: Uint8Array;
}

/** Identifies a job of a workspace. */
export interface JobQuery {
  workspace: string;
  jobId: string;
}

/** A job and its state, as JSON. */
export interface JobReply {
  job: Uint8Array;
}

/** Identifies a request within a scope. */
export interface RequestQuery {
  scope: string;
  requestId: string;
}

/** State of a request, with its answer if recorded. */
export interface RequestReply {
  state: string;
  answer?: RecordedAnswerMessage;
}

/** Resource amounts of a workspace's limits. */
export interface LimitsMessage {
  slots: number;
  processors: number;
  memoryMb: number;
  accelerators: number;
}

/** Transfers part of a workspace's allotment between data centres. */
export interface AllotmentTransfer {
  transferId: string;
  fromDataCentre: string;
  toDataCentre: string;
  workspace: string;
  amount: LimitsMessage;
}

/** Requests additional allotment for a workspace. */
export interface AllotmentAsk {
  fromDataCentre: string;
  workspace: string;
  wanted: LimitsMessage;
  /** Part of `wanted` that brings the requesting data centre up to its fair share. */
  entitled: LimitsMessage;
  /** True for rebalancing: nothing is queued in the requesting data centre. */
  levelling: boolean;
}

/** Allotment offered in reply to `AllotmentAsk`; an `AllotmentTransfer` of it follows. */
export interface AllotmentOffer {
  offered: LimitsMessage;
}

/** State of an instance, sent as a heartbeat and as the reply to one. */
export type HeartbeatMessage = InstanceState;
