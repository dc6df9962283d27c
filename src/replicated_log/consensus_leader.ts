/** Leader side of the consensus core: replication, commit, membership changes and handover. */

import {
  appendEntries,
  commitUpTo,
  computeQuorumContactMs,
  computeQuorumValue,
  type ConsensusState,
  getMembers,
  getMembersAt,
  isWitnessLeader,
  type Progress,
  sendMessage,
  setFollower,
  type StepContext,
} from "./consensus_state.ts";
import { estimateEntryBytes } from "./entry_log.ts";
import { findMember, hasSameInstance, hasVote } from "./member_id.ts";
import { computeLeaseMs } from "./timings.ts";
import type {
  AppendReply,
  JoinRequest,
  LogEntry,
  LogMember,
  SnapshotReply,
} from "./types.ts";

const NO_DATA = new Uint8Array(0);

function createProgress(context: StepContext): Progress {
  const { state, nowMs } = context;
  const lastIndex = state.log.getLastIndex();
  return {
    matchIndex: 0,
    nextIndex: lastIndex + 1,
    mode: "probe",
    modeStartRound: state.round,
    ackSentMs: -Infinity,
    ackedRound: 0,
    inFlight: [],
    inFlightBytes: 0,
    transfer: undefined,
    catchUp: { targetIndex: lastIndex, startedAtMs: nowMs },
    caughtUp: false,
  };
}

/** Tracks the members of the latest list, so that removed ones get no more entries. */
function updateProgress(context: StepContext): void {
  const { state } = context;
  const members = getMembers(state);
  for (const id of state.progress.keys()) {
    if (findMember(members, id) === undefined) state.progress.delete(id);
  }
  for (const { id } of members) {
    if (id === state.self || state.progress.has(id)) continue;
    state.progress.set(id, createProgress(context));
  }
}

function setMode(
  context: StepContext,
  progress: Progress,
  mode: Progress["mode"],
): void {
  progress.mode = mode;
  progress.inFlight = [];
  progress.inFlightBytes = 0;
  progress.modeStartRound = context.state.round + 1;
  if (mode !== "snapshot") progress.transfer = undefined;
}

function sendAppend(
  context: StepContext,
  to: string,
  options: { prevIndex: number; entries: LogEntry[] },
): void {
  const { state, nowMs } = context;
  const { prevIndex, entries } = options;
  state.round++;
  sendMessage(context, {
    kind: "append",
    to,
    term: state.term,
    prevIndex,
    prevTerm: state.log.getTerm(prevIndex) ?? 0,
    entries,
    commitIndex: state.commitIndex,
    round: state.round,
    sentAtMs: nowMs,
  });
}

function sendChunk(context: StepContext, to: string, progress: Progress): void {
  const { state, nowMs } = context;
  const snapshot = progress.transfer?.snapshot ?? state.snapshot;
  if (snapshot === undefined) return;
  const offset = progress.transfer?.offset ?? 0;
  progress.transfer = { snapshot, offset, sentAtMs: nowMs };
  state.round++;
  sendMessage(context, {
    kind: "snapshot",
    to,
    term: state.term,
    index: snapshot.index,
    snapshotTerm: snapshot.term,
    members: snapshot.members,
    offset,
    totalBytes: snapshot.data.length,
    data: snapshot.data.subarray(
      offset,
      offset + state.timings.maxMessageBytes,
    ),
    round: state.round,
    sentAtMs: nowMs,
  });
}

/** Sends entries up to the in-flight limit; if there are none and `isHeartbeat`, an empty append. */
function sendNextAppend(
  context: StepContext,
  to: string,
  isHeartbeat: boolean,
): void {
  const { state } = context;
  const { log, timings } = state;
  const progress = state.progress.get(to);
  if (progress === undefined || progress.mode === "snapshot") return;
  if (progress.nextIndex <= log.getBaseIndex()) {
    setMode(context, progress, "snapshot");
    return sendChunk(context, to, progress);
  }
  let hasSent = false;
  // A member in probe mode gets only empty messages until it answers.
  while (
    progress.mode === "replicate" &&
    progress.nextIndex <= log.getLastIndex() &&
    progress.inFlightBytes < timings.maxInFlightBytes
  ) {
    const entries = log.getEntries(progress.nextIndex, timings.maxMessageBytes);
    const prevIndex = progress.nextIndex - 1;
    const bytes = entries.reduce(
      (sum, entry) => sum + estimateEntryBytes(entry),
      0,
    );
    progress.nextIndex += entries.length;
    progress.inFlight.push({ lastIndex: progress.nextIndex - 1, bytes });
    progress.inFlightBytes += bytes;
    sendAppend(context, to, { prevIndex, entries });
    hasSent = true;
  }
  if (hasSent || !isHeartbeat) return;
  // Uses the position after the entries in flight, so that a lost message causes a mismatch.
  sendAppend(context, to, { prevIndex: progress.nextIndex - 1, entries: [] });
}

function sendHeartbeat(context: StepContext, to: string): void {
  const { state, nowMs } = context;
  const progress = state.progress.get(to);
  if (progress?.mode !== "snapshot") return sendNextAppend(context, to, true);
  const sentAtMs = progress.transfer?.sentAtMs ?? -Infinity;
  if (nowMs - sentAtMs >= state.timings.electionTimeoutMinMs) {
    return sendChunk(context, to, progress);
  }
  // Position 0 matches every log, so this only renews the contact.
  sendAppend(context, to, { prevIndex: 0, entries: [] });
}

/** Sends a message to every member at once, to learn which still follow. */
export function sendHeartbeats(context: StepContext): void {
  const { state, nowMs } = context;
  state.lastBroadcastMs = nowMs;
  for (const id of state.progress.keys()) sendHeartbeat(context, id);
}

/** Sends new entries to the members in replicate mode. */
function sendEntries(context: StepContext): void {
  for (const [id, progress] of context.state.progress) {
    if (progress.mode === "replicate") sendNextAppend(context, id, false);
  }
}

/** Makes this member the leader of its term. */
export function setLeader(context: StepContext): void {
  const { state, nowMs } = context;
  state.role = "leader";
  state.leader = state.self;
  state.votes.clear();
  state.isHandover = false;
  state.handoverTo = undefined;
  state.progress.clear();
  state.leaderSinceMs = nowMs;
  updateProgress(context);
  state.termStartIndex = state.log.getLastIndex() + 1;
  if (!isWitnessLeader(state)) {
    appendEntries(context, [{
      index: state.termStartIndex,
      term: state.term,
      kind: "noop",
      data: NO_DATA,
    }]);
  }
  sendHeartbeats(context);
}

/** Appends commands; returns false if this member must not accept them. */
export function appendCommands(
  context: StepContext,
  commands: readonly Uint8Array[],
): boolean {
  const { state, output } = context;
  const mustRefuse = state.role !== "leader" || isWitnessLeader(state) ||
    state.handoverTo !== undefined;
  if (mustRefuse) {
    output.refusal = "notLeader";
    return false;
  }
  const first = state.log.getLastIndex() + 1;
  appendEntries(
    context,
    commands.map((data, offset) => ({
      index: first + offset,
      term: state.term,
      kind: "command" as const,
      data,
    })),
  );
  output.acceptedIndex = first;
  sendEntries(context);
  return true;
}

/**
 * Returns whether the member list may change now. The previous change and an
 * entry of this term must be committed first. Without the latter, two leaders
 * could each append a change, and their quorums might not intersect.
 */
export function hasSettledMembers(state: ConsensusState): boolean {
  const changedAt = state.memberLists.at(-1)?.index ?? 0;
  return state.role === "leader" && !isWitnessLeader(state) &&
    state.handoverTo === undefined &&
    state.commitIndex >= state.termStartIndex &&
    state.commitIndex >= changedAt;
}

/**
 * Returns whether at most one voting member differs, so that every quorum of one
 * list intersects every quorum of the other. Also requires unique identities and
 * at least one remaining voter.
 */
function isSingleVoterChange(
  before: readonly LogMember[],
  after: readonly LogMember[],
): boolean {
  const voters = (members: readonly LogMember[]) =>
    new Set(members.filter(hasVote).map((member) => member.id));
  const [old, next] = [voters(before), voters(after)];
  const removed = [...old].filter((id) => !next.has(id)).length;
  const added = [...next].filter((id) => !old.has(id)).length;
  const ids = new Set(after.map((member) => member.id));
  return removed + added <= 1 && ids.size === after.length &&
    after.some((member) => member.role === "voter");
}

/** Appends a new member list, which may differ by one voting member; returns false if refused. */
export function appendMembers(
  context: StepContext,
  members: readonly LogMember[],
): boolean {
  const { state, output } = context;
  if (!hasSettledMembers(state)) {
    output.refusal = state.role === "leader" ? "changeInProgress" : "notLeader";
    return false;
  }
  if (!isSingleVoterChange(getMembers(state), members)) {
    output.refusal = "badRequest";
    return false;
  }
  const index = state.log.getLastIndex() + 1;
  appendEntries(context, [
    { index, term: state.term, kind: "members", data: NO_DATA, members },
  ]);
  output.acceptedIndex = index;
  updateProgress(context);
  sendHeartbeats(context);
  return true;
}

/** Commits the entries that a quorum has stored. */
export function updateCommit(context: StepContext): void {
  const { state } = context;
  if (state.role !== "leader") return;
  const index = computeQuorumValue(state, {
    self: state.storedIndex,
    other: (progress) => progress.matchIndex,
  });
  // An entry of an earlier term can still be replaced, even if a quorum has
  // stored it. Only a later entry of this term commits it.
  if (state.log.getTerm(index) !== state.term) return;
  commitUpTo(context, index);
  const isRemoved =
    findMember(getMembersAt(state, state.commitIndex), state.self) ===
      undefined;
  if (isRemoved && hasSettledMembers(state)) {
    sendTimeoutNow(context, findSuccessor(context));
  }
}

function recordReply(
  context: StepContext,
  progress: Progress,
  reply: { round: number; sentAtMs: number },
): void {
  progress.ackedRound = Math.max(progress.ackedRound, reply.round);
  progress.ackSentMs = Math.max(progress.ackSentMs, reply.sentAtMs);
  // No message was sent in the future; a wrong value would extend the lease.
  progress.ackSentMs = Math.min(progress.ackSentMs, context.nowMs);
}

function recordMatch(
  context: StepContext,
  progress: Progress,
  matchIndex: number,
): void {
  const { state, nowMs } = context;
  progress.matchIndex = Math.max(progress.matchIndex, matchIndex);
  progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
  while (
    progress.inFlight[0] !== undefined &&
    progress.inFlight[0].lastIndex <= progress.matchIndex
  ) {
    progress.inFlightBytes -= progress.inFlight.shift()?.bytes ?? 0;
  }
  const { catchUp } = progress;
  if (progress.matchIndex < catchUp.targetIndex) return;
  const tookMs = nowMs - catchUp.startedAtMs;
  progress.caughtUp = tookMs <= state.timings.electionTimeoutMinMs;
  progress.catchUp = {
    targetIndex: state.log.getLastIndex(),
    startedAtMs: nowMs,
  };
}

/** Returns the sender's progress if the reply is current; steps down on a later term. */
function checkReply(
  context: StepContext,
  from: string,
  reply: { term: number; round: number; sentAtMs: number },
): Progress | undefined {
  const { state } = context;
  if (reply.term > state.term) {
    setFollower(context, reply.term, undefined);
    return undefined;
  }
  if (reply.term < state.term || state.role !== "leader") return undefined;
  const progress = state.progress.get(from);
  if (progress !== undefined) recordReply(context, progress, reply);
  return progress;
}

/** Handles the reply to an append request. */
export function handleAppendReply(
  context: StepContext,
  from: string,
  reply: AppendReply,
): void {
  const progress = checkReply(context, from, reply);
  if (progress === undefined) return;
  if (!reply.matched) {
    if (progress.mode === "snapshot" || reply.round < progress.modeStartRound) {
      return;
    }
    progress.nextIndex = Math.min(
      progress.nextIndex,
      Math.max(progress.matchIndex, reply.matchIndex) + 1,
    );
    setMode(context, progress, "probe");
    return sendNextAppend(context, from, true);
  }
  recordMatch(context, progress, reply.matchIndex);
  const isCurrent = reply.round >= progress.modeStartRound;
  if (progress.mode === "probe" && isCurrent) {
    setMode(context, progress, "replicate");
  }
  const { transfer } = progress;
  if (
    transfer !== undefined && progress.matchIndex >= transfer.snapshot.index
  ) {
    setMode(context, progress, "replicate");
  }
  updateCommit(context);
  if (context.state.role !== "leader") return;
  sendNextAppend(context, from, false);
  stepHandover(context);
}

/** Handles the reply to a snapshot chunk. */
export function handleSnapshotReply(
  context: StepContext,
  from: string,
  reply: SnapshotReply,
): void {
  const progress = checkReply(context, from, reply);
  if (progress === undefined) return;
  if (reply.installed) recordMatch(context, progress, reply.index);
  const { transfer } = progress;
  if (transfer === undefined || transfer.snapshot.index !== reply.index) return;
  if (reply.installed) {
    setMode(context, progress, "probe");
    return sendNextAppend(context, from, true);
  }
  if (reply.receivedBytes === transfer.offset) return;
  transfer.offset = reply.receivedBytes;
  sendChunk(context, from, progress);
}

function isResponsive(context: StepContext, progress: Progress): boolean {
  const { state, nowMs } = context;
  return nowMs - progress.ackSentMs < state.timings.electionTimeoutMinMs;
}

/** Finds the responsive voter with the most complete log. */
function findSuccessor(context: StepContext): string | undefined {
  const { state } = context;
  let best: { id: string; matchIndex: number; ackSentMs: number } | undefined;
  for (const { id, role } of getMembers(state)) {
    const progress = state.progress.get(id);
    if (role !== "voter" || progress === undefined) continue;
    if (!isResponsive(context, progress)) continue;
    const { matchIndex, ackSentMs } = progress;
    const isBetter = best === undefined || matchIndex > best.matchIndex ||
      (matchIndex === best.matchIndex && ackSentMs > best.ackSentMs);
    if (isBetter) best = { id, matchIndex, ackSentMs };
  }
  return best?.id;
}

/**
 * Gives up the lease and lets `to` campaign. This member must not lead again in
 * the same term: a delayed copy of the message would start an election that
 * does not wait for the end of its lease.
 */
function sendTimeoutNow(context: StepContext, to: string | undefined): void {
  const { state } = context;
  if (to !== undefined) {
    sendMessage(context, { kind: "timeoutNow", to, term: state.term });
  }
  setFollower(context, state.term, undefined);
}

/** Starts a leadership handover; new commands are refused while it lasts. */
export function startHandover(context: StepContext): void {
  const { state, nowMs } = context;
  if (state.role !== "leader" || state.handoverTo !== undefined) return;
  state.handoverTo = findSuccessor(context);
  state.handoverDeadlineMs = nowMs + state.timings.electionTimeoutMaxMs;
  stepHandover(context);
}

/** Hands over once the successor has the whole log and all of it is committed. */
function stepHandover(context: StepContext): void {
  const { state, nowMs } = context;
  const lastIndex = state.log.getLastIndex();
  if (isWitnessLeader(state)) {
    const to = findSuccessor(context);
    const progress = to === undefined ? undefined : state.progress.get(to);
    if (progress !== undefined && progress.matchIndex >= lastIndex) {
      sendTimeoutNow(context, to);
    }
    return;
  }
  if (state.handoverTo === undefined) return;
  const progress = state.progress.get(state.handoverTo);
  const isReady = progress !== undefined && progress.matchIndex >= lastIndex &&
    state.commitIndex >= lastIndex;
  if (isReady) sendTimeoutNow(context, state.handoverTo);
  // The successor may have failed; this leader still has its lease and continues.
  else if (nowMs >= state.handoverDeadlineMs) state.handoverTo = undefined;
}

/** Promotes a learner that has caught up, after removing the former voter of its instance. */
function stepMembers(context: StepContext): void {
  const { state } = context;
  if (!hasSettledMembers(state)) return;
  const members = getMembers(state);
  for (const learner of members) {
    if (learner.role !== "learner" || learner.promoteTo === undefined) continue;
    const progress = state.progress.get(learner.id);
    const isReady = progress !== undefined && progress.caughtUp &&
      progress.matchIndex >= state.termStartIndex &&
      isResponsive(context, progress);
    if (!isReady) continue;
    const former = members.find((member) =>
      member.id !== learner.id && hasVote(member) &&
      hasSameInstance(member.id, learner.id)
    );
    if (former?.id === state.self) continue;
    // The former voter is permanently lost, so removing it first costs no
    // availability. If the learner were promoted first and then lost as well,
    // two lost voters could stop the group.
    const next = former !== undefined
      ? members.filter((member) => member.id !== former.id)
      : members.map((member) =>
        member.id === learner.id
          ? { id: learner.id, role: learner.promoteTo ?? "voter" }
          : member
      );
    appendMembers(context, next);
    return;
  }
}

/** Handles a join request: adds the sender as a learner, or replies with the leader. */
export function handleJoinRequest(
  context: StepContext,
  from: string,
  request: JoinRequest,
): void {
  const { state } = context;
  if (state.role !== "leader") {
    if (state.leader === undefined || state.leader === from) return;
    return sendMessage(context, {
      kind: "joinReply",
      to: from,
      leader: state.leader,
    });
  }
  const members = getMembers(state);
  if (findMember(members, from) !== undefined) return;
  if (hasSameInstance(from, state.self)) return;
  const others = members.filter((member) =>
    hasVote(member) || !hasSameInstance(member.id, from)
  );
  appendMembers(context, [
    ...others,
    { id: from, role: "learner", promoteTo: request.role },
  ]);
}

/** Handles a tick on the leader. */
export function handleLeaderTick(context: StepContext): void {
  const { state, nowMs } = context;
  const contactMs = Math.max(
    computeQuorumContactMs(state, nowMs),
    state.leaderSinceMs,
  );
  if (nowMs - contactMs >= computeLeaseMs(state.timings)) {
    return setFollower(context, state.term, undefined);
  }
  if (nowMs - state.lastBroadcastMs >= state.timings.heartbeatMs) {
    sendHeartbeats(context);
  }
  stepMembers(context);
  stepHandover(context);
}
