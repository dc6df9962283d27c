/**
 * Elections in the consensus core: pre-votes and votes. Leader leases rely on
 * members to refuse votes for some time after they have answered a leader.
 */

import { setLeader } from "./consensus_leader.ts";
import {
  computeQuorum,
  type ConsensusState,
  getMembers,
  getVoters,
  isElectable,
  saveTerm,
  sendMessage,
  setElectionDeadline,
  setFollower,
  type StepContext,
} from "./consensus_state.ts";
import { findMember } from "./member_id.ts";
import type { TimeoutNow, VoteReply, VoteRequest } from "./types.ts";

function hasMajority(state: ConsensusState): boolean {
  const voters = getVoters(state);
  const granted = voters.filter((id) => state.votes.has(id));
  return granted.length >= computeQuorum(voters.length);
}

function computeNextTerm(state: ConsensusState): number {
  return Math.max(state.term + 1, state.minTerm);
}

function sendVoteRequests(
  context: StepContext,
  options: { term: number; preVote: boolean },
): void {
  const { state } = context;
  for (const to of getVoters(state)) {
    if (to === state.self) continue;
    sendMessage(context, {
      kind: "voteRequest",
      to,
      term: options.term,
      preVote: options.preVote,
      handover: state.isHandover,
      witness: !state.canLead,
      lastIndex: state.log.getLastIndex(),
      lastTerm: state.log.getLastTerm(),
    });
  }
}

/** Asks whether an election could be won, without disturbing a working leader. */
export function startPreVote(context: StepContext): void {
  const { state, nowMs } = context;
  setElectionDeadline(state, nowMs);
  state.role = "preCandidate";
  state.leader = undefined;
  state.votes = new Set([state.self]);
  if (hasMajority(state)) return startElection(context);
  sendVoteRequests(context, { term: computeNextTerm(state), preVote: true });
}

function startElection(context: StepContext): void {
  const { state, nowMs } = context;
  setElectionDeadline(state, nowMs);
  saveTerm(context, computeNextTerm(state), state.self);
  state.role = "candidate";
  state.leader = undefined;
  state.votes = new Set([state.self]);
  if (hasMajority(state)) return setLeader(context);
  sendVoteRequests(context, { term: state.term, preVote: false });
}

/**
 * Returns whether a leader may rely on a lease that this member has confirmed.
 * After a restart this is assumed, since confirmations are not stored.
 */
function isBoundByLease(context: StepContext): boolean {
  const { state, nowMs } = context;
  return state.role === "leader" ||
    nowMs - state.leaderContactMs < state.timings.electionTimeoutMinMs;
}

function isUpToDate(state: ConsensusState, request: VoteRequest): boolean {
  const lastTerm = state.log.getLastTerm();
  if (request.lastTerm !== lastTerm) return request.lastTerm > lastTerm;
  return request.lastIndex >= state.log.getLastIndex();
}

function handlePreVote(
  context: StepContext,
  from: string,
  request: VoteRequest,
): void {
  const { state, nowMs } = context;
  const canGrant = request.term > state.term && !isBoundByLease(context);
  const granted = canGrant && isUpToDate(state, request);
  if (canGrant && !granted && !request.witness) state.staleCandidateMs = nowMs;
  sendMessage(context, {
    kind: "voteReply",
    to: from,
    term: granted ? request.term : state.term,
    preVote: true,
    granted,
  });
}

/** Handles a vote request. */
export function handleVoteRequest(
  context: StepContext,
  from: string,
  request: VoteRequest,
): void {
  const { state, nowMs } = context;
  // A member that is not in its own log may have a new store under an old
  // identity, whose earlier votes are unknown.
  if (findMember(getMembers(state), state.self) === undefined) return;
  if (request.preVote) return handlePreVote(context, from, request);
  if (
    request.term >= state.term && !request.handover && isBoundByLease(context)
  ) {
    return;
  }
  if (request.term > state.term) setFollower(context, request.term, undefined);
  const canGrant = request.term === state.term && state.role === "follower" &&
    (state.votedFor === undefined || state.votedFor === from);
  const granted = canGrant && isUpToDate(state, request);
  if (canGrant && !granted && !request.witness) state.staleCandidateMs = nowMs;
  if (granted) {
    if (state.votedFor === undefined) saveTerm(context, state.term, from);
    setElectionDeadline(state, nowMs);
  }
  sendMessage(context, {
    kind: "voteReply",
    to: from,
    term: state.term,
    preVote: false,
    granted,
  });
}

/** Handles a vote reply. */
export function handleVoteReply(
  context: StepContext,
  from: string,
  reply: VoteReply,
): void {
  const { state } = context;
  if (reply.preVote && reply.granted) {
    const isCurrent = state.role === "preCandidate" &&
      reply.term === computeNextTerm(state);
    if (!isCurrent) return;
    state.votes.add(from);
    if (hasMajority(state)) startElection(context);
    return;
  }
  if (reply.term > state.term) {
    return setFollower(context, reply.term, undefined);
  }
  const isCurrent = state.role === "candidate" && reply.granted &&
    reply.term === state.term;
  if (!isCurrent) return;
  state.votes.add(from);
  if (hasMajority(state)) setLeader(context);
}

/** Starts an election at once, because the leader has given up its lease. */
export function handleTimeoutNow(
  context: StepContext,
  from: string,
  message: TimeoutNow,
): void {
  const { state } = context;
  const isCurrent = message.term === state.term && state.role === "follower" &&
    state.leader === from && isElectable(state);
  if (!isCurrent) return;
  state.isHandover = true;
  startElection(context);
  state.isHandover = false;
}

/** Asks the known members to add this one to the group. */
function sendJoinRequests(context: StepContext): void {
  const { state, nowMs } = context;
  if (nowMs < state.nextJoinMs) return;
  state.nextJoinMs = nowMs + state.timings.electionTimeoutMinMs;
  const targets = new Set(state.joinTargets);
  if (state.joinLeader !== undefined) targets.add(state.joinLeader);
  const role = state.canLead ? "voter" : "witness";
  for (const to of targets) {
    sendMessage(context, { kind: "joinRequest", to, role });
  }
}

/**
 * Returns whether this member must ask to be added. A learner without contact
 * to a leader asks again, because the entry that added it may have been
 * replaced. A removed voter does not ask, since that would undo its removal.
 */
function hasToJoin(context: StepContext): boolean {
  const { state, nowMs } = context;
  if (state.joinTargets.length === 0) return false;
  const wasListed = state.memberLists.some(({ members }) =>
    findMember(members, state.self) !== undefined
  );
  if (!wasListed) return true;
  return findMember(getMembers(state), state.self)?.role === "learner" &&
    nowMs - state.leaderContactMs >= state.timings.electionTimeoutMaxMs;
}

/** Handles a tick on a member that is not the leader. */
export function handleFollowerTick(context: StepContext): void {
  const { state, nowMs } = context;
  if (hasToJoin(context)) return sendJoinRequests(context);
  const { electionTimeoutMinMs } = state.timings;
  const isWitness = findMember(getMembers(state), state.self)?.role ===
    "witness";
  // A witness campaigns only to copy its log to a member whose log is behind.
  const mustCopyLog = isWitness && !isBoundByLease(context) &&
    nowMs - state.staleCandidateMs < electionTimeoutMinMs;
  if (mustCopyLog && state.role === "follower") {
    state.staleCandidateMs = -Infinity;
    return startPreVote(context);
  }
  if (nowMs < state.electionDeadlineMs) return;
  if (isElectable(state)) return startPreVote(context);
  if (state.role !== "follower") setFollower(context, state.term, undefined);
  setElectionDeadline(state, nowMs);
}
