/** Follower side of the consensus core: entries and snapshots from a leader. */

import { createFault } from "../common/errors.ts";
import {
  appendEntries,
  commitUpTo,
  sendMessage,
  setElectionDeadline,
  setFollower,
  setSnapshot,
  type StepContext,
} from "./consensus_state.ts";
import type {
  AppendReply,
  AppendRequest,
  LogEntry,
  LogSnapshot,
  SnapshotChunk,
} from "./types.ts";

interface LeaderMessage {
  readonly term: number;
  readonly round: number;
  readonly sentAtMs: number;
}

/** Accepts the sender as leader; returns false if its term is over. */
function checkLeader(
  context: StepContext,
  from: string,
  message: LeaderMessage,
): boolean {
  const { state, nowMs } = context;
  if (message.term < state.term) return false;
  if (message.term > state.term || state.role !== "follower") {
    setFollower(context, message.term, from);
  }
  state.leader = from;
  state.leaderContactMs = nowMs;
  setElectionDeadline(state, nowMs);
  return true;
}

function createAppendReply(
  context: StepContext,
  options: {
    to: string;
    request: LeaderMessage;
    matched: boolean;
    matchIndex: number;
  },
): AppendReply {
  const { to, request, matched, matchIndex } = options;
  return {
    kind: "appendReply",
    to,
    term: context.state.term,
    matched,
    matchIndex,
    round: request.round,
    sentAtMs: request.sentAtMs,
  };
}

/** Finds the index that the leader should try next after a mismatch at `index`. */
function findRetryIndex(context: StepContext, index: number): number {
  const { log, commitIndex } = context.state;
  if (index > log.getLastIndex()) return log.getLastIndex();
  const term = log.getTerm(index);
  let retry = index - 1;
  while (retry > commitIndex && log.getTerm(retry) === term) retry--;
  return Math.max(retry, commitIndex);
}

/** Appends the missing entries; returns whether there were any. */
function mergeEntries(
  context: StepContext,
  entries: readonly LogEntry[],
): boolean {
  const { log, commitIndex } = context.state;
  const firstNew = entries.findIndex((entry) =>
    entry.index > log.getBaseIndex() && log.getTerm(entry.index) !== entry.term
  );
  if (firstNew < 0) return false;
  const added = entries.slice(firstNew);
  const from = added[0]?.index ?? 0;
  const isConflict = from <= log.getLastIndex();
  if (isConflict && from <= commitIndex) {
    throw createFault(
      "internal",
      `Cannot replace log entry ${from}: entries up to ${commitIndex} are committed`,
    );
  }
  appendEntries(context, added, isConflict ? from : undefined);
  return true;
}

/** Handles entries or a heartbeat from a leader. */
export function handleAppend(
  context: StepContext,
  from: string,
  request: AppendRequest,
): void {
  const { state } = context;
  const reply = (
    matched: boolean,
    matchIndex: number,
    afterStore = false,
  ) =>
    sendMessage(
      context,
      createAppendReply(context, { to: from, request, matched, matchIndex }),
      { afterStore },
    );
  if (!checkLeader(context, from, request)) return reply(false, 0);

  const { log } = state;
  const { prevIndex, prevTerm, entries } = request;
  const lastSent = prevIndex + entries.length;
  // Committed entries equal the leader's, so only later ones need the comparison.
  if (
    prevIndex > state.commitIndex && log.getTerm(prevIndex) !== prevTerm
  ) {
    return reply(false, findRetryIndex(context, prevIndex));
  }
  const hasAppended = mergeEntries(context, entries);
  commitUpTo(context, Math.min(request.commitIndex, lastSent));
  if (hasAppended) return reply(true, lastSent, true);
  reply(true, Math.min(lastSent, state.storedIndex));
}

function appendChunk(
  context: StepContext,
  chunk: SnapshotChunk,
): Uint8Array | undefined {
  const { state } = context;
  const known = state.incoming;
  const isSame = known !== undefined && known.index === chunk.index &&
    known.term === chunk.snapshotTerm && known.totalBytes === chunk.totalBytes;
  const incoming = isSame ? known : {
    index: chunk.index,
    term: chunk.snapshotTerm,
    totalBytes: chunk.totalBytes,
    chunks: [],
    receivedBytes: 0,
  };
  state.incoming = incoming;
  if (chunk.offset === incoming.receivedBytes) {
    incoming.chunks.push(chunk.data);
    incoming.receivedBytes += chunk.data.length;
  }
  if (incoming.receivedBytes < incoming.totalBytes) return undefined;
  const data = new Uint8Array(incoming.totalBytes);
  let offset = 0;
  for (const part of incoming.chunks) {
    data.set(part, offset);
    offset += part.length;
  }
  return data;
}

function restoreFromSnapshot(
  context: StepContext,
  snapshot: LogSnapshot,
): void {
  const { state, output } = context;
  setSnapshot(context, snapshot, 0);
  state.commitIndex = snapshot.index;
  state.incoming = undefined;
  output.restored = snapshot;
}

/** Handles one chunk of a snapshot from a leader. */
export function handleSnapshotChunk(
  context: StepContext,
  from: string,
  chunk: SnapshotChunk,
): void {
  const { state } = context;
  if (!checkLeader(context, from, chunk)) {
    const stale = { to: from, request: chunk, matched: false, matchIndex: 0 };
    return sendMessage(context, createAppendReply(context, stale));
  }
  const reply = (receivedBytes: number, installed: boolean) =>
    sendMessage(context, {
      kind: "snapshotReply",
      to: from,
      term: state.term,
      index: chunk.index,
      receivedBytes,
      installed,
      round: chunk.round,
      sentAtMs: chunk.sentAtMs,
    }, { afterStore: installed });
  if (chunk.index <= state.commitIndex) return reply(chunk.totalBytes, true);
  const data = appendChunk(context, chunk);
  if (data === undefined) {
    return reply(state.incoming?.receivedBytes ?? 0, false);
  }
  restoreFromSnapshot(context, {
    index: chunk.index,
    term: chunk.snapshotTerm,
    members: chunk.members,
    data,
  });
  reply(chunk.totalBytes, true);
}
