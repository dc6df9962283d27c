/**
 * The consensus core as one step function. It uses no clock, socket or disk:
 * the time is an argument, and the output lists the messages to send, the writes
 * to make and the entries to apply. The caller must make the writes in order,
 * send messages marked `afterStore` only once all writes requested so far are
 * durable, and report completed writes with a "stored" input.
 */

import {
  handleFollowerTick,
  handleTimeoutNow,
  handleVoteReply,
  handleVoteRequest,
} from "./consensus_election.ts";
import { handleAppend, handleSnapshotChunk } from "./consensus_follower.ts";
import {
  appendCommands,
  appendMembers,
  handleAppendReply,
  handleJoinRequest,
  handleLeaderTick,
  handleSnapshotReply,
  sendHeartbeats,
  startHandover,
  updateCommit,
} from "./consensus_leader.ts";
import {
  type ConsensusOutput,
  type ConsensusState,
  sendMessage,
  setSnapshot,
  type StepContext,
} from "./consensus_state.ts";
import { hasSameInstance } from "./member_id.ts";
import type {
  HistoryRequest,
  LogMember,
  LogMessage,
  LogSnapshot,
} from "./types.ts";

/** Input of one step. */
export type ConsensusInput =
  | { kind: "message"; from: string; message: LogMessage }
  | { kind: "tick" }
  | { kind: "propose"; commands: readonly Uint8Array[] }
  | { kind: "changeMembers"; members: readonly LogMember[] }
  /** A batch of writes is durable: the vote up to `voteChange`, the log up to each position. */
  | {
    kind: "stored";
    voteChange: number;
    positions: readonly { index: number; term: number }[];
  }
  /** The caller took a snapshot of its state machine. */
  | { kind: "snapshotTaken"; snapshot: LogSnapshot }
  /** Requests heartbeats to all members at once. */
  | { kind: "confirm" }
  /** Requests a leadership handover. */
  | { kind: "handover" };

function handleHistoryRequest(
  context: StepContext,
  from: string,
  request: HistoryRequest,
): void {
  const { state } = context;
  // A bootstrap stores one entry of term 1. An empty log belongs to a new
  // identity, which exists only because the group was found to have history.
  const hasHistory = state.term > 1 || state.votedFor !== undefined ||
    state.log.getLastIndex() !== 1 || state.snapshot !== undefined;
  const { nonce } = request;
  sendMessage(context, {
    kind: "historyReply",
    to: from,
    nonce,
    hasHistory,
    ...(hasHistory ? {} : { isIntact: true }),
  });
}

function handleMessage(
  context: StepContext,
  from: string,
  message: LogMessage,
): void {
  const { state } = context;
  const isForInstance = message.kind === "joinRequest" ||
    message.kind === "historyRequest";
  // Messages to a former identity of this instance must not be answered.
  const isForSelf = message.to === state.self ||
    (isForInstance && hasSameInstance(message.to, state.self));
  if (!isForSelf || from === state.self) return;
  switch (message.kind) {
    case "voteRequest":
      return handleVoteRequest(context, from, message);
    case "voteReply":
      return handleVoteReply(context, from, message);
    case "append":
      return handleAppend(context, from, message);
    case "appendReply":
      return handleAppendReply(context, from, message);
    case "snapshot":
      return handleSnapshotChunk(context, from, message);
    case "snapshotReply":
      return handleSnapshotReply(context, from, message);
    case "timeoutNow":
      return handleTimeoutNow(context, from, message);
    case "joinRequest":
      return handleJoinRequest(context, from, message);
    case "joinReply":
      state.joinLeader = message.leader;
      return;
    case "historyRequest":
      return handleHistoryRequest(context, from, message);
    case "historyReply":
      return;
  }
}

function handleStored(
  context: StepContext,
  input: ConsensusInput & { kind: "stored" },
): void {
  const { state } = context;
  state.storedVoteChanges = Math.max(state.storedVoteChanges, input.voteChange);
  for (const { index, term } of input.positions) {
    // The entry may have been replaced while it was being written.
    if (state.log.getTerm(index) !== term) continue;
    state.storedIndex = Math.max(state.storedIndex, index);
  }
  updateCommit(context);
}

function handleInput(context: StepContext, input: ConsensusInput): void {
  const { state } = context;
  switch (input.kind) {
    case "message":
      return handleMessage(context, input.from, input.message);
    case "tick":
      if (state.role === "leader") return handleLeaderTick(context);
      return handleFollowerTick(context);
    case "propose":
      return void appendCommands(context, input.commands);
    case "changeMembers":
      return void appendMembers(context, input.members);
    case "stored":
      return handleStored(context, input);
    case "snapshotTaken":
      return setSnapshot(
        context,
        input.snapshot,
        state.timings.catchUpEntries,
      );
    case "confirm":
      if (state.role === "leader") sendHeartbeats(context);
      return;
    case "handover":
      return startHandover(context);
  }
}

/** Handles one input: updates `state` and returns the actions for the caller. */
export function stepConsensus(
  state: ConsensusState,
  input: ConsensusInput,
  nowMs: number,
): ConsensusOutput {
  const output: ConsensusOutput = {
    messages: [],
    store: [],
    restored: undefined,
    committed: [],
    acceptedIndex: undefined,
    refusal: undefined,
  };
  handleInput({ state, nowMs, output }, input);
  return output;
}
