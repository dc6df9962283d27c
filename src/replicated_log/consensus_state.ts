/**
 * State of the consensus core, and helpers shared by its modules. The state
 * belongs to one caller and is updated in place by `stepConsensus`. A step
 * depends only on the state, the input and the time passed to it.
 */

import type { Random } from "../common/random.ts";
import { createEntryLog, type EntryLog } from "./entry_log.ts";
import { findMember, hasVote } from "./member_id.ts";
import { computeLeaseMs } from "./timings.ts";
import type {
  LeaderLease,
  LogEntry,
  LogMember,
  LogMessage,
  LogSnapshot,
  LogTimings,
  StoredLog,
  Vote,
} from "./types.ts";

/** Replication progress of another member, tracked by the leader. */
export interface Progress {
  /** Highest index up to which the member is known to have stored the leader's log. */
  matchIndex: number;
  nextIndex: number;
  /** "probe": one message at a time until a match; "replicate": pipelined; "snapshot": chunks. */
  mode: "probe" | "replicate" | "snapshot";
  /** First round of the current mode; replies to earlier rounds do not change the mode. */
  modeStartRound: number;
  /** Send time of the latest message that the member has answered. */
  ackSentMs: number;
  /** Round of the latest message that the member has answered. */
  ackedRound: number;
  inFlight: { lastIndex: number; bytes: number }[];
  inFlightBytes: number;
  /** The snapshot being sent. */
  transfer:
    | { snapshot: LogSnapshot; offset: number; sentAtMs: number }
    | undefined;
  /** A learner has caught up if it reaches the target within the shortest election timeout. */
  catchUp: { targetIndex: number; startedAtMs: number };
  caughtUp: boolean;
}

/** A partly received snapshot. */
export interface IncomingSnapshot {
  readonly index: number;
  readonly term: number;
  readonly totalBytes: number;
  readonly chunks: Uint8Array[];
  receivedBytes: number;
}

/** Consensus state of one member. */
export interface ConsensusState {
  readonly self: string;
  readonly canLead: boolean;
  readonly joinTargets: readonly string[];
  readonly minTerm: number;
  readonly timings: LogTimings;
  readonly random: Random;

  term: number;
  votedFor: string | undefined;
  /** Number of changes of term or vote. */
  voteChanges: number;
  /** Number of those changes that are durable. */
  storedVoteChanges: number;

  readonly log: EntryLog;
  /** Highest index up to which the log is durable on this member. */
  storedIndex: number;
  commitIndex: number;
  snapshot: LogSnapshot | undefined;
  /** Member lists with the index from which each applies, in order; never empty. */
  memberLists: { index: number; members: readonly LogMember[] }[];

  role: "follower" | "preCandidate" | "candidate" | "leader";
  leader: string | undefined;
  /**
   * Time of the latest message from a leader, or of the restart. Votes are
   * refused until the shortest election timeout after it.
   */
  leaderContactMs: number;
  electionDeadlineMs: number;
  nextJoinMs: number;
  joinLeader: string | undefined;
  votes: Set<string>;
  /** Whether the campaign follows a handover, so that voters need not wait for the old lease. */
  isHandover: boolean;
  /** Last time a vote was refused because the candidate lacked entries; used by a witness. */
  staleCandidateMs: number;
  incoming: IncomingSnapshot | undefined;

  // The remaining fields are used only by a leader.
  progress: Map<string, Progress>;
  round: number;
  leaderSinceMs: number;
  lastBroadcastMs: number;
  /** Index of the first entry of the leader's term. */
  termStartIndex: number;
  handoverTo: string | undefined;
  handoverDeadlineMs: number;
}

/** A write for the storage. Writes must complete in order. */
export type StoreRequest =
  | { kind: "vote"; vote: Vote; change: number }
  | { kind: "append"; entries: LogEntry[]; truncateFrom?: number }
  | { kind: "snapshot"; snapshot: LogSnapshot };

/** A message to send; with `afterStore`, only once all writes requested so far are durable. */
export interface OutgoingMessage {
  to: string;
  message: LogMessage;
  afterStore: boolean;
}

/** Actions that a step requests from the caller. */
export interface ConsensusOutput {
  messages: OutgoingMessage[];
  store: StoreRequest[];
  /** Snapshot to restore the state machine from, before `committed` is applied. */
  restored: LogSnapshot | undefined;
  /** Entries to apply, in order. */
  committed: LogEntry[];
  /** Index of the first entry appended by this step's proposal. */
  acceptedIndex: number | undefined;
  /** Why this step's proposal was refused. */
  refusal: "notLeader" | "changeInProgress" | "badRequest" | undefined;
}

/** State, time and output of one step. */
export interface StepContext {
  readonly state: ConsensusState;
  readonly nowMs: number;
  readonly output: ConsensusOutput;
}

/** Settings of the consensus core. */
export interface ConsensusOptions {
  self: string;
  canLead: boolean;
  joinTargets: readonly string[];
  minTerm: number;
  timings: LogTimings;
  random: Random;
  stored: StoredLog;
  nowMs: number;
}

/** Creates the state of a member from the contents of its store. */
export function createConsensusState(
  options: ConsensusOptions,
): ConsensusState {
  const { stored, nowMs } = options;
  const { snapshot, entries } = stored;
  const log = createEntryLog(snapshot?.index ?? 0, snapshot?.term ?? 0);
  log.append(entries);
  const memberLists = [
    { index: snapshot?.index ?? 0, members: snapshot?.members ?? [] },
  ];
  for (const { index, members } of entries) {
    if (members !== undefined) memberLists.push({ index, members });
  }
  const firstEntryIsCommitted = entries[0]?.index === 1;
  const state: ConsensusState = {
    self: options.self,
    canLead: options.canLead,
    joinTargets: options.joinTargets,
    minTerm: options.minTerm,
    timings: options.timings,
    random: options.random,
    term: Math.max(stored.vote?.term ?? 0, log.getLastTerm()),
    votedFor: undefined,
    voteChanges: 0,
    storedVoteChanges: 0,
    log,
    storedIndex: log.getLastIndex(),
    // Entry 1 holds the configured bootstrap members, so it counts as committed.
    commitIndex: snapshot?.index ?? (firstEntryIsCommitted ? 1 : 0),
    snapshot,
    memberLists,
    role: "follower",
    leader: undefined,
    // A restarted member does not know when it last answered a leader, so it
    // must assume that it did so just before it stopped.
    leaderContactMs: nowMs,
    electionDeadlineMs: 0,
    nextJoinMs: nowMs,
    joinLeader: undefined,
    votes: new Set(),
    isHandover: false,
    staleCandidateMs: -Infinity,
    incoming: undefined,
    progress: new Map(),
    round: 0,
    leaderSinceMs: 0,
    lastBroadcastMs: 0,
    termStartIndex: 0,
    handoverTo: undefined,
    handoverDeadlineMs: 0,
  };
  if (stored.vote?.term === state.term) state.votedFor = stored.vote.votedFor;
  setElectionDeadline(state, nowMs);
  return state;
}

/** Sets a random election deadline within the election timeouts. */
export function setElectionDeadline(
  state: ConsensusState,
  nowMs: number,
): void {
  const { electionTimeoutMinMs: min, electionTimeoutMaxMs: max } =
    state.timings;
  state.electionDeadlineMs = nowMs + min +
    state.random.nextFloat() * (max - min);
}

/** Returns the latest member list in the log, committed or not. */
export function getMembers(state: ConsensusState): readonly LogMember[] {
  return state.memberLists.at(-1)?.members ?? [];
}

/** Returns the members as of `index`. */
export function getMembersAt(
  state: ConsensusState,
  index: number,
): readonly LogMember[] {
  const list = state.memberLists.findLast((list) => list.index <= index);
  return list?.members ?? [];
}

/** Returns the identities that count in quorums. */
export function getVoters(state: ConsensusState): string[] {
  return getMembers(state).filter(hasVote).map((member) => member.id);
}

/** Computes the quorum size for a number of voters. */
export function computeQuorum(voters: number): number {
  return Math.floor(voters / 2) + 1;
}

/** Returns whether the member may campaign to hold a lease. */
export function isElectable(state: ConsensusState): boolean {
  return state.canLead &&
    findMember(getMembers(state), state.self)?.role === "voter";
}

/**
 * Returns whether this member is a witness that leads only to copy its log. If
 * it could not, entries that no other reachable member has would block every
 * election.
 */
export function isWitnessLeader(state: ConsensusState): boolean {
  return state.role === "leader" && !state.canLead;
}

/** Computes the largest value that a quorum has reached. */
export function computeQuorumValue(
  state: ConsensusState,
  values: { self: number; other: (progress: Progress) => number },
): number {
  const voters = getVoters(state);
  const reached = voters.map((id) => {
    if (id === state.self) return values.self;
    const progress = state.progress.get(id);
    return progress === undefined ? -Infinity : values.other(progress);
  });
  reached.sort((a, b) => b - a);
  return reached[computeQuorum(voters.length) - 1] ?? -Infinity;
}

/** Computes the send time of the latest message that a quorum has answered. */
export function computeQuorumContactMs(
  state: ConsensusState,
  nowMs: number,
): number {
  return computeQuorumValue(state, {
    self: nowMs,
    other: (progress) => progress.ackSentMs,
  });
}

/** Returns the lease, or undefined if the member must not act as leader. */
export function getLeaderLease(
  state: ConsensusState,
  nowMs: number,
): LeaderLease | undefined {
  if (state.role !== "leader" || isWitnessLeader(state)) return undefined;
  if (state.commitIndex < state.termStartIndex) return undefined;
  const validUntilMs = computeQuorumContactMs(state, nowMs) +
    computeLeaseMs(state.timings);
  return validUntilMs > nowMs ? { term: state.term, validUntilMs } : undefined;
}

/** Adds a message to the output. */
export function sendMessage(
  context: StepContext,
  message: LogMessage,
  options: { afterStore?: boolean } = {},
): void {
  const { state, output } = context;
  // No message may depend on a term or vote that a crash could still lose.
  const hasUnstoredVote = state.storedVoteChanges < state.voteChanges;
  const afterStore = hasUnstoredVote || options.afterStore === true;
  output.messages.push({ to: message.to, message, afterStore });
}

/** Sets the term and the vote, and requests to store both. */
export function saveTerm(
  context: StepContext,
  term: number,
  votedFor: string | undefined,
): void {
  const { state, output } = context;
  state.term = term;
  state.votedFor = votedFor;
  state.voteChanges++;
  const vote: Vote = votedFor === undefined
    ? { member: state.self, term }
    : { member: state.self, term, votedFor };
  output.store.push({ kind: "vote", vote, change: state.voteChanges });
}

/** Makes the member a follower, and moves it to `term` if that is higher. */
export function setFollower(
  context: StepContext,
  term: number,
  leader: string | undefined,
): void {
  const { state, nowMs } = context;
  if (term > state.term) {
    saveTerm(context, term, undefined);
    state.incoming = undefined;
  }
  const wasFollower = state.role === "follower";
  state.role = "follower";
  state.leader = leader;
  state.votes.clear();
  state.progress.clear();
  state.isHandover = false;
  state.handoverTo = undefined;
  if (!wasFollower) setElectionDeadline(state, nowMs);
}

/** Appends entries to the log, after removing entries from `truncateFrom` on. */
export function appendEntries(
  context: StepContext,
  entries: LogEntry[],
  truncateFrom?: number,
): void {
  const { state, output } = context;
  if (truncateFrom !== undefined) {
    state.log.removeFrom(truncateFrom);
    state.storedIndex = Math.min(state.storedIndex, truncateFrom - 1);
    state.memberLists = state.memberLists.filter((list) =>
      list.index < truncateFrom
    );
  }
  state.log.append(entries);
  for (const { index, members } of entries) {
    if (members !== undefined) state.memberLists.push({ index, members });
  }
  output.store.push(
    truncateFrom === undefined
      ? { kind: "append", entries }
      : { kind: "append", entries, truncateFrom },
  );
}

/** Advances the commit index and outputs the entries to apply. */
export function commitUpTo(context: StepContext, index: number): void {
  const { state, output } = context;
  while (state.commitIndex < index) {
    const entry = state.log.getEntry(state.commitIndex + 1);
    if (entry === undefined) return;
    output.committed.push(entry);
    state.commitIndex++;
  }
}

/** Replaces the snapshot; keeps up to `keepEntries` entries before it in memory. */
export function setSnapshot(
  context: StepContext,
  snapshot: LogSnapshot,
  keepEntries: number,
): void {
  const { state, output } = context;
  state.snapshot = snapshot;
  if (state.log.getTerm(snapshot.index) === snapshot.term) {
    state.log.removeUpTo(snapshot.index - keepEntries);
  } else {
    state.log.reset(snapshot.index, snapshot.term);
    state.storedIndex = Math.min(state.storedIndex, state.commitIndex);
    state.memberLists = [];
  }
  const base = state.log.getBaseIndex();
  const later = state.memberLists.filter((list) => list.index > base);
  const first = state.memberLists.findLast((list) => list.index <= base);
  state.memberLists = [
    first ?? { index: snapshot.index, members: snapshot.members },
    ...later,
  ];
  output.store.push({ kind: "snapshot", snapshot });
}
