/**
 * The interfaces of the replicated log. A group of members keeps one sequence
 * of commands; each member applies the committed commands to its own state
 * machine. The leader of a group holds a lease during which no other member
 * can lead.
 *
 * A member identity is `instance` or `instance#incarnation`. It stands for one
 * life of one store: a process whose store is lost takes a new incarnation,
 * because the votes and acknowledgements of the former identity are forgotten.
 */

import type { Clock } from "../common/clock.ts";
import type { Logger } from "../common/logger.ts";
import type { Random } from "../common/random.ts";

/**
 * What a member does in its group. A voter votes and may lead. A witness votes
 * and stores the log but never holds a lease. A learner only receives the log.
 */
export type MemberRole = "voter" | "witness" | "learner";

/** One member of a group. */
export interface LogMember {
  /** `instance` or `instance#incarnation`. */
  readonly id: string;
  readonly role: MemberRole;
  /** Role that the leader gives to a learner once it has caught up. */
  readonly promoteTo?: "voter" | "witness";
}

/** Kind of a log entry: a command, a list of members, or the start of a term. */
export type LogEntryKind = "command" | "members" | "noop";

/** One entry of the log. */
export interface LogEntry {
  /** Position in the log, from 1. */
  readonly index: number;
  /** Term of the leader that appended the entry. */
  readonly term: number;
  readonly kind: LogEntryKind;
  /** The command; empty for other kinds. */
  readonly data: Uint8Array;
  /** The members from this entry on; only for kind "members". */
  readonly members?: readonly LogMember[];
}

/** The durable term and vote of a member. */
export interface Vote {
  /** Identity that the store belongs to. */
  readonly member: string;
  readonly term: number;
  /** Member that received this member's vote in `term`. */
  readonly votedFor?: string;
}

/** The state up to and including `index`. */
export interface LogSnapshot {
  readonly index: number;
  /** Term of the entry at `index`. */
  readonly term: number;
  /** Members as of `index`. */
  readonly members: readonly LogMember[];
  /** Bytes from `StateMachine.takeSnapshot`. */
  readonly data: Uint8Array;
}

/** What a store holds when it is opened. An empty store has none of the parts. */
export interface StoredLog {
  readonly vote?: Vote;
  readonly snapshot?: LogSnapshot;
  /** Entries after the snapshot, without gaps. */
  readonly entries: LogEntry[];
}

/**
 * Where a member keeps its log. Calls are made one at a time. A promise
 * resolves once the data is durable. After a failed call every later call
 * fails, because it is not known what reached the disk.
 */
export interface LogStorage {
  load(): Promise<StoredLog>;
  saveVote(vote: Vote): Promise<void>;
  /** Removes entries from `truncateFrom` on, then appends `entries`. */
  append(entries: LogEntry[], truncateFrom?: number): Promise<void>;
  /**
   * Replaces the snapshot. Entries up to its index may be removed. Entries
   * after it are kept only when the stored entry at its index has its term.
   */
  saveSnapshot(snapshot: LogSnapshot): Promise<void>;
  close(): Promise<void>;
}

/** The state that the log's commands are applied to. */
export interface StateMachine {
  /** Applies a committed command; it must be deterministic and must not throw. */
  apply(command: Uint8Array, index: number): unknown;
  takeSnapshot(): Uint8Array;
  restoreSnapshot(data: Uint8Array): void;
}

/** Sends messages to other members; it may lose, delay, double and reorder them. */
export interface LogTransport {
  /** `to` is a member identity or an instance name; see `parseMemberId`. */
  send(to: string, message: LogMessage): void;
}

/** Asks for a vote, or whether a vote would be granted (`preVote`). */
export interface VoteRequest {
  readonly kind: "voteRequest";
  readonly to: string;
  readonly term: number;
  readonly preVote: boolean;
  /** True when the former leader gave up its lease in favour of the sender. */
  readonly handover: boolean;
  /** True when the sender leads only to copy its log and then hands over. */
  readonly witness: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Answers a vote request. */
export interface VoteReply {
  readonly kind: "voteReply";
  readonly to: string;
  readonly term: number;
  readonly preVote: boolean;
  readonly granted: boolean;
}

/** Entries from the leader; without entries it is a heartbeat. */
export interface AppendRequest {
  readonly kind: "append";
  readonly to: string;
  readonly term: number;
  readonly prevIndex: number;
  readonly prevTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
  /** Number of the leader's round of messages; echoed in the reply. */
  readonly round: number;
  /** Leader's monotonic time of sending in milliseconds; echoed in the reply. */
  readonly sentAtMs: number;
}

/** Answers an append. */
export interface AppendReply {
  readonly kind: "appendReply";
  readonly to: string;
  readonly term: number;
  /** Whether the entry before the sent ones matched. */
  readonly matched: boolean;
  /** Highest durable index known to match, or a hint where to try next. */
  readonly matchIndex: number;
  readonly round: number;
  readonly sentAtMs: number;
}

/** One chunk of a snapshot from the leader. */
export interface SnapshotChunk {
  readonly kind: "snapshot";
  readonly to: string;
  readonly term: number;
  readonly index: number;
  readonly snapshotTerm: number;
  readonly members: readonly LogMember[];
  readonly offset: number;
  readonly totalBytes: number;
  readonly data: Uint8Array;
  readonly round: number;
  readonly sentAtMs: number;
}

/** Answers a snapshot chunk. */
export interface SnapshotReply {
  readonly kind: "snapshotReply";
  readonly to: string;
  readonly term: number;
  readonly index: number;
  /** Bytes received without a gap; the next chunk starts here. */
  readonly receivedBytes: number;
  /** True once the snapshot is durable. */
  readonly installed: boolean;
  readonly round: number;
  readonly sentAtMs: number;
}

/** Tells a member to start an election at once; the sender has given up its lease. */
export interface TimeoutNow {
  readonly kind: "timeoutNow";
  readonly to: string;
  readonly term: number;
}

/** Asks to be added to the group; `to` may be an instance name. */
export interface JoinRequest {
  readonly kind: "joinRequest";
  readonly to: string;
  readonly role: "voter" | "witness";
}

/** Names the leader to ask. */
export interface JoinReply {
  readonly kind: "joinReply";
  readonly to: string;
  readonly leader?: string;
}

/** Asks an instance whether the group has any history; `to` is an instance name. */
export interface HistoryRequest {
  readonly kind: "historyRequest";
  readonly to: string;
  /** Echoed in the reply, so that an answer to a former life does not count. */
  readonly nonce: string;
}

/** Answers a history request. */
export interface HistoryReply {
  readonly kind: "historyReply";
  readonly to: string;
  readonly nonce: string;
  /** False only while the member's store holds nothing but a first start. */
  readonly hasHistory: boolean;
}

/** A message between members. */
export type LogMessage =
  | VoteRequest
  | VoteReply
  | AppendRequest
  | AppendReply
  | SnapshotChunk
  | SnapshotReply
  | TimeoutNow
  | JoinRequest
  | JoinReply
  | HistoryRequest
  | HistoryReply;

/** The right to act as the only leader. */
export interface LeaderLease {
  /** Term of the leadership; the fencing epoch of its commands. */
  readonly term: number;
  /** End of the lease on the local monotonic clock, in milliseconds. */
  readonly validUntilMs: number;
}

/** The outcome of a committed proposal. */
export interface ProposeResult {
  readonly index: number;
  readonly term: number;
  /** What `StateMachine.apply` returned. */
  readonly result: unknown;
}

/** How far a member is behind the leader. */
export interface MemberLag {
  /** Entries that the member is not known to have stored. */
  readonly entries: number;
  /** Milliseconds since the leader sent the latest message that the member answered. */
  readonly ageMs: number;
}

/** The state of a member. */
export interface LogStatus {
  readonly group: string;
  readonly self: string;
  /** "joining" until the group counts the member as a voter or witness; "stopped" after `stop` or a storage failure. */
  readonly role:
    | "leader"
    | "candidate"
    | "follower"
    | "joining"
    | "stopped";
  readonly term: number;
  readonly leader: string | undefined;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  readonly lastIndex: number;
  readonly snapshotIndex: number;
  readonly members: readonly LogMember[];
  /** By member identity; only on the leader. */
  readonly lag: Readonly<Record<string, MemberLag>>;
}

/** One member of a replicated log. */
export interface ReplicatedLog {
  /**
   * Appends a command and resolves once it is committed and applied here.
   * Rejects with fault "notLeader" (not appended), "overloaded" (not
   * appended), "tooLarge" (not appended) or "outcomeUnknown".
   */
  propose(command: Uint8Array): Promise<ProposeResult>;
  /**
   * Resolves after a quorum has confirmed the leadership since the call and
   * every entry committed before the call is applied. Rejects with "notLeader".
   */
  confirmLeadership(): Promise<void>;
  /** The lease, or undefined when this member does not lead or the lease has ended. */
  getLease(): LeaderLease | undefined;
  /** Handles a message from the member `from`. Never throws. */
  receive(from: string, message: LogMessage): void;
  /**
   * Adds a member. A voter or witness is added as a learner and promoted once
   * it has caught up; the promise resolves after the promotion. Rejects with
   * "notLeader", "badRequest", "versionConflict" (another change is in
   * progress) or "outcomeUnknown".
   */
  addMember(member: LogMember): Promise<void>;
  /** Removes a member; rejects like `addMember`. */
  removeMember(id: string): Promise<void>;
  getStatus(): LogStatus;
  /** Hands over leadership if it can, syncs and closes the store. */
  stop(): Promise<void>;
}

/** Times and sizes of a replicated log. */
export interface LogTimings {
  /** Milliseconds between heartbeats. */
  readonly heartbeatMs: number;
  /** Shortest election timeout in milliseconds; also the length of the promise behind a lease. */
  readonly electionTimeoutMinMs: number;
  /** Longest election timeout in milliseconds. */
  readonly electionTimeoutMaxMs: number;
  /** Bytes of log after which a snapshot is taken. */
  readonly snapshotLogBytes: number;
  /** Entries kept in memory behind a snapshot, for members that are a little behind. */
  readonly catchUpEntries: number;
  /** Bytes of entries or of snapshot in one message. */
  readonly maxMessageBytes: number;
  /** Bytes of appended entries that a member may leave unanswered. */
  readonly maxInFlightBytes: number;
  /** Bytes of one command. */
  readonly maxCommandBytes: number;
  /** Bytes of proposals that are not committed yet. */
  readonly maxPendingBytes: number;
  /** Milliseconds that `stop` waits for a handover. */
  readonly handoverTimeoutMs: number;
}

/** Options of `createReplicatedLog`. */
export interface ReplicatedLogOptions {
  /** Name of the group, for logs. */
  group: string;
  /** Identity of this member. */
  self: string;
  /** Members of a first start; used only with `bootstrap`. */
  members?: readonly LogMember[];
  /**
   * True only when `resolveLogStart` has shown this to be the first start of
   * the group. An empty store is refused unless this or `join` is set.
   */
  bootstrap?: boolean;
  /** Instances to ask for admission while the group does not list this member. */
  join?: readonly string[];
  /** False for a witness. Default true. */
  canLead?: boolean;
  /**
   * Lowest term of an election that this member starts. A group without disks
   * passes a number that grows between first starts, such as seconds of wall
   * time, so that the epochs of a new group exceed those of a lost one.
   */
  minTerm?: number;
  storage: LogStorage;
  transport: LogTransport;
  clock: Clock;
  random: Random;
  stateMachine: StateMachine;
  timings?: Partial<LogTimings>;
  /**
   * Called when a lease starts and when it ends, not at each renewal. The call
   * at the end can be late, for instance after a pause of the process; what
   * depends on the lease must check `getLease` just before it acts.
   */
  onLeadership?: (lease: LeaderLease | undefined) => void;
  /** Called once when the store fails; the member has stopped by then. */
  onFailure?: (error: unknown) => void;
  logger?: Logger;
}
